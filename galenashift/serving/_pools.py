"""State that a daemon keeps for each pool."""

from collections.abc import Callable

from galenashift.limits import ConcurrencyLimit, PoolAdmission
from galenashift.model import Fleet, PoolName
from galenashift.retries import FirstTokenWait, RetryBudget
from galenashift.routing import OutlierDetector

#: Time for which a count of the live daemons is cached.
_DAEMON_COUNT_TTL_S = 1.0


class Pool:
    """Admission control, retries, outliers and first-token wait of a pool."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.admission = PoolAdmission(limit=ConcurrencyLimit(), clock=clock)
        self.budget = RetryBudget()
        self.outliers = OutlierDetector()
        self.first_token_wait = FirstTokenWait()


class Pools:
    """All pools by name, created on first use."""

    def __init__(self, *, clock: Callable[[], float], fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self._pools_by_name: dict[PoolName, Pool] = {}
        self._daemon_count = 1
        self._count_expires_at_s = float("-inf")

    def get(self, name: PoolName) -> Pool:
        """Return the state of a pool, creating it on first use.

        :param name: Name of the pool.
        """
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = self._pools_by_name[name] = Pool(clock=self._clock)
        return pool

    def daemons(self, *, now_s: float) -> int:
        """Return the number of live daemons, at least 1.

        :param now_s: Boot-time clock, in seconds.
        """
        if now_s >= self._count_expires_at_s:
            self._daemon_count = max(1, len(self._fleet.alive(now_s=now_s)))
            self._count_expires_at_s = now_s + _DAEMON_COUNT_TTL_S
        return self._daemon_count
