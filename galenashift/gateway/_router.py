"""Routing: selects the service and the upstream for a request."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from itertools import islice
from math import inf
from random import Random

from galenashift.model import (
    DaemonId,
    FailureDomainName,
    PromptPart,
    ServiceName,
    UpstreamId,
)

from ._candidates import CandidateSet, CandidateSets
from ._cold_limiter import ColdUpstreamLimiter
from ._eligibility import Eligibility
from ._expected_cost import LoadEstimate, UpstreamCosts
from ._health import HealthTracker
from ._request_spread import RequestSpread, sender_upstreams
from ._upstream_limits import UpstreamLimiter
from ._upstream_registry import KnownUpstream

#: Cost of the preferred upstream, as a multiple of the cost of the alternative, above
#: which a prompt prefix goes to the alternative.
_MAX_AFFINITY_COST_RATIO = 3.0
#: The same for an upstream in the domain that gets the request by its share, and one in
#: another domain.
_MAX_DOMAIN_COST_RATIO = 2.0
#: Number of upstreams whose costs are compared for a request.
_COMPARED_UPSTREAMS = 2
#: Upstreams that are checked after the set of a prefix, for one that has room.
_MAX_BEYOND_SET = 16


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The upstream selected for a request, with the inputs of the decision."""

    upstream: KnownUpstream
    #: Expected cost in seconds.
    cost_s: float
    #: Number of upstreams of the service that were not tried before.
    candidates: int
    #: Number of upstreams that were checked and left out because they state that they
    #: accept no request now.
    limited: int
    #: Whether the upstream was selected by the prompt prefix.
    by_prefix: bool
    #: The prefix by which it was selected.
    prefix_key: str | None
    #: Number of upstreams that the prefix goes to; None if this is not estimated.
    spread: int | None
    #: Tokens of the request; 0 if it does not state them.
    tokens: int
    #: What the upstream is estimated to hold.
    load: LoadEstimate
    #: Expected duration of work now, as a multiple of the measured one.
    slowness: float


@dataclass(frozen=True, kw_only=True)
class LimitWait:
    """How long all upstreams hold back a request, by what they state."""

    #: Number of upstreams.
    upstreams: int
    #: Time until this daemon may send to one of them, in seconds.
    here_s: float
    #: Mean time between two requests that they accept from all daemons, in seconds;
    #: infinity if none of them states a rate limit.
    interval_s: float


@dataclass(frozen=True, kw_only=True)
class Router:
    """Selects upstreams by the registrations and this daemon's health records."""

    daemon_id: DaemonId
    failure_domain: FailureDomainName
    health: HealthTracker
    cold: ColdUpstreamLimiter
    limiter: UpstreamLimiter
    random: Random
    #: Spreads prefixes over as many upstreams as they need; None for always two.
    spread: RequestSpread | None = None
    sets: CandidateSets = field(default_factory=CandidateSets)

    @cached_property
    def costs(self) -> UpstreamCosts:
        """The expected costs of requests."""
        return UpstreamCosts(
            failure_domain=self.failure_domain, health=self.health, spread=self.spread
        )

    def choose(
        self,
        *,
        candidates: Sequence[KnownUpstream],
        excluded: Collection[UpstreamId],
        prefix_key: str | None,
        daemon_count: int,
        now_s: float,
        tokens: int = 0,
    ) -> Choice | None:
        """Select an upstream, or None if no upstream can accept the request.

        With a prefix key, rendezvous hashing makes all daemons prefer the same
        upstreams, where the prefix is cached. Otherwise the cheaper one of two random
        upstreams is selected. No more upstreams are checked than needed, so that the
        cost of a choice does not grow with their number.

        :param candidates: Upstreams of the service that accept requests.
        :param excluded: Upstreams that were tried before.
        :param prefix_key: Key of the shared prompt prefix, see `prefix_key`.
        :param daemon_count: Number of daemons that send to the same upstreams.
        :param now_s: Boot-time clock, in seconds.
        :param tokens: Most tokens of the request; 0 if it does not state them.
        """
        known = self.sets.find(candidates)
        eligibility = self.eligibility(
            excluded=excluded, tokens=tokens, daemon_count=daemon_count, now_s=now_s
        )
        size = self._spread_size(known, prefix_key, eligibility)
        if self.spread is None:
            best = self._choose_of_two(known, prefix_key, eligibility)
        elif prefix_key is None or size is None:
            best = self._choose_by_domain(self.spread, known, eligibility)
        else:
            best = self._choose_in_set(
                self.spread, known, prefix_key, size, eligibility
            )
        if best is None:
            return None
        return Choice(
            upstream=best,
            cost_s=self.costs.costs_s([best], now_s=now_s)[0],
            candidates=known.count_without(excluded),
            limited=eligibility.limited,
            by_prefix=prefix_key is not None,
            prefix_key=prefix_key,
            spread=size,
            tokens=tokens,
            load=self.costs.load(best, now_s=now_s),
            slowness=self.costs.slowness(best, now_s=now_s),
        )

    def eligibility(
        self,
        *,
        excluded: Collection[UpstreamId],
        tokens: int,
        daemon_count: int,
        now_s: float,
    ) -> Eligibility:
        """Return what tells which upstreams can accept a request now.

        :param excluded: Upstreams that were tried before.
        :param tokens: Tokens of the request; 0 if they are unknown.
        :param daemon_count: Number of daemons that send to the same upstreams.
        :param now_s: Boot-time clock, in seconds.
        """
        return Eligibility(
            health=self.health,
            cold=self.cold,
            limiter=self.limiter,
            costs=self.costs,
            excluded=excluded,
            tokens=tokens,
            daemon_count=daemon_count,
            now_s=now_s,
        )

    def limit_wait(
        self,
        *,
        candidates: Sequence[KnownUpstream],
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> LimitWait | None:
        """Return how long all upstreams hold back, or None if one of them does not.

        Upstreams that are shutting down do not count.

        :param candidates: Upstreams of the service that accept requests.
        :param excluded: Upstreams that were tried before.
        :param now_s: Boot-time clock, in seconds.
        """
        registrations = [
            each.registration
            for each in _without(candidates, excluded)
            if not self.limiter.is_draining(each.registration)
        ]
        waits_s = [self.limiter.wait_s(each, now_s=now_s) for each in registrations]
        if not waits_s or min(waits_s) <= 0:
            return None
        statuses = [self.limiter.status(each, now_s=now_s) for each in registrations]
        total_per_s = sum(each.per_s for each in statuses if each is not None)
        return LimitWait(
            upstreams=len(registrations),
            here_s=min(waits_s),
            interval_s=1 / total_per_s if total_per_s else inf,
        )

    def pick_service(
        self, weight_by_service: Mapping[ServiceName, float]
    ) -> ServiceName:
        """Select a random service according to the weights of the route."""
        services = list(weight_by_service)
        if len(services) == 1:
            return services[0]
        weights = list(weight_by_service.values())
        return self.random.choices(services, weights)[0]

    def _choose_of_two(
        self, known: CandidateSet, prefix_key: str | None, eligibility: Eligibility
    ) -> KnownUpstream | None:
        """Compare the first two upstreams of a prefix, or two random ones."""
        if prefix_key is None:
            order = known.in_random_order(self.random)
            max_ratio = 1.0
        else:
            order = known.in_order_of(prefix_key)
            max_ratio = _MAX_AFFINITY_COST_RATIO
        pair = list(islice(eligibility.eligible(order), _COMPARED_UPSTREAMS))
        return self._compare(pair, max_ratio, eligibility.now_s)

    def _choose_by_domain(
        self, spread: RequestSpread, known: CandidateSet, eligibility: Eligibility
    ) -> KnownUpstream | None:
        """Compare two random upstreams of the few that this daemon sends to.

        If possible they are in the same domain. If all have no room, any others.
        """
        count = sender_upstreams(
            daemons=eligibility.daemon_count, upstreams=len(known.upstreams)
        )
        few = known.few(daemon_id=self.daemon_id, count=count)
        pair = list(
            islice(eligibility.free(spread.domain_order(few)), _COMPARED_UPSTREAMS)
        )
        if not pair:
            eligibility.limited = 0
            order = known.in_random_order(self.random)
            pair = list(islice(eligibility.eligible(order), _COMPARED_UPSTREAMS))
        return self._compare_domains(pair, eligibility.now_s)

    def _choose_in_set(
        self,
        spread: RequestSpread,
        known: CandidateSet,
        prefix_key: str,
        size: int,
        eligibility: Eligibility,
    ) -> KnownUpstream | None:
        """Choose one of the upstreams of a prefix, or a later one if they have no room.

        :param size: Number of upstreams of the prefix.
        """
        members = known.members(
            prefix_key,
            size=size,
            daemon_id=self.daemon_id,
            count=sender_upstreams(daemons=eligibility.daemon_count, upstreams=size),
        )
        free = list(
            islice(eligibility.free(spread.domain_order(members)), _COMPARED_UPSTREAMS)
        )
        if len(free) == _COMPARED_UPSTREAMS:
            return self._compare_domains(free, eligibility.now_s)
        last = size + _MAX_BEYOND_SET
        order = known.in_order_of(prefix_key, count=last)
        free += islice(eligibility.free(islice(order, size, last)), 1)
        if free:
            return self._compare(free, _MAX_AFFINITY_COST_RATIO, eligibility.now_s)
        eligibility.limited = 0
        return self._choose_of_two(known, prefix_key, eligibility)

    def _spread_size(
        self, known: CandidateSet, prefix_key: str | None, eligibility: Eligibility
    ) -> int | None:
        if self.spread is None or prefix_key is None or not known.upstreams:
            return None
        traffic = self.spread.traffic(known.upstreams[0].registration.service)
        size = traffic.prefixes.size(
            prefix_key,
            daemons=eligibility.daemon_count,
            slots=traffic.concurrent_requests(known.mean_slots),
            now_s=eligibility.now_s,
        )
        return min(size, len(known.upstreams))

    def _compare_domains(
        self, pair: Sequence[KnownUpstream], now_s: float
    ) -> KnownUpstream | None:
        """Return the cheaper one, with some preference for the domain of the first."""
        domains = {each.registration.failure_domain for each in pair}
        max_ratio = 1.0 if len(domains) < len(pair) else _MAX_DOMAIN_COST_RATIO
        return self._compare(pair, max_ratio, now_s)

    def _compare(
        self, pair: Sequence[KnownUpstream], max_ratio: float, now_s: float
    ) -> KnownUpstream | None:
        """Return the first upstream, or the last one if the first costs too much.

        :param pair: At most two upstreams.
        :param max_ratio: Largest cost of the first one as a multiple of the other's.
        """
        if not pair:
            return None
        costs_s = self.costs.costs_s(pair, now_s=now_s)
        return pair[-1] if costs_s[0] > max_ratio * costs_s[-1] else pair[0]

    def begin_request(self, choice: Choice, *, now_s: float) -> None:
        """Count a request that is sent to the chosen upstream.

        :param now_s: Boot-time clock, in seconds.
        """
        if self.spread is None:
            return
        registration = choice.upstream.registration
        traffic = self.spread.traffic(registration.service)
        traffic.use.begin(registration.upstream_id, tokens=choice.tokens)
        if choice.prefix_key is not None:
            traffic.prefixes.record_request(choice.prefix_key, now_s=now_s)

    def end_request(self, choice: Choice, *, duration_s: float | None) -> None:
        """Count the end of a request.

        :param duration_s: Time since its begin, in seconds; None if it was not
            executed.
        """
        if self.spread is None:
            return
        registration = choice.upstream.registration
        traffic = self.spread.traffic(registration.service)
        traffic.use.end(registration.upstream_id, tokens=choice.tokens)
        if choice.prefix_key is not None:
            traffic.prefixes.record_end(choice.prefix_key, duration_s=duration_s)


def _without(
    candidates: Sequence[KnownUpstream], excluded: Collection[UpstreamId]
) -> list[KnownUpstream]:
    return [each for each in candidates if _upstream_id(each) not in excluded]


def _upstream_id(upstream: KnownUpstream) -> UpstreamId:
    return upstream.registration.upstream_id


def prefix_key(parts: Sequence[PromptPart]) -> str | None:
    """Return the key that requests with the same prompt prefix have in common.

    The last part is left out, as it belongs to the single request or session.

    :param parts: Parts of the prompt, in order.
    """
    if not parts:
        return None
    shared = parts[:-1] or parts
    return ",".join(part.part_id for part in shared)
