"""Shared parts of calls and streams: headers, silence detection, failure analysis.

An exchange is one request to an upstream with its answer. A connection is silent if
it makes no progress although the upstream has finished the exchange, has produced
further tokens for it or does not know it.
"""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import httpcore
import trio

from galenashift.model import (
    EventKind,
    ExchangeId,
    Failure,
    Incarnation,
    Reason,
    StageCall,
    Upstream,
    UpstreamId,
    UpstreamState,
    may_have_run,
    not_run,
)

from ._connection import AbortReason, Transmission
from ._delayed_start import DelayedTaskStarter
from ._events import FleetEventEmitter
from ._probe import (
    Probe,
    Reachability,
    is_crash,
    is_silent,
    parse_state,
    probe_health,
)
from ._transport import NETWORK_ERRORS, Transport

#: Seconds without progress after which the watch probes the upstream.
SILENCE_TIMEOUT_S = 2.0

#: Seconds to wait between the answer to a probe and the decision about the watched
#: connection, as bytes that left the upstream before the answer may still arrive.
_PROBE_GRACE_S = 0.05

#: Largest answer of a call, in bytes.
MAX_ANSWER_BYTES = 4_000_000

_MAX_ERROR_BODY_BYTES = 65_536

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)


class CallObserver(Protocol):
    """Part of the directory that the client reads and updates."""

    def call_started(self, *, upstream_id: UpstreamId, now_s: float) -> None:
        """Record that a call has started."""

    def call_ended(
        self, *, upstream_id: UpstreamId, now_s: float, duration_s: float | None
    ) -> None:
        """Record the end of a call; the duration is None unless it succeeded."""

    def incarnation_of(self, *, upstream_id: UpstreamId) -> Incarnation:
        """Return the last known incarnation, 0 if unknown."""

    def mark_suspect(self, *, upstream_id: UpstreamId) -> None:
        """Record that an upstream was unreachable."""

    def observe_state(
        self,
        *,
        upstream_id: UpstreamId,
        state: UpstreamState,
        incarnation: Incarnation,
        now_s: float,
    ) -> EventKind | None:
        """Apply the state in an answer; return the kind of event to emit, if any."""


@dataclass(kw_only=True)
class _Crash:
    detected_at_s: float
    reported: trio.Event


class ExchangeManager:
    """Sends, watches and diagnoses the exchanges of one daemon with its upstreams."""

    def __init__(
        self,
        *,
        transport: Transport,
        observer: CallObserver,
        events: FleetEventEmitter,
        on_crash: Callable[[Upstream], Awaitable[None]],
        may_send: Callable[[], bool],
        clock: Callable[[], float],
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        self.transport = transport
        self.observer = observer
        self.may_send = may_send
        self.clock = clock
        self._events = events
        self._on_crash = on_crash
        self._silence_timeout_s = silence_timeout_s
        self._watch_starter = DelayedTaskStarter(delay_s=silence_timeout_s)
        self._crash_by_upstream: dict[UpstreamId, _Crash] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the tasks that watch connections, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.transport.read_coalescer.run)
            nursery.start_soon(self._watch_starter.run)
            task_status.started()
            await trio.sleep_forever()

    def call_headers(self, call: StageCall) -> dict[str, str]:
        """Return the request headers of a call."""
        headers = {
            "content-type": "application/json",
            "galenashift-exchange": call.exchange_id,
            "galenashift-request": call.request_id,
            "galenashift-priority": str(call.priority),
        }
        if call.idempotency_key is not None:
            headers["idempotency-key"] = call.idempotency_key
        return headers

    def watch(
        self,
        *,
        upstream: Upstream,
        exchange_id: ExchangeId,
        transmission: Transmission,
        expected_index: Callable[[], int | None],
        deadline_s: float = float("inf"),
    ) -> trio.CancelScope:
        """Watch a transmission, and close its connection when it becomes silent.

        :param deadline_s: Time on the clock, in seconds, at which to close the
            connection. Streams use this as their timeout, because a cancel scope
            for each read would cost more than decoding a token.
        :param expected_index: Returns the index of the next token, None for a call.
        :returns: Scope to cancel when the transmission has ended.
        :raises RuntimeError: If `run` is not running.
        """
        if self._nursery is None:
            raise RuntimeError(
                "ExchangeManager.run must be running before the first call"
            )
        scope = trio.CancelScope()
        watch = partial(
            self._watch,
            upstream,
            exchange_id,
            transmission,
            expected_index,
            deadline_s,
            scope,
        )
        if self.clock() + self._silence_timeout_s < deadline_s:
            self._watch_starter.add(scope=scope, task=watch)
        else:
            self._nursery.start_soon(watch)
        return scope

    def cancel_at_upstream(self, *, upstream: Upstream, call: StageCall) -> None:
        """Ask an upstream to cancel an exchange, without waiting for the answer."""
        if self._nursery is not None:
            self._nursery.start_soon(self._cancel, upstream, call)

    async def _cancel(self, upstream: Upstream, call: StageCall) -> None:
        with trio.move_on_after(1.0):
            try:
                response = await self.transport.request(
                    upstream=upstream,
                    method="POST",
                    path="/v1/cancel",
                    headers=self.call_headers(call),
                    body=b"{}",
                    timeout_s=1.0,
                    transmission=None,
                )
            except NETWORK_ERRORS:
                return
            try:
                await self.transport.read_all(
                    response, limit_bytes=_MAX_ERROR_BODY_BYTES
                )
            except NETWORK_ERRORS:
                return
            finally:
                await self.transport.close_response(response)

    async def _watch(
        self,
        upstream: Upstream,
        exchange_id: ExchangeId,
        transmission: Transmission,
        expected_index: Callable[[], int | None],
        deadline_s: float,
        scope: trio.CancelScope,
    ) -> None:
        with scope:
            while transmission.abort_reason is None:
                now_s = self.clock()
                if now_s >= deadline_s:
                    transmission.abort(AbortReason.DEADLINE)
                    return
                pending_since_s = transmission.waiting_since_s
                waited_s = 0.0 if pending_since_s is None else now_s - pending_since_s
                if pending_since_s is None or waited_s < self._silence_timeout_s:
                    left_s = self._silence_timeout_s - waited_s
                    await trio.sleep(min(left_s, deadline_s - now_s))
                    continue
                operations = transmission.operations
                probe = await probe_health(
                    transport=self.transport, upstream=upstream, exchange_id=exchange_id
                )
                await trio.sleep(_PROBE_GRACE_S)
                if transmission.operations != operations:
                    continue
                if transmission.waiting_since_s is None:
                    continue
                if probe.reachability is not Reachability.ANSWERED:
                    transmission.abort(AbortReason.UPSTREAM_UNREACHABLE)
                elif is_silent(probe=probe, expected_index=expected_index()):
                    transmission.abort(AbortReason.SILENCE)
                else:
                    transmission.waiting_since_s = self.clock()

    async def classify_network_failure(
        self,
        *,
        upstream: Upstream,
        transmission: Transmission,
        known_incarnation: Incarnation,
        started_at_s: float,
        error: Exception,
    ) -> tuple[Failure, bool]:
        """Determine whether a failed request may have run, and report a crash.

        :returns: The failure, and whether the upstream is still running with the
            same incarnation, so that a stream can be resumed.
        """
        prefix = f"upstream {upstream.upstream_id}"
        cause = f"{type(error).__name__} {error}".strip()
        upstream_id = upstream.upstream_id
        if not transmission.sent_any_byte:
            if isinstance(error, _CONNECT_ERRORS):
                self.observer.mark_suspect(upstream_id=upstream_id)
            detail = f"{prefix}: no byte was sent: {cause}"
            return not_run(reason=Reason.UPSTREAM_FAILED, detail=detail), False
        match transmission.abort_reason:
            case AbortReason.SILENCE:
                detail = f"{prefix}: connection is silent, but a new connection works"
                reason = Reason.CONNECTION_SILENT
                return may_have_run(reason=reason, detail=detail), True
            case AbortReason.UPSTREAM_UNREACHABLE:
                self.observer.mark_suspect(upstream_id=upstream_id)
                detail = f"{prefix}: no progress, and a health probe got no answer"
                reason = Reason.UPSTREAM_FAILED
                return may_have_run(reason=reason, detail=detail), False
        probe = await probe_health(transport=self.transport, upstream=upstream)
        if probe.reachability is not Reachability.ANSWERED:
            self.observer.mark_suspect(upstream_id=upstream_id)
        crashed = is_crash(probe=probe, known_incarnation=known_incarnation)
        if crashed:
            # This comes before the directory adopts the new incarnation, so that the
            # report names the incarnation that crashed.
            await self._report_crash(upstream, started_at_s)
        if probe.state is not None:
            self._record_state(upstream, probe.state, probe.incarnation)
        if crashed:
            detail = f"{prefix}: crashed during the call: {cause}"
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail), False
        detail = f"{prefix}: connection failed: {cause}"
        failure = may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
        return failure, self._is_same_incarnation(probe, known_incarnation)

    async def _report_crash(self, upstream: Upstream, started_at_s: float) -> None:
        # A crash fails all calls in flight at once. The first of them reports it,
        # and the others wait until the report is complete.
        crash = self._crash_by_upstream.get(upstream.upstream_id)
        if crash is not None and crash.detected_at_s >= started_at_s:
            await crash.reported.wait()
            return
        crash = _Crash(detected_at_s=self.clock(), reported=trio.Event())
        self._crash_by_upstream[upstream.upstream_id] = crash
        try:
            await self._on_crash(upstream)
        finally:
            crash.reported.set()

    def _is_same_incarnation(
        self, probe: Probe, known_incarnation: Incarnation
    ) -> bool:
        return probe.reachability is Reachability.ANSWERED and (
            known_incarnation == 0 or probe.incarnation == known_incarnation
        )

    def retain_crashes(self, listed_ids: set[UpstreamId]) -> None:
        """Discard the recorded crashes of upstreams that are not listed."""
        for upstream_id in self._crash_by_upstream.keys() - listed_ids:
            del self._crash_by_upstream[upstream_id]

    def record_upstream_state(
        self, *, upstream: Upstream, headers: dict[str, str]
    ) -> None:
        """Update the directory with the upstream state in the headers of an answer."""
        state = parse_state(headers.get("galenashift-upstream-state", ""))
        if state is not None:
            text = headers.get("galenashift-upstream-incarnation", "0")
            incarnation = Incarnation(int(text) if text.isdigit() else 0)
            self._record_state(upstream, state, incarnation)

    def _record_state(
        self, upstream: Upstream, state: UpstreamState, incarnation: Incarnation
    ) -> None:
        kind = self.observer.observe_state(
            upstream_id=upstream.upstream_id,
            state=state,
            incarnation=incarnation,
            now_s=self.clock(),
        )
        if kind is not None:
            self._events.emit(kind=kind, upstream=upstream, incarnation=incarnation)

    async def read_failure(
        self,
        *,
        upstream: Upstream,
        response: httpcore.Response,
        headers: dict[str, str],
    ) -> Failure:
        """Convert an answer with an error status to a failure.

        :raises httpcore.NetworkError: On a network failure, see `NETWORK_ERRORS`.
        """
        data = await self.transport.read_all(
            response, limit_bytes=_MAX_ERROR_BODY_BYTES
        )
        reason_text = _error_reason(data or b"")
        detail = f"upstream {upstream.upstream_id}: {response.status} {reason_text}"
        if headers.get("galenashift-verdict") != "not-run":
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
        if reason_text == "cold":
            self._record_state(upstream, UpstreamState.COLD, Incarnation(0))
        retry_after = headers.get("retry-after", "")
        return not_run(
            reason=Reason.UPSTREAM_REFUSED,
            detail=detail,
            retry_after_s=float(retry_after) if retry_after.isdigit() else None,
        )


def _error_reason(data: bytes) -> str:
    try:
        match json.loads(data):
            case {"error": {"reason": str(reason)}}:
                return reason[:200]
    except ValueError:
        pass
    return "no reason given"


def headers_by_name(response: httpcore.Response) -> dict[str, str]:
    """Return the headers of an answer by lower-case name."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def check_exchange_id(
    *, upstream: Upstream, call: StageCall, headers: dict[str, str]
) -> Failure | None:
    """Check that an answer carries the exchange id of a call.

    :returns: A failure if the id is missing or of another exchange, else None.
    """
    echoed = headers.get("galenashift-exchange", "")
    if echoed == call.exchange_id:
        return None
    return may_have_run(
        reason=Reason.WRONG_EXCHANGE,
        detail=f"upstream {upstream.upstream_id}: answer of another exchange",
    )
