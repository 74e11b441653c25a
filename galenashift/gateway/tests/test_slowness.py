"""Expected duration of work by the slowness that upstreams report."""

from math import exp, sqrt
from random import Random

import pytest

from galenashift.gateway._health import HealthTracker
from galenashift.gateway._load_reports import LoadReports
from galenashift.gateway._outcomes import Refused
from galenashift.gateway._slowness import (
    ReportedSlowness,
    ReportLifetime,
    report_weight,
)
from galenashift.gateway._stage_upstream import StageUpstream
from galenashift.gateway.tests.factories import plain_answer, registration_at
from galenashift.gateway.tests.test_router import choose, new_router, new_upstream
from galenashift.model import UnreadableValue, UpstreamId, UpstreamLoad
from galenashift.telemetry import Metrics


def slow_load(slowness):
    return UpstreamLoad(running=0, waiting=0, slots=6, slowness=slowness)


@pytest.mark.parametrize(
    ("age_s", "duration_s", "expected"),
    [
        (0.0, 0.0, 1.0),
        (0.0, 0.2, 0.632),
        (0.0, 2.0, 0.100),
        (0.2, 0.0, 0.368),
        (0.2, 0.2, 0.233),
        (60.0, 0.2, 0.0),
    ],
)
def test_weight_of_a_report_falls_with_its_age_and_the_duration_of_the_work(
    age_s, duration_s, expected
):
    # The figure changes many times a second: an old one would send requests to an
    # upstream that was fast once.
    weight = report_weight(age_s=age_s, duration_s=duration_s, lifetime_s=0.2)
    assert weight == pytest.approx(expected, abs=0.001)


def reports_with(correlation_s, *, gap_s, seed=4):
    """Return reports whose deviations from 1.2 lose their correlation in some time."""
    random = Random(seed)
    kept = exp(-gap_s / correlation_s) if correlation_s else 0.0
    deviation = 0.0
    for _ in range(600):
        deviation *= kept
        deviation += random.gauss(0.0, 0.3) * sqrt(1 - kept * kept)
        yield max(0.01, 1.2 + deviation)


@pytest.mark.parametrize(
    ("correlation_s", "smallest", "largest"),
    [(0.0, 0.0, 0.12), (0.1, 0.05, 0.2), (0.4, 0.25, 0.6), (1.5, 0.8, 2.0)],
)
def test_lifetime_of_reports_is_learned(correlation_s, smallest, largest):
    # With a wrong lifetime, old figures would decide, or present ones would not.
    lifetime = ReportLifetime()
    reported = ReportedSlowness(sample_weight=0.5, lifetime=lifetime)
    assert lifetime.lifetime_s == 0.2
    for number, slowness in enumerate(reports_with(correlation_s, gap_s=0.25)):
        reported.record(slowness, now_s=0.25 * number)
    assert smallest <= lifetime.lifetime_s <= largest


def test_reports_that_are_far_apart_teach_nothing():
    # A daemon hears from a model upstream about once a minute.
    lifetime = ReportLifetime()
    reported = ReportedSlowness(sample_weight=0.2, lifetime=lifetime)
    for number, slowness in enumerate(reports_with(0.4, gap_s=60.0)):
        reported.record(slowness, now_s=60.0 * number)
    assert lifetime.lifetime_s == 0.2


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        ([], 1.0),
        # What an upstream always reports is in the measured durations already.
        ([3.0] * 60, 1.0),
        # One wrong report must not decide alone.
        ([100.0], 4.0),
        ([1.0] * 9 + [0.01], 0.25),
    ],
)
def test_only_the_difference_from_the_usual_reports_counts(reports, expected):
    # A machine that is always slow would be counted as slow twice.
    reported = ReportedSlowness(sample_weight=0.2)
    for slowness in reports:
        reported.record(slowness, now_s=5.0)
    factor = reported.factor(duration_s=0.0, now_s=5.0)
    assert factor == pytest.approx(expected, abs=0.01)


def test_request_goes_to_the_upstream_that_is_fast_now():
    # Without the reports, half of the requests go to a machine that is slow just now.
    health = HealthTracker()
    router = new_router(health=health)
    upstreams = [new_upstream("slow"), new_upstream("fast")]
    for name, slowness in (("slow", 2.0), ("fast", 0.5)):
        health.record_load(UpstreamId(name), slow_load(slowness), now_s=0.0)
    assert {choose(router, upstreams, now_s=0.05) for _ in range(20)} == {"fast"}
    # The reports have expired.
    later = {choose(router, upstreams, now_s=30.0) for _ in range(40)}
    assert later == {"slow", "fast"}


@pytest.mark.parametrize(
    ("fields", "slowness", "unreadable"),
    [
        (plain_answer(load=slow_load(2.0)), 2.0, 0),
        # A load without the slowness is recorded when the exchange ends, as before.
        (plain_answer(load=UpstreamLoad(running=1, waiting=0, slots=6)), None, 0),
        (plain_answer(unreadable_load=UnreadableValue(text="1,2")), None, 1),
    ],
)
def test_load_of_a_head_is_recorded_or_counted(fields, slowness, unreadable):
    # The head of a stream comes seconds before its end, when the report is out of date.
    health, metrics = HealthTracker(), Metrics()
    reports = LoadReports(
        health=health, spread=None, metrics=metrics, clock=lambda: 1.0
    )
    upstream = registration_at(80)
    reports.record_answer(upstream, fields)
    record = health.record_of(upstream.upstream_id)
    assert (record.load and record.load.slowness) == slowness
    assert record.load_age_s(now_s=1.5) == (None if slowness is None else 0.5)
    text = metrics.render()
    assert ('unreadable_load_reports_total{service="pool"} 1' in text) == unreadable


def test_stage_upstream_that_reports_slowness_is_expected_to_take_longer():
    # Calls planned for an upstream that is slow at present would all end late.
    state = StageUpstream()
    state.record_call(elapsed_s=0.4, nominal_s=0.2)
    assert state.expected_slowness(nominal_s=0.2, now_s=9.0) == 1.5
    fields = plain_answer(load=slow_load(3.0))
    refused = Refused(status=503, fields=fields, misdirected=False)
    state.record_outcome(refused, now_s=9.0)
    assert state.expected_slowness(nominal_s=0.2, now_s=9.0) == pytest.approx(
        1.89, 0.01
    )
    assert state.expected_slowness(nominal_s=0.2, now_s=12.0) == pytest.approx(1.5)
