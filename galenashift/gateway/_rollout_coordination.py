"""Coordinates rollouts for the whole fleet, where this daemon is the one to do it."""

from collections.abc import Callable, Collection
from typing import Any

from galenashift.model import (
    DaemonId,
    InstanceState,
    RolloutBounds,
    RolloutRecord,
    RolloutState,
    ServiceName,
)
from galenashift.peers import FrameError
from galenashift.rollouts import (
    Directive,
    EvidenceReport,
    LocalRollout,
    RolloutCoordinator,
    Side,
    VersionCapacity,
)
from galenashift.telemetry import EventLog, Metrics

from ._rollout_frames import ReceivedReport, encode_directive
from ._view import PlatformView

#: Time after a report for which this daemon coordinates, although it does not rank
#: first in its own view, in seconds.
_ASKED_S = 3.0

#: Sends a frame to a daemon.
SendFrame = Callable[[Any], None]
#: Receives what the coordinator decides at this daemon.
ApplyDirective = Callable[[ServiceName, Directive], None]


class _Rollout:
    """One rollout and the daemons that report on it."""

    def __init__(self, coordinator: RolloutCoordinator) -> None:
        self.coordinator = coordinator
        self.sends_by_daemon: dict[DaemonId, SendFrame] = {}
        self.asked_until_s = 0.0
        self.announced: Directive | None = None
        self.held_by = ""


class RolloutCoordination:
    """The coordinators of all rollouts at this daemon.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        bounds: RolloutBounds,
        apply_directive: ApplyDirective,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._bounds = bounds
        self._apply_directive = apply_directive
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._by_service: dict[ServiceName, _Rollout] = {}

    def receive(
        self, received: ReceivedReport, local: LocalRollout | None, send: SendFrame
    ) -> Directive:
        """Add a report of a peer, and return the answer.

        :param local: What this daemon knows of the rollout of the service.
        :param send: Sends further frames to the peer.
        """
        report = received.report
        self._metrics.count("rollout_reports_total", service=received.service)
        if local is None or local.order.revision != report.order_revision:
            return self._stored_directive(received.service)
        rollout = self._ensure(local)
        now_s = self._clock()
        rollout.asked_until_s = now_s + _ASKED_S
        rollout.sends_by_daemon[received.daemon] = send
        return rollout.coordinator.merge(received.daemon, report, now_s=now_s)

    def _stored_directive(self, service: ServiceName) -> Directive:
        """Return what the store has, for a daemon that knows another order."""
        stored = self._view.rollouts.records_by_service.get(service)
        if stored is None:
            return Directive(
                order_revision=0, state=RolloutState.RUNNING, sequence=0, share=0.0
            )
        return Directive.of_record(stored.record)

    def was_asked(self, service: ServiceName) -> bool:
        """Tell whether peers regard this daemon as the coordinator."""
        rollout = self._by_service.get(service)
        return rollout is not None and self._clock() < rollout.asked_until_s

    def adopt(self, service: ServiceName, record: RolloutRecord) -> None:
        """Take over a record that the store has."""
        rollout = self._by_service.get(service)
        if rollout is not None:
            rollout.coordinator.adopt(record, now_s=self._clock())
            self._announce(rollout)

    def keep_only(self, services: Collection[ServiceName]) -> None:
        """Forget the rollouts of other services."""
        for service in list(self._by_service):
            if service not in services:
                del self._by_service[service]

    def decide(
        self,
        local: LocalRollout,
        report: EvidenceReport,
        *,
        daemon_id: DaemonId,
        is_withdrawn: bool,
    ) -> RolloutRecord | None:
        """Decide on a rollout, and return the record that the store should get.

        :param report: What this daemon itself has seen.
        """
        now_s = self._clock()
        rollout = self._ensure(local)
        coordinator = rollout.coordinator
        coordinator.merge(daemon_id, report, now_s=now_s)
        if is_withdrawn:
            coordinator.roll_back("the order was removed", now_s=now_s)
        coordinator.decide(
            daemons=self._view.peers_by_id,
            capacity=self._capacity(local),
            now_s=now_s,
        )
        self._announce(rollout)
        self._log_hold(rollout)
        return coordinator.record_to_write(now_s=now_s)

    def _ensure(self, local: LocalRollout) -> _Rollout:
        service = local.order.service
        rollout = self._by_service.get(service)
        if rollout is not None and rollout.coordinator.order == local.order:
            return rollout
        stored = self._view.rollouts.records_by_service.get(service)
        record = None if stored is None else stored.record
        if record is not None and record.order_revision != local.order.revision:
            record = None
        coordinator = RolloutCoordinator(
            order=local.order,
            from_version=local.from_version,
            bounds=self._bounds,
            record=record,
            deadline_s=local.deadline_s,
            now_s=self._clock(),
        )
        rollout = self._by_service[service] = _Rollout(coordinator)
        self._events.info(
            "rollout-coordinated",
            service=service,
            order=local.order.revision,
            resumed=record is not None,
            left_s=local.deadline_s - self._clock(),
        )
        return rollout

    def _capacity(self, local: LocalRollout) -> VersionCapacity:
        slots_by_side = {Side.OLD: 0, Side.NEW: 0}
        for each in self._view.registrations(local.order.service):
            if each.state is InstanceState.READY:
                slots_by_side[local.side_of(each.version)] += max(1, each.slots)
        return VersionCapacity(
            old_slots=slots_by_side[Side.OLD], new_slots=slots_by_side[Side.NEW]
        )

    def _announce(self, rollout: _Rollout) -> None:
        """Tell all daemons what has changed, without waiting for their reports."""
        coordinator = rollout.coordinator
        directive = coordinator.directive
        if directive == rollout.announced:
            return
        rollout.announced = directive
        service = coordinator.order.service
        self._log_change(coordinator)
        self._apply_directive(service, directive)
        frame = encode_directive(service, directive)
        for daemon, send in list(rollout.sends_by_daemon.items()):
            try:
                send(frame)
            except FrameError:
                # The daemon opens another link with its next report.
                del rollout.sends_by_daemon[daemon]

    def _log_change(self, coordinator: RolloutCoordinator) -> None:
        service = coordinator.order.service
        directive = coordinator.directive
        self._metrics.set_gauge("rollout_share", directive.share, service=service)
        self._events.info(
            "rollout-decided",
            service=service,
            to=coordinator.order.to,
            order=directive.order_revision,
            state=directive.state.value,
            share=directive.share,
            sequence=directive.sequence,
            cause=coordinator.cause,
            exposure=coordinator.exposure,
            requests=coordinator.requests,
        )

    def _log_hold(self, rollout: _Rollout) -> None:
        coordinator = rollout.coordinator
        if coordinator.held_by == rollout.held_by:
            return
        rollout.held_by = coordinator.held_by
        finding = coordinator.finding
        self._events.info(
            "rollout-held",
            service=coordinator.order.service,
            held_by=coordinator.held_by or "nothing",
            share=coordinator.directive.share,
            exposure=coordinator.exposure,
            requests=coordinator.requests,
            finding=None if finding is None else str(finding),
            chance=None if finding is None else finding.chance,
        )
