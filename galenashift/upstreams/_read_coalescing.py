"""Coalesces the wake-ups of tasks that read from sockets."""

import select

import trio

#: Seconds between wake-ups. A token is delayed by at most this much, while the target
#: allows 77 ms between tokens and 10 ms of added latency.
COALESCING_WINDOW_S = 0.008


class ReadCoalescer:
    """Waits for data on many sockets, and wakes their readers in batches.

    trio registers each wait with its poll and wakes up for each socket; with
    thousands of tokens per second this costs more than decoding them. Data that
    arrives when no window is running wakes its reader at once.

    :param window_s: Minimum time between two wake-ups, in seconds.
    """

    def __init__(self, *, window_s: float = COALESCING_WINDOW_S) -> None:
        self._window_s = window_s
        self._poll = select.epoll()
        self._waiters_by_fd: dict[int, trio.lowlevel.Task] = {}

    async def run(self) -> None:
        """Wake readers until cancelled."""
        while True:
            ready = self._poll.poll(0)
            if not ready:
                await trio.lowlevel.wait_readable(self._poll)
                continue
            for fd, _ in ready:
                self._wake(fd)
            await trio.sleep(self._window_s)

    async def wait_readable(self, fd: int) -> None:
        """Wait until a socket has data, is at its end or has an error.

        It also returns when the socket is discarded.
        """
        events = select.EPOLLIN | select.EPOLLONESHOT
        try:
            self._poll.modify(fd, events)
        except FileNotFoundError:
            self._poll.register(fd, events)
        self._waiters_by_fd[fd] = trio.lowlevel.current_task()

        def abort_wait(_: object) -> trio.lowlevel.Abort:
            del self._waiters_by_fd[fd]
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort_wait)

    def discard(self, fd: int) -> None:
        """Unregister a socket that is about to be closed, and wake its reader."""
        try:
            self._poll.unregister(fd)
        except (FileNotFoundError, ValueError, OSError):
            return
        self._wake(fd)

    def close(self) -> None:
        """Close the file descriptor of the poll."""
        self._poll.close()

    def _wake(self, fd: int) -> None:
        waiter = self._waiters_by_fd.pop(fd, None)
        if waiter is not None:
            trio.lowlevel.reschedule(waiter)
