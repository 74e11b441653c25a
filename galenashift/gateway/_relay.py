"""Answers one request of a caller: from its route to the last byte."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import assert_never

import trio

from galenashift.model import (
    Failure,
    FailureDomainName,
    Handle,
    Organisation,
    OrganisationId,
    Reason,
    RegisteredUpstream,
    RequestFields,
    RequestId,
    RequestKind,
    Route,
    RoutingConfig,
    ServiceName,
    UpstreamId,
    Verdict,
    may_have_run,
    not_run,
)
from galenashift.platform import (
    HeaderError,
    decode_request,
    encode_answer,
    encode_request,
    find_header,
)
from galenashift.telemetry import EventLog, Metrics

from ._budgets import RetryBudgets
from ._caller import CallerRequest, Responder
from ._choice import Choice, Router, prefix_key
from ._exchange import (
    Answered,
    Broken,
    Exchanger,
    NotSent,
    Outcome,
    OutgoingRequest,
    Refused,
    Silent,
    StreamEnded,
    Waits,
)
from ._stage_run import REPEATABLE_PROBLEMS, StagedRequest, StageMaker, StageRun
from ._stage_scheduler import StageFailed, StageProblem
from ._stream import StreamWriter
from ._times import ServiceTimes
from ._view import PlatformView

#: Time before the route's timeout at which a final answer is written, in seconds.
_TIMEOUT_MARGIN_S = 0.03
#: Wait for an upstream that may take work, as a part of the route's goal.
_WAIT_PART = 0.125
#: Time between looks for an upstream that may take work, in seconds.
_POLL_S = 0.02
#: Wait for the first byte before a repeatable request goes elsewhere, as a multiple
#: of the route's goal, and at least this long, in seconds.
_FIRST_BYTE_GOALS = 1.0
_MIN_FIRST_BYTE_S = 0.5
#: Pause in a stream after which a resumable one goes elsewhere, in seconds.
_RESUME_GAP_S = 1.0
#: Time after which a caller may come back when an upstream was full, in seconds.
_FULL_RETRY_AFTER_S = 0.25
#: The same while this daemon has no configuration, in seconds.
_STARTING_RETRY_AFTER_S = 0.5
#: Time left below which nothing is sent any more, in seconds.
_MIN_LEFT_S = 0.01

_SERVER_ERROR = 500


def _nothing() -> None:
    """Do nothing."""


@dataclass(kw_only=True)
class _Job:
    """A request on its way."""

    request: CallerRequest
    fields: RequestFields
    route: Route
    config: RoutingConfig
    organisation: Organisation | None
    service: ServiceName
    #: Boot-time clock after which no answer is useful, in seconds.
    deadline_s: float
    #: Boot-time clock by which the answer is on time, in seconds.
    due_s: float
    #: Upstreams that the request was sent to.
    tried: set[UpstreamId] = field(default_factory=set)
    #: Upstreams that could not be reached.
    unreachable: set[UpstreamId] = field(default_factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    #: Whether a request is on its way whose outcome is unknown yet.
    in_flight: bool = False
    #: Answer of an upstream that a repetition may improve on.
    spare_answer: Answered | None = None

    @property
    def request_id(self) -> RequestId:
        """Identifier in the log."""
        return RequestId(self.fields.attempt_id)

    @property
    def rank(self) -> int:
        """Rank of the organisation, or else of the route."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank


class Relay:
    """Serves requests of callers.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        router: Router,
        exchanger: Exchanger,
        stages: StageMaker,
        budgets: RetryBudgets,
        times: ServiceTimes,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._router = router
        self._exchanger = exchanger
        self._stages = stages
        self._budgets = budgets
        self._times = times
        self._events = events
        self._metrics = metrics
        self._clock = clock

    async def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Answer one request.

        :raises CallerGone: If the caller leaves.
        """
        job = self._open(request)
        if isinstance(job, Failure):
            self._log_end(find_header(request.headers, b"host") or "", request, job)
            await responder.fail(job)
            return
        try:
            failure = await self._serve(job, responder)
        except BaseException:
            self._log_left(job, responder)
            raise
        if failure is not None and responder.status is None:
            self._log_failure(job, failure)
            await responder.fail(failure)
        elif failure is not None:
            self._log_failure(job, failure)
        else:
            self._log_answer(job, responder)

    def _open(self, request: CallerRequest) -> _Job | Failure:
        """Find route and organisation, or the reason to refuse."""
        config = self._view.config
        if config is None:
            return not_run(
                reason=Reason.STORE_UNAVAILABLE,
                detail="this daemon has no configuration yet",
                retry_after_s=_STARTING_RETRY_AFTER_S,
            )
        try:
            fields = decode_request(request.headers)
        except HeaderError as error:
            return not_run(reason=Reason.MALFORMED, detail=str(error))
        host = find_header(request.headers, b"host") or ""
        route = config.find_route(host=host, path=request.target)
        if route is None:
            return not_run(
                reason=Reason.UNKNOWN_PIPELINE, detail="no route matches host and path"
            )
        organisation = None
        if not route.public and config.organisations_by_key is not None:
            organisation = config.organisations_by_key.get(fields.api_key or "")
            if organisation is None:
                return not_run(
                    reason=Reason.UNAUTHENTICATED, detail="the API key is unknown"
                )
        wait_s = route.timeout_s - _TIMEOUT_MARGIN_S
        if fields.wait_s is not None:
            wait_s = min(wait_s, fields.wait_s)
        return _Job(
            request=request,
            fields=fields,
            route=route,
            config=config,
            organisation=organisation,
            service=self._router.pick_service(route.weight_by_service),
            deadline_s=request.arrived_at_s + wait_s,
            due_s=request.arrived_at_s + route.goal_s,
        )

    async def _serve(self, job: _Job, responder: Responder) -> Failure | None:
        now_s = self._clock()
        self._budgets.count_request(job.service, now_s=now_s)
        with trio.move_on_after(max(0.0, job.deadline_s - now_s)):
            if not job.route.stages:
                return await self._send_until_done(job, responder, ())
            return await self._serve_staged(job, responder)
        return self._timed_out(job)

    async def _serve_staged(self, job: _Job, responder: Responder) -> Failure | None:
        run = StageRun(
            route=job.route,
            config=job.config,
            request=self._staged_request(job),
            maker=self._stages,
            locate=self._view.domain_of_most,
            wait=lambda service: self._times.wait(service, now_s=self._clock()),
            clock=self._clock,
        )
        refused = run.refusal(now_s=self._clock())
        if refused is not None:
            return _stage_failure(refused)
        try:
            failed = await run.make()
            if failed is not None and failed.problem in REPEATABLE_PROBLEMS:
                run.release()
                failed = await run.make()
            if failed is not None:
                return _stage_failure(failed)
            # The upstream has read its inputs before the first event; only a stream
            # that may resume elsewhere needs them again.
            on_first_event = _nothing if job.route.resumable else run.release
            return await self._send_until_done(
                job, responder, run.inputs, on_first_event
            )
        finally:
            run.release()

    def _staged_request(self, job: _Job) -> StagedRequest:
        organisation = job.organisation
        return StagedRequest(
            attempt_id=job.fields.attempt_id,
            piece_counts=job.fields.piece_counts,
            piece_key=job.fields.piece_key,
            organisation_id=(
                OrganisationId("")
                if organisation is None
                else organisation.organisation_id
            ),
            rank=job.route.rank,
            due_s=job.due_s,
            deadline_s=min(
                job.deadline_s, job.request.arrived_at_s + job.route.patience_s
            ),
            final_s=self._times.first_byte_s(job.service),
            domain=self._probable_domain(job),
        )

    def _probable_domain(self, job: _Job) -> FailureDomainName | None:
        """Return where the request would run if it were sent now."""
        choice = self._choose_now(job)
        return None if choice is None else choice.upstream.registration.failure_domain

    async def _send_until_done(
        self,
        job: _Job,
        responder: Responder,
        inputs: tuple[Handle, ...],
        on_first_event: Callable[[], None] = _nothing,
    ) -> Failure | None:
        writer = StreamWriter(
            responder=responder,
            last_id=job.fields.last_event_id,
            on_first_event=on_first_event,
        )
        while True:
            choice = await self._choose(job)
            if choice is None:
                return await self._without_upstream(job, responder, writer)
            outcome = await self._send(job, choice, writer, inputs)
            result = await self._after(job, choice, outcome, responder, writer)
            if not isinstance(result, _SendAgain):
                return result

    async def _choose(self, job: _Job) -> Choice | None:
        wait_until_s = self._clock() + _WAIT_PART * job.route.goal_s
        while True:
            choice = self._choose_now(job)
            if choice is not None or self._clock() >= wait_until_s:
                return choice
            await trio.sleep(_POLL_S)

    def _choose_now(self, job: _Job) -> Choice | None:
        now_s = self._clock()
        parts = job.fields.prompt_parts if job.route.prefix_cached else ()
        return self._router.choose(
            candidates=self._view.upstreams_of(job.service, now_s=now_s),
            excluded=job.tried | job.unreachable,
            prefix_key=prefix_key(parts),
            daemon_count=self._view.daemon_count,
            now_s=now_s,
        )

    async def _send(
        self,
        job: _Job,
        choice: Choice,
        writer: StreamWriter,
        inputs: tuple[Handle, ...],
    ) -> Outcome:
        upstream = choice.upstream.registration
        now_s = self._clock()
        self._log_choice(job, choice, now_s)
        organisation = job.organisation
        headers = encode_request(
            headers=job.request.headers,
            body_bytes=len(job.request.body),
            wait_s=job.deadline_s - now_s,
            upstream_id=upstream.upstream_id,
            organisation_id=(
                None if organisation is None else organisation.organisation_id
            ),
            rank=job.rank,
            inputs=inputs,
            last_event_id=writer.resume_after if job.route.resumable else None,
        )
        request = OutgoingRequest(
            attempt_id=job.fields.attempt_id,
            method=job.request.method,
            target=job.request.target,
            headers=headers,
            body=job.request.body,
            repeatable=job.route.repeatable,
        )
        health = self._router.health
        record = health.of(upstream.upstream_id)
        record.in_flight += 1
        self._router.cold.record_send(upstream.upstream_id, now_s=now_s)
        writer.begin(sent_at_s=now_s, clock=self._clock)
        try:
            outcome = await self._exchanger.exchange(
                upstream=upstream,
                request=request,
                waits=self._waits(job),
                sink=writer.take if job.route.kind is RequestKind.STREAM else None,
                may_send=partial(self._begin_send, job, upstream),
            )
        finally:
            record.in_flight -= 1
        job.in_flight = False
        return outcome

    def _begin_send(self, job: _Job, upstream: RegisteredUpstream) -> bool:
        """Tell whether the first byte may be written, and expect that it is."""
        now_s = self._clock()
        job.in_flight = self._view.may_get_work(upstream, now_s=now_s)
        return job.in_flight

    def _waits(self, job: _Job) -> Waits:
        left_s = max(_MIN_LEFT_S, job.deadline_s - self._clock())
        if not job.route.repeatable or len(job.tried) + 1 >= job.route.max_attempts:
            return Waits(first_s=left_s, gap_s=left_s)
        first_s = max(_MIN_FIRST_BYTE_S, _FIRST_BYTE_GOALS * job.route.goal_s)
        return Waits(first_s=min(left_s, first_s), gap_s=_RESUME_GAP_S)

    async def _after(
        self,
        job: _Job,
        choice: Choice,
        outcome: Outcome,
        responder: Responder,
        writer: StreamWriter,
    ) -> "Failure | _SendAgain | None":
        """Decide what follows an exchange."""
        upstream_id = choice.upstream.registration.upstream_id
        now_s = self._clock()
        self._observe(job, upstream_id, outcome, writer, now_s)
        match outcome:
            case NotSent():
                job.unreachable.add(upstream_id)
                return _SEND_AGAIN
            case Refused():
                job.tried.add(upstream_id)
                if self._may_repeat(job, now_s):
                    return _SEND_AGAIN
                return await self._give_up(job, responder, _refused_failure(job))
            case Answered(head=head):
                job.tried.add(upstream_id)
                job.verdict = Verdict.RAN
                if head.status >= _SERVER_ERROR and self._may_rerun(job, now_s):
                    job.spare_answer = outcome
                    return _SEND_AGAIN
                await self._deliver(responder, outcome)
                return None
            case StreamEnded(complete=True):
                await writer.finish()
                return None
            case Broken() | Silent() | StreamEnded():
                job.tried.add(upstream_id)
                job.verdict = Verdict.MAY_HAVE_RUN
                writer.cut()
                if self._may_rerun(job, now_s):
                    return _SEND_AGAIN
                return await self._give_up(job, responder, _broken_failure(outcome))
            case _:
                assert_never(outcome)

    def _may_repeat(self, job: _Job, now_s: float) -> bool:
        """Tell whether a request that was not run may go to another upstream."""
        if len(job.tried) >= job.route.max_attempts:
            return False
        if job.deadline_s - now_s < _MIN_LEFT_S:
            return False
        allowed = self._budgets.spend(job.service, now_s=now_s)
        self._events.info(
            "retry-decided",
            request_id=job.request_id,
            service=job.service,
            allowed=allowed,
            tried=len(job.tried),
            left_s=job.deadline_s - now_s,
        )
        return allowed

    def _may_rerun(self, job: _Job, now_s: float) -> bool:
        """Tell whether a request that may have run may go to another upstream."""
        return job.route.repeatable and self._may_repeat(job, now_s)

    async def _without_upstream(
        self, job: _Job, responder: Responder, writer: StreamWriter
    ) -> Failure | None:
        if job.verdict is not Verdict.NOT_RUN:
            failure = may_have_run(
                reason=Reason.UPSTREAM_FAILED, detail="no other upstream can take it"
            )
        else:
            failure = not_run(
                reason=Reason.NO_UPSTREAM,
                detail=f"no upstream of {job.service} can take the request",
                retry_after_s=_FULL_RETRY_AFTER_S,
            )
        writer.cut()
        return await self._give_up(job, responder, failure)

    async def _give_up(
        self, job: _Job, responder: Responder, failure: Failure
    ) -> Failure | None:
        if job.spare_answer is None or responder.status is not None:
            return failure
        await self._deliver(responder, job.spare_answer)
        return None

    async def _deliver(self, responder: Responder, answer: Answered) -> None:
        await responder.answer(
            status=answer.head.status,
            headers=encode_answer(answer.head.headers),
            body=answer.body,
        )

    def _timed_out(self, job: _Job) -> Failure:
        if job.in_flight or job.verdict is not Verdict.NOT_RUN:
            return may_have_run(
                reason=Reason.DEADLINE_PASSED, detail="the deadline has passed"
            )
        return not_run(
            reason=Reason.DEADLINE_UNREACHABLE,
            detail="the deadline passed before the request was sent",
        )

    def _observe(
        self,
        job: _Job,
        upstream_id: UpstreamId,
        outcome: Outcome,
        writer: StreamWriter,
        now_s: float,
    ) -> None:
        """Record what an exchange says about its upstream."""
        health = self._router.health
        ejected = False
        match outcome:
            case Answered(fields=fields) | Refused(fields=fields):
                if fields.load is not None:
                    health.record_load(upstream_id, fields.load, now_s=now_s)
                if fields.cold_left_s:
                    health.of(upstream_id).cold_until_s = now_s + fields.cold_left_s
            case _:
                pass
        match outcome:
            case Answered(head=head) if head.status < _SERVER_ERROR:
                latency_s = now_s - writer.sent_at_s
                health.record_answer(upstream_id, latency_s=latency_s, now_s=now_s)
                self._times.record(job.service, latency_s)
            case StreamEnded(complete=True):
                latency_s = writer.first_byte_s
                health.record_answer(upstream_id, latency_s=latency_s, now_s=now_s)
                self._times.record(job.service, latency_s)
            case Refused(misdirected=True):
                health.eject(upstream_id, until_s=now_s + 1.0)
                ejected = True
            case _:
                ejected = health.record_failure(upstream_id, now_s=now_s)
        self._metrics.count("exchanges_total", outcome=type(outcome).__name__)
        self._events.info(
            "exchange-ended",
            request_id=job.request_id,
            upstream=upstream_id,
            outcome=_describe(outcome),
            elapsed_s=now_s - writer.sent_at_s,
            first_byte_s=writer.first_byte_s,
            ejected=ejected,
        )

    def _log_choice(self, job: _Job, choice: Choice, now_s: float) -> None:
        upstream = choice.upstream
        self._events.info(
            "upstream-chosen",
            request_id=job.request_id,
            route=job.route.name,
            service=job.service,
            upstream=upstream.registration.upstream_id,
            known_s=now_s - upstream.learned_at_s,
            config=job.config.version,
            eligible=choice.eligible,
            cost_s=choice.cost_s,
            by_prefix=choice.by_prefix,
            left_s=job.deadline_s - now_s,
        )

    def _log_failure(self, job: _Job, failure: Failure) -> None:
        self._metrics.count(
            "requests_total", route=job.route.name, result=failure.reason.value
        )
        self._events.info(
            "request-failed",
            request_id=job.request_id,
            route=job.route.name,
            status=failure.http_status,
            reason=failure.reason,
            verdict=failure.verdict,
            detail=failure.detail,
            retry_after_s=failure.retry_after_s,
            config=job.config.version,
            elapsed_s=self._clock() - job.request.arrived_at_s,
        )

    def _log_answer(self, job: _Job, responder: Responder) -> None:
        elapsed_s = self._clock() - job.request.arrived_at_s
        self._metrics.observe("request_seconds", elapsed_s, route=job.route.name)
        self._metrics.count("requests_total", route=job.route.name, result="answered")
        self._events.info(
            "request-answered",
            request_id=job.request_id,
            route=job.route.name,
            status=responder.status,
            elapsed_s=elapsed_s,
            attempts=len(job.tried) + 1,
        )

    def _log_left(self, job: _Job, responder: Responder) -> None:
        self._metrics.count(
            "requests_total", route=job.route.name, result="caller-gone"
        )
        self._events.info(
            "caller-gone",
            request_id=job.request_id,
            route=job.route.name,
            started=responder.status is not None,
            verdict=job.verdict,
            elapsed_s=self._clock() - job.request.arrived_at_s,
        )

    def _log_end(self, host: str, request: CallerRequest, failure: Failure) -> None:
        self._metrics.count("refusals_total", reason=failure.reason.value)
        self._events.info(
            "request-refused",
            request_id=RequestId(
                find_header(request.headers, b"galenashift-attempt-id") or "none"
            ),
            host=host,
            status=failure.http_status,
            reason=failure.reason,
            detail=failure.detail,
        )


@dataclass(frozen=True)
class _SendAgain:
    """The request goes to another upstream."""


_SEND_AGAIN = _SendAgain()


def _stage_failure(failed: StageFailed) -> Failure:
    detail = f"a stage was not made: {failed.problem.value}"
    match failed.problem:
        case StageProblem.LATE:
            reason = Reason.DEADLINE_UNREACHABLE
        case StageProblem.NO_UPSTREAM:
            reason = Reason.NO_UPSTREAM
        case StageProblem.FAILED | StageProblem.INPUT_GONE | StageProblem.UNREACHABLE:
            reason = Reason.OVERLOADED
    return not_run(
        reason=reason,
        detail=detail,
        retry_after_s=failed.retry_after_s or _FULL_RETRY_AFTER_S,
    )


def _refused_failure(job: _Job) -> Failure:
    detail = "the upstream did not accept the request"
    if job.verdict is not Verdict.NOT_RUN:
        return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
    return not_run(
        reason=Reason.UPSTREAM_REFUSED,
        detail=detail,
        retry_after_s=_FULL_RETRY_AFTER_S,
    )


def _broken_failure(outcome: Outcome) -> Failure:
    match outcome:
        case Silent():
            return may_have_run(
                reason=Reason.DEADLINE_PASSED, detail="the upstream did not answer"
            )
        case StreamEnded(detail=detail) | Broken(detail=detail):
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
        case _:
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail="no answer")


def _describe(outcome: Outcome) -> str:
    match outcome:
        case Answered(head=head):
            return f"answered {head.status}"
        case Refused(status=status):
            return f"refused {status}"
        case NotSent(detail=detail):
            return f"not sent: {detail}"
        case Broken(detail=detail):
            return f"broken: {detail}"
        case StreamEnded(complete=complete, detail=detail):
            return "stream complete" if complete else f"stream broken: {detail}"
        case Silent(started=started):
            return "silent in a stream" if started else "silent"
        case _:
            assert_never(outcome)
