"""Retry decisions and timeouts of a request."""

from ._exchange import ExchangeTimeouts
from ._request import ActiveRequest
from ._request_log import RequestLog
from ._retry_budgets import RetryBudgets

#: Wait for the first byte before a repeatable request is sent to another upstream, as a
#: multiple of the route's latency goal.
_FIRST_BYTE_GOAL_RATIO = 1.0
#: Lower bound of that wait, in seconds.
_MIN_FIRST_BYTE_TIMEOUT_S = 0.5
#: Pause in a stream after which it resumes at another upstream, in seconds.
_RESUME_GAP_TIMEOUT_S = 1.0
#: Least time before the deadline at which a request is still sent, in seconds.
_MIN_REMAINING_S = 0.01


class RetryPolicy:
    """Decides on retries within the route's attempt limit and the retry budget."""

    def __init__(self, *, budgets: RetryBudgets, log: RequestLog) -> None:
        self._retry_budgets = budgets
        self._log = log

    def count_request(self, job: ActiveRequest, *, now_s: float) -> None:
        """Count a request; the retry budget is a ratio of the counted requests.
        :param now_s: Boot-time clock, in seconds.
        """
        self._retry_budgets.count_request(job.service, now_s=now_s)

    def timeouts(self, job: ActiveRequest, *, now_s: float) -> ExchangeTimeouts:
        """Return the timeouts of an exchange, after which another upstream is tried.

        :param now_s: Boot-time clock, in seconds.
        """
        # The timeout is before the deadline, so that a missing answer is recorded as a
        # failure of the upstream.
        left_s = max(_MIN_REMAINING_S, job.deadline_s - now_s - _MIN_REMAINING_S)
        if not job.route.repeatable or len(job.tried) + 1 >= job.route.max_attempts:
            return ExchangeTimeouts(first_byte_s=left_s, event_gap_s=left_s)
        first_byte_s = max(
            _MIN_FIRST_BYTE_TIMEOUT_S, _FIRST_BYTE_GOAL_RATIO * job.route.latency_goal_s
        )
        return ExchangeTimeouts(
            first_byte_s=min(left_s, first_byte_s), event_gap_s=_RESUME_GAP_TIMEOUT_S
        )

    def may_retry(self, job: ActiveRequest, *, now_s: float) -> bool:
        """Tell whether a request that was not executed may be retried."""
        if len(job.tried) >= job.route.max_attempts:
            return False
        if job.deadline_s - now_s < _MIN_REMAINING_S:
            return False
        allowed = self._retry_budgets.try_spend(job.service, now_s=now_s)
        self._log.retry_decided(job, allowed=allowed, now_s=now_s)
        return allowed

    def may_retry_after_execution(self, job: ActiveRequest, *, now_s: float) -> bool:
        """Tell whether a request that may have been executed may be retried."""
        return job.route.repeatable and self.may_retry(job, now_s=now_s)
