"""Encoding and checked decoding of the frames that reserve memory for stage results."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from galenashift.limits import RoomId, RoomOwner, RoomRequest, StageNeed
from galenashift.model import OrganisationId, RequestId, ServiceName
from galenashift.peers import CodecError, idl

#: Bound of durations in frames, in milliseconds, so that infinite ones fit.
_MAX_MILLISECONDS = 2**31 - 1
#: Most needs of a request; each takes memory at the reserving daemon.
_MAX_NEEDS = 1_000
#: Most memory of one stage, in bytes.
_MAX_SIZE_BYTES = 2**50


@dataclass(frozen=True, kw_only=True)
class RoomReply:
    """What the reserving daemon decided on a request."""

    granted: bool
    #: Time after which a refused request may come back, in seconds.
    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class IncomingRoomRequest:
    """A request for memory as a peer sends it."""

    #: Number of the request on its link.
    number: int
    request_id: RequestId
    request: RoomRequest


@dataclass(frozen=True, kw_only=True)
class RoomRelease:
    """Stages whose memory is released."""

    number: int
    #: Indices of the stages; None for all of them.
    stages: tuple[int, ...] | None


def room_id(owner: RoomOwner, number: int) -> RoomId:
    """Return the id of the request with a number on the link of its owner."""
    return RoomId(f"{owner}/{number}")


def encode_room_request(
    number: int, request_id: RequestId, request: RoomRequest, now_s: float
) -> Any:
    """Encode a request.

    :param number: Number of the request on its link.
    :param now_s: Boot-time clock, in seconds.
    """
    message = idl.RoomRequest(
        room_id=number,
        attempt_id=request_id,
        needs=[
            idl.RoomNeed(stage_service=need.service, size_bytes=need.size_bytes)
            for need in request.needs
        ],
        due_ms=_to_milliseconds(request.due_s - now_s),
        deadline_ms=_to_milliseconds(request.deadline_s - now_s),
        work_ms=_to_milliseconds(request.work_s),
        rank=request.rank,
        organisation=request.organisation_id,
    )
    return idl.StageFrame(room=idl.RoomFrame(request=message))


def decode_room_request(
    message: Any, *, owner: RoomOwner, now_s: float
) -> IncomingRoomRequest:
    """Decode a request.

    :param owner: The link on which it arrived.
    :param now_s: Boot-time clock, in seconds.
    :raises CodecError: If a value is missing or out of range.
    """
    number = _require_integer(message.room_id, "room_id")
    needs = message.needs or ()
    if not 1 <= len(needs) <= _MAX_NEEDS:
        raise CodecError(f"request {number} for memory has {len(needs)} needs")
    request = RoomRequest(
        room_id=room_id(owner, number),
        owner=owner,
        organisation_id=OrganisationId(message.organisation or ""),
        rank=_require_integer(message.rank, "rank"),
        due_s=now_s + _require_integer(message.due_ms, "due_ms") / 1000,
        deadline_s=now_s + _require_integer(message.deadline_ms, "deadline_ms") / 1000,
        work_s=_require_integer(message.work_ms, "work_ms", minimum=0) / 1000,
        needs=tuple(_decode_need(need) for need in needs),
    )
    if not isinstance(message.attempt_id, str):
        raise CodecError(f"attempt_id is {message.attempt_id!r:.50}")
    return IncomingRoomRequest(
        number=number, request_id=RequestId(message.attempt_id), request=request
    )


def _decode_need(message: Any) -> StageNeed:
    if not isinstance(message.stage_service, str):
        raise CodecError(f"stage_service is {message.stage_service!r:.50}")
    size_bytes = _require_integer(message.size_bytes, "size_bytes", minimum=0)
    if size_bytes > _MAX_SIZE_BYTES:
        raise CodecError(f"size_bytes is {size_bytes}")
    return StageNeed(service=ServiceName(message.stage_service), size_bytes=size_bytes)


def encode_room_reply(number: int, reply: RoomReply) -> Any:
    """Encode a decision.

    :param number: Number of the request on its link.
    """
    message = idl.RoomDecision(
        room_id=number,
        granted=reply.granted,
        retry_after_ms=_to_milliseconds(reply.retry_after_s),
    )
    return idl.StageFrame(room=idl.RoomFrame(decision=message))


def decode_room_reply(message: Any) -> RoomReply:
    """Decode a decision.

    :raises CodecError: If a value is missing or out of range.
    """
    if not isinstance(message.granted, bool):
        raise CodecError(f"granted is {message.granted!r:.50}")
    wait_ms = _require_integer(message.retry_after_ms, "retry_after_ms", minimum=0)
    return RoomReply(granted=message.granted, retry_after_s=wait_ms / 1000)


def encode_room_release(number: int, stages: Sequence[int] = ()) -> Any:
    """Encode a release.

    :param number: Number of the request on its link.
    :param stages: Indices of the stages; all if there are none.
    """
    message = idl.RoomRelease(room_id=number, stages=list(stages))
    return idl.StageFrame(room=idl.RoomFrame(released=message))


def decode_room_release(message: Any) -> RoomRelease:
    """Decode a release.

    :raises CodecError: If a value is missing or out of range.
    """
    number = _require_integer(message.room_id, "room_id")
    stages = tuple(
        _require_integer(each, "stage", minimum=0) for each in message.stages or ()
    )
    return RoomRelease(number=number, stages=stages or None)


def _to_milliseconds(duration_s: float) -> int:
    bounded_ms = max(-_MAX_MILLISECONDS, min(duration_s * 1000, _MAX_MILLISECONDS))
    return int(bounded_ms)


def _require_integer(value: Any, name: str, *, minimum: int = -(2**63)) -> int:
    if not isinstance(value, int) or value < minimum:
        raise CodecError(f"{name} is {value!r:.50}")
    return value
