"""Registration of this daemon in the store, and reads of the other registrations."""

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import trio

from galenashift.model import (
    DaemonId,
    Entry,
    Failure,
    FailureDomainName,
    Incarnation,
    KeyValueStore,
    Lease,
    Reason,
)

from ._authority import REGISTRATION_TTL_S, DaemonRegistration
from ._view import FleetView

_PREFIX = "/daemons/"
_RENEW_INTERVAL_S = 300.0
#: Time between reads of the changes, in seconds. 340 daemons together make 23 reads
#: a second.
READ_INTERVAL_S = 15.0
#: Time between reads of all registrations, in seconds. All are also read after each
#: failed read, as the store may have lost its change history. 340 of them are 78 KB.
_FULL_READ_INTERVAL_S = 300.0
_RETRY_INTERVAL_S = 2.0


def encode_registration(registration: DaemonRegistration) -> bytes:
    """Encode the value of a registration.

    :param registration: The registration.
    """
    fields = {
        "host": registration.host,
        "port": registration.port,
        "failure_domain": registration.failure_domain,
        "incarnation": registration.incarnation,
        "registered_at_s": registration.registered_at_s,
    }
    return json.dumps(fields).encode()


def decode_registration(entry: Entry) -> DaemonRegistration | None:
    """Decode a registration.

    :param entry: Entry under ``/daemons/``.
    :returns: None if the value is not a valid registration.
    """
    try:
        fields = json.loads(entry.value)
        return DaemonRegistration(
            daemon_id=DaemonId(entry.key.removeprefix(_PREFIX)),
            incarnation=Incarnation(int(fields["incarnation"])),
            host=str(fields["host"]),
            port=int(fields["port"]),
            failure_domain=FailureDomainName(str(fields["failure_domain"])),
            registered_at_s=float(fields["registered_at_s"]),
        )
    except (ValueError, TypeError, KeyError):
        return None


@dataclass(frozen=True, kw_only=True)
class _OwnKey:
    lease: Lease
    revision: int


class Registration:
    """Maintains the key ``/daemons/<id>`` and reads the registrations of all daemons.

    :param own_registration: This daemon's registration; it keeps its
        ``registered_at_s`` when the key is created again.
    :param store: The key-value service.
    :param view: Receives the registrations and renewals.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        own_registration: DaemonRegistration,
        store: KeyValueStore,
        view: FleetView,
        clock: Callable[[], float],
    ) -> None:
        self._own_registration = own_registration
        self._key = _PREFIX + own_registration.daemon_id
        self._store = store
        self._view = view
        self._clock = clock
        self._own_key: _OwnKey | None = None
        self._renewed_at_s = 0.0
        self._registrations_by_id: dict[DaemonId, DaemonRegistration] = {}
        #: Revision up to which the registrations were read; None to read all.
        self._read_revision: int | None = None
        self._full_read_at_s = 0.0

    async def run(self) -> None:
        """Register, renew and read until cancelled."""
        while True:
            done = await self.keep()
            await trio.sleep(READ_INTERVAL_S if done else _RETRY_INTERVAL_S)

    async def keep(self) -> bool:
        """Register or renew if due, and read the registrations.

        :returns: Whether the daemon is registered and the read succeeded.
        """
        due = self._clock() - self._renewed_at_s >= _RENEW_INTERVAL_S
        if self._own_key is not None and due:
            await self._renew(self._own_key)
        if self._own_key is None:
            await self._register()
        return await self.read() and self._own_key is not None

    async def read(self) -> bool:
        """Read changed registrations and update the view.

        :returns: Whether the store answered.
        """
        registrations_by_id = await self._read_registrations()
        if registrations_by_id is None:
            self._read_revision = None
            return False
        self._registrations_by_id = registrations_by_id
        stored = registrations_by_id.get(self._own_registration.daemon_id)
        if stored is None or stored.incarnation < self._own_registration.incarnation:
            self._own_key = None
        self._view.set_registrations(registrations_by_id=registrations_by_id)
        return True

    async def _read_registrations(self) -> dict[DaemonId, DaemonRegistration] | None:
        now_s = self._clock()
        if (
            self._read_revision is None
            or now_s - self._full_read_at_s >= _FULL_READ_INTERVAL_S
        ):
            listing = await self._store.list(prefix=_PREFIX)
            if isinstance(listing, Failure):
                return None
            self._full_read_at_s = now_s
            self._read_revision = listing.revision
            return _apply_changes({}, listing.entries_by_key, ())
        # A watch with a wait of 0 s returns the changes up to now.
        changes = await self._store.watch(
            prefix=_PREFIX, after_revision=self._read_revision, wait_s=0.0
        )
        if isinstance(changes, Failure):
            return None
        self._read_revision = changes.revision
        return _apply_changes(
            self._registrations_by_id, changes.entries_by_key, changes.deleted_keys
        )

    async def close(self) -> None:
        """Delete the registration at a graceful shutdown.

        The key is not deleted if another process has registered with the same id.
        """
        held, self._own_key = self._own_key, None
        if held is None:
            return
        await self._store.delete(key=self._key, expected_revision=held.revision)
        await self._store.revoke_lease(lease=held.lease)

    async def _register(self) -> None:
        lease = await self._store.grant_lease(ttl_s=REGISTRATION_TTL_S)
        if isinstance(lease, Failure):
            return
        written = await self._store.put(
            key=self._key,
            value=encode_registration(self._own_registration),
            expected_revision=None,
            lease_id=lease.lease_id,
        )
        if isinstance(written, Failure):
            await self._store.revoke_lease(lease=lease)
            return
        self._own_key = _OwnKey(lease=lease, revision=written.revision)
        self._record_renewal(lease)

    async def _renew(self, held: _OwnKey) -> None:
        lease = await self._store.renew_lease(lease=held.lease)
        if isinstance(lease, Failure):
            if lease.reason is Reason.STORE_CONFLICT:
                self._own_key = None
            return
        self._own_key = _OwnKey(lease=lease, revision=held.revision)
        self._record_renewal(lease)

    def _record_renewal(self, lease: Lease) -> None:
        self._renewed_at_s = lease.renewed_at_s
        self._view.record_renewal(renewed_at_s=lease.renewed_at_s)


def _apply_changes(
    registrations_by_id: Mapping[DaemonId, DaemonRegistration],
    entries_by_key: Mapping[str, Entry],
    deleted_keys: Iterable[str],
) -> dict[DaemonId, DaemonRegistration]:
    """Apply changes to the registrations; invalid values are left out."""
    changed = dict(registrations_by_id)
    for key in (*deleted_keys, *entries_by_key):
        changed.pop(DaemonId(key.removeprefix(_PREFIX)), None)
    for registration in map(decode_registration, entries_by_key.values()):
        if registration is not None:
            changed[registration.daemon_id] = registration
    return changed
