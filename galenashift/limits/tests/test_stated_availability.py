"""What upstreams state about accepting requests binds them alone, for long enough."""

from dataclasses import replace
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenashift.limits import StatedAvailability
from galenashift.model import (
    FailureDomainName,
    InstanceState,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
)

_UPSTREAM = RegisteredUpstream(
    upstream_id=UpstreamId("u1"),
    service=ServiceName("pool"),
    host="127.0.0.1",
    port=1,
    failure_domain=FailureDomainName("a"),
    state=InstanceState.READY,
    slots=4,
    cold_left_s=0.0,
    started_at_ms=1,
)
_RESTARTED = replace(_UPSTREAM, started_at_ms=2)


def test_upstream_is_draining_until_it_starts_again():
    availability = StatedAvailability()
    assert availability.record_draining(_UPSTREAM)
    assert not availability.record_draining(_UPSTREAM)
    assert availability.wait_s(_UPSTREAM, now_s=1e6) == inf
    assert availability.wait_s(_RESTARTED, now_s=0.0) == 0


@pytest.mark.parametrize("started_at_ms", [1, None])
def test_missing_registration_ends_no_drain_of_a_known_start(started_at_ms):
    # After an outage of the store, a registration can be missing for a moment. Without
    # a start time, the next incarnation would be left out for ever instead.
    upstream = replace(_UPSTREAM, started_at_ms=started_at_ms)
    availability = StatedAvailability()
    availability.record_draining(upstream)
    availability.forget(upstream.upstream_id)
    assert availability.is_draining(upstream) is (started_at_ms is not None)


@pytest.mark.parametrize(
    ("pauses", "now_s", "wait_s"),
    [
        ([(0.0, 3.0)], 1.0, 2.0),
        ([(0.0, 3.0)], 3.0, 0.0),
        ([(0.0, 3.0), (1.0, 30.0)], 1.0, 30.0),
        # The second request was sent before the first was refused.
        ([(0.0, 30.0), (0.1, 0.4)], 1.0, 29.0),
        ([(0.0, 0.0)], 0.0, 0.0),
        # A daemon that was frozen for 60 s.
        ([(0.0, 30.0)], 60.0, 0.0),
        ([(0.0, 1e9)], 0.0, 3600.0),
    ],
)
def test_pause_lasts_until_the_latest_end(pauses, now_s, wait_s):
    # An answer that overtook another one must not shorten the pause.
    availability = StatedAvailability()
    for at_s, duration_s in pauses:
        availability.record_pause(_UPSTREAM, duration_s, now_s=at_s)
    assert availability.wait_s(_UPSTREAM, now_s=now_s) == pytest.approx(wait_s)


def test_pause_is_news_only_if_it_ends_later():
    availability = StatedAvailability()
    assert availability.record_pause(_UPSTREAM, 3.0, now_s=0.0)
    assert not availability.record_pause(_UPSTREAM, 2.0, now_s=0.5)
    assert not availability.record_pause(_UPSTREAM, 0.0, now_s=9.0)
    assert availability.record_pause(_UPSTREAM, 2.0, now_s=9.0)


_ANSWERS = st.lists(
    st.tuples(
        st.sampled_from([1, 2, 3]),
        st.floats(0.0, 2.0),
        st.none() | st.floats(0.0, 5.0),
    ),
    max_size=30,
)


@pytest.mark.fuzz
@given(_ANSWERS)
def test_answers_in_any_order_bind_their_incarnation_only(answers):
    # Answers of an earlier incarnation can arrive after the first ones of the next.
    # Each is about the incarnation that sent it; `None` says that it is draining.
    availability = StatedAvailability()
    draining = set()
    paused_until_s = {}
    now_s = 0.0
    for started_at_ms, elapsed_s, pause_s in answers:
        now_s += elapsed_s
        upstream = replace(_UPSTREAM, started_at_ms=started_at_ms)
        if pause_s is None:
            availability.record_draining(upstream)
            draining.add(started_at_ms)
        else:
            availability.record_pause(upstream, pause_s, now_s=now_s)
            until_s = max(now_s + pause_s, paused_until_s.get(started_at_ms, 0.0))
            paused_until_s[started_at_ms] = until_s
        for each in (1, 2, 3):
            expected_s = max(0.0, paused_until_s.get(each, 0.0) - now_s)
            wait_s = availability.wait_s(
                replace(_UPSTREAM, started_at_ms=each), now_s=now_s
            )
            assert wait_s == (inf if each in draining else pytest.approx(expected_s))


def test_memory_is_bounded():
    # Each replacement of an upstream leaves a statement behind.
    availability = StatedAvailability()
    for number in range(20_000):
        availability.record_draining(replace(_UPSTREAM, started_at_ms=number))
    assert not availability.is_draining(replace(_UPSTREAM, started_at_ms=0))
    assert availability.is_draining(replace(_UPSTREAM, started_at_ms=19_999))
