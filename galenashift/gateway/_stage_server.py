"""Accepts the links of other daemons: stage jobs, reservations, reports on rollouts."""

from collections.abc import Callable
from typing import Any

import trio

from galenashift.limits import CallerHolding, CallerPhase, RoomOwner
from galenashift.peers import MAX_FRAME_BYTES, CodecError, FramedStream, decode, idl

from ._connection import set_socket_timeouts
from ._frame_writer import LINK_ERRORS, FrameWriter
from ._room_link import RoomServerLink
from ._room_service import StageRoomService
from ._stage_frames import JobRequest, decode_handles, decode_job, encode_result
from ._stage_outcome import StageFailed, StageOutcome, StageProblem
from ._stage_scheduler import StageScheduler

#: Receives a report on a rollout, and what sends frames to its sender.
OnReport = Callable[[Any, Callable[[Any], None]], None]


class StageServer:
    """Accepts jobs and requests for memory from peers.

    :param rooms: Decides on the requests for memory.
    :param clock: Boot-time clock.
    :param declines: Tells whether new jobs are left to the next daemon in rank.
    """

    def __init__(
        self,
        *,
        scheduler: StageScheduler,
        rooms: StageRoomService,
        clock: Callable[[], float],
        declines: Callable[[], bool] = lambda: False,
    ) -> None:
        self._declines = declines
        self._scheduler = scheduler
        self._rooms = rooms
        self._clock = clock
        self._link_count = 0
        #: Receives reports on rollouts; None to ignore them.
        self.on_rollout_report: OnReport | None = None

    async def serve(
        self, stream: trio.SocketStream, holding: CallerHolding | None = None
    ) -> None:
        """Serve one link until it breaks; its jobs are cancelled then.

        :param holding: Account of what the link makes the daemon hold.
        """
        set_socket_timeouts(stream.socket)
        self._link_count += 1
        link = _ServerLink(
            stream=stream,
            scheduler=self._scheduler,
            rooms=self._rooms,
            clock=self._clock,
            declines=self._declines,
            name=f"link-{self._link_count}",
            holding=holding,
            on_rollout_report=self.on_rollout_report,
        )
        await link.run()


class _ServerLink:
    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        scheduler: StageScheduler,
        rooms: StageRoomService,
        clock: Callable[[], float],
        declines: Callable[[], bool],
        name: str,
        holding: CallerHolding | None,
        on_rollout_report: OnReport | None,
    ) -> None:
        self._holding = holding
        self._declines = declines
        self._buffered_bytes = 0
        self._on_rollout_report = on_rollout_report
        self._frames = FramedStream(stream, on_buffered=self._account)
        self._scheduler = scheduler
        self._clock = clock
        self._name = name
        self._writer = FrameWriter(self._frames)
        self._scopes_by_id: dict[int, trio.CancelScope] = {}
        self._room = RoomServerLink(
            service=rooms,
            owner=RoomOwner(name),
            enqueue=self._writer.enqueue,
            on_waiting_change=self._update_holding,
            clock=clock,
        )

    async def run(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, nursery.cancel_scope)
                try:
                    while True:
                        data = await self._frames.read_frame(max_bytes=MAX_FRAME_BYTES)
                        self._handle_frame(decode(idl.StageFrame, data), nursery)
                except LINK_ERRORS:
                    # The peer closed the link, or it broke; its jobs are cancelled.
                    nursery.cancel_scope.cancel()
        finally:
            self._room.close()
            with trio.CancelScope(shield=True):
                await self._frames.aclose()

    def _account(self, buffered_bytes: int) -> None:
        self._buffered_bytes = buffered_bytes
        self._update_holding()

    def _update_holding(self) -> None:
        """Account for an incomplete frame, and for whether the peer waits.

        A link whose peer waits for nothing and holds nothing may be closed for another.
        """
        if self._holding is None:
            return
        phase = CallerPhase.BODY if self._buffered_bytes else CallerPhase.IDLE
        if self._scopes_by_id or self._room.in_use:
            phase = CallerPhase.HANDLED
        if phase is not self._holding.phase:
            self._holding.enter(phase, now_s=self._clock())
        self._holding.resize(self._buffered_bytes, now_s=self._clock())

    async def _write(self, scope: trio.CancelScope) -> None:
        try:
            await self._writer.run(
                lambda: bool(self._scopes_by_id) or self._room.has_waiting
            )
        except LINK_ERRORS:
            # Handled like a read error.
            scope.cancel()

    def _handle_frame(self, frame: Any, nursery: trio.Nursery) -> None:
        if frame.job is not None:
            request = decode_job(frame.job, link_name=self._name, now_s=self._clock())
            if request.number in self._scopes_by_id:
                raise CodecError(f"job {request.number} is already being executed")
            # A cancellation may be handled before the task begins.
            scope = self._scopes_by_id[request.number] = trio.CancelScope()
            self._update_holding()
            nursery.start_soon(self._execute, request, scope)
        if frame.cancelled_job_id is not None:
            cancelled = self._scopes_by_id.get(frame.cancelled_job_id)
            if cancelled is not None:
                cancelled.cancel()
        if frame.released:
            self._scheduler.release(decode_handles(frame.released))
        if frame.room is not None:
            self._room.handle_frame(frame.room, nursery)
        if frame.rollout_report is not None and self._on_rollout_report is not None:
            self._on_rollout_report(frame.rollout_report, self._writer.enqueue)

    async def _execute(self, request: JobRequest, scope: trio.CancelScope) -> None:
        with scope:
            try:
                await trio.lowlevel.checkpoint_if_cancelled()
                outcome = await self._outcome(request)
            finally:
                self._scopes_by_id.pop(request.number, None)
                self._update_holding()
            wait = self._scheduler.expected_wait(request.service)
            result = encode_result(request.number, outcome, wait)
            self._writer.enqueue(idl.StageFrame(result=result))

    async def _outcome(self, request: JobRequest) -> StageOutcome:
        if self._declines():
            # The sender still has an open link, though the registration has ended.
            # UNREACHABLE makes it try the next daemon in rank and leave out this one.
            return StageFailed(problem=StageProblem.UNREACHABLE)
        return await self._scheduler.execute(service=request.service, job=request.job)
