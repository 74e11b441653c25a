"""Failures that are reported to callers."""

from galenashift.model import Failure, Reason, Verdict, may_have_run, not_run

from ._crashes import Refusal
from ._outcomes import Broken, Outcome, Silent, StreamEnded
from ._router import LimitWait
from ._stage_outcome import StageFailed, StageProblem

#: ``Retry-After`` of a request that no upstream had capacity for, in seconds.
NO_CAPACITY_RETRY_AFTER_S = 0.25
#: Longest ``Retry-After`` of a request that upstreams hold back, in seconds. They may
#: be replaced before the pause that they asked for ends.
_MAX_HELD_BACK_RETRY_AFTER_S = 30.0
#: ``Retry-After`` of a request that is refused in a shutdown, in seconds. A new
#: connection of the caller reaches another daemon.
SHUTDOWN_RETRY_AFTER_S = 0.05
#: Shortest and longest ``Retry-After`` of a quarantined request, in seconds. Such
#: requests are served once a trial has completed.
_MIN_QUARANTINE_RETRY_AFTER_S = 1.0
_MAX_QUARANTINE_RETRY_AFTER_S = 60.0


def stage_failure(failed: StageFailed, *, verdict: Verdict) -> Failure:
    """Return the failure of a request whose stage failed, so that it was not sent.

    :param verdict: Verdict on the earlier attempts.
    """
    detail = f"stage failed: {failed.problem.value}"
    if verdict is not Verdict.NOT_RUN:
        return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
    match failed.problem:
        case StageProblem.LATE | StageProblem.NO_ROOM:
            reason = Reason.DEADLINE_UNREACHABLE
        case StageProblem.NO_UPSTREAM:
            reason = Reason.NO_UPSTREAM
        case StageProblem.FAILED | StageProblem.INPUT_GONE | StageProblem.UNREACHABLE:
            reason = Reason.OVERLOADED
    wait_s = failed.retry_after_s or NO_CAPACITY_RETRY_AFTER_S
    return not_run(
        reason=reason,
        detail=detail,
        retry_after_s=min(wait_s, _MAX_HELD_BACK_RETRY_AFTER_S),
    )


def refused_failure(verdict: Verdict) -> Failure:
    """Return the failure of a request that its last upstream refused.

    :param verdict: Verdict on the earlier attempts.
    """
    detail = "the upstream refused the request"
    if verdict is not Verdict.NOT_RUN:
        return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
    return not_run(
        reason=Reason.UPSTREAM_REFUSED,
        detail=detail,
        retry_after_s=NO_CAPACITY_RETRY_AFTER_S,
    )


def broken_failure(outcome: Outcome) -> Failure:
    """Return the failure of a request that was sent and not answered completely."""
    match outcome:
        case Silent():
            return may_have_run(
                reason=Reason.DEADLINE_PASSED, detail="the upstream did not answer"
            )
        case StreamEnded(detail=detail) | Broken(detail=detail):
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
        case _:
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail="no answer")


def undeliverable_failure(status: int) -> Failure:
    """Return the failure of a request whose answer would be a false promise.

    :param status: Status of the upstream's answer; see `Answered.is_deliverable`.
    """
    return may_have_run(
        reason=Reason.UPSTREAM_FAILED,
        detail=(
            f"the upstream answered {status} without stating that it did not execute"
            " the request"
        ),
    )


def resume_failure(status: int) -> Failure:
    """Return the failure of a stream whose next upstream answered with an error.

    :param status: Status of that answer, which can't follow the events sent before.
    """
    return may_have_run(
        reason=Reason.INCOMPLETE_STREAM,
        detail=f"the upstream that was to resume the stream answered {status}",
    )


def timeout_failure(*, sent: bool) -> Failure:
    """Return the failure of a request whose deadline has passed.

    :param sent: Whether an upstream may have received it.
    """
    if sent:
        return may_have_run(
            reason=Reason.DEADLINE_PASSED, detail="the deadline has passed"
        )
    return not_run(
        reason=Reason.DEADLINE_UNREACHABLE,
        detail="the deadline passed before the request was sent",
    )


def shutdown_failure(*, sent: bool) -> Failure:
    """Return the failure of a request that is not answered before the process ends.

    :param sent: Whether an upstream may have received it.
    """
    detail = "this daemon ends before the answer"
    if sent:
        return may_have_run(reason=Reason.DEADLINE_PASSED, detail=detail)
    return not_run(
        reason=Reason.SHUTTING_DOWN,
        detail=detail,
        retry_after_s=SHUTDOWN_RETRY_AFTER_S,
    )


def no_upstream_failure(
    verdict: Verdict, *, service: str, limit_wait: LimitWait | None
) -> Failure:
    """Return the failure of a request for which no upstream is eligible.

    :param verdict: Verdict on the earlier attempts.
    :param limit_wait: How long all upstreams hold it back, if they do.
    """
    if verdict is not Verdict.NOT_RUN:
        return may_have_run(
            reason=Reason.UPSTREAM_FAILED,
            detail="no other upstream is available for a retry",
        )
    if limit_wait is not None:
        return _limited_failure(limit_wait, service=service)
    return not_run(
        reason=Reason.NO_UPSTREAM,
        detail=f"no upstream of {service} is available",
        retry_after_s=NO_CAPACITY_RETRY_AFTER_S,
    )


def _limited_failure(limit_wait: LimitWait, *, service: str) -> Failure:
    # A caller that comes back reaches another daemon, which may have a permit by then.
    wait_s = min(limit_wait.here_s, limit_wait.interval_s, _MAX_HELD_BACK_RETRY_AFTER_S)
    return not_run(
        reason=Reason.NO_UPSTREAM,
        detail=(
            f"{limit_wait.upstreams} upstreams of {service} limit their requests or"
            f" pause; the next permit here is in {limit_wait.here_s:.2f} s"
        ),
        retry_after_s=max(NO_CAPACITY_RETRY_AFTER_S, wait_s),
    )


def quarantine_failure(verdict: Verdict, refusal: Refusal) -> Failure:
    """Return the failure of a request that is like others that crashed upstreams.

    :param verdict: Verdict on the earlier attempts.
    """
    quarantine = refusal.quarantine
    detail = f"{quarantine.suspect} has crashed {quarantine.crashes} upstreams"
    if verdict is not Verdict.NOT_RUN:
        return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
    wait_s = max(_MIN_QUARANTINE_RETRY_AFTER_S, refusal.trial_wait_s)
    return not_run(
        reason=Reason.OVERLOADED,
        detail=detail,
        retry_after_s=min(_MAX_QUARANTINE_RETRY_AFTER_S, wait_s),
    )
