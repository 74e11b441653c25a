"""The records that this daemon writes to the store, as the watch shows them.

A write without an answer may be executed later. One that was answered may be undone, as
its lease ends or another write replaces it. Only the watch shows what the store holds.
"""

from galenashift.model import DaemonId
from galenashift.platform import (
    LIMIT_PREFIX,
    ChangeSet,
    Deletion,
    Item,
    Snapshot,
    StoreRevision,
)

#: Revision of a record that does not exist.
_ABSENT = StoreRevision(0)


class FleetRecords:
    """The records of this daemon, and those on limits, which all daemons write.

    :param daemon_id: This daemon; the keys of its records end with its id.
    """

    def __init__(self, *, daemon_id: DaemonId) -> None:
        self._suffix = f"/{daemon_id}"
        self._item_by_key: dict[str, Item] = {}
        #: Revision up to which the watch has shown all changes.
        self._shown = _ABSENT

    def replace(self, snapshot: Snapshot) -> None:
        """Replace all records by a listing of the store."""
        self._item_by_key = {
            item.key: item for item in snapshot.items if self._is_kept(item.key)
        }
        self._shown = snapshot.revision

    def apply(self, changes: ChangeSet) -> None:
        """Apply changes that the watch shows."""
        for change in changes.changes:
            if self._is_kept(change.key) and change.revision > self.revision_of(
                change.key
            ):
                self._apply(change)
        self._shown = changes.revision

    def record_written(self, item: Item) -> None:
        """Note a write that was answered and that the watch has not shown yet."""
        if item.revision > self.revision_of(item.key):
            self._item_by_key[item.key] = item

    def find(self, key: str) -> Item | None:
        """Return a record, or None if the store does not hold it."""
        return self._item_by_key.get(key)

    def revision_of(self, key: str) -> StoreRevision:
        """Return the revision of a record, 0 if the store does not hold it."""
        item = self._item_by_key.get(key)
        return _ABSENT if item is None else item.revision

    def has_shown(self, revision: StoreRevision) -> bool:
        """Whether the watch has shown all changes up to a revision."""
        return self._shown >= revision

    def _is_kept(self, key: str) -> bool:
        return key.endswith(self._suffix) or key.startswith(LIMIT_PREFIX)

    def _apply(self, change: Item | Deletion) -> None:
        match change:
            case Item():
                self._item_by_key[change.key] = change
            case Deletion():
                self._item_by_key.pop(change.key, None)
