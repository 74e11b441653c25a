"""Encoding and checked decoding of the frames that carry stage jobs between daemons."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from galenashift.model import FailureDomainName, Handle, OrganisationId, ServiceName
from galenashift.peers import CodecError, idl
from galenashift.platform import MAX_PIECES, Piece

from ._stage_job import JobId, StageJob
from ._stage_outcome import StageFailed, StageOutcome, StageProblem, StageSucceeded
from ._times import StageWait

_MAX_MILLISECONDS = 2**31 - 1


@dataclass(frozen=True, kw_only=True)
class JobRequest:
    """A job as a peer requests it."""

    #: Number of the job on its link.
    number: int
    service: ServiceName
    job: StageJob


def _to_milliseconds(duration_s: float) -> int:
    return max(0, min(int(duration_s * 1000), _MAX_MILLISECONDS))


def _require_integer(message: Any, name: str, *, maximum: int = 2**63) -> int:
    value = getattr(message, name)
    if not isinstance(value, int) or not -maximum <= value <= maximum:
        raise CodecError(f"{name} is {value!r:.50}")
    return value


def _require_text(message: Any, name: str) -> str:
    value = getattr(message, name)
    if not isinstance(value, str):
        raise CodecError(f"{name} is {value!r:.50}")
    return value


def decode_handles(values: Iterable[Any]) -> tuple[Handle, ...]:
    """Decode a list of handles.

    :raises CodecError: If one is not a text.
    """
    handles = tuple(values)
    if not all(isinstance(each, str) for each in handles):
        raise CodecError("a handle is not a text")
    return tuple(Handle(each) for each in handles)


def encode_job(number: int, service: ServiceName, job: StageJob, now_s: float) -> Any:
    """Encode a job.

    :param number: Number of the job on its link.
    :param now_s: Boot-time clock, in seconds.
    """
    piece = job.pieces[0]
    return idl.StageJob(
        job_id=number,
        stage_service=service,
        attempt_id=piece.attempt_id,
        stage=piece.stage,
        pieces=len(job.pieces),
        key=piece.key,
        reads_inputs=piece.inputs is not None,
        inputs=list(piece.inputs or ()),
        due_ms=int((job.due_s - now_s) * 1000),
        deadline_ms=_to_milliseconds(job.deadline_s - now_s),
        tail_ms=_to_milliseconds(job.tail_s),
        rank=job.rank,
        organisation=job.organisation_id,
        first=job.first,
        result_bytes=job.result_bytes,
        domain=job.domain,
    )


def decode_job(message: Any, *, link_name: str, now_s: float) -> JobRequest:
    """Decode a job.

    :param link_name: Name of the link, which makes the id of the job unique.
    :param now_s: Boot-time clock, in seconds.
    :raises CodecError: If a value is missing or out of range.
    """
    number = _require_integer(message, "job_id")
    count = _require_integer(message, "pieces", maximum=MAX_PIECES)
    if count < 1:
        raise CodecError(f"job {number} has {count} pieces")
    inputs = decode_handles(message.inputs or ())
    attempt_id = _require_text(message, "attempt_id")
    stage = _require_integer(message, "stage")
    pieces = tuple(
        Piece(
            attempt_id=attempt_id,
            stage=stage,
            index=index,
            key=message.key or "",
            inputs=inputs if message.reads_inputs else None,
        )
        for index in range(count)
    )
    domain = message.domain
    job = StageJob(
        job_id=JobId(f"{link_name}/{number}"),
        pieces=pieces,
        due_s=now_s + _require_integer(message, "due_ms") / 1000,
        deadline_s=now_s + _require_integer(message, "deadline_ms") / 1000,
        tail_s=_require_integer(message, "tail_ms") / 1000,
        rank=_require_integer(message, "rank"),
        organisation_id=OrganisationId(message.organisation or ""),
        first=bool(message.first),
        result_bytes=_require_integer(message, "result_bytes"),
        domain=None if domain is None else FailureDomainName(domain),
    )
    service = ServiceName(_require_text(message, "stage_service"))
    return JobRequest(number=number, service=service, job=job)


def encode_result(number: int, outcome: StageOutcome, wait: StageWait | None) -> Any:
    """Encode the outcome of a job.

    :param number: Number of the job on its link.
    :param wait: Expected wait of a new job at the service, if it is known.
    """
    waits = {}
    if wait is not None:
        waits = {
            "on_time_wait_ms": _to_milliseconds(wait.on_time_s),
            "late_wait_ms": _to_milliseconds(wait.late_s),
        }
    match outcome:
        case StageSucceeded(handles=handles):
            return idl.StageResult(job_id=number, handles=list(handles), **waits)
        case StageFailed(problem=problem, retry_after_s=retry_after_s):
            return idl.StageResult(
                job_id=number,
                handles=[],
                problem=problem.value,
                retry_after_ms=(
                    None if retry_after_s is None else _to_milliseconds(retry_after_s)
                ),
                **waits,
            )


def decode_result(message: Any, *, pieces: int) -> StageOutcome:
    """Decode the outcome of a job.

    :param pieces: Number of pieces of the job.
    :raises CodecError: If the problem is unknown, or a result is missing.
    """
    if message.problem is None:
        handles = decode_handles(message.handles or ())
        if len(handles) != pieces:
            raise CodecError(f"{len(handles)} results for {pieces} pieces")
        return StageSucceeded(handles=handles)
    try:
        problem = StageProblem(message.problem)
    except ValueError as error:
        raise CodecError(f"unknown problem {message.problem!r:.50}") from error
    retry_after_s = None
    if message.retry_after_ms is not None:
        retry_after_s = _require_integer(message, "retry_after_ms") / 1000
    return StageFailed(problem=problem, retry_after_s=retry_after_s)


def decode_wait(message: Any) -> StageWait | None:
    """Decode the expected wait of a result, or None if it has none.

    :raises CodecError: If it is incomplete.
    """
    if message.on_time_wait_ms is None and message.late_wait_ms is None:
        return None
    return StageWait(
        on_time_s=_require_integer(message, "on_time_wait_ms") / 1000,
        late_s=_require_integer(message, "late_wait_ms") / 1000,
    )
