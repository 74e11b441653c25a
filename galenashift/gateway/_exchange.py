"""Exchanges: one request to one upstream and its outcome."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio

from galenashift.model import (
    AnswerFields,
    RegisteredUpstream,
    RequestId,
    UpstreamId,
)
from galenashift.platform import decode_answer, idle_timeout_s

from ._caller import CallerGone
from ._connection import (
    MAX_UNMATCHED_ANSWERS,
    AnswerHead,
    ConnectFailed,
    ConnectionFailed,
    UpstreamConnection,
    open_socket,
)
from ._outcomes import Answered, Broken, NotSent, Outcome, Refused, Silent, StreamEnded
from ._pool import ConnectionPool
from ._times import next_event_deadline_s
from ._upstream_limits import UpstreamLimiter

#: Largest answer to an earlier request that is read and skipped, in bytes.
_MAX_SKIPPED_BYTES = 65_536

#: Time in which the kernel closes all sockets of a killed process, in seconds.
_SOCKETS_CLOSE_S = 0.02

_OK = 200
_MISDIRECTED = 421


@dataclass(frozen=True, kw_only=True)
class OutgoingRequest:
    """A request as it is sent to an upstream."""

    #: Attempt id that the answer must contain; None for calls without one.
    attempt_id: str | None
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    #: Whether the request may be sent again after a connection failure.
    repeatable: bool
    #: Largest body of an answer that is not a stream, in bytes.
    max_answer_bytes: int
    #: Whether an answer that states no rate limit ends one.
    ends_limit: bool = True

    @property
    def request_id(self) -> RequestId | None:
        """Identifier in the log; None for calls without an attempt id."""
        return None if self.attempt_id is None else RequestId(self.attempt_id)


#: Receives the head and the next data of a stream; returns whether an event ended.
StreamSink = Callable[[AnswerHead, bytes], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True)
class ExchangeTimeouts:
    """Timeouts of an exchange."""

    #: Timeout of a complete answer, or of the first event of a stream, in seconds.
    first_byte_s: float
    #: Timeout between two events of a stream, in seconds.
    event_gap_s: float


class Exchanger:
    """Sends requests over pooled connections.

    :param limiter: Permits each request that is sent, and learns from each answer.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        limiter: UpstreamLimiter,
        clock: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._limiter = limiter
        self._clock = clock

    def close_idle(self, upstream_id: UpstreamId) -> None:
        """Close the idle connections to an upstream whose answers are out of order."""
        self._pool.drop(upstream_id)

    def close_last(self, upstream_id: UpstreamId) -> None:
        """Close the connection of the exchange that has just ended, if it is idle.

        Call it before the next wait, or another exchange may have been the last.
        """
        self._pool.drop_last(upstream_id)

    async def exchange(
        self,
        *,
        upstream: RegisteredUpstream,
        request: OutgoingRequest,
        timeouts: ExchangeTimeouts,
        sink: StreamSink | None = None,
        is_whole: Callable[[], bool] = lambda: True,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Outcome:
        """Send a request and read its answer.

        :param upstream: Upstream that receives the request.
        :param sink: Receives the data of a successful answer as it arrives. Without
            it, the answer is read completely.
        :param is_whole: Tells whether what the sink received may be a complete answer.
        :param may_send: Checked right before the first byte is sent.
        """
        upstream_id = upstream.upstream_id
        connection = self._pool.acquire(
            upstream_id, repeatable=request.repeatable, now_s=self._clock()
        )
        if connection is None:
            try:
                connection = await self._pool.connect(upstream)
            except ConnectFailed as error:
                return NotSent(detail=str(error))
        reusable = False
        try:
            if not may_send():
                return NotSent(detail="the upstream no longer accepts requests")
            if not self._limiter.take(upstream, request_id=request.request_id):
                return NotSent(
                    detail="the upstream states that it accepts no request now",
                    limited=True,
                )
            reader = _Reader(
                connection=connection,
                request=request,
                timeouts=timeouts,
                sink=sink,
                is_whole=is_whole,
                has_ended=partial(self._has_ended, upstream),
                on_fields=partial(
                    self._limiter.record_answer,
                    upstream,
                    sent_at_s=self._clock(),
                    ends_limit=request.ends_limit,
                ),
            )
            outcome, reusable = await self._send_and_read(connection, request, reader)
            return outcome
        finally:
            if reusable:
                self._pool.release(upstream_id, connection, now_s=self._clock())
            else:
                connection.close()

    async def _has_ended(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether the process of an upstream has ended unexpectedly.

        One that is shutting down may exit right after its last answer.
        """
        if self._limiter.is_draining(upstream):
            return False
        await trio.sleep(_SOCKETS_CLOSE_S)
        try:
            sock = await open_socket(host=upstream.host, port=upstream.port)
        except ConnectFailed as error:
            return error.refused
        sock.close()
        return False

    async def _send_and_read(
        self,
        connection: UpstreamConnection,
        request: OutgoingRequest,
        reader: "_Reader",
    ) -> tuple[Outcome, bool]:
        # The request is encoded before anything is read, so that a close of the
        # connection counts as a failure of this request even if it arrives first.
        try:
            data = connection.encode(
                method=request.method,
                target=request.target,
                headers=request.headers,
                body=request.body,
            )
        except ConnectionFailed as error:
            return NotSent(detail=str(error)), False
        sent = trio.Event()

        async def send() -> None:
            try:
                await connection.write(data)
            except ConnectionFailed:
                # The reader notices the failed connection or reads an early answer.
                return
            sent.set()

        gone: CallerGone | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                outcome = await reader.read()
            except CallerGone as error:
                gone = error
            reusable = reader.reusable and sent.is_set()
            nursery.cancel_scope.cancel()
        if gone is not None:
            raise gone
        return outcome, reusable


class _Reader:
    """Reads the answer to one request.

    The upstream may answer before it has read the whole request body, so the answer is
    read while the request is being sent.

    :param has_ended: Tells whether the process of the upstream is known to have ended.
    :param on_fields: Receives the metadata of the answer as soon as its head arrives,
        unless another upstream sent it.
    """

    def __init__(
        self,
        *,
        connection: UpstreamConnection,
        request: OutgoingRequest,
        timeouts: ExchangeTimeouts,
        sink: StreamSink | None,
        is_whole: Callable[[], bool],
        has_ended: Callable[[], Awaitable[bool]],
        on_fields: Callable[[AnswerFields], None],
    ) -> None:
        self._connection = connection
        self._request = request
        self._timeouts = timeouts
        self._sink = sink
        self._is_whole = is_whole
        self._has_ended = has_ended
        self._on_fields = on_fields
        self._started = False
        #: Whether the body has any data.
        self._has_data = False
        #: Whether the answer was read up to its end.
        self.fully_read = False
        #: Whether the attempt id of each answer matched. If not, a later copy of one of
        #: them could be taken for the answer to the next request.
        self._all_matched = True

    @property
    def reusable(self) -> bool:
        """Whether the connection may be used for another request."""
        return self.fully_read and self._all_matched

    async def read(self) -> Outcome:
        """Read the answer; `reusable` tells whether the connection is reusable."""
        try:
            with trio.move_on_after(self._timeouts.first_byte_s) as scope:
                return await self._read(scope)
        except ConnectionFailed as error:
            if self._started:
                return StreamEnded(complete=False, started=True, detail=str(error))
            return Broken(detail=str(error), reset=error.reset)
        return Silent(started=self._started)

    async def _read(self, scope: trio.CancelScope) -> Outcome:
        head, fields = await self._read_matching_head()
        if head.status != _MISDIRECTED:
            self._on_fields(fields)
        if fields.not_executed or head.status == _MISDIRECTED:
            await self._read_rest()
            return Refused(
                status=head.status,
                fields=fields,
                misdirected=head.status == _MISDIRECTED,
            )
        if self._sink is not None and head.status == _OK:
            return await self._stream(head, self._sink, scope)
        body = await self._read_rest()
        await self._check_process(head)
        return Answered(head=head, fields=fields, body=body)

    async def _read_matching_head(self) -> tuple[AnswerHead, AnswerFields]:
        for _ in range(MAX_UNMATCHED_ANSWERS + 1):
            head = await self._connection.read_head()
            fields = decode_answer(head.headers, status=head.status)
            self._connection.idle_timeout_s = idle_timeout_s(head.headers)
            if fields.attempt_id == self._request.attempt_id:
                return head, fields
            self._all_matched = False
            if fields.attempt_id is None and head.status == _MISDIRECTED:
                self._check_unidentified_refusal()
                return head, fields
            await self._connection.read_body(max_bytes=_MAX_SKIPPED_BYTES)
            self._connection.skip_answer()
        raise ConnectionFailed("received only answers to other requests")

    def _check_unidentified_refusal(self) -> None:
        """Check whether a 421 without an attempt id can be the answer.

        On a connection in use again, it may be a late copy of an earlier answer. It
        then does not prove that the request was not executed.

        :raises ConnectionFailed: If the connection was used before.
        """
        if self._connection.reused:
            raise ConnectionFailed("421 without an attempt id on a reused connection")

    async def _read_rest(self) -> bytes:
        body = await self._connection.read_body(
            max_bytes=self._request.max_answer_bytes
        )
        self.fully_read = True
        return body

    async def _stream(
        self, head: AnswerHead, sink: StreamSink, scope: trio.CancelScope
    ) -> Outcome:
        while (data := await self._connection.read_data()) is not None:
            # The timeout is for the upstream, not for writes to the caller: a stream
            # whose write was cancelled halfway could not resume at another upstream.
            if scope.cancel_called:
                await trio.lowlevel.checkpoint()
            self._has_data = True
            deadline_s, scope.deadline = scope.deadline, math.inf
            event_ended = await sink(head, data)
            self._started = self._started or event_ended
            scope.deadline = next_event_deadline_s(
                deadline_s=deadline_s,
                event_ended=event_ended,
                event_gap_s=self._timeouts.event_gap_s,
                now_s=trio.current_time(),
            )
        self._check_end(head)
        await self._check_process(head)
        if not self._has_data:
            # The caller gets the head, for example of a stream that it resumes after
            # the last event.
            await sink(head, b"")
        self.fully_read = True
        return StreamEnded(complete=True, started=self._started, detail="")

    def _check_end(self, head: AnswerHead) -> None:
        """Check that a stream ended where it may end.

        :raises ConnectionFailed: If it was broken off. Without a length or chunks, the
            end of the connection after a crash looks like the end of the answer.
        """
        if not self._is_whole():
            raise ConnectionFailed("the stream ended inside an event", reset=True)
        if not self._has_data and not head.states_end:
            raise ConnectionFailed("the connection ended before any data", reset=True)

    async def _check_process(self, head: AnswerHead) -> None:
        """Check that an answer without a length or chunks did not end by a crash.

        The connections of a killed process end like those of a sound one, also between
        two events, but its address then refuses new ones.

        :raises ConnectionFailed: If the process has ended.
        """
        if not head.states_end and await self._has_ended():
            raise ConnectionFailed("the upstream ended with its answer", reset=True)
