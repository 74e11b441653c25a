"""Log events and metrics of requests, with one event for each decision."""

from collections.abc import Callable
from typing import assert_never

from galenashift.model import Failure, RequestId, UpstreamId
from galenashift.platform import find_header
from galenashift.telemetry import EventLog, Metrics

from ._caller import CallerRequest, Responder
from ._outcomes import Answered, Broken, NotSent, Outcome, Refused, Silent, StreamEnded
from ._request import ActiveRequest
from ._router import Choice
from ._stream import StreamWriter


class RequestLog:
    """Logs the decisions on requests.
    :param clock: Boot-time clock.
    """

    def __init__(
        self, *, events: EventLog, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._clock = clock

    def refused(
        self, request: CallerRequest, failure: Failure, *, attempt_id: str
    ) -> None:
        """Log a request that was refused before it was accepted for routing."""
        self._metrics.count("refusals_total", reason=failure.reason.value)
        self._events.info(
            "request-refused",
            request_id=RequestId(attempt_id),
            host=find_header(request.headers, b"host"),
            status=failure.http_status,
            reason=failure.reason,
            detail=failure.detail,
        )

    def retry_decided(
        self, request: ActiveRequest, *, allowed: bool, now_s: float
    ) -> None:
        """Log whether a request may be retried at another upstream."""
        self._events.info(
            "retry-decided",
            request_id=request.request_id,
            service=request.service,
            allowed=allowed,
            tried=len(request.tried),
            left_s=request.deadline_s - now_s,
        )

    def exchange_ended(
        self,
        request: ActiveRequest,
        upstream_id: UpstreamId,
        outcome: Outcome,
        writer: StreamWriter,
        *,
        ejected: bool,
        now_s: float,
    ) -> None:
        """Log the outcome of an exchange and whether the upstream was ejected."""
        self._metrics.count("exchanges_total", outcome=type(outcome).__name__)
        self._events.info(
            "exchange-ended",
            request_id=request.request_id,
            upstream=upstream_id,
            outcome=_describe(outcome),
            elapsed_s=now_s - writer.sent_at_s,
            first_byte_s=writer.first_byte_s,
            ejected=ejected,
        )

    def upstream_chosen(
        self, request: ActiveRequest, choice: Choice, now_s: float
    ) -> None:
        """Log the upstream selected for a request, with the inputs of the decision."""
        upstream = choice.upstream
        self._events.info(
            "upstream-chosen",
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            upstream=upstream.registration.upstream_id,
            known_s=now_s - upstream.received_at_s,
            config=request.config.version,
            candidates=choice.candidates,
            limited=choice.limited,
            cost_s=choice.cost_s,
            by_prefix=choice.by_prefix,
            spread=choice.spread,
            load=choice.load.requests,
            load_age_s=choice.load.age_s,
            tokens=choice.tokens or None,
            token_share=choice.load.token_share or None,
            slowness=choice.slowness,
            parts=",".join(each.part_id for each in request.fields.prompt_parts),
            left_s=request.deadline_s - now_s,
        )

    def failed(self, request: ActiveRequest, failure: Failure) -> None:
        """Log a failure that is reported to the caller or interrupts its stream."""
        self._metrics.count(
            "requests_total", route=request.route.name, result=failure.reason.value
        )
        self._events.info(
            "request-failed",
            request_id=request.request_id,
            route=request.route.name,
            status=failure.http_status,
            reason=failure.reason,
            verdict=failure.verdict,
            detail=failure.detail,
            retry_after_s=failure.retry_after_s,
            config=request.config.version,
            elapsed_s=self._clock() - request.request.arrived_at_s,
        )

    def answered(self, request: ActiveRequest, responder: Responder) -> None:
        """Log an answer that was delivered completely."""
        elapsed_s = self._clock() - request.request.arrived_at_s
        self._metrics.observe("request_seconds", elapsed_s, route=request.route.name)
        self._metrics.count(
            "requests_total", route=request.route.name, result="answered"
        )
        self._events.info(
            "request-answered",
            request_id=request.request_id,
            route=request.route.name,
            status=responder.status,
            elapsed_s=elapsed_s,
            attempts=len(request.tried) + 1,
        )

    def caller_left(self, request: ActiveRequest, responder: Responder) -> None:
        """Log a request whose handling ended before its answer was complete."""
        self._metrics.count(
            "requests_total", route=request.route.name, result="caller-gone"
        )
        self._events.info(
            "caller-gone",
            request_id=request.request_id,
            route=request.route.name,
            started=responder.status is not None,
            verdict=request.verdict,
            elapsed_s=self._clock() - request.request.arrived_at_s,
        )


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
