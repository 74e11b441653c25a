"""Group commit: concurrent appends to a bucket share one store write."""

from collections import deque
from dataclasses import dataclass, field

import trio

from galenashift.model import ActionRecord, Failure, Reason

from ._bucket import BucketLog, Outcome
from ._segment import SEGMENT_BYTES, record_size

#: Minimum time between the starts of two commits, in seconds. It limits 16 buckets
#: to 320 writes a second, which the store can handle.
COMMIT_SPACING_S = 0.05


#: Time for which a record waits until enough of the log has been read, in seconds. It
#: is below the timeouts of the caller, which therefore receives this answer and does
#: not call a second daemon that would have to read as much.
LOADING_WAIT_S = 0.7


@dataclass(eq=False)
class _PendingRecord:
    record: ActionRecord
    submitted_at_s: float
    is_abandoned: bool = False
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Outcome | None = None


class BucketWriter:
    """Appends to one bucket on behalf of any number of tasks.

    :param log: The bucket's log.
    """

    def __init__(self, *, log: BucketLog) -> None:
        self._log = log
        self._queue: deque[_PendingRecord] = deque()
        self._has_pending = trio.Event()

    async def submit(self, *, record: ActionRecord) -> Outcome:
        """Append a reservation or a completion with the next commit.

        If the caller is cancelled, the record may still be appended.
        """
        pending = _PendingRecord(record, trio.current_time())
        self._queue.append(pending)
        self._has_pending.set()
        try:
            await pending.done.wait()
        finally:
            pending.is_abandoned = True
            if pending in self._queue:
                self._queue.remove(pending)
        assert pending.outcome is not None
        return pending.outcome

    async def run(self) -> None:
        """Commit submitted records until cancelled."""
        while True:
            await self._has_pending.wait()
            started_at_s = trio.current_time()
            batch = self._take_batch()
            outcomes = await self._log.commit([each.record for each in batch])
            for pending, outcome in zip(batch, outcomes, strict=True):
                if _should_requeue(pending, outcome, now_s=trio.current_time()):
                    self._queue.append(pending)
                    self._has_pending.set()
                elif not pending.is_abandoned:
                    pending.outcome = outcome
                    pending.done.set()
            await trio.sleep_until(started_at_s + COMMIT_SPACING_S)

    def _take_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size = 0
        while self._queue:
            record = self._queue[0].record
            size += record_size(record)
            if batch and size > SEGMENT_BYTES:
                return batch
            batch.append(self._queue.popleft())
        self._has_pending = trio.Event()
        return batch


def _should_requeue(pending: _PendingRecord, outcome: Outcome, *, now_s: float) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.reason is Reason.LOG_LOADING
        and not pending.is_abandoned
        and now_s - pending.submitted_at_s < LOADING_WAIT_S
    )
