"""Ordering and batching of the pieces queued for one stage service.

A stage upstream executes one call at a time, and each call has a high fixed cost. The
queue therefore batches pieces of several requests into a call. It does not send calls
to busy upstreams in advance, because that would not make them start earlier.
"""

from collections.abc import Sequence

from galenashift.model import PieceLimits

from ._stage_demand import StageDemand
from ._stage_job import Batch, InfeasibleJob, JobId, PieceRef, StageJob, Worker
from ._stage_order import call_duration_s, is_late, order_key, ordered
from ._stage_plan import StagePlan
from ._stage_shares import StageShares
from ._times import StageWait
from ._work_rate import EfficiencyEstimator

#: Factor on the expected wait of a late job, since jobs that arrive later and can still
#: be on time are served before it.
_LATE_WAIT_FACTOR = 1.5
#: Number of attempts at a piece after which its request fails.
MAX_PIECE_ATTEMPTS = 3


class StageQueue:
    """Queue of the jobs of one stage service.

    :param limits: Capacity of one upstream.
    :param demand: Estimates how often late jobs are overtaken; None to assume a fixed
        factor.
    :param shares: Finds organisations, ranks and sizes that starve; None to serve jobs
        without regard to groups.
    """

    def __init__(
        self,
        *,
        limits: PieceLimits,
        demand: StageDemand | None = None,
        shares: StageShares | None = None,
    ) -> None:
        self.limits = limits
        self._shares = shares
        self._demand = demand
        self._efficiency = EfficiencyEstimator(batch=limits.batch)
        self._jobs_by_id: dict[JobId, StageJob] = {}

    def __len__(self) -> int:
        return sum(len(job.waiting) for job in self._jobs_by_id.values())

    def add(self, job: StageJob, *, now_s: float) -> None:
        """Enqueue a job.

        :param now_s: Boot-time clock, in seconds.
        """
        self._jobs_by_id[job.job_id] = job
        if self._demand is not None:
            self._demand.record(len(job.waiting), now_s=now_s)

    def remove(self, job_id: JobId) -> StageJob | None:
        """Remove a job with its queued pieces."""
        return self._jobs_by_id.pop(job_id, None)

    def record_outcome(self, job: StageJob, *, served: bool, now_s: float) -> None:
        """Count a job that was executed, or refused as late.

        :param now_s: Boot-time clock, in seconds.
        """
        if self._shares is not None:
            self._shares.record(job, served=served, now_s=now_s)

    def record_completed(self, pieces: int) -> None:
        """Count pieces that upstreams have completed."""
        self._efficiency.record_completed(pieces)

    def update_estimates(self, *, workers: float, now_s: float) -> None:
        """Update the efficiency and the shares since the last update.

        :param workers: Upstreams that accept calls, see `refusal`.
        :param now_s: Boot-time clock, in seconds.
        """
        batch = self.limits.batch
        self._efficiency.update(
            backlogged=len(self) >= batch,
            possible_per_s=workers * batch / self.call_duration_s(batch),
            now_s=now_s,
        )
        if self._shares is not None:
            self._shares.update(now_s=now_s)

    def call_duration_s(self, pieces: int) -> float:
        """Return the nominal duration of a call in seconds."""
        return call_duration_s(pieces, self.limits)

    def refusal(
        self, job: StageJob, *, workers: float, now_s: float
    ) -> InfeasibleJob | None:
        """Return the refusal of a new job that cannot meet its deadline, or None.

        :param workers: Number of upstreams that accept calls; one whose rate limit
            leaves pauses between its calls counts as the fraction that it works.
        :param now_s: Boot-time clock, in seconds.
        """
        remaining_s = self.call_duration_s(len(job.pieces)) + job.tail_s
        latest_s = job.deadline_s - remaining_s
        if now_s + self._admission_wait_s(job, len(self), workers, now_s) <= latest_s:
            return None
        ahead = self._pieces_ahead(job, now_s)
        wait_s = self._admission_wait_s(job, ahead, workers, now_s)
        if now_s + wait_s <= latest_s:
            return None
        return InfeasibleJob(job=job, retry_after_s=wait_s)

    def expected_wait(self, *, workers: float, now_s: float) -> StageWait:
        """Return the expected queueing time of a new job.

        :param workers: Upstreams that accept calls, see `refusal`.
        :param now_s: Boot-time clock, in seconds.
        """
        pieces = len(self)
        on_time = pieces
        if pieces > self.limits.batch:
            on_time = sum(
                len(job.waiting)
                for job in self._jobs_by_id.values()
                if not is_late(job, self.limits, now_s=now_s)
            )
        return StageWait(
            on_time_s=self._wait_s(on_time, workers),
            late_s=self._wait_s(pieces, workers),
        )

    def _wait_s(self, pieces: int, workers: float) -> float:
        batch = self.limits.batch
        nominal_s = pieces / batch * self.call_duration_s(batch) / (workers or 1)
        return nominal_s / self._efficiency.efficiency

    def _admission_wait_s(
        self, job: StageJob, ahead: int, workers: float, now_s: float
    ) -> float:
        """Return the wait of a job that decides on its admission, in seconds.

        Jobs that may overtake it are counted only where their rate is estimated.
        Without an estimate it is not known whether any will arrive, so the job is
        admitted, and `remove_infeasible` refuses it if its wait becomes too long.

        :param ahead: Number of pieces ahead of it.
        """
        wait_s = self._wait_s(ahead, workers)
        if self._demand is None:
            return wait_s
        return self._overtaken_wait_s(job, wait_s, workers, now_s)

    def _overtaken_wait_s(
        self, job: StageJob, wait_s: float, workers: float, now_s: float
    ) -> float:
        """Return the wait of a job, with that for the jobs that will overtake it.

        :param wait_s: Wait for the queued pieces ahead of it, in seconds.
        """
        if self._demand is None:
            late = is_late(job, self.limits, now_s=now_s)
            return wait_s * _LATE_WAIT_FACTOR if late else wait_s
        starved = self._shares is not None and self._shares.is_starved(job)
        # No wait is possible where calls take no time, and the rate has no bound there.
        if not wait_s or starved or not is_late(job, self.limits, now_s=now_s + wait_s):
            return wait_s
        batch = self.limits.batch
        return wait_s / self._demand.remaining_capacity_ratio(
            throughput_per_s=batch / self._wait_s(batch, workers), now_s=now_s
        )

    def _pieces_ahead(self, job: StageJob, now_s: float) -> int:
        own_key = self._order_key(job, now_s)
        return sum(
            len(each.waiting)
            for each in self._jobs_by_id.values()
            if self._order_key(each, now_s) <= own_key
        )

    def remove_infeasible(self, *, workers: float, now_s: float) -> list[InfeasibleJob]:
        """Remove and return the jobs that can no longer meet their deadline.

        The first job of a request is removed as soon as the pieces ahead of it would
        take too long. Started jobs and jobs of later stages are not made to wait long,
        so that they stay as long as their own calls could end in time.

        :param workers: Upstreams that accept calls, see `refusal`.
        :param now_s: Boot-time clock, in seconds.
        """
        infeasible: list[InfeasibleJob] = []
        ahead = 0
        for job in self._ordered(now_s):
            wait_s = self._wait_s(ahead, workers)
            wait_s = self._overtaken_wait_s(job, wait_s, workers, now_s)
            if job.first and not job.started:
                work_s = self.call_duration_s(len(job.waiting)) + job.tail_s
                end_s = now_s + wait_s + max(work_s, self.call_duration_s(1))
            else:
                end_s = now_s + self._least_duration_s(job)
            if end_s > job.deadline_s:
                infeasible.append(InfeasibleJob(job=job, retry_after_s=wait_s))
            else:
                ahead += len(job.waiting)
        for each in infeasible:
            self.remove(each.job.job_id)
        return infeasible

    def _least_duration_s(self, job: StageJob) -> float:
        """Return the least time that a job needs if its calls start now, in seconds.

        The deadline of the first job is the one of its request, so that the time of
        the later stages counts as well; that of others may be the end of its inputs.
        """
        call_s = self.call_duration_s(min(len(job.waiting), self.limits.batch))
        return call_s + job.tail_s if job.first else call_s

    def plan(self, workers: Sequence[Worker], *, now_s: float) -> list[Batch]:
        """Dequeue the batches to start now.

        :param workers: Upstreams that accept calls.
        :param now_s: Boot-time clock, in seconds.
        """
        if all(each.busy for each in workers):
            return []
        plan = StagePlan(
            jobs=self._ordered(now_s), workers=workers, limits=self.limits, now_s=now_s
        )
        return [self._dequeue(worker, pieces) for worker, pieces in plan.batches()]

    def _dequeue(self, worker: Worker, pieces: Sequence[PieceRef]) -> Batch:
        for ref in pieces:
            ref.job.waiting.remove(ref.index)
            attempts = ref.job.attempts_by_index
            attempts[ref.index] = attempts.get(ref.index, 0) + 1
        return Batch(upstream_id=worker.upstream_id, pieces=tuple(pieces))

    def _ordered(self, now_s: float) -> list[StageJob]:
        jobs = self._jobs_by_id.values()
        return ordered(jobs, self.limits, now_s=now_s, shares=self._shares)

    def _order_key(self, job: StageJob, now_s: float) -> tuple[float, ...]:
        return order_key(job, self.limits, now_s=now_s, shares=self._shares)
