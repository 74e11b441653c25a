"""Recognises late copies of earlier answers of stage upstreams by their handles."""

from collections import OrderedDict
from collections.abc import Sequence

from galenashift.model import Handle
from galenashift.platform import Piece, PieceProblem, StageAnswerError, decode_run

#: Most handles that are remembered. A copy arrives while its connection is in use, so
#: only the handles of the last seconds matter.
MAX_HANDLES = 20_000

_PieceId = tuple[str, int, int]


class RecentHandles:
    """The pieces for which recent handles were returned.

    Calls of stage upstreams have no attempt id, so an answer that is sent a second
    time, on a connection in use again, looks like the answer to the next call.
    """

    def __init__(self) -> None:
        self._piece_by_handle: OrderedDict[Handle, _PieceId] = OrderedDict()

    def __len__(self) -> int:
        return len(self._piece_by_handle)

    def add(self, handle: Handle, piece: Piece) -> None:
        """Remember the piece of a handle; the oldest handles are forgotten."""
        self._piece_by_handle[handle] = _piece_id(piece)
        if len(self._piece_by_handle) > MAX_HANDLES:
            self._piece_by_handle.popitem(last=False)

    def decode_answer(
        self, body: bytes, *, pieces: Sequence[Piece]
    ) -> tuple[Handle | PieceProblem, ...]:
        """Decode the answer to a call.

        :param pieces: Pieces of the call, in order.
        :raises StageAnswerError: If the answer is malformed, or has a handle that was
            returned for another piece.
        """
        results = decode_run(body, count=len(pieces))
        for result, piece in zip(results, pieces, strict=True):
            if isinstance(result, PieceProblem):
                continue
            if self._piece_by_handle.get(result, _piece_id(piece)) != _piece_id(piece):
                raise StageAnswerError(f"{result} is a result of an earlier call")
        return results


def _piece_id(piece: Piece) -> _PieceId:
    return piece.attempt_id, piece.stage, piece.index
