"""Schema of the configuration that operators plan and confirm."""

from collections.abc import Mapping
from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from galenashift.model import (
    FailureDomainName,
    OrganisationId,
    PipelineName,
    PoolName,
    RegionName,
    StageKind,
    StageName,
)

from ._units import Seconds

_NAME = Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")

Name = Annotated[str, _NAME]

#: Upper bound of the deadline of a pipeline, in seconds.
MAX_DEADLINE_S = 3600.0


class _Document(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class DomainState(Enum):
    """Whether a failure domain receives new requests."""

    IN = "in"
    OUT = "out"


class FailureDomainConfig(_Document):
    """A failure domain and whether it receives new requests."""

    #: Region that the failure domain belongs to.
    region: Annotated[RegionName, _NAME]
    #: ``in`` if the failure domain receives new requests; ``out`` while operators
    #: have taken it out of service.
    state: DomainState = DomainState.IN


class PoolConfig(_Document):
    """A group of interchangeable upstreams."""

    #: Whether the upstreams are model engines, which load models on order.
    engine: bool = False
    #: Model that engines of the pool must have loaded.
    model: Name | None = None
    #: Number of engines that must have the model loaded.
    replicas: Annotated[int, Field(ge=0, le=10_000)] = 0
    #: Whether the engines reject load orders with an outdated fencing number.
    checks_fencing: bool = False


class StageConfig(_Document):
    """One stage of a pipeline."""

    #: Name of the stage, unique within the pipeline.
    name: Annotated[StageName, _NAME]
    #: Pool that executes the stage.
    pool: Annotated[PoolName, _NAME]
    #: ``call`` for a single answer, ``generate`` for a stream of tokens.
    kind: StageKind = StageKind.CALL
    #: Operation that the upstream executes, for example ``encode``.
    operation: Name
    #: Whether the stage may be executed more than once.
    idempotent: bool = True
    #: Maximum number of generated tokens, for kind ``generate``.
    max_tokens: Annotated[int, Field(ge=1, le=100_000)] = 256
    #: Expected execution time, used until there are measurements.
    expected: Seconds = 0.05


class PipelineConfig(_Document):
    """A sequence of stages with a common deadline."""

    #: Maximum time from the arrival of a request to the end of its answer.
    deadline: Seconds
    #: Priority among pipelines; a lower number is more urgent.
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    #: Stages in order of execution.
    stages: Annotated[tuple[StageConfig, ...], Field(min_length=1, max_length=12)]

    @model_validator(mode="after")
    def _validate(self) -> "PipelineConfig":
        names = [stage.name for stage in self.stages]
        if len(set(names)) != len(names):
            raise ValueError("two stages have the same name")
        if not 0 < self.deadline <= MAX_DEADLINE_S:
            raise ValueError(
                f"deadline must exceed 0s and be at most {MAX_DEADLINE_S}s"
            )
        if sum(not stage.idempotent for stage in self.stages) > 1:
            raise ValueError("a pipeline may have at most one non-idempotent stage")
        expected_s = sum(stage.expected for stage in self.stages)
        if expected_s > self.deadline:
            raise ValueError(
                f"stages are expected to take {expected_s:g}s, "
                f"longer than the deadline of {self.deadline:g}s"
            )
        return self

    @property
    def action_stage(self) -> StageConfig | None:
        """The non-idempotent stage, if the pipeline has one."""
        return next((stage for stage in self.stages if not stage.idempotent), None)


class LimitsConfig(_Document):
    """Limits of an organisation across the whole fleet."""

    #: Sustained rate of requests per second.
    requests_per_second: Annotated[float, Field(gt=0, le=100_000)]
    #: Maximum number of requests that are admitted in a burst.
    burst: Annotated[int, Field(ge=1, le=1_000_000)]
    #: Sustained rate of generated tokens per second.
    tokens_per_second: Annotated[float, Field(gt=0, le=10_000_000)]
    #: Maximum number of requests in execution at the same time.
    concurrent_requests: Annotated[int, Field(ge=1, le=1_000_000)]

    @model_validator(mode="after")
    def _validate(self) -> "LimitsConfig":
        if self.burst < self.requests_per_second / 10:
            raise ValueError(
                "burst must be at least a tenth of requests_per_second; "
                "with a smaller burst the rate cannot be reached"
            )
        return self


class OrganisationConfig(_Document):
    """An organisation: its API key, its share of capacity and its limits."""

    #: Hexadecimal SHA-256 digest of the organisation's API key.
    key_digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    #: Share of contended capacity, relative to the weights of other organisations.
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    #: Limits of the organisation across the fleet.
    limits: LimitsConfig


class Configuration(_Document):
    """The complete configuration document, stored as one value."""

    #: Name of the deployment.
    deployment: Name
    #: Failure domains by name.
    failure_domains: Mapping[Annotated[FailureDomainName, _NAME], FailureDomainConfig]
    #: Pools by name.
    pools: Mapping[Annotated[PoolName, _NAME], PoolConfig]
    #: Pipelines by name.
    pipelines: Mapping[Annotated[PipelineName, _NAME], PipelineConfig]
    #: Organisations by identifier.
    organisations: Mapping[Annotated[OrganisationId, _NAME], OrganisationConfig]

    @model_validator(mode="after")
    def _validate(self) -> "Configuration":
        for pipeline_name, pipeline in self.pipelines.items():
            for stage in pipeline.stages:
                if stage.pool not in self.pools:
                    raise ValueError(
                        f"pipelines.{pipeline_name}: stage {stage.name!r} "
                        f"refers to the unknown pool {stage.pool!r}"
                    )
        digests = [each.key_digest for each in self.organisations.values()]
        if len(set(digests)) != len(digests):
            raise ValueError("organisations: two organisations have the same key")
        domains = self.failure_domains.values()
        if domains and all(each.state is DomainState.OUT for each in domains):
            raise ValueError("failure_domains: at least one must stay in")
        return self


class VersionedConfiguration(_Document):
    """The active configuration: the value of ``/config/current`` in the store."""

    #: Version number, incremented by each confirmed change.
    version: Annotated[int, Field(ge=1)]
    #: Plan whose confirmation created this version.
    plan_id: str
    #: Hexadecimal SHA-256 digest of the canonical JSON of ``document``.
    digest: str
    #: The configuration of this version.
    document: Configuration
