"""Runs the non-idempotent stage of a pipeline at most once."""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import replace

import trio

from galenashift.config import PipelineConfig
from galenashift.model import (
    ActionRecord,
    ActionState,
    AttemptId,
    Existing,
    Failure,
    Granted,
    IdempotencyKey,
    PipelineRequest,
    Reason,
    StageAnswer,
    UpstreamId,
    Verdict,
    not_run,
)
from galenashift.retries import StageShare
from galenashift.state import DISPATCH_TIMEOUT_S, check_key_age, explain_existing

from ._execution import Execution
from ._stage import StageRun, StageRunner

#: Time to record the outcome before the caller is answered without the record.
_RECORD_OUTCOME_TIMEOUT_S = 0.5

_STORE_FAILURE_REASONS = frozenset(
    {
        Reason.STORE_UNAVAILABLE,
        Reason.STORE_AMBIGUOUS,
        Reason.STORE_CONFLICT,
        Reason.PEER_UNAVAILABLE,
    }
)


def check_idempotency_key(
    request: PipelineRequest, pipeline: PipelineConfig, *, wall_now_s: float
) -> Failure | None:
    """Check that a non-idempotent request has an idempotency key that is not expired.

    :param request: The caller's request.
    :param pipeline: Its pipeline.
    :param wall_now_s: Unix time, in seconds.
    """
    if pipeline.action_stage is None:
        return None
    if request.idempotency_key is None or request.key_issued_at_s is None:
        return not_run(
            reason=Reason.KEY_REQUIRED,
            detail=f"pipeline {request.pipeline!r} requires Idempotency-Key: a UUIDv7, "
            "or another key with Idempotency-Issued-At",
        )
    return check_key_age(issued_at_s=request.key_issued_at_s, now_s=wall_now_s)


class ActionRunner:
    """Runs non-idempotent stages, with a record in the action log before each send."""

    def __init__(self, *, stages: StageRunner) -> None:
        self._stages = stages
        #: Attempts of this daemon whose outcome is not known yet.
        self._running_attempts: set[AttemptId] = set()

    async def run(self, run: StageRun, *, share: StageShare) -> StageAnswer | Failure:
        """Run an action to its end, also if the caller disconnects.

        The caller holds a slot of the pool.

        :param run: The non-idempotent stage.
        :param share: The stage's share of the deadline.
        """
        with trio.CancelScope(shield=True):
            outcome = await self._run(run, share)
        return outcome

    async def _run(self, run: StageRun, share: StageShare) -> StageAnswer | Failure:
        execution, stage = run.execution, run.stage
        services = execution.services
        record = _new_record(execution)
        self._running_attempts.add(record.attempt)
        try:
            # The time limit starts before the store request, because the store's answer
            # may wait in a socket buffer while this daemon is paused.
            send_before_s = services.clock() + DISPATCH_TIMEOUT_S
            reservation = await self._reserve(record, execution)
            match reservation:
                case Granted() | Existing(record=ActionRecord(attempt=record.attempt)):
                    pass
                case Existing(record=existing):
                    outcome = self._answer_from_record(run, record, existing)
                    verdict = Verdict.RAN
                    if isinstance(outcome, Failure):
                        verdict = outcome.verdict
                        execution.log_refusal(outcome, stage=stage.name)
                    execution.add_verdict(stage, verdict)
                    return outcome
                case Failure():
                    execution.add_verdict(stage, reservation.verdict)
                    execution.log_refusal(reservation, stage=stage.name)
                    if reservation.reason in _STORE_FAILURE_REASONS:
                        await self._record_outcome(
                            execution, record, ActionState.RELEASED
                        )
                    return reservation
            outcome = await self._stages.attempts(
                run,
                share=share,
                send_before_s=min(send_before_s, share.start_before_s),
            )
            match outcome:
                case StageAnswer(body=body):
                    await self._record_outcome(
                        execution, record, ActionState.DONE, json.dumps(body)
                    )
                case Failure(verdict=Verdict.NOT_RUN):
                    await self._record_outcome(execution, record, ActionState.RELEASED)
                case Failure(verdict=Verdict.RAN):
                    await self._record_outcome(execution, record, ActionState.DONE)
                case Failure():
                    # The record stays STARTED, so that a retry of the caller is told
                    # that the outcome is unknown.
                    pass
            return outcome
        finally:
            self._running_attempts.discard(record.attempt)

    async def _reserve(
        self, record: ActionRecord, execution: Execution
    ) -> Granted | Existing | Failure:
        with trio.move_on_after(DISPATCH_TIMEOUT_S):
            reservation = await execution.services.actions.reserve(record=record)
            if (
                isinstance(reservation, Failure)
                and reservation.reason in _STORE_FAILURE_REASONS
            ):
                # Without a confirmed reservation the action is not sent, so it has not
                # run even if the store holds the record.
                return replace(
                    reservation,
                    verdict=Verdict.NOT_RUN,
                    reason=Reason.STORE_UNAVAILABLE,
                    retry_after_s=reservation.retry_after_s or 1.0,
                )
            return reservation
        return not_run(
            reason=Reason.STORE_UNAVAILABLE,
            detail=f"the action log did not answer within {DISPATCH_TIMEOUT_S:g} s",
            retry_after_s=1.0,
        )

    async def _record_outcome(
        self,
        execution: Execution,
        record: ActionRecord,
        state: ActionState,
        answer: str = "",
    ) -> None:
        result: object = None
        with trio.move_on_after(_RECORD_OUTCOME_TIMEOUT_S):
            result = await execution.services.actions.finish(
                record=replace(record, state=state, answer=answer)
            )
        failed = result is None or isinstance(result, Failure)
        execution.log(
            "action",
            attempt=record.attempt,
            state=state.value,
            recorded=not failed,
        )

    def _answer_from_record(
        self, run: StageRun, record: ActionRecord, existing: ActionRecord
    ) -> StageAnswer | Failure:
        answer = explain_existing(
            existing,
            body_digest=record.body_digest,
            dispatcher_alive=self._is_running(run, existing),
        )
        return answer if isinstance(answer, Failure) else _replay_answer(run, answer)

    def _is_running(self, run: StageRun, existing: ActionRecord) -> bool:
        services = run.execution.services
        fleet = services.fleet
        this_daemon = (fleet.self_id, fleet.incarnation)
        if (existing.dispatcher, existing.dispatcher_incarnation) == this_daemon:
            return existing.attempt in self._running_attempts
        return fleet.is_alive(
            daemon=existing.dispatcher,
            incarnation=existing.dispatcher_incarnation,
            now_s=services.clock(),
        )


def _new_record(execution: Execution) -> ActionRecord:
    services = execution.services
    request = execution.request
    text = json.dumps(
        [request.pipeline, request.input], sort_keys=True, separators=(",", ":")
    )
    return ActionRecord(
        organisation=request.organisation,
        key=request.idempotency_key or IdempotencyKey(""),
        body_digest=hashlib.sha256(text.encode()).hexdigest(),
        dispatcher=services.fleet.self_id,
        dispatcher_incarnation=services.fleet.incarnation,
        attempt=AttemptId(services.new_id()),
        state=ActionState.STARTED,
        started_at_s=services.wall_clock(),
    )


def _replay_answer(run: StageRun, answer: str) -> StageAnswer | Failure:
    """Return the recorded answer of an earlier attempt.

    :param answer: The answer as JSON text.
    """
    try:
        body = json.loads(answer)
    except ValueError:
        body = None
    if not isinstance(body, Mapping):
        return Failure(
            verdict=Verdict.RAN,
            reason=Reason.OUTCOME_UNKNOWN,
            detail="the action ran, but its recorded answer is not a JSON object",
        )
    run.execution.replayed = True
    return StageAnswer(upstream_id=UpstreamId(""), body=body, duration_s=0.0)
