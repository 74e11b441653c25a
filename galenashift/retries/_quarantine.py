"""Suspects whose requests are refused."""

from dataclasses import dataclass

from galenashift.model import SuspectId


@dataclass(frozen=True, kw_only=True)
class Quarantine:
    """A suspect whose requests are refused."""

    suspect: SuspectId
    #: Crashes at which it was in flight.
    crashes: int
    #: Clock at the last of them, in seconds.
    last_crash_at_s: float


@dataclass(frozen=True, kw_only=True)
class QuarantineChanges:
    """How the quarantined suspects changed."""

    begun: tuple[Quarantine, ...]
    lifted: tuple[SuspectId, ...]
