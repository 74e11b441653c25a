"""Jobs queued for a stage service, and the calls that execute their pieces."""

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
    #: Boot-time clock after which the answer is no longer needed, in seconds.
    deadline_s: float
    #: Expected time from the end of this stage to the first byte, in seconds.
    tail_s: float
    rank: int
    organisation_id: OrganisationId
    #: Whether no stage of the request has been completed yet.
    first: bool
    #: Approximate size of one result, in bytes.
    result_bytes: int
    #: Failure domain in which the job causes the least traffic between domains; None if
    #: the traffic is negligible.
    domain: FailureDomainName | None = None
    #: Handles of the results, by piece index.
    handles_by_index: dict[int, Handle] = field(default_factory=dict)
    #: Indices of the pieces that are not part of a call yet.
    waiting: list[int] = field(default_factory=list)
    #: Number of attempts, by piece index.
    attempts_by_index: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.waiting = list(range(len(self.pieces)))

    @property
    def started(self) -> bool:
        """Whether a piece has been executed or is being executed."""
        return len(self.waiting) < len(self.pieces)

    @property
    def complete(self) -> bool:
        """Whether all pieces have been executed."""
        return len(self.handles_by_index) == len(self.pieces)


@dataclass(frozen=True, kw_only=True)
class Worker:
    """Snapshot of a stage upstream for planning."""

    upstream_id: UpstreamId
    domain: FailureDomainName
    #: Boot-time clock at which it is expected to be idle, in seconds.
    free_at_s: float
    #: Whether a call is in progress, or the upstream's rate limit is used up.
    busy: bool
    #: Ratio of the measured to the nominal duration of a call.
    slowness: float
    #: Memory available for results, in bytes.
    free_bytes: float


@dataclass(frozen=True, kw_only=True)
class PieceRef:
    """One piece of a job."""

    job: StageJob
    index: int

    @property
    def piece(self) -> Piece:
        """The piece to execute."""
        return self.job.pieces[self.index]


@dataclass(frozen=True, kw_only=True)
class Batch:
    """Pieces that one call sends to an upstream."""

    upstream_id: UpstreamId
    pieces: tuple[PieceRef, ...]


@dataclass(frozen=True, kw_only=True)
class InfeasibleJob:
    """A job that cannot meet its deadline."""

    job: StageJob
    #: Time after which a new attempt may succeed, in seconds.
    retry_after_s: float
