"""Encodes calls and their answers as frames, matched by a call id."""

from typing import Any

from galenashift.model import (
    Existing,
    Failure,
    GossipMessage,
    Granted,
    LimitGrant,
    Permit,
    Recorded,
    RequestEvents,
)

from . import _convert as convert
from ._codec import CodecError, decode, encode, idl

#: Answer of a peer; `bytes` is a configuration as JSON text.
PeerAnswer = (
    GossipMessage
    | bytes
    | Granted
    | Existing
    | Recorded
    | Permit
    | LimitGrant
    | RequestEvents
    | Failure
)

_CONVERTER_BY_METHOD = {
    "gossip": convert.GOSSIP,
    "reserve": convert.ACTION,
    "finish": convert.ACTION,
    "request_grant": convert.DEMAND,
    "push_event": convert.EVENT,
}
_METHODS = (
    *_CONVERTER_BY_METHOD,
    "fetch_config",
    "acquire_permit",
    "return_permit",
    "fetch_events",
)
_ANSWER_FIELDS = (
    "failure",
    "gossip",
    "configuration",
    "granted",
    "existing",
    "recorded",
    "permit",
    "grant",
    "events",
)


def encode_request(*, call_id: int, method: str, value: Any, now_s: float) -> bytes:
    """Encode a call.

    :param call_id: Number that the answer must repeat.
    :param method: Name of the method of `PeerCalls`.
    :param value: Its argument; True for a method without one.
    :param now_s: Boot-time clock, in seconds.
    """
    converter = _CONVERTER_BY_METHOD.get(method)
    if converter is not None:
        value = converter.encode(value)
    elif method == "return_permit":
        value = convert.encode_permit(value, now_s=now_s)
    return encode(idl.Request(call_id=call_id, **{method: value}))


def decode_request(data: bytes, *, received_at_s: float) -> tuple[int, str, Any]:
    """Decode a call.

    :param received_at_s: Boot-time clock, in seconds.
    :returns: Call id, name of the method and argument.
    :raises CodecError: If the frame does not hold exactly one call.
    """
    request = decode(idl.Request, data)
    method = _only_field_set(request, _METHODS)
    value = getattr(request, method)
    converter = _CONVERTER_BY_METHOD.get(method)
    if converter is not None:
        value = converter.decode(value)
    elif method == "return_permit":
        value = convert.decode_permit(value, sent_at_s=received_at_s)
    elif not isinstance(value, str | bool):
        raise CodecError(f"{method} has an argument of the wrong type")
    return _call_id(request), method, value


def encode_answer(*, call_id: int, answer: PeerAnswer, now_s: float) -> bytes:
    """Encode an answer.

    :param call_id: Number of the call.
    :param now_s: Boot-time clock, in seconds.
    """
    fields: dict[str, Any]
    match answer:
        case Failure():
            fields = {"failure": convert.FAILURE.encode(answer)}
        case GossipMessage():
            fields = {"gossip": convert.GOSSIP.encode(answer)}
        case bytes():
            fields = {"configuration": answer}
        case Granted():
            fields = {"granted": convert.ACTION.encode(answer.record)}
        case Existing():
            fields = {"existing": convert.ACTION.encode(answer.record)}
        case Recorded():
            fields = {"recorded": True}
        case Permit():
            fields = {"permit": convert.encode_permit(answer, now_s=now_s)}
        case LimitGrant():
            fields = {"grant": convert.GRANT.encode(answer)}
        case RequestEvents():
            fields = {"events": convert.REQUEST_EVENTS.encode(answer)}
    return encode(idl.Answer(call_id=call_id, **fields))


def decode_answer(data: bytes, *, sent_at_s: float) -> tuple[int, PeerAnswer]:
    """Decode an answer.

    :param sent_at_s: Boot-time clock, in seconds, at which the call was sent.
    :returns: Call id and answer.
    :raises CodecError: If the frame does not hold exactly one answer.
    """
    structure = decode(idl.Answer, data)
    name = _only_field_set(structure, _ANSWER_FIELDS)
    value = getattr(structure, name)
    answer: PeerAnswer
    match name:
        case "failure":
            answer = convert.FAILURE.decode(value)
        case "gossip":
            answer = convert.GOSSIP.decode(value)
        case "configuration":
            answer = value if isinstance(value, bytes) else str(value).encode()
        case "granted":
            answer = Granted(record=convert.ACTION.decode(value))
        case "existing":
            answer = Existing(record=convert.ACTION.decode(value))
        case "recorded":
            answer = Recorded()
        case "permit":
            answer = convert.decode_permit(value, sent_at_s=sent_at_s)
        case "grant":
            answer = convert.GRANT.decode(value)
        case _:
            answer = convert.REQUEST_EVENTS.decode(value)
    return _call_id(structure), answer


def encoded_size(message: GossipMessage) -> int:
    """Return the encoded size of a gossip message inside its frame, in bytes."""
    return len(encode(convert.GOSSIP.encode(message)))


def _only_field_set(structure: Any, names: tuple[str, ...]) -> str:
    present = [name for name in names if getattr(structure, name) is not None]
    if len(present) != 1:
        raise CodecError(f"{len(present)} messages in one frame instead of 1")
    return present[0]


def _call_id(structure: Any) -> int:
    if type(structure.call_id) is not int:
        raise CodecError("the call id is missing or not an integer")
    return int(structure.call_id)
