"""Decides which requests are still accepted during a shutdown."""

from collections import deque
from collections.abc import Callable

from galenashift.model import Failure, Reason, RouteName, not_run

from ._drain import LISTEN_AFTER_SIGNAL_S, DrainPeriod
from ._failures import SHUTDOWN_RETRY_AFTER_S
from ._request import ActiveRequest

#: Time for which the duration of an answer is taken into account, in seconds.
_DURATION_WINDOW_S = 60.0
#: Allowance for answers that take longer than all recent ones, as a factor. The answers
#: of a route may differ several times in length.
_DURATION_MARGIN = 4.0
#: Recent answers of a route from which the duration of the next one is inferred, at
#: least.
_MIN_ANSWERS = 20
#: Most durations that are kept for a route.
_MAX_DURATIONS = 64


class RouteDurations:
    """The longest recent answer of each route."""

    def __init__(self) -> None:
        #: Answers of each route with the time of their end. Each one is longer than
        #: those after it.
        self._ended_by_route: dict[RouteName, deque[tuple[float, float]]] = {}
        #: Times at which the last `_MIN_ANSWERS` answers of each route ended.
        self._last_by_route: dict[RouteName, deque[float]] = {}

    def record(self, route: RouteName, duration_s: float, *, now_s: float) -> None:
        """Add the duration of a complete answer.

        :param duration_s: Time from the request to the end of its answer, in seconds.
        :param now_s: Boot-time clock, in seconds.
        """
        ended = self._recent(route, now_s)
        while ended and ended[-1][1] <= duration_s:
            ended.pop()
        if len(ended) < _MAX_DURATIONS:
            ended.append((now_s, duration_s))
        last = self._last_by_route.setdefault(route, deque(maxlen=_MIN_ANSWERS))
        last.append(now_s)

    def longest_s(self, route: RouteName, *, now_s: float) -> float | None:
        """Return the duration of the longest recent answer in seconds.

        :param now_s: Boot-time clock, in seconds.
        :returns: None if there are fewer recent answers than `_MIN_ANSWERS`.
        """
        last = self._last_by_route.get(route)
        if last is None or len(last) < _MIN_ANSWERS:
            return None
        if now_s - last[0] > _DURATION_WINDOW_S:
            return None
        ended = self._recent(route, now_s)
        return ended[0][1] if ended else None

    def _recent(self, route: RouteName, now_s: float) -> deque[tuple[float, float]]:
        ended = self._ended_by_route.setdefault(route, deque())
        while ended and now_s - ended[0][0] > _DURATION_WINDOW_S:
            ended.popleft()
        return ended


class DrainAdmission:
    """Refuses requests that may not be answered before the process ends.

    :param drain_period: Returns when the shutdown began and when the process ends, or
        None while it does not shut down.
    """

    def __init__(self, *, drain_period: Callable[[], DrainPeriod | None]) -> None:
        self._drain_period = drain_period
        self._durations = RouteDurations()

    def record_answer(self, job: ActiveRequest, *, now_s: float) -> None:
        """Learn from a complete answer.

        :param now_s: Boot-time clock, in seconds.
        """
        duration_s = now_s - job.request.arrived_at_s
        self._durations.record(job.route.name, duration_s, now_s=now_s)

    def refusal(self, job: ActiveRequest, *, now_s: float) -> Failure | None:
        """Return the failure of a request that comes too late, if it does.

        :param now_s: Boot-time clock, in seconds.
        """
        period = self._drain_period()
        # Until then, the load balancer still sends new connections here.
        if period is None or now_s < period.started_at_s + LISTEN_AFTER_SIGNAL_S:
            return None
        longest_s = self._durations.longest_s(job.route.name, now_s=now_s)
        needed_s = job.deadline_s - now_s
        if longest_s is not None:
            needed_s = min(needed_s, _DURATION_MARGIN * longest_s)
        left_s = period.ends_at_s - now_s
        if needed_s <= left_s:
            return None
        return not_run(
            reason=Reason.SHUTTING_DOWN,
            detail=(
                f"this daemon ends in {max(0.0, left_s):.1f} s, and an answer may take"
                f" {needed_s:.1f} s"
            ),
            retry_after_s=SHUTDOWN_RETRY_AFTER_S,
        )
