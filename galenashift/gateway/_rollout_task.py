"""Runs the rollouts: reports, decisions, and writes to the store."""

import math
from collections.abc import Callable
from random import Random
from typing import Any

import trio

from galenashift.membership import rank_daemons
from galenashift.model import (
    DaemonId,
    Incarnation,
    RolloutBounds,
    RolloutRecord,
    ServiceName,
    UpstreamId,
)
from galenashift.platform import (
    PlatformStore,
    StoreFailure,
    encode_rollout_record,
    encode_rollout_status,
    rollout_order_key,
    rollout_record_key,
    rollout_status_key,
)
from galenashift.rollouts import Directive, LocalRollout, Side
from galenashift.telemetry import EventLog, Metrics

from ._rollout_channel import OpenLink, ReportChannel
from ._rollout_coordination import RolloutCoordination, SendFrame
from ._rollout_frames import decode_directive, decode_report, encode_directive
from ._rollout_view import StoredRecord
from ._rollouts import Rollouts
from ._view import PlatformView

#: Time between two checks of the rollouts, in seconds.
_TICK_S = 0.1
#: Shortest pause between two checks, in which bad answers are gathered, in seconds.
_MIN_PAUSE_S = 0.05
#: Time for which a daemon that did not answer is no coordinator, in seconds.
_SUSPECT_S = 5.0
#: Bound of the numbers of processes; JSON numbers are exact up to it.
_MAX_INCARNATION = 2**53


class RolloutTask:
    """Reports on rollouts to their coordinators, and coordinates some of them.

    :param open_link: Opens the link to a peer.
    :param open_requests: Returns the requests and results at an upstream.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        view: PlatformView,
        rollouts: Rollouts,
        store: PlatformStore,
        bounds: RolloutBounds,
        open_link: OpenLink,
        open_requests: Callable[[UpstreamId], int],
        events: EventLog,
        metrics: Metrics,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._daemon_id = daemon_id
        self._view = view
        self._rollouts = rollouts
        self._store = store
        self._open_link = open_link
        self._open_requests = open_requests
        self._events = events
        self._clock = clock
        self._incarnation = Incarnation(random.randrange(1, _MAX_INCARNATION))
        self._coordination = RolloutCoordination(
            view=view,
            bounds=bounds,
            apply_directive=self._apply_directive,
            events=events,
            metrics=metrics,
            clock=clock,
        )
        self._channels: dict[ServiceName, ReportChannel] = {}
        self._suspect_until_s: dict[DaemonId, float] = {}
        self._written: dict[ServiceName, StoredRecord] = {}
        self._writing: set[ServiceName] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Take part in rollouts until cancelled; wait while there are none."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                timeout_s = _TICK_S if self._rollouts.local_by_service else math.inf
                with trio.move_on_after(timeout_s):
                    await self._rollouts.wake.wait()
                self._rollouts.wake = trio.Event()
                self._tick()
                await trio.sleep(_MIN_PAUSE_S)

    def _tick(self) -> None:
        if not self._rollouts.is_loaded():
            return
        local_by_service = self._rollouts.local_by_service
        self._coordination.keep_only(local_by_service)
        for service in list(self._channels):
            if service not in local_by_service:
                del self._channels[service]
        for service, local in list(local_by_service.items()):
            stored = self._view.rollouts.records_by_service.get(service)
            if stored is not None:
                self._coordination.adopt(service, stored.record)
            coordinator = self._coordinator(service)
            if coordinator == self._daemon_id:
                # The next coordinator gets all counts, over a new channel.
                self._channels.pop(service, None)
                self._coordinate(local, is_first=True)
                continue
            if self._coordination.was_asked(service):
                self._coordinate(local, is_first=False)
            self._report(local, coordinator)
        self._rollouts.update_all_allowed()

    # Reports -----------------------------------------------------------------

    def _coordinator(self, service: ServiceName) -> DaemonId:
        now_s = self._clock()
        daemons = [
            each
            for each in self._view.peers_by_id
            if self._suspect_until_s.get(each, 0.0) <= now_s
        ]
        ranked = rank_daemons(key=f"rollout/{service}", daemons=daemons, count=1)
        return ranked[0] if ranked else self._daemon_id

    def _report(self, local: LocalRollout, coordinator: DaemonId) -> None:
        service = local.order.service
        now_s = self._clock()
        channel = self._channel(service)
        if channel.has_timed_out(now_s=now_s):
            self._suspect_until_s[coordinator] = now_s + _SUSPECT_S
            self._events.warning(
                "rollout-coordinator-unreachable",
                service=service,
                peer=coordinator,
                suspect_s=_SUSPECT_S,
            )
            self._rollouts.wake.set()
            return
        if local.is_report_urgent:
            channel.is_urgent = True
        if not channel.is_due(local, coordinator, now_s=now_s):
            return
        local.is_report_urgent = False
        link = self._open_link(coordinator)
        if link is not None:
            channel.send(
                local,
                link,
                open_old=self._open_old(local),
                daemon_count=self._view.daemon_count,
                now_s=now_s,
            )

    def _channel(self, service: ServiceName) -> ReportChannel:
        channel = self._channels.get(service)
        if channel is None:
            channel = self._channels[service] = ReportChannel(
                service=service,
                daemon_id=self._daemon_id,
                incarnation=self._incarnation,
            )
        return channel

    def _open_old(self, local: LocalRollout) -> int:
        return sum(
            self._open_requests(each.upstream_id)
            for each in self._view.registrations(local.order.service)
            if local.side_of(each.version) is Side.OLD
        )

    def receive_report(self, message: Any, send: SendFrame) -> None:
        """Handle a report of a peer.

        :param message: The decoded frame.
        :param send: Sends a frame to the peer.
        :raises CodecError: If the report is malformed.
        """
        received = decode_report(message)
        if received.daemon not in self._view.peers_by_id:
            self._events.warning("rollout-report-refused", peer=received.daemon)
            return
        local = self._rollouts.local_by_service.get(received.service)
        directive = self._coordination.receive(received, local, send)
        send(encode_directive(received.service, directive))
        self._rollouts.wake.set()

    def receive_directive(self, message: Any) -> None:
        """Handle a directive of the coordinator.

        :param message: The decoded frame.
        :raises CodecError: If it is malformed.
        """
        received = decode_directive(message)
        channel = self._channels.get(received.service)
        if channel is not None:
            channel.record_answer(received.directive)
        self._apply_directive(received.service, received.directive)

    def _apply_directive(self, service: ServiceName, directive: Directive) -> None:
        local = self._rollouts.local_by_service.get(service)
        if local is None:
            return
        if local.apply_directive(directive, now_s=self._clock()):
            # The end waits until all daemons have reported that the last share is in
            # force.
            local.is_report_urgent = local.is_report_urgent or directive.share >= 1
            self._rollouts.update_all_allowed()
            self._rollouts.wake.set()
            self._events.info(
                "rollout-directive",
                service=service,
                to=local.order.to,
                state=directive.state.value,
                share=directive.share,
                sequence=directive.sequence,
            )

    # Decisions ---------------------------------------------------------------

    def _coordinate(self, local: LocalRollout, *, is_first: bool) -> None:
        """Decide on a rollout.

        :param is_first: Whether this daemon also is the one that it would report to.
        """
        service = local.order.service
        report = local.report(
            incarnation=self._incarnation,
            open_old=self._open_old(local),
            full=not local.reports_to_itself,
            now_s=self._clock(),
            is_copy=not is_first,
        )
        local.reports_to_itself = is_first
        record = self._coordination.decide(
            local,
            report,
            daemon_id=self._daemon_id,
            is_withdrawn=service in self._rollouts.withdrawn,
        )
        if record is not None and service not in self._writing:
            assert self._nursery is not None
            self._writing.add(service)
            self._nursery.start_soon(self._write, record)

    async def _write(self, record: RolloutRecord) -> None:
        service = record.service
        stored = self._view.rollouts.records_by_service.get(service)
        revision = self._known_revision(service, stored)
        order_revision = self._view.rollouts.order_key_revisions.get(service, 0)
        try:
            written = await self._store.compare_and_put(
                _encoded_by_key(record, stored),
                revision_by_key={
                    rollout_record_key(service): revision,
                    rollout_order_key(service): order_revision,
                },
            )
        finally:
            self._writing.discard(service)
        match written:
            case StoreFailure():
                self._record_failed_write(record, written, revision=revision)
            case _:
                stored = StoredRecord(record=record, revision=written)
                self._written[service] = stored
                self._coordination.adopt(service, record)
                self._rollouts.wake.set()

    def _record_failed_write(
        self, record: RolloutRecord, failure: StoreFailure, *, revision: int
    ) -> None:
        """Log a failed write; the next one uses the revision that the watch brings."""
        self._events.warning(
            "rollout-not-written",
            service=record.service,
            problem=failure.problem,
            state=record.state.value,
            share=record.share,
            revision=revision,
        )
        self._written.pop(record.service, None)

    def _known_revision(self, service: ServiceName, stored: StoredRecord | None) -> int:
        """Return the newest known revision of the record; 0 if there is none.

        What this daemon has just written is newer than what the watch has brought.
        """
        written = self._written.get(service)
        if stored is None:
            return 0 if written is None else written.revision
        if written is None or written.record == stored.record:
            return stored.revision
        return max(stored.revision, written.revision)


def _encoded_by_key(
    record: RolloutRecord, stored: StoredRecord | None
) -> dict[str, bytes]:
    """Encode a record, and the status if it differs from that of the stored record.

    The record comes last, as the answer has the revision of the last change.
    """
    service = record.service
    encoded: dict[str, bytes] = {}
    if stored is None or _status(stored.record) != _status(record):
        status = encode_rollout_status(to=record.to, state=record.state)
        encoded[rollout_status_key(service)] = status
    encoded[rollout_record_key(service)] = encode_rollout_record(record)
    return encoded


def _status(record: RolloutRecord) -> tuple[object, ...]:
    return record.order_revision, record.state, record.to
