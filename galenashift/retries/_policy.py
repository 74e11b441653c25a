"""Decides whether a failed attempt of a stage is retried, resumed or given up."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from galenashift.model import Failure, Reason, Verdict

if TYPE_CHECKING:
    from galenashift.config import StageConfig

#: Maximum retries of one stage, in addition to the first attempt.
MAX_RETRIES = 2

#: Reasons for which a retry on another upstream is useless.
_NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.MALFORMED,
        Reason.TOO_LARGE,
        Reason.FORBIDDEN,
        Reason.UNAUTHENTICATED,
        Reason.QUARANTINED,
        Reason.LIMIT_REACHED,
        Reason.ISOLATED,
        Reason.SHUTTING_DOWN,
        Reason.CALLER_GONE,
        Reason.DEADLINE_UNREACHABLE,
        Reason.ACTION_IN_PROGRESS,
        Reason.OUTCOME_UNKNOWN,
        Reason.KEY_REQUIRED,
        Reason.KEY_EXPIRED,
        Reason.KEY_REUSED,
        Reason.NO_UPSTREAM,
        Reason.NO_PERMIT,
        Reason.STORE_UNAVAILABLE,
        Reason.STORE_AMBIGUOUS,
        Reason.STORE_CONFLICT,
        Reason.INTERNAL,
    }
)


@dataclass(frozen=True, kw_only=True)
class RetryElsewhere:
    """Retry the stage on another upstream."""


@dataclass(frozen=True, kw_only=True)
class Resume:
    """Resume the stream on another upstream, after the tokens delivered so far."""

    #: Number of tokens that the caller already has.
    delivered: int


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Return the failure to the caller."""

    #: Reason for the log.
    why: str


RetryDecision = RetryElsewhere | Resume | GiveUp


def decide_retry(
    failure: Failure,
    *,
    stage: "StageConfig",
    retries: int,
    delivered: int,
    remaining_s: float,
    overloaded: bool,
) -> RetryDecision:
    """Decide what follows a failed attempt; the retry budget is checked separately.

    :param failure: Outcome of the attempt.
    :param stage: The stage that failed.
    :param retries: Retries of the stage so far.
    :param delivered: Number of tokens received from the stage.
    :param remaining_s: Seconds until the request's deadline.
    :param overloaded: Whether calls are queued for the pool.
    """
    match failure:
        case Failure(reason=reason) if reason in _NON_RETRYABLE_REASONS:
            return GiveUp(why="final-reason")
        case Failure(verdict=verdict) if (
            verdict is not Verdict.NOT_RUN and not stage.idempotent
        ):
            return GiveUp(why="not-idempotent")
        case Failure(verdict=Verdict.RAN):
            # The upstream executed the stage and returned an error.
            return GiveUp(why="answered")
    if remaining_s <= 0:
        return GiveUp(why="deadline")
    if retries >= MAX_RETRIES:
        return GiveUp(why="attempts")
    if overloaded:
        return GiveUp(why="overloaded")
    if delivered:
        return Resume(delivered=delivered)
    return RetryElsewhere()
