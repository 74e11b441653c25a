"""Bounds the retries of one pool by its recent requests."""

from collections import deque
from dataclasses import dataclass

#: Retries as a part of the recent requests.
_RETRY_PART = 0.1
#: Seconds of requests and retries that count.
_WINDOW_S = 60
#: Retries in a window that are allowed without any requests. A daemon with few
#: requests could otherwise never retry; at 340 daemons this adds at most 57
#: retries/s to 3,400 requests/s.
_MIN_RETRIES = 10


@dataclass(kw_only=True)
class _Second:
    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Keeps retries from multiplying the load on a failing pool.

    :param retry_part: Retries as a part of the recent requests.
    :param window_s: Seconds of requests and retries that count.
    :param min_retries: Retries in a window that are allowed without any requests.
    """

    def __init__(
        self,
        *,
        retry_part: float = _RETRY_PART,
        window_s: float = _WINDOW_S,
        min_retries: float = _MIN_RETRIES,
    ) -> None:
        self._retry_part = retry_part
        self._window_s = window_s
        self._min_retries = min_retries
        self._seconds: deque[_Second] = deque()
        self._requests = 0
        self._retries = 0

    def _at(self, now_s: float) -> _Second:
        second = int(now_s)
        while self._seconds and self._seconds[0].second <= second - self._window_s:
            old = self._seconds.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not self._seconds or self._seconds[-1].second < second:
            self._seconds.append(_Second(second=second))
        return self._seconds[-1]

    def set_min_retries(self, min_retries: float) -> None:
        """Change the retries in a window that are allowed without any requests."""
        self._min_retries = min_retries

    def count_request(self, *, now_s: float) -> None:
        """Count a first attempt.

        :param now_s: Boot-time clock, in seconds.
        """
        self._at(now_s).requests += 1
        self._requests += 1

    def spend(self, *, now_s: float) -> bool:
        """Count a retry if the budget allows it.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the retry may be sent.
        """
        current = self._at(now_s)
        allowed = max(self._min_retries, self._retry_part * self._requests)
        if self._retries + 1 > allowed:
            return False
        current.retries += 1
        self._retries += 1
        return True
