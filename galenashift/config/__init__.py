"""Settings and configuration: schema, units, digest and plans."""

from ._digest import canonical_json, configuration_digest
from ._schema import (
    MAX_DEADLINE_S,
    Configuration,
    DomainState,
    FailureDomainConfig,
    LimitsConfig,
    Name,
    OrganisationConfig,
    PipelineConfig,
    PoolConfig,
    StageConfig,
    VersionedConfiguration,
)
from ._units import Seconds, parse_duration

__all__ = [
    "MAX_DEADLINE_S",
    "Configuration",
    "DomainState",
    "FailureDomainConfig",
    "LimitsConfig",
    "Name",
    "OrganisationConfig",
    "PipelineConfig",
    "PoolConfig",
    "Seconds",
    "StageConfig",
    "VersionedConfiguration",
    "canonical_json",
    "configuration_digest",
    "parse_duration",
]
