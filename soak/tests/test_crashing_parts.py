"""A prompt part that crashes upstreams is refused; requests with sound parts run."""

import itertools
import time
from functools import partial

import httpcore
import pytest
import trio

from soak._deployment import CRASHING_PART
from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

#: Time after the fifth crash from which daemons may send three more requests, in
#: seconds; "contact_ms" and the counts are those of the users' rule BUDGET.
CONTACT_S = 3.0
CRASHES = 5
MAX_SENT_AFTER = 3
#: Time for which requests with the crashing part are sent, in seconds.
SENDING_S = 14.0
PAUSE_S = 0.15
#: Time after which an answer counts as missing, in seconds.
_ANSWER_TIMEOUT_S = 6.0


class CrashingParts(Harness):
    """Three daemons and three model upstreams that one prompt part crashes."""

    def prepare(self, nursery):
        for upstream in self.upstreams("model"):
            upstream.crashing_part = CRASHING_PART
            upstream.on_crash = partial(
                nursery.start_soon, self.deployment.restart, upstream
            )

    @property
    def crashed_at_s(self):
        crashed = (each.crashed_at_s for each in self.upstreams("model"))
        return sorted(itertools.chain(*crashed))

    async def try_once(self, daemon, route, parts):
        """Return the status of an answer, or None if an upstream crashed within it."""
        with trio.move_on_after(_ANSWER_TIMEOUT_S):
            try:
                return await self.send(daemon, route, parts=parts)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return None
        return None


@pytest.mark.parametrize("route", ["once", "again"])
def test_requests_with_a_crashing_part_stop_reaching_upstreams(tmp_path, route):
    # Guards against a part that crashes one upstream after the other: no two requests
    # with it are alike, so counting crashes by request never adds up.
    async def scenario(harness):
        sound = []
        end_s = time.monotonic() + SENDING_S
        while time.monotonic() < end_s:
            number = next(harness.numbers)
            daemon = harness.daemons[number % 3]
            await harness.try_once(
                daemon, route, f"first:90,{CRASHING_PART}:9,own{number}:1"
            )
            status = await harness.try_once(daemon, route, f"first:90,own{number}:1")
            sound.append((time.monotonic(), status))
            await trio.sleep(PAUSE_S)
        crashed_at_s = harness.crashed_at_s
        if len(crashed_at_s) >= CRASHES:
            from_s = crashed_at_s[CRASHES - 1] + CONTACT_S
            assert sum(each > from_s for each in crashed_at_s) <= MAX_SENT_AFTER
        # LOST: sound requests with the same first part and key are served as before.
        last_crash_s = crashed_at_s[min(len(crashed_at_s), CRASHES) - 1]
        later = [each for at_s, each in sound if at_s > last_crash_s + 2 * CONTACT_S]
        assert len(later) >= 20
        assert later.count(200) >= len(later) / 2

    run(CrashingParts(tmp_path), scenario)
