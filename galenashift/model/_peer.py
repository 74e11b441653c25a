"""Messages between daemons, and the interface of peer calls."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ._failure import Failure
from ._ids import (
    AttemptId,
    ConfigVersion,
    DaemonId,
    FailureDomainName,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    OrganisationId,
    RequestId,
    UpstreamId,
)
from ._upstream import LoadReport


class ActionState(Enum):
    """State of the attempt at a non-idempotent action."""

    STARTED = "started"
    DONE = "done"
    RELEASED = "released"


@dataclass(frozen=True, kw_only=True)
class ActionRecord:
    """A record of the action log: one non-idempotent action."""

    #: Organisation that issued the key.
    organisation: OrganisationId
    #: The caller's idempotency key.
    key: IdempotencyKey
    #: Hexadecimal SHA-256 digest of the pipeline and the input.
    body_digest: str
    #: The only daemon that may send the action to an upstream.
    dispatcher: DaemonId
    #: Incarnation of the dispatcher.
    dispatcher_incarnation: Incarnation
    #: The only attempt that may be sent.
    attempt: AttemptId
    #: State of the attempt.
    state: ActionState
    #: Unix time of the reservation, in seconds.
    started_at_s: float
    #: JSON text of the answer; empty unless ``DONE``, or if it is too large.
    answer: str = ""


@dataclass(frozen=True, kw_only=True)
class Granted:
    """The reservation was written to the store; the dispatcher may send the action."""

    #: The stored record.
    record: ActionRecord


@dataclass(frozen=True, kw_only=True)
class Existing:
    """The action log already has a record of the key with another attempt."""

    #: The record of the other attempt.
    record: ActionRecord


@dataclass(frozen=True, kw_only=True)
class Recorded:
    """The outcome was written to the store."""


@dataclass(frozen=True, kw_only=True)
class Permit:
    """Permission for one call to an upstream in cold start."""

    #: Upstream that the permit applies to.
    upstream_id: UpstreamId
    #: Identifier assigned by the gatekeeper.
    permit_id: str
    #: Daemon that issued the permit.
    gatekeeper: DaemonId
    #: Boot-time clock of the holder, in seconds, by which the call must have started.
    start_before_s: float


@dataclass(frozen=True, kw_only=True)
class LimitDemand:
    """What a daemon expects to use of an organisation's limits."""

    #: Organisation whose limits are requested.
    organisation: OrganisationId
    #: Requests expected in the next grant period.
    requests: float
    #: Generated tokens expected in the next grant period.
    tokens: float
    #: Requests of the organisation that the requesting daemon is executing.
    running: int
    #: Requests that the daemon may execute concurrently until this demand is
    #: answered: under an unexpired grant, of whichever daemon, or under its fallback
    #: share while no granting daemon is reachable. None if the sender omits it.
    granted: int | None = None


@dataclass(frozen=True, kw_only=True)
class LimitGrant:
    """A share of an organisation's limits for one grant period."""

    #: Organisation whose limits are shared.
    organisation: OrganisationId
    #: Requests that the daemon may admit in the period.
    requests: float
    #: Tokens that the daemon may generate in the period.
    tokens: float
    #: Requests that the daemon may execute concurrently.
    concurrent: int
    #: Validity of the grant in seconds, counted from the sending of the demand.
    lifetime_s: float


class EventKind(Enum):
    """Kinds of event. Events are pushed to peers, so they precede load reports."""

    UPSTREAM_COLD = "upstream-cold"
    UPSTREAM_LEAVING = "upstream-leaving"
    UPSTREAM_CRASHED = "upstream-crashed"
    #: A configuration is about to be confirmed; sent before it is written.
    CONFIRM_PENDING = "confirm-pending"


@dataclass(frozen=True, kw_only=True)
class FleetEvent:
    """An event that one daemon observed and sends to its peers."""

    #: Identifier that is unique in the fleet, so that each event is applied once.
    event_id: str
    #: Kind of event.
    kind: EventKind
    #: Upstream that the event concerns.
    upstream_id: UpstreamId
    #: Incarnation of the upstream, 0 if unknown.
    incarnation: Incarnation
    #: Failure domain of the upstream.
    failure_domain: FailureDomainName
    #: Fingerprints of the requests in flight on a crashed upstream.
    fingerprints: tuple[Fingerprint, ...]
    #: Seconds since the event was observed.
    age_s: float
    #: For ``CONFIRM_PENDING``: version that is about to be confirmed.
    config_version: ConfigVersion = ConfigVersion(0)  # noqa: RUF009


@dataclass(frozen=True, kw_only=True)
class MemberState:
    """State of one daemon, as that daemon or another one reports it."""

    #: Daemon that the state describes.
    daemon_id: DaemonId
    #: Start time of the daemon's process, in Unix milliseconds.
    incarnation: Incarnation
    #: IP address of the peer listener.
    host: str
    #: TCP port of the peer listener.
    port: int
    #: Failure domain of the daemon.
    failure_domain: FailureDomainName
    #: Whether the daemon is shutting down.
    draining: bool
    #: Seconds since the described daemon itself published this state.
    heartbeat_age_s: float
    #: Seconds since the daemon last verified that its configuration is current.
    evidence_age_s: float
    #: Highest version that the daemon has adopted, or that was announced to it as
    #: about to be confirmed.
    highest_version: ConfigVersion = ConfigVersion(0)  # noqa: RUF009


@dataclass(frozen=True, kw_only=True)
class GossipMessage:
    """One direction of a gossip exchange, at most 2 KB when encoded."""

    #: Sending daemon.
    sender: DaemonId
    #: Configuration version that the sender has adopted, 0 for none.
    config_version: ConfigVersion
    #: Seconds since the sender last verified that this version is current.
    evidence_age_s: float
    #: Recent events, newest first.
    events: tuple[FleetEvent, ...]
    #: Member states: that of the sender, then the others, newest first.
    members: tuple[MemberState, ...]
    #: Load reports; here ``as_of_s`` holds the age of the report in seconds.
    reports: tuple[LoadReport, ...]


@dataclass(frozen=True, kw_only=True)
class EventField:
    """A named field of a request event."""

    #: Name of the field.
    name: str
    #: Value as text.
    value: str


@dataclass(frozen=True, kw_only=True)
class RequestEvent:
    """A log event of one request."""

    #: Unix time by the clock of the recording daemon, in seconds.
    time_s: float
    #: Severity, for example ``info``.
    level: str
    #: Kind of event in words joined by hyphens.
    name: str
    #: Other fields, in the order of the log line.
    fields: tuple[EventField, ...]


@dataclass(frozen=True, kw_only=True)
class RequestEvents:
    """The events of a request that one daemon still retains."""

    #: Events, oldest first; empty if the daemon does not know the request.
    events: tuple[RequestEvent, ...]


class PeerCalls(Protocol):
    """Calls to one other daemon; the peer server implements the same calls.

    Each method returns a `Failure` with reason ``PEER_UNAVAILABLE`` if no answer
    arrived in time. The peer may have executed such a call.
    """

    async def gossip(
        self, *, daemon: DaemonId, message: GossipMessage
    ) -> GossipMessage | Failure:
        """Exchange gossip with a peer."""

    async def fetch_config(self, *, daemon: DaemonId) -> bytes | Failure:
        """Fetch the versioned configuration of a peer as JSON text."""

    async def reserve(
        self, *, daemon: DaemonId, record: ActionRecord
    ) -> Granted | Existing | Failure:
        """Record an attempt in state ``STARTED`` at the owner of its bucket."""

    async def finish(
        self, *, daemon: DaemonId, record: ActionRecord
    ) -> Recorded | Failure:
        """Record ``DONE`` or ``RELEASED`` at the owner of the bucket."""

    async def acquire_permit(
        self, *, daemon: DaemonId, upstream_id: UpstreamId
    ) -> Permit | Failure:
        """Request a permit for a call to a cold upstream from its gatekeeper."""

    async def return_permit(
        self, *, daemon: DaemonId, permit: Permit
    ) -> Recorded | Failure:
        """Return a permit to its gatekeeper after the call has ended."""

    async def request_grant(
        self, *, daemon: DaemonId, demand: LimitDemand
    ) -> LimitGrant | Failure:
        """Request a share of an organisation's limits from the granting daemon."""

    async def push_event(
        self, *, daemon: DaemonId, event: FleetEvent
    ) -> Recorded | Failure:
        """Send an event to a peer without waiting for the next gossip."""

    async def fetch_events(
        self, *, daemon: DaemonId, request_id: RequestId
    ) -> RequestEvents | Failure:
        """Fetch the events that a peer recorded for a request."""
