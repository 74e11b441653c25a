"""Base of the upstream stand-ins: protocol, cold start, faults and record."""

import hashlib
import json
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from typing import Any

import trio

from ._connections import Connection
from ._faults import Execution, Faults, Outcome, Record

_MAX_BODY_BYTES = 4_000_000
_MAX_SNAPSHOTS = 4096
#: Interval at which a held or stalled call checks whether it may go on, in seconds.
_POLL_INTERVAL_S = 0.01

Handler = Callable[["Exchange"], Awaitable[None]]


def digest_of(value: object) -> str:
    """Compute the digest of a JSON value, independent of the order of its members."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


class Exchange:
    """One HTTP request with the methods to answer it."""

    def __init__(
        self, *, stand_in: "UpstreamStandIn", scope: Any, receive: Any, send: Any
    ) -> None:
        self._stand_in = stand_in
        self._receive = receive
        self._send = send
        self.peer = tuple(scope["client"] or ())
        self.query = scope["query_string"].decode()
        self.headers: dict[str, str] = {
            name.decode().lower(): value.decode() for name, value in scope["headers"]
        }
        self.body: dict[str, Any] = {}

    @property
    def exchange_id(self) -> str:
        """Exchange id that the client chose; empty without one."""
        return self.headers.get("galenashift-exchange", "")

    async def read_body(self) -> None:
        """Read the request body.

        :raises ValueError: If it is too large or not a JSON object, or if the client
            disconnects.
        """
        data = b""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ValueError("the client disconnected")
            data += message.get("body", b"")
            if len(data) > _MAX_BODY_BYTES:
                raise ValueError(f"body is over {_MAX_BODY_BYTES} bytes")
            if not message.get("more_body", False):
                break
        self.body = json.loads(data) if data else {}
        if not isinstance(self.body, dict):
            raise ValueError("body is not a JSON object")

    async def wait_disconnect(self) -> None:
        """Wait until the client closes the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(
        self, status: int, *, kind: bytes, not_run: bool = False, length: int = -1
    ) -> None:
        """Send status and headers."""
        stand_in = self._stand_in
        echoed_exchange_id = self.exchange_id
        if echoed_exchange_id and stand_in.faults.consume("wrong_exchanges"):
            echoed_exchange_id = f"{echoed_exchange_id}-other"
        headers = [
            (b"content-type", kind),
            (b"galenashift-exchange", echoed_exchange_id.encode()),
            (b"galenashift-upstream-state", stand_in.state.encode()),
            (b"galenashift-upstream-incarnation", str(stand_in.incarnation).encode()),
        ]
        if not_run:
            headers.append((b"galenashift-verdict", b"not-run"))
        if length >= 0:
            headers.append((b"content-length", str(length).encode()))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def send(self, data: bytes, *, more: bool) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def answer(
        self, status: int, value: Mapping[str, Any], *, not_run: bool = False
    ) -> None:
        """Send a complete JSON answer."""
        data = json.dumps(value).encode()
        await self.start(
            status, kind=b"application/json", not_run=not_run, length=len(data)
        )
        await self.send(data, more=False)

    async def truncate(self, value: Mapping[str, Any]) -> None:
        """Send half of a JSON answer and reset the connection."""
        data = json.dumps(value).encode()
        await self.start(200, kind=b"application/json", length=len(data))
        await self.send(data[: len(data) // 2], more=True)
        self.reset_connection()

    async def refuse(self, *, reason: str, status: int = 503) -> None:
        """Refuse the request before execution."""
        await self.answer(
            status, {"error": {"reason": reason, "detail": reason}}, not_run=True
        )

    def reset_connection(self) -> None:
        """Reset the connection of this request."""
        for connection in tuple(self._stand_in.connections):
            if connection.peer == self.peer:
                connection.reset()


class UpstreamStandIn:
    """Base of `Engine` and `Service`; an ASGI application.

    :param slots: Number of calls that it executes concurrently; others wait.
    :param cold_bears: Number of concurrent calls that crash it when exceeded, while
        it is cold.
    :param warm_after_s: Duration of a cold start, in seconds.
    :param load_lag_s: Age of the load that it reports, in seconds.
    :param restart_after_s: Time from a crash to the restart, in seconds; None if it
        does not restart.
    """

    def __init__(
        self,
        *,
        upstream_id: str,
        slots: int,
        cold_bears: int = 1,
        warm_after_s: float = 0.0,
        load_lag_s: float = 0.0,
        restart_after_s: float | None = None,
    ) -> None:
        self.upstream_id = upstream_id
        self.slots = slots
        self.cold_bears = cold_bears
        self.warm_after_s = warm_after_s
        self.load_lag_s = load_lag_s
        self.restart_after_s = restart_after_s
        self.incarnation = 1
        self.faults = Faults()
        self.record = Record()
        self.connections: set[Connection] = set()
        self.crashed = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.leaving = False
        self._cold_until_s: float | None = None
        self._snapshots: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=_MAX_SNAPSHOTS
        )
        self._execution_by_exchange: dict[str, Execution] = {}
        self._started_at_s: float | None = None
        self._handler_by_route: dict[tuple[str, str], Handler] = {
            ("GET", "/v1/health"): self._health,
            ("GET", "/v1/load"): self._load,
            ("GET", "/control/record"): self._show_record,
            ("POST", "/control/faults"): self._control,
        }

    @property
    def now_s(self) -> float:
        """Clock of the stand-in, in seconds."""
        return trio.current_time()

    @property
    def state(self) -> str:
        """State given in answers and load reports."""
        if self.leaving:
            return "leaving"
        if self._cold_until_s is None:
            self._cold_until_s = self.now_s + self.warm_after_s
        return "cold" if self.now_s < self._cold_until_s else "warm"

    @property
    def bears(self) -> int:
        """Highest number of concurrent calls that does not crash the stand-in."""
        return self.cold_bears if self.state == "cold" else self.slots * 1000

    def queued(self) -> int:
        """Count the calls that wait for a slot."""
        return 0

    def go_cold(self, *, bears: int, duration_s: float = float("inf")) -> None:
        """Enter a cold start immediately, without a restart."""
        self.cold_bears = bears
        self._cold_until_s = self.now_s + duration_s
        self.record_load()

    def silence(self, *, except_peer: tuple[Any, ...] = ()) -> None:
        """Silence the open connections, except one; new ones work."""
        for connection in self.connections:
            connection.silent = connection.peer != except_peer

    def crash(self) -> None:
        """Reset all connections and exit or restart."""
        self.record.crash(now_s=self.now_s)
        self.crashed.set()

    def reset_state(self) -> None:
        """Begin a new incarnation; faults and record are kept."""
        self.incarnation += 1
        self.crashed = trio.Event()
        self._cold_until_s = None
        self._snapshots.clear()
        self._execution_by_exchange.clear()

    async def begin(self, exchange: Exchange) -> Execution:
        """Start an execution; crash on too much load or on an input set to crash."""
        body = exchange.body
        execution = self.record.start(
            Execution(
                exchange=exchange.exchange_id,
                request=exchange.headers.get("galenashift-request", ""),
                input_digest=digest_of(
                    [body.get("operation"), body.get("input"), body.get("results")]
                ),
                operation=str(body.get("operation", "")),
                start_s=self.now_s,
            )
        )
        self._execution_by_exchange[exchange.exchange_id] = execution
        self.record_load()
        text = self.faults.crash_text
        crashes = text is not None and text in json.dumps(body.get("input"))
        if crashes or self.record.running > self.bears:
            self.crash()
            # On a return, hypercorn would send an answer before the reset.
            await trio.sleep_forever()
        return execution

    def end(self, execution: Execution, outcome: Outcome = Outcome.DONE) -> None:
        """Record the end of an execution."""
        self.record.end(execution, now_s=self.now_s, outcome=outcome)
        self.record_load()

    def current_load(self) -> dict[str, Any]:
        """Report the current load."""
        queued = self.queued()
        return {
            "id": self.upstream_id,
            "incarnation": self.incarnation,
            "state": self.state,
            "running": self.record.running - queued,
            "queued": queued,
            "slots": self.slots,
            "bears": self.bears,
        }

    def record_load(self) -> None:
        """Record the current load, for load reports with a lag."""
        self._snapshots.append((self.now_s, self.current_load()))

    def progress(self, exchange_id: str) -> dict[str, Any]:
        """Report the progress of a call, for the health endpoint."""
        execution = self._execution_by_exchange.get(exchange_id)
        if execution is None:
            return {"state": "unknown"}
        if execution.outcome is Outcome.RUNNING:
            return {"state": "running"}
        return {"state": "finished"}

    async def pause_while_stalled(self) -> None:
        """Wait while the stand-in is stalled."""
        while self.faults.stalled:
            await trio.sleep(_POLL_INTERVAL_S)

    async def work(self, duration_s: float) -> None:
        """Sleep for the duration of work, as extended by the faults in force."""
        await trio.sleep(duration_s * self.faults.slow_factor)
        while self.faults.held:
            await trio.sleep(_POLL_INTERVAL_S)
        await self.pause_while_stalled()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer an HTTP request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(stand_in=self, scope=scope, receive=receive, send=send)
        handler = self._handler_by_route.get((scope["method"], scope["path"]))
        if handler is None:
            await exchange.refuse(reason="unknown-path", status=404)
            return
        if not scope["path"].startswith("/control/"):
            await self.pause_while_stalled()
        try:
            await exchange.read_body()
        except ValueError as error:
            await exchange.refuse(reason=f"malformed: {error}", status=400)
            return
        await handler(exchange)

    async def _health(self, exchange: Exchange) -> None:
        value: dict[str, Any] = {
            "id": self.upstream_id,
            "incarnation": self.incarnation,
            "state": self.state,
        }
        if exchange.query.startswith("exchange="):
            asked = exchange.query.removeprefix("exchange=")
            value["exchange"] = self.progress(asked)
        await exchange.answer(200, value)

    async def _load(self, exchange: Exchange) -> None:
        now_s = self.now_s
        reported_at_s = now_s - self.load_lag_s
        value = self.current_load()
        if self.load_lag_s:
            older = [each for at_s, each in self._snapshots if at_s <= reported_at_s]
            if older:
                value = older[-1]
            elif self._snapshots:
                value = self._snapshots[0][1]
        await exchange.answer(200, {**value, "age_s": self.load_lag_s})

    async def _show_record(self, exchange: Exchange) -> None:
        document = {**self.record.as_json(), "faults": asdict(self.faults)}
        await exchange.answer(200, document)

    async def _control(self, exchange: Exchange) -> None:
        changes = dict(exchange.body)
        crash = changes.pop("crash", False)
        cold = changes.pop("go_cold", None)
        silent = changes.pop("silence", False)
        self.leaving = changes.pop("leaving", self.leaving)
        try:
            self.faults.apply(changes)
        except ValueError as error:
            await exchange.refuse(reason=str(error), status=400)
            return
        if cold is not None:
            self.go_cold(bears=int(cold))
        if silent:
            self.silence(except_peer=exchange.peer)
        await exchange.answer(200, {})
        if crash:
            self.crash()
