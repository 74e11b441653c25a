"""Framing of messages on a byte stream: a 4-byte length, then the body."""

import struct
from collections.abc import Callable

import trio

#: Largest frame of a call or an answer, in bytes.
MAX_FRAME_BYTES = 1_000_000
#: Largest frame that is accepted before the peer is authenticated, in bytes.
MAX_HANDSHAKE_FRAME_BYTES = 512
_HEADER = struct.Struct("!I")
_CHUNK_BYTES = 65_536


class FrameError(Exception):
    """A frame is incomplete, empty or too large, or the connection failed."""


class ConnectionEnded(Exception):  # noqa: N818
    """The peer closed the connection between two frames."""


class FramedStream:
    """Reads and writes frames. It may be used by one task at a time.

    :param stream: A connected stream; closed by `aclose`.
    :param on_buffered: Is called with the bytes that are buffered after each read, and
        may close the stream.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        on_buffered: Callable[[int], None] = lambda size: None,
    ) -> None:
        self._stream = stream
        self._on_buffered = on_buffered
        self._buffer = bytearray()

    async def read_frame(self, *, max_bytes: int) -> bytes:
        """Read one frame.

        The length is checked before the body is read, and memory is allocated only
        for bytes that have arrived.

        :param max_bytes: Largest body to accept.
        :raises ConnectionEnded: If the stream ends before a frame begins.
        :raises FrameError: If the stream fails, ends within a frame, or the frame
            is empty or too large.
        """
        header = await self._read(_HEADER.size)
        (length,) = _HEADER.unpack(header)
        if not 0 < length <= max_bytes:
            raise FrameError(f"frame of {length} bytes; the limit is {max_bytes}")
        return await self._read(length)

    async def _read(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                part = await self._stream.receive_some(_CHUNK_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise FrameError("the connection failed") from error
            if not part:
                if self._buffer or size != _HEADER.size:
                    raise FrameError("the stream ended within a frame")
                raise ConnectionEnded
            self._buffer += part
            self._on_buffered(len(self._buffer))
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._on_buffered(len(self._buffer))
        return data

    async def write_frame(self, body: bytes) -> None:
        """Write one frame.

        :raises FrameError: If the body is too large or the stream fails.
        """
        if len(body) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(body)} bytes is over {MAX_FRAME_BYTES}")
        try:
            await self._stream.send_all(_HEADER.pack(len(body)) + body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise FrameError("the connection failed") from error

    async def aclose(self) -> None:
        """Close the stream at once, without waiting for the peer."""
        await trio.aclose_forcefully(self._stream)
