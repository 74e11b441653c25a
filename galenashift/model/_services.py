"""Interfaces that the pipeline executor depends on; the daemon injects them."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ._failure import Failure
from ._ids import (
    DaemonId,
    Fingerprint,
    Incarnation,
    OrganisationId,
    PoolName,
    UpstreamId,
)
from ._peer import ActionRecord, Existing, Granted, Permit, Recorded
from ._request import StageAnswer, StageCall, Token
from ._store import Lease
from ._upstream import LoadReport, Upstream, UpstreamState


@dataclass(frozen=True, kw_only=True)
class UpstreamStatus:
    """Snapshot of what this daemon knows about one upstream."""

    #: Entry in the instance list.
    upstream: Upstream
    #: State from load reports, events and this daemon's calls; ``COLD`` if unknown.
    state: UpstreamState
    #: Latest load report from any source, if there is one.
    report: LoadReport | None
    #: Calls of this daemon in flight.
    in_flight: int
    #: Calls that this daemon started after the time of the report.
    started_since_report: int
    #: Moving average of the duration of this daemon's calls, in seconds; None before
    #: the first.
    latency_s: float | None


class UpstreamDirectory(Protocol):
    """The upstreams of each pool and their state."""

    def statuses(self, *, pool: PoolName, now_s: float) -> tuple[UpstreamStatus, ...]:
        """List the upstreams of a pool."""

    def list_age_s(self, *, now_s: float) -> float:
        """Return the seconds since the instance list was last verified as current."""

    def list_failure_age_s(self, *, now_s: float) -> float:
        """Return the seconds since the latest failed poll of the list was sent."""


@dataclass(frozen=True, kw_only=True)
class StreamEnd:
    """End marker from the upstream: the stream is complete."""

    #: Tokens in the complete stream, including those before a resume.
    count: int


StreamItem = Token | StreamEnd | Failure


class UpstreamCalls(Protocol):
    """Calls to upstreams. Failures carry verdicts; the directory counts the calls."""

    async def call(
        self, *, upstream: Upstream, call: StageCall, timeout_s: float
    ) -> StageAnswer | Failure:
        """Send one call and wait for the complete answer."""

    def stream(
        self,
        *,
        upstream: Upstream,
        call: StageCall,
        forced_tokens: tuple[str, ...],
        timeout_s: float,
    ) -> AbstractAsyncContextManager[AsyncIterator[StreamItem]]:
        """Stream generated tokens; leaving the context cancels the generation.

        :param forced_tokens: Tokens that the caller already has; the first item
            yielded has index ``len(forced_tokens)``.
        :returns: Items in order of index. The last is a `StreamEnd` or a `Failure`.
            If the connection breaks or times out, the stream is resumed on the same
            upstream where possible.
        """


class ActionLog(Protocol):
    """The log of non-idempotent actions, which makes them execute at most once."""

    async def reserve(self, *, record: ActionRecord) -> Granted | Existing | Failure:
        """Record an attempt before any byte of it is sent."""

    async def finish(self, *, record: ActionRecord) -> Recorded | Failure:
        """Record the outcome of an attempt."""


class PermitSource(Protocol):
    """Permits for calls to upstreams in cold start, limited across the fleet."""

    async def acquire(self, *, upstream: Upstream) -> Permit | Failure:
        """Acquire a permit for one call, or fail with reason ``NO_PERMIT``."""

    async def release(self, *, permit: Permit) -> None:
        """Return a permit after its call has ended."""


@dataclass(frozen=True, kw_only=True)
class Admission:
    """Admission of a request within the limits of its organisation."""

    #: Organisation of the request.
    organisation: OrganisationId


class LimitGuard(Protocol):
    """Request and token limits of organisations, enforced across the fleet."""

    async def admit(self, *, organisation: OrganisationId) -> Admission | Failure:
        """Count a request, or reject it with reason ``LIMIT_REACHED``."""

    def count_tokens(self, *, organisation: OrganisationId, tokens: int) -> None:
        """Count generated tokens; they reduce what later requests may use."""

    def release(self, *, admission: Admission) -> None:
        """Record that an admitted request has ended."""


@dataclass(frozen=True, kw_only=True)
class SuspectClaim:
    """An exclusive claim to send one attempt of a suspect request."""

    #: Claimed request.
    fingerprint: Fingerprint
    #: Lease of the key in the store.
    lease: Lease
    #: Number of crashes that this daemon knew of before the attempt.
    crashes_before: int


@dataclass(frozen=True, kw_only=True)
class UpstreamReservation:
    """Reservation of an upstream for one suspect request."""

    #: Upstream that receives no other suspect request while it is reserved.
    upstream_id: UpstreamId
    #: Lease of the key in the store.
    lease: Lease


class CrashGuard(Protocol):
    """Tracks requests that may crash upstreams, and quarantines those that do."""

    def check(self, *, fingerprint: Fingerprint) -> Failure | None:
        """Fail with reason ``QUARANTINED`` if the request is quarantined."""

    def is_suspect(self, *, fingerprint: Fingerprint) -> bool:
        """Return whether a request was in flight on an upstream that crashed."""

    async def report_crash(self, *, upstream: Upstream) -> None:
        """Record a crash with the requests in flight, and notify all peers."""

    def started(self, *, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that a request was sent to an upstream."""

    def ended(self, *, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that a request is no longer in flight on an upstream."""

    async def claim_suspect(
        self, *, fingerprint: Fingerprint
    ) -> SuspectClaim | Failure:
        """Claim a suspect request in order to send one attempt.

        :returns: The claim, or a ``NOT_RUN`` failure. Its reason is ``QUARANTINED`` if
            another attempt holds the claim or has crashed its upstream.
        """

    async def release_suspect(self, *, claim: SuspectClaim) -> None:
        """Release the claim after an attempt that did not crash its upstream.

        Has no effect if the upstream crashed while the claim was held.
        """

    async def reserved_upstreams(self) -> frozenset[UpstreamId]:
        """Return the upstreams that are known to execute a suspect request."""

    async def reserve_upstream(
        self, *, upstream: Upstream, ttl_s: float
    ) -> UpstreamReservation | Failure:
        """Reserve an upstream, so that no other suspect request is sent to it.

        :param ttl_s: Seconds after which the reservation expires.
        """

    async def release_upstream(self, *, reservation: UpstreamReservation) -> None:
        """End a reservation."""


class Authority(Enum):
    """Whether a daemon may dispatch with its current configuration."""

    FRESH = "fresh"
    STORE_OUTAGE = "store-outage"
    ISOLATED = "isolated"


class Fleet(Protocol):
    """Membership of the fleet, and which daemon owns which key."""

    @property
    def self_id(self) -> DaemonId:
        """Identifier of this daemon."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of this daemon."""

    def authority(self, *, now_s: float) -> Authority:
        """Decide whether this daemon may dispatch now."""

    def owner_of(self, *, key: str, now_s: float) -> DaemonId:
        """Return the owner of a key: the live daemon that ranks first for it."""

    def ranked_for(self, *, key: str, count: int, now_s: float) -> tuple[DaemonId, ...]:
        """Return the live daemons that rank highest for a key, in order of rank."""

    def owners_changed_at_s(self, *, now_s: float) -> float:
        """Return the boot-time clock, in seconds, of the last ownership change."""

    def owned_since_s(self, *, key: str, now_s: float) -> float:
        """Return the boot-time clock, in seconds, since which this daemon owns a key.

        Valid only for a key that this daemon owns now. Another daemon may have owned
        the key before.
        """

    def alive(self, *, now_s: float) -> tuple[DaemonId, ...]:
        """Return the daemons that are alive, including this one."""

    def is_alive(
        self, *, daemon: DaemonId, incarnation: Incarnation, now_s: float
    ) -> bool:
        """Return whether the given incarnation of a daemon is alive."""
