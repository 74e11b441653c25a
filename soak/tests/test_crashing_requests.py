"""A request that crashes upstreams is refused, however fast they are back."""

import itertools
import time
from functools import partial
from random import Random

import httpcore
import pytest
import trio

from soak._deployment import API_KEY, Deployment

pytestmark = pytest.mark.process

#: Time after the third crash from which daemons may send three more attempts, in
#: seconds; "contact_ms" and the counts are those of the users' rule BUDGET.
CONTACT_S = 3.0
CRASHES = 3
MAX_SENT_AFTER = 3
#: Time for which the request comes again and again, in seconds.
SENDING_S = 10.0
PAUSE_S = 0.15
CRASHING_BODY = b"crashing request"
_TIMEOUT_S = 15.0


class Harness:
    """Three daemons and three upstreams that one request crashes.

    :param restart: Method of the deployment that brings a crashed upstream back.
    """

    def __init__(self, tmp_path, *, restart):
        self.deployment = Deployment(
            folder=tmp_path, random=Random(7), clock=time.monotonic
        )
        self.restart = getattr(self.deployment, restart)
        self.numbers = itertools.count(1)

    async def start(self, nursery):
        await self.deployment.start(nursery, daemons=3)
        for upstream in self.plain_upstreams:
            upstream.crashing_body = CRASHING_BODY
            upstream.on_crash = partial(nursery.start_soon, self.restart, upstream)
        with trio.fail_after(_TIMEOUT_S):
            while len(self.deployment.store.keys("daemons/")) < 3:
                await trio.sleep(0.05)
            while await self.send(self.deployment.daemons[0], "read", b"ok") != 200:
                await trio.sleep(0.1)

    @property
    def plain_upstreams(self):
        return [each for each in self.deployment.upstreams if each.service == "plain"]

    @property
    def crashed_at_s(self):
        crashed = itertools.chain(*(each.crashed_at_s for each in self.plain_upstreams))
        return sorted(crashed)

    async def send(self, daemon, route, body):
        headers = {
            "Host": "soak.example",
            "X-Api-Key": API_KEY,
            "Galenashift-Attempt-Id": f"{next(self.numbers):08x}",
            "Galenashift-Deadline-Ms": "4000",
        }
        with trio.fail_after(_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "POST",
                    f"{daemon.url}/{route}/x",
                    headers=list(headers.items()),
                    content=body,
                )
        return response.status


@pytest.mark.parametrize("route", ["read", "write"])
@pytest.mark.parametrize("restart", ["restart", "replace"])
def test_request_that_crashes_upstreams_stops_reaching_them(tmp_path, route, restart):
    # Guards against a request that crashes one upstream after the other: a crash must
    # count also if a new process listens at the address before it is examined.
    async def main():
        harness = Harness(tmp_path, restart=restart)
        try:
            async with trio.open_nursery() as nursery:
                await harness.start(nursery)
                end_s = time.monotonic() + SENDING_S
                while time.monotonic() < end_s:
                    daemon = harness.deployment.daemons[next(harness.numbers) % 3]
                    await harness.send(daemon, route, CRASHING_BODY)
                    await trio.sleep(PAUSE_S)
                assert await harness.send(daemon, "read", b"sound request") == 200
                nursery.cancel_scope.cancel()
        finally:
            harness.deployment.end()
        crashed_at_s = harness.crashed_at_s
        assert len(crashed_at_s) >= CRASHES
        from_s = crashed_at_s[CRASHES - 1] + CONTACT_S
        assert sum(each > from_s for each in crashed_at_s) <= MAX_SENT_AFTER

    trio.run(main)
