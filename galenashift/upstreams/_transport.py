"""HTTP connections to upstreams that record whether a byte was sent."""

import contextlib
import socket
from collections.abc import Iterable
from typing import Any

import httpcore
import trio

from galenashift.model import Upstream

from ._connection import TrackedStream, Transmission, current_transmission
from ._read_coalescing import ReadCoalescer

#: Timeout of a TCP connect, in seconds; even a loaded instance accepts within
#: milliseconds.
CONNECT_TIMEOUT_S = 1.0

#: Maximum number of connections from one daemon to one upstream.
_MAX_CONNECTIONS = 256

#: Maximum number of idle connections to one upstream. With 2,200 upstreams, more
#: would exhaust the file descriptors.
_MAX_IDLE_CONNECTIONS = 4

_IDLE_EXPIRY_S = 30.0

#: Exceptions of httpcore for an exchange that fails on the network.
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class ConnectionRefused(httpcore.ConnectError):
    """No process listens at the address.

    It needs its own type, because the pool of httpcore drops the cause of an error.
    """


async def _connect(host: str, port: int) -> trio.SocketStream:
    # Addresses are numeric. trio.open_tcp_stream would resolve them and hide the
    # type of the error.
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class _TrackingBackend(httpcore.AsyncNetworkBackend):
    def __init__(self, *, read_coalescer: ReadCoalescer) -> None:
        self._read_coalescer = read_coalescer

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            with trio.fail_after(float("inf") if timeout is None else timeout):
                stream = await _connect(host, port)
                return TrackedStream(stream, read_coalescer=self._read_coalescer)
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except ConnectionRefusedError as error:
            raise ConnectionRefused(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error

    async def sleep(self, seconds: float) -> None:
        await trio.sleep(seconds)


class Transport:
    """HTTP client with a connection pool for each upstream address."""

    def __init__(self) -> None:
        self.read_coalescer = ReadCoalescer()
        self._backend = _TrackingBackend(read_coalescer=self.read_coalescer)
        self._pools_by_address: dict[tuple[str, int], httpcore.AsyncConnectionPool] = {}

    async def request(
        self,
        *,
        upstream: Upstream,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        transmission: Transmission | None,
        new_connection: bool = False,
    ) -> httpcore.Response:
        """Send a request and wait for the headers of the answer.

        :param timeout_s: Timeout for obtaining a connection, in seconds; the caller
            sets a timeout for the rest.
        :param transmission: Records the progress of the request; None for control
            calls.
        :param new_connection: Whether to connect anew instead of using the pool.
        :raises httpcore.NetworkError: On a network failure, see `NETWORK_ERRORS`.
        """
        if body is not None:
            headers = {**headers, "content-length": str(len(body))}
        request = httpcore.Request(
            method,
            f"http://{upstream.host}:{upstream.port}{path}",
            headers=[
                ("host", f"{upstream.host}:{upstream.port}"),
                *headers.items(),
            ],
            content=body,
            extensions={
                "timeout": {
                    "connect": min(CONNECT_TIMEOUT_S, timeout_s),
                    "pool": timeout_s,
                }
            },
        )
        token = current_transmission.set(transmission)
        try:
            if new_connection:
                connection = httpcore.AsyncHTTPConnection(
                    origin=request.url.origin,
                    keepalive_expiry=0.0,
                    network_backend=self._backend,
                )
                return await connection.handle_async_request(request)
            return await self._pool(upstream).handle_async_request(request)
        finally:
            current_transmission.reset(token)

    async def read(self, response: httpcore.Response) -> bytes:
        """Read the next part of a body; empty at its end."""
        parts = response.extensions.get("parts")
        if parts is None:
            parts = aiter(response.stream)  # type: ignore[arg-type]
            response.extensions["parts"] = parts
        return bytes(await anext(parts, b""))

    async def read_all(
        self, response: httpcore.Response, *, limit_bytes: int
    ) -> bytes | None:
        """Read a complete body.

        :returns: None if it is over the limit; the rest is then not read.
        """
        parts: list[bytes] = []
        size = 0
        while part := await self.read(response):
            size += len(part)
            if size > limit_bytes:
                return None
            parts.append(part)
        return b"".join(parts)

    async def get(
        self, *, upstream: Upstream, path: str, timeout_s: float, limit_bytes: int
    ) -> bytes | None:
        """Fetch a small document, such as a load report, on a pooled connection.

        :returns: None if it exceeds the limit or the timeout, or the status is not
            200.
        :raises httpcore.NetworkError: On a network failure, see `NETWORK_ERRORS`.
        """
        with trio.move_on_after(timeout_s):
            response = await self.request(
                upstream=upstream,
                method="GET",
                path=path,
                headers={},
                body=None,
                timeout_s=timeout_s,
                transmission=None,
            )
            try:
                data = await self.read_all(response, limit_bytes=limit_bytes)
                return data if response.status == 200 else None
            finally:
                await self.close_response(response)
        return None

    async def close_response(self, response: httpcore.Response) -> None:
        """Return the connection to the pool if the answer was read, else close it."""
        with trio.CancelScope(shield=True), contextlib.suppress(*NETWORK_ERRORS):
            parts = response.extensions.get("parts")
            if parts is not None:
                await parts.aclose()
            await response.aclose()

    async def retain(self, upstreams: Iterable[Upstream]) -> None:
        """Close idle pools of addresses that are no longer in the instance list."""
        listed_addresses = {(each.host, each.port) for each in upstreams}
        for address in self._pools_by_address.keys() - listed_addresses:
            pool = self._pools_by_address[address]
            if all(each.is_idle() for each in pool.connections):
                del self._pools_by_address[address]
                await pool.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in self._pools_by_address.values():
            await pool.aclose()
        self._pools_by_address.clear()
        self.read_coalescer.close()

    def _pool(self, upstream: Upstream) -> httpcore.AsyncConnectionPool:
        address = (upstream.host, upstream.port)
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=_MAX_CONNECTIONS,
                max_keepalive_connections=_MAX_IDLE_CONNECTIONS,
                keepalive_expiry=_IDLE_EXPIRY_S,
                network_backend=self._backend,
            )
            self._pools_by_address[address] = pool
        return pool
