"""A deployment of daemon processes, for tests of one failure at a time."""

import itertools
import time
from dataclasses import dataclass
from random import Random

import httpcore
import trio

from soak._deployment import API_KEY, Deployment

_START_TIMEOUT_S = 15.0
#: Time after which an answer counts as missing, in seconds.
_ANSWER_TIMEOUT_S = 6.0


@dataclass(frozen=True, kw_only=True)
class SentRequest:
    """A request that a test has sent, with times on the monotonic clock."""

    attempt_id: str
    daemon: str
    sent_at_s: float
    ended_at_s: float
    #: None if there was no answer.
    status: int | None


class Harness:
    """Daemons, and three upstreams of each service.

    :param daemons: Number of daemons.
    :param rollouts: Whether the settings enable rollouts.
    """

    def __init__(self, tmp_path, *, daemons=3, rollouts=False):
        self.daemon_count = daemons
        self.deployment = Deployment(
            folder=tmp_path,
            random=Random(7),
            clock=time.monotonic,
            rollouts=rollouts,
        )
        self.numbers = itertools.count(1)
        #: Requests of `send_steadily`, in the order in which they ended.
        self.sent: list[SentRequest] = []

    @property
    def daemons(self):
        return self.deployment.daemons

    def upstreams(self, service):
        return [each for each in self.deployment.upstreams if each.service == service]

    def prepare(self, nursery):
        """Change the upstreams before the first request."""

    async def start(self, nursery):
        self.nursery = nursery
        await self.deployment.start(nursery, daemons=self.daemon_count)
        self.prepare(nursery)
        with trio.fail_after(_START_TIMEOUT_S):
            while len(self.deployment.store.keys("daemons/")) < self.daemon_count:
                await trio.sleep(0.05)
            for daemon in self.daemons:
                while await self.send(daemon, "read") != 200:
                    await trio.sleep(0.1)

    @property
    def statuses(self):
        """Statuses of the answers to the requests of `send_steadily`."""
        return [each.status for each in self.sent]

    async def send_steadily(self, route, *, pause_s, for_s):
        """Send requests to all daemons in turn, and record the answers.

        :param pause_s: Time between two requests, in seconds.
        :param for_s: Time for which requests are sent, in seconds.
        """
        daemons = itertools.cycle(self.daemons)
        async with trio.open_nursery() as nursery:
            end_s = time.monotonic() + for_s
            while time.monotonic() < end_s:
                nursery.start_soon(self._record, next(daemons), route)
                await trio.sleep(pause_s)

    async def _record(self, daemon, route):
        attempt = self.next_attempt()
        sent_at_s = time.monotonic()
        status = None
        with trio.move_on_after(_ANSWER_TIMEOUT_S):
            pieces = "2,1" if route == "staged" else None
            status = await self.send(daemon, route, pieces=pieces, attempt=attempt)
        self.sent.append(
            SentRequest(
                attempt_id=attempt,
                daemon=daemon.name,
                sent_at_s=sent_at_s,
                ended_at_s=time.monotonic(),
                status=status,
            )
        )

    def next_attempt(self):
        """Return a new attempt id."""
        return f"{next(self.numbers):08x}"

    async def send(
        self,
        daemon,
        route,
        *,
        parts=None,
        body=None,
        pieces=None,
        attempt=None,
        key=API_KEY,
    ):
        """Send a request on a new connection, and return the status of its answer.

        :param parts: Value of the header with the prompt parts.
        :param body: The id of the attempt if it is None.
        :param attempt: The id of the attempt; a new one if it is None.
        :param key: The API key; none if it is None.
        :raises httpcore.NetworkError: If there is no answer.
        :raises httpcore.ProtocolError: If the answer is not complete.
        """
        attempt = attempt or self.next_attempt()
        headers = {
            "Host": "soak.example",
            "Galenashift-Attempt-Id": attempt,
            "Galenashift-Deadline-Ms": "4000",
            "Galenashift-Model": "m",
            "Galenashift-Token-Usage": "100,30",
            "Galenashift-Prefix-Hash": parts or f"first:90,own{attempt}:9",
        }
        if key is not None:
            headers["X-Api-Key"] = key
        if pieces is not None:
            headers["Galenashift-Pieces"] = pieces
            headers["Galenashift-Piece-Key"] = f"key-{attempt}"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"{daemon.url}/{route}/x",
                headers=list(headers.items()),
                content=attempt.encode() if body is None else body,
            )
        return response.status


def run(harness, scenario):
    """Start a deployment, run a scenario, and end the deployment."""

    async def main():
        try:
            async with trio.open_nursery() as nursery:
                await harness.start(nursery)
                await scenario(harness)
                nursery.cancel_scope.cancel()
        finally:
            harness.deployment.end()

    trio.run(main)
