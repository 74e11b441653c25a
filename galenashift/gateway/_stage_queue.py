"""Order and batches of the pieces that wait for one stage service.

A stage upstream works on one call at a time, and a call costs much however few its
pieces. The queue therefore fills calls with pieces of many requests, and sends
nothing ahead: while all upstreams work, waiting costs nothing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from galenashift.model import PieceLimits, UpstreamId

from ._stage_job import Batch, Hopeless, JobId, PieceRef, StageJob, Worker
from ._times import StageWait
from ._work_rate import WorkRate

#: Time by which a lower rank is put back, in seconds.
_RANK_DELAY_S = 0.4
#: Delay that is accepted for a call in the better failure domain, in seconds.
_OTHER_DOMAIN_COST_S = 0.12
#: Part of an upstream's memory below which a result never waits for memory.
SMALL_RESULT_PART = 0.002
#: Time to spare from which a job waits for the better failure domain, in seconds.
_PATIENT_S = 0.3
#: Wait of a late job as a multiple of that for the pieces ahead of it now; jobs that
#: arrive later and can be on time pass it.
_LATE_WAIT_FACTOR = 1.5
#: Full calls that wait for each upstream of a crowded queue.
_CROWDED_BATCHES = 1
#: Attempts at a piece before its request fails.
MAX_PIECE_ATTEMPTS = 3


@dataclass(kw_only=True)
class _Share:
    """Pieces of a job that a plan has not given to an upstream yet."""

    job: StageJob
    indices: list[int]
    #: Whether only upstreams in the job's failure domain get it.
    patient: bool = False


class StageQueue:
    """Jobs of one service that wait for upstreams.

    :param limits: What one upstream bears.
    """

    def __init__(self, *, limits: PieceLimits) -> None:
        self.limits = limits
        self._rate = WorkRate(batch=limits.batch)
        self._jobs_by_id: dict[JobId, StageJob] = {}

    def __len__(self) -> int:
        return sum(len(job.waiting) for job in self._jobs_by_id.values())

    def add(self, job: StageJob) -> None:
        """Let a job wait."""
        self._jobs_by_id[job.job_id] = job

    def remove(self, job_id: JobId) -> StageJob | None:
        """Drop a job and all its waiting pieces."""
        return self._jobs_by_id.pop(job_id, None)

    def note_made(self, pieces: int) -> None:
        """Count pieces that upstreams have made."""
        self._rate.note_made(pieces)

    def observe(self, *, workers: int, now_s: float) -> None:
        """Compare the pieces that were made with what upstreams state.

        :param workers: Upstreams that take work.
        :param now_s: Boot-time clock, in seconds.
        """
        batch = self.limits.batch
        self._rate.observe(
            backlogged=len(self) >= batch,
            possible_per_s=workers * batch / self.call_s(batch),
            now_s=now_s,
        )

    def call_s(self, pieces: int) -> float:
        """Return the stated working time of a call in seconds."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def refusal(self, job: StageJob, *, workers: int, now_s: float) -> Hopeless | None:
        """Tell whether a new job cannot be served before its deadline.

        :param workers: Upstreams that take work.
        :param now_s: Boot-time clock, in seconds.
        """
        rest_s = self.call_s(len(job.pieces)) + job.tail_s
        latest_s = job.deadline_s - rest_s
        if now_s + self._wait_s(len(self), workers) <= latest_s:
            return None
        wait_s = self._wait_s(self._pieces_ahead(job, now_s), workers)
        if now_s + wait_s <= latest_s:
            return None
        return Hopeless(job=job, retry_after_s=wait_s)

    def expected_wait(self, *, workers: int, now_s: float) -> StageWait:
        """Return the wait of a new job.

        :param workers: Upstreams that take work.
        :param now_s: Boot-time clock, in seconds.
        """
        pieces = len(self)
        on_time = pieces
        if pieces > self.limits.batch:
            on_time = sum(
                len(job.waiting)
                for job in self._jobs_by_id.values()
                if not self._is_late(job, now_s)
            )
        return StageWait(
            on_time_s=self._wait_s(on_time, workers),
            late_s=self._wait_s(pieces, workers),
        )

    def _wait_s(self, pieces: int, workers: int) -> float:
        batch = self.limits.batch
        stated_s = pieces / batch * self.call_s(batch) / max(1, workers)
        return stated_s / self._rate.efficiency

    def _pieces_ahead(self, job: StageJob, now_s: float) -> int:
        own = self._order_key(job, now_s)
        return sum(
            len(each.waiting)
            for each in self._jobs_by_id.values()
            if self._order_key(each, now_s) <= own
        )

    def take_hopeless(self, *, workers: int, now_s: float) -> list[Hopeless]:
        """Remove the jobs that can no longer be served before their deadline.

        Jobs of requests that have begun stay until their deadline; others go as soon as
        the pieces ahead of them would take longer.

        :param workers: Upstreams that take work.
        :param now_s: Boot-time clock, in seconds.
        """
        hopeless: list[Hopeless] = []
        ahead = 0
        for job in self._ordered(now_s):
            wait_s = self._wait_s(ahead, workers)
            new = job.first and not job.begun
            if self._is_late(job, now_s):
                wait_s *= _LATE_WAIT_FACTOR
            start_s = now_s + wait_s if new else now_s
            rest_s = self.call_s(len(job.waiting)) + job.tail_s if new else 0.0
            if start_s + max(rest_s, self.call_s(1)) > job.deadline_s:
                hopeless.append(Hopeless(job=job, retry_after_s=wait_s))
            else:
                ahead += len(job.waiting)
        for each in hopeless:
            self.remove(each.job.job_id)
        return hopeless

    def plan(self, workers: Sequence[Worker], *, now_s: float) -> list[Batch]:
        """Take the batches that start now.

        Batches are given in order to the upstream that would end them first. A
        batch whose upstream still works stays in the queue.

        :param workers: Upstreams that take work.
        :param now_s: Boot-time clock, in seconds.
        """
        idle = {each.upstream_id for each in workers if not each.busy}
        if not idle:
            return []
        free_at_s = {each.upstream_id: max(now_s, each.free_at_s) for each in workers}
        free_bytes = {each.upstream_id: each.free_bytes for each in workers}
        shares = self._admitted(sum(free_bytes.values()), now_s)
        crowded = len(self) > _CROWDED_BATCHES * self.limits.batch * len(workers)
        if not crowded:
            self._mark_patient(shares, workers, now_s)
        open_workers = list(workers)
        batches: list[Batch] = []
        while shares and idle and open_workers:
            worker, end_s = self._first_to_end(open_workers, free_at_s, shares)
            taken = self._fill(
                worker, shares, free_bytes[worker.upstream_id], crowded=crowded
            )
            if not taken:
                open_workers.remove(worker)
                idle.discard(worker.upstream_id)
                continue
            shares = [share for share in shares if share.indices]
            free_at_s[worker.upstream_id] = end_s
            free_bytes[worker.upstream_id] -= sum(ref.job.result_bytes for ref in taken)
            if worker.upstream_id in idle:
                idle.discard(worker.upstream_id)
                batches.append(self._take(worker, taken))
        return batches

    def _mark_patient(
        self, shares: Sequence[_Share], workers: Sequence[Worker], now_s: float
    ) -> None:
        """Let jobs with time to spare wait for an upstream in their domain."""
        domains = {worker.domain for worker in workers}
        for share in shares:
            job = share.job
            rest_s = self.call_s(len(job.waiting)) + job.tail_s
            spare_s = job.due_s - now_s - rest_s
            share.patient = job.domain in domains and spare_s > _PATIENT_S

    def _first_to_end(
        self,
        workers: Sequence[Worker],
        free_at_s: dict[UpstreamId, float],
        shares: Sequence[_Share],
    ) -> tuple[Worker, float]:
        pieces = min(sum(len(share.indices) for share in shares), self.limits.batch)
        work_s = self.call_s(pieces)
        first = shares[0].job

        def cost_s(worker: Worker) -> float:
            end_s = free_at_s[worker.upstream_id] + work_s * worker.slowness
            return end_s + (0.0 if _is_near(first, worker) else _OTHER_DOMAIN_COST_S)

        best = min(workers, key=cost_s)
        return best, free_at_s[best.upstream_id] + work_s * best.slowness

    def _admitted(self, free_bytes: float, now_s: float) -> list[_Share]:
        """List the jobs in order, as far as the memory for whole jobs reaches.

        Two jobs that were half made could otherwise wait for each other's memory.
        """
        shares: list[_Share] = []
        for job in self._ordered(now_s):
            need_bytes = len(job.waiting) * job.result_bytes
            if need_bytes > free_bytes and not job.begun:
                # Later jobs with large results wait too, or large jobs never start.
                free_bytes = min(free_bytes, 0.0)
                if not self._is_small(job):
                    continue
            free_bytes -= need_bytes
            shares.append(_Share(job=job, indices=list(job.waiting)))
        return shares

    def _fill(
        self,
        worker: Worker,
        shares: Sequence[_Share],
        free_bytes: float,
        *,
        crowded: bool,
    ) -> list[PieceRef]:
        """Take the first pieces that an upstream has memory for, up to a batch.

        Pieces that move many bytes are made in the failure domain that saves most of
        them, as long as there are enough of these. Only a crowded queue fills calls
        with parts of jobs: this makes more pieces in a second, and each job later.
        """
        taken: list[PieceRef] = []
        for wants_near in (True, False):
            for share in shares:
                far = not _is_near(share.job, worker)
                if far and (wants_near or share.patient):
                    continue
                room = self.limits.batch - len(taken)
                may_split = share is shares[0] or (
                    crowded and not self._fills_memory(share.job)
                )
                if not may_split and self._splits(share, room, free_bytes):
                    continue
                while share.indices and len(taken) < self.limits.batch:
                    if share.job.result_bytes > free_bytes:
                        break
                    free_bytes -= share.job.result_bytes
                    taken.append(PieceRef(job=share.job, index=share.indices.pop(0)))
                if len(taken) == self.limits.batch:
                    return taken
        return taken

    def _splits(self, share: _Share, room: int, free_bytes: float) -> bool:
        """Tell whether a call would make only some large results of a job.

        They would hold memory until the others are made too.
        """
        pieces = len(share.indices)
        if self._is_small(share.job):
            return False
        if pieces > self.limits.batch:
            return False
        return pieces > room or pieces * share.job.result_bytes > free_bytes

    def _take(self, worker: Worker, refs: Iterable[PieceRef]) -> Batch:
        pieces = tuple(refs)
        for ref in pieces:
            ref.job.waiting.remove(ref.index)
            attempts = ref.job.attempts_by_index
            attempts[ref.index] = attempts.get(ref.index, 0) + 1
        return Batch(upstream_id=worker.upstream_id, pieces=pieces)

    def _ordered(self, now_s: float) -> list[StageJob]:
        jobs = [job for job in self._jobs_by_id.values() if job.waiting]
        jobs.sort(key=lambda job: self._order_key(job, now_s))
        return jobs

    def _order_key(self, job: StageJob, now_s: float) -> tuple[bool, int, float]:
        """Sort key: begun jobs, those that can be on time, then late ones by rank."""
        late_rank = 1 + job.rank if self._is_late(job, now_s) else 0
        start_by_s = job.due_s - job.tail_s
        return not job.begun, late_rank, start_by_s + job.rank * _RANK_DELAY_S

    def _fills_memory(self, job: StageJob) -> bool:
        """Tell whether an upstream has memory for fewer than two full calls."""
        return 2 * self.limits.batch * job.result_bytes > self.limits.result_bytes

    def _is_small(self, job: StageJob) -> bool:
        return job.result_bytes < SMALL_RESULT_PART * self.limits.result_bytes

    def _is_late(self, job: StageJob, now_s: float) -> bool:
        rest_s = self.call_s(len(job.waiting)) + job.tail_s
        return now_s + rest_s > job.due_s


def _is_near(job: StageJob, worker: Worker) -> bool:
    """Tell whether an upstream is a good place for the results of a job."""
    return job.domain is None or worker.domain == job.domain
