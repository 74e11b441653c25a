"""Bounds what callers cost a daemon, and records whom it cuts off."""

from collections.abc import Awaitable, Callable

import trio

from galenashift.limits import CallerBudget, CallerHolding, CallerMemory, CutCause
from galenashift.listeners import StreamHandler
from galenashift.platform import PlatformSettings
from galenashift.telemetry import EventLog, Metrics

#: Memory of a connection without a request, in bytes, with a margin.
_CONNECTION_BYTES = 16_384
#: Share of the memory limit for connections without a request.
_CONNECTION_MEMORY_SHARE = 0.1
#: Share of the memory limit for incomplete frames of other daemons.
_PEER_MEMORY_SHARE = 0.04
#: Share of the descriptors for links of other daemons.
_PEER_DESCRIPTOR_SHARE = 0.2

#: Serves a connection with the account of what it makes the daemon hold.
HeldHandler = Callable[[trio.SocketStream, CallerHolding], Awaitable[None]]


def budget_of(settings: PlatformSettings) -> CallerBudget:
    """Return what callers may use of an instance."""
    clients = settings.clients
    by_memory = _CONNECTION_MEMORY_SHARE * settings.memory_bytes / _CONNECTION_BYTES
    by_descriptors = clients.descriptor_share * settings.max_descriptors
    return CallerBudget(
        memory_bytes=int(clients.memory_share * settings.memory_bytes),
        max_connections=max(1, int(min(by_memory, by_descriptors))),
        min_body_bytes_per_s=clients.min_body_bytes_per_s,
        write_timeout_s=clients.write_timeout_s,
    )


def peer_budget_of(settings: PlatformSettings) -> CallerBudget:
    """Return what the links of other daemons may use of an instance."""
    links = int(_PEER_DESCRIPTOR_SHARE * settings.max_descriptors)
    return CallerBudget(
        memory_bytes=int(_PEER_MEMORY_SHARE * settings.memory_bytes),
        max_connections=max(1, links),
        min_body_bytes_per_s=settings.clients.min_body_bytes_per_s,
        write_timeout_s=settings.clients.write_timeout_s,
    )


#: What the clients of readiness or of the metrics may use. Each sends a short request
#: every few seconds, and the oldest connection is closed for a new one.
PAGE_BUDGET = CallerBudget(
    memory_bytes=1_000_000,
    max_connections=12,
    min_body_bytes_per_s=0.0,
    write_timeout_s=5.0,
)


class CallerGuard:
    """Limits shared by all connections of one listener.

    :param listener: Name of the listener, for the log and the metrics.
    :param budget: What all its clients together may use.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        listener: str,
        budget: CallerBudget,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._listener = listener
        self.memory = CallerMemory(budget=budget)
        #: Held while a costly part of a body is parsed, so that others run in between.
        self.costly_turn = trio.Lock()
        self._events = events
        self._metrics = metrics
        self._clock = clock

    def has_room(self) -> bool:
        """Tell whether a connection may be accepted, and close others for it."""
        return self.memory.make_room(now_s=self._clock())

    def evict_slow(self) -> None:
        """Evict callers that read or send too slowly; to be called every second."""
        self.memory.evict_slow(now_s=self._clock())

    def record_cut(self, holding: CallerHolding, cause: CutCause, peer: str) -> None:
        """Log and count a caller that is cut off.

        :param peer: Address of the caller.
        """
        self._metrics.count(
            "callers_cut_off_total",
            listener=self._listener,
            cause=cause.value,
            phase=holding.phase.value,
        )
        self._events.info(
            "caller-cut-off",
            listener=self._listener,
            cause=cause.value,
            phase=holding.phase.value,
            peer=peer,
            held_bytes=holding.size_bytes,
            body_bytes=holding.received_bytes,
            phase_s=self._clock() - holding.since_s,
            all_bytes=self.memory.used_bytes,
            connections=self.memory.connections,
        )

    def update_gauges(self) -> None:
        """Set the gauges of what the clients use."""
        memory = self.memory
        gauges = {
            "caller_memory_bytes": memory.used_bytes,
            "caller_memory_limit_bytes": memory.budget.memory_bytes,
            "caller_connections": memory.connections,
            "caller_connections_limit": memory.budget.max_connections,
        }
        for name, value in gauges.items():
            self._metrics.set_gauge(name, value, listener=self._listener)

    def hold(self, handler: HeldHandler) -> StreamHandler:
        """Wrap a handler so that its connections are limited and may be closed."""

        async def serve(stream: trio.SocketStream) -> None:
            def close(cause: CutCause) -> None:
                self.record_cut(holding, cause, peer_of(stream))
                stream.socket.close()
                scope.cancel()

            with trio.CancelScope() as scope:
                holding = self.memory.open(
                    on_evicted=close, may_close=lambda: True, now_s=self._clock()
                )
                try:
                    await handler(stream, holding)
                finally:
                    holding.close()

        return serve


def peer_of(stream: trio.SocketStream) -> str:
    """Return the address of the other end, empty if it has gone."""
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return ""
    return f"{host}:{port}"
