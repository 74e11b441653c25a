"""Client for calls to upstreams; reports whether a failed call may have run."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager

import httpcore
import trio

from galenashift.model import (
    Failure,
    Reason,
    StageAnswer,
    StageCall,
    StreamItem,
    Upstream,
    boot_time_s,
    may_have_run,
    not_run,
)

from ._connection import Transmission, always_allow
from ._events import FleetEventEmitter
from ._exchange import (
    MAX_ANSWER_BYTES,
    SILENCE_TIMEOUT_S,
    CallObserver,
    ExchangeManager,
    check_exchange_id,
    headers_by_name,
)
from ._stream import open_stream
from ._transport import NETWORK_ERRORS, Transport

#: Attempts to find a connection that accepts the first byte. After a restart of the
#: upstream, the idle connections in the pool are stale; it keeps at most 4.
MAX_SEND_ATTEMPTS = 6


class UpstreamClient:
    """Implements `galenashift.model.UpstreamCalls` over HTTP.

    `run` must be running before the first call.

    :param observer: Records calls and upstream states; usually the `Directory`.
    :param events: Emits an event when an upstream turns cold or leaves.
    :param on_crash: Reports that a call crashed its upstream; awaited before the
        call returns.
    :param may_send: Called right before the first byte of a new request; returns
        whether this daemon may send it.
    :param clock: Returns seconds.
    :param max_answer_bytes: Largest answer of a call.
    :param silence_timeout_s: Seconds without progress before a connection is
        checked.
    """

    def __init__(
        self,
        *,
        observer: CallObserver,
        events: FleetEventEmitter,
        on_crash: Callable[[Upstream], Awaitable[None]],
        may_send: Callable[[], bool] = always_allow,
        clock: Callable[[], float] = boot_time_s,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        self.transport = Transport()
        self._clock = clock
        self._max_answer_bytes = max_answer_bytes
        self._exchange_manager = ExchangeManager(
            transport=self.transport,
            observer=observer,
            events=events,
            on_crash=on_crash,
            may_send=may_send,
            clock=clock,
            silence_timeout_s=silence_timeout_s,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run background tasks until cancelled, then close all connections."""
        try:
            await self._exchange_manager.run(task_status=task_status)
        finally:
            with trio.CancelScope(shield=True):
                await self.transport.aclose()

    async def retain(self, *, upstreams: Iterable[Upstream]) -> None:
        """Discard state and idle connections of upstreams that are not listed."""
        listed = tuple(upstreams)
        self._exchange_manager.retain_crashes({each.upstream_id for each in listed})
        await self.transport.retain(listed)

    async def call(
        self, *, upstream: Upstream, call: StageCall, timeout_s: float
    ) -> StageAnswer | Failure:
        """Send one call and wait for the complete answer."""
        exchange_manager = self._exchange_manager
        started_at_s = self._clock()
        transmission = Transmission(
            clock=self._clock, may_send=exchange_manager.may_send
        )
        observer = exchange_manager.observer
        observer.call_started(upstream_id=upstream.upstream_id, now_s=started_at_s)
        watch = exchange_manager.watch(
            upstream=upstream,
            exchange_id=call.exchange_id,
            transmission=transmission,
            expected_index=lambda: None,
        )
        duration_s = None
        try:
            with trio.move_on_after(timeout_s):
                outcome = await self._send(upstream, call, timeout_s, transmission)
                if isinstance(outcome, StageAnswer):
                    duration_s = outcome.duration_s
                return outcome
            return _deadline_failure(upstream, timeout_s, transmission)
        finally:
            watch.cancel()
            observer.call_ended(
                upstream_id=upstream.upstream_id,
                now_s=self._clock(),
                duration_s=duration_s,
            )

    def stream(
        self,
        *,
        upstream: Upstream,
        call: StageCall,
        forced_tokens: tuple[str, ...],
        timeout_s: float,
    ) -> AbstractAsyncContextManager[AsyncIterator[StreamItem]]:
        """Generate tokens; leaving the context cancels the request at the upstream."""
        return open_stream(
            exchange_manager=self._exchange_manager,
            upstream=upstream,
            call=call,
            forced_tokens=forced_tokens,
            timeout_s=timeout_s,
        )

    async def _send(
        self,
        upstream: Upstream,
        call: StageCall,
        timeout_s: float,
        transmission: Transmission,
    ) -> StageAnswer | Failure:
        exchange_manager = self._exchange_manager
        started_at_s = self._clock()
        known_incarnation = exchange_manager.observer.incarnation_of(
            upstream_id=upstream.upstream_id
        )
        body = json.dumps(call.body).encode()
        for attempt in range(1, MAX_SEND_ATTEMPTS + 1):
            transmission.reused = False
            try:
                response = await self.transport.request(
                    upstream=upstream,
                    method="POST",
                    path=call.path,
                    headers=exchange_manager.call_headers(call),
                    body=body,
                    timeout_s=timeout_s,
                    transmission=transmission,
                )
                try:
                    return await self._receive(upstream, call, response, started_at_s)
                finally:
                    await self.transport.close_response(response)
            except NETWORK_ERRORS as error:
                stale = transmission.reused and not transmission.sent_any_byte
                if stale and attempt < MAX_SEND_ATTEMPTS:
                    continue
                if self._clock() - started_at_s >= timeout_s:
                    return _deadline_failure(upstream, timeout_s, transmission)
                failure, _ = await exchange_manager.classify_network_failure(
                    upstream=upstream,
                    transmission=transmission,
                    known_incarnation=known_incarnation,
                    started_at_s=started_at_s,
                    error=error,
                )
                return failure
        raise AssertionError("the last attempt returns")

    async def _receive(
        self,
        upstream: Upstream,
        call: StageCall,
        response: httpcore.Response,
        started_at_s: float,
    ) -> StageAnswer | Failure:
        exchange_manager = self._exchange_manager
        headers = headers_by_name(response)
        mismatch = check_exchange_id(upstream=upstream, call=call, headers=headers)
        if mismatch is not None:
            return mismatch
        exchange_manager.record_upstream_state(upstream=upstream, headers=headers)
        if response.status != 200:
            return await exchange_manager.read_failure(
                upstream=upstream,
                response=response,
                headers=headers,
            )
        data = await self.transport.read_all(
            response, limit_bytes=self._max_answer_bytes
        )
        prefix = f"upstream {upstream.upstream_id}"
        if data is None:
            return may_have_run(
                reason=Reason.TOO_LARGE,
                detail=f"{prefix}: answer is over {self._max_answer_bytes} bytes",
            )
        try:
            value = json.loads(data)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            return may_have_run(
                reason=Reason.UPSTREAM_FAILED,
                detail=f"{prefix}: answer is not a JSON object",
            )
        tokens = value.get("tokens")
        return StageAnswer(
            upstream_id=upstream.upstream_id,
            body=value,
            duration_s=self._clock() - started_at_s,
            tokens=len(tokens) if isinstance(tokens, list) else 0,
        )


def _deadline_failure(
    upstream: Upstream, timeout_s: float, transmission: Transmission
) -> Failure:
    make_failure = may_have_run if transmission.sent_any_byte else not_run
    return make_failure(
        reason=Reason.DEADLINE_PASSED,
        detail=f"upstream {upstream.upstream_id}: no answer within {timeout_s:g} s",
    )
