"""Writes this daemon's reports to the store until it accepts them."""

from collections.abc import Callable, Collection, Iterable, Mapping
from random import Random
from typing import Protocol

import trio

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId
from galenashift.platform import (
    MAX_ENTRIES_PER_WRITE,
    Item,
    Lease,
    StoreFailure,
    StoreProblem,
    StoreRevision,
)
from galenashift.retries import CRASH_LIFETIME_S
from galenashift.telemetry import EventLog

from ._fleet_records import FleetRecords

#: Time in which reports that follow each other are gathered into one write, in seconds.
_GATHER_S = 0.05
#: Shortest and longest pause after a failed write, in seconds. All daemons may have
#: reports to write when the store returns.
_MIN_RETRY_PAUSE_S = 0.2
_MAX_RETRY_PAUSE_S = 1.0
#: Age up to which a lease is used for further records, in seconds.
_LEASE_REUSE_S = 60.0
#: Daemons that have a turn of their own to report; all others come after them.
_RANKED_DAEMONS = 20
#: Conflicts in a row after which a write depends on no revision. The watch shows the
#: present ones within two or three attempts; without it, nothing would be written.
_MAX_CONFLICTS = 8
#: Records of one write; each is an entry, and so is the revision that it depends on.
_BATCH = MAX_ENTRIES_PER_WRITE // 2
#: Records that wait to be written; further ones are dropped.
_MAX_PENDING = 512


def report_turn(*, key: str, daemon_id: DaemonId, daemons: Collection[DaemonId]) -> int:
    """Return how many daemons report on a key before this one.

    Daemons that learn the same report it one after the other, so that the report of the
    first one spares those of the others.
    """
    ranked = rank_daemons(key=key, daemons=daemons, count=_RANKED_DAEMONS)
    return ranked.index(daemon_id) if daemon_id in ranked else len(ranked)


class RecordStore(Protocol):
    """Store of the reports of all daemons."""

    async def grant_lease(self, *, lifetime_s: float) -> Lease | StoreFailure:
        """Create a lease."""

    async def put_all(
        self,
        value_by_key: Mapping[str, bytes],
        *,
        lease: Lease,
        revision_by_key: Mapping[str, int],
    ) -> StoreRevision | StoreFailure:
        """Write records that expire with a lease, if others have not changed them."""


class RecordWriter:
    """Queue of records on crashes of upstreams and on their limits.

    A write depends on the revisions that the watch has shown. If its answer is lost and
    it is executed after a later one, it changes nothing.

    :param records: Shows what the store holds.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        store: RecordStore,
        records: FleetRecords,
        events: EventLog,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._lease: Lease | None = None
        self._lease_granted_at_s = 0.0
        self._store = store
        self._records = records
        #: Conflicts since the last successful write.
        self._conflicts = 0
        self._events = events
        self._random = random
        self._value_by_key: dict[str, bytes] = {}
        self._has_pending = trio.Event()

    def enqueue(self, *, key: str, value: bytes, new_lease: bool = False) -> None:
        """Queue a record; it replaces one that waits under the same key.

        :param new_lease: Whether the record must last as long as all that other
            daemons have written before.
        """
        if new_lease:
            self._lease = None
        if key not in self._value_by_key and len(self._value_by_key) >= _MAX_PENDING:
            self._events.warning("record-dropped", key=key)
            return
        self._value_by_key[key] = value
        self._has_pending.set()

    async def run(self) -> None:
        """Write the queued records until cancelled."""
        while True:
            await self._has_pending.wait()
            await trio.sleep(_GATHER_S)
            failure = await self._write_some()
            if failure is not None:
                self._events.warning(
                    "records-not-written",
                    problem=failure.problem,
                    detail=failure.detail,
                    pending=len(self._value_by_key),
                )
                await trio.sleep(
                    self._random.uniform(_MIN_RETRY_PAUSE_S, _MAX_RETRY_PAUSE_S)
                )
            elif not self._value_by_key:
                self._has_pending = trio.Event()

    async def _write_some(self) -> StoreFailure | None:
        lease = await self._current_lease()
        if isinstance(lease, StoreFailure):
            return lease
        batch = self._take_batch(lease)
        if not batch:
            return None
        written = await self._store.put_all(
            batch, lease=lease, revision_by_key=self._expected_revisions(batch)
        )
        if isinstance(written, StoreFailure):
            self._record_failure(written)
            return written
        self._conflicts = 0
        self._events.info("records-written", records=len(batch), lease=lease)
        for key, value in batch.items():
            item = Item(key=key, value=value, revision=written, lease_id=lease.lease_id)
            self._records.record_written(item)
            self._drop(key, value)
        return None

    def _take_batch(self, lease: Lease) -> dict[str, bytes]:
        """Return the next records, without those that the store holds already.

        The answer to an earlier write of them was lost.
        """
        for key, value in list(self._value_by_key.items()):
            stored = self._records.find(key)
            if stored is not None and (stored.value, stored.lease_id) == (
                value,
                lease.lease_id,
            ):
                self._drop(key, value)
        keys = list(self._value_by_key)[:_BATCH]
        return {key: self._value_by_key[key] for key in keys}

    def _expected_revisions(self, keys: Iterable[str]) -> dict[str, int]:
        if self._conflicts >= _MAX_CONFLICTS:
            return {}
        return {key: self._records.revision_of(key) for key in keys}

    def _record_failure(self, failure: StoreFailure) -> None:
        match failure.problem:
            case StoreProblem.NOT_FOUND | StoreProblem.PAST_ERA:
                self._lease = None
            case StoreProblem.CONFLICT:
                self._conflicts += 1

    def _drop(self, key: str, value: bytes) -> None:
        """Remove a record from the queue unless another one has replaced it."""
        if self._value_by_key.get(key) == value:
            del self._value_by_key[key]

    async def _current_lease(self) -> Lease | StoreFailure:
        now_s = self._clock()
        if (
            self._lease is not None
            and now_s - self._lease_granted_at_s < _LEASE_REUSE_S
        ):
            return self._lease
        lease = await self._store.grant_lease(lifetime_s=CRASH_LIFETIME_S)
        if isinstance(lease, StoreFailure):
            return lease
        self._lease = lease
        self._lease_granted_at_s = now_s
        return lease
