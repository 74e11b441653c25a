"""The stages of one request, made in the order in which they read each other."""

import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import trio

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

from ._stage_job import JobId, StageJob
from ._stage_outcome import StageFailed, StageMade, StageOutcome, StageProblem
from ._times import StageWait
from ._view import LARGE_RESULT_BYTES

_numbers = itertools.count(1)

#: Time between the end of a call and its answer, and for the next call, in seconds.
_LIFETIME_MARGIN_S = 0.3


#: Returns the expected wait at a stage service.
WaitOf = Callable[[ServiceName], StageWait]
#: Finds the failure domain that keeps most bytes, from bytes by address.
Locate = Callable[[Mapping[str, int]], FailureDomainName | None]


class StageMaker(Protocol):
    """Makes stages, here or at the daemon that gathers their pieces."""

    async def make(self, *, service: ServiceName, job: StageJob) -> StageOutcome:
        """Make the pieces of a job."""

    def release(self, service: ServiceName, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any more."""


@dataclass(frozen=True, kw_only=True)
class StagedRequest:
    """What the stages need to know about a request."""

    attempt_id: str
    piece_counts: tuple[int, ...]
    piece_key: str
    organisation_id: OrganisationId
    rank: int
    #: Boot-time clock by which the answer is on time, in seconds.
    due_s: float
    #: Boot-time clock after which the answer is useless, in seconds.
    deadline_s: float
    #: Expected time from the last stage to the first byte, in seconds.
    final_s: float
    #: Failure domain of the upstream that will probably read the results.
    domain: FailureDomainName | None


class StageRun:
    """Makes the stages of one request and frees their results."""

    def __init__(
        self,
        *,
        route: Route,
        config: RoutingConfig,
        request: StagedRequest,
        maker: StageMaker,
        locate: Locate,
        wait: WaitOf,
        clock: Callable[[], float],
    ) -> None:
        self._stages = route.stages
        self._config = config
        self._request = request
        self._maker = maker
        self._locate = locate
        self._wait = wait
        self._clock = clock
        self._ended_at_s = clock()
        self._handles_by_stage: dict[int, tuple[Handle, ...]] = {}
        self._failure: StageFailed | None = None

    @property
    def inputs(self) -> tuple[Handle, ...]:
        """Results of the stages that no other stage reads."""
        read = {index for stage in self._stages for index in stage.after}
        last = (index for index in range(len(self._stages)) if index not in read)
        return tuple(
            handle for index in last for handle in self._handles_by_stage.get(index, ())
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
        """Tell whether the stages cannot be made before the deadline.

        A request that can be on time waits for those before it only, another one for
        all.

        :param now_s: Boot-time clock, in seconds.
        """
        request = self._request
        if now_s + self._total_s(late=False) <= request.due_s:
            return None
        excess_s = max(
            now_s + self._total_s(late=True) - request.deadline_s,
            *(self._input_excess_s(index) for index in range(len(self._stages))),
        )
        if excess_s <= 0:
            return None
        return StageFailed(problem=StageProblem.LATE, retry_after_s=excess_s)

    def _input_excess_s(self, index: int) -> float:
        """Return how long a stage waits after the end of its inputs, in seconds."""
        stage = self._stages[index]
        if not stage.after or not self._pieces(index):
            return 0.0
        return self._wait(stage.service).late_s - self._lifetime_s(stage)

    def _lifetime_s(self, stage: StageSpec) -> float:
        """Return how long the results that a stage reads are kept, in seconds."""
        lifetimes_s = []
        for before in stage.after:
            service = self._stages[before].service
            details = self._config.services_by_name.get(service)
            if details is not None and details.pieces is not None:
                lifetimes_s.append(details.pieces.result_lifetime_s)
        return min(lifetimes_s, default=math.inf) - _LIFETIME_MARGIN_S

    def _total_s(self, *, late: bool) -> float:
        starts = range(len(self._stages))
        longest_s = max(
            self._step_s(index, late=late) + self._after_s(index, late=late)
            for index in starts
        )
        return longest_s + self._request.final_s

    async def make(self) -> StageFailed | None:
        """Make all stages; those that read no common stage run at the same time."""
        if not any(self._pieces(index) for index in range(len(self._stages))):
            return None
        self._failure = None
        done = [trio.Event() for _ in self._stages]
        async with trio.open_nursery() as nursery:
            for index in range(len(self._stages)):
                nursery.start_soon(self._make_stage, index, done, nursery.cancel_scope)
        return self._failure

    async def _make_stage(
        self, index: int, done: list[trio.Event], scope: trio.CancelScope
    ) -> None:
        stage = self._stages[index]
        for before in (*stage.after, *self._two_levels_above(index)):
            await done[before].wait()
        count = self._pieces(index)
        if count:
            outcome = await self._maker.make(
                service=stage.service, job=self._job(index, stage, count)
            )
            match outcome:
                case StageMade(handles=handles):
                    self._handles_by_stage[index] = handles
                    self._ended_at_s = self._clock()
                case StageFailed():
                    self._failure = self._failure or outcome
                    scope.cancel()
                    return
        done[index].set()
        self._release_read(done)

    def _job(self, index: int, stage: StageSpec, count: int) -> StageJob:
        request = self._request
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
            job_id=JobId(f"{request.attempt_id}/{next(_numbers)}"),
            pieces=pieces,
            due_s=request.due_s,
            deadline_s=min(
                request.deadline_s, self._ended_at_s + self._lifetime_s(stage)
            ),
            tail_s=self._after_s(index, late=False) + request.final_s,
            rank=request.rank,
            organisation_id=request.organisation_id,
            first=not self._handles_by_stage,
            result_bytes=stage.result_bytes,
            domain=self._domain(stage, count),
        )

    def _domain(self, stage: StageSpec, count: int) -> FailureDomainName | None:
        """Choose the failure domain of a stage by the bytes that it moves."""
        if not stage.after:
            large = stage.result_bytes >= LARGE_RESULT_BYTES
            return self._request.domain if large else None
        # Each piece reads all results of the stages before.
        size_by_address = self._bytes_by_address(stage.after)
        return self._locate(
            {address: size * count for address, size in size_by_address.items()}
        )

    def _two_levels_above(self, index: int) -> list[int]:
        """List the stages for which a stage that keeps memory waits.

        Large results that are made long before the others only hold memory that
        other requests need.
        """
        if self._stages[index].result_bytes < LARGE_RESULT_BYTES:
            return []
        level = self._level(index)
        return [
            number
            for number in range(len(self._stages))
            if self._pieces(number) and self._level(number) >= level + 2
        ]

    def _level(self, index: int) -> int:
        """Return the number of stages in a row that follow a stage."""
        readers = (
            self._level(number) + 1
            for number, stage in enumerate(self._stages)
            if index in stage.after
        )
        return max(readers, default=0)

    def _pieces(self, index: int) -> int:
        counts = self._request.piece_counts
        return counts[index] if index < len(counts) else 0

    def _after_s(self, index: int, *, late: bool) -> float:
        """Return the expected time of the stages that follow one, in seconds."""
        times_s = (
            self._step_s(number, late=late) + self._after_s(number, late=late)
            for number, stage in enumerate(self._stages)
            if index in stage.after
        )
        return max(times_s, default=0.0)

    def _step_s(self, index: int, *, late: bool) -> float:
        """Return the expected time of one stage with its wait, in seconds."""
        service = self._stages[index].service
        pieces = self._pieces(index)
        details = self._config.services_by_name.get(service)
        if details is None or details.pieces is None or pieces == 0:
            return 0.0
        wait = self._wait(service)
        wait_s = wait.late_s if late else wait.on_time_s
        return wait_s + details.pieces.call_s + pieces * details.pieces.piece_s

    def _release_read(self, done: list[trio.Event]) -> None:
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
            self._maker.release(service, handles)

    def release(self) -> None:
        """Free all results of the request."""
        for index, stage in enumerate(self._stages):
            self._release_stage(index, stage.service)


#: Failures after which the stages are made once more.
REPEATABLE_PROBLEMS = frozenset({StageProblem.INPUT_GONE})
