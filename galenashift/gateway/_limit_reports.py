"""Reports the limits that upstreams state to all daemons."""

from collections.abc import Callable

import trio

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId, RegisteredUpstream, UpstreamId
from galenashift.platform import LimitReport, encode_limit, limit_key

from ._record_writer import RecordWriter
from ._upstream_limits import UpstreamLimiter
from ._view import PlatformView

#: Daemons that report a limit at different times, so that the report of the first one
#: spares those of the others.
_RANKED_DAEMONS = 20
#: Time between the reports of two of these daemons, in seconds. It covers the time that
#: a report takes to reach the others.
_RANK_DELAY_S = 0.3


class LimitReporter:
    """Writes changed limits to the store, and applies what others have written.

    Daemons that have not heard from a limited upstream learn of its limit early, and
    those that do not send to it learn of the end.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        view: PlatformView,
        limiter: UpstreamLimiter,
        writer: RecordWriter,
        clock: Callable[[], float],
    ) -> None:
        self._daemon_id = daemon_id
        self._view = view
        self._limiter = limiter
        self._writer = writer
        self._clock = clock
        self._pending: set[UpstreamId] = set()
        self._nursery: trio.Nursery | None = None
        limiter.on_change = self._report_later

    async def run(self) -> None:
        """Write reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def apply(self, upstream_id: UpstreamId) -> None:
        """Apply what another daemon has reported on an upstream."""
        report = self._view.limit_reports_by_id[upstream_id]
        known = self._view.find(upstream_id)
        if known is not None and report.is_about(known.registration):
            self._limiter.record_report(known.registration, report.per_s)

    def _report_later(self, upstream: RegisteredUpstream) -> None:
        if self._nursery is not None and upstream.upstream_id not in self._pending:
            self._pending.add(upstream.upstream_id)
            self._nursery.start_soon(self._report_in_turn, upstream)

    async def _report_in_turn(self, upstream: RegisteredUpstream) -> None:
        try:
            await trio.sleep(_RANK_DELAY_S * (1 + self._rank(upstream.upstream_id)))
        finally:
            self._pending.discard(upstream.upstream_id)
        status = self._limiter.status(upstream, now_s=self._clock())
        report = LimitReport(
            upstream_id=upstream.upstream_id,
            started_at_ms=upstream.started_at_ms,
            per_s=None if status is None else status.per_s,
        )
        if report != self._view.limit_reports_by_id.get(upstream.upstream_id):
            key = limit_key(upstream.upstream_id)
            self._writer.enqueue(key=key, value=encode_limit(report))

    def _rank(self, upstream_id: UpstreamId) -> int:
        ranked = rank_daemons(
            key=upstream_id, daemons=self._view.peers_by_id, count=_RANKED_DAEMONS
        )
        if self._daemon_id in ranked:
            return ranked.index(self._daemon_id)
        return len(ranked)
