"""Latest load report of each upstream, and the order in which they are sent."""

from collections.abc import Iterator
from dataclasses import replace

from galenashift.model import LoadReport, UpstreamId

#: Age up to which a report is included in gossip messages, in seconds. No decision
#: that depends on a report's age uses an older one (section 8 of the design).
_MAX_SENT_AGE_S = 6.0
_REPORT_RETENTION_S = 60.0
_MAX_REPORTS = 8192


class LoadReportTable:
    """Latest reports by upstream; ``as_of_s`` is on this daemon's boot-time clock."""

    def __init__(self) -> None:
        # The upstream whose report was sent least recently comes first.
        self._reports_by_id: dict[UpstreamId, LoadReport] = {}

    def __len__(self) -> int:
        return len(self._reports_by_id)

    def report_of(self, upstream_id: UpstreamId) -> LoadReport | None:
        """Return the latest report of an upstream, None if there is none.

        :param upstream_id: Identifier of the upstream.
        """
        return self._reports_by_id.get(upstream_id)

    def add(self, report: LoadReport) -> bool:
        """Record a report.

        :param report: Report with ``as_of_s`` on this daemon's clock.
        :returns: Whether it is newer than the stored one, and was stored.
        """
        old = self._reports_by_id.get(report.upstream_id)
        if old is None and len(self._reports_by_id) >= _MAX_REPORTS:
            return False
        if old is not None and old.as_of_s >= report.as_of_s:
            return False
        self._reports_by_id[report.upstream_id] = report
        return True

    def to_send(self, *, now_s: float) -> Iterator[LoadReport]:
        """Yield reports with their age in ``as_of_s``, least recently sent first.

        :param now_s: Boot-time clock, in seconds.
        """
        for report in self._reports_by_id.values():
            age_s = now_s - report.as_of_s
            if age_s <= _MAX_SENT_AGE_S:
                yield replace(report, as_of_s=max(0.0, age_s))

    def mark_sent(self, upstream_ids: list[UpstreamId]) -> None:
        """Move the reports of these upstreams to the end of the send order.

        :param upstream_ids: Upstreams whose reports were sent.
        """
        for upstream_id in upstream_ids:
            self._reports_by_id[upstream_id] = self._reports_by_id.pop(upstream_id)

    def remove_expired(self, *, now_s: float) -> None:
        """Remove reports that are more than a minute old.

        :param now_s: Boot-time clock, in seconds.
        """
        for upstream_id, report in list(self._reports_by_id.items()):
            if now_s - report.as_of_s > _REPORT_RETENTION_S:
                del self._reports_by_id[upstream_id]
