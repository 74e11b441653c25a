"""Reserves upstreams, so that suspect requests are sent to different ones.

A crash makes all requests in flight on the upstream suspects. If the request that
caused it is sent to the same upstream as another suspect and crashes that one too, both
were in flight in both crashes. The cause could then be identified only by risking a
third upstream.
"""

import trio

from galenashift.model import (
    Absent,
    Entry,
    Failure,
    KeyValueStore,
    Lease,
    Reason,
    Upstream,
    UpstreamId,
    UpstreamReservation,
    not_run,
)

#: Time limit for listing or making a reservation, in seconds. A suspect for which no
#: upstream can be reserved in time is sent without a reservation.
RESERVATION_TIMEOUT_S = 0.5

_KEY_PREFIX = "/separations/"


class SuspectReservations:
    """Fleet-wide reservations of upstreams, each for one suspect.

    :param store: Holds one key for each reserved upstream.
    """

    def __init__(self, *, store: KeyValueStore) -> None:
        self._store = store

    async def reserved_upstreams(self) -> frozenset[UpstreamId]:
        """List the reserved upstreams; empty if the store does not answer in time."""
        found = None
        with trio.move_on_after(RESERVATION_TIMEOUT_S):
            found = await self._store.list(prefix=_KEY_PREFIX)
        if found is None or isinstance(found, Failure):
            return frozenset()
        return frozenset(
            UpstreamId(key.removeprefix(_KEY_PREFIX)) for key in found.entries_by_key
        )

    async def reserve(
        self, *, upstream: Upstream, owner: str, ttl_s: float
    ) -> UpstreamReservation | Failure:
        """Reserve an upstream for one suspect.

        :param owner: Value of the key, unique in the fleet.
        :param ttl_s: Seconds after which the reservation expires.
        :returns: A failure with verdict ``NOT_RUN`` if the upstream is reserved for
            another suspect, or if the store does not answer in time.
        """
        key = f"{_KEY_PREFIX}{upstream.upstream_id}"
        lease: Lease | Failure | None = None
        with trio.move_on_after(RESERVATION_TIMEOUT_S):
            lease = await self._store.grant_lease(ttl_s=ttl_s)
            if isinstance(lease, Failure):
                return lease
            if await self._create_key(key=key, owner=owner, lease=lease):
                return UpstreamReservation(
                    upstream_id=upstream.upstream_id, lease=lease
                )
        if isinstance(lease, Lease):
            await self._revoke_lease(lease)
        return not_run(
            reason=Reason.OVERLOADED,
            detail=f"upstream {upstream.upstream_id} could not be reserved",
        )

    async def end(self, *, reservation: UpstreamReservation) -> None:
        """Release a reservation; if the store fails, it ends with its lease."""
        await self._revoke_lease(reservation.lease)

    async def _create_key(self, *, key: str, owner: str, lease: Lease) -> bool:
        written = await self._store.put(
            key=key, value=owner.encode(), expected_revision=0, lease_id=lease.lease_id
        )
        if isinstance(written, Failure):
            if written.reason is not Reason.STORE_AMBIGUOUS:
                return False
            found: Entry | Absent | Failure = await self._store.get(key=key)
            return isinstance(found, Entry) and found.value == owner.encode()
        return True

    async def _revoke_lease(self, lease: Lease) -> None:
        with trio.move_on_after(RESERVATION_TIMEOUT_S, shield=True):
            await self._store.revoke_lease(lease=lease)
