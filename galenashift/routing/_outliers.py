"""Ejection of upstreams that are much slower than the rest of their pool."""

from collections.abc import Sequence
from statistics import median

from galenashift.model import UpstreamId, UpstreamStatus

#: Multiple of the pool's median latency above which the smoothed latency of an upstream
#: or the duration of a probe counts as slow.
_SLOW_FACTOR = 3.0
#: Consecutive calls with a slow smoothed latency after which an upstream is ejected.
_SLOW_CALLS = 5
#: Seconds between probes of an ejected upstream.
_PROBE_INTERVAL_S = 5.0
#: Largest fraction of a pool that may be ejected, so that the rest can carry the load.
_MAX_EJECTED_FRACTION = 0.34


class OutlierDetector:
    """Ejects the latency outliers of one pool, and lets single calls probe them."""

    def __init__(self) -> None:
        self._slow_calls_by_id: dict[UpstreamId, int] = {}
        self._next_probe_s_by_id: dict[UpstreamId, float] = {}

    def observe(
        self,
        *,
        upstream_id: UpstreamId,
        statuses: Sequence[UpstreamStatus],
        duration_s: float,
        now_s: float,
    ) -> None:
        """Record the end of one call.

        :param upstream_id: Upstream that executed the call.
        :param statuses: All upstreams of the pool, after the call.
        :param duration_s: Duration of the call, in seconds.
        :param now_s: Boot-time clock, in seconds.
        """
        known_ids = {each.upstream.upstream_id for each in statuses}
        for gone in self._next_probe_s_by_id.keys() - known_ids:
            del self._next_probe_s_by_id[gone]
        latencies = {
            each.upstream.upstream_id: each.latency_s
            for each in statuses
            if each.latency_s is not None
        }
        if len(latencies) < 3:
            return
        slow_s = _SLOW_FACTOR * median(latencies.values())
        if upstream_id in self._next_probe_s_by_id:
            # The smoothed latency still includes the earlier slow calls, so the
            # duration of the probe decides.
            if duration_s <= slow_s:
                del self._next_probe_s_by_id[upstream_id]
                self._slow_calls_by_id.pop(upstream_id, None)
            return
        if latencies.get(upstream_id, 0.0) <= slow_s:
            self._slow_calls_by_id.pop(upstream_id, None)
            return
        count = self._slow_calls_by_id.get(upstream_id, 0) + 1
        self._slow_calls_by_id[upstream_id] = count
        may_eject = len(self._next_probe_s_by_id) + 1 <= _MAX_EJECTED_FRACTION * len(
            statuses
        )
        if count >= _SLOW_CALLS and may_eject:
            self._next_probe_s_by_id[upstream_id] = now_s + _PROBE_INTERVAL_S

    def ejected(self, *, now_s: float) -> frozenset[UpstreamId]:
        """Return the ejected upstreams that may not receive a call now.

        :param now_s: Boot-time clock, in seconds.
        """
        return frozenset(
            each
            for each, probe_s in self._next_probe_s_by_id.items()
            if now_s < probe_s
        )

    def start_probe(self, *, upstream_id: UpstreamId, now_s: float) -> None:
        """Start the interval until the next probe if the upstream is ejected.

        :param upstream_id: Upstream that was chosen for a call.
        :param now_s: Boot-time clock, in seconds.
        """
        if upstream_id in self._next_probe_s_by_id:
            self._next_probe_s_by_id[upstream_id] = now_s + _PROBE_INTERVAL_S
