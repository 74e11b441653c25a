"""Orders and records of rollouts in the store, and the versions that they allow."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from galenashift.model import (
    RegisteredUpstream,
    RolloutOrder,
    RolloutRecord,
    ServiceName,
)
from galenashift.platform import (
    ROLLOUT_ORDER_PREFIX,
    ROLLOUT_RECORD_PREFIX,
    Item,
    decode_rollout_order,
    decode_rollout_record,
    rollout_order_key,
    rollout_record_key,
)
from galenashift.rollouts import AllowedVersions

#: Name of the change that is reported for a service.
ROLLOUT_CHANGED = "rollout-changed"


@dataclass(frozen=True, kw_only=True)
class StoredRecord:
    """A record and its revision in the store."""

    record: RolloutRecord
    revision: int


class RolloutView:
    """The records of the store on rollouts; they are ignored unless `enabled`.

    A malformed record is reported and changes nothing.

    :param report: Receives each change.
    """

    def __init__(self, *, report: Callable[[str, Mapping[str, object]], None]) -> None:
        self._report = report
        self.enabled = False
        self.orders_by_service: dict[ServiceName, RolloutOrder] = {}
        #: Revisions of the keys of orders, also of malformed ones.
        self.order_key_revisions: dict[ServiceName, int] = {}
        self.records_by_service: dict[ServiceName, StoredRecord] = {}
        #: Versions that may get requests, of services with a restriction.
        self.allowed_by_service: dict[ServiceName, AllowedVersions] = {}

    def allows(self, registration: RegisteredUpstream) -> bool:
        """Tell whether the version of an upstream may get requests."""
        if not self.allowed_by_service:
            return True
        allowed = self.allowed_by_service.get(registration.service)
        return allowed is None or allowed.allows(registration.version)

    def restrict(self, service: ServiceName, allowed: AllowedVersions | None) -> bool:
        """Set the versions that may get requests, and return whether that is a change.

        :param allowed: None for all versions.
        """
        if allowed == self.allowed_by_service.get(service):
            return False
        if allowed is None:
            del self.allowed_by_service[service]
        else:
            self.allowed_by_service[service] = allowed
        return True

    def apply(self, item: Item) -> None:
        """Apply a record, if it is on a rollout.

        :raises RecordError: If it is malformed.
        """
        if not self.enabled:
            return
        if item.key.startswith(ROLLOUT_ORDER_PREFIX):
            service = ServiceName(item.key.removeprefix(ROLLOUT_ORDER_PREFIX))
            self.order_key_revisions[service] = item.revision
            order = decode_rollout_order(
                key=item.key, value=item.value, revision=item.revision
            )
            if self.orders_by_service.get(order.service) != order:
                self.orders_by_service[order.service] = order
                self._report_change(order.service, cause="order")
        elif item.key.startswith(ROLLOUT_RECORD_PREFIX):
            record = decode_rollout_record(key=item.key, value=item.value)
            known = self.records_by_service.get(record.service)
            if known is None or known.revision < item.revision:
                self.records_by_service[record.service] = StoredRecord(
                    record=record, revision=item.revision
                )
                self._report_change(record.service, cause="record")

    def remove(self, key: str) -> None:
        """Remove a record, if it is on a rollout."""
        if key.startswith(ROLLOUT_ORDER_PREFIX):
            service = ServiceName(key.removeprefix(ROLLOUT_ORDER_PREFIX))
            self.order_key_revisions.pop(service, None)
            if self.orders_by_service.pop(service, None) is not None:
                self._report_change(service, cause="order withdrawn")
        elif key.startswith(ROLLOUT_RECORD_PREFIX):
            service = ServiceName(key.removeprefix(ROLLOUT_RECORD_PREFIX))
            if self.records_by_service.pop(service, None) is not None:
                self._report_change(service, cause="record removed")

    def retain(self, keys: Collection[str]) -> None:
        """Remove the records that a listing of the store does not have."""
        known = [rollout_order_key(each) for each in self.order_key_revisions]
        known += [rollout_record_key(each) for each in self.records_by_service]
        for key in known:
            if key not in keys:
                self.remove(key)

    def _report_change(self, service: ServiceName, *, cause: str) -> None:
        order = self.orders_by_service.get(service)
        stored = self.records_by_service.get(service)
        record = None if stored is None else stored.record
        fields: dict[str, object] = {"service": service, "cause": cause}
        if order is not None:
            fields |= {"to": order.to, "order": order.revision}
        if record is not None:
            fields |= {"state": record.state.value, "share": record.share}
        self._report(ROLLOUT_CHANGED, fields)
