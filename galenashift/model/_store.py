"""Interface of the key-value store."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from ._failure import Failure


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An existing key and its value."""

    #: Full key, for example ``/config/current``.
    key: str
    #: Stored bytes, at most 1 MB.
    value: bytes
    #: Revision of the last write to the key. Each write to the store, to any key,
    #: increments the revision of the store.
    revision: int


@dataclass(frozen=True, kw_only=True)
class Absent:
    """A key that does not exist."""

    #: Full key.
    key: str


@dataclass(frozen=True, kw_only=True)
class Listing:
    """All entries under a prefix, or a page of them."""

    #: Entries by full key.
    entries_by_key: Mapping[str, Entry]
    #: Revision of the store at the time of the listing.
    revision: int


@dataclass(frozen=True, kw_only=True)
class Written:
    """A successful write."""

    #: Revision of the write.
    revision: int


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease; the keys written with it are deleted when it expires."""

    #: Identifier assigned by the store.
    lease_id: int
    #: Seconds after a renewal at which the lease expires.
    ttl_s: float
    #: Boot-time clock, in seconds, just before the last renewal was sent, so that
    #: the lease is never taken to live longer than at the store.
    renewed_at_s: float


@dataclass(frozen=True, kw_only=True)
class Changes:
    """Result of a watch; empty if nothing changed within the waiting time."""

    #: Changed entries by full key.
    entries_by_key: Mapping[str, Entry]
    #: Deleted or expired keys.
    deleted_keys: tuple[str, ...]
    #: Revision to continue from with the next watch.
    revision: int


class KeyValueStore(Protocol):
    """Client of the key-value store.

    Every method returns a `Failure` with reason ``STORE_UNAVAILABLE`` if the call
    had no effect, or ``STORE_AMBIGUOUS`` if a write may have taken effect.
    """

    async def get(self, *, key: str) -> Entry | Absent | Failure:
        """Read one key."""

    async def list(
        self, *, prefix: str, before: str | None = None, limit: int | None = None
    ) -> Listing | Failure:
        """Read the keys that start with a prefix.

        :param prefix: Common prefix of the keys.
        :param before: Only keys that sort before this one.
        :param limit: Maximum number of keys; those that sort last are returned.
        """

    async def put(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int | None,
        lease_id: int | None = None,
    ) -> Written | Failure:
        """Write one key by compare-and-swap.

        :param key: Full key.
        :param value: Bytes to store, at most 1 MB.
        :param expected_revision: Revision that the key must have, 0 for a key that
            must not exist, None to write unconditionally.
        :param lease_id: Lease whose end deletes the key.
        :returns: A failure with reason ``STORE_CONFLICT`` if the revision differs.
        """

    async def delete(
        self, *, key: str, expected_revision: int | None
    ) -> Written | Failure:
        """Delete one key by compare-and-swap."""

    async def grant_lease(self, *, ttl_s: float) -> Lease | Failure:
        """Create a lease."""

    async def renew_lease(self, *, lease: Lease) -> Lease | Failure:
        """Renew a lease; fails with ``STORE_CONFLICT`` if it has expired."""

    async def revoke_lease(self, *, lease: Lease) -> Written | Failure:
        """End a lease and delete its keys."""

    async def watch(
        self, *, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | Failure:
        """Wait for a change under a prefix, for at most ``wait_s`` seconds."""
