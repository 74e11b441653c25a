"""HTTP client connections to upstreams."""

import errno
import socket
from dataclasses import dataclass

import h11
import trio

from galenashift.limits import AnswerMemory

#: Timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 0.4
#: Largest body of a request that is copied, to be sent together with its head.
_COPY_BYTES = 65_536
#: Time after which a connection with unacknowledged data is closed, in milliseconds.
#: A peer that stops responding without a reset is not noticed otherwise.
_USER_TIMEOUT_MS = 1_500
#: Idle time before the first keep-alive probe, and time between probes, in seconds.
_KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which a connection is closed.
_KEEPALIVE_PROBES = 2
_READ_BYTES = 65_536
#: Largest status of HTTP.
_MAX_STATUS = 599
#: Size of ``HTTP/1.1 100`` with the ends of the line and of the head, in bytes.
_STATUS_LINE_BYTES = 17
#: Answers to earlier requests that are skipped before the connection is closed.
MAX_UNMATCHED_ANSWERS = 2
#: Most bytes before the body of an answer, including informational answers.
MAX_HEAD_BYTES = 65_536

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class ConnectionFailed(Exception):  # noqa: N818
    """The connection failed or received an unexpected message.

    :param detail: One-line description.
    :param reset: Whether a socket error occurred, or the peer closed the connection
        before the end of its answer.
    """

    def __init__(self, detail: str, *, reset: bool = False) -> None:
        super().__init__(detail)
        self.reset = reset


class AnswerTooLarge(ConnectionFailed):
    """The peer sent more bytes than the answer may have.

    :param part: Part of the answer that is too large.
    :param max_bytes: The limit that was exceeded, in bytes.
    """

    def __init__(self, part: str, *, max_bytes: int) -> None:
        super().__init__(f"the {part} has more than {max_bytes} bytes")


class AnswerEvicted(ConnectionFailed):
    """The answer was the largest one when all answers together became too large.

    :param limit_bytes: Most memory for all answers in progress, in bytes.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__(
            f"the answers in progress have more than {limit_bytes} bytes, and this is"
            " the largest one"
        )


class ConnectFailed(ConnectionFailed):
    """No connection was established, so nothing was sent.

    :param refused: Whether no process listens at the address.
    """

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


@dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer, names in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @property
    def states_end(self) -> bool:
        """Whether the answer has a length or chunks."""
        return any(name in _FRAMING_HEADERS for name, _ in self.headers)


class UpstreamConnection:
    """A connection that processes one request at a time.

    :param sock: A connected socket, which `close` closes.
    :param memory: Memory of all answers in progress.
    """

    def __init__(self, sock: trio.socket.SocketType, *, memory: AnswerMemory) -> None:
        self._sock = sock
        self._memory = memory
        self._parser = h11.Connection(h11.CLIENT)
        self._closed = False
        self._peer_closed = False
        #: Set when the present request is written, or cannot be written any further.
        self._write_ended = trio.Event()
        self._write_failed = False
        #: Whether the connection has completed an earlier request.
        self.reused = False
        #: Boot-time clock of the end of the last answer, in seconds.
        self.idle_since_s = 0.0
        #: Idle time after which the upstream may close the connection, in seconds.
        self.idle_timeout_s: float | None = None

    def encode(
        self,
        *,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> tuple[bytes, ...]:
        """Encode a request; its answer can be read from then on.

        :returns: Parts to write in order. A large body is a part of its own and is not
            copied.
        :raises ConnectionFailed: If the connection cannot send a request.
        """
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            head = self._parser.send(request) or b""
            content = self._parser.send(h11.Data(data=body)) or b"" if body else b""
            end = self._parser.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise ConnectionFailed(f"request: {error}") from error
        self._write_ended = trio.Event()
        if len(body) > _COPY_BYTES:
            return (head, content, end) if end else (head, content)
        return (head + content + end,)

    async def write(self, parts: tuple[bytes, ...]) -> None:
        """Write an encoded request.

        :raises ConnectionFailed: If the connection fails.
        """
        try:
            for data in parts:
                await self._send_all(data)
        except (OSError, trio.ClosedResourceError) as error:
            self._write_failed = True
            raise ConnectionFailed(f"write: {error!r}", reset=True) from error
        finally:
            self._write_ended.set()

    async def _send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            sent = await self._sock.send(view)
            view = view[sent:]

    async def read_head(self) -> AnswerHead:
        """Read the status and the headers of the answer.

        :raises ConnectionFailed: If the connection fails.
        :raises AnswerTooLarge: If more than `MAX_HEAD_BYTES` arrive before the body.
        """
        head_bytes = 0
        while True:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    head_bytes += _header_bytes(event)
                    if head_bytes > MAX_HEAD_BYTES:
                        raise AnswerTooLarge("head", max_bytes=MAX_HEAD_BYTES)
                case h11.Response(status_code=status) if status > _MAX_STATUS:
                    raise ConnectionFailed(f"not HTTP: status {status}")
                case h11.Response():
                    return AnswerHead(
                        status=event.status_code, headers=list(event.headers)
                    )
                case _:
                    raise ConnectionFailed(f"unexpected {type(event).__name__}")

    async def read_data(self) -> bytes | None:
        """Read the next part of the body, or None at its end.

        :raises ConnectionFailed: If the body is incomplete.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    if event.data:
                        return bytes(event.data)
                case h11.EndOfMessage():
                    if self._peer_closed:
                        await self._check_not_reset()
                    return None
                case _:
                    raise ConnectionFailed(f"unexpected {type(event).__name__}")

    async def _check_not_reset(self) -> None:
        """Check that a body without a stated end was not cut off by a reset.

        The kernel reports a reset once. If a write in progress gets the error, the next
        read returns the end of the connection, as after a regular close.

        :raises ConnectionFailed: If the connection was reset.
        """
        await self._write_ended.wait()
        if self._write_failed:
            raise ConnectionFailed("reset while the request was written", reset=True)

    async def read_body(self, *, max_bytes: int) -> bytes:
        """Read the body up to its end.

        :param max_bytes: Largest body that is buffered, in bytes.
        :raises ConnectionFailed: If the body is incomplete.
        :raises AnswerTooLarge: If the body is larger.
        :raises AnswerEvicted: If all answers together are too large.
        """
        body = bytearray()
        reservation = self._memory.reserve(on_evicted=body.clear)
        try:
            while (part := await self.read_data()) is not None:
                body += part
                if len(body) > max_bytes:
                    raise AnswerTooLarge("body", max_bytes=max_bytes)
                if not reservation.resize(len(body)):
                    raise AnswerEvicted(limit_bytes=self._memory.limit_bytes)
            if reservation.is_evicted:
                raise AnswerEvicted(limit_bytes=self._memory.limit_bytes)
            return bytes(body)
        finally:
            reservation.resize(0)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                detail = f"not HTTP: {error}"
                raise ConnectionFailed(detail, reset=self._peer_closed) from error
            if event is h11.PAUSED:
                raise ConnectionFailed("unexpected protocol switch")
            if event is not h11.NEED_DATA:
                assert isinstance(event, h11.Event)
                return event
            await self._receive()

    async def _receive(self) -> None:
        try:
            data = await self._sock.recv(_READ_BYTES)
        except (OSError, trio.ClosedResourceError) as error:
            raise ConnectionFailed(f"read: {error!r}", reset=True) from error
        self._peer_closed = not data
        if not data and self._parser.their_state is h11.SEND_RESPONSE:
            raise ConnectionFailed("closed without an answer", reset=True)
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            raise ConnectionFailed(f"not HTTP: {error}") from error

    def skip_answer(self) -> None:
        """Skip an answer that belongs to an earlier request.

        Call it after the body of that answer has been read.

        :raises ConnectionFailed: If no other answer can follow.
        """
        data, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE:
            raise ConnectionFailed(
                "connection closed after the answer to an earlier request"
            )
        self._parser = _parser_awaiting_answer()
        if data:
            self._parser.receive_data(data)

    def finish(self, *, now_s: float) -> bool:
        """Prepare for the next request after a complete answer.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the connection can be used again.
        """
        data, closed = self._parser.trailing_data
        states = (self._parser.our_state, self._parser.their_state)
        if closed or data or states != (h11.DONE, h11.DONE) or self._closed:
            return False
        self._parser.start_next_cycle()
        self.reused = True
        self.idle_since_s = now_s
        return True

    def is_reusable(self) -> bool:
        """Tell whether an idle connection is open and has no unexpected data."""
        return not self._closed and not self._sock.is_readable()

    def close(self) -> None:
        """Close the connection at once."""
        if not self._closed:
            self._closed = True
            self._sock.close()


def _header_bytes(event: h11.InformationalResponse) -> int:
    """Return the approximate size of an informational answer, in bytes."""
    fields = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return _STATUS_LINE_BYTES + len(event.reason) + fields


def _parser_awaiting_answer() -> h11.Connection:
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/", headers=[("host", "upstream")])
    parser.send(request)
    parser.send(h11.EndOfMessage())
    return parser


async def open_socket(*, host: str, port: int) -> trio.socket.SocketType:
    """Connect to an address.

    :raises ConnectFailed: If the connection is not established in time.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_socket_timeouts(sock)
        with trio.move_on_after(CONNECT_TIMEOUT_S) as scope:
            await sock.connect((host, port))
    except OSError as error:
        sock.close()
        name = errno.errorcode.get(error.errno or 0, "error")
        refused = error.errno == errno.ECONNREFUSED
        raise ConnectFailed(f"connect: {name}", refused=refused) from error
    except BaseException:
        sock.close()
        raise
    if scope.cancelled_caught:
        sock.close()
        raise ConnectFailed("connect: timeout")
    return sock


def set_socket_timeouts(sock: trio.socket.SocketType) -> None:
    """Set socket options so that an unresponsive peer is noticed within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
