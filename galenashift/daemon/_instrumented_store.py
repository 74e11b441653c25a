"""Records metrics of store calls and the availability of the store."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from galenashift.model import (
    Absent,
    Changes,
    Entry,
    Failure,
    KeyValueStore,
    Lease,
    Listing,
    Reason,
    Written,
)
from galenashift.telemetry import Metrics

from ._status import StoreAvailability

_Response = TypeVar("_Response")

_UNAVAILABLE_REASONS = frozenset({Reason.STORE_UNAVAILABLE, Reason.STORE_AMBIGUOUS})


class InstrumentedStore:
    """Wraps a `KeyValueStore` and records the results of its calls.

    :param store: The wrapped store.
    :param metrics: Receives a count and a duration for each call.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self, *, store: KeyValueStore, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._clock = clock
        self.availability = StoreAvailability(
            answered_at_s=None, failure="no store call has completed yet"
        )

    async def get(self, *, key: str) -> Entry | Absent | Failure:
        """Read one key."""
        return await self._record_call("get", self._store.get(key=key))

    async def list(
        self, *, prefix: str, before: str | None = None, limit: int | None = None
    ) -> Listing | Failure:
        """Read the keys that start with a prefix, all or only the last ones."""
        call = self._store.list(prefix=prefix, before=before, limit=limit)
        return await self._record_call("list", call)

    async def put(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int | None,
        lease_id: int | None = None,
    ) -> Written | Failure:
        """Write one key by compare-and-swap."""
        call = self._store.put(
            key=key,
            value=value,
            expected_revision=expected_revision,
            lease_id=lease_id,
        )
        return await self._record_call("put", call)

    async def delete(
        self, *, key: str, expected_revision: int | None
    ) -> Written | Failure:
        """Delete one key by compare-and-swap."""
        call = self._store.delete(key=key, expected_revision=expected_revision)
        return await self._record_call("delete", call)

    async def grant_lease(self, *, ttl_s: float) -> Lease | Failure:
        """Create a lease."""
        return await self._record_call("grant", self._store.grant_lease(ttl_s=ttl_s))

    async def renew_lease(self, *, lease: Lease) -> Lease | Failure:
        """Renew a lease."""
        return await self._record_call("renew", self._store.renew_lease(lease=lease))

    async def revoke_lease(self, *, lease: Lease) -> Written | Failure:
        """End a lease and delete its keys."""
        return await self._record_call("revoke", self._store.revoke_lease(lease=lease))

    async def watch(
        self, *, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | Failure:
        """Wait until a key under a prefix changes."""
        call = self._store.watch(
            prefix=prefix, after_revision=after_revision, wait_s=wait_s
        )
        return await self._record_call("watch", call)

    async def _record_call(
        self, kind: str, call: Awaitable[_Response | Failure]
    ) -> _Response | Failure:
        started_at_s = self._clock()
        answer = await call
        now_s = self._clock()
        outcome = answer.reason.value if isinstance(answer, Failure) else "answered"
        self._metrics.count("store_calls", kind=kind, outcome=outcome)
        self._metrics.observe("store_call_seconds", now_s - started_at_s, kind=kind)
        if isinstance(answer, Failure) and answer.reason in _UNAVAILABLE_REASONS:
            since_s = self.availability.failing_since_s
            self.availability = StoreAvailability(
                answered_at_s=self.availability.answered_at_s,
                failure=answer.detail,
                failing_since_s=started_at_s if since_s is None else since_s,
            )
        else:
            self.availability = StoreAvailability(answered_at_s=now_s, failure="")
        return answer
