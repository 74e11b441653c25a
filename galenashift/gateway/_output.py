"""Standard output that never blocks and never grows without bound."""

import errno
import io
import os
import time

#: Lines per second that are written; more are dropped and counted.
MAX_LINES_PER_S = 400


class BoundedOutput(io.TextIOBase):
    """Writes whole lines to a file descriptor, or drops them.

    :param fd: Descriptor; set to non-blocking.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._second = 0
        self._lines = 0
        self._rest = b""
        #: Lines that were not written.
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self.dropped += 1
        else:
            self._write(text.encode())
        return len(text)

    def _write(self, data: bytes) -> None:
        # The end of a line that was cut goes first, so that lines stay whole.
        pending = self._rest + data
        try:
            sent = os.write(self._fd, pending)
        except OSError as error:
            if error.errno not in {errno.EAGAIN, errno.EPIPE}:
                raise
            self.dropped += 1
            return
        self._rest = pending[sent:]

    def flush(self) -> None:
        """Do nothing; lines are written at once."""
