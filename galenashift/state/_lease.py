"""The lease under which a daemon writes segments."""

from collections.abc import Callable

from galenashift.model import Failure, KeyValueStore, Lease, Reason, not_run

from ._key import RETENTION_S

#: Time to live of a lease, in seconds. A lease is used for the first half of it and
#: never renewed, so a segment outlives its last write by at least the retention. This
#: also holds for a write that is delayed after the lease was obtained: no later write
#: can be in the segment, and its records are older by the same delay.
LEASE_TTL_S = 2 * RETENTION_S


class RetentionLease:
    """Provides leases that remain valid for at least the retention.

    :param store: The key-value service.
    :param clock: Boot-time clock in seconds.
    """

    def __init__(self, *, store: KeyValueStore, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._lease: Lease | None = None

    async def lease_id(self) -> int | Failure:
        """Return a lease for a write that is based on reads made before this call."""
        lease = self._lease
        if lease is None or self._clock() - lease.renewed_at_s >= RETENTION_S:
            granted = await self._store.grant_lease(ttl_s=LEASE_TTL_S)
            if isinstance(granted, Failure):
                detail = f"no lease granted for the action log: {granted.detail}"
                return not_run(reason=Reason.STORE_UNAVAILABLE, detail=detail)
            lease = self._lease = granted
        return lease.lease_id

    def discard(self) -> None:
        """Discard the lease, because it may have expired in the store."""
        self._lease = None
