"""A prompt part that crashes upstreams is refused; requests with sound parts run."""

import itertools
import time
from functools import partial
from random import Random

import httpcore
import pytest
import trio

from soak._deployment import API_KEY, CRASHING_PART, Deployment

pytestmark = pytest.mark.process

#: Time after the fifth crash from which daemons may send three more requests, in
#: seconds; "contact_ms" and the counts are those of the users' rule BUDGET.
CONTACT_S = 3.0
CRASHES = 5
MAX_SENT_AFTER = 3
#: Time for which requests with the crashing part are sent, in seconds.
SENDING_S = 14.0
PAUSE_S = 0.15
_TIMEOUT_S = 15.0


class Harness:
    """Three daemons and three model upstreams that one prompt part crashes."""

    def __init__(self, tmp_path):
        self.deployment = Deployment(
            folder=tmp_path, random=Random(7), clock=time.monotonic
        )
        self.numbers = itertools.count(1)
        self.status_by_attempt = {}

    async def start(self, nursery):
        await self.deployment.start(nursery, daemons=3)
        for upstream in self.models:
            upstream.crashing_part = CRASHING_PART
            upstream.on_crash = partial(
                nursery.start_soon, self.deployment.restart, upstream
            )
        with trio.fail_after(_TIMEOUT_S):
            while len(self.deployment.store.keys("daemons/")) < 3:
                await trio.sleep(0.05)
            while await self.send(self.deployment.daemons[0], "first:90,warm:9") != 200:
                await trio.sleep(0.1)

    @property
    def models(self):
        return [each for each in self.deployment.upstreams if each.service == "model"]

    @property
    def crashed_at_s(self):
        return sorted(time_s for each in self.models for time_s in each.crashed_at_s)

    async def send(self, daemon, parts, *, route="once"):
        attempt = f"{next(self.numbers):08x}"
        headers = {
            "Host": "soak.example",
            "X-Api-Key": API_KEY,
            "Galenashift-Attempt-Id": attempt,
            "Galenashift-Deadline-Ms": "4000",
            "Galenashift-Model": "m",
            "Galenashift-Token-Usage": "100,30",
            "Galenashift-Prefix-Hash": parts,
        }
        status = None
        with trio.move_on_after(6.0):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        "POST",
                        f"{daemon.url}/{route}/x",
                        headers=list(headers.items()),
                        content=attempt.encode(),
                    )
                status = response.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                # The upstream crashed in the middle of the answer.
                status = None
        self.status_by_attempt[attempt] = status
        return status

    def crashing_executions(self, *, later_than_s):
        """List the executions of requests with the crashing part after a time."""
        return [
            time_s
            for each in self.models
            for time_s in each.crashed_at_s
            if time_s > later_than_s
        ]


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


@pytest.mark.parametrize("route", ["once", "again"])
def test_requests_with_a_crashing_part_stop_reaching_upstreams(tmp_path, route):
    # Guards against a part that crashes one upstream after the other: no two requests
    # with it are alike, so counting crashes by request never adds up.
    async def scenario(harness):
        daemons = harness.deployment.daemons
        sound = []
        end_s = time.monotonic() + SENDING_S
        while time.monotonic() < end_s:
            number = next(harness.numbers)
            daemon = daemons[number % 3]
            await harness.send(
                daemon, f"first:90,{CRASHING_PART}:9,own{number}:1", route=route
            )
            status = await harness.send(daemon, f"first:90,own{number}:1", route=route)
            sound.append((time.monotonic(), status))
            await trio.sleep(PAUSE_S)
        crashed_at_s = harness.crashed_at_s
        if len(crashed_at_s) >= CRASHES:
            from_s = crashed_at_s[CRASHES - 1] + CONTACT_S
            late = harness.crashing_executions(later_than_s=from_s)
            assert len(late) <= MAX_SENT_AFTER
        # LOST: sound requests with the same first part and key are served as before.
        last_crash_s = crashed_at_s[min(len(crashed_at_s), CRASHES) - 1]
        later = [each for at_s, each in sound if at_s > last_crash_s + 2 * CONTACT_S]
        assert len(later) >= 20
        assert later.count(200) >= len(later) / 2

    run(tmp_path, scenario)
