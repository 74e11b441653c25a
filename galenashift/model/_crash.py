"""What was in flight at a crash of an upstream."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._ids import CrashId, SuspectId

#: Depth of the digest of a whole request.
REQUEST_DEPTH = 1_000_000

#: Suspects with their depths. The depth of a prompt part is its position in the prompt,
#: and the digest of the whole request is deeper than all parts.
DepthBySuspect = Mapping[SuspectId, int]


@dataclass(frozen=True, kw_only=True)
class CrashSuspects:
    """What was in flight at a crash, with depths, see `DepthBySuspect`."""

    #: Suspects in requests of which the upstream had sent no whole event.
    not_begun: DepthBySuspect
    #: Suspects in requests of which it had sent some.
    begun: DepthBySuspect
    #: Those with which a request had completed before the crash.
    completed: frozenset[SuspectId] = frozenset()
    #: Those whose request was sent in spite of a quarantine, to find out whether it is
    #: right.
    tried: frozenset[SuspectId] = frozenset()

    def __contains__(self, suspect: object) -> bool:
        return suspect in self.not_begun or suspect in self.begun

    def merged(self, other: "CrashSuspects") -> "CrashSuspects":
        """Return the suspects of both."""
        return CrashSuspects(
            not_begun={**self.not_begun, **other.not_begun},
            begun={**self.begun, **other.begun},
            completed=self.completed | other.completed,
            tried=self.tried | other.tried,
        )

    def only(self, suspect: SuspectId) -> "CrashSuspects":
        """Return what is known of one suspect."""
        return CrashSuspects(
            not_begun=_only(self.not_begun, suspect),
            begun=_only(self.begun, suspect),
            completed=self.completed & {suspect},
            tried=self.tried & {suspect},
        )


def _only(depth_by_suspect: DepthBySuspect, suspect: SuspectId) -> DepthBySuspect:
    return {each: depth for each, depth in depth_by_suspect.items() if each == suspect}


@dataclass(frozen=True, kw_only=True)
class Clearance:
    """A suspect with which a request completed after some crashes."""

    suspect: SuspectId
    #: Crashes that it did not cause; None for all that are known to the reader.
    crash_ids: tuple[CrashId, ...] | None
