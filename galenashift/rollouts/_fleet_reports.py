"""Reports of all daemons on one rollout."""

from collections.abc import Collection
from dataclasses import dataclass

from galenashift.model import DaemonId, RolloutRecord

from ._evidence import EvidenceReport, FleetEvidence

#: Time without a report after which a daemon is silent, in seconds.
_SILENT_S = 4.0
#: Time from which the rate of requests is known, in seconds.
_MIN_RATE_PERIOD_S = 1.5


@dataclass(frozen=True, kw_only=True)
class _LastReport:
    sequence: int
    open_old: int
    at_s: float


class FleetReports:
    """Merged evidence, and what each daemon reported last.

    :param record: Record of the order in the store, if there is one.
    """

    def __init__(self, *, record: RolloutRecord | None) -> None:
        self.evidence = FleetEvidence()
        self._last_reports: dict[DaemonId, _LastReport] = {}
        #: First report, and the requests that it counted.
        self._first_report: tuple[float, int] | None = None
        self._base_exposure = 0 if record is None else record.exposure
        self._base_requests = 0 if record is None else record.requests

    @property
    def exposure(self) -> int:
        """Requests that were sent to the new version."""
        return max(self._base_exposure, self.evidence.sent_new)

    @property
    def requests(self) -> int:
        """Requests that were sent to both versions."""
        sent = self.evidence.sent_old + self.evidence.sent_new
        return max(self._base_requests, sent)

    def add(self, daemon: DaemonId, report: EvidenceReport, *, now_s: float) -> bool:
        """Add a report.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the process had reported before.
        """
        known = self.evidence.knows(daemon, report.incarnation)
        self.evidence.merge(daemon, report, now_s=now_s)
        self._last_reports[daemon] = _LastReport(
            sequence=report.sequence, open_old=report.open_old, at_s=now_s
        )
        if self._first_report is None:
            self._first_report = (now_s, self.requests)
        return known

    def rate_per_s(self, *, now_s: float) -> float | None:
        """Return the rate of requests, or None while it is not known.

        :param now_s: Boot-time clock, in seconds.
        """
        if self._first_report is None:
            return None
        since_s, before = self._first_report
        if now_s - since_s < _MIN_RATE_PERIOD_S:
            return None
        return (self.requests - before) / (now_s - since_s)

    def obstacle(
        self,
        daemons: Collection[DaemonId],
        *,
        sequence: int,
        waits_for_silent: bool,
        now_s: float,
    ) -> str:
        """Return which daemon does not follow a directive completely, if any.

        :param daemons: Registered daemons.
        :param sequence: Sequence of the directive.
        :param waits_for_silent: Whether a silent daemon is an obstacle. It may be
            paused with open requests.
        :param now_s: Boot-time clock, in seconds.
        """
        for daemon in daemons:
            last = self._last_reports.get(daemon)
            if last is None or now_s - last.at_s > _SILENT_S:
                if waits_for_silent:
                    return f"silent daemon {daemon}"
            elif last.sequence < sequence:
                return f"share not in force at {daemon}"
            elif last.open_old:
                return f"open requests at {daemon}"
        return ""
