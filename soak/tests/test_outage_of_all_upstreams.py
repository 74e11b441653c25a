"""All upstreams of a service crash at once, while their requests share a part."""

import signal
import time

import httpcore
import pytest
import trio

from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

#: Time for which all upstreams are down, in seconds. Longer than the time to the first
#: trial of a part that completed before.
DOWN_S = 4.0
#: Time within which requests are served again, in seconds; `recover_s` of the users'
#: rule RECOVER.
RECOVER_S = 12.0
CALM_S = 3.0
PAUSE_S = 0.05
#: Prompt parts of which each request has one, after the first part, which all have.
SECOND_PARTS = 20
#: Factor on the duration of work, so that each upstream has requests in flight.
SLOW_FACTOR = 10.0


class CrashingTogether(Harness):
    """Three daemons and six model upstreams, some of whose answers are broken off."""

    async def send(self, daemon, route, **fields):
        """Return the status of a complete answer, or None.

        Requests with the same second part go to the same upstream, so it varies.
        """
        number = next(self.numbers)
        parts = f"first:90,second{number % SECOND_PARTS}:50,own{number}:9"
        try:
            return await super().send(daemon, route, parts=parts, **fields)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None

    async def crash_all(self):
        """Crash all model upstreams, and return when they are back."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams("model"):
                upstream.starts += 1
                nursery.start_soon(self.deployment.restart, upstream, DOWN_S)

    def restart_daemons(self):
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGKILL)
            daemon.end()
            daemon.start()


@pytest.mark.parametrize("restarted", [False, True], ids=["runs-on", "restarted"])
def test_route_serves_again_after_its_upstreams_crashed_at_once(tmp_path, restarted):
    # Guards against a route that is refused for good, as the part that its requests
    # share was in flight at each crash (review/12).
    async def scenario(harness):
        await harness.deployment.start_version(harness.nursery, "model", "v1")
        for upstream in harness.upstreams("model"):
            upstream.slow_factor = SLOW_FACTOR
        for_s = CALM_S + DOWN_S + CALM_S + RECOVER_S + CALM_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_steadily, harness, for_s)
            await trio.sleep(CALM_S)
            await harness.crash_all()
            if restarted:
                await trio.sleep(CALM_S)
                harness.restart_daemons()
            fault_ended_at_s = time.monotonic()
        assert any("event=quarantine-begun" in each for each in log_texts(harness))
        calm = [
            each.status
            for each in harness.sent
            if each.sent_at_s > fault_ended_at_s + RECOVER_S
        ]
        assert len(calm) >= 20
        assert calm.count(200) > 0.9 * len(calm)

    run(CrashingTogether(tmp_path), scenario)


async def send_steadily(harness, for_s):
    await harness.send_steadily("once", pause_s=PAUSE_S, for_s=for_s)


def log_texts(harness):
    return [each.log_path.read_text("utf-8") for each in harness.daemons]
