"""Requests that are accepted or refused while the daemon shuts down."""

from types import SimpleNamespace

import pytest

from galenashift.gateway._drain import DrainPeriod
from galenashift.gateway._drain_admission import DrainAdmission, RouteDurations
from galenashift.model import Reason, RouteName, Verdict

PERIOD = DrainPeriod(started_at_s=100.0, ends_at_s=107.6)
ROUTE = RouteName("r1")


def new_job(*, arrived_at_s, deadline_s):
    return SimpleNamespace(
        request=SimpleNamespace(arrived_at_s=arrived_at_s),
        route=SimpleNamespace(name=ROUTE),
        deadline_s=deadline_s,
    )


@pytest.mark.parametrize(
    ("at_s", "answers", "longest_s", "wait_s", "accepted"),
    [
        # The load balancer still sends connections.
        (101.0, 0, 0.0, 20.0, True),
        (102.9, 40, 10.0, 20.0, True),
        # The next answer may last several times as long as all recent ones.
        (104.0, 40, 0.8, 20.0, True),
        (104.0, 40, 2.0, 20.0, False),
        (104.0, 40, 4.0, 20.0, False),
        (107.5, 40, 0.02, 20.0, True),
        # A few answers say little about the next one.
        (104.0, 0, 0.0, 20.0, False),
        (104.0, 4, 0.02, 20.0, False),
        (104.0, 19, 0.02, 20.0, False),
        (104.0, 20, 0.02, 20.0, True),
        # No answer ends later than its deadline.
        (104.0, 0, 0.0, 3.0, True),
        (104.0, 40, 10.0, 3.0, True),
        (107.7, 40, 0.02, 1.0, False),
    ],
)
def test_request_is_refused_if_its_answer_may_not_end_in_time(
    at_s, answers, longest_s, wait_s, accepted
):
    # It would be cut at the end of the grace period, after an upstream had executed it.
    # Streams of 95 events were, after the daemon had seen four of 29 events.
    admission = DrainAdmission(drain_period=lambda: PERIOD)
    for _ in range(answers):
        done = new_job(arrived_at_s=90.0, deadline_s=200.0)
        admission.record_answer(done, now_s=90.0 + longest_s)
    job = new_job(arrived_at_s=at_s, deadline_s=at_s + wait_s)
    refusal = admission.refusal(job, now_s=at_s)
    assert (refusal is None) is accepted
    if refusal is not None:
        assert refusal.reason is Reason.SHUTTING_DOWN
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.http_status == 503


def test_nothing_is_refused_before_a_shutdown():
    admission = DrainAdmission(drain_period=lambda: None)
    job = new_job(arrived_at_s=5.0, deadline_s=50.0)
    assert admission.refusal(job, now_s=5.0) is None


def test_longest_duration_is_that_of_the_last_minute():
    # One slow answer must not have requests refused for ever.
    durations = RouteDurations()
    for at_s, duration_s in [(0.0, 9.0), (10.0, 1.0), (20.0, 4.0)]:
        durations.record(ROUTE, duration_s, now_s=at_s)
    for _ in range(20):
        durations.record(ROUTE, 2.0, now_s=30.0)
    found = [durations.longest_s(ROUTE, now_s=at_s) for at_s in (30, 61, 81, 91)]
    assert found == [9.0, 4.0, 2.0, None]
    # Ever shorter answers fill the record, and must make room when they are old.
    for number in range(1_000):
        durations.record(ROUTE, 5.0 - number / 1_000, now_s=100.0 + number)
    assert durations.longest_s(ROUTE, now_s=1_100.0) == pytest.approx(4.06, abs=0.1)
