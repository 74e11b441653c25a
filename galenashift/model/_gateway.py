"""Routes, tenants and upstreams as operators and the platform describe them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ._ids import ConfigVersion, FailureDomainName, OrganisationId, UpstreamId

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
Handle = NewType("Handle", str)

#: Rank of a request whose route and organisation give none; 0 is the highest.
DEFAULT_RANK = 5
#: Shortest silence after which callers abandon a stream, in seconds.
_MIN_PATIENCE_S = 2.0


class RequestKind(Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class StageSpec:
    """Work that is done in pieces before a request is sent to its upstream."""

    #: Service that makes the results.
    service: ServiceName
    #: Indices of the stages whose results this stage reads.
    after: tuple[int, ...]
    #: Approximate size of one result in bytes.
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
    #: Longest time until the final answer, in seconds.
    timeout_s: float
    #: Time within which an answer is on time, in seconds.
    goal_s: float
    #: 0 is the highest.
    rank: int
    #: Services with their weights; one for a route that is not split.
    weight_by_service: Mapping[ServiceName, float]
    #: Most upstreams that one request may be sent to.
    max_attempts: int
    stages: tuple[StageSpec, ...] = ()
    #: Whether requests need no API key.
    public: bool = False
    #: Whether requests describe their prompt, so that cached parts can be reused.
    prefix_cached: bool = False
    #: Whether a broken stream may continue at another upstream.
    resumable: bool = False
    #: Longest pause of a stream that is on time, in seconds.
    gap_s: float = 0.0

    @property
    def patience_s(self) -> float:
        """Time after which callers abandon a stream that is silent, in seconds."""
        return max(_MIN_PATIENCE_S, 4 * self.goal_s, 8 * self.gap_s)

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
    """What one upstream of a stage service bears."""

    #: Most pieces in one call.
    batch: int
    #: Working time of a call without its pieces, in seconds.
    call_s: float
    #: Approximate working time of one piece, in seconds.
    piece_s: float
    #: Memory for results, in bytes.
    result_bytes: float
    #: Time after a call in which its results are kept, in seconds.
    result_lifetime_s: float


@dataclass(frozen=True, kw_only=True)
class Service:
    """Upstreams that answer the same requests."""

    name: ServiceName
    #: Time after the start in which an upstream is cold, in seconds.
    cold_s: float
    #: Requests per second that a cold upstream bears; 0 for no limit.
    cold_rate_per_s: float
    #: Connections that one upstream accepts from all daemons.
    max_connections: int
    #: Set for services that make stage results.
    pieces: PieceLimits | None = None
    #: Requests that an upstream runs at once, if the service tells.
    slots: int | None = None


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer and its place among the others."""

    organisation_id: OrganisationId
    #: Takes precedence over the rank of the route.
    rank: int | None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class RoutingConfig:
    """One version of what operators have configured."""

    version: ConfigVersion
    #: Routes of a host by their prefix.
    routes_by_host: Mapping[str, Mapping[str, Route]]
    services_by_name: Mapping[ServiceName, Service]
    #: None if no request needs a key.
    organisations_by_key: Mapping[str, Organisation] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, *, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        :param host: Value of the Host header, possibly with a port.
        :param path: Path, possibly with a query.
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
    """Whether a registered upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True)
class RegisteredUpstream:
    """An upstream as its registration describes it."""

    upstream_id: UpstreamId
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomainName
    state: InstanceState
    #: Requests that run at once.
    slots: int
    #: Rest of the cold start when the registration was written, in seconds.
    cold_left_s: float
    #: Unix time of the start in milliseconds, if the upstream tells.
    born_ms: int | None = None


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestFields:
    """What a caller says about its request."""

    #: Differs between the attempts of a caller.
    attempt_id: str
    #: Time that the caller waits, in seconds.
    wait_s: float | None
    api_key: str | None
    prompt_parts: tuple[PromptPart, ...]
    #: Pieces of each stage.
    piece_counts: tuple[int, ...]
    #: Key of the pieces of stages that read no other stage.
    piece_key: str
    #: Event after which the caller resumes a stream.
    last_event_id: str | None


@dataclass(frozen=True, kw_only=True)
class UpstreamLoad:
    """What an upstream says about its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class AnswerFields:
    """What an upstream says about itself in an answer."""

    #: Attempt that the answer belongs to.
    attempt_id: str | None
    #: Whether the upstream states that it did not run the request.
    not_executed: bool
    load: UpstreamLoad | None
    #: Rest of the cold start, in seconds.
    cold_left_s: float | None
    #: Whether the answer bears the signature of an upstream.
    signed: bool
