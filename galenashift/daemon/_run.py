"""Runs one daemon from start to graceful shutdown."""

import math
import resource
import signal
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

import trio

from galenashift.config import DaemonSettings
from galenashift.limits import CallerBudget, CallerHolding, CutCause
from galenashift.model import JsonObject, boot_time_s, wall_time_s
from galenashift.recovery import Drain, DrainPhase
from galenashift.serving import CallerApp, OperatorApp, error_location
from galenashift.telemetry import EventLog, Metrics

from ._components import Components
from ._configuration_watch import watch_configuration
from ._confirmation import Confirmation
from ._explanation import Explainer
from ._listeners import HttpListener, bind_listener
from ._operations import Operations
from ._status import build_status

EXIT_OK = 0
EXIT_FAILED = 1

_DRAIN_POLL_INTERVAL_S = 0.05
#: Timeout for ending the session lease and the registration at shutdown, and for
#: closing the operator listener, in seconds.
_CLOSE_TIMEOUT_S = 2.0
_BYTES_PER_MB = 1_000_000
#: Share of the descriptors for connections of callers; the rest is for upstreams, the
#: store, other daemons and operators.
_CALLER_DESCRIPTOR_SHARE = 0.6
#: Most connections to the listener of operators, which is also scraped for metrics.
_MAX_OPERATOR_CONNECTIONS = 64
#: Rate below which a body is cut off while most of the memory is used, in bytes per
#: second.
_MIN_BODY_BYTES_PER_S = 1_024.0


def run_daemon(settings: DaemonSettings) -> int:
    """Run a daemon until it has shut down.

    :param settings: Validated settings.
    :returns: The exit code.
    """
    events = EventLog(level=settings.log_level.value)
    try:
        sockets = [
            bind_listener(address)
            for address in (
                settings.caller_address,
                settings.operator_address,
                settings.peer_listener,
            )
        ]
    except OSError as error:
        events.error("start-failed", detail=f"cannot bind a listening socket: {error}")
        return EXIT_FAILED
    return trio.run(partial(_serve, settings, events, sockets))


async def _serve(
    settings: DaemonSettings, events: EventLog, sockets: list[socket.socket]
) -> int:
    daemon = _Daemon(settings=settings, events=events)
    async with trio.open_nursery() as nursery:
        return await daemon.run(nursery=nursery, sockets=sockets)


def _caller_budget(settings: DaemonSettings) -> CallerBudget:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    by_descriptors = int(_CALLER_DESCRIPTOR_SHARE * descriptors)
    return CallerBudget(
        memory_bytes=settings.caller_memory_mb * _BYTES_PER_MB,
        max_connections=min(settings.caller_connections, by_descriptors),
        min_body_bytes_per_s=_MIN_BODY_BYTES_PER_S,
        # Writes have a timeout of their own.
        write_timeout_s=math.inf,
    )


class _Daemon:
    """Runs the tasks of a daemon and ends them in order."""

    def __init__(self, *, settings: DaemonSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        self._drain = Drain(limit_s=settings.drain_limit_s)
        self._exit_code = EXIT_OK

    async def run(self, *, nursery: trio.Nursery, sockets: list[socket.socket]) -> int:
        """Start all tasks, serve requests, and shut down after a signal.

        :param nursery: Runs the tasks; cancelled after the shutdown.
        :param sockets: Bound sockets for callers, operators and peers.
        """
        parts = Components(
            settings=self._settings, nursery=nursery, events=self._events
        )
        self._create_apps(parts, sockets)
        await nursery.start(parts.upstreams.run)
        peer_listener = trio.SocketListener(trio.socket.from_stdlib_socket(sockets[2]))
        tasks: tuple[Callable[[], Awaitable[None]], ...] = (
            partial(parts.peer_server.serve, peer_listener, parts.peer_service),
            partial(watch_configuration, parts),
            parts.registration.run,
            parts.session.run,
            parts.gossip.run,
            parts.poller.run,
            parts.limits.run,
            parts.permits.run,
            parts.actions.run,
            parts.placement.run,
            partial(self._operator_listener.serve, drain_timeout_s=_CLOSE_TIMEOUT_S),
        )
        for task in tasks:
            nursery.start_soon(task)
        self._log_started()
        async with trio.open_nursery() as serving:
            serving.start_soon(self._watch_signals, nursery.cancel_scope, parts)
            drain_timeout_s = self._settings.drain_limit_s
            await self._caller_listener.serve(drain_timeout_s=drain_timeout_s)
            serving.cancel_scope.cancel()
        await self._close_leases(parts)
        nursery.cancel_scope.cancel()
        return self._exit_code

    def _create_apps(self, parts: Components, sockets: list[socket.socket]) -> None:
        confirmation = Confirmation(parts=parts)
        explainer = Explainer(
            fleet=parts.view, peers=parts.peers, log=self._events, clock=boot_time_s
        )
        operations = Operations(
            configuration=parts.configuration,
            fleet=parts.view,
            confirm=confirmation.confirm,
            build_status=partial(self._build_status, parts),
            explain=explainer.explain,
            draining=lambda: self._drain.signalled_at_s is not None,
            metrics=parts.metrics,
            random=parts.random,
            clock=boot_time_s,
            wall_clock=wall_time_s,
        )
        caller_app = CallerApp(
            executor=parts.executor,
            service=operations,
            events=self._events,
            metrics=parts.metrics,
        )
        operator_app = OperatorApp(
            service=operations,
            token_digest=self._settings.operator_token_digest,
            events=self._events,
        )
        budget = _caller_budget(self._settings)
        on_cut = partial(self._log_cut, parts.metrics)
        self._caller_listener = HttpListener(
            app=caller_app,
            listener=sockets[0],
            on_error=self._log_connection_error,
            budget=budget,
            on_cut=on_cut,
        )
        self._operator_listener = HttpListener(
            app=operator_app,
            listener=sockets[1],
            on_error=self._log_connection_error,
            budget=replace(budget, max_connections=_MAX_OPERATOR_CONNECTIONS),
            on_cut=on_cut,
        )

    def _log_cut(
        self, metrics: Metrics, holding: CallerHolding, cause: CutCause
    ) -> None:
        metrics.count("callers_cut_off_total", cause=cause.value)
        self._events.info(
            "caller-cut-off",
            cause=cause.value,
            phase=holding.phase.value,
            held_bytes=holding.size_bytes,
            body_bytes=holding.received_bytes,
        )

    def _log_connection_error(self, error: Exception) -> None:
        self._events.error("connection-failed", detail=error_location(error))

    def _build_status(self, parts: Components) -> JsonObject:
        return build_status(
            view=parts.view,
            directory=parts.directory,
            current=parts.configuration.current(),
            store=parts.store.availability,
            draining=self._drain.signalled_at_s is not None,
            in_flight=self._caller_listener.in_flight,
            organisations_at_limit=parts.recorder.organisations_at_limit(),
            now_s=boot_time_s(),
            wall_now_s=wall_time_s(),
        )

    def _log_started(self) -> None:
        settings = self._settings
        self._events.info(
            "daemon-started",
            daemon=settings.daemon_id,
            failure_domain=settings.failure_domain,
            caller_address=settings.caller_address,
            operator_address=settings.operator_address,
            peer_address=settings.peer_address,
        )
        print(f"ready caller={settings.caller_address}", flush=True)

    async def _watch_signals(self, scope: trio.CancelScope, parts: Components) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                async for signal_number in signals:
                    now_s = boot_time_s()
                    name = signal.Signals(signal_number).name
                    if self._drain.signalled_at_s is not None:
                        self._events.warning("shutdown-forced", signal=name)
                        self._exit_code = EXIT_FAILED
                        scope.cancel()
                        return
                    self._events.info("shutdown-started", signal=name)
                    self._drain = self._drain.signalled(now_s=now_s)
                    parts.view.start_draining()
                    self._caller_listener.announce_drain()
                    nursery.start_soon(self._close_listener_after_announcement)

    async def _close_listener_after_announcement(self) -> None:
        """Close the caller listener once load balancers had time to see the drain."""
        phase = DrainPhase.ANNOUNCED
        while phase is DrainPhase.ANNOUNCED:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
            phase = self._drain.phase(
                now_s=boot_time_s(), in_flight=self._caller_listener.in_flight
            )
        self._events.info("listener-closed", in_flight=self._caller_listener.in_flight)
        self._caller_listener.close()

    async def _close_leases(self, parts: Components) -> None:
        """End the leases after all work that depends on them."""
        self._events.info(
            "shutdown-finished", in_flight=self._caller_listener.in_flight
        )
        with trio.move_on_after(_CLOSE_TIMEOUT_S):
            await parts.session.close()
            await parts.registration.close()
