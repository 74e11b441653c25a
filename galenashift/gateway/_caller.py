"""HTTP connections of callers: buffers requests and streams answers."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
import trio

from galenashift.model import CallerLimits, Failure

from ._connection import set_socket_timeouts

_READ_BYTES = 65_536
#: Most bytes of a body that are written at once.
_CHUNK_BYTES = 65_536
#: Most bytes of pipelined requests that are buffered while one is being answered.
_MAX_PIPELINED_BYTES = 65_536

#: Time within which a new connection is expected to send its first request, in
#: seconds. Until then, a shutdown does not close it.
FIRST_REQUEST_WAIT_S = 1.0

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A request whose body has been read completely."""

    method: str
    #: Path and query, as the caller sent them.
    target: str
    #: Names in lower case.
    headers: Headers
    body: bytes
    #: Boot-time clock at which the head was complete, in seconds.
    arrived_at_s: float


class CallerGone(Exception):  # noqa: N818
    """The caller has closed its connection."""


class Responder:
    """Writes the answer to one request.

    :param write: Writes bytes to the caller; raises `CallerGone`.
    :param parser: Parser of the connection.
    :param closing: Tells whether the connection is closed after this answer.
    """

    def __init__(
        self,
        *,
        write: Callable[[bytes], Awaitable[None]],
        parser: h11.Connection,
        closing: Callable[[], bool],
    ) -> None:
        self._write = write
        self._parser = parser
        self._closing = closing
        #: Status of the answer; None until its head is written.
        self.status: int | None = None
        self.finished = False

    async def answer(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer.

        :raises CallerGone: If the caller has closed the connection.
        """
        length = (b"content-length", b"%d" % len(body))
        data = self._head(status, [*headers, length])
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data)

    async def fail(self, failure: Failure, *, status: int | None = None) -> None:
        """Write a failure as a JSON document with its reason and verdict.

        :raises CallerGone: If the caller has closed the connection.
        """
        body = {
            "reason": failure.reason.value,
            "verdict": failure.verdict.value,
            "detail": failure.detail,
        }
        headers = [(b"content-type", b"application/json")]
        if failure.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % failure.retry_after_s))
        await self.answer(
            status=status or failure.http_status,
            headers=headers,
            body=json.dumps(body).encode(),
        )

    async def start(self, *, status: int, headers: Headers, data: bytes) -> None:
        """Write the head and the first data of a stream.

        :raises CallerGone: If the caller has closed the connection.
        """
        chunked = (b"transfer-encoding", b"chunked")
        head = self._head(status, [*headers, chunked])
        await self._write(head + self._chunk(data))

    async def send(self, data: bytes) -> None:
        """Write further data of a stream.

        :raises CallerGone: If the caller has closed the connection.
        """
        await self._write(self._chunk(data))

    async def end(self) -> None:
        """Mark a stream as complete.

        :raises CallerGone: If the caller has closed the connection.
        """
        self.finished = True
        await self._write(self._parser.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        self.status = status
        response = h11.Response(status_code=status, headers=headers)
        return self._parser.send(response) or b""

    def _chunk(self, data: bytes) -> bytes:
        return self._parser.send(h11.Data(data=data)) or b""


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
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        draining: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._clock = clock
        self._caller_gone = False
        #: Number of requests that were answered.
        self._served = 0
        self._accepted_at_s = clock()
        self._idle_scope: trio.CancelScope | None = None
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_header_bytes
        )

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            set_socket_timeouts(self._stream.socket)
            while await self._serve_one():
                pass
        except (CallerGone, OSError, trio.ClosedResourceError):
            # The caller has disconnected; the handler has logged its request.
            return
        finally:
            # The closed socket must not be asked whether it is readable.
            self._idle_scope = None
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
        responder = Responder(
            write=self._write, parser=self._parser, closing=self._draining
        )
        await self._handle(request, responder)
        if not responder.finished or self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
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
        buffered_bytes = 0
        while buffered_bytes < _MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._caller_gone = True
                scope.cancel()
                return
            buffered_bytes += len(data)
            self._parser.receive_data(data)

    async def _read_request(self) -> CallerRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        arrived_at_s = self._clock()
        limits = self._limits()
        if _head_bytes(head) > limits.max_header_bytes:
            raise h11.RemoteProtocolError(
                "the head is too large", error_status_hint=431
            )
        body = bytearray()
        with trio.move_on_after(limits.header_timeout_s + limits.idle_timeout_s):
            while True:
                event = await self._next_event()
                match event:
                    case h11.Data():
                        body += event.data
                        if len(body) > limits.max_body_bytes:
                            raise h11.RemoteProtocolError(
                                "the body is too large", error_status_hint=413
                            )
                    case h11.EndOfMessage():
                        return CallerRequest(
                            method=head.method.decode("latin-1"),
                            target=head.target.decode("latin-1"),
                            headers=list(head.headers),
                            body=bytes(body),
                            arrived_at_s=arrived_at_s,
                        )
                    case _:
                        return None
        raise _RequestTimeout

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        with trio.move_on_after(limits.idle_timeout_s) as idle:
            self._idle_scope = idle
            event = self._parser.next_event()
            if event is h11.NEED_DATA and not self._parser.trailing_data[0]:
                if not await self._receive():
                    self._idle_scope = None
                    return None
                event = self._parser.next_event()
        self._idle_scope = None
        if idle.cancelled_caught:
            return None
        with trio.move_on_after(limits.header_timeout_s):
            while event is h11.NEED_DATA:
                if not await self._receive():
                    return None
                event = self._parser.next_event()
            return event if isinstance(event, h11.Request) else None
        raise _RequestTimeout

    async def _next_event(self) -> object:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._parser.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._write(self._parser.send(continue_response) or b"")
            await self._receive()

    async def _receive(self) -> bool:
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        self._parser.receive_data(data)
        return bool(data)

    async def _reject(self, status: int) -> None:
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        data = self._parser.send(response) or b""
        await self._write(data + (self._parser.send(h11.EndOfMessage()) or b""))

    async def _write(self, data: bytes) -> None:
        if self._caller_gone:
            raise CallerGone
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head.

    The parser limits only a head that arrives in several reads.
    """
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
