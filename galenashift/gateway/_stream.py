"""The stream that a caller sees, made from those of one or several upstreams."""

from collections.abc import Callable

from galenashift.platform import encode_answer

from ._caller import Responder
from ._connection import AnswerHead
from ._event_parts import EventSplitter


class StreamWriter:
    """Forwards whole events as they arrive.

    The first upstream's headers hold for the whole stream.

    :param responder: Answer to the caller.
    :param last_id: Event after which the caller itself resumes.
    :param on_first_event: Called once, when the first event has arrived.
    """

    def __init__(
        self,
        *,
        responder: Responder,
        last_id: str | None,
        on_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        self._responder = responder
        self._events = EventSplitter()
        self._events.last_id = last_id
        self._head: AnswerHead | None = None
        self._on_first_event = on_first_event
        self._clock: Callable[[], float] | None = None
        #: Boot-time clock at which the present exchange began, in seconds.
        self.sent_at_s = 0.0
        #: Time from there to the first data, in seconds.
        self.first_byte_s = 0.0

    @property
    def resume_after(self) -> str | None:
        """Id of the last event that the caller has."""
        return self._events.last_id

    def begin(self, *, sent_at_s: float, clock: Callable[[], float]) -> None:
        """Start a new exchange."""
        self.sent_at_s = sent_at_s
        self.first_byte_s = 0.0
        self._clock = clock

    async def take(self, head: AnswerHead, data: bytes) -> bool:
        """Forward the whole events that end in the data.

        :returns: Whether anything was written.
        :raises CallerGone: If the caller has left.
        """
        self._head = self._head or head
        whole = self._events.feed(data)
        if not whole:
            return False
        if not self.first_byte_s and self._clock is not None:
            self.first_byte_s = self._clock() - self.sent_at_s
            self._on_first_event()
        await self._write(whole)
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

    async def finish(self) -> None:
        """Write the rest and the end of a complete stream.

        :raises CallerGone: If the caller has left.
        """
        rest = self._events.take_rest()
        if rest or self._responder.status is None:
            await self._write(rest)
        await self._responder.end()

    def cut(self) -> None:
        """Forget a part of an event whose stream has broken off."""
        self._events.drop_rest()
