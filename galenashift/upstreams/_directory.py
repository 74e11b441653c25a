"""State of the upstreams as this daemon knows it.

It does no I/O and takes the time as an argument.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from galenashift.model import (
    EventKind,
    FleetEvent,
    Incarnation,
    LoadReport,
    PoolName,
    Upstream,
    UpstreamId,
    UpstreamState,
    UpstreamStatus,
)

#: Age in seconds at which a load report expires. Gossip refreshes reports about
#: every 5 s, so this is three missed refreshes.
REPORT_LIFETIME_S = 15.0

#: A report with a lower incarnation comes from a replacement instance, whose counter
#: started again, if it is at least this many seconds newer. Otherwise it is an old
#: report that gossip delayed.
REPLACEMENT_GAP_S = 3.0

#: Seconds for which the start times of calls of this daemon are kept.
_START_RETENTION_S = 30.0

#: Weight of the latest duration in the moving average of the latency.
_EWMA_WEIGHT = 0.2

_INFINITY = float("inf")


@dataclass(kw_only=True)
class _UpstreamRecord:
    upstream: Upstream
    report: LoadReport | None = None
    incarnation: Incarnation = Incarnation(0)  # noqa: RUF009
    incarnation_at_s: float = float("-inf")
    cold_since_s: float | None = None
    leaving: bool = False
    suspect: bool = False
    in_flight: int = 0
    start_times_s: list[float] = field(default_factory=list)
    latency_s: float | None = None
    status: UpstreamStatus | None = None
    status_until_s: float = 0.0


class Directory:
    """Implements `galenashift.model.UpstreamDirectory` and `CallObserver`."""

    def __init__(self) -> None:
        self._records_by_id: dict[UpstreamId, _UpstreamRecord] = {}
        self._records_by_pool: dict[PoolName, list[_UpstreamRecord]] = {}
        self._list_as_of_s = -_INFINITY
        self._list_failed_at_s = -_INFINITY

    def statuses(self, *, pool: PoolName, now_s: float) -> tuple[UpstreamStatus, ...]:
        """List the upstreams of a pool.

        Statuses are cached until something changes, because a pool has hundreds of
        upstreams and each request calls this.
        """
        return tuple(
            record.status
            if record.status is not None and now_s < record.status_until_s
            else _update_status(record, now_s)
            for record in self._records_by_pool.get(pool, ())
        )

    def list_age_s(self, *, now_s: float) -> float:
        """Return the seconds since the instance list was last confirmed."""
        return max(0.0, now_s - self._list_as_of_s)

    def list_failure_age_s(self, *, now_s: float) -> float:
        """Return the seconds since the last failed poll of the list was sent."""
        return max(0.0, now_s - self._list_failed_at_s)

    def upstreams(self) -> tuple[Upstream, ...]:
        """List all upstreams of the instance list."""
        return tuple(record.upstream for record in self._records_by_id.values())

    def upstream(self, *, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream of the instance list, None if it is not listed."""
        record = self._records_by_id.get(upstream_id)
        return None if record is None else record.upstream

    def suspects(self) -> tuple[Upstream, ...]:
        """List the upstreams that get no calls until a probe succeeds."""
        return tuple(
            each.upstream for each in self._records_by_id.values() if each.suspect
        )

    def reports(self, *, now_s: float) -> tuple[LoadReport, ...]:
        """List the reports that have not expired, newest first, for gossip."""
        reports = [
            record.report
            for record in self._records_by_id.values()
            if record.report is not None
            and now_s - record.report.as_of_s < REPORT_LIFETIME_S
        ]
        return tuple(sorted(reports, key=lambda each: -each.as_of_s))

    def incarnation_of(self, *, upstream_id: UpstreamId) -> Incarnation:
        """Return the last known incarnation, 0 if unknown."""
        record = self._records_by_id.get(upstream_id)
        return Incarnation(0) if record is None else record.incarnation

    def replace_list(self, *, upstreams: Iterable[Upstream], as_of_s: float) -> None:
        """Adopt an instance list, unless it is older than the current one.

        :param as_of_s: Time on the clock, in seconds, just before the list was
            requested.
        """
        if as_of_s < self._list_as_of_s:
            return
        self._list_as_of_s = as_of_s
        listed = {each.upstream_id: each for each in upstreams}
        for upstream_id in self._records_by_id.keys() - listed.keys():
            del self._records_by_id[upstream_id]
        for upstream_id, upstream in listed.items():
            record = self._records_by_id.get(upstream_id)
            address = (upstream.host, upstream.port)
            if record is None:
                self._records_by_id[upstream_id] = _UpstreamRecord(upstream=upstream)
            elif address != (record.upstream.host, record.upstream.port):
                # A changed address means a new instance under the same id. Calls
                # to the old instance may still be in flight under that id.
                self._records_by_id[upstream_id] = _UpstreamRecord(
                    upstream=upstream, in_flight=record.in_flight
                )
            elif upstream != record.upstream:
                record.upstream = upstream
                record.status = None
        self._records_by_pool = {}
        for record in self._records_by_id.values():
            self._records_by_pool.setdefault(record.upstream.pool, []).append(record)

    def confirm_list(self, *, as_of_s: float) -> None:
        """Record that the instance list has not changed."""
        self._list_as_of_s = max(self._list_as_of_s, as_of_s)

    def record_list_failure(self, *, sent_at_s: float) -> None:
        """Record that a poll of the instance list has failed.

        :param sent_at_s: Time on the clock, in seconds, just before the poll.
        """
        self._list_failed_at_s = max(self._list_failed_at_s, sent_at_s)

    def apply_report(self, *, report: LoadReport) -> EventKind | None:
        """Apply a load report from a poll or from gossip.

        :returns: ``UPSTREAM_COLD`` or ``UPSTREAM_CRASHED`` if the report shows this for
            the first time, else None.
        """
        record = self._records_by_id.get(report.upstream_id)
        if record is None:
            return None
        if record.report is not None and report.as_of_s <= record.report.as_of_s:
            return None
        if report.incarnation < record.incarnation and not _is_replacement(
            record, report
        ):
            return None
        restarted = record.incarnation not in (0, report.incarnation)
        was_warm = _state_of(record) is UpstreamState.WARM
        record.report = report
        record.incarnation = report.incarnation
        record.incarnation_at_s = max(record.incarnation_at_s, report.as_of_s)
        record.status = None
        if restarted:
            record.cold_since_s = report.as_of_s
            record.leaving = False
        elif record.cold_since_s is not None and report.as_of_s > record.cold_since_s:
            record.cold_since_s = None
        if restarted:
            return EventKind.UPSTREAM_CRASHED
        turned_cold = was_warm and report.state is UpstreamState.COLD
        return EventKind.UPSTREAM_COLD if turned_cold else None

    def apply_event(self, *, event: FleetEvent, now_s: float) -> None:
        """Apply an event from another daemon or from this daemon's crash guard."""
        record = self._records_by_id.get(event.upstream_id)
        if record is None:
            return
        if 0 < event.incarnation < record.incarnation:
            return
        observed_at_s = now_s - event.age_s
        match event.kind:
            case EventKind.UPSTREAM_COLD | EventKind.UPSTREAM_CRASHED:
                _mark_cold(record, observed_at_s)
            case EventKind.UPSTREAM_LEAVING:
                record.leaving = True
        record.status = None

    def observe_state(
        self,
        *,
        upstream_id: UpstreamId,
        state: UpstreamState,
        incarnation: Incarnation,
        now_s: float,
    ) -> EventKind | None:
        """Apply the state in an answer. Only a load report can end the cold state.

        :param incarnation: 0 if the answer carries none.
        :returns: The kind of event to emit if the state has changed, else None.
        """
        record = self._records_by_id.get(upstream_id)
        if record is None or 0 < incarnation < record.incarnation:
            return None
        before = _state_of(record)
        restarted = incarnation > record.incarnation > 0
        if incarnation > 0:
            record.incarnation = incarnation
            record.incarnation_at_s = now_s
        if state is UpstreamState.LEAVING:
            record.leaving = True
            record.status = None
            changed = before is not UpstreamState.LEAVING
            return EventKind.UPSTREAM_LEAVING if changed else None
        if restarted or state is UpstreamState.COLD:
            _mark_cold(record, now_s)
            changed = restarted or before is UpstreamState.WARM
            return EventKind.UPSTREAM_COLD if changed else None
        return None

    def mark_suspect(self, *, upstream_id: UpstreamId) -> None:
        """Exclude an upstream from new calls until a probe succeeds."""
        self._set_suspect(upstream_id, True)

    def probe_succeeded(self, *, upstream_id: UpstreamId) -> None:
        """Allow calls to a suspect upstream again, and reset its latency."""
        record = self._records_by_id.get(upstream_id)
        if record is not None and record.suspect:
            record.latency_s = None
            self._set_suspect(upstream_id, False)

    def call_started(self, *, upstream_id: UpstreamId, now_s: float) -> None:
        """Record that a call of this daemon has started."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return
        record.in_flight += 1
        record.start_times_s.append(now_s)
        if record.start_times_s[0] < now_s - 2 * _START_RETENTION_S:
            del record.start_times_s[
                : bisect_right(record.start_times_s, now_s - _START_RETENTION_S)
            ]
        record.status = None

    def call_ended(
        self, *, upstream_id: UpstreamId, now_s: float, duration_s: float | None
    ) -> None:
        """Record the end of a call; the duration is None unless it succeeded."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return
        record.in_flight = max(0, record.in_flight - 1)
        record.status = None
        if duration_s is None:
            return
        if record.latency_s is None:
            record.latency_s = duration_s
        else:
            record.latency_s += _EWMA_WEIGHT * (duration_s - record.latency_s)

    def _set_suspect(self, upstream_id: UpstreamId, suspect: bool) -> None:
        record = self._records_by_id.get(upstream_id)
        if record is not None:
            record.suspect = suspect
            record.status = None


def _is_replacement(record: _UpstreamRecord, report: LoadReport) -> bool:
    return report.as_of_s - record.incarnation_at_s >= REPLACEMENT_GAP_S


def _mark_cold(record: _UpstreamRecord, at_s: float) -> None:
    # A report that is newer than the observation already reflects it.
    if record.report is None or at_s >= record.report.as_of_s:
        record.cold_since_s = max(at_s, record.cold_since_s or at_s)
        record.status = None


def _state_of(record: _UpstreamRecord) -> UpstreamState:
    report = record.report
    if record.upstream.leaving or record.leaving:
        return UpstreamState.LEAVING
    if report is not None and report.state is UpstreamState.LEAVING:
        return UpstreamState.LEAVING
    if record.suspect:
        return UpstreamState.SUSPECT
    if report is None or record.cold_since_s is not None:
        return UpstreamState.COLD
    return report.state


def _update_status(record: _UpstreamRecord, now_s: float) -> UpstreamStatus:
    report = record.report
    state = _state_of(record)
    record.status_until_s = _INFINITY
    if report is not None:
        expires_s = report.as_of_s + REPORT_LIFETIME_S
        if now_s < expires_s:
            record.status_until_s = expires_s
        elif state is UpstreamState.WARM:
            state = UpstreamState.COLD
        if record.cold_since_s is not None:
            # The report predates the change to cold; assume a limit of one call.
            report = replace(report, state=UpstreamState.COLD, bears=1)
    as_of_s = -_INFINITY if report is None else report.as_of_s
    record.status = UpstreamStatus(
        upstream=record.upstream,
        state=state,
        report=report,
        in_flight=record.in_flight,
        started_since_report=len(record.start_times_s)
        - bisect_right(record.start_times_s, as_of_s),
        latency_s=record.latency_s,
    )
    return record.status
