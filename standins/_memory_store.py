"""An in-memory key-value store whose faults tests control."""

from collections.abc import Awaitable, Callable, Iterable
from enum import Enum
from typing import TypeVar

import trio

from galenashift.model import (
    Absent,
    Changes,
    Entry,
    Failure,
    Lease,
    Listing,
    Reason,
    Written,
    not_run,
)

from ._key_values import KeyValues

_T = TypeVar("_T")


class StoreFault(Enum):
    """How a call fails."""

    NONE = "none"
    #: The call has no effect, and its caller knows this.
    UNAVAILABLE = "unavailable"
    #: The call takes effect, but its answer is lost.
    ANSWER_LOST = "answer-lost"
    #: The call has no effect, and its caller does not know this.
    REQUEST_LOST = "request-lost"
    #: The call takes effect when `MemoryKeyValueStore.apply_late_writes` is called, and
    #: its caller gets no answer.
    LATE = "late"


class MemoryKeyValueStore:
    """Implements `galenashift.model.KeyValueStore` for one client.

    :param values: State of the store. Clients with the same ``values`` share the
        store, and ``values.calls`` counts the calls of all of them.
    :param now: Clock of the store and of lease renewals, in seconds.
    :param before: Awaited with the kind of each call before it; returns the fault.
        It may sleep to delay the call.
    """

    def __init__(
        self,
        *,
        values: KeyValues | None = None,
        now: Callable[[], float] = trio.current_time,
        before: Callable[[str], Awaitable[StoreFault]] | None = None,
    ) -> None:
        self.values = values or KeyValues()
        self._now = now
        #: Awaited before each call; tests may replace it at any time.
        self.before = before or self._next_fault
        self._late_effects: list[Callable[[], object]] = []
        #: Faults of the next calls, in the order of the calls.
        self.faults: list[StoreFault] = []
        #: Fault of every call while ``faults`` is empty.
        self.fault = StoreFault.NONE
        #: Duration of every call, in seconds.
        self.delay_s = 0.0

    def inject(self, faults: Iterable[StoreFault]) -> None:
        """Queue faults for the next calls."""
        self.faults.extend(faults)

    def apply_late_writes(self) -> None:
        """Apply the writes with the fault ``LATE``, in the order of their calls."""
        late, self._late_effects = self._late_effects, []
        for effect in late:
            effect()

    async def get(self, *, key: str) -> Entry | Absent | Failure:
        """Read a key."""
        return await self._read(
            "get", lambda: self.values.get(key=key, now_s=self._now())
        )

    async def list(
        self, *, prefix: str, before: str | None = None, limit: int | None = None
    ) -> Listing | Failure:
        """Read the entries under a prefix; see `KeyValues.list`."""
        return await self._read(
            "list",
            lambda: self.values.list(
                prefix=prefix, before=before, limit=limit, now_s=self._now()
            ),
        )

    async def put(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int | None,
        lease_id: int | None = None,
    ) -> Written | Failure:
        """Write a key by compare-and-swap."""
        return await self._write(
            "put",
            lambda: self.values.put(
                key=key,
                value=value,
                expected_revision=expected_revision,
                lease_id=lease_id,
                now_s=self._now(),
            ),
        )

    async def delete(
        self, *, key: str, expected_revision: int | None
    ) -> Written | Failure:
        """Delete a key by compare-and-swap."""
        return await self._write(
            "delete",
            lambda: self.values.delete(
                key=key, expected_revision=expected_revision, now_s=self._now()
            ),
        )

    async def grant_lease(self, *, ttl_s: float) -> Lease | Failure:
        """Create a lease."""
        sent_at_s = self._now()
        lease_id = await self._write(
            "lease-grant",
            lambda: self.values.grant_lease(ttl_s=ttl_s, now_s=self._now()),
        )
        if isinstance(lease_id, Failure):
            return lease_id
        return Lease(lease_id=lease_id, ttl_s=ttl_s, renewed_at_s=sent_at_s)

    async def renew_lease(self, *, lease: Lease) -> Lease | Failure:
        """Renew a lease."""
        sent_at_s = self._now()
        written = await self._write(
            "lease-renew",
            lambda: self.values.renew_lease(lease_id=lease.lease_id, now_s=self._now()),
        )
        if isinstance(written, Failure):
            return written
        return Lease(lease_id=lease.lease_id, ttl_s=lease.ttl_s, renewed_at_s=sent_at_s)

    async def revoke_lease(self, *, lease: Lease) -> Written | Failure:
        """End a lease and delete its keys."""
        return await self._write(
            "lease-revoke",
            lambda: self.values.revoke_lease(
                lease_id=lease.lease_id, now_s=self._now()
            ),
        )

    async def watch(
        self, *, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | Failure:
        """Wait for changes under a prefix, polling every 10 ms."""
        end_s = self._now() + wait_s

        def read_changes() -> Changes:
            return self.values.changes(
                prefix=prefix, after_revision=after_revision, now_s=self._now()
            )

        changes = await self._read("watch", read_changes)
        while not (
            isinstance(changes, Failure)
            or changes.entries_by_key
            or changes.deleted_keys
            or self._now() >= end_s
        ):
            await trio.sleep(0.01)
            changes = read_changes()
        return changes

    async def _next_fault(self, kind: str) -> StoreFault:
        if self.delay_s:
            await trio.sleep(self.delay_s)
        return self.faults.pop(0) if self.faults else self.fault

    async def _read(self, kind: str, effect: Callable[[], _T]) -> _T | Failure:
        fault = await self.before(kind)
        self.values.calls[kind] += 1
        if fault is StoreFault.NONE:
            return effect()
        return not_run(reason=Reason.STORE_UNAVAILABLE, detail=f"{kind}: {fault.value}")

    async def _write(self, kind: str, effect: Callable[[], _T]) -> _T | Failure:
        fault = await self.before(kind)
        self.values.calls[kind] += 1
        if fault is StoreFault.LATE:
            self._late_effects.append(effect)
        if fault in (StoreFault.NONE, StoreFault.ANSWER_LOST):
            result = effect()
            if fault is StoreFault.NONE:
                return result
        reason = Reason.STORE_AMBIGUOUS
        if fault is StoreFault.UNAVAILABLE:
            reason = Reason.STORE_UNAVAILABLE
        return not_run(reason=reason, detail=f"{kind}: {fault.value}")
