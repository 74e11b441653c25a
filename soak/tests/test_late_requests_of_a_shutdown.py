"""Requests that come late in a shutdown are answered whole, or refused."""

import itertools
import signal
import time
from random import Random

import httpcore
import pytest
import trio

from soak._deployment import API_KEY, Deployment

pytestmark = pytest.mark.process

#: Time between SIGTERM and SIGKILL in the settings of the daemons, in seconds.
GRACE_S = 8.0
#: Time for which upstreams work on a request, in seconds.
WORK_S = 3.0
#: Time between two requests, in seconds.
PAUSE_S = 0.1
_TIMEOUT_S = 15.0


class Harness:
    """Two daemons, and upstreams that need seconds for a request."""

    def __init__(self, tmp_path):
        self.deployment = Deployment(
            folder=tmp_path, random=Random(7), clock=time.monotonic
        )
        self.numbers = itertools.count(1)
        #: Outcome of each request by the time after SIGTERM at which it was sent.
        self.outcomes = []

    async def start(self, nursery):
        await self.deployment.start(nursery, daemons=2)
        for upstream in self.deployment.upstreams:
            streams = upstream.service == "model"
            upstream.work_s = WORK_S / (upstream.events + 1) if streams else WORK_S
            upstream.slots = 64
            self.deployment.register(upstream)
        with trio.fail_after(_TIMEOUT_S):
            for daemon in self.deployment.daemons:
                while await self.send(daemon, "write") != 200:
                    await trio.sleep(0.1)
                assert await self.send(daemon, "once") == 200

    async def send(self, daemon, route):
        attempt = f"{next(self.numbers):08x}"
        headers = {
            "Host": "soak.example",
            "X-Api-Key": API_KEY,
            "Galenashift-Attempt-Id": attempt,
            "Galenashift-Deadline-Ms": "4000",
            "Galenashift-Token-Usage": "100,30",
            "Galenashift-Prefix-Hash": f"first:90,own{attempt}:9",
        }
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "POST",
                    f"{daemon.url}/{route}/x",
                    headers=list(headers.items()),
                    content=attempt.encode(),
                )
        except httpcore.ConnectError:
            return "not connected"
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return repr(error)
        return response.status

    async def record(self, daemon, route, terminated_at_s):
        sent_at_s = time.monotonic()
        outcome = await self.send(daemon, route)
        self.outcomes.append((sent_at_s - terminated_at_s, outcome))


def run(tmp_path, scenario):
    async def main():
        harness = Harness(tmp_path)
        try:
            async with trio.open_nursery() as nursery:
                await harness.start(nursery)
                await scenario(harness)
                nursery.cancel_scope.cancel()
        finally:
            harness.deployment.end()

    trio.run(main)


@pytest.mark.parametrize("route", ["write", "once"])
def test_late_request_of_a_shutdown_is_not_cut(tmp_path, route):
    # Guards against a daemon that accepts a request in its grace period, sends it, and
    # ends before the answer: its caller can't tell whether it was executed.
    async def scenario(harness):
        daemon = harness.deployment.daemons[0]
        daemon.send_signal(signal.SIGTERM)
        terminated_at_s = time.monotonic()
        async with trio.open_nursery() as nursery:
            while time.monotonic() < terminated_at_s + GRACE_S:
                nursery.start_soon(harness.record, daemon, route, terminated_at_s)
                await trio.sleep(PAUSE_S)
        outcomes = sorted(harness.outcomes, key=lambda each: each[0])
        assert [
            each for each in outcomes if each[1] not in {200, 503, "not connected"}
        ] == []
        # What can be answered in time is answered.
        assert {outcome for at_s, outcome in outcomes if at_s < 2.5} == {200}

    run(tmp_path, scenario)
