"""Links to other daemons: the end that sends jobs, reservations and reports."""

import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import trio

from galenashift.limits import RoomRequest
from galenashift.model import DaemonId, Handle, RequestId, ServiceName
from galenashift.peers import MAX_FRAME_BYTES, FramedStream, FrameError, decode, idl
from galenashift.platform import Address

from ._connection import ConnectFailed, open_socket
from ._frame_writer import KEEPALIVE_INTERVAL_S, LINK_ERRORS, FrameWriter
from ._room_frames import RoomReply
from ._room_link import RoomClientLink
from ._stage_frames import decode_handles, decode_result, decode_wait, encode_job
from ._stage_job import StageJob
from ._stage_outcome import StageFailed, StageOutcome, StageProblem
from ._times import ServiceLatencies

#: Time without a frame after which the peer is considered unreachable, in seconds.
_PEER_TIMEOUT_S = 0.7
#: Time without jobs after which a link is closed, in seconds.
_IDLE_TIMEOUT_S = 30.0
#: Most frames that wait for a link to open.
_MAX_EARLY_FRAMES = 200

#: Receives a directive on a rollout.
OnDirective = Callable[[Any], None]

_UNREACHABLE = StageFailed(problem=StageProblem.UNREACHABLE)


@dataclass(kw_only=True)
class _Waiter:
    """A request that waits for the result of its job."""

    service: ServiceName
    #: Number of pieces of the job.
    pieces: int
    done: trio.Event = field(default_factory=trio.Event)
    #: The initial value applies if the link breaks before a result arrives.
    outcome: StageOutcome = _UNREACHABLE


class StageLink:
    """Connection to the batching daemon of some services.

    :param peer: The daemon at the other end.
    :param clock: Boot-time clock.
    :param latencies: Records the waits that the peer reports.
    :param on_rollout_directive: Receives directives on rollouts; None to ignore them.
    """

    def __init__(
        self,
        *,
        peer: DaemonId,
        address: Address,
        clock: Callable[[], float],
        latencies: ServiceLatencies,
        on_rollout_directive: OnDirective | None = None,
    ) -> None:
        self._on_rollout_directive = on_rollout_directive
        self._latencies = latencies
        self.peer = peer
        self.address = address
        self._clock = clock
        self._writer: FrameWriter | None = None
        #: Frames that are sent as soon as the link is open.
        self._early_frames: list[Any] = []
        self._waiters_by_id: dict[int, _Waiter] = {}
        self._last_job_number = 0
        self._waiting_since_s = 0.0
        self._opened = trio.Event()
        self._room = RoomClientLink(enqueue=self._enqueue, clock=clock)
        self.broken = False

    async def run(self) -> None:
        """Connect, and read results until the link breaks or is idle for too long."""
        try:
            await self._run()
        except ConnectFailed:
            # Handled like a link that breaks later.
            pass
        finally:
            self.broken = True
            self._opened.set()
            self._room.close()
            for waiter in self._waiters_by_id.values():
                waiter.done.set()

    async def _run(self) -> None:
        sock = await open_socket(host=self.address.host, port=self.address.port)
        frames = FramedStream(trio.SocketStream(sock))
        self._writer = FrameWriter(frames)
        for frame in self._early_frames:
            self._writer.enqueue(frame)
        self._early_frames.clear()
        self._opened.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, self._writer, nursery.cancel_scope)
                # Each waiting job fails with UNREACHABLE, which its request logs.
                with contextlib.suppress(*LINK_ERRORS):
                    await self._read(frames)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await frames.aclose()

    async def _write(self, writer: FrameWriter, scope: trio.CancelScope) -> None:
        try:
            await writer.run(lambda: False)
        except LINK_ERRORS:
            # This stops the reader, and `run` fails the waiting jobs.
            scope.cancel()

    async def _read(self, frames: FramedStream) -> None:
        """Read frames until the peer times out or the link has been idle for too long.

        The timeout of the peer applies only while a job waits for its result.
        """
        last_frame_s = self._clock()
        while True:
            data: bytes | None = None
            with trio.move_on_after(KEEPALIVE_INTERVAL_S):
                data = await frames.read_frame(max_bytes=MAX_FRAME_BYTES)
            now_s = self._clock()
            if data is not None:
                last_frame_s = now_s
                self._handle_frame(decode(idl.StageFrame, data))
            elif self._has_waiting:
                if now_s - max(last_frame_s, self._waiting_since_s) > _PEER_TIMEOUT_S:
                    return
            elif self._room.has_granted:
                last_frame_s = now_s
            elif now_s - last_frame_s > _IDLE_TIMEOUT_S:
                return

    @property
    def is_open(self) -> bool:
        """Whether the peer has accepted the link, and it is not broken."""
        return self._writer is not None and not self.broken

    @property
    def _has_waiting(self) -> bool:
        return bool(self._waiters_by_id) or self._room.has_waiting

    def _handle_frame(self, frame: Any) -> None:
        if frame.room is not None:
            self._room.handle_frame(frame.room)
        if frame.rollout_directive is not None and self._on_rollout_directive:
            self._on_rollout_directive(frame.rollout_directive)
        if frame.result is None:
            return
        waiter = self._waiters_by_id.get(frame.result.job_id)
        if waiter is None:
            # The request was cancelled while its result was on the way.
            self.release(decode_handles(frame.result.handles or ()))
            return
        wait = decode_wait(frame.result)
        outcome = decode_result(frame.result, pieces=waiter.pieces)
        if wait is not None:
            self._latencies.record_wait(waiter.service, wait, now_s=self._clock())
        waiter.outcome = outcome
        waiter.done.set()

    async def execute(self, *, service: ServiceName, job: StageJob) -> StageOutcome:
        """Execute a job at the peer.

        :returns: A failure with `StageProblem.UNREACHABLE` if the link breaks.
        """
        await self._opened.wait()
        if self.broken or self._writer is None:
            return _UNREACHABLE
        self._last_job_number += 1
        job_number = self._last_job_number
        waiter = _Waiter(service=service, pieces=len(job.pieces))
        if not self._has_waiting:
            self._waiting_since_s = self._clock()
        self._waiters_by_id[job_number] = waiter
        message = encode_job(job_number, service, job, self._clock())
        try:
            self._writer.enqueue(idl.StageFrame(job=message))
            await waiter.done.wait()
        except FrameError:
            return _UNREACHABLE
        except trio.Cancelled:
            self._enqueue(idl.StageFrame(cancelled_job_id=job_number))
            raise
        finally:
            del self._waiters_by_id[job_number]
        return waiter.outcome

    async def reserve(
        self, request: RoomRequest, *, request_id: RequestId
    ) -> tuple[int, RoomReply | None]:
        """Ask the peer for memory, see `RoomClientLink.reserve`."""
        await self._opened.wait()
        if self.broken:
            return 0, None
        if not self._has_waiting:
            self._waiting_since_s = self._clock()
        return await self._room.reserve(request, request_id=request_id)

    def release_room(self, number: int, stages: Sequence[int] = ()) -> None:
        """Release stages of a reservation at the peer; all if there are none."""
        self._room.release(number, stages)

    def release(self, handles: Sequence[Handle]) -> None:
        """Free results through the peer."""
        if not handles:
            return
        self._enqueue(idl.StageFrame(released=list(handles)))

    def send(self, frame: Any) -> bool:
        """Send a frame as soon as the link is open.

        :returns: Whether the link takes it.
        """
        if self.broken or len(self._early_frames) >= _MAX_EARLY_FRAMES:
            return False
        self._enqueue(frame)
        return True

    def _enqueue(self, frame: Any) -> None:
        if self.broken:
            return
        if self._writer is None:
            if len(self._early_frames) < _MAX_EARLY_FRAMES:
                self._early_frames.append(frame)
            return
        try:
            self._writer.enqueue(frame)
        except FrameError:
            # Upstreams free the results themselves when they expire.
            return
