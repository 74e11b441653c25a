"""What upstreams state about accepting requests binds them alone, for long enough."""

from dataclasses import replace
from math import inf

import pytest

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
    assert availability.wait_s(_UPSTREAM) == inf
    assert availability.wait_s(_RESTARTED) == 0


@pytest.mark.parametrize("started_at_ms", [1, None])
def test_missing_registration_ends_no_drain_of_a_known_start(started_at_ms):
    # After an outage of the store, a registration can be missing for a moment. Without
    # a start time, the next incarnation would be left out for ever instead.
    upstream = replace(_UPSTREAM, started_at_ms=started_at_ms)
    availability = StatedAvailability()
    availability.record_draining(upstream)
    availability.forget(upstream.upstream_id)
    assert availability.is_draining(upstream) is (started_at_ms is not None)


def test_memory_is_bounded():
    # Each replacement of an upstream leaves a statement behind.
    availability = StatedAvailability()
    for number in range(20_000):
        availability.record_draining(replace(_UPSTREAM, started_at_ms=number))
    assert not availability.is_draining(replace(_UPSTREAM, started_at_ms=0))
    assert availability.is_draining(replace(_UPSTREAM, started_at_ms=19_999))
