"""Adaptive concurrency limit based on the latency gradient."""

from math import sqrt

#: Weight of one call in the smoothed ratio of recent to long-term latency.
_RECENT_WEIGHT = 0.1
#: Weight of one call in the long-term latency of its kind.
_LONG_TERM_WEIGHT = 0.002
#: Number of first calls of a kind whose plain mean is its long-term latency; later
#: calls are smoothed in.
_WARM_UP_CALLS = 10
#: Ratio of recent to long-term latency up to which the limit is not lowered.
_LATENCY_TOLERANCE = 1.5
#: Fraction of the distance to the target limit that one call applies.
_LIMIT_SMOOTHING = 0.05
#: Lowest gradient, so that a short slowdown at most halves the target limit.
_MIN_GRADIENT = 0.5
#: Factor on the limit after an upstream refused a call because of overload.
_BACKOFF_FACTOR = 0.9


class ConcurrencyLimit:
    """Adaptive limit on the calls that one daemon has in flight at a pool.

    Follows the gradient algorithm of Netflix's concurrency-limits: the limit shrinks
    with the ratio of long-term to recent latency, and grows by its square root while
    that ratio is within the tolerance and the limit is in use. Latencies are compared
    within each kind of call, since one pool serves stages of very different duration.
    """

    def __init__(
        self, *, floor: int = 4, ceiling: int = 256, initial: int = 32
    ) -> None:
        """Create a limit.

        :param floor: Lowest limit.
        :param ceiling: Highest limit.
        :param initial: Limit before the first call.
        """
        self._floor = floor
        self._ceiling = ceiling
        self._limit = float(initial)
        self._recent_ratio = 1.0
        self._long_term_by_kind: dict[str, tuple[int, float]] = {}

    @property
    def limit(self) -> int:
        """Number of calls that may be in flight."""
        return int(self._limit)

    def record(self, *, kind: str, duration_s: float, in_flight: int) -> None:
        """Adapt the limit to one finished call.

        :param kind: Kind of call, for example a pipeline and stage.
        :param duration_s: Duration of the call, or of one of its tokens, in seconds.
        :param in_flight: Calls in flight when the call ended, itself included.
        """
        count, long_term_s = self._long_term_by_kind.get(kind, (0, duration_s))
        count += 1
        weight = 1 / count if count <= _WARM_UP_CALLS else _LONG_TERM_WEIGHT
        long_term_s += weight * (duration_s - long_term_s)
        self._long_term_by_kind[kind] = (count, long_term_s)
        ratio = duration_s / long_term_s if long_term_s > 0 else 1.0
        self._recent_ratio += _RECENT_WEIGHT * (ratio - self._recent_ratio)
        gradient = max(_MIN_GRADIENT, min(1.0, _LATENCY_TOLERANCE / self._recent_ratio))
        if gradient >= 1.0 and in_flight < self._limit / 2:
            # Good latency while less than half of the limit is in use does not show
            # that a higher limit is safe.
            return
        target = self._limit * gradient + sqrt(self._limit)
        self._set_limit(self._limit + _LIMIT_SMOOTHING * (target - self._limit))

    def record_overload(self) -> None:
        """Lower the limit after an upstream refused a call because of overload."""
        self._set_limit(self._limit * _BACKOFF_FACTOR)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(max(limit, float(self._floor)), float(self._ceiling))
