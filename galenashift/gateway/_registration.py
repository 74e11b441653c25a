"""Keeps this daemon registered in the platform's store."""

from collections.abc import Callable
from typing import Protocol

import trio

from galenashift.model import DaemonId
from galenashift.platform import (
    Lease,
    PeerAddress,
    StoreFailure,
    StoreProblem,
    StoreRevision,
    daemon_key,
    encode_daemon,
)
from galenashift.telemetry import EventLog

from ._fleet_records import FleetRecords

#: Lifetime of the registration unless it is renewed, in seconds.
_LEASE_LIFETIME_S = 6.0
#: Time between renewals, each of which compares the registration with what the store
#: holds, in seconds.
RENEWAL_INTERVAL_S = 0.8
#: Pause after a failed call, in seconds.
_RETRY_PAUSE_S = 0.3


class RegistrationStore(Protocol):
    """Store of the registrations of all daemons."""

    async def grant_lease(self, *, lifetime_s: float) -> Lease | StoreFailure:
        """Create a lease."""

    async def renew_lease(self, lease: Lease) -> StoreFailure | None:
        """Renew a lease."""

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        """End a lease, which deletes its records."""

    async def put(
        self, *, key: str, value: bytes, lease: Lease
    ) -> StoreRevision | StoreFailure:
        """Write a record that is deleted when its lease ends."""


class Registration:
    """Registers this daemon for its peers, and writes the registration again if needed.

    It is compared with what the watch shows: a write of this process or of the one
    before it may be executed late and put the record under a lease that ends.

    :param records: Shows what the store holds.
    :param on_failure: Called with the failure of a renewal, or of a write without an
        answer.
    """

    def __init__(
        self,
        *,
        store: RegistrationStore,
        records: FleetRecords,
        daemon_id: DaemonId,
        peer: PeerAddress,
        on_failure: Callable[[StoreFailure], None],
        events: EventLog,
    ) -> None:
        self._store = store
        self._records = records
        self._key = daemon_key(daemon_id)
        self._value = encode_daemon(peer)
        self._on_failure = on_failure
        self._events = events
        self._lease: Lease | None = None
        #: Revision of the last answered write under the present lease.
        self._written: StoreRevision | None = None
        self._ended = False

    async def run(self) -> None:
        """Keep the registration until `end` is called."""
        while not self._ended:
            await self._reconcile()
            is_written = self._written is not None
            await trio.sleep(RENEWAL_INTERVAL_S if is_written else _RETRY_PAUSE_S)

    async def _reconcile(self) -> None:
        """Make one step towards a registration under a lease that is renewed."""
        if self._lease is None:
            await self._grant()
        if self._lease is None or self._ended:
            return
        if self._is_stored(self._lease):
            await self._renew(self._lease)
        else:
            await self._write(self._lease)

    def _is_stored(self, lease: Lease) -> bool:
        """Tell whether the store holds the registration, as far as the watch shows."""
        if self._written is None:
            return False
        if not self._records.has_shown(self._written):
            return True
        stored = self._records.find(self._key)
        is_stored = (
            stored is not None
            and stored.value == self._value
            and stored.lease_id in {None, lease.lease_id}
        )
        if not is_stored:
            self._events.warning(
                "registration-replaced",
                lease=lease,
                stored_lease=None if stored is None else stored.lease_id,
            )
        return is_stored

    async def _grant(self) -> None:
        lease = await self._store.grant_lease(lifetime_s=_LEASE_LIFETIME_S)
        if not isinstance(lease, StoreFailure):
            self._lease = lease

    async def _write(self, lease: Lease) -> None:
        # After a lost answer, the same lease is used again: if the lost write is
        # executed after this one, it changes nothing.
        written = await self._store.put(key=self._key, value=self._value, lease=lease)
        if isinstance(written, StoreFailure):
            self._events.warning("registration-failed", detail=written.detail)
            self._written = None
            if written.problem is StoreProblem.UNREACHABLE:
                self._on_failure(written)
            self._drop_ended_lease(lease, written)
            return
        self._written = written
        self._events.info("registered", lease=lease)

    async def _renew(self, lease: Lease) -> None:
        failure = await self._store.renew_lease(lease)
        if failure is None:
            return
        if failure.problem is not StoreProblem.PAST_ERA:
            self._on_failure(failure)
        self._drop_ended_lease(lease, failure)

    def _drop_ended_lease(self, lease: Lease, failure: StoreFailure) -> None:
        if failure.problem not in {StoreProblem.NOT_FOUND, StoreProblem.PAST_ERA}:
            return
        self._events.warning(
            "registration-lapsed", lease=lease, problem=failure.problem
        )
        self._lease = None
        self._written = None

    async def end(self) -> None:
        """Remove the registration before a shutdown.

        A write that is still on its way fails, as its lease has ended.
        """
        self._ended = True
        if self._lease is not None:
            failure = await self._store.end_lease(self._lease)
            if failure is not None:
                # The lease expires without renewals.
                self._events.info("lease-not-ended", detail=failure.detail)
