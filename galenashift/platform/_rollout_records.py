"""Records in the platform's store on rollouts of services to new versions."""

import json
from collections.abc import Mapping
from typing import Any

from galenashift.model import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    ServiceName,
    VersionName,
)

from ._decoding import DECODING_ERRORS, decode_json, to_integer, to_number, to_text
from ._records import RecordError

ROLLOUT_ORDER_PREFIX = "op/rollout/"
ROLLOUT_RECORD_PREFIX = "rollouts/"
_STATUS_PREFIX = "status/rollout/"

#: Shortest and longest duration of a rollout, in seconds.
_MIN_DURATION_S = 0.001
_MAX_DURATION_S = 86_400.0
#: Longest text on the cause of a state, in characters.
_MAX_CAUSE_LENGTH = 200


def rollout_order_key(service: ServiceName) -> str:
    """Return the key of the order for a service."""
    return ROLLOUT_ORDER_PREFIX + service


def rollout_record_key(service: ServiceName) -> str:
    """Return the key of the fleet's own record on a service."""
    return ROLLOUT_RECORD_PREFIX + service


def rollout_status_key(service: ServiceName) -> str:
    """Return the key of the status that operators read."""
    return _STATUS_PREFIX + service


def decode_rollout_order(*, key: str, value: bytes, revision: int) -> RolloutOrder:
    """Decode an order.

    :param revision: Revision of the record in the store.
    :raises RecordError: If it is malformed; the message names the key and the field.
    """
    service = _service(key, ROLLOUT_ORDER_PREFIX)
    fields = _Fields(key, value)
    if fields.text("service") != service:
        raise RecordError(f"{key} is malformed: field 'service' is not {service}")
    return RolloutOrder(
        service=service,
        to=VersionName(fields.name("to")),
        duration_s=fields.number(
            "duration_s", minimum=_MIN_DURATION_S, maximum=_MAX_DURATION_S
        ),
        revision=revision,
    )


def encode_rollout_status(*, to: VersionName, state: RolloutState) -> bytes:
    """Encode the status that operators read."""
    return json.dumps({"state": state.value, "to": to}).encode()


def encode_rollout_record(record: RolloutRecord) -> bytes:
    """Encode the fleet's own record."""
    return json.dumps(
        {
            "order": record.order_revision,
            "from": record.from_version,
            "to": record.to,
            "state": record.state.value,
            "sequence": record.sequence,
            "share": record.share,
            "remaining_s": record.remaining_s,
            "exposure": record.exposure,
            "requests": record.requests,
            "cause": record.cause,
        }
    ).encode()


def decode_rollout_record(*, key: str, value: bytes) -> RolloutRecord:
    """Decode the fleet's own record.

    :raises RecordError: If it is malformed; the message names the key and the field.
    """
    fields = _Fields(key, value)
    return RolloutRecord(
        service=_service(key, ROLLOUT_RECORD_PREFIX),
        order_revision=fields.integer("order"),
        from_version=fields.optional_version("from"),
        to=VersionName(fields.name("to")),
        state=fields.state("state"),
        sequence=fields.integer("sequence"),
        share=fields.number("share", maximum=1.0),
        remaining_s=fields.number("remaining_s", maximum=_MAX_DURATION_S),
        exposure=fields.integer("exposure"),
        requests=fields.integer("requests"),
        cause=fields.text("cause")[:_MAX_CAUSE_LENGTH],
    )


def _service(key: str, prefix: str) -> ServiceName:
    try:
        service = to_text(key.removeprefix(prefix))
    except ValueError as error:
        raise RecordError(f"{key!r:.100} is malformed: {error!r:.200}") from error
    if not service:
        raise RecordError(f"{key} is malformed: it names no service")
    return ServiceName(service)


class _Fields:
    """Checked fields of a record, with errors that name the key and the field."""

    def __init__(self, key: str, value: bytes) -> None:
        self._key = key
        try:
            self._data: Mapping[str, Any] = dict(decode_json(value))
        except DECODING_ERRORS as error:
            raise RecordError(f"{key} is malformed: {error!r:.200}") from error

    def text(self, name: str) -> str:
        try:
            return to_text(self._data[name])
        except DECODING_ERRORS as error:
            raise self._error(name, error) from error

    def name(self, name: str) -> str:
        text = self.text(name)
        if not text:
            raise self._error(name, ValueError("it is empty"))
        return text

    def optional_version(self, name: str) -> VersionName | None:
        if name in self._data and self._data[name] is None:
            return None
        return VersionName(self.text(name))

    def number(self, name: str, *, minimum: float = 0.0, maximum: float) -> float:
        try:
            return to_number(self._data[name], minimum=minimum, maximum=maximum)
        except DECODING_ERRORS as error:
            raise self._error(name, error) from error

    def integer(self, name: str) -> int:
        try:
            return to_integer(self._data[name])
        except DECODING_ERRORS as error:
            raise self._error(name, error) from error

    def state(self, name: str) -> RolloutState:
        try:
            return RolloutState(self.text(name))
        except ValueError as error:
            raise self._error(name, error) from error

    def _error(self, name: str, error: Exception) -> RecordError:
        return RecordError(f"{self._key} is malformed: field '{name}': {error!r:.200}")
