"""Requests of callers, the stage calls they cause, and the answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ._ids import (
    ExchangeId,
    Fingerprint,
    IdempotencyKey,
    OrganisationId,
    PipelineName,
    RequestId,
    StageName,
    UpstreamId,
)

#: A decoded JSON object.
JsonObject = Mapping[str, Any]


class StageKind(Enum):
    """How an upstream answers the calls of a stage."""

    #: With one JSON document.
    CALL = "call"
    #: With a stream of tokens.
    GENERATE = "generate"


@dataclass(frozen=True, kw_only=True)
class PipelineRequest:
    """A request that has been authenticated and decoded."""

    #: Identifier that correlates the log lines of all daemons.
    request_id: RequestId
    #: Organisation of the caller.
    organisation: OrganisationId
    #: Pipeline to run.
    pipeline: PipelineName
    #: The caller's input object.
    input: JsonObject
    #: Whether to stream tokens to the caller as they are generated.
    stream: bool
    #: Digest of organisation, pipeline and input; the same for each retry.
    fingerprint: Fingerprint
    #: Boot-time clock, in seconds, at which the request arrived.
    arrived_at_s: float
    #: Boot-time clock, in seconds, at which the caller stops waiting.
    deadline_s: float
    #: The caller's idempotency key; set for a non-idempotent request.
    idempotency_key: IdempotencyKey | None = None
    #: Unix time, in seconds, at which the caller first issued the key.
    key_issued_at_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class StageCall:
    """One attempt to execute a stage on an upstream."""

    #: Identifier that the upstream repeats in its answer.
    exchange_id: ExchangeId
    #: Request that the stage belongs to.
    request_id: RequestId
    #: Stage of the pipeline.
    stage: StageName
    #: HTTP path at the upstream, for example ``/v1/call``.
    path: str
    #: JSON request body.
    body: JsonObject
    #: Priority, for engines that support one; a lower number is more urgent.
    priority: int = 0
    #: Sent to the upstream for a non-idempotent stage.
    idempotency_key: IdempotencyKey | None = None


@dataclass(frozen=True, kw_only=True)
class StageAnswer:
    """The complete answer of an upstream to one call."""

    #: Upstream that executed the call.
    upstream_id: UpstreamId
    #: Decoded JSON answer; ``{"tokens": [...]}`` for a generating stage.
    body: JsonObject
    #: Seconds from the first byte sent to the end of the answer.
    duration_s: float
    #: Number of generated tokens.
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Token:
    """One token of a generating stage."""

    #: Position in the stream, from 0.
    index: int
    #: Text of the token.
    text: str


@dataclass(frozen=True, kw_only=True)
class PipelineAnswer:
    """The complete answer to a caller's request."""

    #: Request that is answered.
    request_id: RequestId
    #: Answer of the last stage.
    body: JsonObject
    #: Whether this is the recorded answer of an earlier attempt.
    replayed: bool = False
    #: Answers by stage, for request explanations and cost accounting.
    answers_by_stage: Mapping[StageName, StageAnswer] = field(default_factory=dict)
