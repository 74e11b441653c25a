"""Retries of this daemon by service, as its share of what all daemons may spend."""

from collections.abc import Callable

from galenashift.model import ServiceName
from galenashift.platform import Bounds
from galenashift.retries import RetryBudget

#: Part of the fleet's allowance that is given out; the rest covers daemons that
#: restart with an empty record.
_SHARED_PART = 0.7
#: Fewest daemons among which the allowance is divided.
_MIN_DAEMONS = 4


class RetryBudgets:
    """One budget for each service.

    :param daemon_count: Returns the daemons that share the allowance.
    """

    def __init__(self, *, bounds: Bounds, daemon_count: Callable[[], int]) -> None:
        self._bounds = bounds
        self._daemon_count = daemon_count
        self._by_service: dict[ServiceName, RetryBudget] = {}

    def count_request(self, service: ServiceName, *, now_s: float) -> None:
        """Count a request for a service.

        :param now_s: Boot-time clock, in seconds.
        """
        self._budget(service).count_request(now_s=now_s)

    def spend(self, service: ServiceName, *, now_s: float) -> bool:
        """Count a repetition if the budget allows it.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the repetition may be sent.
        """
        return self._budget(service).spend(now_s=now_s)

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self._by_service.get(service)
        daemons = max(_MIN_DAEMONS, self._daemon_count())
        share = self._bounds.retry_extra * _SHARED_PART / daemons
        if budget is None:
            budget = self._by_service[service] = RetryBudget(
                retry_part=self._bounds.retry_ratio,
                window_s=self._bounds.retry_window_s,
                min_retries=share,
            )
        budget.set_min_retries(share)
        return budget
