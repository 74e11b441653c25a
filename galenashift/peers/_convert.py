"""Typed conversion between structures of the IDL and the model's data classes.

Decoding checks the type and range of every field. Ages are rounded up and
lifetimes down, so that rounding never makes data look more recent than it is.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from galenashift.model import (
    ActionRecord,
    ActionState,
    EventField,
    EventKind,
    Failure,
    FleetEvent,
    GossipMessage,
    LimitDemand,
    LimitGrant,
    LoadReport,
    MemberState,
    Permit,
    Reason,
    RequestEvent,
    RequestEvents,
    UpstreamState,
    Verdict,
)

from ._codec import CodecError, idl

_NEVER_MS = 2**31 - 1
_MAX_I32 = 2**31 - 1
_MAX_I64 = 2**63 - 1


@dataclass(frozen=True, kw_only=True)
class _Converter:
    #: Converts a value of the data class to a value of the structure.
    encode: Callable[[Any], Any]
    #: Checks a value of the structure and converts it back.
    decode: Callable[[Any], Any]


def _require(accepted: bool, value: object) -> None:
    if not accepted:
        raise CodecError(f"a field holds the unexpected value {value!r:.60}")


def _unchanged(value: Any) -> Any:
    return value


def _decode_text(value: Any) -> str:
    _require(isinstance(value, str), value)
    return str(value)


def _decode_bool(value: Any) -> bool:
    _require(isinstance(value, bool), value)
    return bool(value)


def _decode_double(value: Any) -> float:
    _require(isinstance(value, float) and math.isfinite(value) and value >= 0, value)
    return float(value)


def _integer(maximum: int) -> _Converter:
    def decode(value: Any) -> int:
        _require(type(value) is int and 0 <= value <= maximum, value)
        return int(value)

    return _Converter(encode=_unchanged, decode=decode)


def _encode_ms(value_s: float, round_to_int: Callable[[float], int]) -> int:
    if value_s >= _NEVER_MS / 1000 - 1:
        return _NEVER_MS
    return max(0, round_to_int(value_s * 1000))


def _decode_ms(value: Any) -> float:
    _require(type(value) is int and 0 <= value <= _NEVER_MS, value)
    return math.inf if value == _NEVER_MS else value / 1000


def _enum(kind: type[Enum]) -> _Converter:
    def decode(value: Any) -> Enum:
        try:
            return kind(value)
        except ValueError:
            raise CodecError(f"{value!r:.60} is not a {kind.__name__}") from None

    return _Converter(encode=lambda each: each.value, decode=decode)


_TEXT = _Converter(encode=_unchanged, decode=_decode_text)
_BOOL = _Converter(encode=_unchanged, decode=_decode_bool)
_DOUBLE = _Converter(encode=float, decode=_decode_double)
_I32 = _integer(_MAX_I32)
_I64 = _integer(_MAX_I64)
_AGE = _Converter(encode=lambda each: _encode_ms(each, math.ceil), decode=_decode_ms)
_LIFETIME = _Converter(
    encode=lambda each: _encode_ms(each, math.floor), decode=_decode_ms
)


def _optional(converter: _Converter) -> _Converter:
    return _Converter(
        encode=lambda value: None if value is None else converter.encode(value),
        decode=lambda value: None if value is None else converter.decode(value),
    )


def _with_default(default: Any, converter: _Converter) -> _Converter:
    """Omit a field that has its default, as most fields of member states have."""
    return _Converter(
        encode=lambda value: None if value == default else converter.encode(value),
        decode=lambda value: default if value is None else converter.decode(value),
    )


def _list_of(converter: _Converter) -> _Converter:
    def decode(value: Any) -> tuple[Any, ...]:
        _require(isinstance(value, list), value)
        return tuple(converter.decode(each) for each in value)

    return _Converter(
        encode=lambda value: [converter.encode(each) for each in value], decode=decode
    )


def _structure(
    structure_class: Any, data_class: Any, converters_by_name: Mapping[str, _Converter]
) -> _Converter:
    """Convert between a structure and a data class with the same field names."""
    fields = tuple(converters_by_name.items())

    def encode(value: Any) -> Any:
        structure = structure_class()
        for name, converter in fields:
            setattr(structure, name, converter.encode(getattr(value, name)))
        return structure

    def decode(structure: Any) -> Any:
        _require(isinstance(structure, structure_class), structure)
        return data_class(
            **{
                name: converter.decode(getattr(structure, name))
                for name, converter in fields
            }
        )

    return _Converter(encode=encode, decode=decode)


_REPORT_STATES = (
    UpstreamState.COLD,
    UpstreamState.WARM,
    UpstreamState.LEAVING,
    UpstreamState.GONE,
    UpstreamState.SUSPECT,
)


def _decode_report_state(value: Any) -> UpstreamState:
    _require(type(value) is int and 0 <= value < len(_REPORT_STATES), value)
    return _REPORT_STATES[value]


EVENT = _structure(
    idl.Event,
    FleetEvent,
    {
        "event_id": _TEXT,
        "kind": _enum(EventKind),
        "upstream_id": _TEXT,
        "incarnation": _I64,
        "failure_domain": _TEXT,
        "fingerprints": _list_of(_TEXT),
        "age_s": _AGE,
        "config_version": _I64,
    },
)
_MEMBER = _structure(
    idl.Member,
    MemberState,
    {
        "daemon_id": _TEXT,
        "incarnation": _I64,
        "host": _with_default("", _TEXT),
        "port": _with_default(0, _integer(65535)),
        "failure_domain": _with_default("", _TEXT),
        "draining": _with_default(False, _BOOL),
        "heartbeat_age_s": _AGE,
        "evidence_age_s": _AGE,
        "highest_version": _I64,
    },
)
_REPORT = _structure(
    idl.Report,
    LoadReport,
    {
        "upstream_id": _TEXT,
        "incarnation": _I64,
        "state": _Converter(encode=_REPORT_STATES.index, decode=_decode_report_state),
        "running": _I32,
        "queued": _I32,
        "slots": _I32,
        "bears": _I32,
        "as_of_s": _AGE,
    },
)
GOSSIP = _structure(
    idl.Gossip,
    GossipMessage,
    {
        "sender": _TEXT,
        "config_version": _I64,
        "evidence_age_s": _AGE,
        "events": _list_of(EVENT),
        "members": _list_of(_MEMBER),
        "reports": _list_of(_REPORT),
    },
)
ACTION = _structure(
    idl.Action,
    ActionRecord,
    {
        "organisation": _TEXT,
        "key": _TEXT,
        "body_digest": _TEXT,
        "dispatcher": _TEXT,
        "dispatcher_incarnation": _I64,
        "attempt": _TEXT,
        "state": _enum(ActionState),
        "started_at_s": _DOUBLE,
        "answer": _TEXT,
    },
)
DEMAND = _structure(
    idl.Demand,
    LimitDemand,
    {
        "organisation": _TEXT,
        "requests": _DOUBLE,
        "tokens": _DOUBLE,
        "running": _I32,
        "granted": _optional(_I32),
    },
)
GRANT = _structure(
    idl.Grant,
    LimitGrant,
    {
        "organisation": _TEXT,
        "requests": _DOUBLE,
        "tokens": _DOUBLE,
        "concurrent": _I32,
        "lifetime_s": _LIFETIME,
    },
)
_EVENT_FIELD = _structure(idl.EventField, EventField, {"name": _TEXT, "value": _TEXT})
_REQUEST_EVENT = _structure(
    idl.RequestEvent,
    RequestEvent,
    {
        "time_s": _DOUBLE,
        "level": _TEXT,
        "name": _TEXT,
        "fields": _list_of(_EVENT_FIELD),
    },
)
REQUEST_EVENTS = _structure(
    idl.RequestEvents, RequestEvents, {"events": _list_of(_REQUEST_EVENT)}
)
FAILURE = _structure(
    idl.Failure,
    Failure,
    {
        "verdict": _enum(Verdict),
        "reason": _enum(Reason),
        "detail": _TEXT,
        "retry_after_s": _optional(_DOUBLE),
    },
)


def encode_permit(permit: Permit, *, now_s: float) -> Any:
    """Convert a permit; sends the time left, as the clocks of two instances differ.

    :param now_s: Boot-time clock of this daemon, in seconds.
    """
    return idl.Permit(
        upstream_id=permit.upstream_id,
        permit_id=permit.permit_id,
        gatekeeper=permit.gatekeeper,
        lifetime_s=_LIFETIME.encode(permit.start_before_s - now_s),
    )


def decode_permit(structure: Any, *, sent_at_s: float) -> Permit:
    """Convert a permit back.

    :param sent_at_s: Boot-time clock of this daemon, in seconds, when it sent its
        request. The lifetime of the permit starts then.
    """
    _require(isinstance(structure, idl.Permit), structure)
    return Permit(
        upstream_id=_TEXT.decode(structure.upstream_id),
        permit_id=_TEXT.decode(structure.permit_id),
        gatekeeper=_TEXT.decode(structure.gatekeeper),
        start_before_s=sent_at_s + _LIFETIME.decode(structure.lifetime_s),
    )
