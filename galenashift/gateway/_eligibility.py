"""Which upstreams can accept a request."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from galenashift.model import UpstreamId

from ._cold_limiter import ColdUpstreamLimiter
from ._expected_cost import UpstreamCosts
from ._health import HealthTracker
from ._upstream_limits import UpstreamLimiter
from ._upstream_registry import KnownUpstream


@dataclass(kw_only=True)
class Eligibility:
    """Checks upstreams in order, and only as many as are taken."""

    health: HealthTracker
    cold: ColdUpstreamLimiter
    limiter: UpstreamLimiter
    costs: UpstreamCosts
    #: Upstreams that were tried before.
    excluded: Collection[UpstreamId]
    #: Tokens of the request; 0 if they are unknown.
    tokens: int
    #: Number of daemons that send to the same upstreams.
    daemon_count: int
    #: Boot-time clock, in seconds.
    now_s: float
    #: Upstreams that were checked and state that they accept no request now.
    limited: int = 0

    def eligible(self, order: Iterable[KnownUpstream]) -> Iterator[KnownUpstream]:
        """List the upstreams that can accept the request."""
        for each in order:
            if each.registration.upstream_id in self.excluded:
                continue
            if self.limiter.wait_s(each.registration, now_s=self.now_s) > 0:
                self.limited += 1
            elif self._is_eligible(each):
                yield each

    def free(self, order: Iterable[KnownUpstream]) -> Iterator[KnownUpstream]:
        """List the upstreams that can accept the request and have a free slot."""
        for each in self.eligible(order):
            if self._has_room(each, each.registration.slots):
                yield each

    def _is_eligible(self, upstream: KnownUpstream) -> bool:
        record = self.health.record_of(upstream.registration.upstream_id)
        if self.now_s < record.ejected_until_s:
            return False
        if not self._has_room(upstream, 2 * upstream.registration.slots):
            return False
        return self.cold.allows(
            upstream, daemon_count=self.daemon_count, now_s=self.now_s
        )

    def _has_room(self, upstream: KnownUpstream, max_requests: int) -> bool:
        return self.costs.has_room(
            upstream, tokens=self.tokens, max_requests=max_requests, now_s=self.now_s
        )
