"""Calls that execute a batch of pieces at a stage upstream."""

from collections.abc import Callable
from functools import partial

from galenashift.model import Handle
from galenashift.platform import (
    RUN_PATH,
    PieceProblem,
    StageAnswerError,
    encode_run,
)

from ._exchange import Exchanger, ExchangeTimeouts
from ._outcomes import Answered, Outcome, Refused
from ._recent_handles import RecentHandles
from ._rollout_calls import RolloutCalls
from ._stage_job import Batch, PieceRef
from ._stage_upstream import stage_request
from ._upstream_registry import KnownUpstream

_OK = 200
#: Timeout of a call as a multiple of its expected duration.
_CALL_TIMEOUT_FACTOR = 3.0
#: Allowance for the network round trip in the timeout of a call, in seconds.
_ROUND_TRIP_S = 0.3


class StageCaller:
    """Sends batches to stage upstreams and decodes their answers.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        exchanger: Exchanger,
        rollouts: RolloutCalls,
        clock: Callable[[], float],
    ) -> None:
        self._exchanger = exchanger
        self._rollouts = rollouts
        self._clock = clock
        self._recent_handles = RecentHandles()

    async def call(
        self, upstream: KnownUpstream, batch: Batch, *, expected_s: float
    ) -> Outcome:
        """Execute the pieces of a batch.

        :param expected_s: Expected duration of the call, in seconds.
        """
        now_s = self._clock()
        body = encode_run(
            [ref.piece for ref in batch.pieces],
            remaining_s=[ref.job.deadline_s - now_s for ref in batch.pieces],
        )
        request = stage_request(upstream, path=RUN_PATH, body=body)
        wait_s = _CALL_TIMEOUT_FACTOR * expected_s + _ROUND_TRIP_S
        outcome = await self._exchanger.exchange(
            upstream=upstream.registration,
            request=request,
            timeouts=ExchangeTimeouts(first_byte_s=wait_s, event_gap_s=wait_s),
            # A rollback may come while the connection is opened.
            may_send=partial(self._rollouts.allows, upstream.registration),
        )
        if _is_refusal(outcome):
            self._exchanger.close_last(batch.upstream_id)
        return outcome

    def decode_answer(
        self, batch: Batch, body: bytes
    ) -> tuple[Handle | PieceProblem, ...]:
        """Decode the results of a batch, in the order of its pieces.

        Only a new handle proves that the answer is not a copy of an earlier one. After
        any other answer, the one to this call may still arrive on its connection, or a
        copy of this one, so the connection is not used again.

        :raises StageAnswerError: If the answer is malformed, or is a copy of the answer
            to an earlier call.
        """
        pieces = [ref.piece for ref in batch.pieces]
        try:
            results = self._recent_handles.decode_answer(body, pieces=pieces)
        except StageAnswerError:
            self._exchanger.close_idle(batch.upstream_id)
            raise
        if all(isinstance(each, PieceProblem) for each in results):
            self._exchanger.close_last(batch.upstream_id)
        return results

    def remember(self, handle: Handle, ref: PieceRef) -> None:
        """Remember the handle of a result, to recognise copies of its answer."""
        self._recent_handles.add(handle, ref.piece)


def _is_refusal(outcome: Outcome) -> bool:
    match outcome:
        case Refused():
            return True
        case Answered(head=head):
            return head.status != _OK
        case _:
            return False
