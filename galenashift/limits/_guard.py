"""Entry side of organisation limits: admits requests under grants of their owner."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from galenashift.config import LimitsConfig
from galenashift.model import (
    Admission,
    Failure,
    Fleet,
    LimitDemand,
    LimitGrant,
    OrganisationId,
    PeerCalls,
    Reason,
    not_run,
)

from ._bucket import TokenBucket
from ._grants import GRANT_PERIOD_S, GrantIssuer, limits_key

#: Longest time that a request waits for a grant, in seconds.
MAX_GRANT_WAIT_S = 0.1
#: Remaining lifetime of a grant below which it is renewed, in seconds.
_RENEW_BEFORE_EXPIRY_S = 0.4 * GRANT_PERIOD_S
#: Factor on recent use in a demand, so that growing use is not refused.
_DEMAND_HEADROOM = 1.5
#: Minimum time between two demands for an organisation, in seconds. It bounds the
#: message rate of an organisation at its limit. It does not delay the demand of a
#: waiting request while the owner grants all that is demanded: otherwise a burst above
#: recent use would be refused far below the limit.
_DEMAND_INTERVAL_S = 0.2
#: Weight of the last full period in the smoothed use; a shorter interval weighs less,
#: since a single request would otherwise count as steady use and be granted again.
_USAGE_WEIGHT = 0.5


@dataclass(kw_only=True)
class _RequestShare:
    #: Requests that remain of one grant.
    requests: float
    expires_at_s: float


@dataclass(kw_only=True)
class _OrganisationState:
    fallback: TokenBucket
    #: Remaining requests of each grant, in order of expiry. The first grants of a new
    #: owner are small, so earlier grants stay in use until they expire.
    request_shares: list[_RequestShare] = field(default_factory=list)
    #: Granted tokens minus generated ones; later grants offset a negative balance.
    tokens: float = 0.0
    concurrent: int = 0
    expires_at_s: float = -math.inf
    demanded_at_s: float = -math.inf
    running: int = 0
    waiting: int = 0
    admitted_since_demand: int = 0
    tokens_since_demand: int = 0
    smoothed_requests: float = 0.0
    smoothed_tokens: float = 0.0
    owner_is_reachable: bool = True
    #: Whether the last grant covered the whole demand.
    demand_is_covered: bool = False
    demand_is_pending: bool = False
    answered: trio.Event = field(default_factory=trio.Event)

    def requests(self, *, now_s: float) -> float:
        """Return the number of granted requests that may still be admitted."""
        return sum(
            share.requests
            for share in self.request_shares
            if now_s < share.expires_at_s
        )

    def take_request(self, *, now_s: float) -> None:
        """Use one request of the grant that expires first."""
        self.request_shares = [
            share
            for share in self.request_shares
            if now_s < share.expires_at_s and share.requests >= 1
        ]
        self.request_shares[0].requests -= 1


class FleetLimitGuard:
    """Implements `LimitGuard`.

    :param fleet: Tells which daemon owns an organisation's limits.
    :param calls: Calls to peers.
    :param grant_issuer: Grants shares of the limits that this daemon owns.
    :param limits_of: Configured limits of an organisation, None if it is unknown.
    :param sharing_count: Number of daemons among which limits are divided while their
        owner is unreachable.
    :param nursery: Runs the requests for grants.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        calls: PeerCalls,
        grant_issuer: GrantIssuer,
        limits_of: Callable[[OrganisationId], LimitsConfig | None],
        sharing_count: Callable[[], int],
        nursery: trio.Nursery,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._grant_issuer = grant_issuer
        self._limits_of = limits_of
        self._sharing_count = sharing_count
        self._nursery = nursery
        self._clock = clock
        self._states_by_id: dict[OrganisationId, _OrganisationState] = {}

    async def admit(self, *, organisation: OrganisationId) -> Admission | Failure:
        """Count one request, or refuse it with reason ``LIMIT_REACHED``.

        Waits at most 100 ms for a grant.
        """
        limits = self._limits_of(organisation)
        if limits is None:
            return _refusal(f"organisation {organisation} is not in the configuration")
        state = self._state(organisation, limits)
        if not self._can_admit(state, limits, now_s=self._clock()):
            state.waiting += 1
            with trio.move_on_after(MAX_GRANT_WAIT_S):
                try:
                    while not self._can_admit(state, limits, now_s=self._clock()):
                        if state.demand_is_covered:
                            self._request_grant_now(organisation, state)
                        else:
                            self._request_grant_if_due(organisation, state)
                        if not state.demand_is_pending:
                            break
                        await state.answered.wait()
                finally:
                    state.waiting -= 1
        # Check and use at one clock reading, since a grant may expire between two.
        now_s = self._clock()
        if not self._can_admit(state, limits, now_s=now_s):
            return _refusal(
                f"organisation {organisation} has reached its voted limit of "
                f"{self._reached_limit(state, limits)}"
            )
        if self._uses_fallback(state, now_s=now_s):
            state.fallback.take(units=1, now_s=now_s)
        else:
            state.take_request(now_s=now_s)
        state.running += 1
        state.admitted_since_demand += 1
        if (
            state.expires_at_s - now_s < _RENEW_BEFORE_EXPIRY_S
            or state.requests(now_s=now_s) < 1
        ):
            self._request_grant_if_due(organisation, state)
        return Admission(organisation=organisation)

    def count_tokens(self, *, organisation: OrganisationId, tokens: int) -> None:
        """Count generated tokens, which delay later requests beyond the limit."""
        state = self._states_by_id.get(organisation)
        if state is not None:
            state.tokens -= tokens
            state.tokens_since_demand += tokens

    def release(self, *, admission: Admission) -> None:
        """Mark the end of an admitted request."""
        state = self._states_by_id.get(admission.organisation)
        if state is not None and state.running:
            state.running -= 1

    async def run(self) -> None:
        """Renew grants of organisations in use, until cancelled.

        After the last request of an organisation has ended, one more demand reports
        that nothing is running, which frees the share at once.
        """
        while True:
            await trio.sleep(_DEMAND_INTERVAL_S)
            now_s = self._clock()
            for organisation, state in self._states_by_id.items():
                in_use = (
                    state.running or state.concurrent or state.admitted_since_demand
                )
                if in_use and state.expires_at_s - now_s < _RENEW_BEFORE_EXPIRY_S:
                    self._request_grant_if_due(organisation, state)

    def _state(
        self, organisation: OrganisationId, limits: LimitsConfig
    ) -> _OrganisationState:
        now_s = self._clock()
        daemons = max(1, self._sharing_count())
        rate_per_s = limits.requests_per_second / daemons
        burst = max(1.0, limits.burst / daemons)
        state = self._states_by_id.get(organisation)
        if state is None:
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=burst, started_at_s=now_s)
            state = self._states_by_id[organisation] = _OrganisationState(
                fallback=bucket
            )
        state.fallback.reconfigure(rate_per_s=rate_per_s, burst=burst, now_s=now_s)
        return state

    def _uses_fallback(self, state: _OrganisationState, *, now_s: float) -> bool:
        return not state.owner_is_reachable and now_s >= state.expires_at_s

    def _can_admit(
        self, state: _OrganisationState, limits: LimitsConfig, *, now_s: float
    ) -> bool:
        if self._uses_fallback(state, now_s=now_s):
            share = self._fallback_concurrency(limits)
            tokens_per_s = limits.tokens_per_second / max(1, self._sharing_count())
            return (
                state.fallback.level(now_s=now_s) >= 1
                and state.running < share
                and state.tokens > -tokens_per_s
            )
        return (
            now_s < state.expires_at_s
            and state.requests(now_s=now_s) >= 1
            and state.running < state.concurrent
            and state.tokens >= 0
        )

    def _fallback_concurrency(self, limits: LimitsConfig) -> int:
        return limits.concurrent_requests // max(1, self._sharing_count())

    def _max_running(
        self, organisation: OrganisationId, state: _OrganisationState, *, now_s: float
    ) -> int:
        """Return how many requests may run until the owner answers the next demand."""
        held = state.concurrent if now_s < state.expires_at_s else 0
        limits = self._limits_of(organisation)
        if limits is None or state.owner_is_reachable:
            return held
        return max(held, self._fallback_concurrency(limits))

    def _reached_limit(self, state: _OrganisationState, limits: LimitsConfig) -> str:
        """Describe the limit that is reached, the request rate if none is certain."""
        if self._uses_fallback(state, now_s=self._clock()):
            daemons = max(1, self._sharing_count())
            running_limit = self._fallback_concurrency(limits)
            tokens_used = state.tokens <= -limits.tokens_per_second / daemons
        else:
            running_limit = state.concurrent
            tokens_used = state.tokens < 0
        if 0 < running_limit <= state.running:
            return f"{limits.concurrent_requests} concurrent requests"
        if tokens_used:
            return f"{limits.tokens_per_second:g} tokens/s"
        return f"{limits.requests_per_second:g} requests/s"

    def _request_grant_if_due(
        self, organisation: OrganisationId, state: _OrganisationState
    ) -> None:
        if self._clock() - state.demanded_at_s >= _DEMAND_INTERVAL_S:
            self._request_grant_now(organisation, state)

    def _request_grant_now(
        self, organisation: OrganisationId, state: _OrganisationState
    ) -> None:
        if not state.demand_is_pending:
            state.demand_is_pending = True
            self._nursery.start_soon(self._request_grant, organisation, state)

    async def _request_grant(
        self, organisation: OrganisationId, state: _OrganisationState
    ) -> None:
        sent_at_s = self._clock()
        demand = self._build_demand(organisation, state, sent_at_s)
        state.demanded_at_s = sent_at_s
        state.admitted_since_demand = 0
        state.tokens_since_demand = 0
        owner = self._fleet.owner_of(key=limits_key(organisation), now_s=sent_at_s)
        answer: LimitGrant | Failure
        try:
            if owner == self._fleet.self_id:
                answer = self._grant_issuer.request_grant(caller=owner, demand=demand)
            else:
                answer = await self._calls.request_grant(daemon=owner, demand=demand)
        finally:
            state.demand_is_pending = False
            answered, state.answered = state.answered, trio.Event()
            answered.set()
        now_s = self._clock()
        state.owner_is_reachable = not isinstance(answer, Failure)
        state.demand_is_covered = isinstance(answer, LimitGrant) and _covers_demand(
            answer, demand
        )
        if isinstance(answer, Failure):
            self._repay_tokens(organisation, state, now_s=now_s)
            return
        state.request_shares = [
            share for share in state.request_shares if now_s < share.expires_at_s
        ]
        expires_at_s = sent_at_s + answer.lifetime_s
        state.request_shares.append(
            _RequestShare(requests=answer.requests, expires_at_s=expires_at_s)
        )
        state.tokens = answer.tokens + min(0.0, state.tokens)
        state.concurrent = answer.concurrent
        state.expires_at_s = expires_at_s
        # Otherwise units added during the grant could be used in addition to it.
        state.fallback.empty_until(at_s=state.expires_at_s)

    def _repay_tokens(
        self, organisation: OrganisationId, state: _OrganisationState, *, now_s: float
    ) -> None:
        """Reduce the token debt by this daemon's part of the limit without an owner."""
        limits = self._limits_of(organisation)
        if limits is not None and now_s >= state.expires_at_s:
            tokens_per_s = limits.tokens_per_second / max(1, self._sharing_count())
            state.tokens = min(0.0, state.tokens + tokens_per_s * _DEMAND_INTERVAL_S)

    def _build_demand(
        self, organisation: OrganisationId, state: _OrganisationState, now_s: float
    ) -> LimitDemand:
        elapsed_s = max(_DEMAND_INTERVAL_S, min(10.0, now_s - state.demanded_at_s))
        periods = elapsed_s / GRANT_PERIOD_S
        decay = (1 - _USAGE_WEIGHT) ** periods
        state.smoothed_requests = (
            decay * state.smoothed_requests
            + (1 - decay) * state.admitted_since_demand / periods
        )
        state.smoothed_tokens = (
            decay * state.smoothed_tokens
            + (1 - decay) * state.tokens_since_demand / periods
        )
        # Grants beyond recent use would expire unused on most daemons, and a small
        # organisation would be refused far below its limit. Requests that cannot be
        # admitted are counted in the demand while they wait.
        steady_requests = (
            state.smoothed_requests if state.smoothed_requests >= 1 else 0.0
        )
        requests = math.floor(_DEMAND_HEADROOM * steady_requests) + state.waiting
        if not requests and not state.running:
            # Returns the share; the owner would otherwise count it until it considers
            # this daemon dead.
            state.concurrent = 0
        return LimitDemand(
            organisation=organisation,
            requests=requests,
            tokens=_DEMAND_HEADROOM * state.smoothed_tokens + max(0.0, -state.tokens),
            running=state.running,
            granted=self._max_running(organisation, state, now_s=now_s),
        )


def _covers_demand(grant: LimitGrant, demand: LimitDemand) -> bool:
    return (
        grant.requests >= demand.requests
        and grant.tokens >= demand.tokens
        and grant.concurrent >= demand.running + demand.requests
    )


def _refusal(detail: str) -> Failure:
    return not_run(
        reason=Reason.LIMIT_REACHED, detail=detail, retry_after_s=GRANT_PERIOD_S
    )
