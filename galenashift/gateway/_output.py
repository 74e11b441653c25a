"""Non-blocking standard output with a limited line rate."""

import errno
import io
import os
import time

#: Most lines written per second; further lines are dropped and counted.
MAX_LINES_PER_S = 400


class BoundedOutput(io.TextIOBase):
    """Writes complete lines to a file descriptor, or drops them.

    :param fd: File descriptor, which is set to non-blocking.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._current_second = 0
        self._lines_this_second = 0
        self._unwritten = b""
        #: Number of lines that were dropped.
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        if self._lines_this_second > MAX_LINES_PER_S:
            self.dropped += 1
        else:
            self._write(text.encode())
        return len(text)

    def _write(self, data: bytes) -> None:
        # The rest of a partly written line is written first, so that lines stay intact.
        pending = self._unwritten + data
        try:
            sent = os.write(self._fd, pending)
        except OSError as error:
            if error.errno not in {errno.EAGAIN, errno.EPIPE}:
                raise
            self.dropped += 1
            return
        self._unwritten = pending[sent:]

    def flush(self) -> None:
        """Do nothing, as lines are written immediately."""
