"""Which organisations, ranks and sizes a stage service serves too seldom.

Nothing here does input or output.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from galenashift.model import OrganisationId

from ._stage_job import StageJob

#: Time constant of the exponential decay of past jobs, in seconds.
_DECAY_TIME_S = 5.0
#: Jobs that a group must have offered lately to be compared with the whole.
_MIN_OFFERED = 4.0
#: Offered jobs below which a group is forgotten.
_FORGOTTEN_OFFERED = 0.05


class _Kind(Enum):
    ORGANISATION = "organisation"
    RANK = "rank"
    SIZE = "size"


#: Served ratio of a group relative to that of all jobs, below which it is starved.
#: Required are 0.25, and 0.5 for sizes; the margin covers the time until the next jobs
#: of the group end.
_LEAST_RATIO_BY_KIND = {_Kind.ORGANISATION: 0.35, _Kind.RANK: 0.35, _Kind.SIZE: 0.6}

#: The organisation, the rank, or the bits in the size of the results in bytes.
_Group = tuple[_Kind, OrganisationId | int]


@dataclass(kw_only=True)
class _Tally:
    """Jobs of a group, with exponential decay."""

    offered: float = 0.0
    served: float = 0.0
    decayed_at_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self.decayed_at_s) / _DECAY_TIME_S)
        self.decayed_at_s = now_s
        self.offered *= factor
        self.served *= factor

    @property
    def ratio(self) -> float:
        return self.served / self.offered if self.offered else 1.0


class StageShares:
    """Compares how often the jobs of each group are served.

    A job belongs to a group by its organisation, one by its rank, and one by the size
    of its results, in powers of two.
    """

    def __init__(self) -> None:
        self._whole = _Tally()
        self._tallies_by_group: dict[_Group, _Tally] = {}
        self._starved: frozenset[_Group] = frozenset()

    def record(self, job: StageJob, *, served: bool, now_s: float) -> None:
        """Count a job that was executed, or refused as late.

        :param now_s: Boot-time clock, in seconds.
        """
        tallies = [
            self._tallies_by_group.setdefault(group, _Tally(decayed_at_s=now_s))
            for group in _groups(job)
        ]
        for tally in (self._whole, *tallies):
            tally.decay(now_s)
            tally.offered += 1
            tally.served += served

    def update(self, *, now_s: float) -> None:
        """Determine the groups that are served too seldom.

        :param now_s: Boot-time clock, in seconds.
        """
        self._whole.decay(now_s)
        for group, tally in list(self._tallies_by_group.items()):
            tally.decay(now_s)
            if tally.offered < _FORGOTTEN_OFFERED:
                del self._tallies_by_group[group]
        self._starved = frozenset(
            group
            for group, tally in self._tallies_by_group.items()
            if tally.offered >= _MIN_OFFERED
            and tally.ratio < _LEAST_RATIO_BY_KIND[group[0]] * self._whole.ratio
        )

    def is_starved(self, job: StageJob) -> bool:
        """Tell whether a group of the job was served too seldom at the last update."""
        return bool(self._starved) and not self._starved.isdisjoint(_groups(job))


def _groups(job: StageJob) -> Iterable[_Group]:
    size_bytes = len(job.pieces) * job.result_bytes
    return (
        (_Kind.ORGANISATION, job.organisation_id),
        (_Kind.RANK, job.rank),
        (_Kind.SIZE, size_bytes.bit_length()),
    )
