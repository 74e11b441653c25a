"""Token bucket rate limiting."""


class TokenBucket:
    """Admits at most ``burst + rate * window`` over any window.

    A bucket starts empty, so that replacing a bucket by a new one adds no burst.

    :param rate_per_s: Units added per second.
    :param burst: Capacity of the bucket, in units.
    :param started_at_s: Boot-time clock, in seconds, at which the bucket is empty.
    """

    def __init__(self, *, rate_per_s: float, burst: float, started_at_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._updated_at_s = started_at_s

    def level(self, *, now_s: float) -> float:
        """Return the number of units that can be taken.

        :param now_s: Boot-time clock, in seconds.
        """
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        return min(self._burst, self._level + elapsed_s * self._rate_per_s)

    def take(self, *, units: float, now_s: float) -> None:
        """Remove units.

        :param units: Number of units, at most the level.
        :param now_s: Boot-time clock, in seconds.
        """
        self._level = self.level(now_s=now_s) - units
        self._updated_at_s = max(self._updated_at_s, now_s)

    def empty_until(self, *, at_s: float) -> None:
        """Remove all units, and add none before a given time.

        :param at_s: Boot-time clock, in seconds, from which units are added again.
        """
        self._level = 0.0
        self._updated_at_s = max(self._updated_at_s, at_s)

    def reconfigure(self, *, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate and the burst from now on.

        :param rate_per_s: Units added per second.
        :param burst: Capacity of the bucket, in units.
        :param now_s: Boot-time clock, in seconds.
        """
        if (rate_per_s, burst) == (self._rate_per_s, self._burst):
            return
        self._level = min(burst, self.level(now_s=now_s))
        self._updated_at_s = max(self._updated_at_s, now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
