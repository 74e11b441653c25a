"""Phases of a shutdown."""

from collections.abc import Callable

import trio

#: Time after the signal in which new connections are still accepted, in seconds. The
#: platform's balancer needs two missed checks, a second apart, to turn away.
LISTEN_S = 3.0
#: Time before the kill at which the process ends by itself, in seconds.
_KILL_MARGIN_S = 0.4
#: Time before that end at which requests that still wait are refused, in seconds.
_LAST_CALL_S = 0.6
_POLL_S = 0.05


class Shutdown:
    """Keeps serving after SIGTERM until callers have gone elsewhere.

    :param grace_s: Time between the signals to stop and to kill, in seconds.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._began_at_s: float | None = None
        self._began = trio.Event()

    @property
    def draining(self) -> bool:
        """Whether the daemon is shutting down."""
        return self._began_at_s is not None

    def begin(self, *, now_s: float) -> None:
        """Start the shutdown.

        :param now_s: Boot-time clock, in seconds.
        """
        self._began_at_s = now_s
        self._began.set()

    def closes_idle(self, *, now_s: float) -> bool:
        """Tell whether connections without a request are closed.

        :param now_s: Boot-time clock, in seconds.
        """
        return self._began_at_s is not None and now_s >= self._began_at_s + LISTEN_S

    async def wait_until_idle(
        self,
        *,
        requests: Callable[[], int],
        refuse_waiting: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Wait for the signal and then for the end of the last request.

        :param requests: Returns the requests that are being read or answered.
        :param refuse_waiting: Answers those that were not sent yet; called shortly
            before the process ends.
        """
        await self._began.wait()
        assert self._began_at_s is not None
        kill_s = self._began_at_s + self._grace_s - _KILL_MARGIN_S
        while clock() < kill_s:
            if self.closes_idle(now_s=clock()) and requests() == 0:
                return
            if clock() >= kill_s - _LAST_CALL_S:
                refuse_waiting()
            await trio.sleep(_POLL_S)
