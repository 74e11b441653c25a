"""Pieces that upstreams make, as a part of what they state."""

import math

#: Time over which calls are remembered, in seconds.
_MEMORY_S = 2.0
#: Full calls that are counted as made without having been seen.
_PRIOR_CALLS = 2.0
#: Least efficiency, so that a standstill ends some time.
_MIN_EFFICIENCY = 0.15


class WorkRate:
    """Measures the efficiency of a stage service while a full call waits there.

    Calls stay half empty, fail or wait for memory that the next stage frees late. What
    upstreams state is therefore too short a wait for new jobs.

    :param batch: Pieces of a full call.
    """

    def __init__(self, *, batch: int) -> None:
        self._prior = _PRIOR_CALLS * batch
        self._made = 0.0
        self._possible = 0.0
        self._new = 0
        self._seen_s: float | None = None

    @property
    def efficiency(self) -> float:
        """Pieces made of those that full calls would make, at most 1."""
        part = (self._made + self._prior) / (self._possible + self._prior)
        return min(1.0, max(_MIN_EFFICIENCY, part))

    def note_made(self, pieces: int) -> None:
        """Count pieces that were made."""
        self._new += pieces

    def observe(self, *, backlogged: bool, possible_per_s: float, now_s: float) -> None:
        """Take the pieces that were made since the last call into account.

        :param backlogged: Whether at least one full call waits.
        :param possible_per_s: Pieces that full calls would make in a second.
        :param now_s: Boot-time clock, in seconds.
        """
        last_s, self._seen_s = self._seen_s, now_s
        made, self._new = self._new, 0
        if last_s is None:
            return
        elapsed_s = now_s - last_s
        kept = math.exp(-elapsed_s / _MEMORY_S)
        self._made *= kept
        self._possible *= kept
        if backlogged:
            self._made += made
            self._possible += possible_per_s * elapsed_s
