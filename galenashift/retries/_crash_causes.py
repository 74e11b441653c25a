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
class _Evidence:
    """What else is known of suspects, see `find_causes`."""

    proven: Collection[SuspectId]
    quarantined: Collection[SuspectId]

    def may_be_cause(self, suspect: SuspectId, crashes: SuspectedCrashes) -> bool:
        """Tell whether a suspect explains what no better one explains."""
        if suspect in self.quarantined:
            return True
        return crashes.may_be_cause(proven=suspect in self.proven)

    def rank(
        self, suspect: SuspectId, crashes: SuspectedCrashes
    ) -> tuple[bool, int, int, int, SuspectId]:
        """Return the order in which suspects that may be causes are taken."""
        is_proven = suspect in self.proven
        # Requests with a quarantined part do not run and add no more crashes. A request
        # is only one of those with its parts, so a part with more crashes replaces it.
        bonus = suspect in self.quarantined and crashes.depth < REQUEST_DEPTH
        weight = crashes.total - is_proven + bonus
        return not is_proven, weight, -crashes.begun, crashes.depth, suspect


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
    evidence = _Evidence(proven=proven, quarantined=quarantined)
    causes: set[SuspectId] = set()
    unexplained = list(crashes)
    count_by_suspect = _count_by_suspect(unexplained)
    while True:
        # A suspect with too few crashes gets no more of them in the next round.
        candidates = {
            suspect: count
            for suspect, count in count_by_suspect.items()
            if evidence.may_be_cause(suspect, count)
        }
        if not candidates:
            return causes
        cause, _ = max(candidates.items(), key=lambda item: evidence.rank(*item))
        causes.add(cause)
        unexplained = [crash for crash in unexplained if cause not in crash]
        count_by_suspect = _count_by_suspect(unexplained, among=candidates)


def _count_by_suspect(
    crashes: Sequence[CrashSuspects], *, among: Collection[SuspectId] | None = None
) -> dict[SuspectId, SuspectedCrashes]:
    """Count the crashes of all suspects, or of some."""
    count_by_suspect: dict[SuspectId, SuspectedCrashes] = {}

    def count_of(suspect: SuspectId, depth: int) -> SuspectedCrashes | None:
        if among is not None and suspect not in among:
            return None
        count = count_by_suspect.get(suspect)
        if count is None:
            count = count_by_suspect[suspect] = SuspectedCrashes(depth=depth)
        return count

    for crash in crashes:
        for suspect, depth in crash.not_begun.items():
            if (count := count_of(suspect, depth)) is not None:
                count.not_begun += 1
        for suspect, depth in crash.begun.items():
            if suspect in crash.not_begun:
                continue
            if (count := count_of(suspect, depth)) is not None:
                count.begun += 1
    return count_by_suspect
