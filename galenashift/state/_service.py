"""Action log service of a daemon, for its own use and for its peers."""

from collections.abc import Callable
from dataclasses import replace

import trio

from galenashift.model import (
    ActionRecord,
    ActionState,
    AttemptId,
    DaemonId,
    Existing,
    Failure,
    Fleet,
    Granted,
    KeyValueStore,
    PeerCalls,
    Reason,
    Recorded,
    boot_time_s,
    not_run,
    wall_time_s,
)

from ._bucket import BucketLog, Outcome
from ._key import BUCKETS, RETENTION_S, bucket_of, bucket_prefix
from ._lease import RetentionLease
from ._segment import with_bounded_answer
from ._writer import BucketWriter

#: Timeout of a reservation, in seconds. A grant is not used later than 2 s after its
#: call.
RESERVE_TIMEOUT_S = 1.8

#: Time for which a caller waits until the outcome of its action is recorded, in
#: seconds.
FINISH_TIMEOUT_S = 0.5

#: Time for one daemon to answer before the next one is tried, in seconds.
_TARGET_TIMEOUT_S = 1.0

#: Time between retries of outcomes that could not be recorded at once, in seconds.
_RETRY_INTERVAL_S = 1.0

#: Maximum number of outcomes that wait to be recorded; 16 MB with the largest answers.
_MAX_UNRECORDED = 1000

#: Maximum number of outcomes that are retried at the same time.
_MAX_CONCURRENT_RETRIES = 64

#: Reasons after which the next daemon is tried.
_TRY_NEXT_REASONS = frozenset(
    {Reason.PEER_UNAVAILABLE, Reason.STORE_UNAVAILABLE, Reason.STORE_AMBIGUOUS}
)

#: Reasons after which an outcome is retried later, with any daemon that can record it.
_RECORD_LATER_REASONS = _TRY_NEXT_REASONS | {Reason.LOG_LOADING}


class ActionLogService:
    """Implements `galenashift.model.ActionLog`, and its server side for peers.

    A record is sent to the owner of its bucket, which batches it with others. If the
    owner does not answer, this daemon appends the record itself. If that fails too,
    the record is sent to the daemon that ranks second. All calls carry the same
    attempt, which the log grants at most once, so repeating the call is safe.

    :param store: The key-value service.
    :param fleet: Queries about the daemons of the fleet.
    :param peers: Calls to other daemons.
    :param clock: Boot-time clock in seconds.
    :param wall_clock: Unix time in seconds.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        fleet: Fleet,
        peers: PeerCalls,
        clock: Callable[[], float] = boot_time_s,
        wall_clock: Callable[[], float] = wall_time_s,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._wall_clock = wall_clock
        self._unrecorded_by_attempt: dict[AttemptId, ActionRecord] = {}
        lease = RetentionLease(store=store, clock=clock)
        self._writers = tuple(
            BucketWriter(
                log=BucketLog(
                    bucket=bucket,
                    store=store,
                    lease=lease,
                    clock=clock,
                    wall_clock=wall_clock,
                )
            )
            for bucket in range(BUCKETS)
        )

    @property
    def unrecorded(self) -> int:
        """Number of outcomes that wait to be recorded."""
        return len(self._unrecorded_by_attempt)

    async def run(self) -> None:
        """Run the writers and retry unrecorded outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            for writer in self._writers:
                nursery.start_soon(writer.run)
            while True:
                await trio.sleep(_RETRY_INTERVAL_S)
                await self._retry()

    async def reserve(self, *, record: ActionRecord) -> Granted | Existing | Failure:
        """Record an attempt before its first byte is sent.

        An attempt that is not granted here may nevertheless be in the log, or be
        appended late. It is then recorded as released and must not be dispatched.
        """
        outcome: Outcome | None = None
        may_be_recorded = True
        try:
            with trio.move_on_after(RESERVE_TIMEOUT_S):
                outcome, may_be_recorded = await self._call_targets(record)
        finally:
            # Also runs when the caller is cancelled.
            if may_be_recorded and not isinstance(outcome, Granted):
                self._record_later(replace(record, state=ActionState.RELEASED))
        match outcome:
            case Granted() | Existing() | Failure():
                return outcome
            case _:
                return _timeout_failure("reservation")

    async def finish(self, *, record: ActionRecord) -> Recorded | Failure:
        """Record the outcome of an attempt.

        :returns: A failure if it could not be recorded in time. The service then
            retries for as long as the outcome is retained.
        """
        record = with_bounded_answer(record)
        outcome: Outcome = _timeout_failure("completion")
        try:
            with trio.move_on_after(FINISH_TIMEOUT_S):
                outcome, _ = await self._call_targets(record)
        finally:
            if isinstance(outcome, Failure) and outcome.reason in _RECORD_LATER_REASONS:
                self._record_later(record)
        return (
            outcome
            if isinstance(outcome, Recorded | Failure)
            else _timeout_failure("outcome")
        )

    async def serve_reserve(
        self, *, record: ActionRecord
    ) -> Granted | Existing | Failure:
        """Answer a peer's reservation."""
        outcome = await self._write(record)
        return (
            _timeout_failure("reservation")
            if isinstance(outcome, Recorded)
            else outcome
        )

    async def serve_finish(self, *, record: ActionRecord) -> Recorded | Failure:
        """Answer a peer's completion."""
        outcome = await self._write(with_bounded_answer(record))
        return (
            outcome
            if isinstance(outcome, Recorded | Failure)
            else _timeout_failure("outcome")
        )

    def _targets(self, record: ActionRecord) -> tuple[DaemonId, ...]:
        bucket = bucket_of(organisation=record.organisation, key=record.key)
        ranked = self._fleet.ranked_for(
            key=bucket_prefix(bucket), count=2, now_s=self._clock()
        )
        # A dict keeps the order and removes this daemon if it is listed twice.
        return tuple(dict.fromkeys((*ranked[:1], self._fleet.self_id, *ranked[1:])))

    async def _call_targets(self, record: ActionRecord) -> tuple[Outcome, bool]:
        """Call one daemon after another until one of them decides.

        :returns: The outcome, and whether the record may be in the log although
            the outcome is a failure.
        """
        may_be_recorded = False
        outcome: Outcome = _timeout_failure("answer")
        for daemon in self._targets(record):
            outcome = _timeout_failure("answer")
            with trio.move_on_after(_TARGET_TIMEOUT_S):
                outcome = await self._call_daemon(daemon, record)
            if (
                not isinstance(outcome, Failure)
                or outcome.reason not in _TRY_NEXT_REASONS
            ):
                return outcome, may_be_recorded
            may_be_recorded |= outcome.reason is not Reason.STORE_UNAVAILABLE
        return outcome, may_be_recorded

    async def _call_daemon(self, daemon: DaemonId, record: ActionRecord) -> Outcome:
        if daemon == self._fleet.self_id:
            return await self._write(record)
        if record.state is ActionState.STARTED:
            return await self._peers.reserve(daemon=daemon, record=record)
        return await self._peers.finish(daemon=daemon, record=record)

    async def _write(self, record: ActionRecord) -> Outcome:
        bucket = bucket_of(organisation=record.organisation, key=record.key)
        return await self._writers[bucket].submit(record=record)

    def _record_later(self, record: ActionRecord) -> None:
        unrecorded = self._unrecorded_by_attempt
        # The first outcome of an attempt takes precedence, as an attempt that is done
        # cannot become released.
        unrecorded.setdefault(record.attempt, record)
        if len(unrecorded) > _MAX_UNRECORDED:
            # A retry with the key of a dropped attempt gets "outcome unknown", which
            # is correct.
            del unrecorded[next(iter(unrecorded))]

    async def _retry(self) -> None:
        oldest_s = self._wall_clock() - RETENTION_S
        records = tuple(self._unrecorded_by_attempt.values())[:_MAX_CONCURRENT_RETRIES]
        async with trio.open_nursery() as nursery:
            for record in records:
                if record.started_at_s < oldest_s:
                    del self._unrecorded_by_attempt[record.attempt]
                else:
                    nursery.start_soon(self._retry_one, record)

    async def _retry_one(self, record: ActionRecord) -> None:
        outcome, _ = await self._call_targets(record)
        if (
            not isinstance(outcome, Failure)
            or outcome.reason not in _RECORD_LATER_REASONS
        ):
            self._unrecorded_by_attempt.pop(record.attempt, None)


def _timeout_failure(what: str) -> Failure:
    detail = f"action log: no {what} in time"
    return not_run(reason=Reason.STORE_AMBIGUOUS, detail=detail)
