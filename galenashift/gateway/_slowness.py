"""How long work takes on an upstream at present, by its reports and their age."""

from dataclasses import dataclass, field
from math import exp, inf, log

#: Time in which the weight of a report is assumed to fall to 1/e, in seconds, before it
#: is known from reports. The figure changes many times a second.
_ASSUMED_LIFETIME_S = 0.2
#: Bounds of the time that is learned, in seconds.
_MIN_LIFETIME_S = 0.02
_MAX_LIFETIME_S = 2.0
#: Bounds of the time between two reports that are compared, in seconds.
_MIN_GAP_S = 0.02
_MAX_GAP_S = 1.0
#: Pairs of reports that are needed, and the weight that each pair leaves to the earlier
#: ones.
_MIN_PAIRS = 50
_PAIR_DECAY = 0.995
#: Weight of a new report in the mean that deviations are taken from.
_MEAN_WEIGHT = 0.05
#: Largest deviation that counts, so that a single wrong report decides nothing.
_MAX_DEVIATION = 2.0
#: Smallest and largest factor. A wrong report must neither attract all requests, nor
#: make a call that hangs look like a slow one.
_MIN_FACTOR = 0.25
_MAX_FACTOR = 4.0


@dataclass(kw_only=True)
class ReportLifetime:
    """Learns from successive reports how fast their weight decreases.

    The weight of a report is its correlation with the next one of the same upstream,
    which is taken to decrease exponentially with the time between them. The sums are of
    all upstreams that share this object; earlier pairs count less and less.
    """

    _pairs: int = 0
    _products: float = 0.0
    _squares: float = 0.0
    #: Times between the reports, weighed like the squares.
    _gaps_s: float = 0.0

    def record(self, before: float, after: float, *, gap_s: float) -> None:
        """Record two successive reports of an upstream.

        :param before: Deviation of the earlier one from the upstream's mean.
        :param after: Deviation of the later one.
        :param gap_s: Time between them, in seconds.
        """
        if not _MIN_GAP_S <= gap_s <= _MAX_GAP_S:
            return
        one = min(max(before, -_MAX_DEVIATION), _MAX_DEVIATION)
        other = min(max(after, -_MAX_DEVIATION), _MAX_DEVIATION)
        square = (one * one + other * other) / 2
        self._pairs += 1
        self._products = _PAIR_DECAY * self._products + one * other
        self._squares = _PAIR_DECAY * self._squares + square
        self._gaps_s = _PAIR_DECAY * self._gaps_s + square * gap_s

    @property
    def lifetime_s(self) -> float:
        """Time in which the weight of a report falls to 1/e, in seconds."""
        if self._pairs < _MIN_PAIRS or self._squares <= 0:
            return _ASSUMED_LIFETIME_S
        correlation = self._products / self._squares
        if correlation <= 0:
            return _MIN_LIFETIME_S
        if correlation >= 1:
            return _MAX_LIFETIME_S
        lifetime_s = self._gaps_s / self._squares / -log(correlation)
        return min(max(lifetime_s, _MIN_LIFETIME_S), _MAX_LIFETIME_S)


@dataclass(kw_only=True)
class ReportedSlowness:
    """The slowness that an upstream reports, relative to what it usually reports.

    Measured durations include the usual slowness of an upstream already, so that only
    the difference from it tells something about the next request.

    :param sample_weight: Weight of a new report in the moving average.
    :param lifetime: How fast the weight of reports decreases.
    """

    sample_weight: float
    lifetime: ReportLifetime = field(default_factory=ReportLifetime)
    #: Last report, as a ratio of the usual duration.
    latest: float = 1.0
    #: Moving average of the reports.
    usual: float = 1.0
    #: Boot-time clock of the last report, in seconds.
    heard_at_s: float = -inf
    #: Long-term mean of the reports.
    mean: float = 1.0

    def record(self, slowness: float, *, now_s: float) -> None:
        """Record a report.

        :param slowness: Present duration of work, as a ratio of the usual one.
        :param now_s: Boot-time clock, in seconds.
        """
        self.lifetime.record(
            self.latest - self.mean,
            slowness - self.mean,
            gap_s=now_s - self.heard_at_s,
        )
        self.mean += _MEAN_WEIGHT * (slowness - self.mean)
        self.latest = slowness
        self.usual += self.sample_weight * (slowness - self.usual)
        self.heard_at_s = now_s

    def factor(self, *, duration_s: float, now_s: float) -> float:
        """Return the expected duration of work that starts now, as a multiple.

        :param duration_s: Duration by the measurements, in seconds.
        :param now_s: Boot-time clock, in seconds.
        """
        weight = report_weight(
            age_s=now_s - self.heard_at_s,
            duration_s=duration_s,
            lifetime_s=self.lifetime.lifetime_s,
        )
        factor = 1.0 + weight * (self.latest / self.usual - 1.0)
        return min(max(factor, _MIN_FACTOR), _MAX_FACTOR)


def report_weight(*, age_s: float, duration_s: float, lifetime_s: float) -> float:
    """Return the mean weight of a report while the work that starts now is done.

    The weight decreases exponentially with the age, so long work depends little on what
    holds at its start.

    :param age_s: Age of the report when the work starts, in seconds.
    :param duration_s: Duration of the work, in seconds.
    :param lifetime_s: Time in which the weight of a report falls to 1/e, in seconds.
    :returns: From 0 to 1.
    """
    at_start = exp(-max(0.0, age_s) / lifetime_s)
    lifetimes = duration_s / lifetime_s
    if lifetimes <= 0:
        return at_start
    return at_start * (1.0 - exp(-lifetimes)) / lifetimes
