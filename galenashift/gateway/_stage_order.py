"""Order in which the jobs of a stage service are served."""

from collections.abc import Iterable

from galenashift.model import PieceLimits

from ._stage_job import StageJob
from ._stage_shares import StageShares

#: Delay added to the sort key of a job per rank, in seconds.
_RANK_PENALTY_S = 0.4


def call_duration_s(pieces: int, limits: PieceLimits) -> float:
    """Return the nominal duration of a call in seconds."""
    return limits.call_overhead_s + pieces * limits.piece_duration_s


def is_late(job: StageJob, limits: PieceLimits, *, now_s: float) -> bool:
    """Tell whether the answer would be late if the job's calls started now.

    :param now_s: Boot-time clock, in seconds.
    """
    remaining_s = call_duration_s(len(job.waiting), limits) + job.tail_s
    return now_s + remaining_s > job.due_s


def order_key(
    job: StageJob,
    limits: PieceLimits,
    *,
    now_s: float,
    shares: StageShares | None = None,
) -> tuple[bool, bool, int, int, float]:
    """Sort key: started jobs, jobs that can be on time, then late jobs by rank.

    Late jobs whose requests hold results of earlier stages come before the other late
    ones: what they hold is freed the sooner. Jobs of groups that are served too seldom
    come directly after the started ones.

    :param now_s: Boot-time clock, in seconds.
    :param shares: Compares the groups; None to serve jobs without regard to groups.
    """
    starved = shares is not None and shares.is_starved(job)
    late_class = late_rank = 0
    if is_late(job, limits, now_s=now_s):
        late_class = 2 if job.first else 1
        late_rank = job.rank
    start_by_s = job.due_s - job.tail_s + job.rank * _RANK_PENALTY_S
    return not job.started, not starved, late_class, late_rank, start_by_s


def ordered(
    jobs: Iterable[StageJob],
    limits: PieceLimits,
    *,
    now_s: float,
    shares: StageShares | None = None,
) -> list[StageJob]:
    """List the jobs with queued pieces in the order in which they are served.

    :param now_s: Boot-time clock, in seconds.
    :param shares: See `order_key`.
    """
    waiting = [job for job in jobs if job.waiting]
    waiting.sort(key=lambda job: order_key(job, limits, now_s=now_s, shares=shares))
    return waiting
