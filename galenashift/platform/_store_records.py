"""Records, positions, leases and failures of the platform's store."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from ._store_era import StoreEra

LeaseId = NewType("LeaseId", int)
StoreRevision = NewType("StoreRevision", int)


class StoreProblem(Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_GONE = "history-gone"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    #: The call or its answer belongs to an era that has ended.
    PAST_ERA = "past-era"
    MALFORMED = "malformed"


@dataclass(frozen=True, kw_only=True)
class StoreFailure:
    """A failed call to the store."""

    problem: StoreProblem
    #: What failed, in one line.
    detail: str
    #: Whether the store may have executed the call or may still execute it.
    may_have_run: bool


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease, which is valid only in the era in which it was granted."""

    lease_id: LeaseId
    #: None if the store states no era.
    era: StoreEra | None = None

    def __str__(self) -> str:
        return str(self.lease_id)


@dataclass(frozen=True, kw_only=True)
class WatchPosition:
    """Where a watch continues; it has a meaning only in its era."""

    #: Last known revision.
    after: StoreRevision
    #: None if the store states no era.
    era: StoreEra | None = None


@dataclass(frozen=True, kw_only=True)
class Item:
    """A record in the store."""

    key: str
    value: bytes
    #: Revision of the last change.
    revision: StoreRevision
    #: Lease with which the record ends, 0 if it lasts; None if the store does not say.
    lease_id: LeaseId | None = None


@dataclass(frozen=True, kw_only=True)
class Deletion:
    """A record that was deleted or whose lease expired."""

    key: str
    revision: StoreRevision


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """All records under a prefix."""

    items: tuple[Item, ...]
    #: Revision after which to watch for changes.
    revision: StoreRevision
    #: Era of the revision; None if the store states none.
    era: StoreEra | None = None

    @property
    def position(self) -> WatchPosition:
        """Where a watch continues."""
        return WatchPosition(after=self.revision, era=self.era)


@dataclass(frozen=True, kw_only=True)
class ChangeSet:
    """Changes under a prefix, oldest first."""

    changes: tuple[Item | Deletion, ...]
    #: Revision after which to continue the watch.
    revision: StoreRevision
    #: Era of the revision; None if the store states none.
    era: StoreEra | None = None
    #: Time that it took to receive and decode the changes, in seconds.
    transfer_s: float = 0.0

    @property
    def position(self) -> WatchPosition:
        """Where the watch continues."""
        return WatchPosition(after=self.revision, era=self.era)

    def without_superseded(self, key: str) -> tuple[Item | Deletion, ...]:
        """Return the changes without all but the last one of a key."""
        of_key = [change for change in self.changes if change.key == key]
        return tuple(change for change in self.changes if change not in of_key[:-1])
