"""HTTP/JSON calls that tell a request that was not sent from a lost answer."""

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

_MAX_CONNECTIONS = 16

#: Shorter than a server keeps idle connections, so that calls rarely race a close.
_KEEP_ALIVE_S = 10.0

#: Time to close connections when the calls on them have ended, in seconds.
_CLOSE_TIMEOUT_S = 0.5

_ERRORS = (
    httpcore.ConnectionNotAvailable,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """A whole answer."""

    #: HTTP status.
    status: int
    #: Decoded JSON object, empty if the body is not one.
    body: Mapping[str, Any]
    #: Header values by lower-case name.
    headers: Mapping[str, str]


@dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """A call without a whole answer."""

    #: Whether bytes of the request were handed to a socket.
    sent: bool
    #: What went wrong, in one line.
    detail: str


#: Idle time before a keep-alive probe and time between probes, in seconds, and probes
#: without an answer that break a connection. A call that waits for long on a silent
#: connection shows only this way.
_PROBES = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class _Pool:
    """Connections that are closed when they are retired and their last call ends."""

    def __init__(self) -> None:
        self.calls = 0
        self.retired = False
        self.connections = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_KEEP_ALIVE_S,
            socket_options=_PROBES,
        )


class JsonHttpClient:
    """Calls one service over connections that are kept open.

    After a call that timed out, all connections are replaced: the others may have
    gone silent with it, and each would cost another timeout.

    :param url: For example ``http://10.0.0.1:7000``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _Pool()

    async def call(
        self,
        *,
        method: str,
        path: str,
        timeout_s: float,
        body: Mapping[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer | NoAnswer:
        """Make one call; nothing is repeated.

        :param method: HTTP method.
        :param path: Absolute path.
        :param timeout_s: Seconds for the whole call.
        :param body: JSON object to send.
        :param headers: Headers to send.
        """
        sent = False

        async def trace(event: str, _info: Mapping[str, Any]) -> None:
            nonlocal sent
            sent = sent or event == "http11.send_request_headers.started"

        pool = self._pool
        pool.calls += 1
        try:
            with trio.move_on_after(timeout_s):
                response = await pool.connections.request(
                    method,
                    self._url + path,
                    headers=list((headers or {}).items()),
                    content=None if body is None else json.dumps(body).encode(),
                    extensions={"trace": trace},
                )
                return _answer(response)
            detail = f"{method} {path}: no answer within {timeout_s:g} s"
            self._retire(pool)
        except (*_ERRORS, OSError) as error:
            detail = f"{method} {path}: {type(error).__name__}: {error}"
        finally:
            pool.calls -= 1
            if pool.retired and pool.calls == 0:
                await _close(pool)
        return NoAnswer(sent=sent, detail=detail)

    async def aclose(self) -> None:
        """Close the idle connections, and the others when their calls end."""
        pool = self._pool
        self._retire(pool)
        if pool.calls == 0:
            await _close(pool)

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = _Pool()


async def _close(pool: _Pool) -> None:
    with trio.move_on_after(_CLOSE_TIMEOUT_S) as scope:
        scope.shield = True
        await pool.connections.aclose()


def _answer(response: httpcore.Response) -> HttpAnswer:
    try:
        body = json.loads(response.content or b"{}")
    except ValueError:
        body = {}
    return HttpAnswer(
        status=response.status,
        body=body if isinstance(body, dict) else {},
        headers={k.decode().lower(): v.decode() for k, v in response.headers},
    )
