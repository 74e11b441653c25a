"""Judges a new version by comparing its answers with those of the old one."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from galenashift.model import RouteName

from ._evidence import (
    MAX_KEYS,
    Counts,
    CountsByKey,
    EvidenceKey,
    FleetEvidence,
    Measure,
    Side,
)

#: Periods that are compared, in seconds; the whole rollout is compared as well. Short
#: ones find a version that turns bad late, whose earlier answers would hide it.
_PERIODS_S = (3.0, 12.0, 45.0)
#: Chance of the evidence if the new version were like the old one, below which the new
#: one is judged bad. Some hundred periods and routes are judged in a rollout.
_BAD_CHANCE = 3e-5
#: Chance below which the share does not grow. A bad version that is completed costs
#: more than a good one that is not.
_SUSPECT_CHANCE = 2e-3
#: Least number of bad answers on which a version is suspect, and judged bad.
_MIN_SUSPECT = 3
_MIN_BAD = 4
#: Buckets above the median of the old version from which an answer is slow, which is
#: 2.4 times the median.
_SLOW_BUCKETS = 4
#: Answers of the old version from which its median is known.
_MIN_MEDIAN_ANSWERS = 8
#: Weight of the whole rollout beside that of a period, in answers.
_PRIOR_ANSWERS = 10.0
#: Lowest rate of bad answers that is assumed of the old version.
_MIN_RATE = 0.02
#: Rate of slow answers that is assumed of the old version at least. Latency depends on
#: the load, which is not the same for both.
_MIN_SLOW_RATE = 0.05
#: Rate that is assumed of the old version without an answer of it.
_UNKNOWN_RATE = 0.2
#: Ratio to the rate of the old version from which a rate of slow answers is bad.
_SLOW_RATE_RATIO = 2.0
#: Number of answers from which the binomial distribution is approximated.
_MAX_EXACT = 2_000


class Fault(Enum):
    """What is bad about the answers of a version."""

    FAILURES = "failures"
    SLOW = "slow"

    # Samples are looked up by it; the hash of `Enum` is a Python function.
    __hash__ = object.__hash__


@dataclass(frozen=True, kw_only=True)
class Finding:
    """The strongest evidence against a new version."""

    fault: Fault
    #: None for all routes together.
    route: RouteName | None
    #: Period that is compared, in seconds; None for the whole rollout.
    period_s: float | None
    answers: int
    bad: int
    #: Rate that is expected of the old version.
    expected_rate: float
    #: Chance of so many bad answers of the old version.
    chance: float

    @property
    def is_bad(self) -> bool:
        """Whether the version must be rolled back."""
        return self.chance < _BAD_CHANCE and self.bad >= _MIN_BAD

    @property
    def is_suspect(self) -> bool:
        """Whether the share must not grow."""
        return self.chance < _SUSPECT_CHANCE

    def __str__(self) -> str:
        """Return the finding in one line."""
        period = "all" if self.period_s is None else f"{self.period_s:g}s"
        return (
            f"{self.fault.value}: {self.bad} of {self.answers} answers,"
            f" expected rate {self.expected_rate:.3f}, route"
            f" {self.route or 'all'}, period {period}"
        )


@dataclass(kw_only=True)
class _Sample:
    """Answers of one version, and how many of them are bad."""

    answers: int = 0
    bad: int = 0


@dataclass(frozen=True, kw_only=True)
class _Group:
    """Answers that are judged together."""

    fault: Fault
    route: RouteName | None
    measure: Measure


def upper_tail(bad: int, answers: int, rate: float) -> float:
    """Return the chance of at least `bad` bad answers.

    :param rate: Chance of each answer to be bad.
    """
    if bad <= 0:
        return 1.0
    if answers > _MAX_EXACT:
        deviation = math.sqrt(answers * rate * (1 - rate))
        return 0.5 * math.erfc(
            (bad - 0.5 - answers * rate) / (deviation * math.sqrt(2))
        )
    log_odds = math.log(rate) - math.log1p(-rate)
    log_term = (
        math.lgamma(answers + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(answers - bad + 1)
        + bad * math.log(rate)
        + (answers - bad) * math.log1p(-rate)
    )
    total = 0.0
    for count in range(bad, answers + 1):
        term = math.exp(log_term)
        total += term
        if count > answers * rate and term < total * 1e-9:
            break
        if count < answers:
            log_term += math.log((answers - count) / (count + 1)) + log_odds
    return min(1.0, total)


def judge(evidence: FleetEvidence, *, now_s: float) -> Finding | None:
    """Return the strongest finding against the new version, or None without any.

    :param now_s: Boot-time clock, in seconds.
    """
    medians = _Medians(evidence.totals)
    whole = _samples(evidence.totals, medians)
    findings = list(_compare(whole, whole, period_s=None))
    for period_s in _PERIODS_S:
        recent = _samples(evidence.since(now_s - period_s), medians)
        findings += _compare(recent, whole, period_s=period_s)
    return min(findings, key=lambda each: (not each.is_bad, each.chance), default=None)


_Samples = dict[tuple[_Group, Side], _Sample]


def _compare(
    recent: _Samples, whole: _Samples, *, period_s: float | None
) -> Iterable[Finding]:
    for (group, side), sample in recent.items():
        if side is not Side.NEW or sample.bad < _MIN_SUSPECT:
            continue
        rate = _expected_rate(
            group,
            recent=recent.get((group, Side.OLD), _Sample()),
            whole=whole.get((group, Side.OLD), _Sample()),
        )
        if (
            group.fault is Fault.SLOW
            and sample.bad < _SLOW_RATE_RATIO * rate * sample.answers
        ):
            continue
        yield Finding(
            fault=group.fault,
            route=group.route,
            period_s=period_s,
            answers=sample.answers,
            bad=sample.bad,
            expected_rate=rate,
            chance=upper_tail(sample.bad, sample.answers, rate),
        )


def _expected_rate(group: _Group, *, recent: _Sample, whole: _Sample) -> float:
    """Estimate the rate of bad answers of the old version, on the high side.

    The larger one of both periods counts: a fault of the platform hits both versions,
    and few recent answers may have had luck.
    """
    base = whole.bad / whole.answers if whole.answers else _UNKNOWN_RATE
    answers = recent.answers + _PRIOR_ANSWERS
    rate = max(base, (recent.bad + _PRIOR_ANSWERS * base) / answers)
    known = whole.answers + _PRIOR_ANSWERS
    rate += math.sqrt(max(rate, _MIN_RATE) * (1 - min(rate, 0.99)) / known)
    lowest = _MIN_SLOW_RATE if group.fault is Fault.SLOW else _MIN_RATE
    return min(0.99, max(lowest, rate))


def _samples(counts_by_key: CountsByKey, medians: "_Medians") -> _Samples:
    samples: _Samples = {}
    for key, counts in counts_by_key.items():
        if counts.answers:
            _add(samples, Fault.FAILURES, key, counts.answers, counts.failures)
        slow = medians.slow_sample(key, counts)
        if slow is not None:
            _add(samples, Fault.SLOW, key, slow.answers, slow.bad)
    return samples


def _add(
    samples: _Samples, fault: Fault, key: EvidenceKey, answers: int, bad: int
) -> None:
    for group_and_side in _groups(fault, key):
        known = samples.get(group_and_side)
        if known is None:
            known = samples[group_and_side] = _Sample()
        known.answers += answers
        # Counts of a peer may contradict each other.
        known.bad = min(known.answers, known.bad + bad)


@lru_cache(maxsize=4 * MAX_KEYS)
def _groups(fault: Fault, key: EvidenceKey) -> tuple[tuple[_Group, Side], ...]:
    """Return the samples in which answers count: of their route, and of all."""
    return tuple(
        (_Group(fault=fault, route=route, measure=key.measure), key.side)
        for route in (key.route, None)
    )


class _Medians:
    """Median latencies of the old version, by route, size and measure."""

    def __init__(self, totals: CountsByKey) -> None:
        self._totals = totals
        self._bucket_by_key: dict[EvidenceKey, int | None] = {}

    def slow_sample(self, key: EvidenceKey, counts: Counts) -> _Sample | None:
        """Count the slow answers, or return None while the median is not known."""
        if not counts.count_by_bucket:
            return None
        old = EvidenceKey(
            side=Side.OLD,
            route=key.route,
            size_class=key.size_class,
            measure=key.measure,
        )
        if old not in self._bucket_by_key:
            self._bucket_by_key[old] = self._median(old)
        median = self._bucket_by_key[old]
        if median is None:
            return None
        return _Sample(
            answers=sum(counts.count_by_bucket.values()),
            bad=sum(
                count
                for bucket, count in counts.count_by_bucket.items()
                if bucket >= median + _SLOW_BUCKETS
            ),
        )

    def _median(self, key: EvidenceKey) -> int | None:
        of_size = self._totals.get(key)
        median = None if of_size is None else _median_bucket(of_size)
        return self._median_of_route(key) if median is None else median

    def _median_of_route(self, key: EvidenceKey) -> int | None:
        merged = Counts()
        for other, counts in self._totals.items():
            if (other.side, other.route, other.measure) == (
                key.side,
                key.route,
                key.measure,
            ):
                merged.add(counts)
        return _median_bucket(merged)


def _median_bucket(counts: Counts) -> int | None:
    total = sum(counts.count_by_bucket.values())
    if total < _MIN_MEDIAN_ANSWERS:
        return None
    seen = 0
    for bucket in sorted(counts.count_by_bucket):
        seen += counts.count_by_bucket[bucket]
        if 2 * seen >= total:
            return bucket
    return None
