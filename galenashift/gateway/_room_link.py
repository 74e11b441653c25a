"""Requests for the memory of stage results on a link between two daemons."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

import trio

from galenashift.limits import RoomId, RoomOwner, RoomRequest
from galenashift.model import RequestId
from galenashift.peers import CodecError

from ._room_frames import (
    IncomingRoomRequest,
    RoomReply,
    decode_room_release,
    decode_room_reply,
    decode_room_request,
    encode_room_release,
    encode_room_reply,
    encode_room_request,
    room_id,
)
from ._room_service import StageRoomService

Enqueue = Callable[[Any], None]


class RoomServerLink:
    """The end of a link at the reserving daemon.

    :param owner: Names the link; its end releases what its peer holds.
    :param enqueue: Sends a frame.
    :param on_waiting_change: Is called when the peer begins or ends to wait, or has
        released a reservation.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        service: StageRoomService,
        owner: RoomOwner,
        enqueue: Enqueue,
        clock: Callable[[], float],
        on_waiting_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_waiting_change = on_waiting_change
        self._service = service
        self._owner = owner
        self._enqueue = enqueue
        self._clock = clock
        self._scopes_by_id: dict[int, trio.CancelScope] = {}
        #: Reservations that the peer has not released and that have not expired.
        self._granted: set[RoomId] = set()
        service.watch_owner(owner, on_expired=self._forget)

    @property
    def has_waiting(self) -> bool:
        """Whether the peer waits for a decision."""
        return bool(self._scopes_by_id)

    @property
    def in_use(self) -> bool:
        """Whether the peer waits for a decision, or holds a reservation."""
        return self.has_waiting or bool(self._granted)

    def handle_frame(self, frame: Any, nursery: trio.Nursery) -> None:
        """Handle the part of a frame that concerns memory.

        :raises CodecError: If it is malformed.
        """
        if frame.request is not None:
            incoming = decode_room_request(
                frame.request, owner=self._owner, now_s=self._clock()
            )
            if incoming.number in self._scopes_by_id:
                raise CodecError(f"request {incoming.number} for memory is known")
            scope = self._scopes_by_id[incoming.number] = trio.CancelScope()
            self._on_waiting_change()
            nursery.start_soon(self._reserve, incoming, scope)
        if frame.released is not None:
            released = decode_room_release(frame.released)
            waiting = self._scopes_by_id.get(released.number)
            if waiting is not None and released.stages is None:
                waiting.cancel()
            released_id = room_id(self._owner, released.number)
            self._service.release(released_id, released.stages)
            if released.stages is None:
                self._forget(released_id)

    async def _reserve(
        self, incoming: IncomingRoomRequest, scope: trio.CancelScope
    ) -> None:
        try:
            if scope.cancel_called:
                # Withdrawn before this task began; a grant would not be released.
                return
            with scope:
                reply = await self._service.reserve(
                    incoming.request, request_id=incoming.request_id
                )
                # A release may be handled between the decision and this task.
                if reply.granted and not scope.cancel_called:
                    self._granted.add(incoming.request.room_id)
                self._enqueue(encode_room_reply(incoming.number, reply))
        finally:
            del self._scopes_by_id[incoming.number]
            self._on_waiting_change()

    def _forget(self, ended: RoomId) -> None:
        """Note that the peer no longer holds a reservation."""
        self._granted.discard(ended)
        self._on_waiting_change()

    def close(self) -> None:
        """Release all that the peer holds."""
        self._service.drop_owner(self._owner)
        self._granted.clear()


@dataclass(kw_only=True)
class _Waiter:
    done: trio.Event = field(default_factory=trio.Event)
    #: None if the link broke before a decision arrived.
    reply: RoomReply | None = None


class RoomClientLink:
    """The end of a link at the daemon that asks for memory.

    :param enqueue: Sends a frame, if the link is not broken.
    :param clock: Boot-time clock.
    """

    def __init__(self, *, enqueue: Enqueue, clock: Callable[[], float]) -> None:
        self._enqueue = enqueue
        self._clock = clock
        self._waiters_by_id: dict[int, _Waiter] = {}
        #: Numbers of granted requests that have not been released.
        self._granted: set[int] = set()
        self._last_number = 0

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for a decision."""
        return bool(self._waiters_by_id)

    @property
    def has_granted(self) -> bool:
        """Whether a reservation is held, which would end with the link."""
        return bool(self._granted)

    async def reserve(
        self, request: RoomRequest, *, request_id: RequestId
    ) -> tuple[int, RoomReply | None]:
        """Ask the peer for memory; cancellation withdraws the request.

        :returns: The number of the request on the link, and the decision, or None if
            the link broke.
        """
        self._last_number += 1
        number = self._last_number
        waiter = self._waiters_by_id[number] = _Waiter()
        self._enqueue(encode_room_request(number, request_id, request, self._clock()))
        try:
            await waiter.done.wait()
        except trio.Cancelled:
            self.release(number)
            raise
        finally:
            del self._waiters_by_id[number]
        return number, waiter.reply

    def release(self, number: int, stages: Collection[int] = ()) -> None:
        """Release stages of a reservation, or all of them."""
        if not stages:
            self._granted.discard(number)
        self._enqueue(encode_room_release(number, tuple(stages)))

    def handle_frame(self, frame: Any) -> None:
        """Handle the part of a frame that concerns memory.

        :raises CodecError: If it is malformed.
        """
        if frame.decision is None:
            return
        waiter = self._waiters_by_id.get(frame.decision.room_id)
        if waiter is not None:
            waiter.reply = decode_room_reply(frame.decision)
            if waiter.reply.granted:
                self._granted.add(frame.decision.room_id)
            waiter.done.set()

    def close(self) -> None:
        """End all requests that wait for a decision, and all reservations."""
        for waiter in self._waiters_by_id.values():
            waiter.done.set()
        self._granted.clear()
