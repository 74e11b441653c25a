"""Factories for the tests of the gateway."""

from dataclasses import replace
from random import Random

import trio

from galenashift.gateway._rollouts import Rollouts
from galenashift.gateway._room_service import StageRoomService
from galenashift.gateway._stage_job import JobId, StageJob, Worker
from galenashift.gateway._stage_server import StageServer
from galenashift.gateway._upstream_limits import UpstreamLimiter
from galenashift.gateway._upstream_registry import KnownUpstream
from galenashift.gateway._view import PlatformView
from galenashift.limits import AnswerMemory, UpstreamRates
from galenashift.model import (
    AnswerFields,
    DaemonId,
    FailureDomainName,
    InstanceState,
    OrganisationId,
    Pause,
    PieceLimits,
    RateLimit,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
)
from galenashift.platform import Piece
from galenashift.telemetry import EventLog, Metrics

#: Calls of up to four pieces of 3 MB each, and memory for the results of six pieces.
LARGE = PieceLimits(
    batch=4,
    call_overhead_s=0.15,
    piece_duration_s=0.032,
    result_bytes=19.5e6,
    result_lifetime_s=4.0,
)
LARGE_RESULT = 3_000_000
_PLAIN_ANSWER = AnswerFields(
    attempt_id=None, not_executed=False, load=None, cold_left_s=None, signed=False
)


def new_job(
    name: str,
    *,
    pieces: int = 1,
    due_s: float = 1.0,
    deadline_s: float = 6.0,
    rank: int = 1,
    tail_s: float = 0.0,
    result_bytes: int = LARGE_RESULT,
    domain: str | None = None,
    first: bool = True,
) -> StageJob:
    return StageJob(
        job_id=JobId(name),
        pieces=tuple(
            Piece(attempt_id=name, stage=0, index=index, key="k", inputs=None)
            for index in range(pieces)
        ),
        due_s=due_s,
        deadline_s=deadline_s,
        tail_s=tail_s,
        rank=rank,
        organisation_id=OrganisationId("org"),
        first=first,
        result_bytes=result_bytes,
        domain=None if domain is None else FailureDomainName(domain),
    )


def new_worker(
    name: str,
    *,
    domain: str = "a",
    busy: bool = False,
    free_at_s: float = 0.0,
    slowness: float = 1.0,
    free_bytes: float = LARGE.result_bytes,
) -> Worker:
    return Worker(
        upstream_id=UpstreamId(name),
        domain=FailureDomainName(domain),
        free_at_s=free_at_s,
        busy=busy,
        slowness=slowness,
        free_bytes=free_bytes,
    )


def new_limiter(clock=lambda: 0.0, *, daemon: str = "d1") -> UpstreamLimiter:
    return UpstreamLimiter(
        rates=UpstreamRates(daemon_id=DaemonId(daemon), random=Random(1)),
        events=EventLog(level="error"),
        metrics=Metrics(),
        clock=clock,
    )


def new_rooms(view=None, clock=lambda: 0.0) -> StageRoomService:
    return StageRoomService(
        view=view or PlatformView(report=lambda name, fields: None),
        events=EventLog(level="error"),
        metrics=Metrics(),
        clock=clock,
    )


def new_rollouts(view: PlatformView, clock=lambda: 0.0) -> Rollouts:
    return Rollouts(
        view=view,
        is_cold=lambda upstream: False,
        is_loaded=lambda: True,
        events=EventLog(level="error"),
        metrics=Metrics(),
        clock=clock,
    )


def new_server(scheduler, rooms=None) -> StageServer:
    return StageServer(
        scheduler=scheduler,
        rooms=rooms or new_rooms(clock=trio.current_time),
        clock=trio.current_time,
    )


def new_memory(*, limit_bytes: int = 10_000_000) -> AnswerMemory:
    return AnswerMemory(limit_bytes=limit_bytes)


def plain_answer(**changes) -> AnswerFields:
    """Return the fields of an answer that states nothing but `changes`."""
    return replace(_PLAIN_ANSWER, **changes)


def limited_answer(per_s: float) -> AnswerFields:
    """Return the fields of an answer that states a limit."""
    return replace(_PLAIN_ANSWER, stated_limit=RateLimit(per_s=per_s))


def pausing_answer(duration_s: float) -> AnswerFields:
    """Return the fields of a refusal that asks for a pause."""
    return replace(
        _PLAIN_ANSWER, not_executed=True, stated_pause=Pause(duration_s=duration_s)
    )


def draining_answer() -> AnswerFields:
    """Return the fields of an answer of an upstream that is shutting down."""
    return replace(_PLAIN_ANSWER, draining=True)


def registration_at(port: int, *, name: str = "u1") -> RegisteredUpstream:
    """Return the registration of an upstream on loopback."""
    return RegisteredUpstream(
        upstream_id=UpstreamId(name),
        service=ServiceName("pool"),
        host="127.0.0.1",
        port=port,
        failure_domain=FailureDomainName("a"),
        state=InstanceState.READY,
        slots=4,
        cold_left_s=0.0,
    )


def new_upstream(
    name: str,
    *,
    service: str = "pool",
    domain: str = "a",
    slots: int = 6,
    cold_until_s: float = 0.0,
    state: InstanceState = InstanceState.READY,
) -> KnownUpstream:
    return KnownUpstream(
        registration=RegisteredUpstream(
            upstream_id=UpstreamId(name),
            service=ServiceName(service),
            host="127.0.0.1",
            port=1,
            failure_domain=FailureDomainName(domain),
            state=state,
            slots=slots,
            cold_left_s=0.0,
        ),
        received_at_s=0.0,
        cold_until_s=cold_until_s,
    )
