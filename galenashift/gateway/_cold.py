"""Share of one daemon in what a cold upstream bears."""

import math
from collections import deque
from collections.abc import Iterable

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId, Service, ServiceName, UpstreamId

from ._health import HealthBook
from ._view import KnownUpstream

#: Window over which the requests of a cold upstream are counted, in seconds; longer
#: than the second of the limit, as requests spend different times on the way.
WINDOW_S = 1.15
#: Daemons that may start without being registered yet, as a part of those known.
_UNKNOWN_DAEMONS = 0.25


class ColdGate:
    """Bounds the requests of this daemon at each cold upstream.

    Every daemon takes an equal share. Where the shares are below one request, the
    daemons that rank first for the upstream take one each.

    :param daemon_id: This daemon.
    :param factor: Multiple of an upstream's own limit that the platform allows.
    :param extra: Requests per second beyond that.
    :param started_at_s: Boot-time clock at the start of the process, in seconds; the
        requests of the process before are unknown for one window.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        health: HealthBook,
        factor: float,
        extra: float,
        started_at_s: float,
    ) -> None:
        self._daemon_id = daemon_id
        self._health = health
        self._factor = factor
        self._extra = extra
        self._started_at_s = started_at_s
        self._services_by_name: dict[ServiceName, Service] = {}
        self._sent_at_s: dict[UpstreamId, deque[float]] = {}
        self._daemons: tuple[DaemonId, ...] = ()

    def configure(self, services_by_name: dict[ServiceName, Service]) -> None:
        """Adopt the services of a new configuration."""
        self._services_by_name = services_by_name

    def set_daemons(self, daemons: Iterable[DaemonId]) -> None:
        """Adopt the daemons that are registered now."""
        self._daemons = tuple(daemons)

    def is_cold(self, upstream: KnownUpstream, *, now_s: float) -> bool:
        """Tell whether an upstream is cold as far as this daemon knows.

        :param now_s: Boot-time clock, in seconds.
        """
        record = self._health.of(upstream.registration.upstream_id)
        return now_s < max(upstream.cold_until_s, record.cold_until_s)

    def allows(
        self, upstream: KnownUpstream, *, daemon_count: int, now_s: float
    ) -> bool:
        """Tell whether this daemon may send a request now.

        :param daemon_count: Daemons that share the limit.
        :param now_s: Boot-time clock, in seconds.
        """
        if not self.is_cold(upstream, now_s=now_s):
            return True
        service = self._services_by_name.get(upstream.registration.service)
        if service is None or service.cold_rate_per_s <= 0:
            return True
        if now_s < self._started_at_s + WINDOW_S:
            return False
        limit = service.cold_rate_per_s * self._factor + self._extra
        share = limit / math.ceil(daemon_count * (1 + _UNKNOWN_DAEMONS))
        upstream_id = upstream.registration.upstream_id
        if share < 1 and not self._ranks_within(upstream_id, limit):
            return False
        return self._sent_in_window(upstream_id, now_s) < max(1, int(share))

    def record_send(self, upstream_id: UpstreamId, *, now_s: float) -> None:
        """Count a request to an upstream, whether it is cold or not.

        :param now_s: Boot-time clock, in seconds.
        """
        self._sent_at_s.setdefault(upstream_id, deque(maxlen=64)).append(now_s)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop the record of an upstream that is gone."""
        self._sent_at_s.pop(upstream_id, None)

    def _sent_in_window(self, upstream_id: UpstreamId, now_s: float) -> int:
        sent = self._sent_at_s.get(upstream_id, ())
        return sum(1 for at_s in sent if now_s - at_s < WINDOW_S)

    def _ranks_within(self, upstream_id: UpstreamId, limit: float) -> bool:
        """Tell whether this daemon is among the first for an upstream."""
        count = int(limit / (1 + _UNKNOWN_DAEMONS))
        ranked = rank_daemons(key=upstream_id, daemons=self._daemons, count=count)
        return self._daemon_id in ranked
