"""Callers that keep their connections open, and what they saw."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import httpcore
import trio

from ._deployment import KEY, Daemon

_TIMEOUT_S = 6.0
_WAIT_MS = 4_000
_PAUSE_S = 0.05
_SIGNATURE = b"galenashift-engine-signature"


class Ended(Enum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a caller."""

    attempt_id: str
    route: str
    daemon: str
    sent_at_s: float
    ended_at_s: float
    ended: Ended
    status: int | None
    body: bytes
    signature: str | None


@dataclass(kw_only=True)
class Callers:
    """Sends requests until it is told to stop."""

    daemons: list[Daemon]
    random: Random
    clock: Callable[[], float]
    attempts: list[Attempt] = field(default_factory=list)
    stopped: bool = False
    _number: int = 0

    async def run(self) -> None:
        """Be one caller, which stays with its daemon while that answers."""
        daemon = self.random.choice(self.daemons)
        pool = httpcore.AsyncConnectionPool(max_connections=1)
        while not self.stopped:
            attempt = await self.send(daemon, pool)
            if attempt.ended is not Ended.ANSWERED and self.random.random() < 0.5:
                daemon = self.random.choice(self.daemons)
            await trio.sleep(self.random.uniform(0, 2 * _PAUSE_S))
        with trio.move_on_after(1.0):
            await pool.aclose()

    async def send(self, daemon: Daemon, pool: httpcore.AsyncConnectionPool) -> Attempt:
        """Send one request and record how it ended."""
        self._number += 1
        route = self.random.choice(["read", "write", "once", "again", "staged"])
        attempt_id = f"{self._number:06x}{self.random.getrandbits(32):08x}"
        sent_at_s = self.clock()
        status: int | None = None
        signature: str | None = None
        body = b""
        ended = Ended.BROKEN
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
                ended = _ended(status, signature)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                # A broken connection promises nothing; the checks know.
                ended = Ended.BROKEN
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
            "X-Api-Key": KEY,
            "Galenashift-Attempt-Id": attempt_id,
            "Galenashift-Deadline-Ms": str(_WAIT_MS),
        }
        if route == "staged":
            headers["Galenashift-Pieces"] = f"{self.random.randint(1, 3)},2"
            headers["Galenashift-Piece-Key"] = f"key-{attempt_id}"
        return headers


def _find_signature(response: httpcore.Response) -> str | None:
    for name, value in response.headers:
        if name.lower() == _SIGNATURE:
            return str(value.decode())
    return None


def _ended(status: int, signature: str | None) -> Ended:
    if status == 200:
        return Ended.ANSWERED
    if status in {408, 421, 429, 503} and signature is None:
        return Ended.REFUSED
    return Ended.FAILED
