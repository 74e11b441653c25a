"""The error value that a fallible operation returns instead of a result."""

from dataclasses import dataclass
from enum import Enum

from ._verdict import Verdict


class Reason(Enum):
    """Why an operation failed. The values appear in logs and error bodies."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_PIPELINE = "unknown-pipeline"
    UNKNOWN_REQUEST = "unknown-request"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_REUSED = "idempotency-key-reused"
    ACTION_IN_PROGRESS = "action-in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    QUARANTINED = "quarantined"
    LIMIT_REACHED = "limit-reached"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    NO_PERMIT = "no-cold-start-permit"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_FAILED = "upstream-failed"
    CONNECTION_SILENT = "connection-silent"
    WRONG_EXCHANGE = "wrong-exchange"
    INCOMPLETE_STREAM = "incomplete-stream"
    DEADLINE_PASSED = "deadline-passed"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    CALLER_GONE = "caller-gone"
    ISOLATED = "isolated"
    SHUTTING_DOWN = "shutting-down"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_CONFLICT = "store-conflict"
    STORE_AMBIGUOUS = "store-answer-lost"
    LOG_LOADING = "action-log-loading"
    PEER_UNAVAILABLE = "peer-unavailable"
    STALE_PLAN = "stale-plan"
    INVALID_CONFIGURATION = "invalid-configuration"
    MINORITY = "minority-of-daemons"
    FAILURE_DOMAIN_OUT = "failure-domain-out"
    INTERNAL = "internal"


_STATUS_BY_REASON = {
    Reason.MALFORMED: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.INVALID_CONFIGURATION: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_PIPELINE: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.ACTION_IN_PROGRESS: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.STALE_PLAN: 409,
    Reason.KEY_EXPIRED: 410,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.QUARANTINED: 422,
    Reason.LIMIT_REACHED: 429,
    Reason.INTERNAL: 500,
    Reason.UPSTREAM_FAILED: 502,
    Reason.CONNECTION_SILENT: 502,
    Reason.WRONG_EXCHANGE: 502,
    Reason.INCOMPLETE_STREAM: 502,
    Reason.DEADLINE_PASSED: 504,
}

_DEFAULT_STATUS = 503


@dataclass(frozen=True, kw_only=True)
class Failure:
    """The error of an operation, with what is known about its execution."""

    #: Whether an upstream may have executed the request.
    verdict: Verdict
    #: Error code.
    reason: Reason
    #: One line for people: what failed, where, and what to do about it.
    detail: str
    #: Seconds after which a retry may succeed, if known.
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """HTTP status code of the error response to callers and operators."""
        return _STATUS_BY_REASON.get(self.reason, _DEFAULT_STATUS)


def not_run(
    *, reason: Reason, detail: str, retry_after_s: float | None = None
) -> Failure:
    """Create a failure of a request that no upstream has executed.

    :param reason: Error code.
    :param detail: What failed, in one line.
    :param retry_after_s: Seconds after which a retry may succeed.
    """
    return Failure(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def may_have_run(*, reason: Reason, detail: str) -> Failure:
    """Create a failure of a request that an upstream may have executed.

    :param reason: Error code.
    :param detail: What failed, in one line.
    """
    return Failure(verdict=Verdict.MAY_HAVE_RUN, reason=reason, detail=detail)
