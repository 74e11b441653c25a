"""Limits the rate of requests from this daemon to upstreams in their cold start."""

import math
from collections import deque
from collections.abc import Iterable

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId, Service, ServiceName, UpstreamId

from ._health import HealthTracker
from ._upstream_registry import KnownUpstream

#: Window over which requests to an upstream are counted, in seconds. It is longer than
#: the one second of the limit because request latency varies in the network, so that
#: requests sent in more than a second can arrive within one.
WINDOW_S = 1.15
#: Number of running daemons that may not be registered yet, as a ratio of the known
#: ones.
_UNREGISTERED_DAEMON_RATIO = 0.25


class ColdUpstreamLimiter:
    """Limits the requests of this daemon to each cold upstream.

    Every daemon gets an equal share of the limit. If a share is less than one request,
    the daemons that rank first for the upstream may send one request each.

    :param daemon_id: This daemon.
    :param limit_factor: Multiple of an upstream's own limit that the platform allows.
    :param extra_per_s: Requests per second allowed in addition to that multiple.
    :param started_at_s: Boot-time clock at the start of the process, in seconds.
        Nothing is sent to cold upstreams for one window after it, because the requests
        that a previous process sent in that window are unknown.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        health: HealthTracker,
        limit_factor: float,
        extra_per_s: float,
        started_at_s: float,
    ) -> None:
        self._daemon_id = daemon_id
        self._health = health
        self._limit_factor = limit_factor
        self._extra_per_s = extra_per_s
        self._started_at_s = started_at_s
        self._services_by_name: dict[ServiceName, Service] = {}
        self._send_times_by_id: dict[UpstreamId, deque[float]] = {}
        self._daemons: tuple[DaemonId, ...] = ()

    def set_services(self, services_by_name: dict[ServiceName, Service]) -> None:
        """Replace the services by those of a new configuration."""
        self._services_by_name = services_by_name

    def set_daemons(self, daemons: Iterable[DaemonId]) -> None:
        """Replace the list of registered daemons."""
        self._daemons = tuple(daemons)

    def is_cold(self, upstream: KnownUpstream, *, now_s: float) -> bool:
        """Tell whether an upstream is cold by its registration or its last answers.

        :param now_s: Boot-time clock, in seconds.
        """
        record = self._health.record_of(upstream.registration.upstream_id)
        return now_s < max(upstream.cold_until_s, record.cold_until_s)

    def allows(
        self, upstream: KnownUpstream, *, daemon_count: int, now_s: float
    ) -> bool:
        """Tell whether this daemon may send a request to the upstream now.

        :param daemon_count: Number of daemons that share the limit.
        :param now_s: Boot-time clock, in seconds.
        """
        if not self.is_cold(upstream, now_s=now_s):
            return True
        service = self._services_by_name.get(upstream.registration.service)
        if service is None or service.cold_rate_per_s <= 0:
            return True
        if now_s < self._started_at_s + WINDOW_S:
            return False
        limit = service.cold_rate_per_s * self._limit_factor + self._extra_per_s
        share = limit / math.ceil(daemon_count * (1 + _UNREGISTERED_DAEMON_RATIO))
        upstream_id = upstream.registration.upstream_id
        if share < 1 and not self._is_ranked_first(upstream_id, limit):
            return False
        return self._sent_in_window(upstream_id, now_s) < max(1, int(share))

    def record_send(self, upstream_id: UpstreamId, *, now_s: float) -> None:
        """Record a request to an upstream, whether it is cold or not.

        :param now_s: Boot-time clock, in seconds.
        """
        self._send_times_by_id.setdefault(upstream_id, deque(maxlen=64)).append(now_s)

    def remove(self, upstream_id: UpstreamId) -> None:
        """Remove the records of an upstream that is no longer registered."""
        self._send_times_by_id.pop(upstream_id, None)

    def _sent_in_window(self, upstream_id: UpstreamId, now_s: float) -> int:
        send_times_s = self._send_times_by_id.get(upstream_id, ())
        return sum(1 for sent_at_s in send_times_s if now_s - sent_at_s < WINDOW_S)

    def _is_ranked_first(self, upstream_id: UpstreamId, limit: float) -> bool:
        """Tell whether this daemon is among those that may send one request each."""
        count = int(limit / (1 + _UNREGISTERED_DAEMON_RATIO))
        ranked = rank_daemons(key=upstream_id, daemons=self._daemons, count=count)
        return self._daemon_id in ranked
