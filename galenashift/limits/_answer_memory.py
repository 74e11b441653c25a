"""Limits the memory of all answers that are being received.

Nothing here does input or output.
"""

from collections.abc import Callable


class AnswerMemory:
    """Memory for the answers in progress, of all upstreams together.

    When it is exceeded, the largest answer is evicted: an answer without end grows
    until it is the largest, so the others are not affected.

    :param limit_bytes: Most memory that all answers together use, in bytes.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._used_bytes = 0
        #: Reservations that are not empty.
        self._reservations: set[AnswerReservation] = set()

    @property
    def used_bytes(self) -> int:
        """Memory that all answers use, in bytes."""
        return self._used_bytes

    def reserve(self, *, on_evicted: Callable[[], None]) -> "AnswerReservation":
        """Return an empty reservation for one answer.

        :param on_evicted: Frees the memory of the answer.
        """
        return AnswerReservation(memory=self, on_evicted=on_evicted)

    def _resize(self, reservation: "AnswerReservation", size_bytes: int) -> None:
        self._used_bytes += size_bytes - reservation.size_bytes
        reservation.size_bytes = size_bytes
        if size_bytes:
            self._reservations.add(reservation)
        else:
            self._reservations.discard(reservation)
        while self._used_bytes > self.limit_bytes:
            largest = max(self._reservations, key=lambda each: each.size_bytes)
            largest.evict()


class AnswerReservation:
    """Memory of one answer, which may be evicted."""

    def __init__(self, *, memory: AnswerMemory, on_evicted: Callable[[], None]) -> None:
        self._memory = memory
        self._on_evicted = on_evicted
        self.size_bytes = 0
        self.is_evicted = False

    def resize(self, size_bytes: int) -> bool:
        """Set the memory that the answer uses.

        :param size_bytes: New size, in bytes; 0 once the answer is no longer held.
        :returns: Whether the answer may be kept.
        """
        if not self.is_evicted:
            self._memory._resize(self, size_bytes)
        return not self.is_evicted

    def evict(self) -> None:
        """Free the memory of the answer; nothing more is kept of it."""
        self.is_evicted = True
        self._memory._resize(self, 0)
        self._on_evicted()
