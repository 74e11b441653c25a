"""Token streams from one upstream, resumed when a connection fails."""

import json
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import trio

from galenashift.model import (
    Failure,
    JsonObject,
    Reason,
    StageCall,
    StreamEnd,
    StreamItem,
    Token,
    Upstream,
    Verdict,
    may_have_run,
    not_run,
)

from ._body import StreamBody
from ._connection import AbortReason, Transmission, always_allow
from ._exchange import ExchangeManager, check_exchange_id, headers_by_name
from ._lines import LineReader, ProtocolViolation
from ._transport import NETWORK_ERRORS

#: Consecutive resumes without a new token after which the stream fails.
_MAX_RESUMES_WITHOUT_TOKEN = 3

_MAX_SEND_ATTEMPTS = 6

#: Seconds to wait for the end of the body after the end marker.
_FINISH_TIMEOUT_S = 0.05


class _Stream:
    def __init__(
        self,
        *,
        exchange_manager: ExchangeManager,
        upstream: Upstream,
        call: StageCall,
        forced_tokens: tuple[str, ...],
        timeout_s: float,
    ) -> None:
        self._exchange_manager = exchange_manager
        self._transport = exchange_manager.transport
        self._upstream = upstream
        self._call = call
        self._forced_tokens = forced_tokens
        self._timeout_s = timeout_s
        self._started_at_s = exchange_manager.clock()
        self._deadline = trio.current_time() + timeout_s
        self._known_incarnation = exchange_manager.observer.incarnation_of(
            upstream_id=upstream.upstream_id
        )
        self._transmission = Transmission(clock=exchange_manager.clock)
        self._watch: trio.CancelScope | None = None
        self._response: httpcore.Response | None = None
        self._body: StreamBody | None = None
        self._reader: LineReader | None = None
        self._items: deque[StreamItem] = deque()
        self._next_index = len(forced_tokens)
        self._resumes_without_token = 0
        self.sent_any_byte = False
        self.ended = False
        self.complete = False

    def __aiter__(self) -> AsyncIterator[StreamItem]:
        return self

    async def __anext__(self) -> StreamItem:
        while not self._items:
            if self.ended:
                raise StopAsyncIteration
            if self._response is not None:
                await self._advance()
                continue
            with trio.CancelScope(deadline=self._deadline) as scope:
                await self._advance()
            if scope.cancelled_caught:
                await self._fail_by_deadline()
        item = self._items.popleft()
        if isinstance(item, Token):
            self._next_index = item.index + 1
        return item

    async def _advance(self) -> None:
        """Connect or read once; adds items, or prepares another attempt."""
        try:
            if self._response is None:
                await self._connect()
                return
            assert self._body is not None
            data = await self._body.read()
        except NETWORK_ERRORS as error:
            await self._handle_network_error(error)
            return
        assert self._reader is not None
        if data:
            found = self._reader.feed(data)
        else:
            violation = self._reader.finish()
            found = [] if violation is None else [violation]
        for item in found:
            match item:
                case ProtocolViolation(detail=detail):
                    await self._resume_or_fail(
                        self._failure(Reason.INCOMPLETE_STREAM, detail)
                    )
                    return
                case StreamEnd():
                    self.complete = True
                    self.ended = True
                    self._items.append(item)
                    await self._drain_body()
                    await self.disconnect()
                    return
                case Token():
                    self._resumes_without_token = 0
                    self._items.append(item)

    async def _drain_body(self) -> None:
        # The connection can be reused only if the body has been read to its end.
        assert self._body is not None
        with trio.move_on_after(_FINISH_TIMEOUT_S):
            try:
                await self._body.read()
            except NETWORK_ERRORS:
                return

    async def _connect(self) -> None:
        is_resume = self.sent_any_byte
        path = self._call.path
        body: JsonObject = {
            **self._call.body,
            "forced_tokens": list(self._forced_tokens),
        }
        if is_resume:
            path, body = "/v1/resume", {"from": self._expected_index()}
        data = json.dumps(body).encode()
        for attempt in range(1, _MAX_SEND_ATTEMPTS + 1):
            # A resume continues a request that has been sent.
            self._transmission = Transmission(
                clock=self._exchange_manager.clock,
                may_send=always_allow if is_resume else self._exchange_manager.may_send,
                reads_body_directly=True,
            )
            self._start_watch()
            try:
                self._response = await self._transport.request(
                    upstream=self._upstream,
                    method="POST",
                    path=path,
                    headers=self._exchange_manager.call_headers(self._call),
                    body=data,
                    timeout_s=self._deadline - trio.current_time(),
                    transmission=self._transmission,
                )
                break
            except NETWORK_ERRORS:
                transmission = self._transmission
                stale = transmission.reused and not transmission.sent_any_byte
                if not stale or attempt == _MAX_SEND_ATTEMPTS:
                    raise
            finally:
                self.sent_any_byte = (
                    self.sent_any_byte or self._transmission.sent_any_byte
                )
        assert self._response is not None
        await self._check_headers(self._response, is_resume=is_resume)

    async def _check_headers(
        self, response: httpcore.Response, *, is_resume: bool
    ) -> None:
        headers = headers_by_name(response)
        mismatch = check_exchange_id(
            upstream=self._upstream, call=self._call, headers=headers
        )
        if mismatch is not None:
            await self._resume_or_fail(mismatch)
            return
        self._exchange_manager.record_upstream_state(
            upstream=self._upstream, headers=headers
        )
        if response.status == 200:
            self._body = StreamBody(
                transport=self._transport, response=response, headers=headers
            )
            self._reader = LineReader(
                exchange_id=self._call.exchange_id, next_index=self._expected_index()
            )
            return
        failure = await self._exchange_manager.read_failure(
            upstream=self._upstream,
            response=response,
            headers=headers,
        )
        await self.disconnect()
        if is_resume:
            # The upstream refused the resume; the original request may have run.
            failure = self._failure(Reason.INCOMPLETE_STREAM, failure.detail)
        elif failure.verdict is Verdict.NOT_RUN:
            self.sent_any_byte = False
        self._fail(failure)

    async def _handle_network_error(self, error: Exception) -> None:
        transmission = self._transmission
        if transmission.abort_reason is AbortReason.DEADLINE:
            await self._fail_by_deadline()
            return
        # Even if the resume sent nothing, the original request may have run.
        transmission.sent_any_byte = self.sent_any_byte
        await self.disconnect()
        failure, can_resume = await self._exchange_manager.classify_network_failure(
            upstream=self._upstream,
            transmission=transmission,
            known_incarnation=self._known_incarnation,
            started_at_s=self._started_at_s,
            error=error,
        )
        if can_resume:
            await self._resume_or_fail(failure)
        else:
            self._fail(failure)

    async def _resume_or_fail(self, failure: Failure) -> None:
        await self.disconnect()
        self._resumes_without_token += 1
        if self._resumes_without_token > _MAX_RESUMES_WITHOUT_TOKEN:
            self._fail(failure)

    async def _fail_by_deadline(self) -> None:
        await self.disconnect()
        self._fail(self._failure(Reason.DEADLINE_PASSED, "deadline passed"))

    def _failure(self, reason: Reason, detail: str) -> Failure:
        make_failure = (
            may_have_run
            if self.sent_any_byte or self._transmission.sent_any_byte
            else not_run
        )
        prefix = f"upstream {self._upstream.upstream_id}"
        return make_failure(reason=reason, detail=f"{prefix}: {detail}")

    def _fail(self, failure: Failure) -> None:
        self._items.append(failure)
        self.ended = True

    def _expected_index(self) -> int:
        tokens = [each for each in self._items if isinstance(each, Token)]
        return tokens[-1].index + 1 if tokens else self._next_index

    def _start_watch(self) -> None:
        self._stop_watch()
        self._watch = self._exchange_manager.watch(
            upstream=self._upstream,
            exchange_id=self._call.exchange_id,
            transmission=self._transmission,
            expected_index=self._expected_index,
            deadline_s=self._started_at_s + self._timeout_s,
        )

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def disconnect(self) -> None:
        """Close the connection of the current attempt."""
        self._stop_watch()
        response, self._response = self._response, None
        self._body = None
        self._reader = None
        if response is not None:
            await self._transport.close_response(response)


@asynccontextmanager
async def open_stream(
    *,
    exchange_manager: ExchangeManager,
    upstream: Upstream,
    call: StageCall,
    forced_tokens: tuple[str, ...],
    timeout_s: float,
) -> AsyncIterator[AsyncIterator[StreamItem]]:
    """Generate tokens on one upstream; see `UpstreamCalls.stream`."""
    observer = exchange_manager.observer
    started_at_s = exchange_manager.clock()
    observer.call_started(upstream_id=upstream.upstream_id, now_s=started_at_s)
    stream = _Stream(
        exchange_manager=exchange_manager,
        upstream=upstream,
        call=call,
        forced_tokens=forced_tokens,
        timeout_s=timeout_s,
    )
    try:
        yield stream
    finally:
        if stream.sent_any_byte and not stream.complete:
            exchange_manager.cancel_at_upstream(upstream=upstream, call=call)
        now_s = exchange_manager.clock()
        observer.call_ended(
            upstream_id=upstream.upstream_id,
            now_s=now_s,
            duration_s=now_s - started_at_s if stream.complete else None,
        )
        await stream.disconnect()
