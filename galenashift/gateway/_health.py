"""Health of each upstream, as observed by this daemon's own requests."""

from dataclasses import dataclass, field

from galenashift.model import UpstreamId, UpstreamLoad

from ._slowness import ReportedSlowness, ReportLifetime

#: Weight of a new sample in the exponential moving averages.
_SAMPLE_WEIGHT = 0.2
#: Time in which the failure rate halves while there are no samples, in seconds.
_FAILURE_HALF_LIFE_S = 3.0
#: Shortest and longest ejection, in seconds; it doubles with each further failure.
_MIN_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0
#: Consecutive failures that eject an upstream.
_FAILURES_BEFORE_EJECTION = 2
#: Time after which a reported load is ignored, in seconds.
_LOAD_EXPIRY_S = 1.0


@dataclass(kw_only=True)
class UpstreamHealth:
    """Mutable health record of one upstream."""

    #: Requests of this daemon that are not answered completely yet.
    in_flight: int = 0
    #: Moving average of the latency of answers, in seconds; None before a sample.
    latency_s: float | None = None
    #: Moving average of failures, from 0 to 1, as of `failure_rate_at_s`.
    failure_rate: float = 0.0
    #: Boot-time clock of the last sample of `failure_rate`, in seconds.
    failure_rate_at_s: float = 0.0
    #: Failures since the last successful answer.
    consecutive_failures: int = 0
    #: Boot-time clock until which the upstream gets no requests, in seconds.
    ejected_until_s: float = 0.0
    #: Load that the upstream reported last.
    load: UpstreamLoad | None = None
    #: Boot-time clock at which `load` was reported, in seconds.
    load_reported_at_s: float = 0.0
    #: Boot-time clock until which the upstream reports to be cold, in seconds.
    cold_until_s: float = 0.0
    #: How long work takes at present, by the reports of the upstream.
    slowness: ReportedSlowness = field(
        default_factory=lambda: ReportedSlowness(sample_weight=_SAMPLE_WEIGHT)
    )

    def estimated_load(self, *, now_s: float) -> float:
        """Estimate the number of requests that the upstream has accepted.

        It is the larger of this daemon's own requests and the reported load, whose
        weight decreases linearly with its age.

        :param now_s: Boot-time clock, in seconds.
        """
        if self.load is None:
            return float(self.in_flight)
        age_s = now_s - self.load_reported_at_s
        weight = max(0.0, 1.0 - age_s / _LOAD_EXPIRY_S)
        reported = (self.load.running + self.load.waiting) * weight
        return max(float(self.in_flight), reported)

    def load_age_s(self, *, now_s: float) -> float | None:
        """Return the time since the upstream reported its load, in seconds.

        :param now_s: Boot-time clock, in seconds.
        """
        return None if self.load is None else now_s - self.load_reported_at_s

    def decayed_failure_rate(self, *, now_s: float) -> float:
        """Return the failure rate, which decays while there are no samples.

        :param now_s: Boot-time clock, in seconds.
        """
        age_s = max(0.0, now_s - self.failure_rate_at_s)
        return float(self.failure_rate * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S))


class HealthTracker:
    """Health records of all upstreams."""

    def __init__(self) -> None:
        self._by_id: dict[UpstreamId, UpstreamHealth] = {}
        self._report_lifetime = ReportLifetime()

    def record_of(self, upstream_id: UpstreamId) -> UpstreamHealth:
        """Return the record of an upstream, which is created on first use."""
        record = self._by_id.get(upstream_id)
        if record is None:
            record = self._by_id[upstream_id] = UpstreamHealth()
            record.slowness.lifetime = self._report_lifetime
        return record

    def remove(self, upstream_id: UpstreamId) -> None:
        """Remove the record of an upstream that is no longer registered."""
        self._by_id.pop(upstream_id, None)

    def record_answer(
        self, upstream_id: UpstreamId, *, latency_s: float, now_s: float
    ) -> None:
        """Record a successful answer and end an ejection.

        :param latency_s: Time to the answer, or to the first event of a stream, in
            seconds.
        :param now_s: Boot-time clock, in seconds.
        """
        record = self.record_of(upstream_id)
        if record.latency_s is None:
            record.latency_s = latency_s
        else:
            record.latency_s += _SAMPLE_WEIGHT * (latency_s - record.latency_s)
        record.consecutive_failures = 0
        record.ejected_until_s = 0.0
        self._add_failure_sample(record, failed=0.0, now_s=now_s)

    def record_late(self, upstream_id: UpstreamId, *, at_least_s: float) -> None:
        """Record that an answer was given up for one of another upstream.

        :param at_least_s: Time until then, in seconds.
        """
        record = self.record_of(upstream_id)
        latency_s = record.latency_s or 0.0
        if at_least_s > latency_s:
            record.latency_s = latency_s + _SAMPLE_WEIGHT * (at_least_s - latency_s)

    def record_failure(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Record a failed or missing answer.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the upstream is ejected.
        """
        record = self.record_of(upstream_id)
        self._add_failure_sample(record, failed=1.0, now_s=now_s)
        record.consecutive_failures += 1
        excess = record.consecutive_failures - _FAILURES_BEFORE_EJECTION
        if excess < 0:
            return False
        ejection_s = min(_MAX_EJECTION_S, _MIN_EJECTION_S * 2**excess)
        record.ejected_until_s = now_s + ejection_s
        return True

    def eject(self, upstream_id: UpstreamId, *, until_s: float) -> None:
        """Send no requests to an upstream until the given time.

        :param until_s: Boot-time clock, in seconds.
        """
        self.record_of(upstream_id).ejected_until_s = until_s

    def record_load(
        self, upstream_id: UpstreamId, load: UpstreamLoad, *, now_s: float
    ) -> None:
        """Record the load that an upstream reports.

        :param now_s: Boot-time clock, in seconds.
        """
        record = self.record_of(upstream_id)
        record.load = load
        record.load_reported_at_s = now_s
        if load.slowness is not None:
            record.slowness.record(load.slowness, now_s=now_s)

    def _add_failure_sample(
        self, record: UpstreamHealth, *, failed: float, now_s: float
    ) -> None:
        before = record.decayed_failure_rate(now_s=now_s)
        record.failure_rate = before + _SAMPLE_WEIGHT * (failed - before)
        record.failure_rate_at_s = now_s
