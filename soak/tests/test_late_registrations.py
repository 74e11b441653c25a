"""Registrations of daemons whose writes to the store are executed late."""

import signal
import time

import pytest
import trio

from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

#: Time after which the lost write is executed, in seconds.
LATE_S = 3.0
#: Time after which a lease ends that nobody renews, in seconds.
LEASE_S = 6.0
#: Time within which a registration that was replaced is written again, in seconds.
MENDED_S = 2.0
KEY = "daemons/daemon-0"


@pytest.mark.parametrize("restarts", [1, 2], ids=["one-process", "two-processes"])
def test_daemon_stays_registered_after_a_late_write(tmp_path, restarts):
    # Guards against a daemon that serves and that the others do not count, so that they
    # take larger shares of the limits of upstreams (review/14). With two processes, the
    # lost write is that of the first one.
    async def scenario(harness):
        store = harness.deployment.store
        daemon = harness.daemons[0]
        for _ in range(restarts):
            store.late_s_by_key.setdefault(KEY, LATE_S)
            daemon.send_signal(signal.SIGKILL)
            daemon.end()
            daemon.start()
            with trio.fail_after(10.0):
                while KEY in store.late_s_by_key:
                    await trio.sleep(0.05)
        lost_at_s = time.monotonic()
        missing_s = 0.0
        while time.monotonic() < lost_at_s + LATE_S + LEASE_S + 2 * MENDED_S:
            await trio.sleep(0.1)
            is_due = time.monotonic() > lost_at_s + MENDED_S
            missing_s += 0.1 * (is_due and KEY not in store.keys("daemons/"))
        assert missing_s <= MENDED_S
        assert KEY in store.keys("daemons/")

    run(Harness(tmp_path), scenario)
