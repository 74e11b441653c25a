"""Stand-ins of the platform's upstreams: unary, streaming and stage services."""

import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import trio

from ._platform_http import Reply, Request, Reset

_ATTEMPT_HEADER = "galenashift-attempt-id"
_PROMPT_PARTS_HEADER = "galenashift-prefix-hash"
_NOT_RUN_HEADERS = {"galenashift-not-executed": "1"}
_MISDIRECTED = 421
_OVERLOADED = 503
_INPUT_GONE = 409
_FREE_PATH = "/galenashift/stage-free"
_RUN_PATH = "/galenashift/stage-run"


class Kind(Enum):
    """What kind of answer an upstream gives."""

    PLAIN = "plain"
    STREAM = "stream"
    STAGE = "stage"


@dataclass(frozen=True, kw_only=True)
class Execution:
    """A request whose execution an upstream has started."""

    attempt_id: str
    upstream: str
    at_s: float
    #: Path of the request.
    target: str


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request of any kind that has reached an upstream."""

    #: None for a request without one, such as a call of a stage.
    attempt_id: str | None
    at_s: float
    #: Whether it only frees results of stages, and asks for no work.
    is_free_call: bool = False
    #: Attempts of the pieces of a call of a stage.
    piece_ids: tuple[str, ...] = ()


@dataclass(kw_only=True)
class Upstream:
    """One upstream, whose faults can be changed while it runs.

    :param name: Identifier under which it is registered.
    """

    name: str
    service: str
    kind: Kind
    clock: Callable[[], float]
    random: Random
    #: Version under which it is registered.
    version: str = "v1"
    slots: int = 4
    #: Time for which it is cold after its registration, in milliseconds.
    cold_ms: int = 0
    work_s: float = 0.02
    events: int = 6
    #: Factor on the duration of work.
    slow_factor: float = 1.0
    failure_probability: float = 0.0
    #: Part of the answers that take `slow_answer_factor` times as long.
    slow_probability: float = 0.0
    slow_answer_factor: float = 4.0
    #: Start of the paths whose answers fail or are slow by these probabilities; all
    #: paths where empty. Not applied to calls of stages.
    faulty_path: str = ""
    answer_loss_probability: float = 0.0
    stream_break_probability: float = 0.0
    executions: list[Execution] = field(default_factory=list)
    #: All requests in the order of their arrival, with times on `clock`.
    arrivals: list[Arrival] = field(default_factory=list)
    #: Times of answers that were failures, on `clock`.
    failed_at_s: list[float] = field(default_factory=list)
    #: Times at which slow answers ended, on `clock`.
    slowed_at_s: list[float] = field(default_factory=list)
    #: Attempt and stage of each stored result, by handle.
    results: dict[str, tuple[str, int]] = field(default_factory=dict)
    #: Descriptions of requests that violated the protocol.
    violations: list[str] = field(default_factory=list)
    running: int = 0
    #: Prompt part that crashes the upstream when the answer to a prompt with it begins.
    crashing_part: str | None = None
    #: Body of a request that crashes the upstream when its execution begins.
    crashing_body: bytes | None = None
    #: Value of the header that states a limit; None for no header.
    stated_limit: str | None = None
    #: Whether its answers say that it is leaving.
    leaving: bool = False
    #: ``Retry-After`` with which it refuses all requests, in seconds; None to accept
    #: them.
    pause: str | None = None
    #: Chunk that its answers repeat without end, and the pause between two, in seconds.
    endless_chunk: bytes | None = None
    endless_pause_s: float = 0.05
    #: Called at a crash; closes all connections of the upstream.
    on_crash: Callable[[], None] = lambda: None
    #: Planned starts, in addition to the one after each crash.
    starts: int = 0
    #: Times of the crashes, on `clock`.
    crashed_at_s: list[float] = field(default_factory=list)
    address: str = ""
    #: All stage upstreams of the deployment, by address.
    stages_by_address: dict[str, "Upstream"] = field(default_factory=dict)

    @property
    def arrived_at_s(self) -> list[float]:
        """Times at which requests of any kind arrived, on `clock`."""
        return [each.at_s for each in self.arrivals]

    @property
    def bad_at_s(self) -> list[float]:
        """Times of answers that were failures or slow, in order, on `clock`."""
        return sorted([*self.failed_at_s, *self.slowed_at_s])

    async def answer(self, request: Request) -> Reply:
        """Answer an HTTP request."""
        attempt = request.headers.get(_ATTEMPT_HEADER)
        is_free_call = request.target.startswith(_FREE_PATH)
        self.arrivals.append(
            Arrival(
                attempt_id=attempt,
                at_s=self.clock(),
                is_free_call=is_free_call,
                piece_ids=_piece_ids(request),
            )
        )
        expected = request.headers.get("galenashift-expect-instance")
        if expected is not None and expected != self.name:
            return Reply(status=_MISDIRECTED, headers=self._headers(request))
        if self.pause is not None:
            return self._refuse(request, {"retry-after": self.pause})
        if is_free_call:
            for handle in json.loads(request.body)["handles"]:
                self.results.pop(handle, None)
            return Reply(headers=self._headers(request))
        if self.running >= 2 * self.slots:
            return self._refuse(request, {})
        self.running += 1
        try:
            return await self._run(request)
        finally:
            self.running -= 1

    def _refuse(self, request: Request, headers: dict[str, str]) -> Reply:
        headers = self._headers(request) | _NOT_RUN_HEADERS | headers
        return Reply(status=_OVERLOADED, headers=headers)

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {"galenashift-instance-load": f"{self.running},0,{self.slots}"}
        if _ATTEMPT_HEADER in request.headers:
            headers[_ATTEMPT_HEADER] = request.headers[_ATTEMPT_HEADER]
        if self.stated_limit is not None:
            headers["server-limit"] = self.stated_limit
        if self.leaving:
            headers["server-leaving"] = "1"
        return headers

    async def _run(self, request: Request) -> Reply:
        if self.kind is Kind.STAGE:
            return await self._make_pieces(request)
        attempt = request.headers[_ATTEMPT_HEADER]
        if "x-api-key" in request.headers:
            self.violations.append(f"{attempt}: the API key was sent to the upstream")
        if not self._has_inputs(attempt, request.headers.get("galenashift-inputs")):
            return Reply(
                status=_INPUT_GONE, headers=self._headers(request) | _NOT_RUN_HEADERS
            )
        execution = Execution(
            attempt_id=attempt,
            upstream=self.name,
            at_s=self.clock(),
            target=request.target,
        )
        self.executions.append(execution)
        if request.body == self.crashing_body:
            self._record_crash()
            raise Reset
        is_faulty = request.target.startswith(self.faulty_path)
        slowness = self._draw_slowness() if is_faulty else 1.0
        await trio.sleep(self.work_s * self.slow_factor * slowness)
        if slowness > 1 and self.kind is Kind.PLAIN:
            self.slowed_at_s.append(self.clock())
        if self.random.random() < self.answer_loss_probability:
            raise Reset
        headers = self._headers(request)
        headers["galenashift-engine-signature"] = f"{self.name}.{attempt}"
        if self.random.random() < self.failure_probability and is_faulty:
            self.failed_at_s.append(self.clock())
            return Reply(status=500, headers=headers, body=b"failed")
        if self.endless_chunk is not None:
            return Reply(headers=headers, parts=self._send_without_end())
        if self.kind is Kind.PLAIN:
            return Reply(headers=headers, body=f"answer to {attempt}".encode())
        after = int(request.headers.get("last-event-id", "0"))
        if self._crashes(request):
            return Reply(headers=headers, parts=self._crash(attempt))
        return Reply(headers=headers, parts=self._stream(attempt, after, slowness))

    async def _send_without_end(self) -> AsyncIterator[bytes]:
        while self.endless_chunk is not None:
            yield self.endless_chunk
            await trio.sleep(self.endless_pause_s)

    def _crashes(self, request: Request) -> bool:
        entries = request.headers.get(_PROMPT_PARTS_HEADER, "").split(",")
        shared = {entry.partition(":")[0] for entry in entries[:-1]}
        return self.crashing_part in shared

    async def _crash(self, attempt: str) -> AsyncIterator[bytes]:
        yield f"id: 1\ndata: {attempt}"[:-4].encode()
        await trio.sleep(self.work_s)
        self._record_crash()
        raise Reset

    def _record_crash(self) -> None:
        self.crashed_at_s.append(self.clock())
        self.on_crash()

    def _draw_slowness(self) -> float:
        """Return the factor on the duration of one answer."""
        if self.slow_probability and self.random.random() < self.slow_probability:
            return self.slow_answer_factor
        return 1.0

    async def _stream(
        self, attempt: str, after: int, slowness: float
    ) -> AsyncIterator[bytes]:
        break_at_event = self.events + 1
        if self.random.random() < self.stream_break_probability:
            break_at_event = self.random.randint(after + 1, self.events)
        for number in range(after + 1, self.events + 1):
            await trio.sleep(self.work_s * self.slow_factor * slowness)
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            if number == break_at_event:
                yield event[: len(event) // 2]
                raise Reset
            if number == self.events and slowness > 1:
                self.slowed_at_s.append(self.clock())
            yield event

    def _has_inputs(self, attempt: str, text: str | None) -> bool:
        for handle in (text or "").split(","):
            if handle and not self._check_input(attempt, handle):
                return False
        return True

    def _check_input(self, attempt: str, handle: str) -> bool:
        producer = self.stages_by_address.get(handle.partition("/")[0])
        stored = None if producer is None else producer.results.get(handle)
        if stored is None:
            return False
        if stored[0] != attempt:
            self.violations.append(f"{attempt}: was given a result of {stored[0]}")
        return True

    async def _make_pieces(self, request: Request) -> Reply:
        items = json.loads(request.body)["items"]
        slowness = self._draw_slowness()
        work_s = (5 + len(items)) * self.work_s * self.slow_factor
        await trio.sleep(work_s * slowness)
        if slowness > 1:
            self.slowed_at_s.append(self.clock())
        if self.random.random() < self.answer_loss_probability:
            raise Reset
        answers = [self._make_piece(item) for item in items]
        if {"reason": "error"} in answers:
            self.failed_at_s.append(self.clock())
        body = json.dumps({"items": answers}).encode()
        return Reply(headers=self._headers(request), body=body)

    def _make_piece(self, item: dict[str, object]) -> dict[str, str]:
        attempt = str(item["id"])
        if self.random.random() < self.failure_probability:
            return {"reason": "error"}
        inputs = item.get("inputs")
        if isinstance(inputs, list):
            if not inputs:
                self.violations.append(f"{attempt}: a piece without its inputs")
            if not all(self._check_input(attempt, str(each)) for each in inputs):
                return {"reason": "gone"}
        elif item.get("key") != f"key-{attempt}":
            self.violations.append(f"{attempt}: a piece with another key")
        handle = f"{self.address}/{len(self.results)}-{self.random.getrandbits(48):x}"
        self.results[handle] = (attempt, int(str(item["stage"])))
        return {"handle": handle}


def _piece_ids(request: Request) -> tuple[str, ...]:
    if not request.target.startswith(_RUN_PATH):
        return ()
    return tuple(str(item["id"]) for item in json.loads(request.body)["items"])
