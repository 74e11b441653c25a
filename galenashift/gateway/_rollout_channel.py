"""Reports of this daemon to the coordinator of one rollout."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from galenashift.model import DaemonId, Incarnation, ServiceName
from galenashift.rollouts import Directive, LocalRollout

from ._rollout_frames import encode_report

#: Shortest time between two reports with new evidence, in seconds; a bad answer is
#: reported at once.
_MIN_INTERVAL_S = 0.5
#: Shortest time between two reports without new evidence, in seconds.
_MIN_HEARTBEAT_S = 1.0
#: Daemons up to which these times hold; they grow with larger fleets, so that the
#: coordinator gets at most twice as many reports per second.
_MAX_DAEMONS = 200.0
#: Time without an answer after which the coordinator is unreachable, in seconds.
_ANSWER_TIMEOUT_S = 0.7


class ReportLink(Protocol):
    """Link to the coordinator."""

    broken: bool

    def send(self, frame: Any) -> bool:
        """Send a frame; returns whether the link takes it."""


@dataclass(kw_only=True)
class _Pending:
    """A report that is not answered yet."""

    link: ReportLink
    sent_at_s: float


class ReportChannel:
    """Sends reports on one rollout, at most one at a time.

    :param daemon_id: This daemon.
    :param incarnation: Identifies this process.
    """

    def __init__(
        self, *, service: ServiceName, daemon_id: DaemonId, incarnation: Incarnation
    ) -> None:
        self._service = service
        self._daemon_id = daemon_id
        self._incarnation = incarnation
        self._coordinator: DaemonId | None = None
        self._pending: _Pending | None = None
        self._needs_full = True
        self._next_report_s = 0.0
        self._next_heartbeat_s = 0.0
        #: Whether to report as soon as possible.
        self.is_urgent = False

    def is_due(
        self, local: LocalRollout, coordinator: DaemonId, *, now_s: float
    ) -> bool:
        """Tell whether a report is to be sent.

        :param now_s: Boot-time clock, in seconds.
        """
        if coordinator != self._coordinator:
            self._coordinator = coordinator
            self._pending = None
            self._needs_full = True
            return True
        if self._pending is not None:
            return False
        if self.is_urgent or now_s >= self._next_heartbeat_s:
            return True
        return local.evidence.has_unreported and now_s >= self._next_report_s

    def send(
        self,
        local: LocalRollout,
        link: ReportLink,
        *,
        open_old: int,
        daemon_count: int,
        now_s: float,
    ) -> None:
        """Send a report.

        :param open_old: Requests at upstreams of the old version.
        :param now_s: Boot-time clock, in seconds.
        """
        scale = max(1.0, daemon_count / _MAX_DAEMONS)
        self._next_report_s = now_s + scale * _MIN_INTERVAL_S
        self._next_heartbeat_s = now_s + scale * _MIN_HEARTBEAT_S
        self.is_urgent = False
        report = local.report(
            incarnation=self._incarnation,
            open_old=open_old,
            full=self._needs_full,
            now_s=now_s,
        )
        self._needs_full = False
        self._pending = _Pending(link=link, sent_at_s=now_s)
        frame = encode_report(self._service, self._daemon_id, report)
        if not link.send(frame):
            self._pending.sent_at_s = -_ANSWER_TIMEOUT_S

    def record_answer(self, directive: Directive) -> None:
        """Note that the coordinator has answered."""
        self._pending = None
        self._needs_full = self._needs_full or directive.resend
        self.is_urgent = self.is_urgent or directive.resend

    def has_timed_out(self, *, now_s: float) -> bool:
        """Tell whether the coordinator does not answer; what it missed is sent again.

        :param now_s: Boot-time clock, in seconds.
        """
        pending = self._pending
        if pending is None:
            return False
        if not pending.link.broken and now_s - pending.sent_at_s < _ANSWER_TIMEOUT_S:
            return False
        self._pending = None
        self._needs_full = True
        return True


#: Opens or returns the link to a daemon; None if it is not registered.
OpenLink = Callable[[DaemonId], ReportLink | None]
