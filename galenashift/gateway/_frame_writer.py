"""Writes the frames of a link between two daemons."""

from collections.abc import Callable
from typing import Any

import trio

from galenashift.peers import (
    CodecError,
    ConnectionEnded,
    FramedStream,
    FrameError,
    encode,
    idl,
)

#: Interval between keepalive frames, in seconds.
KEEPALIVE_INTERVAL_S = 0.2
#: Capacity of the send queue, in frames; it overflows if the peer does not read.
_MAX_PENDING_FRAMES = 1_000

#: Errors that end a link.
LINK_ERRORS = (FrameError, ConnectionEnded, CodecError)


class FrameWriter:
    """Writes frames in order, and keepalive frames while there are no others."""

    def __init__(self, frames: FramedStream) -> None:
        self._frames = frames
        self._send, self._receive = trio.open_memory_channel[Any](_MAX_PENDING_FRAMES)

    def enqueue(self, frame: Any) -> None:
        """Queue a frame.

        :raises FrameError: If the peer does not read.
        """
        try:
            self._send.send_nowait(frame)
        except trio.WouldBlock as error:
            raise FrameError("send queue full: the peer does not read") from error

    async def run(self, needs_keepalive: Callable[[], bool]) -> None:
        """Write frames until the link breaks.

        :param needs_keepalive: Tells whether the peer waits for a result.
        """
        while True:
            frame = None
            with trio.move_on_after(KEEPALIVE_INTERVAL_S):
                frame = await self._receive.receive()
            if frame is None and not needs_keepalive():
                continue
            await self._frames.write_frame(encode(frame or idl.StageFrame()))
