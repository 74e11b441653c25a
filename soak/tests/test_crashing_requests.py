"""A request that crashes upstreams is refused, however fast they are back."""

import itertools
import time
from functools import partial

import pytest
import trio

from soak.tests.harness import Harness, run

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
#: Time within which each answer comes, in seconds.
_ANSWER_TIMEOUT_S = 15.0


class CrashingRequests(Harness):
    """Three daemons and three upstreams that one request crashes.

    :param restart: Method of the deployment that brings a crashed upstream back.
    """

    def __init__(self, tmp_path, *, restart):
        super().__init__(tmp_path)
        self.restart = getattr(self.deployment, restart)

    def prepare(self, nursery):
        for upstream in self.upstreams("plain"):
            upstream.crashing_body = CRASHING_BODY
            upstream.on_crash = partial(nursery.start_soon, self.restart, upstream)

    @property
    def crashed_at_s(self):
        crashed = (each.crashed_at_s for each in self.upstreams("plain"))
        return sorted(itertools.chain(*crashed))


@pytest.mark.parametrize("route", ["read", "write"])
@pytest.mark.parametrize("restart", ["restart", "replace"])
def test_request_that_crashes_upstreams_stops_reaching_them(tmp_path, route, restart):
    # Guards against a request that crashes one upstream after the other: a crash must
    # count also if a new process listens at the address before it is examined.
    async def scenario(harness):
        end_s = time.monotonic() + SENDING_S
        while time.monotonic() < end_s:
            daemon = harness.daemons[next(harness.numbers) % 3]
            with trio.fail_after(_ANSWER_TIMEOUT_S):
                await harness.send(daemon, route, body=CRASHING_BODY)
            await trio.sleep(PAUSE_S)
        assert await harness.send(daemon, "read", body=b"sound request") == 200
        crashed_at_s = harness.crashed_at_s
        assert len(crashed_at_s) >= CRASHES
        from_s = crashed_at_s[CRASHES - 1] + CONTACT_S
        assert sum(each > from_s for each in crashed_at_s) <= MAX_SENT_AFTER

    run(CrashingRequests(tmp_path, restart=restart), scenario)
