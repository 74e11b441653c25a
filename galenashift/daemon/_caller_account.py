"""Keeps account of what a connection of hypercorn makes the daemon hold."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from galenashift.limits import CallerHolding, CallerMemory, CallerPhase, CutCause

Receive = Callable[[], Awaitable[Any]]
#: Receives the account of a connection that is closed, and why.
OnCut = Callable[[CallerHolding, CutCause], None]


class CallerAccount:
    """Account of one connection, which is closed if it holds too much.

    :param memory: Account of all connections.
    :param stream: The connection.
    :param on_cut: Called when the connection is closed because of the limits.
    """

    def __init__(
        self, *, memory: CallerMemory, stream: trio.SocketStream, on_cut: OnCut
    ) -> None:
        self._stream = stream
        self._on_cut = on_cut
        #: Requests that are open; several on a connection of HTTP/2.
        self._open_requests = 0
        #: Is cancelled when the connection is closed.
        self.scope = trio.CancelScope()
        self._holding = memory.open(
            on_evicted=self._cut_off,
            may_close=lambda: not stream.socket.is_readable(),
            now_s=trio.current_time(),
        )

    def _cut_off(self, cause: CutCause) -> None:
        self._on_cut(self._holding, cause)
        self._stream.socket.close()
        self.scope.cancel()

    def begin(self) -> None:
        """Record that the head of a request has arrived."""
        self._open_requests += 1
        self._enter(CallerPhase.BODY)

    def count(self, receive: Receive) -> Receive:
        """Wrap the channel of a request so that its body is accounted for."""

        async def receive_counted() -> Any:
            message = await receive()
            if message["type"] == "http.request":
                self._add(len(message.get("body", b"")))
                if not message.get("more_body", False):
                    self._enter(CallerPhase.HANDLED)
            return message

        return receive_counted

    def _add(self, size: int) -> None:
        holding = self._holding
        holding.received_bytes += size
        holding.resize(holding.size_bytes + size, now_s=trio.current_time())

    def end(self) -> None:
        """Record that a request has been answered."""
        self._open_requests -= 1
        if not self._open_requests:
            self._holding.resize(0, now_s=trio.current_time())
            self._enter(CallerPhase.IDLE)

    def close(self) -> None:
        """Release everything, as the connection has ended."""
        self._holding.close()

    def _enter(self, phase: CallerPhase) -> None:
        self._holding.enter(phase, now_s=trio.current_time())
