"""Rate at which a stage service gets pieces that precede the queued late jobs."""

import math

#: Time constant of the exponential decay of past jobs, in seconds.
_DECAY_TIME_S = 2.0
#: Least part of the throughput that counts as left for late jobs. The rate of new jobs
#: includes some that will be late or withdrawn themselves.
_MIN_CAPACITY_RATIO = 1 / 6


class StageDemand:
    """Estimates the rate at which pieces are queued, from recent jobs."""

    def __init__(self) -> None:
        self._pieces = 0.0
        self._decayed_at_s = 0.0

    def record(self, pieces: int, *, now_s: float) -> None:
        """Count a queued job.

        :param now_s: Boot-time clock, in seconds.
        """
        self._decay(now_s)
        self._pieces += pieces

    def remaining_capacity_ratio(
        self, *, throughput_per_s: float, now_s: float
    ) -> float:
        """Return the part of the throughput that is left after the new jobs.

        :param throughput_per_s: Pieces that the service can execute per second.
        :param now_s: Boot-time clock, in seconds.
        """
        self._decay(now_s)
        arrivals_per_s = self._pieces / _DECAY_TIME_S
        return max(_MIN_CAPACITY_RATIO, 1.0 - arrivals_per_s / throughput_per_s)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._decayed_at_s
        self._decayed_at_s = now_s
        self._pieces *= math.exp(-elapsed_s / _DECAY_TIME_S)
