"""Evidence on two versions of a service: answers, failures and latencies by route."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from galenashift.model import DaemonId, Incarnation, RolloutState, RouteName

#: Shortest latency that is told apart from others, in seconds.
_MIN_LATENCY_S = 0.001
#: Ratio of the bounds of a latency bucket.
BUCKET_RATIO = 1.25
#: Number of latency buckets; the last one begins at 18 min.
BUCKETS = 64
#: Time for which evidence is kept by second, in seconds.
WINDOW_S = 45
#: Most different keys of one service; answers with others count for none.
MAX_KEYS = 512
#: Most processes whose counts are kept, several times the size of the largest fleet.
_MAX_REPORTERS = 4_096
#: Tokens of a prompt from which it is in the next size class.
_SIZE_BOUNDS = (512, 2_048, 8_192)


class Side(Enum):
    """One of the two versions that are compared."""

    OLD = "old"
    NEW = "new"

    # Keys are hashed for each count; the hash of `Enum` is a Python function.
    __hash__ = object.__hash__


class Measure(Enum):
    """What a latency measures."""

    #: Time to the complete answer, or to the first event of a stream.
    FIRST = "first"
    #: Time to the end of a stream.
    TOTAL = "total"

    __hash__ = object.__hash__


@dataclass(frozen=True, kw_only=True)
class EvidenceKey:
    """Answers that are compared with each other."""

    side: Side
    route: RouteName
    #: Latency depends on the size of the prompt, so sizes are compared separately.
    size_class: int = 0
    measure: Measure = Measure.FIRST


@dataclass(kw_only=True)
class Counts:
    """Counts of answers, which only grow."""

    answers: int = 0
    failures: int = 0
    #: Answers by latency bucket; without failures and answers of cold upstreams.
    count_by_bucket: dict[int, int] = field(default_factory=dict)

    def add(self, other: "Counts") -> None:
        """Add other counts."""
        self.answers += other.answers
        self.failures += other.failures
        for bucket, count in other.count_by_bucket.items():
            self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + count

    def raise_to(self, other: "Counts") -> "Counts":
        """Raise each count to that of a later or earlier report of the same process.

        :returns: By how much the counts grew; nothing for a late or duplicate report.
        """
        buckets: dict[int, int] = {}
        for bucket, count in other.count_by_bucket.items():
            grown = count - self.count_by_bucket.get(bucket, 0)
            if grown > 0:
                buckets[bucket] = grown
        growth = Counts(
            answers=max(0, other.answers - self.answers),
            failures=max(0, other.failures - self.failures),
            count_by_bucket=buckets,
        )
        self.add(growth)
        return growth

    def copy(self) -> "Counts":
        """Return an independent copy."""
        return Counts(
            answers=self.answers,
            failures=self.failures,
            count_by_bucket=dict(self.count_by_bucket),
        )


CountsByKey = Mapping[EvidenceKey, Counts]


@dataclass(frozen=True, kw_only=True)
class EvidenceReport:
    """What one process reports on a rollout; all counts are cumulative."""

    order_revision: int
    incarnation: Incarnation
    #: Requests sent to each version.
    sent_old: int
    sent_new: int
    #: Requests and stage results at upstreams of the old version.
    open_old: int
    #: Directive that the process follows.
    state: RolloutState
    sequence: int
    share: float
    #: Time left before the deadline by what the process knows, in seconds.
    remaining_s: float
    #: Whether all entries are included, not only those that have changed.
    full: bool
    counts_by_key: CountsByKey


def latency_bucket(latency_s: float) -> int:
    """Return the number of the bucket of a latency."""
    if latency_s <= _MIN_LATENCY_S:
        return 0
    bucket = int(math.log(latency_s / _MIN_LATENCY_S) / math.log(BUCKET_RATIO))
    return min(BUCKETS - 1, bucket)


def size_class(prompt_tokens: int) -> int:
    """Return the size class of a prompt."""
    return sum(prompt_tokens >= bound for bound in _SIZE_BOUNDS)


class LocalEvidence:
    """What this process has seen of the versions since the order."""

    def __init__(self) -> None:
        self.sent_by_side = {Side.OLD: 0, Side.NEW: 0}
        self._counts_by_key: dict[EvidenceKey, Counts] = {}
        self._unreported: set[EvidenceKey] = set()

    def record_send(self, side: Side) -> None:
        """Count a request that is sent."""
        self.sent_by_side[side] += 1

    def record_answer(
        self, key: EvidenceKey, *, failed: bool, latency_s: float | None
    ) -> None:
        """Count an answer.

        :param latency_s: None if it is not to be compared.
        """
        counts = self._counts(key)
        counts.answers += 1
        counts.failures += failed
        if latency_s is not None:
            self.record_latency(key, latency_s)

    def record_latency(self, key: EvidenceKey, latency_s: float) -> None:
        """Count a latency, also a further one of an answer that is counted already."""
        counts = self._counts(key).count_by_bucket
        bucket = latency_bucket(latency_s)
        counts[bucket] = counts.get(bucket, 0) + 1

    def _counts(self, key: EvidenceKey) -> Counts:
        if key not in self._counts_by_key and len(self._counts_by_key) >= MAX_KEYS:
            return Counts()
        self._unreported.add(key)
        return self._counts_by_key.setdefault(key, Counts())

    @property
    def has_unreported(self) -> bool:
        """Whether there are counts that were not reported yet."""
        return bool(self._unreported)

    def all_counts(self) -> dict[EvidenceKey, Counts]:
        """Return all counts."""
        return {key: counts.copy() for key, counts in self._counts_by_key.items()}

    def take_changes(self, *, full: bool) -> dict[EvidenceKey, Counts]:
        """Return the counts to report, and regard them as reported.

        :param full: Whether to return all counts, and not only the changed ones.
        """
        keys: Iterable[EvidenceKey] = self._counts_by_key if full else self._unreported
        changes = {key: self._counts_by_key[key].copy() for key in keys}
        self._unreported.clear()
        return changes


@dataclass(kw_only=True)
class _Reporter:
    incarnation: Incarnation
    sent_old: int = 0
    sent_new: int = 0
    counts_by_key: dict[EvidenceKey, Counts] = field(default_factory=dict)


class FleetEvidence:
    """Evidence of all daemons, merged so that repeated reports count once."""

    def __init__(self) -> None:
        self._reporters: dict[tuple[DaemonId, Incarnation], _Reporter] = {}
        self._totals: dict[EvidenceKey, Counts] = {}
        self._by_second: dict[int, dict[EvidenceKey, Counts]] = {}
        #: Sums over the seconds before the newest one, by the second they begin with.
        self._earlier_sums: dict[int, dict[EvidenceKey, Counts]] = {}
        self._newest_second = 0
        self.sent_old = 0
        self.sent_new = 0

    def knows(self, daemon: DaemonId, incarnation: Incarnation) -> bool:
        """Tell whether a process has reported before."""
        return (daemon, incarnation) in self._reporters

    def merge(self, daemon: DaemonId, report: EvidenceReport, *, now_s: float) -> None:
        """Add what is new in a report.

        :param now_s: Boot-time clock, in seconds.
        """
        identity = (daemon, report.incarnation)
        if identity not in self._reporters and len(self._reporters) >= _MAX_REPORTERS:
            return
        reporter = self._reporters.setdefault(
            identity, _Reporter(incarnation=report.incarnation)
        )
        self.sent_old += max(0, report.sent_old - reporter.sent_old)
        self.sent_new += max(0, report.sent_new - reporter.sent_new)
        reporter.sent_old = max(reporter.sent_old, report.sent_old)
        reporter.sent_new = max(reporter.sent_new, report.sent_new)
        second = self._second(int(now_s))
        for key, counts in report.counts_by_key.items():
            if key not in self._totals and len(self._totals) >= MAX_KEYS:
                continue
            known = reporter.counts_by_key.setdefault(key, Counts())
            growth = known.raise_to(counts)
            self._totals.setdefault(key, Counts()).add(growth)
            second.setdefault(key, Counts()).add(growth)

    def _second(self, number: int) -> dict[EvidenceKey, Counts]:
        """Return the counts of a second; old seconds are dropped when one begins."""
        if number != self._newest_second:
            self._newest_second = number
            self._earlier_sums.clear()
            for second in list(self._by_second):
                if second < number - WINDOW_S:
                    del self._by_second[second]
        return self._by_second.setdefault(number, {})

    @property
    def totals(self) -> CountsByKey:
        """Counts since the order."""
        return self._totals

    def since(self, from_s: float) -> CountsByKey:
        """Return the counts that arrived since a time, at most `WINDOW_S` ago.

        :param from_s: Boot-time clock, in seconds.
        """
        first = int(from_s)
        earlier = self._earlier_sums.get(first)
        if earlier is None:
            # Only the newest second changes until the next one begins.
            earlier = self._earlier_sums[first] = _sum(
                counts_by_key
                for second, counts_by_key in self._by_second.items()
                if second >= first and second != self._newest_second
            )
        newest = self._by_second.get(self._newest_second)
        if not newest or self._newest_second < first:
            return earlier
        merged = dict(earlier)
        for key, counts in newest.items():
            known = merged.get(key)
            merged[key] = counts if known is None else _sum_of_two(known, counts)
        return merged

    def answers(self, side: Side) -> int:
        """Return the number of answers of a version."""
        return sum(
            counts.answers for key, counts in self._totals.items() if key.side is side
        )


def _sum(parts: Iterable[CountsByKey]) -> dict[EvidenceKey, Counts]:
    merged: dict[EvidenceKey, Counts] = {}
    for counts_by_key in parts:
        for key, counts in counts_by_key.items():
            merged.setdefault(key, Counts()).add(counts)
    return merged


def _sum_of_two(first: Counts, second: Counts) -> Counts:
    merged = first.copy()
    merged.add(second)
    return merged
