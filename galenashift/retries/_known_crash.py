"""What is known about one crash of an upstream."""

from dataclasses import dataclass, field

from galenashift.model import CrashSuspects, SuspectId


@dataclass(kw_only=True, eq=False)
class KnownCrash:
    """A crash of one upstream, with the suspects that daemons have reported."""

    recorded_at_s: float
    expires_at_s: float
    #: Time until which the store holds a report of the crash.
    stored_until_s: float = 0.0
    #: Suspects in requests without a whole event, and in others; without those that
    #: were cleared since.
    not_begun: dict[SuspectId, int] = field(default_factory=dict)
    begun: dict[SuspectId, int] = field(default_factory=dict)
    #: Suspects that did not cause the crash, as requests with them completed since.
    cleared: set[SuspectId] = field(default_factory=set)
    #: Those of which this daemon reports it, and those of which the store knows it.
    queued_clearances: set[SuspectId] = field(default_factory=set)
    stored_clearances: set[SuspectId] = field(default_factory=set)
    #: Those that the store knew and has lost.
    lost_clearances: set[SuspectId] = field(default_factory=set)

    @property
    def suspects(self) -> CrashSuspects:
        """Suspects that may be the cause."""
        return CrashSuspects(not_begun=self.not_begun, begun=self.begun)

    def names(self, suspect: SuspectId) -> bool:
        """Tell whether a suspect was reported and is not cleared."""
        return suspect in self.not_begun or suspect in self.begun

    def clear(self, suspect: SuspectId) -> None:
        """Clear a suspect for good, also if a report names it later."""
        self.not_begun.pop(suspect, None)
        self.begun.pop(suspect, None)
        self.cleared.add(suspect)

    def is_clearance_reported(self, suspect: SuspectId) -> bool:
        """Tell whether other daemons know, or are being told, that it was cleared."""
        return suspect in self.queued_clearances or suspect in self.stored_clearances
