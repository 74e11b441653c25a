"""Retry budgets by service: this daemon's share of the fleet's allowance."""

from collections.abc import Callable

from galenashift.model import ServiceName
from galenashift.platform import Bounds
from galenashift.retries import RetryBudget

#: Ratio of the fleet's allowance that is distributed. The rest is for daemons that
#: restart, as they do not know the retries of the previous process.
_DISTRIBUTED_RATIO = 0.7
#: Least number of daemons by which the allowance is divided.
_MIN_DAEMONS = 4


class RetryBudgets:
    """The retry budget of each service.

    :param daemon_count: Returns the number of daemons that share the allowance.
    """

    def __init__(self, *, bounds: Bounds, daemon_count: Callable[[], int]) -> None:
        self._bounds = bounds
        self._daemon_count = daemon_count
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}

    def count_request(self, service: ServiceName, *, now_s: float) -> None:
        """Count a request to a service.

        :param now_s: Boot-time clock, in seconds.
        """
        self._budget(service).count_request(now_s=now_s)

    def try_spend(
        self, service: ServiceName, *, now_s: float, reserved_ratio: float = 0.0
    ) -> bool:
        """Count a retry if the budget allows it.

        :param now_s: Boot-time clock, in seconds.
        :param reserved_ratio: Part of the budget that must be left to others.
        :returns: Whether the retry may be sent.
        """
        return self._budget(service).try_spend(
            now_s=now_s, reserved_ratio=reserved_ratio
        )

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        daemons = max(_MIN_DAEMONS, self._daemon_count())
        share = self._bounds.retry_extra * _DISTRIBUTED_RATIO / daemons
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget(
                retry_ratio=self._bounds.retry_ratio,
                window_s=self._bounds.retry_window_s,
                min_retries=share,
            )
        budget.set_min_retries(share)
        return budget
