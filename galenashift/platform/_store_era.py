"""Eras of the store, which may come back from an older copy of its records."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NewType

from galenashift.model import UnreadableValue

from ._decoding import parse_integer

StoreEra = NewType("StoreEra", int)

_ERA = "store-era"
#: Characters of a malformed value that are logged.
_MAX_SHOWN = 40


@dataclass(frozen=True, kw_only=True)
class EraChange:
    """The store has come back from an older copy."""

    previous: StoreEra
    current: StoreEra


def decode_era(headers: Mapping[str, str]) -> StoreEra | UnreadableValue | None:
    """Decode the era in the headers of an answer of the store.

    :param headers: Header values by lower-case name.
    :returns: None if there is none.
    """
    text = headers.get(_ERA)
    if text is None:
        return None
    try:
        return StoreEra(parse_integer(text))
    except ValueError:
        return UnreadableValue(text=text[:_MAX_SHOWN])


class EraTracker:
    """The latest era that any answer of the store has stated.

    Revisions and leases mean something else in another era: their numbers are given out
    again. An answer without an era belongs to the latest one.

    :param on_change: Called when an answer is the first one of a new era.
    :param on_unreadable: Called once for each value that is no era.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[EraChange], None],
        on_unreadable: Callable[[UnreadableValue], None],
    ) -> None:
        self._on_change = on_change
        self._on_unreadable = on_unreadable
        self._unreadable: UnreadableValue | None = None
        #: None until an answer has stated one.
        self.current: StoreEra | None = None

    def observe(
        self, headers: Mapping[str, str], *, known: StoreEra | None
    ) -> StoreEra | None:
        """Return the era of an answer, and note it if it is a new one.

        :param headers: Header values by lower-case name.
        :param known: Latest era when the call was sent. An earlier one in its answer
            is the true one, as the store does not go back to an era.
        """
        match decode_era(headers):
            case None:
                return self.current
            case UnreadableValue() as value:
                if value != self._unreadable:
                    self._unreadable = value
                    self._on_unreadable(value)
                return self.current
            case era:
                self._note(era, known=known)
                return era

    def is_past(self, era: StoreEra | None) -> bool:
        """Tell whether the store has come back since an era."""
        return era is not None and self.current is not None and era < self.current

    def _note(self, era: StoreEra, *, known: StoreEra | None) -> None:
        previous = self.current
        if previous is None:
            self.current = era
            return
        is_late = era < previous and (known is None or known < previous)
        if era == previous or is_late:
            return
        self.current = era
        self._on_change(EraChange(previous=previous, current=era))
