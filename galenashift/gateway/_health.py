"""What a daemon has observed of each upstream, from its own calls only."""

from dataclasses import dataclass

from galenashift.model import UpstreamId, UpstreamLoad

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.2
#: Time for which a failure keeps its full weight, in seconds.
_FAILURE_HALF_LIFE_S = 3.0
#: First and longest time without new work after failures in a row, in seconds.
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0
#: Failures in a row without an answer between them that eject an upstream.
_EJECTION_FAILURES = 2
#: Time after which a reported load says nothing, in seconds.
_LOAD_LIFETIME_S = 1.0


@dataclass(kw_only=True)
class Observations:
    """Mutable record of one upstream."""

    #: Calls of this daemon without a complete answer.
    in_flight: int = 0
    #: Moving average of the time to the first byte, in seconds; None before a sample.
    latency_s: float | None = None
    #: Moving average of failures, from 0 to 1, as of `failed_at_s`.
    failure_rate: float = 0.0
    #: Boot-time clock of the last sample of `failure_rate`, in seconds.
    sampled_at_s: float = 0.0
    #: Failures since the last answer.
    failures_in_row: int = 0
    #: Boot-time clock until which the upstream gets no new work, in seconds.
    ejected_until_s: float = 0.0
    #: Load that the upstream stated last.
    load: UpstreamLoad | None = None
    #: Boot-time clock of `load`, in seconds.
    load_at_s: float = 0.0
    #: Boot-time clock until which the upstream is cold by its own word, in seconds.
    cold_until_s: float = 0.0

    def busy(self, *, now_s: float) -> float:
        """Estimate the calls that the upstream has accepted.

        :param now_s: Boot-time clock, in seconds.
        """
        if self.load is None:
            return float(self.in_flight)
        age_s = now_s - self.load_at_s
        weight = max(0.0, 1.0 - age_s / _LOAD_LIFETIME_S)
        stated = (self.load.running + self.load.waiting) * weight
        return max(float(self.in_flight), stated)

    def failures(self, *, now_s: float) -> float:
        """Return the failure rate, which fades while nothing is sent.

        :param now_s: Boot-time clock, in seconds.
        """
        age_s = max(0.0, now_s - self.sampled_at_s)
        return float(self.failure_rate * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S))


class HealthBook:
    """Observations of all upstreams."""

    def __init__(self) -> None:
        self._by_id: dict[UpstreamId, Observations] = {}

    def of(self, upstream_id: UpstreamId) -> Observations:
        """Return the record of an upstream."""
        record = self._by_id.get(upstream_id)
        if record is None:
            record = self._by_id[upstream_id] = Observations()
        return record

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop the record of an upstream that is gone."""
        self._by_id.pop(upstream_id, None)

    def record_answer(
        self, upstream_id: UpstreamId, *, latency_s: float, now_s: float
    ) -> None:
        """Record the first byte of an answer.

        :param latency_s: Time since the request was sent.
        :param now_s: Boot-time clock, in seconds.
        """
        record = self.of(upstream_id)
        if record.latency_s is None:
            record.latency_s = latency_s
        else:
            record.latency_s += _SAMPLE_WEIGHT * (latency_s - record.latency_s)
        record.failures_in_row = 0
        record.ejected_until_s = 0.0
        self._sample(record, failed=0.0, now_s=now_s)

    def record_failure(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Record an answer that failed or did not come.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the upstream gets no new work for a while.
        """
        record = self.of(upstream_id)
        self._sample(record, failed=1.0, now_s=now_s)
        record.failures_in_row += 1
        excess = record.failures_in_row - _EJECTION_FAILURES
        if excess < 0:
            return False
        ejection_s = min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2**excess)
        record.ejected_until_s = now_s + ejection_s
        return True

    def eject(self, upstream_id: UpstreamId, *, until_s: float) -> None:
        """Give an upstream no new work until a moment.

        :param until_s: Boot-time clock, in seconds.
        """
        self.of(upstream_id).ejected_until_s = until_s

    def record_load(
        self, upstream_id: UpstreamId, load: UpstreamLoad, *, now_s: float
    ) -> None:
        """Record the load that an upstream states.

        :param now_s: Boot-time clock, in seconds.
        """
        record = self.of(upstream_id)
        record.load = load
        record.load_at_s = now_s

    def _sample(self, record: Observations, *, failed: float, now_s: float) -> None:
        before = record.failures(now_s=now_s)
        record.failure_rate = before + _SAMPLE_WEIGHT * (failed - before)
        record.sampled_at_s = now_s
