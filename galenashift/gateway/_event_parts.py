"""Splits a stream into whole events and reads their ids."""

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the part of a stream that is not a whole event yet."""

    def __init__(self) -> None:
        self._rest = b""
        #: Id of the last whole event.
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that end in the data.

        :param data: Next bytes of the stream.
        """
        text = self._rest + data
        end = text.rfind(_EVENT_END)
        if end < 0:
            self._rest = text
            return b""
        whole = text[: end + len(_EVENT_END)]
        self._rest = text[end + len(_EVENT_END) :]
        self.last_id = _last_id(whole) or self.last_id
        return whole

    def take_rest(self) -> bytes:
        """Return what follows the last whole event, at the end of the stream."""
        rest, self._rest = self._rest, b""
        return rest

    def drop_rest(self) -> None:
        """Forget a part of an event whose stream has broken off."""
        self._rest = b""


def _last_id(events: bytes) -> str | None:
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None
