"""Reserves memory for the stage results of all daemons, at the reserving daemon."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import trio

from galenashift.limits import (
    RoomDecision,
    RoomGranted,
    RoomId,
    RoomOwner,
    RoomRefused,
    RoomRequest,
    StageRoom,
)
from galenashift.model import RequestId, ServiceName
from galenashift.telemetry import EventLog, Metrics

from ._room_frames import RoomReply
from ._room_needs import CALL_UNITS, calls_of
from ._view import PlatformView

#: Memory that may be reserved, as a ratio of the result memory. Requests also hold a
#: reservation while they wait for calls; with a ratio of 1, calls are not full.
MEMORY_RATIO = 3.0
#: Full calls for each upstream whose pieces may have begun or may wait in its service.
_BACKLOG_CALLS = 5.0
#: Time in which releases are collected before waiting requests are decided on, in
#: seconds.
_COLLECT_S = 0.005
#: Interval between checks while requests wait or memory is reserved, in seconds.
_CHECK_INTERVAL_S = 0.1
#: Interval between updates of the capacity, in seconds.
_CAPACITY_INTERVAL_S = 0.5


@dataclass(kw_only=True)
class _Waiter:
    request_id: RequestId
    decided: trio.Event = field(default_factory=trio.Event)
    decision: RoomDecision | None = None


class StageRoomService:
    """Decides on requests for memory; a request of this daemon is like that of a peer.

    The record is in memory only. A daemon that starts to reserve knows of no earlier
    reservations, so that too many requests begin until those have ended.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._room = StageRoom()
        self._waiters_by_id: dict[RoomId, _Waiter] = {}
        self._on_expired_by_owner: dict[RoomOwner, Callable[[RoomId], None]] = {}
        self._capacity_by_service: dict[ServiceName, int] = {}
        self._capacity_at_s: float | None = None
        self._wake = trio.Event()

    async def reserve(
        self, request: RoomRequest, *, request_id: RequestId
    ) -> RoomReply:
        """Wait until the memory is reserved or refused; cancellation withdraws.

        :param request_id: Names the request in the log.
        """
        now_s = self._clock()
        self._update_capacity(now_s)
        granted = self._room.add(request, now_s=now_s)
        if granted is not None:
            self._metrics.count("stage_room_decisions_total", outcome="granted")
            if self._room.reservations == 1:
                # It may expire, which nothing checked while there was none.
                self._wake.set()
            return RoomReply(granted=True)
        waiter = _Waiter(request_id=request_id)
        self._waiters_by_id[request.room_id] = waiter
        self._wake.set()
        try:
            await waiter.decided.wait()
        except trio.Cancelled:
            self.release(request.room_id)
            raise
        finally:
            del self._waiters_by_id[request.room_id]
        match waiter.decision:
            case RoomRefused(retry_after_s=retry_after_s):
                return RoomReply(granted=False, retry_after_s=retry_after_s)
            case _:
                return RoomReply(granted=True)

    def release(self, room_id: RoomId, stages: Collection[int] | None = None) -> None:
        """Release stages of a reservation; all of them without `stages`."""
        self._room.release(room_id, now_s=self._clock(), stages=stages)
        if self._room.waiting:
            self._wake.set()

    def watch_owner(
        self, owner: RoomOwner, *, on_expired: Callable[[RoomId], None]
    ) -> None:
        """Call a function for each reservation of an owner that expires.

        This ends with `drop_owner`.
        """
        self._on_expired_by_owner[owner] = on_expired

    def drop_owner(self, owner: RoomOwner) -> None:
        """Release all that an owner holds."""
        self._on_expired_by_owner.pop(owner, None)
        count = self._room.drop_owner(owner)
        if count:
            self._events.info("stage-room-owner-lost", owner=owner, dropped=count)
            self._wake.set()

    async def run(self) -> None:
        """Decide on waiting requests until cancelled."""
        while True:
            if not self._room.waiting and not self._room.reservations:
                self._set_gauges()
                await self._wake.wait()
            with trio.move_on_after(_CHECK_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(_COLLECT_S)
            self._check(self._clock())

    def _check(self, now_s: float) -> None:
        self._update_capacity(now_s)
        for request in self._room.expire(now_s=now_s):
            self._metrics.count("stage_room_expired_total")
            self._events.info(
                "stage-room-expired", owner=request.owner, room=request.room_id
            )
            on_expired = self._on_expired_by_owner.get(request.owner)
            if on_expired is not None:
                on_expired(request.room_id)
        for decision in self._room.decide(now_s=now_s):
            self._finish(decision, now_s)

    def _finish(self, decision: RoomDecision, now_s: float) -> None:
        waiter = self._waiters_by_id.get(decision.request.room_id)
        if waiter is None:
            # Its cancellation is on the way to the room.
            self._room.release(decision.request.room_id, now_s=now_s)
            return
        waiter.decision = decision
        waiter.decided.set()
        self._log(decision, waiter.request_id, now_s)

    def _log(self, decision: RoomDecision, request_id: RequestId, now_s: float) -> None:
        request = decision.request
        match decision:
            case RoomGranted(waited_s=waited_s):
                outcome = {"outcome": "granted", "waited_s": waited_s}
            case RoomRefused(wait_s=wait_s, service=service):
                outcome = {"outcome": "refused", "wait_s": wait_s}
                if service is not None:
                    outcome |= {
                        "service": service,
                        "reserved_bytes": self._room.reserved_bytes(service),
                        "capacity_bytes": self._room.capacity_bytes(service),
                    }
        self._metrics.count("stage_room_decisions_total", outcome=outcome["outcome"])
        self._events.info(
            "stage-room-decided",
            request_id=request_id,
            **outcome,
            rank=request.rank,
            organisation=request.organisation_id,
            due_s=request.due_s - now_s,
            deadline_s=request.deadline_s - now_s,
            work_s=request.work_s,
            waiting=self._room.waiting,
            reservations=self._room.reservations,
        )

    def _update_capacity(self, now_s: float) -> None:
        if (
            self._capacity_at_s is not None
            and now_s - self._capacity_at_s < _CAPACITY_INTERVAL_S
        ):
            return
        self._capacity_at_s = now_s
        config = self._view.config
        services = {} if config is None else config.services_by_name
        lifetime_s = 0.0
        for name, details in services.items():
            if details.pieces is None:
                continue
            upstreams = len(self._view.available_upstreams(name, now_s=now_s))
            lifetime_s = max(lifetime_s, details.pieces.result_lifetime_s)
            # Registrations are missing for a moment after an outage of the store.
            if upstreams:
                memory_bytes = upstreams * details.pieces.result_bytes
                pieces = upstreams * details.pieces.batch
                self._capacity_by_service[name] = int(MEMORY_RATIO * memory_bytes)
                self._capacity_by_service[calls_of(name)] = int(
                    _BACKLOG_CALLS * pieces * CALL_UNITS
                )
        self._room.set_capacity(self._capacity_by_service, lifetime_s=lifetime_s)
        self._set_gauges()

    def _set_gauges(self) -> None:
        room = self._room
        self._metrics.set_gauge("stage_room_waiting", room.waiting)
        self._metrics.set_gauge("stage_room_reservations", room.reservations)
        for service, capacity_bytes in self._capacity_by_service.items():
            self._metrics.set_gauge(
                "stage_room_capacity_bytes", capacity_bytes, service=service
            )
            self._metrics.set_gauge(
                "stage_room_reserved_bytes",
                room.reserved_bytes(service),
                service=service,
            )
