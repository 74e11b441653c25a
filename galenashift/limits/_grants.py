"""Owner side of organisation limits: divides them among the daemons.

The owner of an organisation's limits is the daemon that ranks first for their key.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from galenashift.config import LimitsConfig
from galenashift.model import (
    DaemonId,
    Failure,
    Fleet,
    LimitDemand,
    LimitGrant,
    OrganisationId,
    Reason,
    not_run,
)

from ._bucket import TokenBucket

#: Lifetime of a grant, in seconds.
GRANT_PERIOD_S = 1.0
#: Time for which a demand takes part in the sharing, in seconds. A daemon sends a
#: demand at least once per grant period while it has use or running requests.
_DEMAND_LIFETIME_S = 2 * GRANT_PERIOD_S
#: Time after its last demand for which a daemon's running requests count, in seconds:
#: the age at which the membership view considers the daemon dead.
_SILENT_TIMEOUT_S = 15.0
#: Time during which a new owner lets no daemon run more than it already may, in
#: seconds. By its end all daemons have reported what they run and hold under grants of
#: the previous owner.
_LEARNING_PERIOD_S = 2 * GRANT_PERIOD_S
#: Time after its last demand for which an organisation's state is kept, in seconds.
_IDLE_RETENTION_S = 60.0


def limits_key(organisation: OrganisationId) -> str:
    """Return the ownership key of an organisation's limits."""
    return f"limits/{organisation}"


def max_min_shares(
    *, demands_by_id: Mapping[DaemonId, float], capacity: float
) -> dict[DaemonId, float]:
    """Compute the max-min fair shares of a capacity.

    :param demands_by_id: Units that each daemon demands.
    :param capacity: Units to share.
    :returns: Shares, none above its demand, at most the capacity in sum.
    """
    shares_by_id = {}
    remaining = max(0.0, capacity)
    ordered = sorted(demands_by_id.items(), key=lambda each: each[1])
    for index, (daemon, demand) in enumerate(ordered):
        share = min(demand, remaining / (len(ordered) - index))
        shares_by_id[daemon] = share
        remaining -= share
    return shares_by_id


@dataclass(kw_only=True)
class _Requester:
    demand: LimitDemand
    demanded_at_s: float
    granted: int = 0
    #: Concurrency granted before this demand. It may still be in use if the demands
    #: arrived out of order, or if the daemon does not report what it holds.
    previous_granted: int = 0
    #: Boot-time clock, in seconds, until which the previous grant counts.
    previous_until_s: float = math.inf

    @property
    def max_held(self) -> int:
        """Most requests that may have run before the daemon got the present grant."""
        return max(self.demand.running, self.demand.granted or 0)

    def max_running(self, *, now_s: float) -> int:
        before = self.previous_granted if now_s < self.previous_until_s else 0
        return max(self.max_held, self.granted, before)


class LimitAllocator:
    """Divides the limits of one organisation among the daemons.

    Does no I/O; times are boot-time seconds.

    :param limits: Configured limits of the organisation.
    :param started_at_s: Time at which this daemon became the owner of the limits.
    """

    def __init__(self, *, limits: LimitsConfig, started_at_s: float) -> None:
        self._limits = limits
        self.started_at_s = started_at_s
        self._requesters_by_id: dict[DaemonId, _Requester] = {}
        self._requests = TokenBucket(
            rate_per_s=limits.requests_per_second,
            burst=limits.burst,
            started_at_s=started_at_s,
        )
        self._tokens = TokenBucket(
            rate_per_s=limits.tokens_per_second,
            burst=limits.tokens_per_second,
            started_at_s=started_at_s,
        )
        self.last_demand_at_s = started_at_s

    def set_limits(self, *, limits: LimitsConfig, now_s: float) -> None:
        """Change the limits from now on.

        :param limits: Configured limits of the organisation.
        :param now_s: Boot-time clock, in seconds.
        """
        self._limits = limits
        self._requests.reconfigure(
            rate_per_s=limits.requests_per_second, burst=limits.burst, now_s=now_s
        )
        self._tokens.reconfigure(
            rate_per_s=limits.tokens_per_second,
            burst=limits.tokens_per_second,
            now_s=now_s,
        )

    def grant(
        self, *, caller: DaemonId, demand: LimitDemand, now_s: float
    ) -> LimitGrant:
        """Grant a share for one demand.

        :param caller: Daemon that sent the demand.
        :param demand: Its demand for the next grant period.
        :param now_s: Boot-time clock, in seconds.
        """
        self.last_demand_at_s = now_s
        before = self._requesters_by_id.get(caller)
        requester = _Requester(demand=demand, demanded_at_s=now_s)
        if before is not None and now_s - before.demanded_at_s < _SILENT_TIMEOUT_S:
            requester.previous_granted = before.granted
            if demand.granted is not None:
                requester.previous_until_s = before.demanded_at_s + GRANT_PERIOD_S
        self._requesters_by_id[caller] = requester
        for daemon, each in list(self._requesters_by_id.items()):
            if now_s - each.demanded_at_s > _SILENT_TIMEOUT_S:
                del self._requesters_by_id[daemon]
        requester.granted = self._concurrent_share(caller, now_s=now_s)
        return LimitGrant(
            organisation=demand.organisation,
            requests=self._take_requests(caller, now_s=now_s),
            tokens=self._take(
                self._tokens,
                self._limits.tokens_per_second,
                caller,
                lambda each: each.tokens,
                now_s=now_s,
            ),
            concurrent=requester.granted,
            lifetime_s=GRANT_PERIOD_S,
        )

    def _active_requesters(self, now_s: float) -> dict[DaemonId, _Requester]:
        return {
            daemon: requester
            for daemon, requester in self._requesters_by_id.items()
            if now_s - requester.demanded_at_s <= _DEMAND_LIFETIME_S
        }

    def _share(
        self,
        bucket: TokenBucket,
        rate_per_s: float,
        caller: DaemonId,
        wanted: Callable[[LimitDemand], float],
        *,
        now_s: float,
    ) -> float:
        level = bucket.level(now_s=now_s)
        shares_by_id = max_min_shares(
            demands_by_id={
                daemon: wanted(requester.demand)
                for daemon, requester in self._active_requesters(now_s).items()
            },
            capacity=max(level, rate_per_s * GRANT_PERIOD_S),
        )
        return min(shares_by_id[caller], level)

    def _take(
        self,
        bucket: TokenBucket,
        rate_per_s: float,
        caller: DaemonId,
        wanted: Callable[[LimitDemand], float],
        *,
        now_s: float,
    ) -> float:
        share = self._share(bucket, rate_per_s, caller, wanted, now_s=now_s)
        bucket.take(units=share, now_s=now_s)
        return share

    def _take_requests(self, caller: DaemonId, *, now_s: float) -> float:
        """Take whole requests, since a fraction of one would expire unused."""
        bucket = self._requests
        share = math.floor(
            self._share(
                bucket,
                self._limits.requests_per_second,
                caller,
                lambda each: each.requests,
                now_s=now_s,
            )
        )
        wants_request = self._requesters_by_id[caller].demand.requests >= 1
        if share == 0 and wants_request and bucket.level(now_s=now_s) >= 1:
            # The fair shares are below one request each, so serve in order of arrival.
            share = 1
        bucket.take(units=share, now_s=now_s)
        return float(share)

    def _is_learning(self, now_s: float) -> bool:
        """Tell whether some daemon may run more than it has reported to this owner.

        A daemon that sent a demand during the first period, without what it holds, may
        since have admitted more under a grant of the previous owner.
        """
        previous_grants_end_s = self.started_at_s + GRANT_PERIOD_S
        return now_s - self.started_at_s < _LEARNING_PERIOD_S or any(
            requester.demand.granted is None
            and requester.demanded_at_s < previous_grants_end_s
            for requester in self._requesters_by_id.values()
        )

    def _concurrent_share(self, caller: DaemonId, *, now_s: float) -> int:
        limit = self._limits.concurrent_requests
        others_max_running = sum(
            requester.max_running(now_s=now_s)
            for daemon, requester in self._requesters_by_id.items()
            if daemon != caller
        )
        demand = self._requesters_by_id[caller].demand
        if self._is_learning(now_s):
            # The grants of the previous owner sum up to at most the limit.
            return max(
                0,
                min(
                    self._requesters_by_id[caller].max_held, limit - others_max_running
                ),
            )
        shares_by_id = max_min_shares(
            demands_by_id={
                daemon: math.ceil(requester.demand.running + requester.demand.requests)
                for daemon, requester in self._active_requesters(now_s).items()
            },
            capacity=limit,
        )
        share = math.floor(shares_by_id[caller])
        if share == 0 and demand.requests >= 1:
            share = 1
        return max(0, min(share, limit - others_max_running))


class GrantIssuer:
    """Answers `request_grant` for the organisations whose limits this daemon owns.

    :param fleet: Tells which daemon owns an organisation's limits.
    :param limits_of: Configured limits of an organisation, None if it is unknown.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        limits_of: Callable[[OrganisationId], LimitsConfig | None],
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._limits_of = limits_of
        self._clock = clock
        self._allocators_by_id: dict[OrganisationId, LimitAllocator] = {}

    def request_grant(
        self, *, caller: DaemonId, demand: LimitDemand
    ) -> LimitGrant | Failure:
        """Grant a share, or refuse if this daemon is not the owner of the limits.

        :param caller: Daemon that sent the demand.
        :param demand: Its demand for the next grant period.
        """
        now_s = self._clock()
        organisation = demand.organisation
        owner = self._fleet.owner_of(key=limits_key(organisation), now_s=now_s)
        limits = self._limits_of(organisation)
        if owner != self._fleet.self_id or limits is None:
            self._allocators_by_id.pop(organisation, None)
            return not_run(
                reason=Reason.PEER_UNAVAILABLE,
                detail="this daemon does not own the limits of organisation "
                f"{organisation}",
            )
        allocator = self._allocators_by_id.get(organisation)
        owned_since_s = self._fleet.owned_since_s(
            key=limits_key(organisation), now_s=now_s
        )
        if (
            allocator is None
            or allocator.started_at_s < owned_since_s
            or now_s - allocator.last_demand_at_s > _IDLE_RETENTION_S
        ):
            # Another daemon may have granted shares before this one became the owner,
            # even if no demand has reached this one meanwhile. An organisation without
            # recent demands has used nothing meanwhile, so its bucket has filled.
            allocator = LimitAllocator(limits=limits, started_at_s=owned_since_s)
            self._allocators_by_id[organisation] = allocator
        allocator.set_limits(limits=limits, now_s=now_s)
        return allocator.grant(caller=caller, demand=demand, now_s=now_s)
