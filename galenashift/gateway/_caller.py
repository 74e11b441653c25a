"""HTTP connections of callers: buffers requests and streams answers."""

import contextlib
import os
import select
import socket
from collections.abc import Awaitable, Callable

import h11
import trio

from galenashift.limits import CallerPhase, CutCause
from galenashift.model import CallerLimits, Reason, not_run

from ._caller_guard import CallerGuard, peer_of
from ._connection import set_socket_timeouts
from ._request_reader import EvictedError, RequestReader
from ._responder import (
    CallerGone,
    CallerRequest,
    Headers,
    Responder,
    encode_last_answer,
)

__all__ = [
    "CallerConnection",
    "CallerGone",
    "CallerRequest",
    "Handler",
    "Headers",
    "Responder",
]

_READ_BYTES = 65_536
#: Most bytes of an answer that are written before the progress is recorded.
_WRITE_BYTES = 65_536
#: Most bytes that are buffered of a connection while a request is being answered.
_MAX_PIPELINED_BYTES = 65_536
#: Interval at which a connection that is not read is checked for its end, in seconds.
#: Half of the time within which the work for a lost caller must end.
_END_CHECK_INTERVAL_S = 0.25
#: State of a TCP connection that neither side has closed, as the kernel numbers it.
_TCP_ESTABLISHED = 1
#: Poll events of a connection that the peer has closed or that has failed; POLLHUP and
#: POLLERR are always reported.
_HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
#: Time after which a caller that was cut off may try again, in seconds.
_RETRY_AFTER_S = 1.0
_HEAD = "HEAD"
_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503

#: Time within which a new connection is expected to send its first request, in
#: seconds. Until then, a shutdown does not close it.
FIRST_REQUEST_WAIT_S = 1.0

Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class _RequestTimeout(Exception):  # noqa: N818
    """The caller did not send a complete request in time."""


class CallerConnection:
    """Serves the requests of one connection in order.

    :param stream: The caller's connection.
    :param handler: Answers one request. If it leaves the answer incomplete, the
        connection is closed.
    :param limits: Returns the current limits.
    :param draining: Tells whether this daemon is shutting down.
    :param guard: Limits of all connections together.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        draining: Callable[[], bool],
        guard: CallerGuard,
        clock: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._guard = guard
        self._clock = clock
        self._caller_gone = False
        #: Number of requests that were answered.
        self._served = 0
        #: Whether bytes after the present request were dropped, as the memory was
        #: used. The connection is closed after the answer.
        self._dropped_ahead = False
        self._accepted_at_s = clock()
        self._idle_scope: trio.CancelScope | None = None
        self._scope = trio.CancelScope()
        self._holding = guard.memory.open(
            on_evicted=self._cut_off,
            may_close=self._has_no_data,
            now_s=self._accepted_at_s,
        )
        self._reader = RequestReader(holding=self._holding, limits=limits)

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            with self._scope:
                set_socket_timeouts(self._stream.socket)
                while await self._serve_one():
                    pass
        except (CallerGone, EvictedError, OSError, trio.ClosedResourceError):
            # The caller has disconnected or was cut off; the handler has logged its
            # request.
            return
        finally:
            # The closed socket must not be asked whether it is readable.
            self._idle_scope = None
            self._holding.close()
            # The collector may find the connection and its parts much later.
            self._reader.discard()
            await trio.aclose_forcefully(self._stream)

    def is_idle(self, *, now_s: float) -> bool:
        """Tell whether no request is expected, being read or answered.

        A new connection is not idle: its caller has connected to send a request.

        :param now_s: Boot-time clock, in seconds.
        """
        if self._idle_scope is None or self._stream.socket.is_readable():
            return False
        return self._served > 0 or now_s - self._accepted_at_s >= FIRST_REQUEST_WAIT_S

    def close_if_idle(self, *, now_s: float) -> None:
        """Close the connection if it is idle.

        :param now_s: Boot-time clock, in seconds.
        """
        if self._idle_scope is not None and self.is_idle(now_s=now_s):
            self._idle_scope.cancel()

    def _has_no_data(self) -> bool:
        """Tell whether an idle connection has no request on its way."""
        return self._idle_scope is not None and not self._stream.socket.is_readable()

    def _cut_off(self, cause: CutCause) -> None:
        """Close the connection at once, and free what it holds."""
        self._guard.record_cut(self._holding, cause, peer_of(self._stream))
        if self._holding.phase in {CallerPhase.HEAD, CallerPhase.BODY}:
            # The request was not handed to the handler, so it has not run.
            with contextlib.suppress(OSError):
                os.write(self._stream.socket.fileno(), _cut_answer(cause))
        self._caller_gone = True
        self._idle_scope = None
        self._reader.discard()
        self._stream.socket.close()
        self._scope.cancel()

    async def _serve_one(self) -> bool:
        try:
            request = await self._read_request()
        except _RequestTimeout:
            return False
        except h11.RemoteProtocolError as error:
            await self._reject(error.error_status_hint)
            return False
        if request is None:
            return False
        parser = self._reader.parser
        responder = Responder(
            write=self._write,
            parser=parser,
            closing=self._draining,
            has_body=request.method != _HEAD,
        )
        await self._handle(request, responder)
        if not responder.finished or parser.our_state is not h11.DONE:
            return False
        if parser.their_state is not h11.DONE or self._dropped_ahead:
            return False
        self._reader.start_next(now_s=self._clock())
        self._served += 1
        return True

    async def _handle(self, request: CallerRequest, responder: Responder) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            try:
                await self._handler(request, responder)
            except CallerGone:
                self._caller_gone = True
            nursery.cancel_scope.cancel()

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes its connection."""
        while True:
            size = self._readable_ahead_bytes
            if size <= 0:
                await trio.sleep(_END_CHECK_INTERVAL_S)
                if not self._is_established():
                    break
                continue
            try:
                data = await self._stream.receive_some(size)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
            if not data:
                break
            if self._holding.may_grow(len(data)):
                self._reader.receive(data, now_s=self._clock())
            else:
                self._dropped_ahead = True
        self._caller_gone = True
        scope.cancel()

    @property
    def _readable_ahead_bytes(self) -> int:
        """Bytes that may be read while a request is being answered.

        None are while the caller does not read its answer, or when the memory is used.
        """
        size = _MAX_PIPELINED_BYTES - self._reader.buffered_bytes
        writing = self._holding.phase is CallerPhase.WRITING
        if writing or size <= 0 or self._dropped_ahead:
            return 0
        return size if self._holding.may_grow(size) else 0

    def _is_established(self) -> bool:
        """Tell whether neither side is known to have closed the connection."""
        sock = self._stream.socket
        if sock.fileno() < 0:
            return False
        try:
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            # The kernel does not tell the state of a connection.
            return not has_hung_up(sock)
        return state == bytes([_TCP_ESTABLISHED])

    async def _read_request(self) -> CallerRequest | None:
        if await self._read_head() is None:
            return None
        limits = self._limits()
        with trio.move_on_after(limits.header_timeout_s + limits.idle_timeout_s):
            while True:
                request = await self._read_body()
                if request is not None:
                    return request
                if self._reader.has_more:
                    continue
                await self._continue_if_expected()
                await self._receive()
        raise _RequestTimeout

    async def _read_body(self) -> CallerRequest | None:
        if not self._reader.is_costly:
            return self._reader.read_body(now_s=self._clock())
        async with self._guard.costly_turn:
            return self._reader.read_body(now_s=self._clock())

    async def _continue_if_expected(self) -> None:
        parser = self._reader.parser
        if parser.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(parser.send(response) or b"")

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        reader = self._reader
        with trio.move_on_after(limits.idle_timeout_s) as idle:
            self._idle_scope = idle
            if not reader.buffered_bytes:
                await self._receive()
        self._idle_scope = None
        if idle.cancelled_caught or reader.is_ended:
            return None
        now_s = self._clock()
        self._holding.enter(CallerPhase.HEAD, now_s=now_s)
        head = reader.read_head(now_s=now_s)
        if head is not None:
            return head
        with trio.move_on_after(limits.header_timeout_s):
            while head is None:
                await self._receive()
                head = reader.read_head(now_s=self._clock())
            return head
        raise _RequestTimeout

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        self._reader.receive(data, now_s=self._clock())

    async def _reject(self, status: int) -> None:
        parser = self._reader.parser
        if parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        data = parser.send(response) or b""
        await self._write(data + (parser.send(h11.EndOfMessage()) or b""))

    async def _write(self, data: bytes) -> None:
        if self._caller_gone:
            raise CallerGone
        holding = self._holding
        phase = holding.phase
        holding.enter(CallerPhase.WRITING, now_s=self._clock())
        try:
            if len(data) <= _WRITE_BYTES:
                await self._stream.send_all(data)
            else:
                await self._write_large(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        finally:
            holding.enter(phase, now_s=self._clock())

    async def _write_large(self, data: bytes) -> None:
        """Write in parts, so that each is progress, and account for the memory."""
        if not self._reader.hold_answer(len(data), now_s=self._clock()):
            raise CallerGone
        try:
            with memoryview(data) as view:
                for start in range(0, len(view), _WRITE_BYTES):
                    await self._stream.send_all(view[start : start + _WRITE_BYTES])
                    self._holding.progress_at_s = self._clock()
        finally:
            self._reader.hold_answer(0, now_s=self._clock())


def has_hung_up(sock: trio.socket.SocketType) -> bool:
    """Tell whether the other side has closed a connection, also beside unread data."""
    poll = select.poll()
    poll.register(sock.fileno(), _HANG_UP_EVENTS)
    return bool(poll.poll(0))


def _cut_answer(cause: CutCause) -> bytes:
    """Return the answer to a request that is cut off while it arrives."""
    failure = not_run(
        reason=Reason.OVERLOADED,
        detail=f"cut off before the request was complete: {cause.value}",
        retry_after_s=_RETRY_AFTER_S,
    )
    slow = cause is CutCause.SLOW_BODY
    return encode_last_answer(
        failure, status=_REQUEST_TIMEOUT if slow else _UNAVAILABLE
    )
