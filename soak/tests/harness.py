"""A deployment of daemon processes, for tests of one failure at a time."""

import itertools
import time
from random import Random

import httpcore
import trio

from soak._deployment import API_KEY, Deployment

_START_TIMEOUT_S = 15.0


class Harness:
    """Daemons, and three upstreams of each service.

    :param daemons: Number of daemons.
    """

    def __init__(self, tmp_path, *, daemons=3):
        self.daemon_count = daemons
        self.deployment = Deployment(
            folder=tmp_path, random=Random(7), clock=time.monotonic
        )
        self.numbers = itertools.count(1)

    @property
    def daemons(self):
        return self.deployment.daemons

    def upstreams(self, service):
        return [each for each in self.deployment.upstreams if each.service == service]

    def prepare(self, nursery):
        """Change the upstreams before the first request."""

    async def start(self, nursery):
        await self.deployment.start(nursery, daemons=self.daemon_count)
        self.prepare(nursery)
        with trio.fail_after(_START_TIMEOUT_S):
            while len(self.deployment.store.keys("daemons/")) < self.daemon_count:
                await trio.sleep(0.05)
            for daemon in self.daemons:
                while await self.send(daemon, "read") != 200:
                    await trio.sleep(0.1)

    async def send(self, daemon, route, *, parts=None, body=None, pieces=None):
        """Send a request on a new connection, and return the status of its answer.

        :param parts: Value of the header with the prompt parts.
        :param body: The id of the attempt if it is None.
        :raises httpcore.NetworkError: If there is no answer.
        :raises httpcore.ProtocolError: If the answer is not complete.
        """
        attempt = f"{next(self.numbers):08x}"
        headers = {
            "Host": "soak.example",
            "X-Api-Key": API_KEY,
            "Galenashift-Attempt-Id": attempt,
            "Galenashift-Deadline-Ms": "4000",
            "Galenashift-Model": "m",
            "Galenashift-Token-Usage": "100,30",
            "Galenashift-Prefix-Hash": parts or f"first:90,own{attempt}:9",
        }
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
