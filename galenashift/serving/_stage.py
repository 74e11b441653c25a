"""Runs one stage: chooses an upstream, sends the attempt and retries."""

from dataclasses import dataclass, replace
from functools import partial

import trio

from galenashift.config import StageConfig
from galenashift.model import (
    Authority,
    Failure,
    Reason,
    StageAnswer,
    StageKind,
    UpstreamId,
    not_run,
)
from galenashift.retries import (
    MAX_RETRIES,
    GiveUp,
    StageShare,
    StageTimes,
    decide_retry,
    share_deadline,
)

from ._dispatch import Destination, Dispatcher, return_permit
from ._execution import Emit, Execution
from ._pools import Pools
from ._reroute import Rerouted, Rerouter

#: Range of the random delay before choosing an upstream again, in seconds.
_CAPACITY_POLL_INTERVAL_S = (0.1, 0.3)
#: Attempts to reserve an upstream for a suspect request before it shares one with
#: other suspects. Each costs one read and two writes of the store.
_MAX_UPSTREAM_RESERVATIONS = 3
#: Time to wait for a cold-start permit before the request is refused.
_PERMIT_WAIT_S = 2.0


@dataclass(frozen=True, kw_only=True)
class StageRun:
    """A stage of a request, to be run."""

    #: State of the request.
    execution: Execution
    #: Stage to run.
    stage: StageConfig
    #: Stages that run after it.
    later_stages: tuple[StageConfig, ...]
    #: Receives the stage's tokens; None if they are not streamed to the caller.
    emit: Emit | None


class StageRunner:
    """Runs stages with routing, rerouting and retries."""

    def __init__(self, *, pools: Pools) -> None:
        self.pools = pools
        self._times = StageTimes()
        self._dispatcher = Dispatcher(pools=pools)
        self._rerouter = Rerouter(pools=pools, dispatcher=self._dispatcher)

    def share(self, run: StageRun) -> StageShare | Failure:
        """Compute the stage's share of the time until the deadline.

        :param run: The stage.
        """
        request = run.execution.request
        now_s = run.execution.services.clock()
        expected_s = [
            self._times.expected_s(pipeline=request.pipeline, stage=stage, now_s=now_s)
            for stage in (run.stage, *run.later_stages)
        ]
        share = share_deadline(
            expected_s,
            idempotent=run.stage.idempotent,
            deadline_s=request.deadline_s,
            now_s=now_s,
        )
        if isinstance(share, StageShare) and run.stage.kind is StageKind.GENERATE:
            # The upstream client ends a stream that makes no progress, so the stream
            # may use all the time that later stages do not need.
            later_s = sum(median for median, _ in expected_s[1:])
            left_s = request.deadline_s - now_s - later_s
            return replace(share, stage_s=left_s, attempt_s=left_s)
        return share

    async def attempts(
        self, run: StageRun, *, share: StageShare, send_before_s: float
    ) -> StageAnswer | Failure:
        """Send attempts until one is answered or no retry is allowed.

        The caller holds a slot of the pool.

        :param run: The stage.
        :param share: The stage's share of the deadline.
        :param send_before_s: Time on the boot-time clock, in seconds, from which no
            attempt may start.
        """
        execution, stage = run.execution, run.stage
        clock = execution.services.clock
        pool = self.pools.get(stage.pool)
        pool.budget.count_request(now_s=clock())
        excluded: set[UpstreamId] = set()
        # Upstreams that the stage was rerouted from; it may still return to them.
        rerouted_from: set[UpstreamId] = set()
        delivered: list[str] = []
        timeout_s = share.attempt_s
        last_failure: Failure | None = None
        retries = 0

        def may_reroute() -> bool:
            in_time = isinstance(self.share(run), StageShare)
            return in_time and retries < MAX_RETRIES

        try:
            while True:
                if delivered and stage.idempotent:
                    # The rest of a stream takes less time than the whole stage.
                    send_before_s = execution.request.deadline_s
                destination = await self._wait_for_destination(
                    run, excluded, send_before_s, rerouted_from=rerouted_from
                )
                if isinstance(destination, Failure):
                    execution.log_refusal(destination, stage=stage.name)
                    return last_failure or destination
                suspect = execution.claim is not None
                started_s = clock()
                upstream_id = destination.upstream.upstream_id
                try:
                    outcome = await self._rerouter.send(
                        execution,
                        stage,
                        destination,
                        timeout_s=min(timeout_s, execution.remaining_s()),
                        delivered=delivered,
                        emit=run.emit,
                        excluded={*excluded, *rerouted_from, upstream_id},
                        is_reroute=bool(rerouted_from),
                        may_reroute=may_reroute,
                    )
                finally:
                    await execution.release_upstream()
                if isinstance(outcome, Rerouted):
                    rerouted_from.add(upstream_id)
                    retries += 1
                    timeout_s = self._retry_timeout_s(run, delivered)
                    continue
                if isinstance(outcome, StageAnswer):
                    self._record_success(run, outcome, clock() - started_s)
                    return outcome
                last_failure = outcome
                if outcome.reason is Reason.OVERLOADED:
                    pool.admission.record_overload()
                decision = decide_retry(
                    outcome,
                    stage=stage,
                    retries=retries,
                    delivered=len(delivered),
                    remaining_s=execution.remaining_s(),
                    overloaded=pool.admission.waiting > 0,
                )
                new_timeout_s = self._retry_timeout_s(run, delivered)
                if not isinstance(decision, GiveUp):
                    if suspect:
                        decision = GiveUp(why="suspect")
                    elif new_timeout_s <= 0:
                        decision = GiveUp(why="deadline")
                    elif not pool.budget.try_spend(now_s=clock()):
                        decision = GiveUp(why="budget")
                execution.log(
                    "retry",
                    stage=stage.name,
                    exchange=destination.exchange_id,
                    upstream=upstream_id,
                    decision=type(decision).__name__,
                    why=decision.why if isinstance(decision, GiveUp) else None,
                    reason=outcome.reason.value,
                    verdict=outcome.verdict.value,
                    delivered=len(delivered),
                )
                if isinstance(decision, GiveUp):
                    return outcome
                timeout_s = new_timeout_s
                excluded.add(upstream_id)
                retries += 1
        finally:
            if delivered:
                execution.services.limits.count_tokens(
                    organisation=execution.request.organisation, tokens=len(delivered)
                )

    def _retry_timeout_s(self, run: StageRun, delivered: list[str]) -> float:
        share = self.share(run)
        if isinstance(share, StageShare):
            return share.attempt_s
        # The expected times are for whole stages; a stream may lack only a few tokens.
        return run.execution.remaining_s() if delivered else 0.0

    async def _wait_for_destination(
        self,
        run: StageRun,
        excluded: set[UpstreamId],
        send_before_s: float,
        *,
        rerouted_from: set[UpstreamId],
    ) -> Destination | Failure:
        """Choose an upstream, waiting until one has capacity.

        The wait for a full pool is limited by the time that the stage still needs. A
        fixed limit of 2 s refused requests with long deadlines while requests with
        short deadlines got the slots. The first failed choice lowers the pool's
        concurrency limit, so that further calls wait in the fair queue, in the order
        of their deadlines.

        A rerouted stage goes to an upstream with a free slot if there is one, and
        otherwise to any upstream, because it has lost its place in the engine's queue.
        """
        requires_free_slot = bool(rerouted_from)
        execution = run.execution
        services = execution.services
        permit_deadline_s = min(services.clock() + _PERMIT_WAIT_S, send_before_s)
        overload_recorded = False
        while True:
            failure = await execution.claim_if_suspect()
            if failure is not None:
                return failure
            destination = await self._choose_upstream(
                run,
                excluded | rerouted_from if requires_free_slot else excluded,
                requires_free_slot=requires_free_slot,
            )
            if isinstance(destination, Failure) and requires_free_slot:
                requires_free_slot = False
                continue
            if isinstance(destination, Failure):
                poll_delay_s = services.random.uniform(*_CAPACITY_POLL_INTERVAL_S)
                next_poll_s = services.clock() + poll_delay_s
                match destination.reason:
                    case Reason.OVERLOADED if next_poll_s < send_before_s:
                        if not overload_recorded:
                            self.pools.get(run.stage.pool).admission.record_overload()
                        overload_recorded = True
                    case Reason.NO_PERMIT if next_poll_s < permit_deadline_s:
                        pass
                    case _:
                        return destination
                await trio.sleep(poll_delay_s)
                continue
            failure = _check_before_send(execution, send_before_s)
            if failure is None:
                return destination
            await execution.release_upstream()
            if destination.permit is not None:
                await return_permit(execution, destination.permit)
            return failure

    async def _choose_upstream(
        self, run: StageRun, excluded: set[UpstreamId], *, requires_free_slot: bool
    ) -> Destination | Failure:
        """Choose an upstream; for a suspect request, one that runs no other suspect.

        If all upstreams run suspects, the request shares one with them. Otherwise a
        crash with another cause would delay all requests that were on the upstream.
        """
        execution = run.execution
        choose = partial(
            self._dispatcher.choose,
            execution,
            run.stage,
            requires_free_slot=requires_free_slot,
        )
        for _ in range(
            _MAX_UPSTREAM_RESERVATIONS if execution.claim is not None else 0
        ):
            avoided = await execution.upstreams_to_avoid()
            destination = await choose(excluded=excluded | avoided)
            if isinstance(destination, Failure):
                break
            reserved = await execution.reserve_upstream(destination.upstream)
            if reserved and self._dispatcher.is_still_eligible(
                execution, run.stage, destination
            ):
                return destination
            await execution.release_upstream()
            if destination.permit is not None:
                await return_permit(execution, destination.permit)
        return await choose(excluded=excluded)

    def _record_success(
        self, run: StageRun, answer: StageAnswer, duration_s: float
    ) -> None:
        execution, stage = run.execution, run.stage
        services = execution.services
        now_s = services.clock()
        pipeline = execution.request.pipeline
        self._times.record(
            pipeline=pipeline, stage=stage.name, duration_s=duration_s, now_s=now_s
        )
        pool = self.pools.get(stage.pool)
        # Streams differ in length, so their latency is measured per token.
        latency_s = duration_s / max(1, answer.tokens)
        pool.admission.record(kind=f"{pipeline}/{stage.name}", duration_s=latency_s)
        pool.outliers.observe(
            upstream_id=answer.upstream_id,
            statuses=services.directory.statuses(pool=stage.pool, now_s=now_s),
            duration_s=duration_s,
            now_s=now_s,
        )


def _check_before_send(execution: Execution, send_before_s: float) -> Failure | None:
    """Check authority and time limits directly before the attempt is sent."""
    services = execution.services
    now_s = services.clock()
    if services.fleet.authority(now_s=now_s) is Authority.ISOLATED:
        return not_run(
            reason=Reason.ISOLATED,
            detail="this daemon cannot tell whether its configuration is in force",
        )
    if now_s >= execution.request.deadline_s:
        return not_run(
            reason=Reason.DEADLINE_PASSED, detail="the deadline passed before dispatch"
        )
    if now_s >= send_before_s:
        return not_run(
            reason=Reason.DEADLINE_UNREACHABLE,
            detail="the attempt could not be sent in time",
        )
    return None
