"""Splits a server-sent event stream into complete events and reads their ids."""

from galenashift.limits import AnswerMemory

from ._connection import AnswerEvicted, AnswerTooLarge

#: Largest incomplete event that is buffered, in bytes.
MAX_EVENT_BYTES = 1_000_000
#: A line end and an empty line, with each of the line ends of event streams.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the end of a stream until its last event is complete.

    :param memory: Memory of all answers in progress.
    """

    def __init__(self, *, memory: AnswerMemory) -> None:
        self._partial_event = b""
        self._memory = memory
        self._reservation = memory.reserve(on_evicted=self._drop_partial)
        #: Id of the last complete event.
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with the given data.

        :param data: Next bytes of the stream.
        :raises AnswerTooLarge: If the incomplete event exceeds `MAX_EVENT_BYTES`.
        :raises AnswerEvicted: If all answers together are too large.
        """
        if self.is_evicted:
            raise AnswerEvicted(limit_bytes=self._memory.limit_bytes)
        buffered = self._partial_event + data
        end = _end_of_last_event(buffered)
        if end == 0:
            if len(buffered) > MAX_EVENT_BYTES:
                raise AnswerTooLarge("event", max_bytes=MAX_EVENT_BYTES)
            if not self._keep(buffered):
                raise AnswerEvicted(limit_bytes=self._memory.limit_bytes)
            return b""
        complete_events = buffered[:end]
        self._keep(buffered[end:])
        self.last_id = _last_id(complete_events) or self.last_id
        return complete_events

    @property
    def is_evicted(self) -> bool:
        """Whether the incomplete event was dropped to free its memory."""
        return self._reservation.is_evicted

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._partial_event.strip())

    def take_partial(self) -> bytes:
        """Return and clear the data after the last complete event."""
        partial_event = self._partial_event
        self._keep(b"")
        return partial_event

    def discard_partial(self) -> None:
        """Discard the incomplete event of an interrupted stream."""
        self._keep(b"")
        self._reservation = self._memory.reserve(on_evicted=self._drop_partial)

    def _keep(self, partial_event: bytes) -> bool:
        """Buffer an incomplete event, and tell whether it was kept."""
        self._partial_event = partial_event
        return self._reservation.resize(len(partial_event))

    def _drop_partial(self) -> None:
        self._partial_event = b""


def _end_of_last_event(data: bytes) -> int:
    """Return the number of bytes up to the end of the last complete event."""
    return max(
        data.rfind(each) + len(each) if each in data else 0 for each in _EVENT_ENDS
    )


def _last_id(events: bytes) -> str | None:
    for line in reversed(events.splitlines()):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None
