"""Answers without end do not fill the memory of a daemon."""

import re
from collections import Counter
from pathlib import Path

import pytest
import trio

from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

#: Memory limit of a daemon in the settings, in bytes.
MEMORY_BYTES = 300_000_000
#: Requests at once, and those of them that reach the upstream without end at least.
REQUESTS = 180
ENDLESS_REQUESTS = 50
CHUNK = b"x" * 250_000
#: Slots that let an upstream take all requests.
SLOTS = 1_000
#: Time within which a daemon reads a changed registration, in seconds.
_REGISTRATION_S = 2.0
_ANSWER_TIMEOUT_S = 20.0


def peak_memory_bytes(process):
    """Return the most memory that a process has had."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return 1024 * int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


def test_answers_without_end_leave_memory_for_sound_ones(tmp_path):
    # Guards against a process that exceeds its memory limit, with all its requests, as
    # each of many answers without end stays below the bound of a single answer.
    async def scenario(harness):
        (daemon,) = harness.daemons
        for each in harness.upstreams("plain"):
            each.slots = SLOTS
            harness.deployment.register(each)
        endless = harness.upstreams("plain")[0]
        endless.endless_chunk = CHUNK
        await trio.sleep(_REGISTRATION_S)
        statuses = Counter()

        async def send():
            statuses[await harness.send(daemon, "write")] += 1

        with trio.fail_after(_ANSWER_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for _ in range(REQUESTS):
                    nursery.start_soon(send)
        assert len(endless.arrivals) >= ENDLESS_REQUESTS
        assert peak_memory_bytes(daemon.process) < MEMORY_BYTES
        # All others are answered, and so are the next ones.
        assert statuses[200] >= REQUESTS - len(endless.arrivals)
        assert await harness.send(daemon, "read") == 200

    run(Harness(tmp_path, daemons=1), scenario)
