"""Requests of callers, and the answers to them."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from galenashift.model import Failure

#: Largest body of an answer that is copied, to be written together with its head.
_COPY_BYTES = 65_536

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
    :param has_body: Whether an answer has a body; not so for the method HEAD.
    """

    def __init__(
        self,
        *,
        write: Callable[[bytes], Awaitable[None]],
        parser: h11.Connection,
        closing: Callable[[], bool],
        has_body: bool = True,
    ) -> None:
        self._write = write
        self._parser = parser
        self._closing = closing
        self._has_body = has_body
        #: Status of the answer; None until its head is written.
        self.status: int | None = None
        #: Whether the answer was written to its last byte. Until then, nothing else may
        #: be written to the connection.
        self.finished = False

    async def answer(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer; of one without a body, only the head.

        :raises CallerGone: If the caller has closed the connection.
        """
        length = (b"content-length", b"%d" % len(body))
        data = self._head(status, [*headers, length])
        if not self._has_body:
            body = b""
        if len(body) > _COPY_BYTES:
            await self._write(data)
            data = b""
        if body:
            content = self._parser.send(h11.Data(data=body)) or b""
            data = data + content if data else content
        data += self._parser.send(h11.EndOfMessage()) or b""
        await self._write(data)
        self.finished = True

    async def fail(self, failure: Failure, *, status: int | None = None) -> None:
        """Write a failure as a JSON document with its reason and verdict.

        :raises CallerGone: If the caller has closed the connection.
        """
        headers, body = _encode_failure(failure)
        await self.answer(
            status=status or failure.http_status, headers=headers, body=body
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
        await self._write(self._parser.send(h11.EndOfMessage()) or b"")
        self.finished = True

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        self.status = status
        response = h11.Response(status_code=status, headers=headers)
        return self._parser.send(response) or b""

    def _chunk(self, data: bytes) -> bytes:
        return self._parser.send(h11.Data(data=data)) or b""


def _encode_failure(failure: Failure) -> tuple[Headers, bytes]:
    body = {
        "reason": failure.reason.value,
        "verdict": failure.verdict.value,
        "detail": failure.detail,
    }
    headers = [(b"content-type", b"application/json")]
    if failure.retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % failure.retry_after_s))
    return headers, json.dumps(body).encode()


def encode_last_answer(failure: Failure, *, status: int) -> bytes:
    """Encode a failure as the last answer on a connection."""
    headers, body = _encode_failure(failure)
    headers += [
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    parser = h11.Connection(h11.SERVER)
    data = parser.send(h11.Response(status_code=status, headers=headers)) or b""
    return data + (parser.send(h11.Data(data=body)) or b"")
