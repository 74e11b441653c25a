"""Calls to stage services: execution of pieces, and release of their results."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from galenashift.model import Handle

from ._decoding import DECODING_ERRORS, decode_json, to_text
from ._store import encode_json

RUN_PATH = "/galenashift/stage-run"
FREE_PATH = "/galenashift/stage-free"


class PieceProblem(Enum):
    """Why a piece was not executed."""

    LATE = "late"
    INPUT_GONE = "gone"
    NO_MEMORY = "room"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class Piece:
    """One piece of work of a stage: a unit that is executed on its own."""

    #: Attempt of the caller that the piece belongs to.
    attempt_id: str
    #: Index of the stage.
    stage: int
    #: Index of the piece within the stage.
    index: int
    #: Input key of a piece whose stage depends on no other stage.
    key: str
    #: Results that are inputs of the piece; None if its stage depends on no other
    #: stage.
    inputs: tuple[Handle, ...] | None


class StageAnswerError(ValueError):
    """The answer of a stage upstream cannot be decoded."""


def encode_run(pieces: Sequence[Piece], *, remaining_s: Sequence[float]) -> bytes:
    """Encode the body of a call that executes pieces.

    :param pieces: At most as many pieces as the batch limit allows.
    :param remaining_s: Time until the deadline of each piece, in seconds.
    """
    items: list[dict[str, object]] = []
    for piece, left_s in zip(pieces, remaining_s, strict=True):
        item: dict[str, object] = {
            "id": piece.attempt_id,
            "stage": piece.stage,
            "piece": piece.index,
            "remaining_ms": max(1, int(left_s * 1000)),
        }
        if piece.inputs is None:
            item["key"] = piece.key
        else:
            item["inputs"] = list(piece.inputs)
        items.append(item)
    return encode_json({"items": items})


def decode_run(body: bytes, *, count: int) -> tuple[Handle | PieceProblem, ...]:
    """Decode the results of a call, in the order of its pieces.

    :param count: Number of pieces in the call.
    :raises StageAnswerError: If the body does not hold that many results.
    """
    try:
        items = decode_json(body)["items"]
        results = tuple(_parse_result(item) for item in items)
    except DECODING_ERRORS as error:
        raise StageAnswerError(f"malformed stage answer: {error!r:.300}") from error
    if len(results) != count:
        raise StageAnswerError(
            f"stage answer has {len(results)} results for {count} pieces"
        )
    return results


def _parse_result(item: dict[str, str]) -> Handle | PieceProblem:
    if "handle" in item:
        return Handle(to_text(item["handle"]))
    return PieceProblem(item["reason"])


def encode_free(handles: Sequence[Handle]) -> bytes:
    """Encode the body of a call that releases results."""
    return encode_json({"handles": list(handles)})


def handle_address(handle: Handle) -> str:
    """Return the address of the upstream that holds a result."""
    return handle.partition("/")[0]
