"""The state of the key-value service stand-in, without I/O."""

import heapq
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from galenashift.model import (
    Absent,
    Changes,
    Entry,
    Failure,
    Listing,
    Reason,
    Written,
    not_run,
)

from ._control import encode_bytes

MAX_VALUE_BYTES = 1_000_000


@dataclass
class _LeaseState:
    ttl_s: float
    expires_at_s: float
    keys: set[str] = field(default_factory=set)


class KeyValues:
    """Entries, leases, deletions and a record of all writes.

    Every operation takes the current time and first ends the expired leases.
    """

    def __init__(self) -> None:
        self.revision = 0
        #: Number of calls by kind; a watch counts once, however long it waits.
        self.calls: Counter[str] = Counter()
        #: Whether the record contains the values of writes.
        self.keep_values = True
        self._entries_by_key: dict[str, Entry] = {}
        self._deleted_at_by_key: dict[str, int] = {}
        self._leases_by_id: dict[int, _LeaseState] = {}
        self._last_lease_id = 0
        self._writes_by_key: dict[str, list[dict[str, Any]]] = {}

    def get(self, *, key: str, now_s: float) -> Entry | Absent:
        """Read one key."""
        self.expire(now_s=now_s)
        return self._entries_by_key.get(key, Absent(key=key))

    def list(
        self,
        *,
        prefix: str,
        now_s: float,
        before: str | None = None,
        limit: int | None = None,
    ) -> Listing:
        """Read the entries under a prefix.

        :param before: Only keys that sort before this one.
        :param limit: Only this number of the last keys.
        """
        self.expire(now_s=now_s)
        entries_by_key = self._entries_after(prefix, -1)
        keys = [key for key in entries_by_key if before is None or key < before]
        if limit is not None:
            keys = heapq.nlargest(limit, keys)
        return Listing(
            entries_by_key={key: entries_by_key[key] for key in keys},
            revision=self.revision,
        )

    def put(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int | None,
        lease_id: int | None,
        now_s: float,
    ) -> Written | Failure:
        """Write a key by compare-and-swap."""
        self.expire(now_s=now_s)
        if len(value) > MAX_VALUE_BYTES:
            detail = f"{key}: {len(value)} bytes, at most {MAX_VALUE_BYTES} are stored"
            return not_run(reason=Reason.TOO_LARGE, detail=detail)
        if failure := self._conflict(key, expected_revision):
            return failure
        if lease_id is not None and lease_id not in self._leases_by_id:
            return _conflict(f"lease {lease_id} has expired")
        self._detach_from_lease(key)
        if lease_id is not None:
            self._leases_by_id[lease_id].keys.add(key)
        self.revision += 1
        self._deleted_at_by_key.pop(key, None)
        self._entries_by_key[key] = Entry(key=key, value=value, revision=self.revision)
        self._record_write(key, value)
        return Written(revision=self.revision)

    def delete(
        self, *, key: str, expected_revision: int | None, now_s: float
    ) -> Written | Failure:
        """Delete a key by compare-and-swap."""
        self.expire(now_s=now_s)
        if failure := self._conflict(key, expected_revision):
            return failure
        if key in self._entries_by_key:
            self._remove(key)
        return Written(revision=self.revision)

    def grant_lease(self, *, ttl_s: float, now_s: float) -> int:
        """Create a lease and return its identifier."""
        self.expire(now_s=now_s)
        self._last_lease_id += 1
        lease = _LeaseState(ttl_s=ttl_s, expires_at_s=now_s + ttl_s)
        self._leases_by_id[self._last_lease_id] = lease
        return self._last_lease_id

    def renew_lease(self, *, lease_id: int, now_s: float) -> Written | Failure:
        """Renew a lease."""
        self.expire(now_s=now_s)
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return _conflict(f"lease {lease_id} has expired")
        lease.expires_at_s = now_s + lease.ttl_s
        return Written(revision=self.revision)

    def revoke_lease(self, *, lease_id: int, now_s: float) -> Written | Failure:
        """End a lease and delete its keys."""
        self.expire(now_s=now_s)
        if lease_id not in self._leases_by_id:
            return _conflict(f"lease {lease_id} has expired")
        self._end_lease(lease_id)
        return Written(revision=self.revision)

    def changes(self, *, prefix: str, after_revision: int, now_s: float) -> Changes:
        """Return the changes under a prefix since a revision."""
        self.expire(now_s=now_s)
        return Changes(
            entries_by_key=self._entries_after(prefix, after_revision),
            deleted_keys=tuple(
                key
                for key, revision in self._deleted_at_by_key.items()
                if key.startswith(prefix) and revision > after_revision
            ),
            revision=self.revision,
        )

    def expire(self, *, now_s: float) -> None:
        """End the expired leases."""
        for lease_id, lease in tuple(self._leases_by_id.items()):
            if lease.expires_at_s <= now_s:
                self._end_lease(lease_id)

    def next_expiry_s(self) -> float:
        """Return the time at which the next lease expires; infinity without leases."""
        expiries = (lease.expires_at_s for lease in self._leases_by_id.values())
        return min(expiries, default=float("inf"))

    def record(self) -> Mapping[str, Any]:
        """Return all writes by key and the number of calls by kind."""
        return {"calls": dict(self.calls), "writes_by_key": self._writes_by_key}

    def _entries_after(self, prefix: str, revision: int) -> dict[str, Entry]:
        return {
            key: entry
            for key, entry in self._entries_by_key.items()
            if key.startswith(prefix) and entry.revision > revision
        }

    def _conflict(self, key: str, expected_revision: int | None) -> Failure | None:
        entry = self._entries_by_key.get(key)
        current_revision = entry.revision if entry else 0
        if expected_revision is None or expected_revision == current_revision:
            return None
        return _conflict(
            f"{key}: revision {current_revision}, expected {expected_revision}"
        )

    def _detach_from_lease(self, key: str) -> None:
        for lease in self._leases_by_id.values():
            lease.keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_from_lease(key)
        self.revision += 1
        del self._entries_by_key[key]
        self._deleted_at_by_key[key] = self.revision
        self._record_write(key, None)

    def _end_lease(self, lease_id: int) -> None:
        for key in sorted(self._leases_by_id.pop(lease_id).keys):
            self._remove(key)

    def _record_write(self, key: str, value: bytes | None) -> None:
        write: dict[str, Any] = {"revision": self.revision}
        write["size"] = None if value is None else len(value)
        if self.keep_values and value is not None:
            write["value"] = encode_bytes(value)
        self._writes_by_key.setdefault(key, []).append(write)


def _conflict(detail: str) -> Failure:
    return not_run(reason=Reason.STORE_CONFLICT, detail=detail)
