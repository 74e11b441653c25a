"""Finds what requests in flight at several crashes had in common."""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from galenashift.model import REQUEST_DEPTH, DepthBySuspect, SuspectId

#: Crashes without another explanation after which a suspect counts as their cause.
CRASHES_OF_CAUSE = 3


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    suspect: SuspectId
    crashes: int
    depth: int
    proven: bool
    quarantined: bool

    @property
    def weight(self) -> int:
        # Requests with a quarantined part do not run and add no more crashes. A request
        # is only one of those with its parts, so a part with more crashes replaces it.
        bonus = self.quarantined and self.depth < REQUEST_DEPTH
        return self.crashes - self.proven + bonus

    @property
    def is_cause(self) -> bool:
        """Whether the suspect explains what no better candidate explains."""
        return self.quarantined or self.crashes - self.proven >= CRASHES_OF_CAUSE

    @property
    def rank(self) -> tuple[bool, int, int, SuspectId]:
        return not self.proven, self.weight, self.depth, self.suspect


def find_causes(
    crashes: Sequence[DepthBySuspect],
    *,
    proven: Collection[SuspectId],
    quarantined: Collection[SuspectId],
) -> set[SuspectId]:
    """Return the fewest suspects that explain the crashes.

    The suspect with most crashes explains them, and what is left is explained in the
    same way. Other suspects of explained crashes are bystanders: a system prompt that
    is part of most requests is in flight at most crashes, too. If two suspects have the
    same crashes, the deeper one is the cause, since fewer requests share it.

    :param crashes: Suspects of each crash, without those that were cleared.
    :param proven: Suspects with which a request completed recently. They come last and
        need one more crash, as the report that clears them may still be on its way.
    :param quarantined: Suspects that are quarantined. They stay so while one crash has
        no other explanation.
    """
    causes: set[SuspectId] = set()
    unexplained = list(crashes)
    while True:
        crashes_by_suspect = Counter(each for crash in unexplained for each in crash)
        depth_by_suspect = {
            suspect: depth for crash in unexplained for suspect, depth in crash.items()
        }
        candidates = [
            _Candidate(
                suspect=suspect,
                crashes=count,
                depth=depth_by_suspect[suspect],
                proven=suspect in proven,
                quarantined=suspect in quarantined,
            )
            for suspect, count in crashes_by_suspect.items()
        ]
        possible = [each for each in candidates if each.is_cause]
        if not possible:
            return causes
        cause = max(possible, key=lambda candidate: candidate.rank).suspect
        causes.add(cause)
        unexplained = [crash for crash in unexplained if cause not in crash]
