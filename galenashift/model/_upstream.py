"""Entries of the instance list and load reports of upstreams."""

from dataclasses import dataclass
from enum import Enum

from ._ids import FailureDomainName, Incarnation, PoolName, UpstreamId


class UpstreamState(Enum):
    """Readiness of an upstream for new calls."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    GONE = "gone"
    SUSPECT = "suspect"


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """One entry of the platform's instance list."""

    #: Identifier that is unique within the deployment.
    upstream_id: UpstreamId
    #: Pool that the upstream serves.
    pool: PoolName
    #: Failure domain of the upstream's instance.
    failure_domain: FailureDomainName
    #: IP address.
    host: str
    #: TCP port of the HTTP interface.
    port: int
    #: Whether the instance list marks the instance as shutting down.
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The state and load that an upstream reports."""

    #: The reporting upstream.
    upstream_id: UpstreamId
    #: Start counter of the upstream's process; differs after each restart.
    incarnation: Incarnation
    #: ``COLD``, ``WARM`` or ``LEAVING``.
    state: UpstreamState
    #: Number of calls in execution.
    running: int
    #: Number of accepted calls that wait for execution.
    queued: int
    #: Calls that a warm upstream executes concurrently.
    slots: int
    #: Concurrent calls that the upstream can handle in its present state.
    bears: int
    #: Boot-time clock of this daemon, in seconds, at which the report was current.
    as_of_s: float
