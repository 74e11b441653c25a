"""Client for calls to other daemons, with a connection pool for each."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import trio

from galenashift.model import (
    ActionRecord,
    DaemonId,
    Existing,
    Failure,
    FleetEvent,
    GossipMessage,
    Granted,
    LimitDemand,
    LimitGrant,
    Permit,
    Reason,
    Recorded,
    RequestEvents,
    RequestId,
    UpstreamId,
    boot_time_s,
    not_run,
)

from ._codec import CodecError
from ._framing import MAX_FRAME_BYTES, ConnectionEnded, FramedStream, FrameError
from ._handshake import HandshakeError, PeerIdentity, client_handshake
from ._messages import decode_answer, encode_request

#: Timeout of one attempt at a call, including the connection setup, in seconds.
CALL_TIMEOUT_S = 1.0
_MAX_CONNECTIONS_PER_PEER = 4
#: Seconds after which an idle connection is closed. Less than the server's idle
#: timeout, so that the client closes first.
_MAX_IDLE_S = 30.0
_IDLE_CHECK_INTERVAL_S = 5.0

_AnswerT = TypeVar("_AnswerT")
_OtherAnswerT = TypeVar("_OtherAnswerT")


class _CallError(Exception):
    """One attempt at a call failed."""


@dataclass(kw_only=True)
class _Connection:
    frames: FramedStream
    next_call_id: int = 1
    idle_since_s: float = 0.0


@dataclass(kw_only=True)
class _Pool:
    address: tuple[str, int]
    idle: list[_Connection] = field(default_factory=list)
    slots: trio.CapacityLimiter = field(
        default_factory=lambda: trio.CapacityLimiter(_MAX_CONNECTIONS_PER_PEER)
    )


class PeerClient:
    """Implements `PeerCalls` over TCP.

    A connection that times out or fails is closed. The other connections to the
    same peer are kept, as they may still work.

    :param identity: This daemon.
    :param fleet_key: Secret shared by all daemons.
    :param address_of: Returns the IP address and port of a daemon, None if unknown.
    :param clock: Boot-time clock, in seconds.
    :param timeout_s: Timeout of one attempt, in seconds.
    """

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        fleet_key: bytes,
        address_of: Callable[[DaemonId], tuple[str, int] | None],
        clock: Callable[[], float] = boot_time_s,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._identity = identity
        self._fleet_key = fleet_key
        self._address_of = address_of
        self._clock = clock
        self._timeout_s = timeout_s
        self._pools_by_id: dict[DaemonId, _Pool] = {}
        self._idle_checked_at_s = clock()

    async def gossip(
        self, *, daemon: DaemonId, message: GossipMessage
    ) -> GossipMessage | Failure:
        """Exchange gossip with a peer."""
        return await self._call(daemon, "gossip", message, GossipMessage)

    async def fetch_config(self, *, daemon: DaemonId) -> bytes | Failure:
        """Fetch the peer's versioned configuration as JSON text."""
        return await self._call(daemon, "fetch_config", True, bytes)

    async def reserve(
        self, *, daemon: DaemonId, record: ActionRecord
    ) -> Granted | Existing | Failure:
        """Ask the owner of a bucket to record an attempt; idempotent by its id."""
        return await self._call(daemon, "reserve", record, (Granted, Existing))

    async def finish(
        self, *, daemon: DaemonId, record: ActionRecord
    ) -> Recorded | Failure:
        """Ask the owner of a bucket to record an outcome; idempotent."""
        return await self._call(daemon, "finish", record, Recorded)

    async def acquire_permit(
        self, *, daemon: DaemonId, upstream_id: UpstreamId
    ) -> Permit | Failure:
        """Ask a gatekeeper for a permit; not retried, as each call acquires one."""
        return await self._call(
            daemon, "acquire_permit", upstream_id, Permit, attempts=1
        )

    async def return_permit(
        self, *, daemon: DaemonId, permit: Permit
    ) -> Recorded | Failure:
        """Return a permit; not retried, as the gatekeeper discards lost ones."""
        return await self._call(daemon, "return_permit", permit, Recorded, attempts=1)

    async def request_grant(
        self, *, daemon: DaemonId, demand: LimitDemand
    ) -> LimitGrant | Failure:
        """Ask the owner of an organisation's limits for a share of them."""
        return await self._call(daemon, "request_grant", demand, LimitGrant)

    async def push_event(
        self, *, daemon: DaemonId, event: FleetEvent
    ) -> Recorded | Failure:
        """Send an event to a peer without waiting for the next gossip round."""
        return await self._call(daemon, "push_event", event, Recorded)

    async def fetch_events(
        self, *, daemon: DaemonId, request_id: RequestId
    ) -> RequestEvents | Failure:
        """Fetch the events that a peer recorded for a request."""
        return await self._call(daemon, "fetch_events", request_id, RequestEvents)

    async def aclose(self) -> None:
        """Close all idle connections."""
        pools = list(self._pools_by_id.values())
        self._pools_by_id.clear()
        for pool in pools:
            await _close_all(pool.idle)

    async def _call(
        self,
        daemon: DaemonId,
        method: str,
        value: Any,
        expected: type[_AnswerT] | tuple[type[_AnswerT], type[_OtherAnswerT]],
        attempts: int = 2,
    ) -> _AnswerT | _OtherAnswerT | Failure:
        await self._close_idle_connections()
        detail = ""
        for attempt in range(attempts):
            address = self._address_of(daemon)
            if address is None:
                detail = "its address is unknown"
                break
            try:
                with trio.fail_after(self._timeout_s):
                    pool = await self._pool(daemon, address)
                    answer = await self._attempt_call(
                        pool, method, value, fresh=attempt > 0
                    )
            except trio.TooSlowError:
                detail = f"no answer within {self._timeout_s:g} s"
                continue
            except _CallError as error:
                detail = str(error)
                continue
            if isinstance(answer, (Failure, expected)):
                return answer
            detail = f"it answered with {type(answer).__name__}"
            break
        return not_run(
            reason=Reason.PEER_UNAVAILABLE,
            detail=f"{method} on daemon {daemon} failed: {detail}",
        )

    async def _pool(self, daemon: DaemonId, address: tuple[str, int]) -> _Pool:
        pool = self._pools_by_id.get(daemon)
        if pool is not None and pool.address == address:
            return pool
        fresh = self._pools_by_id[daemon] = _Pool(address=address)
        if pool is not None:
            await _close_all(pool.idle)
        return fresh

    async def _attempt_call(
        self, pool: _Pool, method: str, value: Any, *, fresh: bool
    ) -> Any:
        async with pool.slots:
            connection = None
            reusable = False
            try:
                if pool.idle and not fresh:
                    connection = pool.idle.pop()
                else:
                    connection = await self._connect(pool.address)
                answer = await self._exchange(connection, method, value)
                reusable = True
            except ConnectionEnded:
                raise _CallError("the peer closed the connection") from None
            except (OSError, FrameError, CodecError, HandshakeError) as error:
                raise _CallError(str(error)) from error
            finally:
                if connection is not None:
                    if reusable:
                        connection.idle_since_s = self._clock()
                        pool.idle.append(connection)
                    else:
                        await _close(connection)
            return answer

    async def _connect(self, address: tuple[str, int]) -> _Connection:
        frames = FramedStream(await trio.open_tcp_stream(*address))
        opened = False
        try:
            await client_handshake(
                frames, identity=self._identity, fleet_key=self._fleet_key
            )
            opened = True
        finally:
            if not opened:
                await _close(_Connection(frames=frames))
        return _Connection(frames=frames)

    async def _exchange(self, connection: _Connection, method: str, value: Any) -> Any:
        call_id = connection.next_call_id
        connection.next_call_id += 1
        sent_at_s = self._clock()
        data = encode_request(
            call_id=call_id, method=method, value=value, now_s=sent_at_s
        )
        await connection.frames.write_frame(data)
        data = await connection.frames.read_frame(max_bytes=MAX_FRAME_BYTES)
        answered_call_id, answer = decode_answer(data, sent_at_s=sent_at_s)
        if answered_call_id != call_id:
            raise FrameError(
                f"call {call_id} got the answer of call {answered_call_id}"
            )
        return answer

    async def _close_idle_connections(self) -> None:
        now_s = self._clock()
        if now_s < self._idle_checked_at_s + _IDLE_CHECK_INTERVAL_S:
            return
        self._idle_checked_at_s = now_s
        for daemon, pool in list(self._pools_by_id.items()):
            expired = [
                each for each in pool.idle if each.idle_since_s < now_s - _MAX_IDLE_S
            ]
            pool.idle = [each for each in pool.idle if each not in expired]
            await _close_all(expired)
            if not pool.idle and not pool.slots.borrowed_tokens:
                self._pools_by_id.pop(daemon, None)


async def _close(connection: _Connection) -> None:
    with trio.CancelScope(shield=True):
        await connection.frames.aclose()


async def _close_all(connections: list[_Connection]) -> None:
    for connection in connections:
        await _close(connection)
