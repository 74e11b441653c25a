"""Server for the calls of other daemons."""

from collections.abc import Callable
from typing import Protocol

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
from ._handshake import HandshakeError, PeerIdentity, server_handshake
from ._messages import PeerAnswer, decode_request, encode_answer

_HANDSHAKE_TIMEOUT_S = 1.0
_IDLE_TIMEOUT_S = 60.0
_WRITE_TIMEOUT_S = 2.0
#: Enough for 340 peers with at most 4 connections each, of which less than half
#: are in use.
_MAX_CONNECTIONS = 1024


class PeerHandlers(Protocol):
    """Handlers for the calls of `PeerCalls`, each with the calling daemon."""

    async def gossip(
        self, *, caller: DaemonId, message: GossipMessage
    ) -> GossipMessage | Failure:
        """Merge the caller's gossip and return the gossip of this daemon."""

    async def fetch_config(self, *, caller: DaemonId) -> bytes | Failure:
        """Return this daemon's versioned configuration as JSON text."""

    async def reserve(
        self, *, caller: DaemonId, record: ActionRecord
    ) -> Granted | Existing | Failure:
        """Record an attempt for the caller."""

    async def finish(
        self, *, caller: DaemonId, record: ActionRecord
    ) -> Recorded | Failure:
        """Record an outcome for the caller."""

    async def acquire_permit(
        self, *, caller: DaemonId, upstream_id: UpstreamId
    ) -> Permit | Failure:
        """Issue a permit to the caller."""

    async def return_permit(
        self, *, caller: DaemonId, permit: Permit
    ) -> Recorded | Failure:
        """Take back a permit of the caller."""

    async def request_grant(
        self, *, caller: DaemonId, demand: LimitDemand
    ) -> LimitGrant | Failure:
        """Grant the caller a share of an organisation's limits."""

    async def push_event(
        self, *, caller: DaemonId, event: FleetEvent
    ) -> Recorded | Failure:
        """Apply an event."""

    async def fetch_events(
        self, *, caller: DaemonId, request_id: RequestId
    ) -> RequestEvents | Failure:
        """Return the events that this daemon recorded for a request."""


class PeerServer:
    """Serves the connections of peers that authenticate with the fleet key.

    :param fleet_key: Secret shared by all daemons.
    :param on_refusal: Called once for each connection that is closed because of an
        error, with the remote address and the reason.
    :param clock: Boot-time clock, in seconds.
    :param handshake_timeout_s: Time in which a peer must authenticate, in seconds.
    :param max_connections: Limit on the connections served at the same time.
    """

    def __init__(
        self,
        *,
        fleet_key: bytes,
        on_refusal: Callable[[str, str], None],
        clock: Callable[[], float] = boot_time_s,
        handshake_timeout_s: float = _HANDSHAKE_TIMEOUT_S,
        max_connections: int = _MAX_CONNECTIONS,
    ) -> None:
        self._fleet_key = fleet_key
        self._on_refusal = on_refusal
        self._clock = clock
        self._handshake_timeout_s = handshake_timeout_s
        self._max_connections = max_connections
        self._connection_count = 0

    async def serve(
        self, listener: trio.SocketListener, handlers: PeerHandlers
    ) -> None:
        """Accept connections until cancelled.

        :param listener: A bound listener; closed at the end.
        """

        async def serve_stream(stream: trio.SocketStream) -> None:
            await self._serve_connection(stream, handlers)

        await trio.serve_listeners(serve_stream, [listener])

    async def _serve_connection(
        self, stream: trio.SocketStream, handlers: PeerHandlers
    ) -> None:
        frames = FramedStream(stream)
        remote = _remote_address(stream)
        self._connection_count += 1
        try:
            if self._connection_count > self._max_connections:
                self._on_refusal(remote, "too many connections")
                return
            await self._serve_calls(frames, handlers)
        except ConnectionEnded:
            pass
        except trio.TooSlowError:
            self._on_refusal(remote, "timed out")
        except (FrameError, CodecError, HandshakeError) as error:
            self._on_refusal(remote, str(error))
        except Exception as error:
            # An exception in one handler must not close the connections of all peers.
            self._on_refusal(remote, f"the handler failed: {error!r}")
        finally:
            self._connection_count -= 1
            with trio.CancelScope(shield=True):
                await frames.aclose()

    async def _serve_calls(self, frames: FramedStream, handlers: PeerHandlers) -> None:
        with trio.fail_after(self._handshake_timeout_s):
            try:
                peer = await server_handshake(frames, fleet_key=self._fleet_key)
            except ConnectionEnded:
                raise HandshakeError(
                    "the peer closed the connection during the handshake"
                ) from None
        while True:
            data = None
            with trio.move_on_after(_IDLE_TIMEOUT_S):
                data = await frames.read_frame(max_bytes=MAX_FRAME_BYTES)
            if data is None:
                return
            call_id, answer = await self._answer(data, peer, handlers)
            encoded = encode_answer(call_id=call_id, answer=answer, now_s=self._clock())
            with trio.fail_after(_WRITE_TIMEOUT_S):
                await frames.write_frame(encoded)

    async def _answer(
        self, data: bytes, peer: PeerIdentity, handlers: PeerHandlers
    ) -> tuple[int, PeerAnswer]:
        call_id, method, value = decode_request(data, received_at_s=self._clock())
        caller = peer.daemon_id
        answer: PeerAnswer
        match method:
            case "gossip":
                answer = await handlers.gossip(caller=caller, message=value)
            case "fetch_config":
                answer = await handlers.fetch_config(caller=caller)
            case "reserve":
                answer = await handlers.reserve(caller=caller, record=value)
            case "finish":
                answer = await handlers.finish(caller=caller, record=value)
            case "acquire_permit":
                answer = await handlers.acquire_permit(
                    caller=caller, upstream_id=UpstreamId(value)
                )
            case "return_permit":
                answer = await handlers.return_permit(caller=caller, permit=value)
            case "request_grant":
                answer = await handlers.request_grant(caller=caller, demand=value)
            case "push_event":
                answer = await handlers.push_event(caller=caller, event=value)
            case "fetch_events":
                answer = await handlers.fetch_events(
                    caller=caller, request_id=RequestId(value)
                )
            case _:
                answer = not_run(
                    reason=Reason.MALFORMED, detail=f"unknown method {method}"
                )
        return call_id, answer


def _remote_address(stream: trio.SocketStream) -> str:
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "unknown"
    return f"{host}:{port}"
