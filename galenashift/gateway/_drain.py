"""Graceful shutdown of the daemon."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

#: Time after SIGTERM in which new connections are still accepted, in seconds. The
#: platform's load balancer removes the daemon only after two failed health checks, one
#: second apart.
LISTEN_AFTER_SIGNAL_S = 3.0
#: Time before SIGKILL at which the process exits by itself, in seconds.
_KILL_MARGIN_S = 0.4
#: Time before the exit at which requests that were not sent are refused, in seconds.
_REFUSAL_LEAD_S = 0.6
#: Time before the exit at which the listener closes at the latest, in seconds.
_CLOSE_LEAD_S = 1.2
#: Time for the last answers before the exit, in seconds.
_LAST_ANSWERS_S = 0.15
_POLL_INTERVAL_S = 0.05
_LAST_POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, kw_only=True)
class DrainPeriod:
    """When a shutdown began and when the process ends, on the boot-time clock."""

    started_at_s: float
    ends_at_s: float


class Shutdown:
    """Keeps the daemon serving after SIGTERM while callers move to other daemons.

    :param grace_s: Time between SIGTERM and SIGKILL, in seconds.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._started_at_s: float | None = None
        self._started = trio.Event()

    @property
    def draining(self) -> bool:
        """Whether the daemon is shutting down."""
        return self._started_at_s is not None

    @property
    def period(self) -> DrainPeriod | None:
        """When the shutdown began and when the process ends; None before it."""
        if self._started_at_s is None:
            return None
        return DrainPeriod(
            started_at_s=self._started_at_s,
            ends_at_s=self._started_at_s + self._grace_s - _KILL_MARGIN_S,
        )

    def begin(self, *, now_s: float) -> None:
        """Start the shutdown.

        :param now_s: Boot-time clock, in seconds.
        """
        self._started_at_s = now_s
        self._started.set()

    def should_close_idle(self, *, now_s: float) -> bool:
        """Tell whether idle connections are to be closed.

        :param now_s: Boot-time clock, in seconds.
        """
        return (
            self._started_at_s is not None
            and now_s >= self._started_at_s + LISTEN_AFTER_SIGNAL_S
        )

    async def wait_until_done(
        self,
        *,
        requests: Callable[[], int],
        refuse_unsent: Callable[[], None],
        fail_unanswered: Callable[[], None],
        close_listener: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        """Wait for SIGTERM and then for the end of the last request.

        :param requests: Returns the number of requests being read or answered.
        :param refuse_unsent: Refuses the requests that were not sent yet; called
            shortly before the process exits.
        :param fail_unanswered: Fails the requests whose answers have not begun; called
            once, right before the process exits.
        :param close_listener: Stops accepting connections; called once, early enough
            that requests on the connections it still accepts can be answered.
        """
        await self._started.wait()
        assert self.period is not None
        end_at_s = self.period.ends_at_s
        listening = True
        while clock() < end_at_s:
            quiet = self.should_close_idle(now_s=clock()) and requests() == 0
            if quiet and not listening:
                return
            if listening and (quiet or clock() >= end_at_s - _CLOSE_LEAD_S):
                listening = False
                close_listener()
            if clock() >= end_at_s - _REFUSAL_LEAD_S:
                refuse_unsent()
            await trio.sleep(_POLL_INTERVAL_S)
        fail_unanswered()
        with trio.move_on_after(_LAST_ANSWERS_S):
            while requests():
                await trio.sleep(_LAST_POLL_INTERVAL_S)
