"""The latest times noted for suspects of crashes."""

from collections import OrderedDict
from math import inf

from galenashift.model import SuspectId

#: Suspects that are remembered; the least recent is dropped.
_MAX_SUSPECTS = 4_096


class LatestTimes:
    """The latest time noted for each of the most recent suspects."""

    def __init__(self) -> None:
        self._at_s: OrderedDict[SuspectId, float] = OrderedDict()

    def note(self, suspect: SuspectId, at_s: float) -> None:
        """Note a time of a suspect, in seconds."""
        self._at_s[suspect] = max(at_s, self.of(suspect))
        self._at_s.move_to_end(suspect)
        if len(self._at_s) > _MAX_SUSPECTS:
            self._at_s.popitem(last=False)

    def of(self, suspect: SuspectId) -> float:
        """Return the latest time of a suspect in seconds, minus infinity if unknown."""
        return self._at_s.get(suspect, -inf)

    def since(self, at_s: float) -> set[SuspectId]:
        """Return the suspects noted at a time or later."""
        return {suspect for suspect, noted_s in self._at_s.items() if noted_s >= at_s}
