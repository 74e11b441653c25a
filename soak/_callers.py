"""Callers with persistent connections, and the results of their requests."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import httpcore
import trio

from ._deployment import API_KEY, CRASHING_PART, DaemonProcess

_TIMEOUT_S = 6.0
_DEADLINE_MS = 4_000
_MEAN_PAUSE_S = 0.05
_STREAM_ROUTES = ("once", "again", "staged")
_CRASHING_PART_PROBABILITY = 0.06
_SIGNATURE_HEADER = b"galenashift-engine-signature"


class AttemptResult(Enum):
    """Result of an attempt as its caller observed it.

    ``REFUSED`` is a refusal, after which the request must not have run, ``FAILED`` is
    any other error status, and ``BROKEN`` is no complete answer.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One request of a caller and its answer."""

    attempt_id: str
    route: str
    daemon: str
    sent_at_s: float
    ended_at_s: float
    ended: AttemptResult
    status: int | None
    body: bytes
    signature: str | None


@dataclass(kw_only=True)
class CallerPool:
    """Sends the requests of all callers until ``stopped`` is set."""

    daemons: list[DaemonProcess]
    random: Random
    clock: Callable[[], float]
    #: Routes of the requests, with equal probability.
    routes: tuple[str, ...] = ("read", "write", "once", "again", "staged")
    attempts: list[Attempt] = field(default_factory=list)
    stopped: bool = False
    _sent: int = 0

    async def run(self) -> None:
        """Run one caller, which may change its daemon only after a failed attempt."""
        daemon = self.random.choice(self.daemons)
        pool = httpcore.AsyncConnectionPool(max_connections=1)
        while not self.stopped:
            attempt = await self.send(daemon, pool)
            if (
                attempt.ended is not AttemptResult.ANSWERED
                and self.random.random() < 0.5
            ):
                daemon = self.random.choice(self.daemons)
            await trio.sleep(self.random.uniform(0, 2 * _MEAN_PAUSE_S))
        with trio.move_on_after(1.0):
            await pool.aclose()

    async def send(
        self, daemon: DaemonProcess, pool: httpcore.AsyncConnectionPool
    ) -> Attempt:
        """Send one request and record its result."""
        self._sent += 1
        route = self.random.choice(self.routes)
        attempt_id = f"{self._sent:06x}{self.random.getrandbits(32):08x}"
        sent_at_s = self.clock()
        status: int | None = None
        signature: str | None = None
        body = b""
        ended = AttemptResult.BROKEN
        with trio.move_on_after(_TIMEOUT_S):
            try:
                response = await pool.request(
                    "POST",
                    f"{daemon.url}/{route}/x",
                    headers=list(self._headers(route, attempt_id).items()),
                    content=b"in",
                )
                status, body = response.status, response.content
                signature = _find_signature(response)
                ended = _classify_answer(status, signature)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                # The checks assume nothing about a request without a complete answer.
                ended = AttemptResult.BROKEN
        attempt = Attempt(
            attempt_id=attempt_id,
            route=route,
            daemon=daemon.name,
            sent_at_s=sent_at_s,
            ended_at_s=self.clock(),
            ended=ended,
            status=status,
            body=body,
            signature=signature,
        )
        self.attempts.append(attempt)
        return attempt

    def _headers(self, route: str, attempt_id: str) -> dict[str, str]:
        headers = {
            "Host": "soak.example",
            "X-Api-Key": API_KEY,
            "Galenashift-Attempt-Id": attempt_id,
            "Galenashift-Deadline-Ms": str(_DEADLINE_MS),
        }
        if route in _STREAM_ROUTES:
            headers["Galenashift-Prefix-Hash"] = self._prompt_parts(attempt_id)
        if route == "staged":
            headers["Galenashift-Pieces"] = f"{self.random.randint(1, 3)},2"
            headers["Galenashift-Piece-Key"] = f"key-{attempt_id}"
        return headers

    def _prompt_parts(self, attempt_id: str) -> str:
        parts = ["system:90", f"user{self.random.randint(1, 5)}:9"]
        if self.random.random() < _CRASHING_PART_PROBABILITY:
            parts.insert(1, f"{CRASHING_PART}:9")
        return ",".join([*parts, f"{attempt_id}:1"])


def _find_signature(response: httpcore.Response) -> str | None:
    for name, value in response.headers:
        if name.lower() == _SIGNATURE_HEADER:
            return str(value.decode())
    return None


def _classify_answer(status: int, signature: str | None) -> AttemptResult:
    if status == 200:
        return AttemptResult.ANSWERED
    if status in {408, 421, 429, 503} and signature is None:
        return AttemptResult.REFUSED
    return AttemptResult.FAILED
