"""Calls between daemons over TCP: Thrift messages, framing and authentication."""

from ._auth import PROTOCOL_VERSION
from ._client import CALL_TIMEOUT_S, PeerClient
from ._codec import CodecError, decode, encode, idl
from ._framing import MAX_FRAME_BYTES, ConnectionEnded, FramedStream, FrameError
from ._handshake import PeerIdentity
from ._messages import encoded_size
from ._server import PeerHandlers, PeerServer

__all__ = [
    "CALL_TIMEOUT_S",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "CodecError",
    "ConnectionEnded",
    "FrameError",
    "FramedStream",
    "PeerClient",
    "PeerHandlers",
    "PeerIdentity",
    "PeerServer",
    "decode",
    "encode",
    "encoded_size",
    "idl",
]
