"""The handshake that authenticates both daemons of a connection."""

import secrets
from dataclasses import dataclass

from galenashift.model import DaemonId, Incarnation

from ._auth import (
    NONCE_BYTES,
    PROTOCOL_VERSION,
    client_proof,
    proofs_equal,
    server_proof,
)
from ._codec import CodecError, decode, encode, idl
from ._framing import MAX_HANDSHAKE_FRAME_BYTES, FramedStream


class HandshakeError(Exception):
    """The peer lacks the fleet key, or uses another protocol version."""


@dataclass(frozen=True, kw_only=True)
class PeerIdentity:
    """Identity of a daemon in the handshake."""

    daemon_id: DaemonId
    #: Start time of the daemon's process, in Unix milliseconds.
    incarnation: Incarnation


async def client_handshake(
    frames: FramedStream, *, identity: PeerIdentity, fleet_key: bytes
) -> None:
    """Authenticate to the accepting daemon and check its proof.

    :raises HandshakeError: If the accepting daemon lacks the fleet key.
    """
    data = await frames.read_frame(max_bytes=MAX_HANDSHAKE_FRAME_BYTES)
    challenge = _nonce(decode(idl.Challenge, data).nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = client_proof(
        fleet_key=fleet_key,
        challenge=challenge,
        nonce=nonce,
        daemon=identity.daemon_id,
        incarnation=identity.incarnation,
    )
    hello = idl.Hello(
        protocol_version=PROTOCOL_VERSION,
        daemon=identity.daemon_id,
        incarnation=identity.incarnation,
        nonce=nonce,
        proof=proof,
    )
    await frames.write_frame(encode(hello))
    data = await frames.read_frame(max_bytes=MAX_HANDSHAKE_FRAME_BYTES)
    answer = decode(idl.Welcome, data).proof
    expected = server_proof(fleet_key=fleet_key, challenge=challenge, nonce=nonce)
    if not isinstance(answer, bytes) or not proofs_equal(answer, expected):
        raise HandshakeError("the accepting daemon has a different fleet key")


async def server_handshake(frames: FramedStream, *, fleet_key: bytes) -> PeerIdentity:
    """Challenge a connecting daemon and check its proof.

    :returns: Authenticated identity of the connecting daemon.
    :raises HandshakeError: If it lacks the fleet key or uses another version.
    """
    challenge = secrets.token_bytes(NONCE_BYTES)
    await frames.write_frame(encode(idl.Challenge(nonce=challenge)))
    hello = decode(
        idl.Hello, await frames.read_frame(max_bytes=MAX_HANDSHAKE_FRAME_BYTES)
    )
    if hello.protocol_version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"unsupported protocol version {hello.protocol_version!r:.20}"
        )
    nonce = _nonce(hello.nonce)
    if not isinstance(hello.daemon, str) or type(hello.incarnation) is not int:
        raise CodecError("the Hello message does not identify a daemon")
    identity = PeerIdentity(
        daemon_id=DaemonId(hello.daemon), incarnation=Incarnation(hello.incarnation)
    )
    expected = client_proof(
        fleet_key=fleet_key,
        challenge=challenge,
        nonce=nonce,
        daemon=identity.daemon_id,
        incarnation=identity.incarnation,
    )
    if not isinstance(hello.proof, bytes) or not proofs_equal(hello.proof, expected):
        raise HandshakeError("wrong HMAC; the daemons have different fleet keys")
    proof = server_proof(fleet_key=fleet_key, challenge=challenge, nonce=nonce)
    await frames.write_frame(encode(idl.Welcome(proof=proof)))
    return identity


def _nonce(value: object) -> bytes:
    if not isinstance(value, bytes) or len(value) != NONCE_BYTES:
        raise CodecError(f"the nonce is not {NONCE_BYTES} bytes")
    return value
