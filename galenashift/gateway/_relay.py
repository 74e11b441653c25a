"""Handles requests of callers, from routing to the last byte of the answer."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import assert_never

from galenashift.limits import AnswerMemory
from galenashift.model import (
    Failure,
    Handle,
    RegisteredUpstream,
    RequestKind,
    Verdict,
)
from galenashift.platform import encode_answer
from galenashift.telemetry import EventLog, Metrics

from ._caller import CallerRequest, Responder
from ._crash_policy import CrashPolicy
from ._crashes import CrashGuard
from ._drain_admission import DrainAdmission
from ._exchange import Exchanger
from ._failures import (
    broken_failure,
    no_upstream_failure,
    refused_failure,
    resume_failure,
    shutdown_failure,
    stage_failure,
    timeout_failure,
    undeliverable_failure,
)
from ._hedged_exchange import HedgedExchange
from ._open_requests import OpenRequests
from ._outcome_recorder import OutcomeRecorder
from ._outcomes import Answered, Broken, NotSent, Outcome, Refused, Silent, StreamEnded
from ._outgoing import outgoing_request
from ._request import ActiveRequest, decode_fields, resolve_request
from ._request_inputs import RequestInputs
from ._request_log import RequestLog
from ._retry_budgets import RetryBudgets
from ._retry_policy import RetryPolicy
from ._rollout_requests import RolloutRequests
from ._router import Choice, Router
from ._sent_request import SendRequest, SentRequest
from ._stage_rooms import StageRooms
from ._stage_run import StageExecutor
from ._staged_requests import StagedRequests
from ._stream import StreamWriter
from ._times import ServiceLatencies
from ._unconfirmed_crashes import Suspicion
from ._upstream_registry import KnownUpstream
from ._upstream_selector import UpstreamSelector
from ._view import PlatformView

_REDIRECTION = 300


class Relay:
    """Forwards requests of callers to upstreams and the answers back.

    :param clock: Boot-time clock.
    :param rooms: Reserves memory for the results of stages; None to start without.
    :param hedge_share: Share of requests that are hedged at most; 0 turns it off.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        router: Router,
        exchanger: Exchanger,
        stages: StageExecutor,
        budgets: RetryBudgets,
        latencies: ServiceLatencies,
        crashes: CrashGuard,
        drain_admission: DrainAdmission,
        answer_memory: AnswerMemory,
        rollouts: RolloutRequests,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
        rooms: StageRooms | None = None,
        hedge_share: float = 0.0,
    ) -> None:
        self._view = view
        self._router = router
        self._rollouts = rollouts
        self._selector = UpstreamSelector(
            view=view, router=router, rollouts=rollouts, clock=clock
        )
        self._exchanger = exchanger
        self._staged = StagedRequests(
            view=view,
            selector=self._selector,
            executor=stages,
            rooms=rooms,
            latencies=latencies,
            clock=clock,
        )
        self._crash_policy = CrashPolicy(crashes=crashes)
        self._drain_admission = drain_admission
        self._answer_memory = answer_memory
        #: Requests that are being answered.
        self.open_requests = OpenRequests()
        self._recorder = OutcomeRecorder(health=router.health, latencies=latencies)
        self._events = events
        self._metrics = metrics
        self._log = RequestLog(events=events, metrics=metrics, clock=clock)
        self._retries = RetryPolicy(budgets=budgets, log=self._log)
        self._clock = clock
        self._send: SendRequest = self._send_once
        if hedge_share > 0:
            self._send = HedgedExchange(
                share=hedge_share,
                send=self._send_once,
                selector=self._selector,
                router=router,
                budgets=budgets,
                crash_policy=self._crash_policy,
                events=events,
                metrics=metrics,
                clock=clock,
            ).send

    async def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Answer one request.

        :raises CallerGone: If the caller closes its connection.
        """
        job = self._resolve(request)
        if isinstance(job, Failure):
            await responder.fail(job)
            return
        try:
            failure = await self._serve(job, responder)
        except BaseException:
            self._log.caller_left(job, responder)
            raise
        finally:
            self._crash_policy.end_trial(job)
        if failure is not None and responder.status is None:
            self._log.failed(job, failure)
            await responder.fail(failure)
        elif failure is not None:
            self._log.failed(job, failure)
        else:
            self._log.answered(job, responder)
            self._drain_admission.record_answer(job, now_s=self._clock())

    def _resolve(self, request: CallerRequest) -> ActiveRequest | Failure:
        fields = decode_fields(request)
        if isinstance(fields, Failure):
            self._log.refused(request, fields, attempt_id="unreadable")
            return fields
        job = resolve_request(
            request,
            fields,
            config=self._view.config,
            pick_service=self._router.pick_service,
        )
        if not isinstance(job, Failure):
            refused = self._refusal(job)
            job = job if refused is None else refused
        if isinstance(job, Failure):
            self._log.refused(request, job, attempt_id=fields.attempt_id)
        return job

    def _refusal(self, job: ActiveRequest) -> Failure | None:
        """Return why a request is refused before any of its work, if it is."""
        late = self._drain_admission.refusal(job, now_s=self._clock())
        return self._crash_policy.refusal(job) if late is None else late

    async def _serve(self, job: ActiveRequest, responder: Responder) -> Failure | None:
        now_s = self._clock()
        self._retries.count_request(job, now_s=now_s)
        with self.open_requests.deadline(job, responder, now_s=now_s):
            inputs = RequestInputs(
                job=job,
                staged=self._staged,
                events=self._events,
                metrics=self._metrics,
                clock=self._clock,
            )
            try:
                return await self._send_with_retries(job, responder, inputs)
            finally:
                inputs.release()
        if job.ended_by_shutdown:
            return shutdown_failure(sent=job.may_have_run)
        return timeout_failure(sent=job.may_have_run)

    async def _send_with_retries(
        self,
        job: ActiveRequest,
        responder: Responder,
        inputs: RequestInputs,
    ) -> Failure | None:
        writer = StreamWriter(
            responder=responder,
            last_id=job.fields.last_event_id,
            memory=self._answer_memory,
            on_first_event=inputs.record_first_event,
        )
        try:
            return await self._send_until_answered(job, responder, inputs, writer)
        finally:
            writer.discard_partial_event()

    async def _send_until_answered(
        self,
        job: ActiveRequest,
        responder: Responder,
        inputs: RequestInputs,
        writer: StreamWriter,
    ) -> Failure | None:
        while True:
            failed = await inputs.prepare(last_event_at_s=writer.last_event_at_s)
            if failed is not None:
                failure = stage_failure(failed, verdict=job.verdict)
                return await self._give_up(job, responder, failure)
            choice = await self._selector.wait(job)
            refused = self._crash_policy.refusal_before_send(job)
            if refused is not None:
                writer.discard_partial_event()
                return await self._give_up(job, responder, refused)
            if choice is None:
                return await self._handle_no_upstream(job, responder, writer)
            sent = await self._send(job, choice, writer, inputs.handles)
            inputs.record_outcome(sent.outcome)
            result = await self._handle_outcome(job, sent, responder, writer)
            if not isinstance(result, _Retry):
                return result

    async def _send_once(
        self,
        job: ActiveRequest,
        choice: Choice,
        writer: StreamWriter,
        inputs: tuple[Handle, ...],
    ) -> SentRequest:
        """Send a request to one upstream, and record the outcome."""
        upstream = choice.upstream.registration
        now_s = self._clock()
        self._log.upstream_chosen(job, choice, now_s)
        request = outgoing_request(
            job,
            upstream,
            inputs=inputs,
            resume_after=writer.resume_after,
            now_s=now_s,
        )
        health = self._router.health
        record = health.record_of(upstream.upstream_id)
        record.in_flight += 1
        self._router.cold.record_send(upstream.upstream_id, now_s=now_s)
        self._router.begin_request(choice, now_s=now_s)
        writer.begin_exchange(sent_at_s=now_s, clock=self._clock)
        outcome: Outcome | None = None
        try:
            outcome = await self._exchanger.exchange(
                upstream=upstream,
                request=request,
                timeouts=self._retries.timeouts(job, now_s=now_s),
                sink=writer.forward if job.route.kind is RequestKind.STREAM else None,
                is_whole=writer.is_whole,
                may_send=partial(self._begin_send, job, upstream),
            )
        finally:
            record.in_flight -= 1
            self._router.end_request(
                choice,
                duration_s=None
                if isinstance(outcome, NotSent | Refused)
                else self._clock() - now_s,
            )
        job.in_flight.discard(upstream.upstream_id)
        suspicion = self._record_outcome(job, choice.upstream, outcome, writer)
        return SentRequest(choice=choice, outcome=outcome, suspicion=suspicion)

    def _begin_send(self, job: ActiveRequest, upstream: RegisteredUpstream) -> bool:
        """Tell whether to send; if so, the request is in flight from here on."""
        if not self._view.accepts_requests(upstream, now_s=self._clock()):
            return False
        job.in_flight.add(upstream.upstream_id)
        self._rollouts.record_send(upstream)
        return True

    def _record_outcome(
        self,
        job: ActiveRequest,
        upstream: KnownUpstream,
        outcome: Outcome,
        writer: StreamWriter,
    ) -> Suspicion | None:
        """Note what the outcome of an exchange tells about its upstream."""
        registration = upstream.registration
        upstream_id = registration.upstream_id
        now_s = self._clock()
        ejected = self._recorder.record(
            job.service, upstream_id, outcome, writer, now_s=now_s
        )
        self._rollouts.record_outcome(job, upstream, outcome, writer, now_s=now_s)
        self._log.exchange_ended(
            job, upstream_id, outcome, writer, ejected=ejected, now_s=now_s
        )
        return self._crash_policy.suspect(job, registration, outcome, now_s=now_s)

    async def _handle_outcome(
        self,
        job: ActiveRequest,
        sent: SentRequest,
        responder: Responder,
        writer: StreamWriter,
    ) -> "Failure | _Retry | None":
        """Answer the caller by the outcome of an exchange, or retry."""
        upstream_id = sent.choice.upstream.registration.upstream_id
        now_s = self._clock()
        outcome = sent.outcome
        match outcome:
            case NotSent():
                job.unreachable.add(upstream_id)
                return _RETRY
            case Refused():
                job.tried.add(upstream_id)
                if self._retries.may_retry(job, now_s=now_s):
                    return _RETRY
                return await self._give_up(job, responder, refused_failure(job.verdict))
            case Answered(head=head):
                job.tried.add(upstream_id)
                job.record_answer(outcome)
                if outcome.is_failure and self._retries.may_retry_after_execution(
                    job, now_s=now_s
                ):
                    return _RETRY
                if responder.status is not None:
                    return resume_failure(head.status)
                if not outcome.is_deliverable:
                    failure = undeliverable_failure(head.status)
                    return await self._give_up(job, responder, failure)
                if head.status < _REDIRECTION:
                    self._crash_policy.complete(job, began_at_s=writer.began_at_s)
                await self._deliver(job, responder, outcome)
                return None
            case StreamEnded(complete=True, started=started):
                if started:
                    self._crash_policy.complete(job, began_at_s=writer.began_at_s)
                await writer.finish()
                return None
            case Broken() | Silent() | StreamEnded():
                job.tried.add(upstream_id)
                job.verdict = Verdict.MAY_HAVE_RUN
                writer.discard_partial_event()
                failure = broken_failure(outcome)
                if await self._crash_policy.forbids_retry(job, sent.suspicion):
                    return await self._give_up(job, responder, failure)
                if self._retries.may_retry_after_execution(job, now_s=self._clock()):
                    return _RETRY
                return await self._give_up(job, responder, failure)
            case _:
                assert_never(outcome)

    async def _handle_no_upstream(
        self, job: ActiveRequest, responder: Responder, writer: StreamWriter
    ) -> Failure | None:
        failure = no_upstream_failure(
            job.verdict,
            service=job.service,
            limit_wait=self._selector.limit_wait(job),
        )
        writer.discard_partial_event()
        return await self._give_up(job, responder, failure)

    async def _give_up(
        self, job: ActiveRequest, responder: Responder, failure: Failure
    ) -> Failure | None:
        if job.fallback_answer is None or responder.status is not None:
            return failure
        await self._deliver(job, responder, job.fallback_answer)
        return None

    async def _deliver(
        self, job: ActiveRequest, responder: Responder, answer: Answered
    ) -> None:
        self.open_requests.lift_deadline(job)
        await responder.answer(
            status=answer.head.status,
            headers=encode_answer(answer.head.headers),
            body=answer.body,
        )


@dataclass(frozen=True)
class _Retry:
    """Marks that the request is to be sent to another upstream."""


_RETRY = _Retry()
