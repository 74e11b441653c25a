"""Order and batches of the pieces that wait for one stage service.

A stage upstream works on one call at a time, and a call costs much however few its
pieces. The queue therefore fills calls with pieces of many requests, and sends
nothing ahead: while all upstreams work, waiting costs nothing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NewType

from galenashift.model import Handle, OrganisationId, PieceLimits, UpstreamId
from galenashift.platform import Piece

JobId = NewType("JobId", str)

#: Time by which a lower rank is put back, in seconds.
_RANK_DELAY_S = 0.4
#: Results below this size never wait for memory, in bytes.
_SMALL_RESULT_BYTES = 100_000
#: Attempts at a piece before its request fails.
MAX_PIECE_ATTEMPTS = 3


@dataclass(kw_only=True)
class StageJob:
    """The pieces of one stage of one request."""

    job_id: JobId
    pieces: tuple[Piece, ...]
    #: Boot-time clock by which the answer is on time, in seconds.
    due_s: float
    #: Boot-time clock after which the answer is useless, in seconds.
    deadline_s: float
    #: Expected time from the end of this stage to the first byte, in seconds.
    tail_s: float
    rank: int
    organisation_id: OrganisationId
    #: Whether no stage of the request has been made yet.
    first: bool
    #: Approximate size of one result, in bytes.
    result_bytes: int
    #: Results by piece.
    handles_by_index: dict[int, Handle] = field(default_factory=dict)
    #: Pieces that wait for a call.
    waiting: list[int] = field(default_factory=list)
    #: Calls that a piece was part of, by piece.
    attempts_by_index: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.waiting = list(range(len(self.pieces)))

    @property
    def begun(self) -> bool:
        """Whether a piece has been made or is being made."""
        return len(self.waiting) < len(self.pieces)

    @property
    def complete(self) -> bool:
        """Whether all pieces have been made."""
        return len(self.handles_by_index) == len(self.pieces)


@dataclass(frozen=True, kw_only=True)
class Worker:
    """A stage upstream as the plan sees it."""

    upstream_id: UpstreamId
    #: Boot-time clock at which it is expected to be idle, in seconds.
    free_at_s: float
    #: Whether a call is in progress.
    busy: bool
    #: Working time relative to what the service states.
    slowness: float
    #: Memory for further results, in bytes.
    free_bytes: float


@dataclass(frozen=True, kw_only=True)
class PieceRef:
    """One waiting piece."""

    job: StageJob
    index: int

    @property
    def piece(self) -> Piece:
        """The piece to make."""
        return self.job.pieces[self.index]


@dataclass(frozen=True, kw_only=True)
class Batch:
    """Pieces for one call of one upstream."""

    upstream_id: UpstreamId
    pieces: tuple[PieceRef, ...]


@dataclass(frozen=True, kw_only=True)
class Hopeless:
    """A job that cannot be served before its deadline."""

    job: StageJob
    #: Time after which a new attempt may be served, in seconds.
    retry_after_s: float


class StageQueue:
    """Jobs of one service that wait for upstreams.

    :param limits: What one upstream bears.
    """

    def __init__(self, *, limits: PieceLimits) -> None:
        self.limits = limits
        self._jobs_by_id: dict[JobId, StageJob] = {}

    def __len__(self) -> int:
        return sum(len(job.waiting) for job in self._jobs_by_id.values())

    def add(self, job: StageJob) -> None:
        """Let a job wait."""
        self._jobs_by_id[job.job_id] = job

    def remove(self, job_id: JobId) -> StageJob | None:
        """Drop a job and all its waiting pieces."""
        return self._jobs_by_id.pop(job_id, None)

    def call_s(self, pieces: int) -> float:
        """Return the stated working time of a call in seconds."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def refusal(self, job: StageJob, *, workers: int, now_s: float) -> Hopeless | None:
        """Tell whether a new job cannot be served before its deadline.

        :param workers: Upstreams that take work.
        :param now_s: Boot-time clock, in seconds.
        """
        wait_s = self._expected_wait_s(job, workers=workers, now_s=now_s)
        end_s = now_s + wait_s + self.call_s(len(job.pieces)) + job.tail_s
        if end_s <= job.deadline_s:
            return None
        return Hopeless(job=job, retry_after_s=wait_s)

    def _expected_wait_s(self, job: StageJob, *, workers: int, now_s: float) -> float:
        own = self._order_key(job, now_s)
        ahead = sum(
            len(each.waiting)
            for each in self._jobs_by_id.values()
            if self._order_key(each, now_s) <= own
        )
        batch = self.limits.batch
        return ahead / batch * self.call_s(batch) / max(1, workers)

    def take_hopeless(self, *, now_s: float) -> list[Hopeless]:
        """Remove the jobs that can no longer be served before their deadline.

        :param now_s: Boot-time clock, in seconds.
        """
        shortest_s = self.call_s(1)
        hopeless = [
            Hopeless(job=job, retry_after_s=shortest_s)
            for job in self._jobs_by_id.values()
            if job.waiting and now_s + shortest_s > job.deadline_s
        ]
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
        free_at_s = {each.upstream_id: max(now_s, each.free_at_s) for each in workers}
        free_bytes = {each.upstream_id: each.free_bytes for each in workers}
        idle = {each.upstream_id for each in workers if not each.busy}
        refs = self._admitted(sum(free_bytes.values()), now_s)
        open_workers = list(workers)
        batches: list[Batch] = []
        while refs and idle and open_workers:
            worker, end_s = self._first_to_end(open_workers, free_at_s, refs)
            taken = self._fitting(refs, free_bytes[worker.upstream_id])
            if not taken:
                open_workers.remove(worker)
                continue
            refs = [ref for ref in refs if ref not in taken]
            free_at_s[worker.upstream_id] = end_s
            free_bytes[worker.upstream_id] -= sum(ref.job.result_bytes for ref in taken)
            if worker.upstream_id in idle:
                idle.discard(worker.upstream_id)
                batches.append(self._take(worker, taken))
        return batches

    def _admitted(self, free_bytes: float, now_s: float) -> list[PieceRef]:
        """List the pieces in order, as far as the memory for whole jobs reaches.

        Two jobs that were half made could otherwise wait for each other's memory.
        """
        refs: list[PieceRef] = []
        for job in self._ordered(now_s):
            need_bytes = len(job.waiting) * job.result_bytes
            if need_bytes > free_bytes and not job.begun:
                # Later jobs with large results wait too, or large jobs never start.
                free_bytes = min(free_bytes, 0.0)
                if job.result_bytes >= _SMALL_RESULT_BYTES:
                    continue
            free_bytes -= need_bytes
            refs += [PieceRef(job=job, index=index) for index in job.waiting]
        return refs

    def _fitting(self, refs: Sequence[PieceRef], free_bytes: float) -> list[PieceRef]:
        """Return the first pieces that one upstream has memory for, up to a batch."""
        taken: list[PieceRef] = []
        for ref in refs:
            if len(taken) == self.limits.batch:
                break
            if ref.job.result_bytes <= free_bytes:
                free_bytes -= ref.job.result_bytes
                taken.append(ref)
        return taken

    def _first_to_end(
        self,
        workers: Sequence[Worker],
        free_at_s: dict[UpstreamId, float],
        refs: Sequence[PieceRef],
    ) -> tuple[Worker, float]:
        pieces = min(len(refs), self.limits.batch)

        def end_s(worker: Worker) -> float:
            work_s = self.call_s(pieces) * worker.slowness
            return free_at_s[worker.upstream_id] + work_s

        best = min(workers, key=end_s)
        return best, end_s(best)

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

    def _order_key(self, job: StageJob, now_s: float) -> tuple[bool, bool, float]:
        rest_s = self.call_s(len(job.waiting)) + job.tail_s
        late = now_s + rest_s > job.due_s
        start_by_s = job.due_s - job.tail_s
        return not job.begun, late, start_by_s + job.rank * _RANK_DELAY_S
