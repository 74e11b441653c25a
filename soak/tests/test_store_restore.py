"""The store comes back from a copy of its records that is some seconds old."""

import time

import pytest
import trio

from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

#: Time between the copy and the return, in seconds; changes are acknowledged meanwhile.
COPY_AGE_S = 3.0
#: Time for which the store is away, in seconds.
AWAY_S = 0.7
#: Time after the return at which operators and upstreams write again, in seconds.
WRITE_AGAIN_S = 1.5
#: Time after the return at which the store removes upstreams that are silent, in
#: seconds.
SILENCE_S = 3.6
PAUSE_S = 0.02
#: Failure domain that is evacuated after the copy, and an upstream outside of it that
#: leaves after it.
EVACUATED = "op/evacuate/b"
LEFT = "plain-2"


def lines(daemon, event):
    text = daemon.log_path.read_text("utf-8")
    return [each for each in text.splitlines() if f"event={event} " in each]


@pytest.mark.parametrize("returns", [1, 2])
def test_older_copy_of_the_store_takes_nothing_back(tmp_path, returns):
    # Guards against daemons that use again what had been taken out, since an older copy
    # still shows it, and that lose each other as their leases are gone.
    async def scenario(harness):
        store = harness.deployment.store
        plain = harness.upstreams("plain")
        copy = store.copy()
        store.put(EVACUATED, {})
        harness.deployment.register(plain[2], state="draining")
        store.delete(f"servers/{LEFT}")
        await trio.sleep(COPY_AGE_S)
        left_out = [plain[1], plain[2]]
        before = [len(each.arrivals) for each in left_out]

        async def send():
            await harness.send_steadily("read", pause_s=PAUSE_S, for_s=9.0 * returns)

        async def come_back():
            for _ in range(returns):
                store.unavailable = True
                await trio.sleep(AWAY_S)
                store.restore(copy)
                store.unavailable = False
                returned_at_s = time.monotonic()
                await trio.sleep(WRITE_AGAIN_S)
                store.put(EVACUATED, {})
                harness.deployment.register(plain[0])
                await trio.sleep(returned_at_s + SILENCE_S - time.monotonic())
                store.delete(f"servers/{LEFT}")
                assert len(store.keys("daemons/")) == harness.daemon_count
                await trio.sleep(3.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(come_back)
        assert [len(each.arrivals) for each in left_out] == before
        assert harness.statuses.count(200) >= 0.98 * len(harness.statuses)
        for daemon in harness.daemons:
            assert len(lines(daemon, "store-era-changed")) == returns
            assert len(lines(daemon, "registered")) == 1 + returns

    run(Harness(tmp_path, daemons=3), scenario)
