"""Sends one streamed response as server-sent events."""

import json
from dataclasses import dataclass
from json.encoder import encode_basestring_ascii

import trio

from galenashift.model import Failure, PipelineAnswer, RequestId, Token

from ._http import Send, error_data
from ._interfaces import DirectBody

_RESPONSE_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)

#: Maximum number of queued events; at the limit the executor waits for the caller.
MAX_QUEUED_EVENTS = 64


@dataclass(kw_only=True)
class RequestProgress:
    """The state of one HTTP request while it is handled."""

    #: Identifier of the request, which the caller receives.
    request_id: RequestId
    #: Time of the arrival on the boot-time clock, in seconds.
    arrived_at_s: float
    #: Pipeline; empty until it is found in the configuration.
    pipeline: str = ""
    #: Organisation; empty until the caller is authenticated.
    organisation: str = ""
    #: Whether the executor has been called.
    started: bool = False
    #: Whether the status and headers have been passed to the server.
    response_started: bool = False


class EventStream:
    """Queues server-sent events for a task that writes them.

    The queue decouples the executor from the caller's connection: the server's
    send cannot be cancelled while a caller does not read, but upstream work must
    still end at the deadline. Queued events are written together. While the writing
    task is idle, `flush` writes directly to the connection.

    :param send: ASGI channel of the request.
    :param progress: The state of the request.
    :param direct: Writes to the connection without waiting, if the server offers it.
    """

    def __init__(
        self, *, send: Send, progress: RequestProgress, direct: DirectBody | None = None
    ) -> None:
        self._send = send
        self._progress = progress
        self._direct = direct
        self._events: list[bytes] = []
        self._not_empty = trio.lowlevel.ParkingLot()
        self._not_full = trio.lowlevel.ParkingLot()
        self._writer_is_idle = False
        self._ended = False
        self.tokens = 0

    async def token(self, token: Token) -> None:
        """Queue one token for `flush`; wait while the queue is full."""
        while len(self._events) >= MAX_QUEUED_EVENTS:
            self.flush()
            if self._events:
                await self._not_full.park()
        self.tokens += 1
        text = encode_basestring_ascii(token.text)
        self._enqueue("token", f'{{"index":{token.index},"text":{text}}}')

    def flush(self) -> None:
        """Write the queued events directly, or wake the writing task."""
        if not self._events:
            return
        direct = self._direct
        if (
            direct is not None
            and self._writer_is_idle
            and direct.write(b"".join(self._events))
        ):
            self._events.clear()
            if not direct.pending:
                return
        self._wake_writer()

    def end(self, answer: PipelineAnswer) -> None:
        """Queue the end event: the token count, and the answer if it has no tokens."""
        data: dict[str, object] = {"count": self.tokens}
        if self.tokens == 0:
            data["answer"] = answer.body
        if answer.replayed:
            data["replayed"] = True
        self._enqueue("end", json.dumps(data, allow_nan=False))
        self._close()

    def fail(self, failure: Failure) -> None:
        """Queue an error event; the response body is not completed after it."""
        data = error_data(failure, request_id=self._progress.request_id)
        self._enqueue("error", json.dumps(data))
        self._close()

    async def write(self) -> None:
        """Write queued events until the stream has ended or failed.

        It does not complete the response body, because it can be cancelled: the
        server closes the connection in the final send and reports it as a disconnect.
        """
        while True:
            if self._direct is not None and self._direct.pending:
                await self._direct.flush()
            if self._events:
                body = b"".join(self._events)
                self._events.clear()
                self._not_full.unpark_all()
                await self._send_response_start()
                await self._send(
                    {"type": "http.response.body", "body": body, "more_body": True}
                )
            elif self._ended:
                return
            else:
                self._writer_is_idle = self._progress.response_started
                try:
                    await self._not_empty.park()
                finally:
                    self._writer_is_idle = False

    async def complete(self) -> None:
        """Complete the response body."""
        await self._send({"type": "http.response.body", "body": b""})

    def _enqueue(self, event: str, data: str) -> None:
        self._events.append(f"event: {event}\ndata: {data}\n\n".encode())

    def _close(self) -> None:
        self._ended = True
        self._wake_writer()

    def _wake_writer(self) -> None:
        # Later events must not overtake the queued ones, which the writing task sends
        # when it is scheduled.
        self._writer_is_idle = False
        self._not_empty.unpark()

    async def _send_response_start(self) -> None:
        if self._progress.response_started:
            return
        self._progress.response_started = True
        request_id = self._progress.request_id.encode()
        headers = [*_RESPONSE_HEADERS, (b"galenashift-request-id", request_id)]
        await self._send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
