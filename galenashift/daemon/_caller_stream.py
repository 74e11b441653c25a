"""Wraps caller connections for hypercorn, and writes body chunks to them directly."""

import contextlib
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable

import trio

#: Timeout for sending `_SEND_CHUNK_BYTES`, in seconds. hypercorn shields its sends
#: from cancellation, so a caller whose kernel acknowledges packets but whose program
#: does not read would keep its request open without limit.
_SEND_TIMEOUT_S = 10.0
#: Bytes to which one timeout applies. A timeout for a whole response would cut off
#: callers that read a large response over a slow link.
_SEND_CHUNK_BYTES = 16_384
#: SO_LINGER value with a linger time of zero: closing the socket sends a reset and
#: discards the unsent data in the kernel.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerStream:
    """Implements the methods of a stream that hypercorn calls.

    hypercorn closes a connection that the caller has closed, even while a task sends a
    response on it. trio reports these concurrent uses as a programming error; this
    class reports them as a lost connection.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.socket = stream.socket
        self.receive_some = stream.receive_some
        self.send_eof = stream.send_eof
        self.aclose = stream.aclose
        self._stream = stream
        #: Bytes of `write_nowait` that the socket did not accept; sent before others.
        self.send_buffer = b""

    def write_nowait(self, data: bytes) -> bool:
        """Send bytes without waiting.

        The calling task must ensure that no other send is in progress. Bytes that the
        socket does not accept stay in `send_buffer`.

        :returns: Whether the bytes were sent or buffered.
        """
        if self.send_buffer:
            return False
        try:
            sent = os.write(self.socket.fileno(), data)
        except OSError:
            # The socket buffer is full or the connection is lost; `send_all` waits or
            # raises the error.
            return False
        self.send_buffer = data[sent:]
        return True

    async def flush(self) -> None:
        """Send the buffered bytes. After a cancellation the unsent ones stay buffered.

        :raises trio.BrokenResourceError: If the connection was lost, closed or reset,
            or is being closed.
        """
        while self.send_buffer:
            async with self._send_timeout():
                if self.socket.fileno() < 0:
                    # trio raises a ValueError for the wait on a closed socket.
                    raise trio.ClosedResourceError
                await trio.lowlevel.wait_writable(self.socket)
                with contextlib.suppress(BlockingIOError):
                    sent = os.write(self.socket.fileno(), self.send_buffer)
                    self.send_buffer = self.send_buffer[sent:]

    async def send_all(self, data: bytes) -> None:
        """Send bytes, and reset the connection if they are not read in time.

        :raises trio.BrokenResourceError: If the connection was lost, closed or reset,
            or is being closed.
        """
        if self.send_buffer:
            await self.flush()
        for start in range(0, len(data), _SEND_CHUNK_BYTES):
            async with self._send_timeout():
                await self._stream.send_all(data[start : start + _SEND_CHUNK_BYTES])

    @contextlib.asynccontextmanager
    async def _send_timeout(self) -> AsyncIterator[None]:
        """Apply the send timeout; raise `trio.BrokenResourceError` for any failure."""
        with trio.move_on_after(_SEND_TIMEOUT_S) as limit:
            try:
                yield
            except (OSError, trio.ClosedResourceError) as error:
                raise trio.BrokenResourceError(
                    "the connection was closed or reset"
                ) from error
            except trio.BusyResourceError as error:
                detail = "another task is closing the connection"
                raise trio.BrokenResourceError(detail) from error
        if limit.cancelled_caught:
            with contextlib.suppress(OSError):
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            await trio.aclose_forcefully(self._stream)
            raise trio.BrokenResourceError("the caller stopped reading the response")


class DirectChunkWriter:
    """Implements `serving.DirectBody` with the chunked transfer coding of HTTP/1.1.

    Passing a chunk through hypercorn and h11 takes several times as long as the system
    call that sends it.

    :param stream: The connection.
    :param lock: hypercorn's lock for sends on the connection.
    :param is_sending_body: Returns whether the headers of a response have been sent
        and the end of its body has not.
    """

    def __init__(
        self,
        *,
        stream: CallerStream,
        lock: trio.Lock,
        is_sending_body: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._lock = lock
        self._is_sending_body = is_sending_body

    @property
    def pending(self) -> bool:
        """Whether a chunk was written only in part and needs `flush`."""
        return bool(self._stream.send_buffer)

    def write(self, body: bytes) -> bool:
        """Write a chunk without waiting.

        :returns: Whether the chunk was written or buffered; otherwise it must be sent
            through ASGI.
        """
        if not body or self._lock.locked() or not self._is_sending_body():
            return False
        return self._stream.write_nowait(b"%x\r\n%s\r\n" % (len(body), body))

    async def flush(self) -> None:
        """Write the rest of a chunk; does nothing if the connection was lost."""
        async with self._lock:
            try:
                await self._stream.flush()
            except trio.BrokenResourceError:
                # The task that reads the connection informs the application.
                return
