"""Limits retries to a fraction of the recent requests."""

from collections import deque
from dataclasses import dataclass

#: Retries allowed as a fraction of the requests in the window.
_RETRY_RATIO = 0.1
#: Length of the sliding window, in seconds.
_WINDOW_S = 60
#: Retries that are allowed in a window even without any requests. Without this
#: minimum, a daemon with few requests could never retry. With 340 daemons it adds at
#: most 57 retries/s to 3,400 requests/s.
_MIN_RETRIES = 10


@dataclass(kw_only=True)
class _SecondCounts:
    """Requests and retries in one second of the window."""

    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Keeps retries from multiplying the load on a failing pool or service.

    :param retry_ratio: Retries allowed as a fraction of the requests in the window.
    :param window_s: Length of the sliding window, in seconds.
    :param min_retries: Retries allowed in a window even without any requests.
    """

    def __init__(
        self,
        *,
        retry_ratio: float = _RETRY_RATIO,
        window_s: float = _WINDOW_S,
        min_retries: float = _MIN_RETRIES,
    ) -> None:
        self._retry_ratio = retry_ratio
        self._window_s = window_s
        self._min_retries = min_retries
        self._second_counts: deque[_SecondCounts] = deque()
        self._requests = 0
        self._retries = 0

    def _counts_at(self, now_s: float) -> _SecondCounts:
        second = int(now_s)
        while (
            self._second_counts
            and self._second_counts[0].second <= second - self._window_s
        ):
            expired = self._second_counts.popleft()
            self._requests -= expired.requests
            self._retries -= expired.retries
        if not self._second_counts or self._second_counts[-1].second < second:
            self._second_counts.append(_SecondCounts(second=second))
        return self._second_counts[-1]

    def set_min_retries(self, min_retries: float) -> None:
        """Set the number of retries that a window allows even without any requests."""
        self._min_retries = min_retries

    def count_request(self, *, now_s: float) -> None:
        """Record the first attempt of a request.

        :param now_s: Boot-time clock, in seconds.
        """
        self._counts_at(now_s).requests += 1
        self._requests += 1

    def try_spend(self, *, now_s: float, reserved_ratio: float = 0.0) -> bool:
        """Consume one retry from the budget, if it allows one.

        :param now_s: Boot-time clock, in seconds.
        :param reserved_ratio: Part of the allowance that must be left to others.
        :returns: Whether the retry may be sent.
        """
        current = self._counts_at(now_s)
        allowed = max(self._min_retries, self._retry_ratio * self._requests)
        if self._retries + 1 > allowed * (1 - reserved_ratio):
            return False
        current.retries += 1
        self._retries += 1
        return True
