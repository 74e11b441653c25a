"""Forwards event streams of one or more upstreams to the caller as one stream."""

from collections.abc import Callable

import trio

from galenashift.limits import AnswerMemory
from galenashift.platform import encode_answer, find_header

from ._caller import Responder
from ._connection import AnswerHead
from ._event_parts import EventSplitter

_CONTENT_TYPE = b"content-type"
_EVENT_STREAM = "text/event-stream"


class StreamWriter:
    """Forwards events to the caller as soon as they are complete.

    The headers are those of the first upstream, also if the stream resumes at another.

    :param responder: Writes the answer to the caller.
    :param last_id: Id of the event after which the caller resumes, if it does.
    :param memory: Memory of all answers in progress.
    :param on_first_event: Called when the first event of an exchange has arrived.
    """

    def __init__(
        self,
        *,
        responder: Responder,
        last_id: str | None,
        memory: AnswerMemory,
        on_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        self._responder = responder
        self._memory = memory
        self._splitter = EventSplitter(memory=memory)
        self._splitter.last_id = last_id
        self._head: AnswerHead | None = None
        self._on_first_event = on_first_event
        self._clock: Callable[[], float] | None = None
        #: Tells right before each write whether this exchange answers the caller; None
        #: if it is the only one of its request.
        self.may_write: Callable[[], bool] | None = None
        #: Boot-time clock at which the current exchange began, in seconds.
        self.sent_at_s = 0.0
        #: Time from `sent_at_s` to the first complete event, in seconds.
        self.first_byte_s = 0.0
        #: Boot-time clock at the last event of all exchanges, in seconds; None if there
        #: was none.
        self.last_event_at_s: float | None = None

    @property
    def began_at_s(self) -> float:
        """Boot-time clock at the first event of the exchange, or at its start if there
        is none, in seconds.
        """
        return self.sent_at_s + self.first_byte_s

    @property
    def resume_after(self) -> str | None:
        """Id of the last event that was forwarded to the caller."""
        return self._splitter.last_id

    def begin_exchange(self, *, sent_at_s: float, clock: Callable[[], float]) -> None:
        """Start a new exchange."""
        self.sent_at_s = sent_at_s
        self.first_byte_s = 0.0
        self._clock = clock

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was written to the caller."""
        return self._responder.status is not None

    def fork(self) -> "StreamWriter":
        """Return a writer for one of several exchanges of a stream not yet begun."""
        return StreamWriter(
            responder=self._responder,
            last_id=self._splitter.last_id,
            memory=self._memory,
            on_first_event=self._on_first_event,
        )

    def adopt(self, fork: "StreamWriter") -> None:
        """Continue where one of the forks has ended."""
        self._splitter.discard_partial()
        self._splitter = fork._splitter
        self._head = fork._head
        self.sent_at_s = fork.sent_at_s
        self.first_byte_s = fork.first_byte_s
        self.last_event_at_s = fork.last_event_at_s

    def has_adopted(self, fork: "StreamWriter") -> bool:
        """Tell whether this writer continues where a fork has ended."""
        return self._splitter is fork._splitter

    async def forward(self, head: AnswerHead, data: bytes) -> bool:
        """Forward the events that are complete with the given data.

        :returns: Whether any data was written.
        :raises CallerGone: If the caller has closed the connection.
        :raises ConnectionFailed: If an event is too large.
        """
        self._head = self._head or head
        complete_events = self._splitter.feed(data)
        if not complete_events:
            return False
        if self.may_write is not None and not self.may_write():
            # Another exchange answers the caller, and this one has been cancelled.
            await trio.sleep_forever()
        if self._clock is not None:
            self.last_event_at_s = self._clock()
        if not self.first_byte_s and self.last_event_at_s is not None:
            self.first_byte_s = self.last_event_at_s - self.sent_at_s
            self._on_first_event()
        await self._write(complete_events)
        return True

    async def _write(self, data: bytes) -> None:
        assert self._head is not None
        if self._responder.status is None:
            await self._responder.start(
                status=self._head.status,
                headers=encode_answer(self._head.headers),
                data=data,
            )
        else:
            await self._responder.send(data)

    def is_whole(self) -> bool:
        """Tell whether the answer so far may be complete.

        An event stream that ends inside an event has been broken off, however its end
        was marked. Other bodies are forwarded as they are.
        """
        if self._splitter.is_evicted:
            return False
        return not self._splitter.is_inside_event or not self._has_events

    @property
    def _has_events(self) -> bool:
        if self._head is None:
            return True
        content_type = find_header(self._head.headers, _CONTENT_TYPE)
        return content_type is None or content_type.startswith(_EVENT_STREAM)

    async def finish(self) -> None:
        """Write the remaining data and the end of a complete stream.

        :raises CallerGone: If the caller has closed the connection.
        """
        partial_event = self._splitter.take_partial()
        if partial_event or self._responder.status is None:
            await self._write(partial_event)
        await self._responder.end()

    def discard_partial_event(self) -> None:
        """Discard the incomplete event of an interrupted stream."""
        self._splitter.discard_partial()
