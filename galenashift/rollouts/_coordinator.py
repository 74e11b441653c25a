"""Decides on the rollout of one service, at one daemon for the whole fleet."""

from collections.abc import Collection
from dataclasses import replace

from galenashift.model import (
    DaemonId,
    RolloutBounds,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    VersionName,
)

from ._directive import Directive
from ._evidence import EvidenceReport, Side
from ._fleet_reports import FleetReports
from ._growth import Progress, VersionCapacity, next_growth
from ._judgement import Finding
from ._record_writer import Position, RecordWriter
from ._schedule import soak_s
from ._version_judge import VersionJudge

#: Time left before the deadline at which a rollout that is not complete ends, and
#: silent daemons are no longer waited for, in seconds.
_LAST_DECISION_S = 0.7


class RolloutCoordinator:
    """Decisions on one rollout, by the reports of all daemons.

    A share grows only after the store has accepted it, so that of two coordinators
    only one can raise it. A rollback is in force at once.

    :param from_version: Version in force before the order.
    :param record: Record of this order in the store, if there is one.
    :param deadline_s: Boot-time clock by which the rollout must have ended, in seconds.
    :param now_s: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        order: RolloutOrder,
        from_version: VersionName | None,
        bounds: RolloutBounds,
        record: RolloutRecord | None,
        deadline_s: float,
        now_s: float,
    ) -> None:
        self.order = order
        self._from_version = from_version
        self._bounds = bounds
        self._deadline_s = deadline_s
        self._reports = FleetReports(record=record)
        self._judge = VersionJudge()
        self._writer = RecordWriter(order=order, from_version=from_version, now_s=now_s)
        self._position = Position()
        self._since_s = now_s
        self._sent_at_step = (0, 0)
        self._proposal: Position | None = None
        #: Why the share does not grow now, in a few words.
        self.held_by = ""
        if record is not None:
            self.adopt(record, now_s=now_s)

    @property
    def finding(self) -> Finding | None:
        """Strongest evidence against the new version, as of the last decision."""
        return self._judge.finding

    @property
    def state(self) -> RolloutState:
        """State in force."""
        return self._position.state

    @property
    def directive(self) -> Directive:
        """What all daemons are to do."""
        return Directive(
            order_revision=self.order.revision,
            state=self._position.state,
            sequence=self._position.sequence,
            share=self._position.share,
        )

    @property
    def cause(self) -> str:
        """Why the rollout is in its state."""
        return self._position.cause

    @property
    def exposure(self) -> int:
        """Requests that were sent to the new version."""
        return self._reports.exposure

    @property
    def requests(self) -> int:
        """Requests that were sent to both versions."""
        return self._reports.requests

    def merge(
        self, daemon: DaemonId, report: EvidenceReport, *, now_s: float
    ) -> Directive:
        """Add a report of a daemon, and return what it is to do.

        :param now_s: Boot-time clock, in seconds.
        """
        if report.order_revision != self.order.revision:
            return self.directive
        known = self._reports.add(daemon, report, now_s=now_s)
        if report.counts_by_key:
            self._judge.note_evidence()
        # The record that a restarted daemon goes by may be some seconds old.
        self._deadline_s = min(self._deadline_s, now_s + report.remaining_s)
        self._follow(
            Directive.of_report(report),
            cause="decided by another coordinator",
            now_s=now_s,
        )
        resend = not known and not report.full
        return replace(self.directive, resend=True) if resend else self.directive

    def adopt(self, record: RolloutRecord, *, now_s: float) -> None:
        """Take over a record of the store, also one that this daemon has written.

        What the store says on the end of a rollout holds, whatever was decided here.
        :param now_s: Boot-time clock, in seconds.
        """
        if record.order_revision != self.order.revision:
            return
        self._writer.note_stored(record, now_s=now_s)
        if record.state.is_final and record.state is not self._position.state:
            self._move(
                Position(
                    state=record.state,
                    share=record.share,
                    sequence=record.sequence,
                    cause=record.cause,
                ),
                now_s=now_s,
            )
            return
        self._follow(Directive.of_record(record), cause=record.cause, now_s=now_s)

    def _follow(self, directive: Directive, *, cause: str, now_s: float) -> None:
        if directive.supersedes(self.directive):
            position = Position(
                state=directive.state,
                share=directive.share,
                sequence=directive.sequence,
                cause=cause,
            )
            self._move(position, now_s=now_s)

    def _move(self, position: Position, *, now_s: float) -> None:
        if position.share != self._position.share:
            self._since_s = now_s
            evidence = self._reports.evidence
            self._sent_at_step = (evidence.sent_new, evidence.sent_old)
        self._position = position
        self._proposal = None

    def roll_back(self, cause: str, *, now_s: float) -> None:
        """Move all traffic back to the old version, unless the rollout has ended.

        :param now_s: Boot-time clock, in seconds.
        """
        if self.state.is_final:
            return
        position = Position(
            state=RolloutState.ROLLED_BACK,
            sequence=self._position.sequence + 1,
            cause=cause,
        )
        self._move(position, now_s=now_s)

    def decide(
        self,
        *,
        daemons: Collection[DaemonId],
        capacity: VersionCapacity,
        now_s: float,
    ) -> None:
        """Decide on the share and on the end of the rollout.

        :param daemons: Registered daemons.
        :param now_s: Boot-time clock, in seconds.
        """
        # A proposal that could not be written yet may no longer be right.
        self._proposal = None
        if self.state.is_final:
            return
        if self.order.to == self._from_version:
            self._propose(RolloutState.DONE, 1.0, "the version is in force")
            return
        self._judge.update(self._reports.evidence, now_s=now_s)
        if self.finding is not None and self.finding.is_bad:
            self.roll_back(str(self.finding), now_s=now_s)
        elif self._position.share >= 1.0:
            self._decide_end(daemons, now_s=now_s)
        elif now_s >= self._deadline_s - _LAST_DECISION_S:
            self.roll_back(f"deadline, held by {self.held_by}", now_s=now_s)
        else:
            self._decide_growth(capacity, now_s=now_s)

    def _decide_end(self, daemons: Collection[DaemonId], *, now_s: float) -> None:
        self.held_by = self._end_obstacle(daemons, now_s=now_s)
        if not self.held_by:
            self._propose(RolloutState.DONE, 1.0, "all traffic has moved")

    def _end_obstacle(self, daemons: Collection[DaemonId], *, now_s: float) -> str:
        if now_s - self._since_s < soak_s(self.order.duration_s):
            return "observation of all traffic"
        late = now_s >= self._deadline_s - _LAST_DECISION_S
        if self._is_suspect and not late:
            return "suspect answers"
        # After the deadline, silent daemons are not waited for.
        return self._reports.obstacle(
            daemons,
            sequence=self._position.sequence,
            waits_for_silent=not late,
            now_s=now_s,
        )

    @property
    def _is_suspect(self) -> bool:
        return self.finding is not None and self.finding.is_suspect

    def _decide_growth(self, capacity: VersionCapacity, *, now_s: float) -> None:
        growth = next_growth(self._progress(now_s), capacity, self._bounds)
        self.held_by = growth.held_by
        if not growth.held_by:
            self._propose(RolloutState.RUNNING, growth.share, growth.cause)

    def _progress(self, now_s: float) -> Progress:
        evidence = self._reports.evidence
        new_before, old_before = self._sent_at_step
        return Progress(
            share=self._position.share,
            in_step_s=now_s - self._since_s,
            elapsed_s=self.order.duration_s - (self._deadline_s - now_s),
            duration_s=self.order.duration_s,
            exposure=self.exposure,
            requests=self.requests,
            rate_per_s=self._reports.rate_per_s(now_s=now_s),
            answers=evidence.answers(Side.NEW),
            new_in_step=evidence.sent_new - new_before,
            old_in_step=evidence.sent_old - old_before,
            is_suspect=self._is_suspect,
        )

    def _propose(self, state: RolloutState, share: float, cause: str) -> None:
        self._proposal = Position(
            state=state,
            share=share,
            sequence=self._position.sequence + 1,
            cause=cause,
        )

    def record_to_write(self, *, now_s: float) -> RolloutRecord | None:
        """Return the record that the store should get now, if any.

        Call `adopt` with it once the store has accepted it.
        :param now_s: Boot-time clock, in seconds.
        """
        return self._writer.record_to_write(
            self._proposal or self._position,
            remaining_s=max(0.0, self._deadline_s - now_s),
            exposure=self.exposure,
            requests=self.requests,
            now_s=now_s,
        )
