"""Failures that callers are told, from what became of their requests."""

from galenashift.model import Failure, Reason, Verdict, may_have_run, not_run

from ._exchange import Broken, Outcome, Silent, StreamEnded
from ._stage_outcome import StageFailed, StageProblem

#: Time after which a caller may come back when an upstream was full, in seconds.
FULL_RETRY_AFTER_S = 0.25
#: The same for a request that crashes upstreams, in seconds.
QUARANTINE_RETRY_AFTER_S = 60.0


def stage_failure(failed: StageFailed) -> Failure:
    """Make the failure of a request that was not sent, as a stage was not made."""
    detail = f"a stage was not made: {failed.problem.value}"
    match failed.problem:
        case StageProblem.LATE:
            reason = Reason.DEADLINE_UNREACHABLE
        case StageProblem.NO_UPSTREAM:
            reason = Reason.NO_UPSTREAM
        case StageProblem.FAILED | StageProblem.INPUT_GONE | StageProblem.UNREACHABLE:
            reason = Reason.OVERLOADED
    return not_run(
        reason=reason,
        detail=detail,
        retry_after_s=failed.retry_after_s or FULL_RETRY_AFTER_S,
    )


def refused_failure(verdict: Verdict) -> Failure:
    """Make the failure of a request that its last upstream did not accept.

    :param verdict: What is known of the upstreams before.
    """
    detail = "the upstream did not accept the request"
    if verdict is not Verdict.NOT_RUN:
        return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
    return not_run(
        reason=Reason.UPSTREAM_REFUSED,
        detail=detail,
        retry_after_s=FULL_RETRY_AFTER_S,
    )


def broken_failure(outcome: Outcome) -> Failure:
    """Make the failure of a request that was sent and not answered whole."""
    match outcome:
        case Silent():
            return may_have_run(
                reason=Reason.DEADLINE_PASSED, detail="the upstream did not answer"
            )
        case StreamEnded(detail=detail) | Broken(detail=detail):
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail=detail)
        case _:
            return may_have_run(reason=Reason.UPSTREAM_FAILED, detail="no answer")


def timeout_failure(*, sent: bool) -> Failure:
    """Make the failure of a request whose time has run out.

    :param sent: Whether an upstream may have got it.
    """
    if sent:
        return may_have_run(
            reason=Reason.DEADLINE_PASSED, detail="the deadline has passed"
        )
    return not_run(
        reason=Reason.DEADLINE_UNREACHABLE,
        detail="the deadline passed before the request was sent",
    )


def no_upstream_failure(verdict: Verdict, *, service: str) -> Failure:
    """Make the failure of a request that no upstream can take.

    :param verdict: What is known of the upstreams before.
    """
    if verdict is not Verdict.NOT_RUN:
        return may_have_run(
            reason=Reason.UPSTREAM_FAILED, detail="no other upstream can take it"
        )
    return not_run(
        reason=Reason.NO_UPSTREAM,
        detail=f"no upstream of {service} can take the request",
        retry_after_s=FULL_RETRY_AFTER_S,
    )


def quarantine_failure() -> Failure:
    """Make the failure of a request that has crashed several upstreams."""
    return not_run(
        reason=Reason.OVERLOADED,
        detail="upstreams crashed while they ran this request",
        retry_after_s=QUARANTINE_RETRY_AFTER_S,
    )
