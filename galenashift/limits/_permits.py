"""Cold-start permits: one allowance per cold upstream for the whole fleet."""

import math
from dataclasses import dataclass, field

from galenashift.model import DaemonId, LoadReport, Permit, UpstreamId

#: Time within which a call under a permit must start, in seconds.
PERMIT_START_TIMEOUT_S = 2.0
#: Time that a new gatekeeper waits before its first permit, in seconds: the TTL of
#: the gatekeeper lease plus the lifetime of a permit. After it no call can start under
#: a permit of an earlier gatekeeper.
NEW_GATEKEEPER_WAIT_S = 12.0
#: Maximum age of a load report for which a permit is issued, in seconds.
MAX_REPORT_AGE_S = 6.0
#: Time until a call that starts at the last permitted moment has reached the upstream
#: and is counted in its load reports, in seconds.
_REPORT_DELAY_S = 1.0


@dataclass(kw_only=True)
class PermitLedger:
    """Permits of one cold upstream at its gatekeeper.

    Does no I/O; times are boot-time seconds.

    The part of the allowance that is taken is the sum of two numbers, and at least the
    number of calls in the last load report. The first counts newer permits, whose calls
    the report need not include yet. The second counts older permits and calls permitted
    by other gatekeepers, at most as many as the report shows. The larger of permits and
    reported calls alone would be too low while a call permitted by an earlier
    gatekeeper runs: this call and a new permit would count as one.
    """

    #: Cold upstream that the permits are for.
    upstream_id: UpstreamId
    #: Daemon that issues the permits.
    gatekeeper: DaemonId
    #: Boot-time clock, in seconds, just after the gatekeeper key was written.
    gatekeeper_since_s: float
    _issued_at_by_id: dict[str, float] = field(default_factory=dict)
    #: Upper bound on the running calls that other gatekeepers permitted.
    _max_foreign_calls: float = math.inf
    _issued_count: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether no permit is outstanding."""
        return not self._issued_at_by_id

    def taken(self, *, report: LoadReport) -> float:
        """Return how much of the allowance is taken.

        :param report: Last load report of the upstream, on this daemon's clock.
        """
        reported_until_s = report.as_of_s - PERMIT_START_TIMEOUT_S - _REPORT_DELAY_S
        issued = self._issued_at_by_id.values()
        older = sum(at_s <= reported_until_s for at_s in issued)
        newer = len(self._issued_at_by_id) - older
        older_running = min(older + self._max_foreign_calls, report.running)
        return max(newer + older_running, report.running)

    def issue(self, *, report: LoadReport | None, now_s: float) -> Permit | str:
        """Issue a permit.

        The caller must have checked, without an await since, that the gatekeeper lease
        is valid.

        :param report: Last load report of the upstream, None if there is none.
        :param now_s: Boot-time clock, in seconds.
        :returns: A permit, or the reason for the refusal.
        """
        ready_at_s = self.gatekeeper_since_s + NEW_GATEKEEPER_WAIT_S
        if now_s < ready_at_s:
            return "the new gatekeeper waits until earlier permits have expired"
        if report is None or now_s - report.as_of_s > MAX_REPORT_AGE_S:
            return "the upstream has no recent load report"
        if report.as_of_s >= ready_at_s:
            # No call starts any more without a permit of this gatekeeper, so the bound
            # only falls.
            self._max_foreign_calls = min(self._max_foreign_calls, report.running)
        self._drop_ended(report)
        if self.taken(report=report) + 1 > report.bears:
            return f"the upstream allows {report.bears} concurrent calls while cold"
        self._issued_count += 1
        permit_id = f"{self.gatekeeper_since_s:.3f}-{self._issued_count}"
        self._issued_at_by_id[permit_id] = now_s
        return Permit(
            upstream_id=self.upstream_id,
            permit_id=permit_id,
            gatekeeper=self.gatekeeper,
            start_before_s=now_s + PERMIT_START_TIMEOUT_S,
        )

    def record_return(self, *, permit_id: str) -> None:
        """Record the end of a call.

        :param permit_id: Identifier of the permit; unknown ones are ignored.
        """
        self._issued_at_by_id.pop(permit_id, None)

    def _drop_ended(self, report: LoadReport) -> None:
        """Drop unreturned permits whose calls have ended: the upstream runs none."""
        if report.running:
            return
        reported_until_s = report.as_of_s - PERMIT_START_TIMEOUT_S - _REPORT_DELAY_S
        for permit_id, issued_at_s in list(self._issued_at_by_id.items()):
            if issued_at_s <= reported_until_s:
                del self._issued_at_by_id[permit_id]
