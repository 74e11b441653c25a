"""Session lease: protects the gatekeeper roles of a daemon."""

from collections.abc import Callable

import trio

from galenashift.model import Failure, KeyValueStore, Lease, Reason

#: Time to live of the lease after a renewal, in seconds.
SESSION_TTL_S = 10.0
_RENEW_INTERVAL_S = 3.0
_RETRY_INTERVAL_S = 0.5


class SessionLease:
    """A short-lived lease that is renewed only while keys are held under it.

    :param store: The key-value service.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(self, *, store: KeyValueStore, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._lease: Lease | None = None
        self._held_keys: set[str] = set()
        self._renewal_needed = trio.Event()
        self._grant_lock = trio.Lock()

    @property
    def lease_id(self) -> int | None:
        """Identifier of the current lease, None if there is none."""
        return None if self._lease is None else self._lease.lease_id

    def is_safe(self, now_s: float) -> bool:
        """Tell whether the held keys cannot have expired.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the last renewal is younger than half the TTL.
        """
        lease = self._lease
        return lease is not None and 0 <= now_s - lease.renewed_at_s < lease.ttl_s / 2

    def holds(self, key: str) -> bool:
        """Tell whether a key was written under the current lease.

        :param key: Full key.
        """
        return key in self._held_keys

    async def ensure_lease(self) -> Lease | Failure:
        """Return a lease that is safe to write keys under, a new one if needed."""
        async with self._grant_lock:
            if self._lease is not None and self.is_safe(self._clock()):
                return self._lease
            if self._lease is not None:
                await self.renew()
                if self._lease is not None and self.is_safe(self._clock()):
                    return self._lease
            lease = await self._store.grant_lease(ttl_s=SESSION_TTL_S)
            if isinstance(lease, Lease):
                self._held_keys.clear()
                self._lease = lease
            return lease

    def add(self, *, key: str, lease_id: int) -> bool:
        """Record that a key has been written under the lease.

        :param key: Full key.
        :param lease_id: Lease under which the key was written.
        :returns: Whether this is still the current lease.
        """
        if self.lease_id != lease_id:
            return False
        self._held_keys.add(key)
        self._renewal_needed.set()
        return True

    def remove(self, *, key: str) -> None:
        """Record that a key is no longer held.

        :param key: Full key.
        """
        self._held_keys.discard(key)

    async def renew(self) -> None:
        """Renew the lease; if it has expired, clear it and all held keys."""
        lease = self._lease
        if lease is None:
            return
        renewed = await self._store.renew_lease(lease=lease)
        if self._lease is not lease:
            return
        if isinstance(renewed, Lease):
            self._lease = renewed
        elif renewed.reason is Reason.STORE_CONFLICT:
            self._clear()

    async def run(self) -> None:
        """Renew while keys are held, until cancelled."""
        while True:
            await self._renewal_needed.wait()
            while self._held_keys:
                await self.renew()
                safe = self.is_safe(self._clock())
                await trio.sleep(_RENEW_INTERVAL_S if safe else _RETRY_INTERVAL_S)
            self._renewal_needed = trio.Event()

    async def close(self) -> None:
        """Revoke the lease, which deletes all held keys."""
        lease = self._lease
        self._clear()
        if lease is not None:
            await self._store.revoke_lease(lease=lease)

    def _clear(self) -> None:
        self._lease = None
        self._held_keys.clear()
