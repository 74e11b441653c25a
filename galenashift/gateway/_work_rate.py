"""Efficiency of a stage service: its throughput relative to the nominal one."""

import math

#: Time constant of the exponential decay of past samples, in seconds.
_DECAY_TIME_S = 2.0
#: Weight of the prior efficiency of 1, as a number of full calls.
_PRIOR_CALLS = 2.0
#: Lower bound, so that the expected wait stays finite when no call succeeds.
_MIN_EFFICIENCY = 0.15


class EfficiencyEstimator:
    """Estimates the efficiency of a stage service while at least one full batch waits.

    Calls may be partly filled, fail, or wait for memory that the next stage frees late.
    A wait computed from nominal durations alone would therefore be too short.

    :param batch: Number of pieces in a full call.
    """

    def __init__(self, *, batch: int) -> None:
        self._prior = _PRIOR_CALLS * batch
        self._completed = 0.0
        self._possible = 0.0
        self._new_completed = 0
        self._updated_s: float | None = None

    @property
    def efficiency(self) -> float:
        """Ratio of the actual throughput to that of full calls, at most 1."""
        ratio = (self._completed + self._prior) / (self._possible + self._prior)
        return min(1.0, max(_MIN_EFFICIENCY, ratio))

    def record_completed(self, pieces: int) -> None:
        """Count completed pieces."""
        self._new_completed += pieces

    def update(self, *, backlogged: bool, possible_per_s: float, now_s: float) -> None:
        """Update the estimate with the pieces completed since the last update.

        :param backlogged: Whether at least one full batch waits.
        :param possible_per_s: Throughput if all calls were full, in pieces per second.
        :param now_s: Boot-time clock, in seconds.
        """
        last_s, self._updated_s = self._updated_s, now_s
        made, self._new_completed = self._new_completed, 0
        if last_s is None:
            return
        elapsed_s = now_s - last_s
        decay = math.exp(-elapsed_s / _DECAY_TIME_S)
        self._completed *= decay
        self._possible *= decay
        if backlogged:
            self._completed += made
            self._possible += possible_per_s * elapsed_s
