"""A minimal HTTP server for stand-ins of the platform and its upstreams."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import h11
import trio

_READ_BYTES = 65_536


@dataclass(frozen=True, kw_only=True)
class Request:
    """A complete HTTP request."""

    method: str
    #: Path and query.
    target: str
    #: Names in lower case.
    headers: dict[str, str]
    body: bytes


@dataclass(kw_only=True)
class Reply:
    """An HTTP answer."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    #: Chunks of the body, in place of `body`.
    parts: AsyncIterator[bytes] | None = None


class Reset(Exception):  # noqa: N818
    """Raised by a handler to close the connection, also in the middle of an answer."""


Handler = Callable[[Request], Awaitable[Reply]]


async def listen(nursery: trio.Nursery, handler: Handler) -> int:
    """Serve on a free port of loopback.

    :param handler: Answers a request; raises `Reset` to close the connection.
    :returns: The port.
    """
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    serve = partial(_serve, handler)
    nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
    return int(port)


async def _serve(handler: Handler, stream: trio.SocketStream) -> None:
    parser = h11.Connection(h11.SERVER)
    try:
        while await _serve_one(stream, parser, handler):
            parser.start_next_cycle()
    except (Reset, trio.BrokenResourceError, trio.ClosedResourceError):
        # Expected with faults: the handler or the client closed the connection.
        return
    except h11.ProtocolError:
        return
    finally:
        await trio.aclose_forcefully(stream)


async def _serve_one(
    stream: trio.SocketStream, parser: h11.Connection, handler: Handler
) -> bool:
    request = await _read(stream, parser)
    if request is None:
        return False
    gone = False

    async def watch(scope: trio.CancelScope) -> None:
        nonlocal gone
        try:
            gone = not await stream.receive_some(_READ_BYTES)
        except trio.BrokenResourceError:
            gone = True
        scope.cancel()

    reset = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, nursery.cancel_scope)
        try:
            reply = await handler(request)
            await _write(stream, parser, reply)
        except (Reset, trio.BrokenResourceError):
            reset = True
        nursery.cancel_scope.cancel()
    if reset or gone:
        raise Reset
    return parser.our_state is h11.DONE and parser.their_state is h11.DONE


async def _read(stream: trio.SocketStream, parser: h11.Connection) -> Request | None:
    request_head: h11.Request | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(_READ_BYTES))
        elif isinstance(event, h11.Request):
            request_head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            assert request_head is not None
            return Request(
                method=request_head.method.decode(),
                target=request_head.target.decode(),
                headers={k.decode(): v.decode() for k, v in request_head.headers},
                body=bytes(body),
            )
        else:
            return None


async def _write(
    stream: trio.SocketStream, parser: h11.Connection, reply: Reply
) -> None:
    headers = list(reply.headers.items())
    if reply.parts is None:
        headers.append(("content-length", str(len(reply.body))))
        response_head = h11.Response(status_code=reply.status, headers=headers)
        data = parser.send(response_head) or b""
        data += parser.send(h11.Data(data=reply.body)) or b"" if reply.body else b""
        await stream.send_all(data + (parser.send(h11.EndOfMessage()) or b""))
        return
    headers.append(("transfer-encoding", "chunked"))
    response_head = h11.Response(status_code=reply.status, headers=headers)
    await stream.send_all(parser.send(response_head) or b"")
    async for part in reply.parts:
        await stream.send_all(parser.send(h11.Data(data=part)) or b"")
    await stream.send_all(parser.send(h11.EndOfMessage()) or b"")
