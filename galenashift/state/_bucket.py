"""One bucket of the action log: decides on records and appends them.

This module awaits nothing but the store, so that tests can interleave several
writers call by call.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace

from galenashift.model import (
    ActionRecord,
    ActionState,
    Entry,
    Existing,
    Failure,
    Granted,
    IdempotencyKey,
    KeyValueStore,
    OrganisationId,
    Reason,
    Recorded,
    Written,
    not_run,
)

from ._decision import Decision, KeyHistory, apply_record, decide
from ._key import RETENTION_S, oldest_needed_s, segment_key
from ._lease import RetentionLease
from ._reader import BucketReader
from ._segment import Segment, encode_segment

Outcome = Granted | Existing | Recorded | Failure

#: Every conflict means that another writer succeeded, so a few tries are enough.
_MAX_TRIES = 8

#: Time without a refresh after which the index is discarded, in seconds. Segments
#: after its last one may have been created and have expired since, so an append
#: would reuse a number.
_INDEX_MAX_AGE_S = RETENTION_S / 2

#: Duration above which a commit grants nothing, in seconds; only a paused process
#: takes so long. Together with the maximum age of the index, this is less than the
#: lifetime of a segment.
_MAX_COMMIT_S = RETENTION_S / 2

#: Age above which the last segment is written again before the next one is created,
#: in seconds. It then outlives the commit, so no other writer can find the bucket
#: empty meanwhile and start again at number 0.
_LAST_SEGMENT_MAX_AGE_S = RETENTION_S / 4

#: Maximum pages of older segments that one commit reads; later commits wait for it.
PAGES_PER_COMMIT = 4

#: Maximum segments that one commit reads again for retries with old keys.
_MAX_GETS_PER_COMMIT = 32

_ActionKey = tuple[OrganisationId, IdempotencyKey]

#: Outcome of a record that cannot be decided before more of the log is read.
LOG_LOADING_FAILURE = not_run(
    reason=Reason.LOG_LOADING,
    detail="this daemon is still reading the action log; try again later",
    retry_after_s=1.0,
)


class BucketLog:
    """Reads and appends to one bucket. Only one task may use it at a time.

    :param bucket: Number of the bucket.
    :param store: The key-value service.
    :param lease: Source of leases for segments.
    :param clock: Boot-time clock in seconds.
    :param wall_clock: Unix time in seconds.
    :param reader: Reader of the bucket; by default one with the default limits.
    :param pages_per_commit: Maximum pages of older segments that one commit reads.
    """

    def __init__(
        self,
        *,
        bucket: int,
        store: KeyValueStore,
        lease: RetentionLease,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        reader: BucketReader | None = None,
        pages_per_commit: int = PAGES_PER_COMMIT,
    ) -> None:
        self._bucket = bucket
        self._store = store
        self._lease = lease
        self._clock = clock
        self._wall_clock = wall_clock
        self._pages_per_commit = pages_per_commit
        #: Pages that the current commit may still read.
        self._remaining_pages = 0
        self._reader = reader or BucketReader(bucket=bucket, store=store, clock=clock)
        self._is_index_stale = True
        self._had_conflict = False

    async def commit(self, records: Sequence[ActionRecord]) -> tuple[Outcome, ...]:
        """Decide on reservations and completions, and append the accepted ones.

        All appended records share one segment.

        :param records: Reservations (``STARTED``) and completions.
        :returns: One outcome for each record. A failure with reason
            ``STORE_AMBIGUOUS`` means that the record may be in the log, one with
            ``LOG_LOADING`` that it is not and that more of the log must be read.
        """
        started_at_s = self._clock()
        outcomes = await self._commit(records)
        if self._clock() - started_at_s < _MAX_COMMIT_S:
            return outcomes
        self._reader.reset()
        self._is_index_stale = True
        detail = "the daemon was paused while it wrote to the action log"
        failure = not_run(reason=Reason.DEADLINE_PASSED, detail=detail)
        return (failure,) * len(records)

    async def _commit(self, records: Sequence[ActionRecord]) -> tuple[Outcome, ...]:
        failure = not_run(reason=Reason.STORE_UNAVAILABLE, detail="too many conflicts")
        is_ambiguous = has_read = False
        self._remaining_pages = self._pages_per_commit
        for _ in range(_MAX_TRIES):
            if self._is_index_stale or self._index_age_s() > _INDEX_MAX_AGE_S:
                has_read = True
                if read_failure := await self._refresh():
                    failure = read_failure
                    break
            decisions = await self._decide(records)
            outcomes = tuple(each.outcome for each in decisions)
            if is_ambiguous and any(map(_is_undecided, outcomes)):
                # The write whose answer was lost may have stored the records.
                break
            appended = tuple(each.append for each in decisions if each.append)
            if not appended:
                if has_read or all(map(_is_final, outcomes)):
                    return outcomes
                self._is_index_stale = True
                continue
            result = await self._append(appended)
            if isinstance(result, Written):
                return outcomes
            self._had_conflict = result.reason is Reason.STORE_CONFLICT
            if result.reason is Reason.STORE_AMBIGUOUS:
                is_ambiguous = True
            elif not self._had_conflict:
                failure = result
                break
        if is_ambiguous:
            failure = replace(failure, reason=Reason.STORE_AMBIGUOUS)
        return (failure,) * len(records)

    def _index_age_s(self) -> float:
        return self._clock() - self._reader.as_of_s

    async def _refresh(self) -> Failure | None:
        before = self._reader.last
        if self._index_age_s() > _INDEX_MAX_AGE_S:
            self._reader.reset()
        if failure := await self._reader.refresh():
            return failure
        if self._had_conflict and self._reader.last == before:
            # No other writer caused the conflict, so the lease has expired.
            self._lease.discard()
        self._had_conflict = False
        self._is_index_stale = False
        return None

    async def _decide(self, records: Sequence[ActionRecord]) -> list[Decision]:
        """Decide on the records for which enough of the log has been read.

        The others get an undecided outcome.
        """
        found = await self._reader.histories(records, max_gets=_MAX_GETS_PER_COMMIT)
        undecided = LOG_LOADING_FAILURE
        while not isinstance(found, Failure) and not all(
            self._is_decidable(each, found.get(position))
            for position, each in enumerate(records)
        ):
            if not self._remaining_pages:
                break
            self._remaining_pages -= 1
            if failure := await self._reader.read_older():
                undecided = failure
                break
            found = await self._reader.histories(records, max_gets=_MAX_GETS_PER_COMMIT)
        if isinstance(found, Failure):
            return [Decision(outcome=found)] * len(records)
        now_s = self._wall_clock()
        self._reader.remove_expired(now_s=now_s)
        pending: dict[_ActionKey, KeyHistory] = {}
        decisions = []
        for position, record in enumerate(records):
            key = (record.organisation, record.key)
            history = pending.get(key, found.get(position))
            if position not in found or not self._is_decidable(record, history):
                decisions.append(Decision(outcome=undecided))
                continue
            decision = decide(history, record, now_s=now_s)
            if decision.append is not None:
                pending[key] = apply_record(history, decision.append)
            decisions.append(decision)
        return decisions

    def _is_decidable(self, record: ActionRecord, history: KeyHistory | None) -> bool:
        """Tell whether segments not read yet cannot change the decision on a record."""
        if self._reader.covers(oldest_needed_s(record)):
            return True
        return history is not None and history.current.state is ActionState.DONE

    async def _append(self, records: tuple[ActionRecord, ...]) -> Written | Failure:
        now_s = self._wall_clock()
        last = self._reader.last
        if (
            last is not None
            and now_s - last.segment.written_at_s > _LAST_SEGMENT_MAX_AGE_S
        ):
            renewed = replace(last.segment, written_at_s=now_s)
            result = await self._put(last.number, renewed, last.revision)
            if isinstance(result, Failure):
                return result
        segment = Segment(written_at_s=now_s, records=records)
        return await self._put(self._reader.next_number, segment, 0)

    async def _put(
        self, number: int, segment: Segment, expected_revision: int
    ) -> Written | Failure:
        # The lease must be obtained after the reads on which the write is based, see
        # LEASE_TTL_S.
        lease_id = await self._lease.lease_id()
        if isinstance(lease_id, Failure):
            return lease_id
        key = segment_key(bucket=self._bucket, number=number)
        value = encode_segment(segment)
        # The call may be cancelled, or fail, after the store has applied the write.
        self._is_index_stale = True
        sent_at_s = self._clock()
        result = await self._store.put(
            key=key,
            value=value,
            expected_revision=expected_revision,
            lease_id=lease_id,
        )
        if isinstance(result, Failure):
            return result
        self._reader.as_of_s = sent_at_s
        entry = Entry(key=key, value=value, revision=result.revision)
        self._reader.add_newest((entry, segment))
        self._is_index_stale = False
        return result


def _is_undecided(outcome: Outcome) -> bool:
    """Tell whether a record was not decided because too little of the log was read."""
    return isinstance(outcome, Failure) and outcome.reason in (
        Reason.LOG_LOADING,
        Reason.STORE_UNAVAILABLE,
    )


def _is_final(outcome: Outcome) -> bool:
    """Tell whether no other writer can have changed the outcome."""
    match outcome:
        case Existing(record=record):
            return record.state is ActionState.DONE
        case Granted():
            # Another writer may have released the attempt meanwhile.
            return False
        case Failure():
            return _is_undecided(outcome)
        case Recorded():
            return True
