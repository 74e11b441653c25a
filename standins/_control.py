"""The JSON server of the platform stand-ins, whose faults tests control.

A stand-in implements `Handler`, and `ControlledServer` serves it. `run` does so in a
process and prints ``ready port=N``. Besides the paths of the handler, the server
answers:

- ``POST /control`` with any fields of `Faults` as JSON, plus ``"silence": true``
  or ``"reset": true`` for the connections that are open now. Omitted fields keep
  their value. Other fields are passed to `Handler.configure`.
- ``GET /record`` with the result of `Handler.record`, and as ``delayed`` path and body
  of the calls that have arrived and wait for ``delay_s``.

Faults do not apply to these two paths, except that a silent connection stays silent.
"""

import base64
import json
import socket
import struct
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field, fields, replace
from enum import Enum
from functools import partial
from typing import Any, Protocol

import trio
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import wrap_app

_LOOPBACK = "127.0.0.1"
#: Longer than any client keeps an idle connection, so that the client closes it.
_KEEP_ALIVE_S = 75.0


class Outage(Enum):
    """How a stand-in fails during an outage."""

    NONE = "none"
    #: Every call is answered 503 and has no effect.
    REFUSE = "refuse"
    #: The connection of every call is reset, and the call has no effect.
    DROP = "drop"


@dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults that are in force until they are changed."""

    #: Outage in force.
    outage: Outage = Outage.NONE
    #: Delay of each call before its effect, in seconds.
    delay_s: float = 0.0
    #: Number of answers to replace by a connection reset after the effect; -1 for all.
    lose_answers: int = 0


@dataclass(frozen=True, kw_only=True)
class Request:
    """A complete HTTP request."""

    #: HTTP method in capital letters.
    method: str
    #: Path without the query.
    path: str
    #: Header values by lower-case name.
    headers: Mapping[str, str]
    #: Body as received.
    body: bytes

    def json(self) -> dict[str, Any]:
        """Parse the body as JSON.

        :raises ValueError: If the body is not a JSON object.
        """
        document = json.loads(self.body or b"{}")
        if not isinstance(document, dict):
            raise ValueError("the body is not a JSON object")
        return document


@dataclass(frozen=True, kw_only=True)
class Response:
    """An HTTP answer."""

    #: HTTP status.
    status: int = 200
    #: JSON object, or an iterator of body chunks, which is closed if the client
    #: disconnects.
    body: Mapping[str, Any] | AsyncIterator[bytes] = field(default_factory=dict)
    #: Headers besides content-type.
    headers: Mapping[str, str] = field(default_factory=dict)
    #: Whether ``lose_answers`` applies; false for calls without an effect.
    can_be_lost: bool = False
    #: Whether the connection is reset and nothing is sent.
    reset: bool = False


class Handler(Protocol):
    """The behaviour of one kind of stand-in."""

    async def handle(self, request: Request) -> Response:
        """Answer a request; cancelled if the client closes its connection."""

    def configure(self, options: Mapping[str, Any]) -> None:
        """Apply the fields of a control call that are not in `Faults`."""

    def record(self) -> Mapping[str, Any]:
        """Return the recorded calls, for `GET /record`."""


class _Connection(trio.abc.HalfCloseableStream):
    """A connection that can be silenced: it accepts bytes and never answers."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.silent = False
        self.socket = stream.socket
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        while True:
            data = bytes(await self._stream.receive_some(max_bytes))
            if not data or not self.silent:
                return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if self.silent:
            await trio.lowlevel.checkpoint()
        else:
            await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()

    def reset(self) -> None:
        """Close with a TCP reset, so that bytes in transit are lost."""
        if self.socket.fileno() >= 0:
            linger = struct.pack("ii", 1, 0)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.socket.close()


class ControlledServer:
    """Serves a handler and applies faults to it."""

    def __init__(self, handler: Handler) -> None:
        self.faults = Faults()
        self._handler = handler
        self._connections_by_client: dict[tuple[str, int], _Connection] = {}
        #: Calls that have arrived and have had no effect, as their delay has not ended.
        self._delayed: list[Request] = []

    def apply(self, options: Mapping[str, Any]) -> None:
        """Change faults, and silence or reset open connections.

        :param options: Body of ``POST /control``.
        """
        rest = dict(options)
        names = [each.name for each in fields(Faults)]
        changes = {name: rest.pop(name) for name in names if name in rest}
        if "outage" in changes:
            changes["outage"] = Outage(changes["outage"])
        self.faults = replace(self.faults, **changes)
        silence, reset = rest.pop("silence", False), rest.pop("reset", False)
        for connection in tuple(self._connections_by_client.values()):
            connection.silent = connection.silent or silence
            if reset:
                connection.reset()
        if rest:
            self._handler.configure(rest)

    async def serve(
        self, port: int, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on loopback until cancelled.

        :param port: TCP port, 0 for a free one.
        :param task_status: Receives the port once the server is listening.
        """
        listeners = await trio.open_tcp_listeners(port, host=_LOOPBACK)
        config = Config()
        config.keep_alive_timeout = _KEEP_ALIVE_S
        app = wrap_app(self._asgi_app, config.wsgi_max_body_size, "asgi")
        serve_connection = partial(
            self._serve_connection, app, config, WorkerContext(None)
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, serve_connection, listeners)
            task_status.started(listeners[0].socket.getsockname()[1])

    async def _serve_connection(
        self, app: Any, config: Config, context: WorkerContext, stream: Any
    ) -> None:
        connection = _Connection(stream)
        try:
            client = stream.socket.getpeername()[:2]
        except OSError:
            return
        self._connections_by_client[client] = connection
        try:
            await TCPServer(app, config, context, {}, connection)  # type: ignore[arg-type]
        finally:
            del self._connections_by_client[client]

    async def _asgi_app(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = b""
        has_more = True
        while has_more:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            body += event.get("body", b"")
            has_more = event.get("more_body", False)
        request = Request(
            method=scope["method"],
            path=scope["path"],
            headers={k.decode().lower(): v.decode() for k, v in scope["headers"]},
            body=body,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            response = await self._respond(request)
            if response.reset:
                self._connections_by_client[tuple(scope["client"][:2])].reset()
            else:
                await _send(response, send)
            nursery.cancel_scope.cancel()

    async def _respond(self, request: Request) -> Response:
        try:
            if request.path == "/control":
                self.apply(request.json())
                return Response()
            if request.path == "/record":
                return Response(
                    body={**self._handler.record(), "delayed": self._delayed_calls()}
                )
            await self._delay(request)
            match self.faults.outage:
                case Outage.REFUSE:
                    return Response(status=503, body={"error": "outage"})
                case Outage.DROP:
                    return Response(reset=True)
            response = await self._handler.handle(request)
        except (KeyError, TypeError, ValueError) as error:
            return Response(status=400, body={"error": f"malformed request: {error}"})
        answers_to_lose = self.faults.lose_answers
        if not response.can_be_lost or answers_to_lose == 0:
            return response
        self.faults = replace(self.faults, lose_answers=max(answers_to_lose - 1, -1))
        return Response(reset=True)

    async def _delay(self, request: Request) -> None:
        self._delayed.append(request)
        try:
            await trio.sleep(self.faults.delay_s)
        finally:
            self._delayed.remove(request)

    def _delayed_calls(self) -> list[dict[str, str]]:
        return [
            {"path": each.path, "body": each.body.decode(errors="replace")}
            for each in self._delayed
        ]


async def _cancel_on_disconnect(receive: Any, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send(response: Response, send: Any) -> None:
    headers = [(k.lower().encode(), v.encode()) for k, v in response.headers.items()]
    headers.append((b"content-type", b"application/json"))
    start = {"type": "http.response.start", "status": response.status}
    if isinstance(response.body, Mapping):
        body = b"" if response.status == 304 else json.dumps(response.body).encode()
        headers.append((b"content-length", str(len(body)).encode()))
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})
        return
    await send({**start, "headers": headers})
    async for chunk in response.body:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def encode_bytes(value: bytes) -> str:
    """Encode bytes as Base64 text for a JSON document."""
    return base64.b64encode(value).decode()


def decode_bytes(text: str) -> bytes:
    """Decode the Base64 text of a JSON document.

    :raises ValueError: If it is not Base64.
    """
    return base64.b64decode(text, validate=True)


def run(handler: Handler, *, port: int) -> None:
    """Serve a handler until the process ends, and print the port when listening.

    :param handler: Handler of the stand-in.
    :param port: TCP port, 0 for a free one.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(ControlledServer(handler).serve, port)
            print(f"ready port={bound}", flush=True)

    trio.run(main)
