"""Finds what requests in flight at several crashes had in common."""

from collections import Counter
from collections.abc import Collection, Sequence

from galenashift.model import DepthBySuspect, SuspectId

#: Crashes without another explanation after which a suspect counts as their cause.
CRASHES_OF_CAUSE = 3


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
    :param quarantined: Suspects that are quarantined. Their requests do not run and add
        no crashes, so they count one more, and one without another explanation is
        enough.
    """
    causes: set[SuspectId] = set()
    unexplained = list(crashes)
    while True:
        count_by_suspect = Counter(each for crash in unexplained for each in crash)
        depth_by_suspect = {
            suspect: depth for crash in unexplained for suspect, depth in crash.items()
        }
        weight_by_suspect = {
            suspect: count - (suspect in proven) + (suspect in quarantined)
            for suspect, count in count_by_suspect.items()
        }
        candidates = [
            suspect
            for suspect, weight in weight_by_suspect.items()
            if weight >= CRASHES_OF_CAUSE or suspect in quarantined
        ]
        if not candidates:
            return causes
        cause = max(
            candidates,
            key=lambda suspect: (
                suspect not in proven,
                weight_by_suspect[suspect],
                depth_by_suspect[suspect],
                suspect,
            ),
        )
        causes.add(cause)
        unexplained = [crash for crash in unexplained if cause not in crash]
