"""An upstream that states a limit gets no more requests than that from all daemons."""

import statistics
import time

import pytest

from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

LIMIT_PER_S = 1.0
#: Time after an upstream first states its limit from which it holds, in seconds;
#: "contact_ms", the window and the allowance are those of the users' rule LIMIT.
CONTACT_S = 3.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
#: Time for which requests are sent, and time between two of them, in seconds. Requests
#: with stages make two calls of 0.12 to 0.18 s each. Two upstreams are too few for
#: them, so that the limited one is needed as well.
SENDING_S = 14.0
PAUSE_S = 0.04
STAGED_PAUSE_S = 0.13
#: Time within which all daemons notice the end of a limit: a permit of a sender takes
#: up to 5 s at a limit of 1 per second. Then, the time for which requests are counted,
#: in seconds.
NOTICE_S = 7.0
USED_AGAIN_S = 7.0
#: Latency goal of the routes, in seconds.
GOAL_S = 0.5


def most_in_window(times_s, *, from_s):
    """Return the most times within any window that begins at or after `from_s`."""
    late = [each for each in times_s if each >= from_s]
    return max(
        (sum(start <= each < start + WINDOW_S for each in late) for start in late),
        default=0,
    )


@pytest.mark.parametrize(
    ("route", "service", "pause_s"),
    [
        ("read", "plain", PAUSE_S),
        ("write", "plain", PAUSE_S),
        ("again", "model", PAUSE_S),
        ("staged", "stage", STAGED_PAUSE_S),
    ],
)
def test_upstream_gets_no_more_than_it_states(tmp_path, route, service, pause_s):
    # Guards against an overload of an upstream in need: the limit holds for all daemons
    # together, and for calls of stages, frees and retries as for first sends.
    async def scenario(harness):
        limited = harness.upstreams(service)[0]
        limited.stated_limit = f"{LIMIT_PER_S}"
        from_s = time.monotonic() + CONTACT_S
        await harness.send_steadily(route, pause_s=pause_s, for_s=SENDING_S)
        assert most_in_window(limited.arrived_at_s, from_s=from_s) <= MAX_IN_WINDOW
        assert any(each >= from_s for each in limited.arrived_at_s)
        # The others serve what the limited one does not take.
        assert harness.statuses.count(200) >= 0.9 * len(harness.statuses)

    run(Harness(tmp_path, daemons=5), scenario)


def test_requests_are_refused_at_once_if_all_upstreams_are_limited(tmp_path):
    # Guards against requests that wait for their deadline although no upstream will
    # take them, and against limits that end the service.
    async def scenario(harness):
        for each in harness.upstreams("plain"):
            each.stated_limit = f"{LIMIT_PER_S}"
        from_s = time.monotonic() + CONTACT_S
        await harness.send_steadily("read", pause_s=PAUSE_S, for_s=SENDING_S)
        for each in harness.upstreams("plain"):
            assert most_in_window(each.arrived_at_s, from_s=from_s) <= MAX_IN_WINDOW
        assert set(harness.statuses) == {200, 503}
        refused_after_s = [
            each.ended_at_s - each.sent_at_s
            for each in harness.sent
            if each.status == 503
        ]
        assert statistics.median(refused_after_s) <= GOAL_S / 2
        served = [
            time_s
            for each in harness.upstreams("plain")
            for time_s in each.arrived_at_s
            if time_s >= from_s
        ]
        # Half of what the upstreams accept is used at least.
        assert len(served) >= 0.5 * 3 * LIMIT_PER_S * (SENDING_S - CONTACT_S)

    run(Harness(tmp_path, daemons=5), scenario)


@pytest.mark.parametrize("daemons", [5, 16])
def test_upstream_is_used_again_after_its_limit_ends(tmp_path, daemons):
    # Guards against a limit that stays in force at daemons that no longer hear from
    # the upstream. Of 16 daemons, eleven do not send to it while it is limited.
    async def scenario(harness):
        limited = harness.upstreams("plain")[0]
        limited.stated_limit = f"{LIMIT_PER_S}"
        await harness.send_steadily("read", pause_s=PAUSE_S, for_s=SENDING_S)
        limited.stated_limit = None
        await harness.send_steadily("read", pause_s=PAUSE_S, for_s=NOTICE_S)
        from_s = time.monotonic()
        await harness.send_steadily("read", pause_s=PAUSE_S, for_s=USED_AGAIN_S)
        share = sum(each >= from_s for each in limited.arrived_at_s)
        expected = USED_AGAIN_S / PAUSE_S / 3
        assert share >= 0.8 * expected

    run(Harness(tmp_path, daemons=daemons), scenario)
