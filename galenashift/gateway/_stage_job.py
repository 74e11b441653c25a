"""Jobs that wait for a stage service, and the calls that make their pieces."""

from dataclasses import dataclass, field
from typing import NewType

from galenashift.model import (
    FailureDomainName,
    Handle,
    OrganisationId,
    UpstreamId,
)
from galenashift.platform import Piece

JobId = NewType("JobId", str)


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
    #: Failure domain that saves the most bytes between domains, if it matters.
    domain: FailureDomainName | None = None
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
    domain: FailureDomainName
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
    """One piece of a job."""

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
