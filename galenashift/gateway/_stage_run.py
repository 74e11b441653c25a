"""Runs the stages of one request in the order of their dependencies."""

import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import trio

from galenashift.limits import RoomId, RoomRequest
from galenashift.model import (
    FailureDomainName,
    Handle,
    OrganisationId,
    Route,
    RoutingConfig,
    ServiceName,
    StageSpec,
)
from galenashift.platform import Piece, handle_address

from ._room_needs import stage_needs
from ._stage_job import JobId, StageJob
from ._stage_outcome import StageFailed, StageOutcome, StageProblem, StageSucceeded
from ._stage_rooms import LOCAL_OWNER, RoomReservation
from ._times import StageWait
from ._upstream_registry import LARGE_RESULT_BYTES

_job_numbers = itertools.count(1)

#: Margin for the answer of the call that produces a result and for the call that reads
#: it, in seconds.
_RESULT_LIFETIME_MARGIN_S = 0.3


#: Returns the expected queueing time at a stage service.
WaitEstimator = Callable[[ServiceName], StageWait]
#: Returns the failure domain that stores the most bytes, given the bytes by address.
DomainLocator = Callable[[Mapping[str, int]], FailureDomainName | None]


class StageExecutor(Protocol):
    """Executes stages, locally or at the batching daemon of their service."""

    async def execute(self, *, service: ServiceName, job: StageJob) -> StageOutcome:
        """Execute the pieces of a job."""

    def release(self, service: ServiceName, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any longer."""


@dataclass(frozen=True, kw_only=True)
class StagedRequest:
    """Properties of a request that its stages depend on."""

    attempt_id: str
    piece_counts: tuple[int, ...]
    piece_key: str
    organisation_id: OrganisationId
    rank: int
    #: Boot-time clock by which the answer is on time, in seconds.
    due_s: float
    #: Boot-time clock after which the answer is no longer needed, in seconds.
    deadline_s: float
    #: Expected time from the end of the last stage to the first byte, in seconds.
    first_byte_s: float
    #: Failure domain of the upstream that will probably read the results.
    domain: FailureDomainName | None


class StageRun:
    """Runs the stages of one request and frees their results."""

    def __init__(
        self,
        *,
        route: Route,
        config: RoutingConfig,
        request: StagedRequest,
        executor: StageExecutor,
        find_domain: DomainLocator,
        expected_wait: WaitEstimator,
        clock: Callable[[], float],
    ) -> None:
        self._stages = route.stages
        self._config = config
        self._request = request
        self._executor = executor
        self._find_domain = find_domain
        self._expected_wait = expected_wait
        self._clock = clock
        self._last_stage_ended_s = clock()
        self._handles_by_stage: dict[int, tuple[Handle, ...]] = {}
        #: Boot-time clock after which the results of a stage are gone, in seconds.
        self._expires_by_stage_s: dict[int, float] = {}
        self._failure: StageFailed | None = None
        #: Reserved memory, which is released with the results; None without any.
        self.reservation: RoomReservation | None = None

    @property
    def inputs(self) -> tuple[Handle, ...]:
        """Handles of the results that no other stage reads."""
        read = {index for stage in self._stages for index in stage.after}
        last = (index for index in range(len(self._stages)) if index not in read)
        return tuple(
            handle for index in last for handle in self._handles_by_stage.get(index, ())
        )

    def inputs_expired(self, *, now_s: float) -> bool:
        """Tell whether an upstream has dropped a result of a completed run by now.

        :param now_s: Boot-time clock, in seconds.
        """
        return any(
            self._expires_by_stage_s[index] <= now_s for index in self._handles_by_stage
        )

    def _bytes_by_address(self, stages: Iterable[int]) -> dict[str, int]:
        size_by_address: dict[str, int] = {}
        for index in stages:
            for handle in self._handles_by_stage.get(index, ()):
                address = handle_address(handle)
                size = size_by_address.get(address, 0)
                size_by_address[address] = size + self._stages[index].result_bytes
        return size_by_address

    def refusal(self, *, now_s: float) -> StageFailed | None:
        """Return a failure if the stages cannot be completed before the deadline.

        A request that can be on time is queued before the late jobs, so only the wait
        of jobs on time counts for it; a late request waits for all queued jobs.

        :param now_s: Boot-time clock, in seconds.
        """
        request = self._request
        if now_s + self._total_duration_s(late=False) <= request.due_s:
            return None
        excess_s = max(
            now_s + self._total_duration_s(late=True) - request.deadline_s,
            *(self._input_excess_s(index) for index in range(len(self._stages))),
        )
        if excess_s <= 0:
            return None
        return StageFailed(problem=StageProblem.LATE, retry_after_s=excess_s)

    def _input_excess_s(self, index: int) -> float:
        """Return by how much the wait of a stage exceeds the lifetime of its inputs.

        :returns: Seconds; negative if the stage starts in time.
        """
        stage = self._stages[index]
        if not stage.after or not self._piece_count(index):
            return 0.0
        return self._expected_wait(stage.service).late_s - self._input_lifetime_s(stage)

    def _input_lifetime_s(self, stage: StageSpec) -> float:
        """Return the time within which a stage must read its inputs, in seconds."""
        lifetimes_s = (self._lifetime_s(self._stages[before]) for before in stage.after)
        return min(lifetimes_s, default=math.inf) - _RESULT_LIFETIME_MARGIN_S

    def _lifetime_s(self, stage: StageSpec) -> float:
        """Return the time for which the results of a stage are stored, in seconds."""
        details = self._config.services_by_name.get(stage.service)
        if details is None or details.pieces is None:
            return math.inf
        return details.pieces.result_lifetime_s

    def _total_duration_s(self, *, late: bool) -> float:
        indices = range(len(self._stages))
        longest_s = max(
            self._stage_duration_s(index, late=late)
            + self._downstream_duration_s(index, late=late)
            for index in indices
        )
        return longest_s + self._request.first_byte_s

    async def run(self) -> StageFailed | None:
        """Run all stages; stages that do not depend on each other run concurrently."""
        if not any(self._piece_count(index) for index in range(len(self._stages))):
            return None
        self._failure = None
        self._last_stage_ended_s = self._clock()
        done = [trio.Event() for _ in self._stages]
        async with trio.open_nursery() as nursery:
            for index in range(len(self._stages)):
                nursery.start_soon(self._run_stage, index, done, nursery.cancel_scope)
        return self._failure

    async def _run_stage(
        self, index: int, done: list[trio.Event], scope: trio.CancelScope
    ) -> None:
        stage = self._stages[index]
        for before in self._prerequisites(index):
            await done[before].wait()
        count = self._piece_count(index)
        if count:
            match await self._execute(self._new_job(index, stage, count), index):
                case StageSucceeded(handles=handles):
                    now_s = self._clock()
                    self._handles_by_stage[index] = handles
                    self._expires_by_stage_s[index] = now_s + self._lifetime_s(stage)
                    self._last_stage_ended_s = now_s
                    if self.reservation is not None:
                        self.reservation.end_calls(index)
                case StageFailed() as failed:
                    self._failure = self._failure or failed
                    scope.cancel()
                    return
        done[index].set()
        self._release_consumed(done)
        if self.reservation is not None:
            self.reservation.flush()

    async def _execute(self, job: StageJob, index: int) -> StageOutcome:
        """Execute a stage, unless its calls could not end in time even at once."""
        if self._clock() + self._least_duration_s(index) > job.deadline_s:
            return StageFailed(problem=StageProblem.LATE)
        return await self._executor.execute(
            service=self._stages[index].service, job=job
        )

    def _new_job(self, index: int, stage: StageSpec, count: int) -> StageJob:
        request = self._request
        first = not self._handles_by_stage
        # The deadline of the first job is that of the request; its tail is counted
        # where it waits.
        later_s = 0.0 if first else self._least_downstream_s(index)
        inputs = tuple(
            handle
            for before in stage.after
            for handle in self._handles_by_stage.get(before, ())
        )
        pieces = tuple(
            Piece(
                attempt_id=request.attempt_id,
                stage=index,
                index=number,
                key=request.piece_key,
                inputs=inputs if stage.after else None,
            )
            for number in range(count)
        )
        return StageJob(
            job_id=JobId(f"{request.attempt_id}/{next(_job_numbers)}"),
            pieces=pieces,
            due_s=request.due_s,
            deadline_s=min(
                request.deadline_s - later_s,
                self._last_stage_ended_s + self._input_lifetime_s(stage),
            ),
            tail_s=self._downstream_duration_s(index, late=False)
            + request.first_byte_s,
            rank=request.rank,
            organisation_id=request.organisation_id,
            first=first,
            result_bytes=stage.result_bytes,
            domain=self._choose_domain(stage, count),
        )

    def _choose_domain(self, stage: StageSpec, count: int) -> FailureDomainName | None:
        """Choose the domain that minimises the traffic between failure domains."""
        if not stage.after:
            large = stage.result_bytes >= LARGE_RESULT_BYTES
            return self._request.domain if large else None
        # Each piece reads all results of the stages that its stage depends on.
        size_by_address = self._bytes_by_address(stage.after)
        return self._find_domain(
            {address: size * count for address, size in size_by_address.items()}
        )

    def _prerequisites(self, index: int) -> tuple[int, ...]:
        """List the stages that must finish before a stage starts."""
        return (*self._stages[index].after, *self._extra_prerequisites(index))

    def _extra_prerequisites(self, index: int) -> list[int]:
        """List the stages that must finish before a stage with large results starts.

        These are the stages that are at least two steps further from the end of the
        pipeline. Large results that are produced long before they are read occupy
        memory that other requests need.
        """
        if self._stages[index].result_bytes < LARGE_RESULT_BYTES:
            return []
        level = self._level(index)
        return [
            number
            for number in range(len(self._stages))
            if self._piece_count(number) and self._level(number) >= level + 2
        ]

    def _level(self, index: int) -> int:
        """Return the length of the longest chain of stages that follows a stage."""
        readers = (
            self._level(number) + 1
            for number, stage in enumerate(self._stages)
            if index in stage.after
        )
        return max(readers, default=0)

    def _piece_count(self, index: int) -> int:
        counts = self._request.piece_counts
        return counts[index] if index < len(counts) else 0

    def _downstream_duration_s(self, index: int, *, late: bool) -> float:
        """Return the expected duration of the stages that follow one, in seconds."""
        times_s = (
            self._stage_duration_s(number, late=late)
            + self._downstream_duration_s(number, late=late)
            for number, stage in enumerate(self._stages)
            if index in stage.after
        )
        return max(times_s, default=0.0)

    def _stage_duration_s(self, index: int, *, late: bool) -> float:
        """Return the expected duration of a stage with its wait, in seconds."""
        service = self._stages[index].service
        pieces = self._piece_count(index)
        details = self._config.services_by_name.get(service)
        if details is None or details.pieces is None or pieces == 0:
            return 0.0
        wait = self._expected_wait(service)
        wait_s = wait.late_s if late else wait.on_time_s
        return (
            wait_s
            + details.pieces.call_overhead_s
            + pieces * details.pieces.piece_duration_s
        )

    def _least_duration_s(self, index: int) -> float:
        """Return the duration of the shortest call of a stage, in seconds.

        Its pieces may be executed by several upstreams at the same time.
        """
        details = self._config.services_by_name.get(self._stages[index].service)
        if details is None or details.pieces is None or not self._piece_count(index):
            return 0.0
        return details.pieces.min_call_s

    def _least_downstream_s(self, index: int) -> float:
        """Return the time that the following stages need without waits, in seconds."""
        times_s = (
            self._least_duration_s(number) + self._least_downstream_s(number)
            for number, stage in enumerate(self._stages)
            if index in stage.after
        )
        return max(times_s, default=0.0)

    def _release_consumed(self, done: list[trio.Event]) -> None:
        for index, stage in enumerate(self._stages):
            readers = [
                number
                for number, other in enumerate(self._stages)
                if index in other.after
            ]
            if readers and all(done[number].is_set() for number in readers):
                self._release_stage(index, stage.service)

    def _release_stage(self, index: int, service: ServiceName) -> None:
        handles = self._handles_by_stage.pop(index, ())
        if handles:
            self._executor.release(service, handles)
        if self.reservation is not None:
            self.reservation.end_stage(index)

    def release(self) -> None:
        """Free all remaining results of the request, and its reserved memory."""
        if self.reservation is not None:
            self.reservation.release()
        for index, stage in enumerate(self._stages):
            self._release_stage(index, stage.service)

    def room_request(self, room_id: RoomId) -> RoomRequest:
        """Return the request for the memory of all stages."""
        stages = range(len(self._stages))
        return RoomRequest(
            room_id=room_id,
            owner=LOCAL_OWNER,
            organisation_id=self._request.organisation_id,
            rank=self._request.rank,
            due_s=self._request.due_s,
            deadline_s=self._request.deadline_s,
            work_s=self._total_duration_s(late=False),
            needs=stage_needs(
                stages=self._stages,
                piece_counts=[self._piece_count(index) for index in stages],
                services_by_name=self._config.services_by_name,
                prerequisites=self._prerequisites,
                first_byte_s=self._request.first_byte_s,
            ),
        )


#: Failures after which all stages are run once more.
RETRYABLE_PROBLEMS = frozenset({StageProblem.INPUT_GONE})
