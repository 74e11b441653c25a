"""Starts tasks after a delay, as most are cancelled before they are needed."""

from collections import deque
from collections.abc import Awaitable, Callable

import trio


class DelayedTaskStarter:
    """Starts tasks after a delay, unless their scopes are cancelled before.

    Most calls end before the silence timeout. Their connections are then never
    watched, which saves starting and cancelling a task for each.

    :param delay_s: Seconds before a task starts.
    """

    def __init__(self, *, delay_s: float) -> None:
        self._delay_s = delay_s
        self._task_added = trio.lowlevel.ParkingLot()
        self._waiting: deque[
            tuple[float, trio.CancelScope, Callable[[], Awaitable[None]]]
        ] = deque()

    def add(
        self, *, scope: trio.CancelScope, task: Callable[[], Awaitable[None]]
    ) -> None:
        """Schedule a task to start after the delay.

        :param scope: If it is cancelled before the delay ends, the task does not
            start.
        """
        self._waiting.append((trio.current_time() + self._delay_s, scope, task))
        self._task_added.unpark()

    async def run(self) -> None:
        """Start tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while self._waiting and self._waiting[0][1].cancel_called:
                    self._waiting.popleft()
                if not self._waiting:
                    await self._task_added.park()
                    continue
                due_s, scope, task = self._waiting[0]
                if trio.current_time() < due_s:
                    await trio.sleep_until(due_s)
                    continue
                self._waiting.popleft()
                if not scope.cancel_called:
                    nursery.start_soon(task)
