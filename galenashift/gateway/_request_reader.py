"""Takes the requests of a connection out of the bytes that have arrived.

Nothing here does input or output.
"""

from collections.abc import Callable

import h11

from galenashift.limits import CallerHolding, CallerPhase
from galenashift.model import CallerLimits

from ._chunk_merger import HEAD_END, ChunkMerger
from ._responder import CallerRequest

#: Memory of a header beside its text, in bytes, for five objects of Python.
_HEADER_BYTES = 400
#: First byte that a request may have; smaller ones are control characters.
_FIRST_PRINTABLE = 0x21
#: Small chunks or events of one call above which the next call counts as costly.
_COSTLY_STEPS = 128


class EvictedError(Exception):
    """The caller has been evicted, and nothing is kept of its request."""


class RequestReader:
    """Parses requests, and keeps account of the memory that they use.

    :param holding: Account of the connection.
    :param limits: Returns the current limits.
    """

    def __init__(
        self, *, holding: CallerHolding, limits: Callable[[], CallerLimits]
    ) -> None:
        self._holding = holding
        self._limits = limits
        self._max_header_bytes = limits().max_header_bytes
        self.parser = self._new_parser()
        #: What has arrived and is not parsed.
        self._buffer = bytearray()
        #: Bytes of the buffer that have no end of a head.
        self._searched_bytes = 0
        self._closed = False
        self._head: h11.Request | None = None
        #: Memory of the head, and of the body once it is complete, in bytes.
        self._request_bytes = 0
        #: Memory of the part of an answer that is being written, in bytes.
        self._answer_bytes = 0
        self._arrived_at_s = 0.0
        self._body = bytearray()
        #: Bytes of a body of stated length that have not arrived.
        self._missing_bytes = 0
        self._merger: ChunkMerger | None = None
        #: Whether the present body takes long to parse, so that others should run
        #: before each call.
        self.is_costly = False
        #: Whether there is more to parse without further data.
        self.has_more = False

    @property
    def buffered_bytes(self) -> int:
        """Bytes that have arrived and are not parsed."""
        return len(self._buffer)

    def receive(self, data: bytes, *, now_s: float) -> None:
        """Take data from the connection; no data stands for its end.

        :param now_s: Boot-time clock, in seconds.
        :raises EvictedError: If the caller uses too much memory.
        """
        if not data:
            self._closed = True
        self._buffer += data
        self._account(now_s=now_s)

    def read_head(self, *, now_s: float) -> h11.Request | None:
        """Take the head of the next request out of the buffer.

        :returns: None if more data is needed; see `is_ended`.
        :raises h11.RemoteProtocolError: If the request is malformed or too large.
        :raises EvictedError: If the caller uses too much memory.
        """
        buffer = self._buffer
        match = HEAD_END.search(buffer, self._searched_bytes)
        if match is None:
            self._searched_bytes = max(0, len(buffer) - 2)
            if buffer and (self._closed or buffer[0] < _FIRST_PRINTABLE):
                self._feed(len(buffer))
                if self._closed:
                    self.parser.receive_data(b"")
                self.parser.next_event()
            if len(buffer) > self._max_header_bytes:
                raise _too_large("the head", status=431)
            return None
        self._searched_bytes = 0
        self._feed(match.end())
        head = self.parser.next_event()
        if not isinstance(head, h11.Request):
            return None
        self._begin(head, size_bytes=match.end(), now_s=now_s)
        return head

    @property
    def is_ended(self) -> bool:
        """Whether the connection has ended between two requests."""
        return self._closed and not self._buffer

    def _begin(self, head: h11.Request, *, size_bytes: int, now_s: float) -> None:
        limit_bytes = self._limits().max_header_bytes
        if size_bytes > limit_bytes and _head_bytes(head) > limit_bytes:
            raise _too_large("the head", status=431)
        self._head = head
        self._request_bytes = size_bytes + _HEADER_BYTES * len(head.headers)
        self._arrived_at_s = now_s
        self._missing_bytes = 0
        self._merger = None
        self.is_costly = False
        for name, value in head.headers:
            if name == b"transfer-encoding":
                self._merger = ChunkMerger()
            elif name == b"content-length":
                self._missing_bytes = int(value)
        self._holding.enter(CallerPhase.BODY, now_s=now_s)

    def read_body(self, *, now_s: float) -> CallerRequest | None:
        """Take what has arrived of the body out of the buffer.

        :returns: The request if it is complete; otherwise `has_more` tells whether
            to call again or to receive more data.
        :raises h11.RemoteProtocolError: If the body is malformed or too large.
        :raises EvictedError: If the caller uses too much memory.
        """
        if not self._holding.is_open:
            # Evicted before this call; the parser may still have the rest of the body.
            raise EvictedError
        self.has_more = False
        steps = 0
        while steps < _COSTLY_STEPS:
            steps += 1
            event = self.parser.next_event()
            match event:
                case h11.Data():
                    self._add(event.data)
                case h11.EndOfMessage():
                    return self._finish(now_s=now_s)
                case h11.NEED_DATA:
                    if not self._feed_body():
                        break
                    steps += 0 if self._merger is None else self._merger.merged_chunks
                case _:
                    raise _malformed("the connection ended within a request")
        else:
            self.has_more = True
        self.is_costly = self.is_costly or steps >= _COSTLY_STEPS
        self._account(now_s=now_s)
        return None

    def _add(self, data: bytes) -> None:
        self._body += data
        self._holding.received_bytes += len(data)
        if len(self._body) > self._limits().max_body_bytes:
            raise _too_large("the body", status=413)

    def _feed_body(self) -> bool:
        """Pass what has arrived of the body to the parser, if anything has."""
        if self._merger is None:
            size = min(self._missing_bytes, len(self._buffer))
            self._missing_bytes -= size
            self._feed(size)
            if size:
                return True
        else:
            data = self._merger.take(self._buffer)
            if data:
                self.parser.receive_data(data)
                return True
            if self._merger.in_trailer and len(self._buffer) > self._max_header_bytes:
                raise _too_large("the trailer", status=431)
        if self._closed:
            raise _malformed("the connection ended within a request")
        return False

    def _feed(self, size: int) -> None:
        if size:
            self.parser.receive_data(bytes(self._buffer[:size]))
            del self._buffer[:size]

    def _finish(self, *, now_s: float) -> CallerRequest:
        head, self._head = self._head, None
        assert head is not None
        request = CallerRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=bytes(self._body),
            arrived_at_s=self._arrived_at_s,
        )
        if self._merger is not None and self._merger.is_raw:
            # The parser has what follows the body, too.
            trailing = self.parser.trailing_data[0]
            self._buffer[:0] = trailing
        self._request_bytes += len(self._body)
        self._body = bytearray()
        self._account(now_s=now_s)
        self._holding.enter(CallerPhase.HANDLED, now_s=now_s)
        return request

    def start_next(self, *, now_s: float) -> None:
        """Prepare for the next request, after the answer to the present one."""
        if self._merger is not None and self._merger.is_raw:
            self.parser = self._new_parser()
        else:
            self.parser.start_next_cycle()
        self._merger = None
        self._request_bytes = 0
        self._holding.enter(CallerPhase.IDLE, now_s=now_s)
        self._account(now_s=now_s)

    def hold_answer(self, size_bytes: int, *, now_s: float) -> bool:
        """Account for a part of an answer that is written, beside what is read ahead.

        :param size_bytes: Memory of the part; 0 once it is written.
        :param now_s: Boot-time clock, in seconds.
        :returns: Whether this caller may go on.
        """
        self._answer_bytes = size_bytes
        return self._resize(now_s=now_s)

    def discard(self) -> None:
        """Free the memory of everything that has arrived."""
        self._buffer = bytearray()
        self._body = bytearray()
        self._head = None

    def _account(self, *, now_s: float) -> None:
        if not self._resize(now_s=now_s):
            raise EvictedError

    def _resize(self, *, now_s: float) -> bool:
        # A body that grows has up to an eighth more memory than bytes.
        body_bytes = len(self._body) * 9 // 8
        size_bytes = self._request_bytes + body_bytes + len(self._buffer)
        return self._holding.resize(size_bytes + self._answer_bytes, now_s=now_s)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_header_bytes
        )


def _too_large(what: str, *, status: int) -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError(f"{what} is too large", error_status_hint=status)


def _malformed(detail: str) -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError(detail)


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head.

    The buffer limits only a head that arrives in several reads.
    """
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
