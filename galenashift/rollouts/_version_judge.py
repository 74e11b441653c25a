"""Judges a new version as often as its evidence calls for."""

import math

from ._evidence import FleetEvidence
from ._judgement import Finding, judge

#: Time between two judgements with new evidence, and longest time without, in
#: seconds. One takes 6 ms with 40 keys.
_JUDGE_INTERVAL_S = 0.2
_MAX_JUDGEMENT_AGE_S = 1.0


class VersionJudge:
    """The last judgement of one rollout."""

    def __init__(self) -> None:
        self._judged_at_s = -math.inf
        self._has_new_evidence = False
        #: Strongest evidence against the new version, as of the last judgement.
        self.finding: Finding | None = None

    def note_evidence(self) -> None:
        """Note that there are new answers."""
        self._has_new_evidence = True

    def update(self, evidence: FleetEvidence, *, now_s: float) -> None:
        """Judge the version, unless that has just been done.

        :param now_s: Boot-time clock, in seconds.
        """
        interval_s = (
            _JUDGE_INTERVAL_S if self._has_new_evidence else _MAX_JUDGEMENT_AGE_S
        )
        if now_s >= self._judged_at_s + interval_s:
            self.finding = judge(evidence, now_s=now_s)
            self._judged_at_s = now_s
            self._has_new_evidence = False
