"""Routing configuration, upstream registrations, request and response metadata."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ._ids import (
    ConfigVersion,
    FailureDomainName,
    OrganisationId,
    UpstreamId,
    VersionName,
)

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
Handle = NewType("Handle", str)

#: Priority of a request whose route and organisation set none; 0 is the highest.
DEFAULT_RANK = 5
#: Lower bound of `Route.silence_timeout_s`, in seconds.
_MIN_SILENCE_TIMEOUT_S = 2.0


class RequestKind(Enum):
    """Whether the requests of a route may be retried, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class StageSpec:
    """A stage whose pieces are executed before a request is sent to its upstream."""

    #: Service that executes the stage.
    service: ServiceName
    #: Indices of the stages whose results are inputs of this stage.
    after: tuple[int, ...]
    #: Estimated size of the result of one piece, in bytes.
    result_bytes: int


@dataclass(frozen=True, kw_only=True)
class Route:
    """How requests for one host and path prefix are handled."""

    name: RouteName
    #: Value of the Host header without a port, in lower case.
    host: str
    #: Path prefix that begins and ends with a slash.
    prefix: str
    kind: RequestKind
    #: Time limit for the complete answer, in seconds.
    timeout_s: float
    #: Latency target of an answer, in seconds.
    latency_goal_s: float
    #: Priority; 0 is the highest.
    rank: int
    #: Traffic weight of each service; a single service if traffic is not split.
    weight_by_service: Mapping[ServiceName, float]
    #: Maximum number of upstreams that one request is sent to.
    max_attempts: int
    stages: tuple[StageSpec, ...] = ()
    #: Whether requests need no API key.
    public: bool = False
    #: Whether requests list their prompt parts, so that an upstream with cached
    #: parts is preferred.
    prefix_cached: bool = False
    #: Whether an interrupted stream may resume on another upstream.
    resumable: bool = False
    #: Target for the longest gap between two events of a stream, in seconds.
    event_gap_goal_s: float = 0.0

    @property
    def silence_timeout_s(self) -> float:
        """Time without an event after which callers abandon a stream, in seconds."""
        return max(
            _MIN_SILENCE_TIMEOUT_S, 4 * self.latency_goal_s, 8 * self.event_gap_goal_s
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


@dataclass(frozen=True, kw_only=True)
class PieceLimits:
    """Capacity of one upstream of a stage service."""

    #: Maximum number of pieces in one call.
    batch: int
    #: Fixed execution time of a call, to which each piece adds, in seconds.
    call_overhead_s: float
    #: Estimated execution time of one piece, in seconds.
    piece_duration_s: float
    #: Memory for retained results, in bytes.
    result_bytes: float
    #: Time for which results are retained after a call, in seconds.
    result_lifetime_s: float

    @property
    def min_call_s(self) -> float:
        """Duration of a call with one piece, in seconds."""
        return self.call_overhead_s + self.piece_duration_s


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of interchangeable upstreams."""

    name: ServiceName
    #: Duration of the cold start of an upstream, in seconds.
    cold_s: float
    #: Rate limit of a cold upstream, in requests per second; 0 for no limit.
    cold_rate_per_s: float
    #: Maximum number of connections to one upstream, summed over all daemons.
    max_connections: int
    #: Set for services that execute stages.
    pieces: PieceLimits | None = None
    #: Concurrent requests of one upstream, if configured.
    slots: int | None = None
    #: Tokens of requests for which one upstream has memory, if configured.
    token_memory: float | None = None
    #: Version that gets its requests without an order, if configured.
    version: VersionName | None = None


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation and the priority of its requests."""

    organisation_id: OrganisationId
    #: Overrides the priority of the route; None to use that of the route.
    rank: int | None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Size limits and read timeouts of requests from callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class RoutingConfig:
    """One version of the operators' routing configuration."""

    version: ConfigVersion
    #: Routes by host, then by path prefix.
    routes_by_host: Mapping[str, Mapping[str, Route]]
    services_by_name: Mapping[ServiceName, Service]
    #: Organisations by API key; None if no request needs a key. If it is empty, no key
    #: is accepted.
    organisations_by_key: Mapping[str, Organisation] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def batched_services(self) -> frozenset[ServiceName]:
        """Services of stages, whose calls one daemon makes for all others."""
        return frozenset(
            name
            for name, service in self.services_by_name.items()
            if service.pieces is not None
        )

    def needs_key(self, route: Route) -> bool:
        """Whether requests of a route need an API key."""
        return self.organisations_by_key is not None and not route.public

    def find_organisation(self, api_key: str | None) -> Organisation | None:
        """Find the organisation that holds an API key.

        :param api_key: None or empty if a request has none, which no organisation
            holds even if the configuration lists an empty key.
        """
        if not api_key or self.organisations_by_key is None:
            return None
        return self.organisations_by_key.get(api_key)

    def find_route(self, *, host: str, path: str) -> Route | None:
        """Find the route with the longest matching path prefix.

        :param host: Value of the Host header, possibly with a port.
        :param path: Path, possibly with a query string.
        """
        routes_by_prefix = self.routes_by_host.get(host.partition(":")[0].lower())
        if routes_by_prefix is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class InstanceState(Enum):
    """Whether a registered upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True)
class RegisteredUpstream:
    """The registration of an upstream."""

    upstream_id: UpstreamId
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomainName
    state: InstanceState
    #: Number of requests that the upstream executes concurrently.
    slots: int
    #: Remaining time of the cold start at registration, in seconds.
    cold_left_s: float
    #: Start time of the upstream in Unix milliseconds, if registered.
    started_at_ms: int | None = None
    #: Version of the program that it runs, if registered.
    version: VersionName | None = None


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A segment of a prompt that requests may have in common."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestFields:
    """Request metadata from the caller's headers."""

    #: Unique for each attempt of a caller.
    attempt_id: str
    #: Time for which the caller waits for the answer, in seconds.
    wait_s: float | None
    api_key: str | None
    prompt_parts: tuple[PromptPart, ...]
    #: Number of pieces of each stage.
    piece_counts: tuple[int, ...]
    #: Input key of the pieces of stages that depend on no other stage.
    piece_key: str
    #: Id of the last event that the caller received of a stream that it resumes.
    last_event_id: str | None
    #: Most tokens of prompt and output together; 0 if the caller does not state them.
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class UpstreamLoad:
    """Load of an upstream, as reported in a response header."""

    running: int
    waiting: int
    slots: int
    #: How long work takes at present, as a ratio of the usual time; None if the
    #: upstream does not report it.
    slowness: float | None = None


@dataclass(frozen=True, kw_only=True)
class RateLimit:
    """The requests that an upstream accepts from all daemons together."""

    #: Requests per second.
    per_s: float


@dataclass(frozen=True, kw_only=True)
class Pause:
    """The time for which an upstream wants no requests from this daemon."""

    #: Seconds from the arrival of the answer.
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class UnreadableValue:
    """The value of a header that cannot be decoded."""

    #: What the upstream sent, shortened.
    text: str


#: What an answer states about the rate of requests; None if it states no limit.
StatedLimit = RateLimit | UnreadableValue | None
#: What a refusal states about later requests; None if it asks for no pause.
StatedPause = Pause | UnreadableValue | None


@dataclass(frozen=True, kw_only=True)
class AnswerFields:
    """Response metadata from an upstream's headers."""

    #: Attempt that is answered.
    attempt_id: str | None
    #: Whether the upstream reports that it did not execute the request.
    not_executed: bool
    load: UpstreamLoad | None
    #: Remaining time of the cold start, in seconds.
    cold_left_s: float | None
    #: Whether the answer has a signature of the upstream.
    signed: bool
    stated_limit: StatedLimit = None
    stated_pause: StatedPause = None
    #: Whether the upstream says that it is shutting down.
    draining: bool | UnreadableValue = False
    #: A load that cannot be decoded; `load` is None then.
    unreadable_load: UnreadableValue | None = None
