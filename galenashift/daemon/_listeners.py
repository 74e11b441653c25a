"""Serves ASGI applications with hypercorn on sockets bound by this daemon."""

import socket
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Event, RawData
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from galenashift.config import Address
from galenashift.limits import CallerBudget, CallerMemory
from galenashift.listeners import DrainingListener
from galenashift.serving import DIRECT_BODY

from ._caller_account import CallerAccount, OnCut
from ._caller_stream import CallerStream, DirectChunkWriter

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]

#: Time after which the kernel closes a connection whose peer acknowledges no data, in
#: milliseconds. hypercorn has no timeout for a caller that no longer responds.
_USER_TIMEOUT_MS = 10_000
#: Idle time before the first TCP keep-alive probe, and probe interval, in seconds.
_KEEPALIVE_PROBE_S = 10
#: Idle time after which a connection is closed, in seconds. Longer than the idle
#: timeout of load balancers, so that they close first and send no request on a
#: connection that is being closed.
_KEEP_ALIVE_TIMEOUT_S = 75.0
#: Time for which idle connections stay open after the listener has closed, in seconds.
#: A client may already have sent a request on them, which closing would abort.
_LATE_REQUEST_GRACE_S = 1.0
_POLL_INTERVAL_S = 0.02
#: Interval of the checks for idle connections, in seconds.
_IDLE_CHECK_INTERVAL_S = 5.0
_LISTEN_BACKLOG = 1024
#: Largest request line with headers; h11 rejects a larger one with status 431.
_MAX_HEAD_BYTES = 16_384


def bind_listener(address: Address) -> socket.socket:
    """Bind a listening TCP socket whose connections detect an unresponsive peer.

    :param address: IP address and port.
    :raises OSError: If the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEPALIVE_PROBE_S),
            (socket.TCP_KEEPINTVL, _KEEPALIVE_PROBE_S),
            (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
            (socket.TCP_NODELAY, 1),
        ):
            listener.setsockopt(socket.IPPROTO_TCP, option, value)
        listener.bind((address.host, address.port))
        listener.listen(_LISTEN_BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class _IdleTracker:
    """Records idle times in place of hypercorn's timer.

    That timer starts a task for each request.
    """

    idle_since_s: float | None = None

    async def restart(self, task_group: object, action: object) -> None:
        """Record that the connection has become idle."""
        self.idle_since_s = trio.current_time()

    async def stop(self) -> None:
        """Record that the connection has a request or is closing."""
        self.idle_since_s = None


class _Connection(TCPServer):
    """Ends when the client has closed its side and no data is left to send.

    hypercorn 0.18 keeps such a connection, which takes over 10 KB of memory, for the
    whole keep-alive time, since its idle timer keeps running. Here `HttpListener`
    closes idle connections instead.
    """

    def __init__(self, *args: Any, account: CallerAccount) -> None:
        super().__init__(*args)
        #: What the connection makes the daemon hold.
        self.account = account
        self.idle_tracker = _IdleTracker()
        self.idle_task = self.idle_tracker  # type: ignore[assignment]

    async def close_if_idle(self, *, cutoff_s: float) -> None:
        """Close the connection if it became idle at or before a time.

        :param cutoff_s: That time on trio's clock, in seconds.
        """
        idle_since_s = self.idle_tracker.idle_since_s
        if idle_since_s is not None and idle_since_s <= cutoff_s:
            await self.idle_tracker.stop()
            await self._initiate_server_close()

    def new_direct_writer(self) -> DirectChunkWriter | None:
        """Create a direct body writer for an HTTP/1.1 connection, else return None."""
        connection = getattr(self.protocol.protocol, "connection", None)
        stream: Any = self.stream
        if not isinstance(connection, h11.Connection):
            return None
        return DirectChunkWriter(
            stream=stream,
            lock=self.send_lock,
            is_sending_body=lambda: connection.our_state is h11.SEND_BODY,
        )

    async def protocol_send(self, event: Event) -> None:
        """Write directly to the socket if possible, without lock or task switch."""
        if isinstance(event, RawData) and not self.send_lock.locked():
            stream: Any = self.stream
            if stream.write_nowait(event.data):
                if not stream.send_buffer:
                    return
                event = RawData(data=b"")
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


#: Connection of the current request; hypercorn does not pass it to the application.
_current_connection: ContextVar[_Connection] = ContextVar("connection")


class HttpListener:
    """An HTTP listener that counts its open requests.

    :param app: ASGI application.
    :param listener: Bound socket; closed after a call of `close`.
    :param on_error: Called with an unexpected error that ended a connection.
    :param budget: What all connections together may use.
    :param on_cut: Called with a connection that is closed because of the budget.
    """

    def __init__(
        self,
        *,
        app: AsgiApp,
        listener: socket.socket,
        on_error: Callable[[Exception], None],
        budget: CallerBudget,
        on_cut: OnCut,
    ) -> None:
        self._memory = CallerMemory(budget=budget)
        self._on_cut = on_cut
        self._on_error = on_error
        self._app = app
        self._listener = listener
        self._close = trio.Event()
        self._draining = False
        self._connections: set[_Connection] = set()
        self.in_flight = 0

    def announce_drain(self) -> None:
        """Add ``connection: close`` to all responses from now on."""
        self._draining = True

    def close(self) -> None:
        """Stop accepting connections; open requests continue."""
        self._close.set()

    async def serve(self, *, drain_timeout_s: float) -> None:
        """Serve until `close` has been called and all requests have ended.

        hypercorn's own worker closes idle connections together with its listener,
        which aborts requests that arrive at that moment.

        :param drain_timeout_s: Longest time from `close` to the return, in seconds.
        """
        config = Config()
        config.h11_max_incomplete_size = _MAX_HEAD_BYTES
        config.include_server_header = False
        config.loglevel = "ERROR"
        context = WorkerContext(None)
        app = wrap_app(self._count, config.wsgi_max_body_size, "asgi")

        async def serve_connection(stream: trio.SocketStream) -> None:
            account = CallerAccount(
                memory=self._memory, stream=stream, on_cut=self._on_cut
            )
            connection = _Connection(
                app,
                config,
                context,
                ConnectionState({}),
                CallerStream(stream),
                account=account,
            )
            _current_connection.set(connection)
            self._connections.add(connection)
            try:
                with account.scope:
                    await connection
            except Exception as error:
                # If it propagated, an error of one connection would end the daemon.
                self._on_error(error)
                await trio.aclose_forcefully(stream)
            finally:
                account.close()
                self._connections.discard(connection)

        listener = DrainingListener(
            listener=self._listener,
            handler=serve_connection,
            has_room=lambda: self._memory.make_room(now_s=trio.current_time()),
        )
        async with trio.open_nursery() as idle_check_nursery:
            idle_check_nursery.start_soon(self._close_idle_connections, context)
            async with trio.open_nursery() as connection_nursery:
                async with trio.open_nursery() as accept_nursery:
                    accept_nursery.start_soon(listener.accept, connection_nursery)
                    await self._close.wait()
                    listener.close()
                # The tasks of the connections accepted last register themselves.
                await trio.lowlevel.checkpoint()
                connection_nursery.cancel_scope.deadline = (
                    trio.current_time() + drain_timeout_s
                )
                with trio.move_on_after(_LATE_REQUEST_GRACE_S):
                    while self._connections:
                        await trio.sleep(_POLL_INTERVAL_S)
                await context.terminated.set()
            idle_check_nursery.cancel_scope.cancel()

    async def _close_idle_connections(self, context: WorkerContext) -> None:
        """Close connections after the keep-alive time, and all of them at shutdown."""
        while True:
            if context.terminated.is_set():
                # An accepted connection may not have become idle yet.
                await trio.sleep(_POLL_INTERVAL_S)
            else:
                with trio.move_on_after(_IDLE_CHECK_INTERVAL_S):
                    await context.terminated.wait()
            self._memory.evict_slow(now_s=trio.current_time())
            keep_alive_s = 0.0 if context.terminated.is_set() else _KEEP_ALIVE_TIMEOUT_S
            cutoff_s = trio.current_time() - keep_alive_s
            for connection in tuple(self._connections):
                try:
                    await connection.close_if_idle(cutoff_s=cutoff_s)
                except Exception as error:
                    self._on_error(error)

    async def _count(self, scope: Any, receive: Any, send: Any) -> None:
        """Call the application, and count its open HTTP requests."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return

        async def send_with_drain_header(message: Any) -> None:
            if self._draining and message["type"] == "http.response.start":
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        if scope["http_version"] == "1.1":
            direct_writer = _current_connection.get().new_direct_writer()
            if direct_writer is not None:
                scope["extensions"][DIRECT_BODY] = direct_writer
        self.in_flight += 1
        account = _current_connection.get().account
        account.begin()
        try:
            counted_receive = account.count(receive)
            await self._app(scope, counted_receive, send_with_drain_header)
        finally:
            account.end()
            self.in_flight -= 1
