"""How a stage ended."""

from dataclasses import dataclass
from enum import Enum

from galenashift.model import Handle


class StageProblem(Enum):
    """Why a stage was not made."""

    #: The deadline cannot be met.
    LATE = "late"
    #: A result that the stage reads is gone.
    INPUT_GONE = "input-gone"
    #: No upstream made the pieces within the attempts.
    FAILED = "failed"
    #: The service has no upstream.
    NO_UPSTREAM = "no-upstream"
    #: The daemon that gathers the pieces cannot be reached.
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True)
class StageMade:
    """Results of a stage, in the order of its pieces."""

    handles: tuple[Handle, ...]


@dataclass(frozen=True, kw_only=True)
class StageFailed:
    """A stage without results."""

    problem: StageProblem
    #: Time after which a new attempt may be served, in seconds.
    retry_after_s: float | None = None


StageOutcome = StageMade | StageFailed
