"""Chooses an upstream for one attempt at a stage and sends the attempt."""

import hashlib
import json
from collections.abc import Collection
from dataclasses import dataclass

import trio

from galenashift.config import StageConfig
from galenashift.model import (
    ExchangeId,
    Failure,
    Permit,
    Reason,
    StageAnswer,
    StageCall,
    StageKind,
    StreamEnd,
    Token,
    Upstream,
    UpstreamId,
    UpstreamStatus,
    Verdict,
    may_have_run,
    not_run,
)
from galenashift.routing import RoutingDecision, RoutingView, choose_upstream

from ._execution import Emit, Execution
from ._pools import Pools

#: Permit requests for one attempt; each may take a peer's timeout of 1 s.
_MAX_PERMIT_REQUESTS = 3
#: Time to wait for the return of a permit; a permit that is not returned expires.
_PERMIT_RETURN_TIMEOUT_S = 1.0
#: Time beyond its own timeout after which a call that has not returned is cancelled.
_CALL_GRACE_S = 0.25
#: Characters of the input that are hashed for routing to an engine's prefix cache.
#: For shorter inputs a cache hit saves too little to override the choice by load.
_PREFIX_CHARACTERS = 1024
_CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True, kw_only=True)
class Destination:
    """The chosen upstream of one attempt."""

    #: Upstream to call.
    upstream: Upstream
    #: Permit for the call; only for an upstream in cold start.
    permit: Permit | None
    #: Identifier of the exchange.
    exchange_id: ExchangeId


class Dispatcher:
    """Chooses upstreams for attempts and sends the attempts."""

    def __init__(self, *, pools: Pools) -> None:
        self._pools = pools

    def _route(
        self,
        execution: Execution,
        stage: StageConfig,
        statuses: tuple[UpstreamStatus, ...],
        excluded: Collection[UpstreamId],
        without_permit: Collection[UpstreamId],
        *,
        requires_free_slot: bool = False,
    ) -> RoutingDecision:
        services = execution.services
        now_s = services.clock()
        configuration = services.configuration()
        domains = configuration.document.failure_domains if configuration else {}
        view = RoutingView(
            own_domain=services.own_domain,
            domains_by_name=domains,
            daemons=self._pools.daemons(now_s=now_s),
            list_age_s=services.directory.list_age_s(now_s=now_s),
            list_failure_age_s=services.directory.list_failure_age_s(now_s=now_s),
            excluded=excluded,
            without_permit=without_permit,
            outliers=self._pools.get(stage.pool).outliers.ejected(now_s=now_s),
            requires_free_slot=requires_free_slot,
        )
        prefix = _prefix_hash(execution, stage)
        return choose_upstream(
            statuses,
            view=view,
            authority=services.fleet.authority(now_s=now_s),
            now_s=now_s,
            random=services.random,
            prefix=prefix,
            prefix_tokens=_PREFIX_CHARACTERS // _CHARACTERS_PER_TOKEN if prefix else 0,
        )

    def has_free_slot(
        self,
        execution: Execution,
        stage: StageConfig,
        *,
        excluded: Collection[UpstreamId],
    ) -> bool:
        """Return whether an upstream is expected to have a free slot for the stage.

        :param execution: The request.
        :param stage: Stage to call.
        :param excluded: Upstreams that are left out.
        """
        services = execution.services
        statuses = services.directory.statuses(pool=stage.pool, now_s=services.clock())
        decision = self._route(
            execution, stage, statuses, excluded, (), requires_free_slot=True
        )
        return not isinstance(decision.chosen, Failure)

    async def choose(
        self,
        execution: Execution,
        stage: StageConfig,
        *,
        excluded: Collection[UpstreamId],
        requires_free_slot: bool = False,
    ) -> Destination | Failure:
        """Choose an upstream, and obtain a permit if it is in cold start.

        When it returns, all conditions of the choice have just been checked. They hold
        as long as the caller sends the attempt without waiting for anything else.

        :param execution: The request.
        :param stage: Stage to call.
        :param excluded: Upstreams that failed the stage earlier.
        :param requires_free_slot: Whether to choose only among the warm upstreams that
            are expected to have a free slot.
        """
        services = execution.services
        exchange_id = ExchangeId(services.new_id())
        without_permit: set[UpstreamId] = set()
        while True:
            statuses = services.directory.statuses(
                pool=stage.pool, now_s=services.clock()
            )
            decision = self._route(
                execution,
                stage,
                statuses,
                excluded,
                without_permit,
                requires_free_slot=requires_free_slot,
            )
            execution.log(
                "routing",
                stage=stage.name,
                exchange=exchange_id,
                **decision.log_fields(),
            )
            if isinstance(decision.chosen, Failure):
                return decision.chosen
            upstream = decision.chosen.upstream
            permit: Permit | None = None
            if decision.needs_permit:
                if len(without_permit) >= _MAX_PERMIT_REQUESTS:
                    return not_run(
                        reason=Reason.NO_PERMIT,
                        detail=f"no permit from {len(without_permit)} upstreams in "
                        "cold start",
                        retry_after_s=1.0,
                    )
                granted = await services.permits.acquire(upstream=upstream)
                if isinstance(granted, Failure):
                    without_permit.add(upstream.upstream_id)
                    continue
                permit = granted
            destination = Destination(
                upstream=upstream, permit=permit, exchange_id=exchange_id
            )
            if permit is not None and not self.is_still_eligible(
                execution, stage, destination
            ):
                await return_permit(execution, permit)
                without_permit.add(upstream.upstream_id)
                continue
            now_s = services.clock()
            outliers = self._pools.get(stage.pool).outliers
            outliers.start_probe(upstream_id=upstream.upstream_id, now_s=now_s)
            return destination

    def is_still_eligible(
        self, execution: Execution, stage: StageConfig, destination: Destination
    ) -> bool:
        """Check again, after a wait, that an upstream may be called.

        :param execution: The request.
        :param stage: Stage to call.
        :param destination: The upstream, with its permit if it needs one.
        """
        services = execution.services
        now_s = services.clock()
        permit = destination.permit
        if permit is not None and now_s >= permit.start_before_s:
            return False
        statuses = tuple(
            status
            for status in services.directory.statuses(pool=stage.pool, now_s=now_s)
            if status.upstream.upstream_id == destination.upstream.upstream_id
        )
        decision = self._route(execution, stage, statuses, (), ())
        if isinstance(decision.chosen, Failure):
            return False
        return permit is not None or not decision.needs_permit

    async def send(
        self,
        execution: Execution,
        stage: StageConfig,
        destination: Destination,
        *,
        timeout_s: float,
        delivered: list[str],
        emit: Emit | None,
    ) -> StageAnswer | Failure:
        """Send one attempt and wait until it ends.

        :param execution: The request.
        :param stage: Stage to call.
        :param destination: The upstream, as `choose` returned it.
        :param timeout_s: Timeout of the attempt, in seconds.
        :param delivered: Tokens received so far; new ones are appended.
        :param emit: Receives the new tokens.
        """
        services = execution.services
        upstream = destination.upstream
        fingerprint = execution.request.fingerprint
        call = _stage_call(execution, stage, destination.exchange_id)
        outcome: StageAnswer | Failure = may_have_run(
            reason=Reason.DEADLINE_PASSED,
            detail=f"upstream {upstream.upstream_id} did not answer within "
            f"{timeout_s:.3f} s",
        )
        execution.add_verdict(stage, Verdict.MAY_HAVE_RUN)
        services.crashes.started(fingerprint=fingerprint, upstream=upstream)
        try:
            with trio.move_on_after(timeout_s + _CALL_GRACE_S):
                if stage.kind is StageKind.GENERATE:
                    outcome = await _generate(
                        execution, upstream, call, timeout_s, delivered, emit
                    )
                else:
                    outcome = await services.calls.call(
                        upstream=upstream, call=call, timeout_s=timeout_s
                    )
        finally:
            services.crashes.ended(fingerprint=fingerprint, upstream=upstream)
            if destination.permit is not None:
                await return_permit(execution, destination.permit)
        if isinstance(outcome, StageAnswer) and (
            outcome.upstream_id != upstream.upstream_id
        ):
            outcome = may_have_run(
                reason=Reason.WRONG_EXCHANGE,
                detail=f"upstream {outcome.upstream_id} answered a call to "
                f"{upstream.upstream_id}",
            )
        execution.replace_last_verdict(
            stage, outcome.verdict if isinstance(outcome, Failure) else Verdict.RAN
        )
        return outcome


async def return_permit(execution: Execution, permit: Permit) -> None:
    """Return a permit, also if the request has been cancelled.

    :param execution: The request.
    :param permit: The permit.
    """
    with trio.move_on_after(_PERMIT_RETURN_TIMEOUT_S, shield=True):
        await execution.services.permits.release(permit=permit)


def _prefix_hash(execution: Execution, stage: StageConfig) -> str | None:
    if stage.kind is not StageKind.GENERATE:
        return None
    request = execution.request
    text = json.dumps(request.input)
    if len(text) < _PREFIX_CHARACTERS:
        return None
    # The hash differs by organisation, so that response times reveal nothing about the
    # inputs of others.
    scope = f"{request.organisation}/{request.pipeline}/{stage.name}/"
    return hashlib.sha256((scope + text[:_PREFIX_CHARACTERS]).encode()).hexdigest()


def _stage_call(
    execution: Execution, stage: StageConfig, exchange_id: ExchangeId
) -> StageCall:
    body: dict[str, object] = {
        "operation": stage.operation,
        "input": execution.request.input,
        "results": execution.results(),
    }
    generate = stage.kind is StageKind.GENERATE
    if generate:
        body["max_tokens"] = stage.max_tokens
    return StageCall(
        exchange_id=exchange_id,
        request_id=execution.request.request_id,
        stage=stage.name,
        path="/v1/generate" if generate else "/v1/call",
        body=body,
        priority=execution.pipeline.priority,
        idempotency_key=(
            None if stage.idempotent else execution.request.idempotency_key
        ),
    )


async def _generate(
    execution: Execution,
    upstream: Upstream,
    call: StageCall,
    timeout_s: float,
    delivered: list[str],
    emit: Emit | None,
) -> StageAnswer | Failure:
    started_s = execution.services.clock()
    forced_count = len(delivered)
    async with execution.services.calls.stream(
        upstream=upstream,
        call=call,
        forced_tokens=tuple(delivered),
        timeout_s=timeout_s,
    ) as items:
        async for item in items:
            match item:
                case Token(index=index, text=text) if index == len(delivered):
                    delivered.append(text)
                    if emit is not None:
                        await emit(item)
                case StreamEnd(count=count) if count == len(delivered):
                    return StageAnswer(
                        upstream_id=upstream.upstream_id,
                        body={"tokens": list(delivered)},
                        duration_s=execution.services.clock() - started_s,
                        tokens=count - forced_count,
                    )
                case Failure():
                    return item
                case _:
                    return may_have_run(
                        reason=Reason.INCOMPLETE_STREAM,
                        detail=f"upstream {upstream.upstream_id} sent unexpected "
                        f"{item} after {len(delivered)} tokens",
                    )
    return may_have_run(
        reason=Reason.INCOMPLETE_STREAM,
        detail=f"the stream of upstream {upstream.upstream_id} ended without an end "
        f"marker after {len(delivered)} tokens",
    )
