"""An HTTP server whose connections tests can reset or silence."""

import contextlib
import socket
import struct
from functools import partial
from typing import Any, Protocol

import trio
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

#: SO_LINGER option with a time of zero: closing the socket sends a TCP reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Connection:
    """A connection with faults, which hypercorn uses as its stream.

    A silent connection stays open, but no byte passes in either direction.
    """

    def __init__(self, *, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.socket = stream.socket
        self.peer = tuple(stream.socket.getpeername())
        self.silent = False

    def reset(self) -> None:
        """Close with a TCP reset."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.socket.close()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Read bytes; block forever if the connection is silent."""
        data = await self._stream.receive_some(max_bytes)
        if self.silent:
            await trio.sleep_forever()
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes; drop them if the connection is silent."""
        if not self.silent:
            await self._stream.send_all(data)

    async def send_eof(self) -> None:
        """Send the end of the stream, unless the connection is silent."""
        if not self.silent:
            await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close, unless the connection is silent: it stays open until `reset`."""
        if not self.silent:
            await self._stream.aclose()


class CrashableApp(Protocol):
    """An ASGI application that can crash and be restarted."""

    connections: set[Connection]
    crashed: trio.Event
    nursery: trio.Nursery | None
    restart_after_s: float | None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""

    def reset_state(self) -> None:
        """Lose the state of the process, as by a restart."""


async def _serve_connection(
    app: CrashableApp, config: Config, stream: trio.SocketStream
) -> None:
    try:
        connection = Connection(stream=stream)
    except OSError:
        return
    app.connections.add(connection)
    server = TCPServer(
        wrap_app(app, config.wsgi_max_body_size, "asgi"),
        config,
        WorkerContext(None),
        ConnectionState({}),
        connection,  # type: ignore[arg-type]
    )
    try:
        await server.run()
    finally:
        app.connections.discard(connection)
        connection.reset()


async def serve_crashable(
    app: CrashableApp,
    *,
    port: int,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on loopback until the application crashes and does not restart.

    :param app: Application to serve. With ``restart_after_s``, it is restarted on
        the same port after a crash.
    :param port: TCP port, 0 for a free one.
    :param task_status: Receives the port once the server is listening.
    """
    config = Config()
    config.keep_alive_timeout = 600.0
    started = False
    while True:
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            app.nursery = nursery
            serve = partial(
                trio.serve_listeners, partial(_serve_connection, app, config)
            )
            await nursery.start(serve, listeners)
            if not started:
                task_status.started(port)
                started = True
            await app.crashed.wait()
            # The listener closes first, so that a client whose connection is reset
            # cannot open a new one.
            for listener in listeners:
                listener.socket.close()
            for connection in tuple(app.connections):
                connection.reset()
            nursery.cancel_scope.cancel()
        if app.restart_after_s is None:
            return
        await trio.sleep(app.restart_after_s)
        app.reset_state()
