"""What upstreams are estimated to hold, and the expected cost of a request there."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from statistics import fmean

from galenashift.model import FailureDomainName

from ._health import HealthTracker, UpstreamHealth
from ._request_spread import RequestSpread
from ._upstream_registry import KnownUpstream

#: Latency assumed for an upstream without samples, in seconds.
_DEFAULT_LATENCY_S = 0.05
#: Extra cost of an upstream in another failure domain, in seconds of latency.
_CROSS_DOMAIN_COST_S = 0.004
#: Cap on the failure rate in the cost estimate. The expected number of attempts is
#: ``1 / (1 - rate)``, which would be unbounded as the rate approaches 1.
_MAX_FAILURE_RATE = 0.9


@dataclass(frozen=True, kw_only=True)
class LoadEstimate:
    """What an upstream is estimated to hold, as far as its cost depends on it."""

    #: Requests, running and waiting.
    requests: float
    #: Tokens of the requests as a ratio of its token memory; 0 if that is unknown.
    token_share: float
    #: Time since it reported its load, in seconds; None if it never has.
    age_s: float | None


@dataclass(frozen=True, kw_only=True)
class UpstreamCosts:
    """Estimates loads and costs by this daemon's requests and by load reports.

    :param failure_domain: Failure domain of this daemon.
    :param spread: This daemon's requests; None to use the health records alone.
    """

    failure_domain: FailureDomainName
    health: HealthTracker
    spread: RequestSpread | None

    def has_room(
        self, upstream: KnownUpstream, *, tokens: int, max_requests: int, now_s: float
    ) -> bool:
        """Tell whether an upstream can take a request, as far as this daemon knows.

        :param tokens: Tokens of the request; 0 if they are unknown.
        :param max_requests: Number of requests with which it has no room.
        :param now_s: Boot-time clock, in seconds.
        """
        registration = upstream.registration
        if self.spread is None:
            record = self.health.record_of(registration.upstream_id)
            return record.estimated_load(now_s=now_s) < max_requests
        traffic = self.spread.traffic(registration.service)
        held = traffic.estimate(registration.upstream_id, now_s=now_s)
        # Without a limit on tokens, any number of them has room.
        max_tokens = inf if traffic.max_tokens is None else traffic.max_tokens
        if tokens and held.known_tokens + tokens > max_tokens:
            return False
        return held.known_requests < max_requests

    def load(self, upstream: KnownUpstream, *, now_s: float) -> LoadEstimate:
        """Estimate what an upstream holds.

        :param now_s: Boot-time clock, in seconds.
        """
        record = self.health.record_of(upstream.registration.upstream_id)
        return self._load(upstream, record, now_s)

    def costs_s(
        self, upstreams: Sequence[KnownUpstream], *, now_s: float
    ) -> list[float]:
        """Return the expected costs of a request at upstreams that are compared.

        :param now_s: Boot-time clock, in seconds.
        :returns: Costs in seconds.
        """
        assumed_s = self._assumed_latency_s(upstreams)
        return [self._cost_s(each, assumed_s, now_s) for each in upstreams]

    def _assumed_latency_s(self, upstreams: Sequence[KnownUpstream]) -> float:
        """Return the latency of upstreams without samples.

        If it were shorter than that of the others, each prefix would be sent to another
        upstream until all of them have samples.
        """
        if self.spread is None:
            return _DEFAULT_LATENCY_S
        records = (
            self.health.record_of(each.registration.upstream_id) for each in upstreams
        )
        latencies_s = [each.latency_s for each in records if each.latency_s is not None]
        return fmean(latencies_s) if latencies_s else _DEFAULT_LATENCY_S

    def _cost_s(
        self, upstream: KnownUpstream, assumed_latency_s: float, now_s: float
    ) -> float:
        record = self.health.record_of(upstream.registration.upstream_id)
        load = self._load(upstream, record, now_s)
        slots = max(1, upstream.registration.slots)
        queued = max(0.0, load.requests + 1 - slots)
        used = max(load.requests / slots, load.token_share)
        latency_s = record.latency_s or assumed_latency_s
        latency_s *= _slowness(record, now_s)
        cost_s = latency_s * (1 + 0.5 * used + queued / slots)
        failure_rate = record.decayed_failure_rate(now_s=now_s)
        cost_s /= 1 - min(_MAX_FAILURE_RATE, failure_rate)
        if upstream.registration.failure_domain != self.failure_domain:
            cost_s += _CROSS_DOMAIN_COST_S
        return cost_s

    def slowness(self, upstream: KnownUpstream, *, now_s: float) -> float:
        """Return the expected duration of work, as a multiple of the measured one.

        :param now_s: Boot-time clock, in seconds.
        """
        record = self.health.record_of(upstream.registration.upstream_id)
        return _slowness(record, now_s)

    def _load(
        self, upstream: KnownUpstream, record: UpstreamHealth, now_s: float
    ) -> LoadEstimate:
        if self.spread is None:
            return LoadEstimate(
                requests=record.estimated_load(now_s=now_s),
                token_share=0.0,
                age_s=record.load_age_s(now_s=now_s),
            )
        traffic = self.spread.traffic(upstream.registration.service)
        held = traffic.estimate(upstream.registration.upstream_id, now_s=now_s)
        return LoadEstimate(
            requests=held.requests,
            token_share=held.tokens / (traffic.max_tokens or inf),
            age_s=held.age_s,
        )


def _slowness(record: UpstreamHealth, now_s: float) -> float:
    duration_s = record.latency_s or _DEFAULT_LATENCY_S
    return record.slowness.factor(duration_s=duration_s, now_s=now_s)
