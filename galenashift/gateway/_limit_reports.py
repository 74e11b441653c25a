"""Reports the limits that upstreams state to all daemons."""

from collections.abc import Callable

import trio

from galenashift.model import DaemonId, RegisteredUpstream, UpstreamId
from galenashift.platform import LimitReport, encode_limit, limit_key

from ._record_writer import RecordWriter, report_turn
from ._upstream_limits import UpstreamLimiter
from ._view import PlatformView

#: Time between the reports of two daemons, in seconds. It covers the time that a report
#: takes to reach the others.
_TURN_INTERVAL_S = 0.3


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
        """Apply what another daemon has reported on an upstream, if it has."""
        report = self._view.limit_reports_by_id.get(upstream_id)
        known = self._view.find(upstream_id)
        if report is None or known is None:
            return
        if report.is_about(known.registration):
            self._limiter.record_report(known.registration, report.per_s)

    def report_again(self) -> None:
        """Report the limits that the store does not hold as this daemon knows them."""
        now_s = self._clock()
        for upstream in self._view.all_registrations():
            stored = self._view.limit_reports_by_id.get(upstream.upstream_id)
            has_limit = self._limiter.status(upstream, now_s=now_s) is not None
            if has_limit or (stored is not None and stored.per_s is not None):
                self._report_later(upstream)

    def _report_later(self, upstream: RegisteredUpstream) -> None:
        if self._nursery is not None and upstream.upstream_id not in self._pending:
            self._pending.add(upstream.upstream_id)
            self._nursery.start_soon(self._report_in_turn, upstream)

    async def _report_in_turn(self, upstream: RegisteredUpstream) -> None:
        try:
            turn = report_turn(
                key=upstream.upstream_id,
                daemon_id=self._daemon_id,
                daemons=self._view.peers_by_id,
            )
            await trio.sleep(_TURN_INTERVAL_S * (1 + turn))
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
