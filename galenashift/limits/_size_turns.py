"""Alternates between small and large requests when a service has no free capacity.

Nothing here does input or output.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

#: Size above which a body is large, in bytes. It decides whether a request leaves free
#: capacity of a service to small ones that wait, and whether its connection is closed
#: by its age. Reading, copying and sending a larger body costs the daemon several times
#: as much as the rest of its work.
LARGE_BODY_THRESHOLD_BYTES = 16_384

K = TypeVar("K", bound=Hashable)


@dataclass(kw_only=True)
class _WaitCounts:
    """The number of requests that wait for the same capacity, and their turns."""

    small: int = 0
    large: int = 0
    #: Large requests that may have room although small ones wait.
    large_turns: int = 0


class SizeTurns(Generic[K]):
    """Lets small requests go first, and a large one after each of them.

    While a small request waits, large ones leave it the room that becomes free. Each
    small one that ends its wait, with room or without, lets a waiting large one go, so
    that neither size starves. Nothing is kept of requests that find room at once.
    """

    def __init__(self) -> None:
        self._waits_by_key: dict[K, _WaitCounts] = {}

    def may_take(self, key: K, *, large: bool) -> bool:
        """Tell whether a request may take room, if there is some.

        :param key: The room that the requests compete for.
        """
        waits = self._waits_by_key.get(key)
        return not large or waits is None or not waits.small or waits.large_turns > 0

    def record_taken(self, key: K, *, large: bool) -> None:
        """Note that a request has taken room, before its wait ends.

        A large one uses up a turn also while no small one waits. Turns that were left
        would otherwise let several large ones pass the next small one.
        """
        waits = self._waits_by_key.get(key)
        if large and waits is not None and waits.large_turns:
            waits.large_turns -= 1

    def begin_wait(self, key: K, *, large: bool) -> None:
        """Count a request that has found no room, or that left it to others."""
        waits = self._waits_by_key.setdefault(key, _WaitCounts())
        if large:
            waits.large += 1
        else:
            waits.small += 1

    def end_wait(self, key: K, *, large: bool) -> None:
        """Count the end of a wait, with room or without."""
        waits = self._waits_by_key[key]
        if large:
            waits.large -= 1
        else:
            waits.small -= 1
            waits.large_turns += 1
        waits.large_turns = min(waits.large_turns, waits.large)
        if not waits.small and not waits.large:
            del self._waits_by_key[key]
