"""A store in memory for the reports that daemons share."""

import trio

from galenashift.gateway._fleet_records import FleetRecords
from galenashift.model import DaemonId
from galenashift.platform import (
    ChangeSet,
    Item,
    Lease,
    LeaseId,
    StoreFailure,
    StoreProblem,
    StoreRevision,
)


class SharedStore:
    """Applies each record to the views of all daemons immediately.

    :param failures: Failures of the next writes, in order.
    """

    def __init__(self, *views, failures=()):
        self.views = views
        #: What the watch of each daemon shows of its own records.
        self.records = []
        self.failures = list(failures)
        self.items_by_key = {}
        self.writes = 0

    async def grant_lease(self, *, lifetime_s):
        return Lease(lease_id=LeaseId(1))

    def new_records(self, name):
        records = FleetRecords(daemon_id=DaemonId(name))
        self.records.append(records)
        return records

    def revision_of(self, key):
        return self.items_by_key[key].revision if key in self.items_by_key else 0

    async def put_all(self, value_by_key, *, lease, revision_by_key):
        if self.failures:
            return self.failures.pop(0)
        if any(self.revision_of(key) != rev for key, rev in revision_by_key.items()):
            return CONFLICT
        return self.execute(value_by_key)

    def execute(self, value_by_key):
        """Write records and show them to all daemons."""
        self.writes += 1
        items = [
            Item(
                key=key,
                value=value,
                revision=StoreRevision(self.writes),
                lease_id=LeaseId(1),
            )
            for key, value in value_by_key.items()
        ]
        self.items_by_key.update({each.key: each for each in items})
        self.show(*items)
        return StoreRevision(self.writes)

    def restore(self, snapshot):
        """Come back from an older copy."""
        self.items_by_key = {item.key: item for item in snapshot.items}
        for records in self.records:
            records.replace(snapshot)

    def show(self, *changes):
        for view in self.views:
            for change in changes:
                view.apply(change, now_s=trio.current_time())
        for records in self.records:
            records.apply(
                ChangeSet(changes=changes, revision=StoreRevision(self.writes))
            )


UNREACHABLE = StoreFailure(
    problem=StoreProblem.UNREACHABLE, detail="down", may_have_run=True
)
CONFLICT = StoreFailure(
    problem=StoreProblem.CONFLICT, detail="another revision", may_have_run=False
)
