"""Assembles and runs the gateway daemon."""

import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path

import trio

from galenashift.limits import CallerBudget, CallerHolding
from galenashift.listeners import DrainingListener, StreamHandler
from galenashift.model import (
    CallerLimits,
    boot_time_s,
)
from galenashift.platform import (
    SETTINGS_PATH_VARIABLE,
    Address,
    PlatformSettings,
    SettingsError,
    load_settings,
)
from galenashift.telemetry import EventLog, Metrics

from ._caller import CallerConnection
from ._caller_guard import (
    PAGE_BUDGET,
    CallerGuard,
    HeldHandler,
    budget_of,
    peer_budget_of,
)
from ._components import GatewayComponents
from ._drain import Shutdown
from ._output import BoundedOutput
from ._status_pages import serve_pages
from ._supervisor import Task

#: Port of the metrics endpoint.
METRICS_PORT = 9464
#: Length of the queue of connections that are not accepted yet.
_LISTEN_BACKLOG = 512
_METRICS_PATH = "/metrics"
#: Time between two checks of idle connections, in seconds.
_IDLE_CHECK_INTERVAL_S = 1.0

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class GatewayDaemon:
    """A gateway daemon with its listeners, connections and background tasks.

    :param settings: Settings that the platform provides.
    :param settings_path: Settings file, which is read again on SIGHUP.
    """

    def __init__(self, *, settings: PlatformSettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        clock = boot_time_s
        self._clock = clock
        self._output = BoundedOutput(sys.stdout.fileno())
        self._events = EventLog(stream=self._output, max_indexed_requests=0)
        self._metrics = Metrics()
        self._connections: set[CallerConnection] = set()
        self._guard = self._new_guard("callers", budget_of(settings))
        self._guards = [self._guard]
        self._caller_listener: DrainingListener | None = None
        self._shutdown = Shutdown(grace_s=settings.bounds.grace_s)
        components = GatewayComponents(
            settings=settings,
            events=self._events,
            metrics=self._metrics,
            drain_period=lambda: self._shutdown.period,
            on_view_change=self._on_view_change,
            clock=clock,
        )
        self._components = components
        self._view = components.view
        self._pool = components.pool
        self._supervisor = components.supervisor
        self._registration = components.registration
        self._relay = components.relay

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and return."""
        settings = self._settings
        self._events.info(
            "started",
            daemon=settings.daemon_id,
            domain=settings.failure_domain,
            callers=f"{settings.callers.host}:{settings.callers.port}",
            peers=f"{settings.peers.host}:{settings.peers.port}",
            store=f"{settings.store.host}:{settings.store.port}",
        )
        async with trio.open_nursery() as nursery:
            for name, task in self._background_tasks().items():
                nursery.start_soon(self._supervisor.run, name, task)
            await self._listen_to_clients(nursery)
            self._caller_listener = await self._open_listener(
                settings.callers, self._serve_caller, self._guard
            )
            nursery.start_soon(self._caller_listener.accept, nursery)
            await self._shutdown.wait_until_done(
                requests=lambda: self._open_requests,
                refuse_unsent=self._relay.open_requests.refuse_unsent,
                fail_unanswered=self._relay.open_requests.fail_unanswered,
                close_listener=self._close_caller_listener,
                clock=self._clock,
            )
            nursery.cancel_scope.cancel()
        self._events.info("stopped", dropped_lines=self._output.dropped)

    def _background_tasks(self) -> Mapping[str, Task]:
        return {
            "signals": self._handle_signals,
            "idle-connections": self._close_idle_connections,
            **self._components.background_tasks(),
        }

    def _close_caller_listener(self) -> int:
        assert self._caller_listener is not None
        accepted = self._caller_listener.close()
        self._events.info("caller-listener-closed", queued=accepted)
        return accepted

    @property
    def _open_requests(self) -> int:
        now_s = self._clock()
        return sum(1 for each in self._connections if not each.is_idle(now_s=now_s))

    async def _listen_to_clients(self, nursery: trio.Nursery) -> None:
        """Start the listeners that end with the process, each with its limits."""
        settings = self._settings
        metrics = Address(host=settings.peers.host, port=METRICS_PORT)
        peer_budget = peer_budget_of(settings)
        listeners: list[tuple[str, Address, HeldHandler, CallerBudget]] = [
            ("ready", settings.ready, self._serve_ready, PAGE_BUDGET),
            ("peers", settings.peers, self._components.stage_server.serve, peer_budget),
            ("metrics", metrics, self._serve_metrics, PAGE_BUDGET),
        ]
        for name, address, handler, budget in listeners:
            guard = self._new_guard(name, budget)
            self._guards.append(guard)
            listener = await self._open_listener(address, guard.hold(handler), guard)
            nursery.start_soon(listener.accept, nursery)

    def _new_guard(self, listener: str, budget: CallerBudget) -> CallerGuard:
        return CallerGuard(
            listener=listener,
            budget=budget,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )

    async def _open_listener(
        self, address: Address, handler: StreamHandler, guard: CallerGuard
    ) -> DrainingListener:
        (listener,) = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_LISTEN_BACKLOG
        )
        return DrainingListener(
            listener=_detach(listener.socket),
            handler=self._isolate_errors(handler),
            has_room=guard.has_room,
        )

    def _isolate_errors(self, handler: StreamHandler) -> StreamHandler:
        """Wrap a handler so that an exception ends only its own connection."""

        async def serve(stream: trio.SocketStream) -> None:
            try:
                await handler(stream)
            except Exception as error:
                self._events.error("connection-crashed", detail=repr(error))
                await trio.aclose_forcefully(stream)

        return serve

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream=stream,
            handler=self._relay.handle,
            limits=self._limits,
            draining=lambda: self._shutdown.draining,
            guard=self._guard,
            clock=self._clock,
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)

    def _limits(self) -> CallerLimits:
        config = self._view.config
        return CallerLimits() if config is None else config.limits

    async def _serve_ready(self, stream: trio.SocketStream, _: CallerHolding) -> None:
        await serve_pages(stream, page=self._ready_page)

    def _ready_page(self, _path: str) -> tuple[int, bytes]:
        ready = (
            self._view.config is not None
            and not self._shutdown.draining
            and self._supervisor.healthy
        )
        return (_OK, b"ready\n") if ready else (_UNAVAILABLE, b"not ready\n")

    async def _serve_metrics(self, stream: trio.SocketStream, _: CallerHolding) -> None:
        await serve_pages(stream, page=self._metrics_page)

    def _metrics_page(self, path: str) -> tuple[int, bytes]:
        if path != _METRICS_PATH:
            return _NOT_FOUND, b""
        self._metrics.set_gauge("open_caller_connections", len(self._connections))
        for guard in self._guards:
            guard.update_gauges()
        self._metrics.set_gauge("upstream_connections_opened", self._pool.opened)
        self._metrics.set_gauge("log_lines_dropped", self._output.dropped)
        age_s = self._clock() - self._components.store_watch.up_to_date_at_s
        self._metrics.set_gauge("store_view_age_seconds", age_s)
        return _OK, self._metrics.render().encode()

    async def _handle_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGTERM:
                    await self._begin_shutdown()
                else:
                    self._reload()

    async def _begin_shutdown(self) -> None:
        if self._shutdown.draining:
            return
        self._shutdown.begin(now_s=self._clock())
        self._events.info("stopping", open_requests=self._open_requests)
        await self._registration.end()

    def _reload(self) -> None:
        """Read the settings again; changed addresses apply after a restart."""
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as error:
            self._events.error("settings-rejected", detail=error)
            return
        changed = settings != self._settings
        self._settings = settings
        self._events.info("settings-reloaded", changed=changed)

    async def _close_idle_connections(self) -> None:
        while True:
            await trio.sleep(_IDLE_CHECK_INTERVAL_S)
            self._pool.close_expired(now_s=self._clock())
            for guard in self._guards:
                guard.evict_slow()
            if self._shutdown.should_close_idle(now_s=self._clock()):
                for connection in list(self._connections):
                    connection.close_if_idle(now_s=self._clock())

    def _on_view_change(self, name: str, fields: Mapping[str, object]) -> None:
        """Log a change of the view and update the state that depends on it."""
        self._events.info(name, request_id=None, **fields)
        self._components.apply_view_change(name, fields)


def _detach(listener: trio.socket.SocketType) -> socket.socket:
    """Return the standard socket of a listener of trio."""
    detached = socket.socket(fileno=listener.detach())
    detached.setblocking(False)
    return detached


def run_daemon() -> None:
    """Run the daemon with the settings file named by the environment variable."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if path is None:
        sys.exit(f"{SETTINGS_PATH_VARIABLE} is not set")
    try:
        settings = load_settings(Path(path))
    except SettingsError as error:
        sys.exit(str(error))
    trio.run(GatewayDaemon(settings=settings, settings_path=Path(path)).run)
