"""Decides whether a second upstream is asked while the first is late.

Such a second send is called a hedge. Nothing here does input or output, and the time is
an argument. Clocks are the boot-time clock, in seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Any

from hdrh.histogram import HdrHistogram

from galenashift.model import RouteName, ServiceName

#: Resolution and range of the histograms; longer latencies are clamped.
_UNITS_PER_S = 10_000
_MAX_UNITS = 60 * _UNITS_PER_S
#: Precision of the histograms. Two digits keep a histogram near 14 KB.
_SIGNIFICANT_DIGITS = 2
#: Shortest and longest window, in seconds. It ends once it is that old and has enough
#: samples, so that a busy daemon notices a change soon and a quiet one has samples.
_MIN_WINDOW_S = 10.0
_MAX_WINDOW_S = 120.0
_FULL_WINDOW_SAMPLES = 200
#: Samples from which on the distribution is used.
MIN_SAMPLES = 20
#: Time between two evaluations of a histogram, each of which scans it, in seconds.
_REFRESH_INTERVAL_S = 1.0
#: Services and routes with histograms; the least recent ones are dropped.
_MAX_KEYS = 128

#: Smallest and largest quantile that is used as the delay. Between them, the delay is
#: the quantile that as many requests exceed as the operator's share allows to hedge.
_MIN_QUANTILE = 0.90
_MAX_QUANTILE = 0.99
#: Smallest delay as a multiple of the median. Where all answers take nearly the same
#: time, a late one is as soon there as that of another upstream.
_MIN_MEDIAN_RATIO = 1.5
#: Smallest delay, in seconds.
_MIN_DELAY_S = 0.005
#: Smallest delay with fewer samples, as a ratio of the route's latency goal and as a
#: multiple of the median. Sends that were given up are among the samples, so that their
#: longest one would raise the delay with each hedge.
_FALLBACK_GOAL_RATIO = 0.5
_FALLBACK_MEDIAN_RATIO = 2.0

#: Hedges that a service may save up. They bound what is sent at once when an upstream
#: becomes slow.
_MAX_SAVED_HEDGES = 5.0
#: Allowance for sums of shares, which are rounded.
_ROUNDING = 1e-9
#: Part of the retry budget that is left to ordinary retries.
RETRY_RESERVE_RATIO = 0.5

#: Time for which a refusal for lack of capacity counts, in seconds.
REFUSAL_WINDOW_S = 5.0
#: Load per slot from which on a service is short of capacity for hedges.
_MAX_LOAD_RATIO = 0.8
#: Part of the other upstreams that must be able to accept the request.
_MIN_ELIGIBLE_RATIO = 0.5


class HeldBack(Enum):
    """Why a late request is not sent to a second upstream."""

    #: It reads results of stages, which would be moved twice.
    STAGE_RESULTS = "stage-results"
    #: The route allows no further send.
    ATTEMPTS = "attempts"
    #: It, or a part of its prompt, may crash upstreams.
    SUSPECTED = "suspected-of-crashes"
    #: A usual answer would come after the deadline.
    DEADLINE = "deadline"
    #: All upstreams were tried, or the only ones left are cold or rate-limited.
    NO_UPSTREAM = "no-upstream"
    #: The service is short of capacity.
    CAPACITY = "short-of-capacity"
    #: The operator's share is used up.
    SHARE = "share"
    #: The rest of the retry budget is left to ordinary retries.
    RETRY_BUDGET = "retry-budget"


@dataclass(frozen=True, kw_only=True)
class HedgeDelay:
    """When a request of a service and route counts as late."""

    #: Time from the first send, in seconds.
    delay_s: float
    #: Time that such requests usually take, in seconds; 0 if nothing is known.
    usual_s: float
    #: Samples that the delay is based on.
    samples: int


@dataclass(frozen=True, kw_only=True)
class ServiceCapacity:
    """What this daemon knows of the free capacity of a service."""

    #: Upstreams that accept requests and that the request was not sent to.
    others: int
    #: Those of them that are neither cold nor rate-limited.
    steady: int
    #: Those of them that accept the request now.
    eligible: int
    #: Mean of their estimated loads per slot.
    load_ratio: float
    #: Time since a request was refused for lack of capacity; infinity if none was.
    refused_ago_s: float

    @property
    def is_short(self) -> bool:
        """Whether the service has no capacity for work that may not be used."""
        return (
            self.refused_ago_s < REFUSAL_WINDOW_S
            or self.load_ratio >= _MAX_LOAD_RATIO
            or self.eligible < _MIN_ELIGIBLE_RATIO * self.others
        )


@dataclass(frozen=True, kw_only=True)
class LateRequest:
    """A request whose first upstream is late."""

    reads_stage_results: bool
    #: Sends that the route still allows.
    sends_left: int
    is_suspected: bool
    #: Time until the deadline, in seconds.
    left_s: float
    #: See `HedgeDelay`.
    usual_s: float
    capacity: ServiceCapacity


def hold_back(request: LateRequest) -> HeldBack | None:
    """Return why a late request is not hedged, or None if it may be.

    The shares and budgets are not checked here, as they are spent by a check.
    """
    capacity = request.capacity
    causes = {
        HeldBack.STAGE_RESULTS: request.reads_stage_results,
        HeldBack.ATTEMPTS: request.sends_left < 1,
        HeldBack.SUSPECTED: request.is_suspected,
        HeldBack.DEADLINE: request.left_s <= request.usual_s,
        HeldBack.NO_UPSTREAM: capacity.steady < 1,
        HeldBack.CAPACITY: capacity.eligible < 1 or capacity.is_short,
    }
    return next((cause for cause, applies in causes.items() if applies), None)


class HedgeShares:
    """The operator's share of requests that may be hedged, by service.

    Each request adds the share to a bucket, and each hedge takes one from it. A bucket
    starts empty and saves up a few hedges only.

    :param share: Hedges for each request, from 0 to 1.
    """

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._saved_by_service: dict[ServiceName, float] = {}

    def count_request(self, service: ServiceName) -> None:
        """Count a request that may be hedged."""
        saved = self.saved(service) + self._share
        self._saved_by_service[service] = min(_MAX_SAVED_HEDGES, saved)

    def saved(self, service: ServiceName) -> float:
        """Return the number of hedges that may be sent now."""
        return self._saved_by_service.get(service, 0.0)

    def can_take(self, service: ServiceName) -> bool:
        """Tell whether a hedge may be sent now."""
        return self.saved(service) >= 1 - _ROUNDING

    def take(self, service: ServiceName) -> None:
        """Count a hedge; `can_take` must have allowed it."""
        self._saved_by_service[service] = self.saved(service) - 1


class HedgeDelays:
    """Delays by the latencies of recent first sends, by service and route.

    :param share: Hedges for each request, from 0 to 1.
    """

    def __init__(self, *, share: float) -> None:
        self._quantile = min(_MAX_QUANTILE, max(_MIN_QUANTILE, 1 - share))
        self._latencies_by_key: OrderedDict[
            tuple[ServiceName, RouteName], _Latencies
        ] = OrderedDict()

    def record(
        self, service: ServiceName, route: RouteName, latency_s: float, *, now_s: float
    ) -> None:
        """Add the latency of a first send.

        :param latency_s: Time to the answer or to the first event of a stream; for an
            exchange that was given up, the time until then, which is a lower bound.
        """
        key = (service, route)
        latencies = self._latencies_by_key.get(key)
        if latencies is None:
            latencies = _Latencies(quantile=self._quantile, now_s=now_s)
            self._latencies_by_key[key] = latencies
            if len(self._latencies_by_key) > _MAX_KEYS:
                self._latencies_by_key.popitem(last=False)
        self._latencies_by_key.move_to_end(key)
        latencies.record(latency_s, now_s=now_s)

    def delay(
        self, service: ServiceName, route: RouteName, *, goal_s: float, now_s: float
    ) -> HedgeDelay:
        """Return when a request counts as late.

        With less than `MIN_SAMPLES` samples, that is after half the latency goal, but
        not before twice the median of those samples.

        :param goal_s: Latency goal of the route, in seconds.
        """
        latencies = self._latencies_by_key.get((service, route))
        if latencies is None:
            return _fallback(goal_s, samples=0, median_s=0.0)
        return latencies.delay(goal_s=goal_s, now_s=now_s)


class _Window:
    """Latencies of some time."""

    def __init__(self, now_s: float) -> None:
        self.histogram: Any = HdrHistogram(1, _MAX_UNITS, _SIGNIFICANT_DIGITS)
        self.samples = 0
        self.started_at_s = now_s
        self.last_at_s = now_s

    def record(self, latency_s: float, now_s: float) -> None:
        units = int(latency_s * _UNITS_PER_S)
        self.histogram.record_value(min(max(units, 1), _MAX_UNITS))
        self.samples += 1
        self.last_at_s = now_s

    def is_complete(self, now_s: float) -> bool:
        age_s = now_s - self.started_at_s
        if age_s >= _MAX_WINDOW_S:
            return True
        return age_s >= _MIN_WINDOW_S and self.samples >= _FULL_WINDOW_SAMPLES

    def is_recent(self, now_s: float) -> bool:
        return now_s - self.last_at_s < _MAX_WINDOW_S

    def percentile_s(self, ratio: float) -> float:
        value = self.histogram.get_value_at_percentile(100 * ratio)
        return float(value) / _UNITS_PER_S


class _Latencies:
    """Latencies of one service and route, in the current and the previous window."""

    def __init__(self, *, quantile: float, now_s: float) -> None:
        self._quantile = quantile
        self._windows = [_Window(now_s)]
        #: Latest evaluation; None if there are no samples.
        self._usual: _UsualLatency | None = None
        self._refresh_at_s = now_s

    def record(self, latency_s: float, *, now_s: float) -> None:
        if self._windows[0].is_complete(now_s):
            self._windows = [_Window(now_s), self._windows[0]]
        self._windows[0].record(latency_s, now_s)

    def delay(self, *, goal_s: float, now_s: float) -> HedgeDelay:
        if now_s >= self._refresh_at_s:
            self._refresh_at_s = now_s + _REFRESH_INTERVAL_S
            self._usual = self._evaluate(now_s)
        usual = self._usual
        if usual is None:
            return _fallback(goal_s, samples=0, median_s=0.0)
        if usual.samples < MIN_SAMPLES:
            return _fallback(goal_s, samples=usual.samples, median_s=usual.median_s)
        return HedgeDelay(
            delay_s=max(usual.late_s, _MIN_MEDIAN_RATIO * usual.median_s, _MIN_DELAY_S),
            usual_s=usual.median_s,
            samples=usual.samples,
        )

    def _evaluate(self, now_s: float) -> "_UsualLatency | None":
        """Evaluate the latest window with enough samples, or that with most."""
        recent = [each for each in self._windows if each.is_recent(now_s)]
        window = max(
            recent, key=lambda each: min(each.samples, MIN_SAMPLES), default=None
        )
        if window is None or not window.samples:
            return None
        return _UsualLatency(
            median_s=window.percentile_s(0.5),
            late_s=window.percentile_s(self._quantile),
            samples=window.samples,
        )


@dataclass(frozen=True, kw_only=True)
class _UsualLatency:
    """Evaluation of a window, in seconds."""

    median_s: float
    late_s: float
    samples: int


def _fallback(goal_s: float, *, samples: int, median_s: float) -> HedgeDelay:
    delay_s = max(_FALLBACK_GOAL_RATIO * goal_s, _FALLBACK_MEDIAN_RATIO * median_s)
    return HedgeDelay(
        delay_s=max(delay_s, _MIN_DELAY_S), usual_s=median_s, samples=samples
    )
