"""Reports upstream crashes to the fleet and serialises attempts of suspect requests.

A suspect is a request that was in flight on an upstream when it crashed.
"""

from collections.abc import Callable

import trio

from galenashift.model import (
    DaemonId,
    Entry,
    EventKind,
    Failure,
    Fingerprint,
    Fleet,
    FleetEvent,
    Incarnation,
    KeyValueStore,
    PeerCalls,
    Reason,
    SuspectClaim,
    Upstream,
    UpstreamId,
    UpstreamReservation,
    boot_time_s,
    not_run,
)

from ._reservation import SuspectReservations
from ._suspects import SUSPECT_LIFETIME_S, SuspectTracker

#: Time limit for the peers to acknowledge a crash report, in seconds. It delays the
#: answer to the caller, who may then repeat the request at one of these peers.
PUSH_TIMEOUT_S = 0.25

_KEY_PREFIX = "/suspects/"


class FleetCrashGuard:
    """Implements `galenashift.model.CrashGuard` with fleet-wide state.

    :param incarnation_of: Returns the last known incarnation of an upstream.
    :param on_event: Receives the crash events of this daemon, for gossip and the
        upstream directory.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        peers: PeerCalls,
        store: KeyValueStore,
        incarnation_of: Callable[[UpstreamId], Incarnation],
        on_event: Callable[[FleetEvent], None],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._store = store
        self._incarnation_of = incarnation_of
        self._on_event = on_event
        self._clock = clock
        self._tracker = SuspectTracker()
        self._reservations = SuspectReservations(store=store)
        self._event_count = 0
        self._owner_count = 0

    def check(self, *, fingerprint: Fingerprint) -> Failure | None:
        """Return a failure with reason ``QUARANTINED`` for a quarantined request."""
        if self._tracker.is_quarantined(fingerprint=fingerprint, now_s=self._clock()):
            return _quarantined("it was in flight in repeated crashes of upstreams")
        return None

    def is_suspect(self, *, fingerprint: Fingerprint) -> bool:
        """Return whether a request was in flight on an upstream when it crashed."""
        return self._tracker.is_suspect(fingerprint=fingerprint, now_s=self._clock())

    def started(self, *, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that a request is in flight on an upstream."""
        self._tracker.started(fingerprint=fingerprint, upstream_id=upstream.upstream_id)

    def ended(self, *, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that a request is no longer in flight on an upstream."""
        self._tracker.ended(fingerprint=fingerprint, upstream_id=upstream.upstream_id)

    def apply_event(self, *, event: FleetEvent) -> None:
        """Apply an event from another daemon; only crash events have an effect."""
        if event.kind is not EventKind.UPSTREAM_CRASHED:
            return
        now_s = self._clock()
        self._tracker.record_loss(
            upstream_id=event.upstream_id,
            failure_domain=event.failure_domain,
            fingerprints=event.fingerprints,
            at_s=now_s - event.age_s,
            now_s=now_s,
        )

    async def report_crash(self, *, upstream: Upstream) -> None:
        """Record a crash and the requests that were in flight, and notify all peers.

        Returns when all live peers have acknowledged, or after `PUSH_TIMEOUT_S`.
        """
        now_s = self._clock()
        fingerprints = self._tracker.record_crash(upstream=upstream, now_s=now_s)
        self._event_count += 1
        event = FleetEvent(
            event_id=f"{self._fleet.self_id}.{self._fleet.incarnation}"
            f".c{self._event_count}",
            kind=EventKind.UPSTREAM_CRASHED,
            upstream_id=upstream.upstream_id,
            incarnation=self._incarnation_of(upstream.upstream_id),
            failure_domain=upstream.failure_domain,
            fingerprints=fingerprints,
            age_s=0.0,
        )
        self._on_event(event)
        with trio.move_on_after(PUSH_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for daemon in self._fleet.alive(now_s=now_s):
                    if daemon != self._fleet.self_id:
                        nursery.start_soon(self._push, daemon, event)

    async def claim_suspect(
        self, *, fingerprint: Fingerprint
    ) -> SuspectClaim | Failure:
        """Acquire the fleet-wide lock that allows one attempt of a suspect.

        :returns: A failure with verdict ``NOT_RUN`` if another attempt is running or
            has crashed its upstream, or if the store does not answer.
        """
        crashes_before = self._tracker.local_crashes
        lease = await self._store.grant_lease(ttl_s=SUSPECT_LIFETIME_S)
        if isinstance(lease, Failure):
            return _store_unavailable(lease)
        owner = self._new_owner()
        key = f"{_KEY_PREFIX}{fingerprint}"
        written = await self._store.put(
            key=key, value=owner.encode(), expected_revision=0, lease_id=lease.lease_id
        )
        if isinstance(written, Failure):
            refusal = await self._check_claim(key=key, owner=owner, failure=written)
            if refusal is not None:
                await self._store.revoke_lease(lease=lease)
                return refusal
        return SuspectClaim(
            fingerprint=fingerprint, lease=lease, crashes_before=crashes_before
        )

    async def release_suspect(self, *, claim: SuspectClaim) -> None:
        """Release the lock after an attempt, unless the attempt crashed its upstream.

        In that case, or if the store does not answer, the key remains until its lease
        expires.
        """
        now_s = self._clock()
        if self._tracker.crashed_locally(
            fingerprint=claim.fingerprint, after=claim.crashes_before
        ):
            return
        self._tracker.clear(fingerprint=claim.fingerprint, now_s=now_s)
        await self._store.revoke_lease(lease=claim.lease)

    async def reserved_upstreams(self) -> frozenset[UpstreamId]:
        """List the upstreams reserved for a suspect; empty if the store fails."""
        return await self._reservations.reserved_upstreams()

    async def reserve_upstream(
        self, *, upstream: Upstream, ttl_s: float
    ) -> UpstreamReservation | Failure:
        """Reserve an upstream for one suspect; other suspects avoid it."""
        return await self._reservations.reserve(
            upstream=upstream, owner=self._new_owner(), ttl_s=ttl_s
        )

    async def release_upstream(self, *, reservation: UpstreamReservation) -> None:
        """Release the reservation of an upstream."""
        await self._reservations.end(reservation=reservation)

    def _new_owner(self) -> str:
        self._owner_count += 1
        return f"{self._fleet.self_id}.{self._fleet.incarnation}.{self._owner_count}"

    async def _check_claim(
        self, *, key: str, owner: str, failure: Failure
    ) -> Failure | None:
        """Return why a failed put did not create the key; None if it did."""
        if failure.reason is Reason.STORE_UNAVAILABLE:
            return _store_unavailable(failure)
        if failure.reason is Reason.STORE_AMBIGUOUS:
            found = await self._store.get(key=key)
            if isinstance(found, Failure):
                return _store_unavailable(found)
            if isinstance(found, Entry) and found.value == owner.encode():
                return None
        return _quarantined("another attempt is running or has crashed its upstream")

    async def _push(self, daemon: DaemonId, event: FleetEvent) -> None:
        await self._peers.push_event(daemon=daemon, event=event)


def _quarantined(why: str) -> Failure:
    return not_run(
        reason=Reason.QUARANTINED, detail=f"the request is quarantined: {why}"
    )


def _store_unavailable(failure: Failure) -> Failure:
    return not_run(
        reason=Reason.STORE_UNAVAILABLE,
        detail=f"cannot lock a suspect request in the store: {failure.detail}",
    )
