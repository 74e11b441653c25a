"""ASGI application for callers."""

import json
from collections.abc import Callable
from random import Random, SystemRandom

import trio

from galenashift.model import (
    Failure,
    PipelineAnswer,
    PipelineRequest,
    Reason,
    RequestId,
    Token,
    Verdict,
    boot_time_s,
    may_have_run,
    new_time_ordered_id,
    not_run,
    wall_time_s,
)
from galenashift.state import IssuedKey
from galenashift.telemetry import EventLog, Metrics

from ._caller_request import (
    authenticate,
    compute_fingerprint,
    find_pipeline,
    read_caller_body,
    read_issued_key,
)
from ._event_stream import EventStream, RequestProgress
from ._http import (
    Disconnected,
    Receive,
    Scope,
    Send,
    error_location,
    headers_by_name,
    internal_failure,
    read_body,
    send_bytes,
    send_failure,
    send_health,
    serve_scope,
)
from ._interfaces import DIRECT_BODY, Buffered, CallerService, Executor

#: Largest accepted request body.
MAX_BODY_BYTES = 1_000_000
#: Time to receive the whole body; limits how long a slow sender holds memory.
BODY_TIMEOUT_S = 5.0
#: Time after the deadline at which a request that the executor has not ended is
#: cancelled. The executor itself ends requests at the deadline.
DEADLINE_GRACE_S = 1.0
#: Time for a caller to read the rest of a stream after its last event is queued.
STREAM_FLUSH_TIMEOUT_S = 10.0

_PIPELINES_PATH = "/v1/pipelines/"


class CallerApp:
    """Serves ``POST /v1/pipelines/<name>``, ``/healthz`` and ``/readyz``."""

    def __init__(
        self,
        *,
        executor: Executor,
        service: CallerService,
        events: EventLog,
        metrics: Metrics,
        random: Random | None = None,
        boot_time: Callable[[], float] = boot_time_s,
        wall_time: Callable[[], float] = wall_time_s,
    ) -> None:
        self._executor = executor
        self._service = service
        self._events = events
        self._metrics = metrics
        self._random = random if random is not None else SystemRandom()
        self._boot_time = boot_time
        self._wall_time = wall_time

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope."""
        await serve_scope(scope, receive, send, self._serve_http)

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        identifier = new_time_ordered_id(
            wall_time_s=self._wall_time(), random=self._random
        )
        progress = RequestProgress(
            request_id=RequestId(identifier), arrived_at_s=self._boot_time()
        )
        try:
            await self._route(scope, receive, send, progress)
        except Exception as error:
            self._log_internal_error(error, progress)
            # If the response has started, returning makes the server abort the
            # connection, so the caller sees that the response is incomplete.
            if not progress.response_started:
                started = progress.started
                verdict = Verdict.MAY_HAVE_RUN if started else Verdict.NOT_RUN
                await self._send_failure(send, internal_failure(verdict), progress)

    async def _route(
        self, scope: Scope, receive: Receive, send: Send, progress: RequestProgress
    ) -> None:
        path, method = scope["path"], scope["method"]
        if path in ("/healthz", "/readyz") and method in ("GET", "HEAD"):
            await send_health(send, path=path, ready=self._service.ready())
            return
        if not path.startswith(_PIPELINES_PATH):
            detail = f"no such path; send POST {_PIPELINES_PATH}<name>"
            failure = not_run(reason=Reason.UNKNOWN_PIPELINE, detail=detail)
            await self._send_failure(send, failure, progress)
            return
        if method != "POST":
            failure = not_run(
                reason=Reason.MALFORMED, detail="method not allowed; use POST"
            )
            await self._send_failure(send, failure, progress, status=405)
            return
        request = await self._read_request(scope, receive, progress)
        match request:
            case Disconnected():
                self._record_abandoned(progress)
            case Failure():
                await self._send_failure(send, request, progress)
            case PipelineRequest(stream=True):
                direct = scope.get("extensions", {}).get(DIRECT_BODY)
                stream = EventStream(send=send, progress=progress, direct=direct)
                await self._send_streamed_response(
                    request, receive, send, progress, stream=stream
                )
            case PipelineRequest():
                await self._send_unary_response(request, receive, send, progress)

    async def _read_request(
        self, scope: Scope, receive: Receive, progress: RequestProgress
    ) -> PipelineRequest | Failure | Disconnected:
        current = self._service.current()
        if current is None:
            detail = "this daemon has no configuration yet"
            return not_run(reason=Reason.ISOLATED, detail=detail, retry_after_s=1)
        # A daemon that resumes after a pause may adopt a newer configuration before
        # dispatch. The check at dispatch then passes, although the API key was checked
        # against the old configuration.
        isolated = self._service.isolated()
        if isolated is not None:
            return isolated
        document = current.document
        headers = headers_by_name(scope)
        organisation = authenticate(headers=headers, document=document)
        if isinstance(organisation, Failure):
            return organisation
        progress.organisation = organisation
        name = scope["path"].removeprefix(_PIPELINES_PATH)
        found = find_pipeline(name=name, document=document)
        if isinstance(found, Failure):
            return found
        pipeline, config = found
        progress.pipeline = pipeline
        issued_key: IssuedKey | None = None
        if config.action_stage is not None:
            read = read_issued_key(headers=headers, wall_now_s=self._wall_time())
            if isinstance(read, Failure):
                return read
            issued_key = read
        content = await read_body(
            scope=scope,
            receive=receive,
            limit_bytes=MAX_BODY_BYTES,
            timeout_s=min(BODY_TIMEOUT_S, config.deadline),
        )
        if not isinstance(content, bytes):
            return content
        body = read_caller_body(content)
        if isinstance(body, Failure):
            return body
        if body.stream and not scope.get("http_version", "1.1").startswith("1"):
            # The server cannot reset an HTTP/2 stream, so a failed stream would stay
            # open and the caller would not see that it is incomplete.
            detail = "send requests with 'stream': true over HTTP/1.1"
            return not_run(reason=Reason.MALFORMED, detail=detail)
        return PipelineRequest(
            request_id=progress.request_id,
            organisation=organisation,
            pipeline=pipeline,
            input=body.input,
            stream=body.stream,
            fingerprint=compute_fingerprint(
                organisation=organisation, pipeline=pipeline, input=body.input
            ),
            arrived_at_s=progress.arrived_at_s,
            deadline_s=progress.arrived_at_s + config.deadline,
            idempotency_key=issued_key.key if issued_key else None,
            key_issued_at_s=issued_key.issued_at_s if issued_key else None,
        )

    async def _send_unary_response(
        self,
        request: PipelineRequest,
        receive: Receive,
        send: Send,
        progress: RequestProgress,
    ) -> None:
        result: PipelineAnswer | Failure = _deadline_failure()
        gone = _DisconnectWatcher()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gone.watch, receive, nursery.cancel_scope)
            progress.started = True
            with trio.move_on_after(self._remaining_s(request)):
                result = await self._executor.execute(request)
            nursery.cancel_scope.cancel()
        if gone.disconnected:
            self._record_abandoned(progress)
        elif isinstance(result, Failure):
            await self._send_failure(send, result, progress)
        else:
            headers = [(b"galenashift-verdict", Verdict.RAN.value.encode())]
            if result.replayed:
                headers.append((b"galenashift-replayed", b"true"))
            headers.append((b"galenashift-request-id", progress.request_id.encode()))
            body = json.dumps(result.body, allow_nan=False).encode()
            progress.response_started = True
            await send_bytes(
                send, body, content_type=b"application/json", extra_headers=headers
            )
            self._record_response(progress, status=200)

    async def _send_streamed_response(
        self,
        request: PipelineRequest,
        receive: Receive,
        send: Send,
        progress: RequestProgress,
        *,
        stream: EventStream,
    ) -> None:
        result: PipelineAnswer | Failure = _deadline_failure()
        gone = _DisconnectWatcher()
        written = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gone.watch, receive, nursery.cancel_scope)
            progress.started = True
            async with trio.open_nursery() as writer_nursery:
                writer_nursery.start_soon(stream.write)
                with trio.move_on_after(self._remaining_s(request)):
                    result = await self._forward_tokens(request, stream, progress)
                if isinstance(result, Failure) and stream.tokens == 0:
                    writer_nursery.cancel_scope.cancel()
                else:
                    # Limits how long a caller that does not read holds the request.
                    writer_nursery.cancel_scope.deadline = (
                        trio.current_time() + STREAM_FLUSH_TIMEOUT_S
                    )
                    if isinstance(result, Failure):
                        stream.fail(result)
                    else:
                        stream.end(result)
            written = not writer_nursery.cancel_scope.cancelled_caught
            nursery.cancel_scope.cancel()
        self._metrics.count(
            "tokens_sent_total", stream.tokens, pipeline=progress.pipeline
        )
        failure = result if isinstance(result, Failure) else None
        if gone.disconnected:
            self._record_abandoned(progress)
        elif failure is not None and stream.tokens == 0:
            await self._send_failure(send, failure, progress)
        elif written:
            if failure is None:
                await stream.complete()
            self._record_response(progress, status=200, failure=failure)
        else:
            self._record_abandoned(progress)

    async def _forward_tokens(
        self, request: PipelineRequest, stream: EventStream, progress: RequestProgress
    ) -> PipelineAnswer | Failure:
        try:
            async with self._executor.stream(request) as items:
                buffered = items if isinstance(items, Buffered) else None
                async for item in items:
                    if not isinstance(item, Token):
                        return item
                    if item.index != stream.tokens:
                        detail = (
                            f"received token {item.index}, expected {stream.tokens}"
                        )
                        return may_have_run(
                            reason=Reason.INCOMPLETE_STREAM, detail=detail
                        )
                    await stream.token(item)
                    # Tokens that are already buffered are written together.
                    if buffered is None or not buffered.has_next():
                        stream.flush()
        except Exception as error:
            self._log_internal_error(error, progress)
            return internal_failure(Verdict.MAY_HAVE_RUN)
        detail = "the stream ended before the final answer"
        return may_have_run(reason=Reason.INCOMPLETE_STREAM, detail=detail)

    def _remaining_s(self, request: PipelineRequest) -> float:
        return request.deadline_s + DEADLINE_GRACE_S - self._boot_time()

    async def _send_failure(
        self,
        send: Send,
        failure: Failure,
        progress: RequestProgress,
        *,
        status: int | None = None,
    ) -> None:
        progress.response_started = True
        sent_status = await send_failure(
            send,
            failure,
            request_id=progress.request_id,
            status=status,
            extra_headers=[(b"allow", b"POST")] if status == 405 else [],
        )
        self._record_response(progress, status=sent_status, failure=failure)

    def _record_response(
        self, progress: RequestProgress, *, status: int, failure: Failure | None = None
    ) -> None:
        duration_s = self._boot_time() - progress.arrived_at_s
        outcome = failure.reason.value if failure else "ok"
        self._metrics.count(
            "requests_total",
            pipeline=progress.pipeline,
            status=status,
            outcome=outcome,
        )
        self._metrics.observe("request_seconds", duration_s, pipeline=progress.pipeline)
        self._events.info(
            "request-answered",
            request_id=progress.request_id,
            organisation=progress.organisation,
            pipeline=progress.pipeline,
            status=status,
            outcome=outcome,
            verdict=failure.verdict if failure else Verdict.RAN,
            detail=failure.detail if failure else "",
            duration_s=duration_s,
        )

    def _log_internal_error(self, error: Exception, progress: RequestProgress) -> None:
        self._events.error(
            "internal-error",
            request_id=progress.request_id,
            detail=error_location(error),
        )

    def _record_abandoned(self, progress: RequestProgress) -> None:
        self._metrics.count("requests_abandoned_total", pipeline=progress.pipeline)
        self._events.info(
            "request-abandoned",
            request_id=progress.request_id,
            organisation=progress.organisation,
            pipeline=progress.pipeline,
            duration_s=self._boot_time() - progress.arrived_at_s,
        )


class _DisconnectWatcher:
    """Cancels the work of a request when its caller disconnects."""

    def __init__(self) -> None:
        self.disconnected = False

    async def watch(self, receive: Receive, cancel_scope: trio.CancelScope) -> None:
        """Wait until the caller disconnects, then cancel the scope."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self.disconnected = True
        cancel_scope.cancel()


def _deadline_failure() -> Failure:
    detail = "the deadline passed before the answer was complete"
    return may_have_run(reason=Reason.DEADLINE_PASSED, detail=detail)
