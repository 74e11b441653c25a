"""Finds what requests in flight at several crashes had in common."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from galenashift.model import REQUEST_DEPTH, CrashSuspects, SuspectId

#: Crashes without another explanation after which a suspect counts as their cause.
CRASHES_OF_CAUSE = 3
#: Further crashes that are needed if a request with the suspect completed recently, as
#: the report that clears it may still be on its way. Streams that have begun are in
#: flight for longer, and so more often by chance.
_MORE_OF_PROVEN = 1
_MORE_OF_PROVEN_BEGUN = 2


@dataclass(kw_only=True)
class SuspectedCrashes:
    """Number of crashes at which a suspect was in flight."""

    #: Depth of the suspect, see `DepthBySuspect`.
    depth: int = 0
    #: Crashes at which a request with it had no whole event.
    not_begun: int = 0
    #: Crashes at which only requests with it were in flight that had some.
    begun: int = 0

    @property
    def total(self) -> int:
        """All crashes."""
        return self.not_begun + self.begun

    def may_be_cause(self, *, proven: bool) -> bool:
        """Tell whether the suspect can explain its crashes.

        :param proven: Whether a request with it completed recently.
        """
        if not proven:
            return self.total >= CRASHES_OF_CAUSE
        return (
            self.not_begun >= CRASHES_OF_CAUSE + _MORE_OF_PROVEN
            or self.total >= CRASHES_OF_CAUSE + _MORE_OF_PROVEN_BEGUN
        )


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    suspect: SuspectId
    crashes: SuspectedCrashes
    proven: bool
    quarantined: bool

    @property
    def weight(self) -> int:
        # Requests with a quarantined part do not run and add no more crashes. A request
        # is only one of those with its parts, so a part with more crashes replaces it.
        bonus = self.quarantined and self.crashes.depth < REQUEST_DEPTH
        return self.crashes.total - self.proven + bonus

    @property
    def is_cause(self) -> bool:
        """Whether the suspect explains what no better candidate explains."""
        return self.quarantined or self.crashes.may_be_cause(proven=self.proven)

    @property
    def rank(self) -> tuple[bool, int, int, int, SuspectId]:
        return (
            not self.proven,
            self.weight,
            -self.crashes.begun,
            self.crashes.depth,
            self.suspect,
        )


def find_causes(
    crashes: Sequence[CrashSuspects],
    *,
    proven: Collection[SuspectId],
    quarantined: Collection[SuspectId],
) -> set[SuspectId]:
    """Return the fewest suspects that explain the crashes.

    The suspect with most crashes explains them, and what is left is explained in the
    same way. Other suspects of explained crashes are bystanders: a system prompt that
    is part of most requests is in flight at most crashes, too. If two suspects have the
    same crashes, the cause is the one whose answers had more often not begun, and then
    the deeper one, since fewer requests share it.

    :param crashes: Suspects of each crash, without those that were cleared.
    :param proven: Suspects with which a request completed recently. They come last and
        need more crashes.
    :param quarantined: Suspects that are quarantined. They stay so while one crash has
        no other explanation.
    """
    causes: set[SuspectId] = set()
    unexplained = list(crashes)
    while True:
        candidates = [
            _Candidate(
                suspect=suspect,
                crashes=crashes_of_suspect,
                proven=suspect in proven,
                quarantined=suspect in quarantined,
            )
            for suspect, crashes_of_suspect in _count_by_suspect(unexplained).items()
        ]
        possible = [each for each in candidates if each.is_cause]
        if not possible:
            return causes
        cause = max(possible, key=lambda candidate: candidate.rank).suspect
        causes.add(cause)
        unexplained = [crash for crash in unexplained if cause not in crash]


def _count_by_suspect(
    crashes: Sequence[CrashSuspects],
) -> dict[SuspectId, SuspectedCrashes]:
    count_by_suspect: dict[SuspectId, SuspectedCrashes] = {}
    for crash in crashes:
        for suspect, depth in crash.not_begun.items():
            count = count_by_suspect.setdefault(suspect, SuspectedCrashes())
            count.depth = depth
            count.not_begun += 1
        for suspect, depth in crash.begun.items():
            if suspect in crash.not_begun:
                continue
            count = count_by_suspect.setdefault(suspect, SuspectedCrashes())
            count.depth = depth
            count.begun += 1
    return count_by_suspect
