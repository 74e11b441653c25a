"""HTTP/JSON client that distinguishes an unsent request from a lost response."""

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

_MAX_CONNECTIONS = 16

#: Seconds after which an idle connection is closed. Shorter than the idle timeout of
#: the server, so that a call rarely uses a connection that the server is closing.
_IDLE_EXPIRY_S = 10.0

#: Largest body of a response, in bytes. A page of a listing has about 1 MB before it
#: is encoded, and a single value may be larger.
MAX_ANSWER_BYTES = 16_000_000

#: Time limit for closing the connections of a pool, in seconds.
_CLOSE_TIMEOUT_S = 0.5

_CALL_ERRORS = (
    httpcore.ConnectionNotAvailable,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class _AnswerTooLarge(Exception):  # noqa: N818
    """The body of a response exceeds the limit."""


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """A complete HTTP response."""

    #: HTTP status.
    status: int
    #: Decoded JSON object; empty if the body is not a JSON object.
    body: Mapping[str, Any]
    #: Header values by lower-case name.
    headers: Mapping[str, str]
    #: Time from the arrival of the headers to the decoded body, in seconds.
    transfer_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """A call without a complete response."""

    #: Whether sending the request had started, so that the server may have received it.
    sent: bool
    #: What went wrong, in one line.
    detail: str


#: TCP keep-alive: idle seconds before the first probe, seconds between probes, and
#: unanswered probes that close the connection. Only these probes detect a dead
#: connection while a call waits on it for a long time.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class _ConnectionPool:
    """Connections that are closed once they are retired and have no active call."""

    def __init__(self) -> None:
        self.calls = 0
        self.retired = False
        self.connections = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_IDLE_EXPIRY_S,
            socket_options=_KEEPALIVE_OPTIONS,
        )


class JsonHttpClient:
    """Calls one service over persistent connections.

    After a call has timed out, all connections are replaced: the others may be dead
    too, and each dead connection would cost another timeout.

    :param url: For example ``http://10.0.0.1:7000``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _ConnectionPool()

    async def call(
        self,
        *,
        method: str,
        path: str,
        timeout_s: float,
        body: Mapping[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer | NoAnswer:
        """Make one call, without retries.

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
                async with pool.connections.stream(
                    method,
                    self._url + path,
                    headers=list((headers or {}).items()),
                    content=None if body is None else json.dumps(body).encode(),
                    extensions={"trace": trace},
                ) as response:
                    began_at_s = trio.current_time()
                    content = await _read_body(response)
                return _decode_response(response, content, began_at_s=began_at_s)
            detail = f"{method} {path}: no answer within {timeout_s:g} s"
            self._retire(pool)
        except (*_CALL_ERRORS, _AnswerTooLarge, OSError) as error:
            detail = f"{method} {path}: {type(error).__name__}: {error}"
        finally:
            pool.calls -= 1
            if pool.retired and pool.calls == 0:
                await _close_pool(pool)
        return NoAnswer(sent=sent, detail=detail)

    async def aclose(self) -> None:
        """Close the connections, as soon as no call uses them."""
        pool = self._pool
        self._retire(pool)
        if pool.calls == 0:
            await _close_pool(pool)

    def _retire(self, pool: _ConnectionPool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = _ConnectionPool()


async def _close_pool(pool: _ConnectionPool) -> None:
    with trio.move_on_after(_CLOSE_TIMEOUT_S) as scope:
        scope.shield = True
        await pool.connections.aclose()


async def _read_body(response: httpcore.Response) -> bytes:
    """Read the body of a response.

    :raises _AnswerTooLarge: If it has more than `MAX_ANSWER_BYTES`.
    """
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            raise _AnswerTooLarge(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
    return bytes(body)


def _decode_response(
    response: httpcore.Response, content: bytes, *, began_at_s: float
) -> HttpAnswer:
    try:
        body = json.loads(content or b"{}")
    except (RecursionError, ValueError):
        # A body that is not JSON has no fields, which the caller reports.
        body = {}
    return HttpAnswer(
        status=response.status,
        body=body if isinstance(body, dict) else {},
        headers={
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        },
        transfer_s=trio.current_time() - began_at_s,
    )
