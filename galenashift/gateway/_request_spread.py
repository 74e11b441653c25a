"""Spreads requests over upstreams by prefix, failure domain, load and tokens."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from math import ceil
from random import Random

from galenashift.model import (
    FailureDomainName,
    RegisteredUpstream,
    Service,
    ServiceName,
    UpstreamId,
    UpstreamLoad,
)
from galenashift.platform import PeerAddress
from galenashift.routing import HeldEstimate, PrefixSpread, UpstreamUse, domain_shares

from ._candidates import DomainGroups, random_order
from ._upstream_registry import KnownUpstream

#: Part of the token memory that is filled. The rest is for requests of other daemons
#: that are not known; an upstream whose requests exceed its memory crashes.
_TOKEN_MEMORY_RATIO = 0.9

#: Fewest upstreams that a daemon sends to, and the mean number of daemons that send to
#: each one. With fewer senders, each hears of the load more often, but some upstreams
#: get too few requests.
_MIN_UPSTREAMS = 6
_SENDERS = 10


@dataclass(kw_only=True)
class ServiceTraffic:
    """Requests of this daemon to one service, and what they need."""

    prefixes: PrefixSpread = field(default_factory=PrefixSpread)
    use: UpstreamUse = field(default_factory=UpstreamUse)
    #: Tokens that the requests of an upstream may have; None if its memory is unknown.
    max_tokens: float | None = None

    def estimate(self, upstream_id: UpstreamId, *, now_s: float) -> HeldEstimate:
        """Estimate what an upstream holds.

        :param now_s: Boot-time clock, in seconds.
        """
        duration_s = self.prefixes.duration_s
        return self.use.estimate(upstream_id, duration_s=duration_s, now_s=now_s)

    def concurrent_requests(self, slots: float) -> float:
        """Return how many requests an upstream holds by its slots and its memory."""
        if self.max_tokens is None or not self.use.mean_tokens:
            return slots
        return min(slots, self.max_tokens / self.use.mean_tokens)


def sender_upstreams(*, daemons: int, upstreams: int) -> int:
    """Return to how many of some upstreams a daemon sends requests.

    :param daemons: Number of daemons that send to them.
    """
    return max(_MIN_UPSTREAMS, ceil(_SENDERS * upstreams / max(1, daemons)))


class RequestSpread:
    """Decides on the upstreams of a prefix, and on the failure domain of a request.

    :param failure_domain: Failure domain of this daemon.
    """

    def __init__(self, *, failure_domain: FailureDomainName, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._callers_by_domain: Mapping[FailureDomainName, float] = {}
        self._services_by_name: Mapping[ServiceName, Service] = {}
        self._traffic_by_service: dict[ServiceName, ServiceTraffic] = {}

    def set_daemons(self, peers: Iterable[PeerAddress]) -> None:
        """Replace the registered daemons, which stand for the callers.

        During an upgrade, some have not registered their domain. A count of the others
        would be wrong, so the callers of all domains are unknown then.
        """
        domains = [each.failure_domain for each in peers]
        known = [each for each in domains if each is not None]
        self._callers_by_domain = Counter(known if len(known) == len(domains) else ())

    def set_services(self, services_by_name: Mapping[ServiceName, Service]) -> None:
        """Replace the services by those of a new configuration."""
        self._services_by_name = services_by_name
        for name, traffic in self._traffic_by_service.items():
            traffic.max_tokens = self._max_tokens(name)

    def traffic(self, service: ServiceName) -> ServiceTraffic:
        """Return the traffic of a service, which is created on first use."""
        traffic = self._traffic_by_service.get(service)
        if traffic is None:
            traffic = ServiceTraffic(max_tokens=self._max_tokens(service))
            self._traffic_by_service[service] = traffic
        return traffic

    def record_load(
        self, upstream: RegisteredUpstream, load: UpstreamLoad, *, now_s: float
    ) -> None:
        """Record the load that an upstream reports.

        :param now_s: Boot-time clock, in seconds.
        """
        self.traffic(upstream.service).use.record_report(
            upstream.upstream_id, requests=load.running + load.waiting, now_s=now_s
        )

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that is no longer registered."""
        for traffic in self._traffic_by_service.values():
            traffic.use.forget(upstream_id)

    def domain_order(self, groups: DomainGroups) -> Iterator[KnownUpstream]:
        """List upstreams at random, those of the domain of this request first."""
        domains = list(groups.upstreams_by_domain)
        if len(domains) > 1:
            shares = domain_shares(
                own=self._failure_domain,
                callers_by_domain=self._callers_by_domain,
                capacity_by_domain=groups.slots_by_domain,
            )
            weights = [shares[each] for each in domains]
            first = self._random.choices(domains, weights)[0]
            domains.remove(first)
            self._random.shuffle(domains)
            domains.insert(0, first)
        for domain in domains:
            yield from random_order(groups.upstreams_by_domain[domain], self._random)

    def _max_tokens(self, service: ServiceName) -> float | None:
        details = self._services_by_name.get(service)
        if details is None or details.token_memory is None:
            return None
        return _TOKEN_MEMORY_RATIO * details.token_memory
