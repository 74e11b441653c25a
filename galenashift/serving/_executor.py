"""Runs the pipelines of callers' requests."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import trio

from galenashift.config import VersionedConfiguration
from galenashift.model import (
    ActionLog,
    CrashGuard,
    Failure,
    FailureDomainName,
    Fleet,
    LimitGuard,
    PermitSource,
    PipelineAnswer,
    PipelineRequest,
    Reason,
    StageAnswer,
    StageKind,
    Token,
    UpstreamCalls,
    UpstreamDirectory,
    not_run,
)

from ._action import ActionRunner, check_idempotency_key
from ._execution import Emit, EventLogger, Execution, Services
from ._pools import Pools
from ._relay import ItemQueue
from ._stage import StageRun, StageRunner

#: Maximum number of queued items; at the limit the stream waits for the caller.
_MAX_BUFFERED_ITEMS = 64

StreamOutput = Token | PipelineAnswer | Failure


class PipelineExecutor:
    """Runs requests within the limits of their organisation and their deadline."""

    def __init__(
        self,
        *,
        configuration: Callable[[], VersionedConfiguration | None],
        calls: UpstreamCalls,
        directory: UpstreamDirectory,
        actions: ActionLog,
        permits: PermitSource,
        limits: LimitGuard,
        crashes: CrashGuard,
        fleet: Fleet,
        own_domain: FailureDomainName,
        random: Random,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        log_event: EventLogger,
    ) -> None:
        """Create an executor; `Services` documents the parameters."""
        self._services = Services(
            configuration=configuration,
            calls=calls,
            directory=directory,
            actions=actions,
            permits=permits,
            limits=limits,
            crashes=crashes,
            fleet=fleet,
            own_domain=own_domain,
            random=random,
            clock=clock,
            wall_clock=wall_clock,
            log_event=log_event,
        )
        self._pools = Pools(clock=clock, fleet=fleet)
        self._stages = StageRunner(pools=self._pools)
        self._actions = ActionRunner(stages=self._stages)

    async def execute(self, request: PipelineRequest) -> PipelineAnswer | Failure:
        """Run a request to its end.

        Cancellation also cancels the calls to upstreams, except that of a
        non-idempotent stage, which runs to its end first.

        :param request: The caller's request.
        """
        return await self._run(request, emit=None)

    @asynccontextmanager
    async def stream(
        self, request: PipelineRequest
    ) -> AsyncIterator[AsyncIterator[StreamOutput]]:
        """Run a request and yield the tokens of its last stage as they arrive.

        The last item is the complete `PipelineAnswer` or a `Failure`. Leaving the
        context before it cancels the request as if the caller had disconnected.

        :param request: The caller's request.
        """
        # After the caller disconnects, only an action continues, until it ends.
        queue = ItemQueue[StreamOutput](limit=_MAX_BUFFERED_ITEMS)

        async def produce() -> None:
            try:
                await queue.put(await self._run(request, emit=queue.put))
            finally:
                queue.end()

        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(produce)
            try:
                yield queue
            except Exception as raised:
                # Raised outside the nursery, which would wrap it in an exception group.
                error = raised
            finally:
                queue.close_consumer()
                nursery.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _run(
        self, request: PipelineRequest, *, emit: Emit | None
    ) -> PipelineAnswer | Failure:
        log = self._services.log_event
        execution = self._create_execution(request, emit)
        outcome: PipelineAnswer | Failure | None = None
        try:
            if isinstance(execution, Failure):
                log(
                    "refusal",
                    request=request.request_id,
                    reason=execution.reason.value,
                    verdict=execution.verdict.value,
                    detail=execution.detail,
                )
                outcome = execution
            else:
                outcome = await self._admit_and_run(execution)
            return outcome
        finally:
            if isinstance(execution, Failure):
                verdict = execution.verdict
            elif isinstance(outcome, Failure):
                verdict = outcome.verdict
            else:
                verdict = execution.verdict()
            match outcome:
                case Failure(reason=reason):
                    result = reason.value
                case PipelineAnswer():
                    result = "answered"
                case None:
                    result = Reason.CALLER_GONE.value
            log(
                "request_end",
                request=request.request_id,
                organisation=request.organisation,
                pipeline=request.pipeline,
                outcome=result,
                verdict=verdict.value,
                replayed=isinstance(outcome, PipelineAnswer) and outcome.replayed,
                duration_s=round(self._services.clock() - request.arrived_at_s, 4),
            )

    def _create_execution(
        self, request: PipelineRequest, emit: Emit | None
    ) -> Execution | Failure:
        configuration = self._services.configuration()
        if configuration is None:
            return not_run(
                reason=Reason.ISOLATED, detail="this daemon has no configuration yet"
            )
        document = configuration.document
        pipeline = document.pipelines.get(request.pipeline)
        if pipeline is None:
            return not_run(
                reason=Reason.UNKNOWN_PIPELINE,
                detail=f"pipeline {request.pipeline!r} is not configured",
            )
        organisation = document.organisations.get(request.organisation)
        if organisation is None:
            return not_run(
                reason=Reason.FORBIDDEN,
                detail=f"organisation {request.organisation!r} is not configured",
            )
        return Execution(
            services=self._services,
            request=request,
            pipeline=pipeline,
            weight=organisation.weight,
            emit=emit,
        )

    async def _admit_and_run(self, execution: Execution) -> PipelineAnswer | Failure:
        """Admit and run a request; an unexpected exception becomes a failure."""
        limits = self._services.limits
        request = execution.request
        try:
            failure = check_idempotency_key(
                request,
                execution.pipeline,
                wall_now_s=self._services.wall_clock(),
            )
            if failure is not None:
                return execution.log_refusal(failure)
            admission = await limits.admit(organisation=request.organisation)
            if isinstance(admission, Failure):
                return execution.log_refusal(admission)
            try:
                failure = self._services.crashes.check(fingerprint=request.fingerprint)
                if failure is not None:
                    return execution.log_refusal(failure)
                return await self._run_stages(execution)
            finally:
                limits.release(admission=admission)
                await execution.release_claim()
        except Exception as error:
            execution.log("error", error=repr(error))
            return Failure(
                verdict=execution.verdict(),
                reason=Reason.INTERNAL,
                detail=f"unexpected {type(error).__name__} during execution",
            )

    async def _run_stages(self, execution: Execution) -> PipelineAnswer | Failure:
        stages = execution.pipeline.stages
        for index, stage in enumerate(stages):
            later_stages = stages[index + 1 :]
            is_streamed = stage.kind is StageKind.GENERATE and not later_stages
            run = StageRun(
                execution=execution,
                stage=stage,
                later_stages=later_stages,
                emit=execution.emit if is_streamed else None,
            )
            outcome = await self._run_stage(run)
            if isinstance(outcome, Failure):
                return replace(outcome, verdict=execution.verdict())
            execution.answers_by_stage[stage.name] = outcome
        return PipelineAnswer(
            request_id=execution.request.request_id,
            body=execution.answers_by_stage[stages[-1].name].body,
            replayed=execution.replayed,
            answers_by_stage=execution.answers_by_stage,
        )

    async def _run_stage(self, run: StageRun) -> StageAnswer | Failure:
        """Wait for a slot of the pool, then run the stage."""
        execution, stage = run.execution, run.stage
        share = self._stages.share(run)
        if isinstance(share, Failure):
            return execution.log_refusal(share, stage=stage.name)
        admission = self._pools.get(stage.pool).admission
        slot = await admission.acquire(
            organisation=execution.request.organisation,
            weight=execution.weight,
            priority=execution.pipeline.priority,
            deadline_s=execution.request.deadline_s,
            start_before_s=share.start_before_s,
            cost=stage.expected or 0.001,
        )
        if isinstance(slot, Failure):
            return execution.log_refusal(slot, stage=stage.name)
        try:
            # The wait has reduced the time until the deadline.
            share = self._stages.share(run)
            if isinstance(share, Failure):
                return execution.log_refusal(share, stage=stage.name)
            if stage.idempotent:
                return await self._stages.attempts(
                    run, share=share, send_before_s=share.start_before_s
                )
            return await self._actions.run(run, share=share)
        finally:
            admission.release(slot=slot)
