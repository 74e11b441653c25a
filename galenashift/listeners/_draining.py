"""Listener that serves the connections queued by the kernel before it closes."""

import errno
import select
import socket
from collections.abc import Awaitable, Callable

import trio

from ._syn_filter import ignore_new_connections

StreamHandler = Callable[[trio.SocketStream], Awaitable[None]]

#: Length of the kernel's queue while the listener closes, where the kernel cannot
#: filter. It then ignores attempts while one connection is in the queue.
_CLOSING_BACKLOG = 0
#: Pause after a failed accept, for example without free descriptors, in seconds.
_ACCEPT_PAUSE_S = 0.05
#: Most connections that are accepted before their handlers run, so that a handler can
#: count its connection.
_ACCEPT_BATCH = 32
#: Errors of connections that ended before they were accepted.
_ENDED_CONNECTION_ERRORS = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})


class DrainingListener:
    """Accepts connections and starts a task for each.

    Closing a listening socket resets the connections in its queue, although their
    requests may have been sent. This listener accepts them first.

    :param listener: Bound, listening, non-blocking socket; closed by `close`.
    :param handler: Serves one connection and closes it.
    :param has_room: Tells whether a connection may be accepted; asked before each, but
        not when the listener closes.
    """

    def __init__(
        self,
        *,
        listener: socket.socket,
        handler: StreamHandler,
        has_room: Callable[[], bool] = lambda: True,
    ) -> None:
        self._socket = listener
        self._queue = select.poll()
        self._queue.register(listener, select.POLLIN)
        self._handler = handler
        self._has_room = has_room
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None

    async def accept(self, nursery: trio.Nursery) -> None:
        """Accept connections until `close` is called.

        :param nursery: Runs the handlers.
        """
        self._nursery = nursery
        try:
            with self._scope:
                while True:
                    await trio.lowlevel.wait_readable(self._socket)
                    if not self._accept_batch():
                        await trio.sleep(_ACCEPT_PAUSE_S)
                    else:
                        await trio.lowlevel.checkpoint()
        finally:
            self._socket.close()

    def close(self) -> int:
        """Accept the connections in the queue, then close the listener.

        :returns: Number of connections that were in the queue.
        """
        self._scope.cancel()
        if self._socket.fileno() < 0:
            return 0
        # A connection that is established after the last accept is reset, and so is one
        # whose handshake ends while the queue is full.
        if not ignore_new_connections(self._socket):
            self._socket.listen(_CLOSING_BACKLOG)
        total = 0
        while accepted := self._accept_queued():
            total += accepted
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()
        return total

    def _accept_batch(self) -> int:
        """Accept some connections, if there is room, and return their number."""
        accepted = 0
        # Making room may close connections, so it is asked for queued ones only.
        while accepted < _ACCEPT_BATCH and self._queue.poll(0):
            if not (self._has_room() and self._accept_one()):
                break
            accepted += 1
        return accepted

    def _accept_queued(self) -> int:
        """Accept all connections in the queue, and return their number."""
        accepted = 0
        while self._accept_one():
            accepted += 1
        return accepted

    def _accept_one(self) -> bool:
        """Start a handler for a connection in the queue, if there is one."""
        if self._nursery is None:
            return False
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError as error:
                if error.errno in _ENDED_CONNECTION_ERRORS:
                    continue
                # The queue is empty, or no descriptor is free. In the second case the
                # connection stays in the queue.
                return False
            connection.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
            self._nursery.start_soon(self._handler, stream)
            return True
