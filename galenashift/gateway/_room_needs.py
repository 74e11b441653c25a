"""How much memory a request needs for the results of its stages."""

import math
from collections.abc import Callable, Mapping, Sequence

from galenashift.limits import StageNeed
from galenashift.model import Service, ServiceName, StageSpec

#: Units in which a piece that waits for a call is counted; needs are whole numbers.
CALL_UNITS = 100
#: Expected wait for a call, as a ratio of the duration of a full call.
_WAIT_CALLS = 0.5


def calls_of(service: ServiceName) -> ServiceName:
    """Return the name under which the pieces that wait for calls are counted."""
    return ServiceName(f"{service}/calls")


def stage_needs(
    *,
    stages: Sequence[StageSpec],
    piece_counts: Sequence[int],
    services_by_name: Mapping[ServiceName, Service],
    prerequisites: Callable[[int], Sequence[int]],
    first_byte_s: float,
) -> tuple[StageNeed, ...]:
    """Return the need of memory of each stage, then the need of calls of each stage.

    The memory of a later stage is reserved from the start of the first one, but in use
    only from the start of its own call, and its pieces wait for calls only from the end
    of the stages before. Sizes are therefore reduced to the part of the time until
    their release in which they are in use: all requests together then use what is
    reserved. A stage without pieces needs nothing.

    :param piece_counts: Number of pieces of each stage.
    :param prerequisites: Returns the stages that must end before one starts.
    :param first_byte_s: Expected time from the last stage to the first event, which
        shows that the results have been read, in seconds.
    """
    times = _StageTimes(
        stages=stages,
        piece_counts=piece_counts,
        services_by_name=services_by_name,
        prerequisites=prerequisites,
        first_byte_s=first_byte_s,
    )
    indices = range(len(stages))
    memory = (
        StageNeed(
            service=stages[index].service,
            size_bytes=math.ceil(
                piece_counts[index]
                * stages[index].result_bytes
                * _use_ratio(times.call_start_s(index), times.read_s(index))
            ),
        )
        for index in indices
    )
    calls = (
        StageNeed(
            service=calls_of(stages[index].service),
            size_bytes=math.ceil(
                CALL_UNITS
                * piece_counts[index]
                * _use_ratio(times.ready_s(index), times.end_s(index))
            ),
        )
        for index in indices
    )
    return (*memory, *calls)


class _StageTimes:
    """Expected times of a request's stages, in seconds from the start of the first.

    The parameters are those of `stage_needs`.
    """

    def __init__(
        self,
        *,
        stages: Sequence[StageSpec],
        piece_counts: Sequence[int],
        services_by_name: Mapping[ServiceName, Service],
        prerequisites: Callable[[int], Sequence[int]],
        first_byte_s: float,
    ) -> None:
        self._stages = stages
        self._piece_counts = piece_counts
        self._services_by_name = services_by_name
        self._prerequisites = prerequisites
        self._ends_by_stage_s: dict[int, float] = {}
        self._total_s = max(map(self.end_s, range(len(stages)))) + first_byte_s

    def ready_s(self, index: int) -> float:
        """Return the time at which a stage has its inputs."""
        return max(map(self.end_s, self._prerequisites(index)), default=0.0)

    def call_start_s(self, index: int) -> float:
        """Return the time at which the call of a stage starts."""
        return self.end_s(index) - self._call_s(index)

    def end_s(self, index: int) -> float:
        """Return the time at which the call of a stage ends."""
        if index not in self._ends_by_stage_s:
            duration_s = (1 + _WAIT_CALLS) * self._call_s(index)
            self._ends_by_stage_s[index] = self.ready_s(index) + duration_s
        return self._ends_by_stage_s[index]

    def read_s(self, index: int) -> float:
        """Return the time at which the results of a stage have been read."""
        readers = (
            each for each, stage in enumerate(self._stages) if index in stage.after
        )
        return max(map(self.end_s, readers), default=self._total_s)

    def _call_s(self, index: int) -> float:
        if not self._piece_counts[index]:
            return 0.0
        return _full_call_s(self._stages[index], self._services_by_name)


def _full_call_s(
    stage: StageSpec, services_by_name: Mapping[ServiceName, Service]
) -> float:
    """Return the duration of a full call: while memory is short, calls are full."""
    details = services_by_name.get(stage.service)
    if details is None or details.pieces is None:
        return 0.0
    limits = details.pieces
    return limits.call_overhead_s + limits.batch * limits.piece_duration_s


def _use_ratio(start_s: float, read_s: float) -> float:
    """Return the part of the time until its release in which a stage holds results.

    :param start_s: Start of its call, in seconds from the start of the first stage.
    :param read_s: Time at which its results have been read, from the same start.
    """
    return (read_s - start_s) / read_s if read_s > 0 else 1.0
