"""Rates at which requests ask for the memory of stage services."""

import math
from collections.abc import Mapping

from galenashift.model import ServiceName

#: Time constant of the exponential decay of past requests, in seconds.
_DECAY_TIME_S = 2.0


class RoomDemand:
    """Memory that was asked for lately, by service and rank."""

    def __init__(self) -> None:
        self._sums_by_service: dict[ServiceName, dict[int, float]] = {}
        self._decayed_at_s = 0.0

    def record(
        self, size_by_service: Mapping[ServiceName, int], rank: int, *, now_s: float
    ) -> None:
        """Count a request.

        :param size_by_service: Memory that it asks for, in bytes.
        :param rank: Rank of the request; a lower one comes first.
        :param now_s: Boot-time clock, in seconds.
        """
        self._decay(now_s)
        for service, size_bytes in size_by_service.items():
            sums = self._sums_by_service.setdefault(service, {})
            sums[rank] = sums.get(rank, 0.0) + size_bytes

    def rate(self, service: ServiceName, *, below_rank: int | None) -> float:
        """Return the rate at the last request, in bytes per second.

        :param below_rank: Counts only ranks that come before this one; None for all.
        """
        sums = self._sums_by_service.get(service, {})
        total = sum(
            value
            for rank, value in sums.items()
            if below_rank is None or rank < below_rank
        )
        return total / _DECAY_TIME_S

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self._decayed_at_s) / _DECAY_TIME_S)
        self._decayed_at_s = now_s
        for sums in self._sums_by_service.values():
            for rank in sums:
                sums[rank] *= factor
