"""Whether a request goes to another upstream, and after which wait."""

from ._budgets import RetryBudgets
from ._exchange import Waits
from ._request import ActiveRequest
from ._request_log import RequestLog

#: Wait for the first byte before a repeatable request goes elsewhere, as a multiple
#: of the route's goal, and at least this long, in seconds.
_FIRST_BYTE_GOALS = 1.0
_MIN_FIRST_BYTE_S = 0.5
#: Pause in a stream after which a resumable one goes elsewhere, in seconds.
_RESUME_GAP_S = 1.0
#: Time left below which nothing is sent any more, in seconds.
_MIN_LEFT_S = 0.01


class RetryPolicy:
    """Decides on further attempts within the route's limit and the budget."""

    def __init__(self, *, budgets: RetryBudgets, log: RequestLog) -> None:
        self._budgets = budgets
        self._log = log

    def count_request(self, job: ActiveRequest, *, now_s: float) -> None:
        """Count a request, of which a part may be repeated.

        :param now_s: Boot-time clock, in seconds.
        """
        self._budgets.count_request(job.service, now_s=now_s)

    def waits(self, job: ActiveRequest, *, now_s: float) -> Waits:
        """Return how long to wait for an upstream before another one is tried.

        :param now_s: Boot-time clock, in seconds.
        """
        # The wait ends before the deadline does, so that the upstream's silence counts.
        left_s = max(_MIN_LEFT_S, job.deadline_s - now_s - _MIN_LEFT_S)
        if not job.route.repeatable or len(job.tried) + 1 >= job.route.max_attempts:
            return Waits(first_s=left_s, gap_s=left_s)
        first_s = max(_MIN_FIRST_BYTE_S, _FIRST_BYTE_GOALS * job.route.goal_s)
        return Waits(first_s=min(left_s, first_s), gap_s=_RESUME_GAP_S)

    def may_repeat(self, job: ActiveRequest, *, now_s: float) -> bool:
        """Tell whether a request that was not run may go to another upstream."""
        if len(job.tried) >= job.route.max_attempts:
            return False
        if job.deadline_s - now_s < _MIN_LEFT_S:
            return False
        allowed = self._budgets.spend(job.service, now_s=now_s)
        self._log.retry_decided(job, allowed=allowed, now_s=now_s)
        return allowed

    def may_rerun(self, job: ActiveRequest, *, now_s: float) -> bool:
        """Tell whether a request that may have run may go to another upstream."""
        return job.route.repeatable and self.may_repeat(job, now_s=now_s)
