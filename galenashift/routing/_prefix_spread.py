"""How many upstreams the requests of a prompt prefix need."""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import ceil, exp, sqrt

#: Times in which counted requests lose all but 1/e of their weight, in seconds, and the
#: standard deviations that are subtracted from the counts. The short time notices a
#: burst where requests are many, the long one collects evidence where a daemon sees one
#: request of a prefix in several seconds.
_WINDOWS = ((4.0, 2.0), (30.0, 1.0))
#: The same for requests that have not ended. They tell of a burst first, and become
#: more while they wait for a slot.
_IN_FLIGHT_DEVIATIONS = 1.5
#: Share of an upstream's slots that the requests of one prefix may take. The rest is
#: for other prefixes and for what the estimate misses.
_TARGET_UTILISATION = 0.5
#: Assumed duration of a request before the first one has ended, in seconds.
_DEFAULT_DURATION_S = 1.0
#: Weight of a new sample in the moving average of durations.
_SAMPLE_WEIGHT = 0.1
#: Part of a set that suffices when it counts as too large, and the time for which it
#: must do so before the set shrinks. Another upstream has to read the prefix again, so
#: a set that follows each fluctuation costs more than a large one.
_SHRINK_RATIO = 0.7
_SHRINK_DELAY_S = 30.0
#: Largest number of prefixes that are remembered, those without requests last.
_MAX_PREFIXES = 512


@dataclass(kw_only=True)
class _Prefix:
    """What is remembered of the requests of one prefix."""

    #: Requests with decayed weight, for each window, as of `counted_at_s`.
    counts: list[float] = field(default_factory=lambda: [0.0] * len(_WINDOWS))
    counted_at_s: float = 0.0
    #: Requests that have not ended.
    in_flight: int = 0
    #: Number of upstreams at present.
    size: int = 1
    #: Since when fewer would do; None if they would not.
    excessive_since_s: float | None = None

    def decay(self, *, now_s: float) -> None:
        """Reduce the weight of earlier requests."""
        elapsed_s = max(0.0, now_s - self.counted_at_s)
        self.counted_at_s = now_s
        self.counts = [
            count * exp(-elapsed_s / window_s)
            for count, (window_s, _) in zip(self.counts, _WINDOWS, strict=True)
        ]

    def rate_per_s(self) -> float:
        """Return the rate that the requests here are evidence of.

        It is the lower end of what fits the counts. Otherwise the second request of a
        rare prefix, multiplied by hundreds of daemons, would look like a hot one.
        """
        rates_per_s = (
            (count - deviations * sqrt(count)) / window_s
            for count, (window_s, deviations) in zip(self.counts, _WINDOWS, strict=True)
        )
        return max(0.0, *rates_per_s)

    def concurrent(self) -> float:
        """Return the number of concurrent requests that those here are evidence of."""
        deviation = _IN_FLIGHT_DEVIATIONS * sqrt(self.in_flight)
        return max(0.0, self.in_flight - deviation)

    def resize(self, needed: float, *, now_s: float) -> None:
        """Grow the set at once, or shrink it after some time.

        :param needed: Number of upstreams that the requests need.
        """
        self.size = max(self.size, ceil(needed))
        enough = max(1, ceil(needed / _SHRINK_RATIO))
        if enough >= self.size:
            self.excessive_since_s = None
        elif self.excessive_since_s is None:
            self.excessive_since_s = now_s
        elif now_s - self.excessive_since_s >= _SHRINK_DELAY_S:
            self.excessive_since_s = None
            self.size = enough


class PrefixSpread:
    """Sizes of the sets of upstreams that serve prompt prefixes of one service.

    A prefix goes to the first upstreams of its rendezvous order, as many as its
    requests need. Daemons that estimate different sizes agree on all but the last
    upstreams. Clocks are the boot-time clock, in seconds.
    """

    def __init__(self) -> None:
        self._prefixes: OrderedDict[str, _Prefix] = OrderedDict()
        self._duration_s: float | None = None

    @property
    def duration_s(self) -> float:
        """Mean time for which a request takes a slot, in seconds."""
        return _DEFAULT_DURATION_S if self._duration_s is None else self._duration_s

    def record_request(self, key: str, *, now_s: float) -> None:
        """Count a request of a prefix that is sent; `record_end` follows."""
        prefix = self._prefixes.setdefault(key, _Prefix(counted_at_s=now_s))
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.popitem(last=False)
        prefix.decay(now_s=now_s)
        prefix.counts = [count + 1.0 for count in prefix.counts]
        prefix.in_flight += 1

    def record_end(self, key: str, *, duration_s: float | None) -> None:
        """Count the end of a request.

        :param duration_s: Time for which it took a slot, in seconds; None if it was not
            executed.
        """
        prefix = self._prefixes.get(key)
        if prefix is not None:
            prefix.in_flight = max(0, prefix.in_flight - 1)
        if duration_s is None:
            return
        if self._duration_s is None:
            self._duration_s = duration_s
        self._duration_s += _SAMPLE_WEIGHT * (duration_s - self._duration_s)

    def rate_per_s(self, key: str, *, daemons: int, now_s: float) -> float:
        """Estimate the requests per second of a prefix at all daemons."""
        prefix = self._prefixes.get(key)
        if prefix is None:
            return 0.0
        prefix.decay(now_s=now_s)
        return prefix.rate_per_s() * daemons

    def size(self, key: str, *, daemons: int, slots: float, now_s: float) -> int:
        """Return the number of upstreams that a prefix goes to, at least one.

        :param daemons: Number of daemons that get such requests.
        :param slots: Requests that an upstream executes concurrently.
        """
        prefix = self._prefixes.get(key)
        if prefix is None:
            return 1
        rate_per_s = self.rate_per_s(key, daemons=daemons, now_s=now_s)
        by_rate = rate_per_s * self.duration_s
        concurrent = max(by_rate, prefix.concurrent() * daemons)
        usable = _TARGET_UTILISATION * max(1.0, slots)
        prefix.resize(concurrent / usable, now_s=now_s)
        return prefix.size
