"""Selects the version that serves a request."""

from hashlib import blake2b

#: Length of the hash of an attempt, in bytes; a float holds all but its last bits.
_DIGEST_BYTES = 8
_DIGEST_RANGE = float(1 << (8 * _DIGEST_BYTES))
#: Most calls that a version may make up for; more would come as a burst.
_MAX_CREDIT = 3.0
#: Calls that a version must make up for from which the old one gets none, if the new
#: one has an idle upstream.
_OVERDUE_CREDIT = 2.0


def selection_point(attempt_id: str, *, order_revision: int) -> float:
    """Return the share from which a request goes to the new version.

    All daemons agree on it without communication, and a request that has moved to the
    new version stays there while the share grows.

    :returns: A number from 0 to 1, without 1.
    """
    text = f"{order_revision}/{attempt_id}".encode()
    digest = blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / _DIGEST_RANGE


class CallShare:
    """Share of the calls of a stage service that go to the new version.

    A call has pieces of several attempts, so that no attempt can select its version.
    """

    def __init__(self) -> None:
        self._credit = 0.0

    @property
    def due_calls(self) -> int:
        """Number of the next calls that may go to the new version."""
        return max(0, int(self._credit))

    @property
    def is_overdue(self) -> bool:
        """Whether the next call must go to the new version if it can."""
        return self._credit >= _OVERDUE_CREDIT

    def record_call(self, *, is_new: bool, share: float) -> None:
        """Count a call that is made."""
        self._credit += share - is_new
        self._credit = min(_MAX_CREDIT, max(-_MAX_CREDIT, self._credit))
