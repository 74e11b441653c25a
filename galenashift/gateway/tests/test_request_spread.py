"""Choice of upstreams by the traffic of prompt prefixes and by failure domain."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from galenashift.gateway._health import HealthTracker
from galenashift.gateway._outcomes import NotSent
from galenashift.gateway._request_spread import RequestSpread, sender_upstreams
from galenashift.gateway._router import Router
from galenashift.gateway.tests.factories import new_upstream, pausing_answer
from galenashift.gateway.tests.relay_fakes import BROKEN, REFUSED, answered, serve
from galenashift.gateway.tests.test_router import new_router
from galenashift.model import FailureDomainName, Service, ServiceName, UpstreamLoad
from galenashift.platform import Address, PeerAddress

_KEY = "p1"


def peer(domain):
    """Return a daemon of a domain; "-" is one that does not register its own."""
    return PeerAddress(
        address=Address(host="10.0.0.1", port=1),
        capacity=1.0,
        failure_domain=None if domain == "-" else FailureDomainName(domain),
    )


def spreading_router(*, domain="a", callers="", health=None):
    spread = RequestSpread(failure_domain=FailureDomainName(domain), random=Random(2))
    spread.set_daemons([peer(each) for each in callers])
    router = new_router(health=health)
    return replace(router, spread=spread, failure_domain=FailureDomainName(domain))


def choose(router, upstreams, *, key=_KEY, excluded=(), now_s=0.0, daemons=8, tokens=0):
    return router.choose(
        candidates=upstreams,
        excluded=excluded,
        prefix_key=key,
        daemon_count=daemons,
        now_s=now_s,
        tokens=tokens,
    )


def ids_of(upstreams):
    return [each.registration.upstream_id for each in upstreams]


def order_of(router, upstreams):
    return ids_of(router.sets.find(upstreams).in_order_of(_KEY, count=99))


def send(
    router, upstreams, *, per_s, key=_KEY, start_s=0.0, duration_s=60.0, **options
):
    """Send requests of 1 s each, and return the upstreams that got them."""
    counts = Counter()
    for number in range(int(per_s * duration_s)):
        now_s = start_s + number / per_s
        choice = choose(router, upstreams, key=key, now_s=now_s, **options)
        router.begin_request(choice, now_s=now_s)
        router.end_request(choice, duration_s=1.0)
        counts[choice.upstream.registration.upstream_id] += 1
    return counts


def test_rare_prefix_goes_to_one_upstream():
    # The second upstream would read the prefix for nothing.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    router = spreading_router()
    assert len(send(router, upstreams, per_s=0.1)) == 1


def test_hot_prefix_is_shared_by_the_first_upstreams_of_its_order():
    # One upstream has slots for a fraction of the requests.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    router = spreading_router()
    send(router, upstreams, per_s=10.0)
    counts = send(router, upstreams, per_s=10.0, start_s=60.0)
    size = choose(router, upstreams, now_s=120.0).spread
    assert 4 <= size <= 7
    assert set(counts) == set(order_of(router, upstreams)[:size])
    assert max(counts.values()) < 2 * min(counts.values())


@pytest.mark.parametrize("trouble", ["ejected", "limited", "full", "excluded"])
def test_request_leaves_the_set_only_if_all_of_it_has_no_room(trouble):
    # A request that leaves the set makes another upstream read the prefix.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    health = HealthTracker()
    router = spreading_router(health=health)
    send(router, upstreams, per_s=10.0)
    order = order_of(router, upstreams)
    size = choose(router, upstreams, now_s=60.0).spread
    registrations = {each.registration.upstream_id: each for each in upstreams}
    excluded = set()
    for number, upstream_id in enumerate(order[:size]):
        choice = choose(router, upstreams, now_s=60.0, excluded=excluded)
        assert choice.upstream.registration.upstream_id in order[number:size]
        match trouble:
            case "ejected":
                health.eject(upstream_id, until_s=99.0)
            case "full":
                load = UpstreamLoad(running=32, waiting=1, slots=32)
                full = registrations[upstream_id].registration
                router.spread.record_load(full, load, now_s=60.0)
            case "limited":
                router.limiter.record_answer(
                    registrations[upstream_id].registration,
                    pausing_answer(99.0),
                    sent_at_s=0.0,
                )
            case "excluded":
                excluded.add(upstream_id)
    choice = choose(router, upstreams, now_s=60.0, excluded=excluded)
    assert choice.upstream.registration.upstream_id == order[size]


def test_request_is_served_when_all_upstreams_are_full():
    # Full upstreams still queue requests; a refusal would be worse.
    upstreams = tuple(new_upstream(f"u{i}", slots=4) for i in range(3))
    router = spreading_router()
    for each in upstreams:
        load = UpstreamLoad(running=4, waiting=1, slots=4)
        router.spread.record_load(each.registration, load, now_s=0.0)
    assert choose(router, upstreams) is not None
    assert choose(router, upstreams, key=None) is not None


@pytest.mark.parametrize("key", [None, _KEY])
@pytest.mark.parametrize(
    ("domain", "callers", "local_share"),
    [
        # A quarter of the callers have half of the upstreams, and the other way round.
        ("a", "abbb", 1.0),
        ("b", "abbb", 2 / 3),
        ("a", "ab", 1.0),
        # Not all domains are known: each upstream gets the same.
        ("a", "ab-", 0.5),
    ],
)
def test_domain_with_more_callers_than_upstreams_sends_its_surplus(
    key, domain, callers, local_share
):
    # Bytes between failure domains are paid for.
    upstreams = tuple(new_upstream(f"u{i}", domain="ab"[i % 2]) for i in range(4))
    router = spreading_router(domain=domain, callers=callers)
    send(router, upstreams, key=key, per_s=20.0)
    counts = send(router, upstreams, key=key, per_s=20.0, start_s=60.0)
    local = sum(
        counts[each.registration.upstream_id]
        for each in upstreams
        if each.registration.failure_domain == domain
    )
    assert local / counts.total() == pytest.approx(local_share, abs=0.05)


@pytest.mark.parametrize("latency_s", [0.02, 0.9])
def test_prefix_stays_though_other_upstreams_have_no_samples(latency_s):
    # An assumed latency below that of all streams would send each prefix once to every
    # other upstream, which would read it for nothing.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    health = HealthTracker()
    router = spreading_router(health=health)
    first = order_of(router, upstreams)[0]
    health.record_answer(first, latency_s=latency_s, now_s=0.0)
    assert choose(router, upstreams).upstream.registration.upstream_id == first


def test_rare_prefix_leaves_an_upstream_that_is_much_slower():
    # A slow machine that still answers would keep all requests of its prefixes.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    health = HealthTracker()
    router = spreading_router(health=health)
    first, second = order_of(router, upstreams)[:2]
    health.record_answer(first, latency_s=0.9, now_s=0.0)
    health.record_answer(second, latency_s=0.2, now_s=0.0)
    assert choose(router, upstreams).upstream.registration.upstream_id == second


@pytest.mark.parametrize(
    ("daemons", "upstreams", "count"),
    [(1, 30, 300), (8, 30, 38), (77, 30, 6), (340, 250, 8), (340, 2200, 65)],
)
def test_daemon_sends_to_few_upstreams_of_many(daemons, upstreams, count):
    # With too few senders, some upstreams would get no requests at all.
    assert sender_upstreams(daemons=daemons, upstreams=upstreams) == count


def test_requests_without_prefix_go_to_few_upstreams_while_they_have_room():
    # A daemon that sends to all upstreams hears too seldom of each to know its load.
    upstreams = tuple(new_upstream(f"u{i}", slots=8) for i in range(30))
    router = spreading_router()
    few = send(router, upstreams, key=None, per_s=10.0, daemons=77)
    assert len(few) == 6
    for each in upstreams:
        if each.registration.upstream_id in few:
            load = UpstreamLoad(running=8, waiting=0, slots=8)
            router.spread.record_load(each.registration, load, now_s=60.0)
    options = {"key": None, "daemons": 77, "now_s": 60.0}
    others = {
        choose(router, upstreams, **options).upstream.registration.upstream_id
        for _ in range(40)
    }
    assert others - set(few)


def token_router(*, token_memory):
    router = spreading_router()
    service = Service(
        name=ServiceName("pool"),
        cold_s=0.0,
        cold_rate_per_s=0.0,
        max_connections=100,
        token_memory=token_memory,
    )
    router.spread.set_services({service.name: service})
    return router


@pytest.mark.parametrize(
    ("token_memory", "sent"),
    [
        # Nine tenths of the memory of both upstreams; a third request stays out.
        (10_000, 4),
        # Without a configured memory, twice the slots are the limit.
        (None, 24),
        # A request that is larger than the memory of an upstream would crash it.
        (4_000, 0),
    ],
)
def test_requests_stay_within_the_token_memory_of_upstreams(token_memory, sent):
    # An upstream crashes when its requests have more tokens than it has memory for.
    upstreams = (new_upstream("u1"), new_upstream("u2"))
    router = token_router(token_memory=token_memory)
    chosen = []
    while choice := choose(router, upstreams, key=None, tokens=4_000):
        router.begin_request(choice, now_s=0.0)
        chosen.append(choice)
    assert len(chosen) == sent
    for each in chosen:
        router.end_request(each, duration_s=1.0)
    assert (choose(router, upstreams, key=None, tokens=4_000) is None) == (sent == 0)


def test_tokens_of_reported_requests_count():
    # Requests of other daemons fill the same memory.
    upstreams = (new_upstream("u1", slots=64), new_upstream("u2", slots=64))
    router = token_router(token_memory=100_000)
    router.begin_request(choose(router, upstreams, tokens=4_000), now_s=0.0)
    for each in upstreams:
        waiting = 30 if each.registration.upstream_id == "u1" else 2
        load = UpstreamLoad(running=0, waiting=waiting, slots=64)
        router.spread.record_load(each.registration, load, now_s=0.0)
    for _ in range(20):
        choice = choose(router, upstreams, key=None, tokens=4_000)
        assert choice.upstream.registration.upstream_id == "u2"
    # A report ends nothing for good.
    later = choose(router, upstreams[:1], key=None, tokens=4_000, now_s=5.0)
    assert later is not None


def test_prefix_with_large_requests_needs_more_upstreams():
    # The memory of an upstream can be full while it has free slots.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    sizes = []
    for token_memory in (None, 40_000):
        router = token_router(token_memory=token_memory)
        send(router, upstreams, per_s=4.0, tokens=4_000)
        sizes.append(choose(router, upstreams, now_s=60.0).spread)
    assert 2 * sizes[0] < sizes[1]


@pytest.mark.parametrize(
    "outcomes",
    [
        (answered(200),),
        (BROKEN, answered(200)),
        (REFUSED, REFUSED, REFUSED),
        (NotSent(detail="no connection"), answered(200)),
        (9.0, answered(200)),
    ],
)
def test_nothing_is_held_after_a_request_has_ended(outcomes):
    # Requests that are counted for ever would fill the upstreams by and by.
    spread = RequestSpread(failure_domain=FailureDomainName("a"), random=Random(2))
    headers = ((b"galenashift-token-usage", b"100,30"),)
    exchanger, _ = serve("read", *outcomes, spread=spread, headers=headers)
    assert exchanger.upstreams
    traffic = spread.traffic(ServiceName("pool"))
    assert traffic.use.mean_tokens == 130
    for upstream_id in exchanger.upstreams:
        held = traffic.estimate(upstream_id, now_s=9.0)
        assert (held.requests, held.tokens) == (0, 0)


def test_requests_that_were_not_executed_have_no_duration(monkeypatch):
    # Refusals within a millisecond would make requests look short in an overload, so
    # that hot prefixes go to too few upstreams.
    durations_s = []

    def end_request(router, choice, *, duration_s):
        durations_s.append(duration_s)

    monkeypatch.setattr(Router, "end_request", end_request)
    serve("read", REFUSED, answered(200))
    serve("read", NotSent(detail="no connection"), answered(200))
    assert [each is None for each in durations_s] == [True, False, True, False]


def test_always_two_upstreams_without_the_feature():
    # Deployments without the feature must be served as before.
    upstreams = tuple(new_upstream(f"u{i}", slots=32) for i in range(12))
    router = new_router()
    counts = send(router, upstreams, per_s=10.0)
    assert len(counts) == 1
    assert choose(router, upstreams).spread is None
