"""Decision rules of the action log, as pure functions."""

from dataclasses import dataclass, replace

from galenashift.model import (
    ActionRecord,
    ActionState,
    AttemptId,
    Existing,
    Failure,
    Granted,
    Reason,
    Recorded,
    Verdict,
    may_have_run,
    not_run,
)

from ._key import CLOCK_SKEW_S

#: Time after the call of a reservation within which its attempt must be dispatched, in
#: seconds. A dispatcher that was paused for longer may count as dead.
DISPATCH_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True)
class KeyHistory:
    """State of one key according to the log."""

    #: Record of the last granted attempt; if none, of the first one released.
    current: ActionRecord
    #: Released attempts; none of them may be granted again.
    released: frozenset[AttemptId] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Decision:
    """Decision on one reservation or completion."""

    #: Record that must be appended first; None if the log needs no change.
    append: ActionRecord | None = None
    #: Outcome for the caller, valid once the record is stored.
    outcome: Granted | Existing | Recorded | Failure


def apply_record(history: KeyHistory | None, record: ActionRecord) -> KeyHistory:
    """Add one record of the log to the history of its key.

    Applying a record twice has no further effect, so a segment may be read again.
    """
    if history is None:
        released = record.state is ActionState.RELEASED
        attempts = frozenset({record.attempt}) if released else frozenset()
        return KeyHistory(current=record, released=attempts)
    current = history.current
    match record.state:
        case ActionState.RELEASED:
            ends_current = (
                current.attempt == record.attempt
                and current.state is not ActionState.DONE
            )
            return KeyHistory(
                current=record if ends_current else current,
                released=history.released | {record.attempt},
            )
        case ActionState.STARTED:
            supersedes = (
                current.state is ActionState.RELEASED
                and record.attempt not in history.released
            )
        case ActionState.DONE:
            supersedes = (
                current.state is ActionState.STARTED
                and current.attempt == record.attempt
            )
    return replace(history, current=record) if supersedes else history


def decide_reservation(
    history: KeyHistory | None, record: ActionRecord, *, now_s: float
) -> Decision:
    """Decide whether an attempt may be dispatched.

    :param history: State of the key, None if the log has no record of it.
    :param record: The attempt, in state ``STARTED``.
    :param now_s: Unix time in seconds.
    """
    if history is not None:
        current = history.current
        if record.attempt in history.released:
            # The dispatcher abandoned the attempt before this call was processed.
            released = replace(record, state=ActionState.RELEASED)
            return Decision(outcome=Existing(record=released))
        if current.attempt == record.attempt and current.state is ActionState.STARTED:
            # The answer to the attempt's first reservation was lost.
            return Decision(outcome=Granted(record=current))
        if current.state is not ActionState.RELEASED:
            return Decision(outcome=Existing(record=current))
        if current.body_digest != record.body_digest:
            return Decision(outcome=Existing(record=current))
    if now_s - record.started_at_s > CLOCK_SKEW_S:
        # Retention counts from the write of a record. A reservation that is delayed
        # for so long might use a key whose earlier records have expired.
        detail = f"the reservation is {now_s - record.started_at_s:.0f} s old"
        failure = not_run(reason=Reason.DEADLINE_PASSED, detail=detail)
        return Decision(outcome=failure)
    return Decision(append=record, outcome=Granted(record=record))


def decide_completion(history: KeyHistory | None, record: ActionRecord) -> Decision:
    """Decide whether an attempt's outcome is recorded.

    :param history: State of the key, None if the log has no record of it.
    :param record: The attempt, in state ``DONE`` or ``RELEASED``.
    """
    if record.state is ActionState.RELEASED:
        return _decide_release(history, record)
    if history is None:
        return Decision(append=record, outcome=Recorded())
    current = history.current
    if current.attempt == record.attempt and record.attempt not in history.released:
        if current.state is ActionState.DONE:
            return Decision(outcome=Recorded())
        return Decision(append=record, outcome=Recorded())
    detail = f"attempt {record.attempt} was released or replaced; its answer is dropped"
    return Decision(outcome=may_have_run(reason=Reason.STORE_CONFLICT, detail=detail))


def _decide_release(history: KeyHistory | None, record: ActionRecord) -> Decision:
    # A release is recorded even if the attempt is not in the log, so that its
    # reservation is not granted if it arrives later.
    if history is None:
        return Decision(append=record, outcome=Recorded())
    if record.attempt in history.released:
        return Decision(outcome=Recorded())
    current = history.current
    if current.attempt == record.attempt and current.state is ActionState.DONE:
        detail = f"attempt {record.attempt} is done and cannot be released"
        return Decision(
            outcome=may_have_run(reason=Reason.STORE_CONFLICT, detail=detail)
        )
    return Decision(append=record, outcome=Recorded())


def decide(
    history: KeyHistory | None, record: ActionRecord, *, now_s: float
) -> Decision:
    """Decide on a reservation or a completion, depending on the record's state."""
    if record.state is ActionState.STARTED:
        return decide_reservation(history, record, now_s=now_s)
    return decide_completion(history, record)


def may_dispatch(*, reserved_at_s: float, deadline_s: float, now_s: float) -> bool:
    """Tell whether a granted attempt may still be sent.

    :param reserved_at_s: Boot-time clock before the reservation, in seconds.
    :param deadline_s: Boot-time clock of the request's deadline, in seconds.
    :param now_s: Boot-time clock, in seconds, read just before the first byte.
    """
    return now_s - reserved_at_s < DISPATCH_TIMEOUT_S and now_s < deadline_s


def explain_existing(
    existing: ActionRecord, *, body_digest: str, dispatcher_alive: bool
) -> str | Failure:
    """Return the answer for a caller whose key is already in the log.

    :param existing: Record under the key.
    :param body_digest: Digest of the caller's pipeline and input.
    :param dispatcher_alive: Whether the recorded dispatcher is alive with the
        recorded incarnation.
    :returns: The JSON text of the first answer, or a failure if there is none.
    """
    if existing.body_digest != body_digest:
        detail = "the idempotency key was used before with another body"
        return not_run(reason=Reason.KEY_REUSED, detail=detail)
    match existing.state:
        case ActionState.DONE if existing.answer:
            return existing.answer
        case ActionState.DONE:
            return Failure(
                verdict=Verdict.RAN,
                reason=Reason.OUTCOME_UNKNOWN,
                detail="the action ran; its answer was not recorded",
            )
        case ActionState.STARTED if dispatcher_alive:
            detail = "another attempt with this idempotency key is running"
            return may_have_run(reason=Reason.ACTION_IN_PROGRESS, detail=detail)
        case ActionState.STARTED:
            detail = (
                "an earlier attempt with this idempotency key did not report its "
                "outcome"
            )
            return may_have_run(reason=Reason.OUTCOME_UNKNOWN, detail=detail)
        case ActionState.RELEASED:
            return not_run(
                reason=Reason.STORE_UNAVAILABLE,
                detail="an earlier attempt with this key was released just now",
                retry_after_s=1.0,
            )
