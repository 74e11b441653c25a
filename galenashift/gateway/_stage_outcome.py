"""Outcomes of a stage."""

from dataclasses import dataclass
from enum import Enum

from galenashift.model import Handle


class StageProblem(Enum):
    """Why a stage failed."""

    #: The deadline cannot be met.
    LATE = "late"
    #: The memory for the results would be free too late; no stage has started.
    NO_ROOM = "no-room"
    #: A result that the stage reads is no longer available.
    INPUT_GONE = "input-gone"
    #: A piece failed in all its attempts.
    FAILED = "failed"
    #: The service is not configured as a stage service.
    NO_UPSTREAM = "no-upstream"
    #: The batching daemon cannot be reached.
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True)
class StageSucceeded:
    """Results of a stage, in the order of its pieces."""

    handles: tuple[Handle, ...]


@dataclass(frozen=True, kw_only=True)
class StageFailed:
    """A stage that failed."""

    problem: StageProblem
    #: Time after which a new attempt may succeed, in seconds.
    retry_after_s: float | None = None


StageOutcome = StageSucceeded | StageFailed
