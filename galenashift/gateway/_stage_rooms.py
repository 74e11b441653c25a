"""Asks the reserving daemon for the memory of a request's stages."""

import itertools
from collections.abc import Callable, Sequence

from galenashift.limits import RoomId, RoomOwner, RoomRequest
from galenashift.model import DaemonId, RequestId
from galenashift.telemetry import EventLog, Metrics

from ._room_frames import RoomReply, room_id
from ._room_service import StageRoomService
from ._stage_client import StageClient
from ._stage_outcome import StageFailed, StageProblem

#: Key whose first daemon in rank reserves memory for all stage services.
RESERVING_KEY = "stage-room"
#: Owner of the requests of the reserving daemon itself.
LOCAL_OWNER = RoomOwner("local")


class RoomReservation:
    """The reserved memory and calls of one request.

    :param stages: Number of stages for which both are reserved.
    :param release: Releases needs by their index, or all without any.
    """

    def __init__(
        self, *, stages: int, release: Callable[[Sequence[int]], None]
    ) -> None:
        self._stages = stages
        self._held = set(range(2 * stages))
        self._ended: list[int] = []
        self._release = release

    def end_calls(self, index: int) -> None:
        """Mark the calls of a stage as made; `flush` releases them."""
        self._end(self._stages + index)

    def end_stage(self, index: int) -> None:
        """Mark the results of a stage as read; `flush` releases their memory."""
        self._end(index)

    def _end(self, index: int) -> None:
        if index in self._held:
            self._held.remove(index)
            self._ended.append(index)

    def flush(self) -> None:
        """Release what has ended, in one message."""
        ended, self._ended = self._ended, []
        if ended:
            self._release(ended if self._held else ())

    def release(self) -> None:
        """Release all that is left."""
        if self._held or self._ended:
            self._held.clear()
            self._ended.clear()
            self._release(())


class StageRooms:
    """Reserves memory at the daemon that ranks first for a fixed key.

    :param client: Links to other daemons.
    :param service: Decides if this daemon is the reserving one.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        client: StageClient,
        service: StageRoomService,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._service = service
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._numbers = itertools.count(1)

    def new_id(self) -> RoomId:
        """Return an id for a request; a link gives it another one."""
        return room_id(LOCAL_OWNER, next(self._numbers))

    async def reserve(
        self, request: RoomRequest, *, request_id: RequestId
    ) -> RoomReservation | StageFailed:
        """Wait until memory for all stages is reserved, or refused.

        Without an answer of the reserving daemon, the request starts without a
        reservation.

        :param request_id: Names the request in the log.
        :returns: A failure with `StageProblem.NO_ROOM` if the memory is refused.
        """
        began_s = self._clock()
        link = self._client.first_link(RESERVING_KEY)
        if link is None:
            peer = None
            reply: RoomReply | None = await self._service.reserve(
                request, request_id=request_id
            )
        else:
            peer = link.peer
            number, reply = await link.reserve(request, request_id=request_id)
            if reply is None:
                self._client.mark_suspect(link.peer)
        self._log(request, request_id, reply, peer=peer, began_s=began_s)
        if reply is None:
            return RoomReservation(stages=0, release=lambda stages: None)
        if not reply.granted:
            return StageFailed(
                problem=StageProblem.NO_ROOM, retry_after_s=reply.retry_after_s
            )
        stages = len(request.needs) // 2
        if link is None:
            return RoomReservation(
                stages=stages,
                release=lambda stages: self._service.release(
                    request.room_id, stages or None
                ),
            )
        return RoomReservation(
            stages=stages,
            release=lambda stages: link.release_room(number, stages),
        )

    def _log(
        self,
        request: RoomRequest,
        request_id: RequestId,
        reply: RoomReply | None,
        *,
        peer: DaemonId | None,
        began_s: float,
    ) -> None:
        outcome = _describe(reply)
        self._metrics.count("stage_room_requests_total", outcome=outcome)
        self._events.info(
            "stage-room",
            request_id=request_id,
            outcome=outcome,
            peer=peer or "local",
            waited_s=self._clock() - began_s,
            bytes=",".join(str(need.size_bytes) for need in request.needs),
        )


def _describe(reply: RoomReply | None) -> str:
    if reply is None:
        return "unreachable"
    return "granted" if reply.granted else "refused"
