"""Assignment of queued pieces to the idle upstreams of a stage service."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from galenashift.model import PieceLimits

from ._stage_job import PieceRef, StageJob, Worker
from ._stage_order import call_duration_s

#: Delay that is accepted to run a call in the failure domain of its job, in seconds.
_CROSS_DOMAIN_PENALTY_S = 0.12
#: Fraction of an upstream's result memory; results smaller than that do not wait for
#: memory.
SMALL_RESULT_FRACTION = 0.002
#: Slack above which a job waits for an upstream in its failure domain, in seconds.
_MIN_SLACK_S = 0.3
#: Number of queued full batches per upstream above which the queue is saturated.
_SATURATION_BATCHES = 1


@dataclass(kw_only=True)
class _UnassignedPieces:
    """The pieces of a job that are not assigned to an upstream yet."""

    job: StageJob
    indices: list[int]
    #: Whether only upstreams in the job's failure domain may execute these pieces.
    local_only: bool = False


class StagePlan:
    """Plans the calls to start now.

    Each batch in turn is assigned to the upstream that would finish it first. A batch
    whose upstream is still busy is not started.

    :param jobs: Jobs with queued pieces, in the order of service.
    :param workers: Upstreams that accept calls.
    :param limits: Capacity of one upstream.
    :param now_s: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        jobs: Sequence[StageJob],
        workers: Sequence[Worker],
        limits: PieceLimits,
        now_s: float,
    ) -> None:
        self._limits = limits
        self._now_s = now_s
        self._available = list(workers)
        self._idle = {each.upstream_id for each in workers if not each.busy}
        self._free_at_s = {
            each.upstream_id: max(now_s, each.free_at_s) for each in workers
        }
        self._free_bytes = {each.upstream_id: each.free_bytes for each in workers}
        self._unassigned = self._admitted(jobs, sum(self._free_bytes.values()))
        pieces = sum(len(job.waiting) for job in jobs)
        self._saturated = pieces > _SATURATION_BATCHES * limits.batch * len(workers)
        if not self._saturated:
            self._mark_local_only()

    def batches(self) -> Iterator[tuple[Worker, list[PieceRef]]]:
        """Yield the pieces of each call to start, with its upstream."""
        while self._unassigned and self._idle and self._available:
            worker, end_s = self._earliest_to_finish()
            pieces = self._fill_batch(worker)
            if not pieces:
                self._available.remove(worker)
                self._idle.discard(worker.upstream_id)
                continue
            self._assign(worker, pieces, end_s)
            if worker.upstream_id in self._idle:
                self._idle.discard(worker.upstream_id)
                yield worker, pieces

    def _assign(self, worker: Worker, pieces: Sequence[PieceRef], end_s: float) -> None:
        self._unassigned = [each for each in self._unassigned if each.indices]
        self._free_at_s[worker.upstream_id] = end_s
        result_bytes = sum(ref.job.result_bytes for ref in pieces)
        self._free_bytes[worker.upstream_id] -= result_bytes

    def _mark_local_only(self) -> None:
        """Restrict jobs with enough slack to upstreams in their failure domain."""
        domains = {worker.domain for worker in self._available}
        for each in self._unassigned:
            job = each.job
            remaining_s = call_duration_s(len(job.waiting), self._limits) + job.tail_s
            slack_s = job.due_s - self._now_s - remaining_s
            each.local_only = job.domain in domains and slack_s > _MIN_SLACK_S

    def _earliest_to_finish(self) -> tuple[Worker, float]:
        queued = sum(len(each.indices) for each in self._unassigned)
        work_s = call_duration_s(min(queued, self._limits.batch), self._limits)
        first = self._unassigned[0].job

        def end_s(worker: Worker) -> float:
            return self._free_at_s[worker.upstream_id] + work_s * worker.slowness

        def cost_s(worker: Worker) -> float:
            penalty_s = 0.0 if _is_local(first, worker) else _CROSS_DOMAIN_PENALTY_S
            return end_s(worker) + penalty_s

        best = min(self._available, key=cost_s)
        return best, end_s(best)

    def _admitted(
        self, jobs: Sequence[StageJob], free_bytes: float
    ) -> list[_UnassignedPieces]:
        """List, in queue order, the jobs whose results all fit into the free memory.

        Otherwise two partly executed jobs could each wait for memory that the other
        one holds.
        """
        unassigned: list[_UnassignedPieces] = []
        for job in jobs:
            needed_bytes = len(job.waiting) * job.result_bytes
            if needed_bytes > free_bytes and not job.started:
                # Later jobs with large results must wait too; otherwise they could use
                # up the memory each time and starve this one.
                free_bytes = min(free_bytes, 0.0)
                if not self._is_small(job):
                    continue
            free_bytes -= needed_bytes
            unassigned.append(_UnassignedPieces(job=job, indices=list(job.waiting)))
        return unassigned

    def _fill_batch(self, worker: Worker) -> list[PieceRef]:
        """Select the first pieces that fit into an upstream's memory, up to a batch.

        Pieces of jobs that prefer the upstream's failure domain are selected first, to
        reduce traffic between domains; other pieces fill the remaining slots. Jobs
        after the first are split across calls only when the queue is saturated:
        splitting raises throughput but delays each job.
        """
        free_bytes = self._free_bytes[worker.upstream_id]
        taken: list[PieceRef] = []
        for local_pass in (True, False):
            for each in self._unassigned:
                is_remote = not _is_local(each.job, worker)
                if is_remote and (local_pass or each.local_only):
                    continue
                room = self._limits.batch - len(taken)
                may_split = each is self._unassigned[0] or (
                    self._saturated and not self._exceeds_memory(each.job)
                )
                if not may_split and self._would_split(each, room, free_bytes):
                    continue
                while each.indices and len(taken) < self._limits.batch:
                    if each.job.result_bytes > free_bytes:
                        break
                    free_bytes -= each.job.result_bytes
                    taken.append(PieceRef(job=each.job, index=each.indices.pop(0)))
                if len(taken) == self._limits.batch:
                    return taken
        return taken

    def _would_split(
        self, candidate: _UnassignedPieces, room: int, free_bytes: float
    ) -> bool:
        """Tell whether a call would produce only some of a job's large results.

        These would occupy memory until the remaining pieces are executed.
        """
        pieces = len(candidate.indices)
        if self._is_small(candidate.job):
            return False
        if pieces > self._limits.batch:
            return False
        return pieces > room or pieces * candidate.job.result_bytes > free_bytes

    def _exceeds_memory(self, job: StageJob) -> bool:
        """Tell whether the results of two full calls exceed an upstream's memory."""
        return 2 * self._limits.batch * job.result_bytes > self._limits.result_bytes

    def _is_small(self, job: StageJob) -> bool:
        return job.result_bytes < SMALL_RESULT_FRACTION * self._limits.result_bytes


def _is_local(job: StageJob, worker: Worker) -> bool:
    """Tell whether an upstream is in the failure domain that the job prefers."""
    return job.domain is None or worker.domain == job.domain
