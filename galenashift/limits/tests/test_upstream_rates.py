"""Daemons together keep the limits that upstreams state, without messages."""

from collections import deque
from random import Random

import pytest

from galenashift.limits import UpstreamRates
from galenashift.limits._upstream_rates import (
    sender_count,
    share_of_batching_daemon,
    share_of_sender,
)
from galenashift.model import (
    DaemonId,
    FailureDomainName,
    InstanceState,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
)

#: Window and allowance of the users' rule LIMIT.
WINDOW_S = 4.0
STEP_S = 0.05
ANSWER_S = 0.1


def allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


def new_upstream(name="u1", *, service="pool", born=1):
    return RegisteredUpstream(
        upstream_id=UpstreamId(name),
        service=ServiceName(service),
        host="10.0.0.1",
        port=80,
        failure_domain=FailureDomainName("a"),
        state=InstanceState.READY,
        slots=4,
        cold_left_s=0.0,
        started_at_ms=born,
    )


def names(count):
    return [DaemonId(f"d{number}") for number in range(count)]


def new_rates(name="d0", *, daemons=1, seed=1):
    rates = UpstreamRates(daemon_id=DaemonId(name), random=Random(seed))
    rates.set_daemons(names(daemons), now_s=0.0)
    return rates


class Fleet:
    """Daemons that all have more requests for one upstream than it accepts."""

    def __init__(self, *, daemons, limit_per_s, seed, service="pool"):
        self.random = Random(seed)
        self.limit_per_s = limit_per_s
        self.upstream = new_upstream(service=service)
        self.rates_by_id = {
            name: new_rates(name, daemons=daemons, seed=index + seed)
            for index, name in enumerate(names(daemons))
        }
        self.answers = deque()
        self.sent_at_s = []
        self.now_s = 0.0

    def list_everywhere(self, listed):
        for rates in self.rates_by_id.values():
            rates.set_daemons(listed, now_s=self.now_s)

    def run(self, *, until_s, senders=None):
        while self.now_s < until_s:
            self.now_s += STEP_S
            while self.answers and self.answers[0][0] <= self.now_s:
                _, name = self.answers.popleft()
                rates = self.rates_by_id[name]
                rates.record_limit(self.upstream, self.limit_per_s, now_s=self.now_s)
            ids = list(self.rates_by_id) if senders is None else list(senders)
            self.random.shuffle(ids)
            for name in ids:
                if self.rates_by_id[name].take(self.upstream, now_s=self.now_s):
                    self.sent_at_s.append(self.now_s)
                    self.answers.append((self.now_s + ANSWER_S, name))

    def most_in_window(self, *, from_s):
        late = [each for each in self.sent_at_s if each >= from_s]
        return max(
            (sum(at_s <= each < at_s + WINDOW_S for each in late) for at_s in late),
            default=0,
        )


@pytest.mark.parametrize("daemons", [1, 3, 8, 65, 340])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 1.0, 2.5, 10.0])
def test_fleet_keeps_the_limit_and_uses_it(daemons, limit_per_s):
    # If each daemon took the whole limit, or all used a permit at the same moment, an
    # upstream in need would get many times what it accepts.
    fleet = Fleet(daemons=daemons, limit_per_s=limit_per_s, seed=3)
    fleet.run(until_s=40.0)
    # The requests sent before the first answers are not bound.
    assert fleet.most_in_window(from_s=1.0) <= allowed(limit_per_s)
    later = [each for each in fleet.sent_at_s if each >= 10.0]
    assert len(later) >= 0.8 * limit_per_s * 30.0 - 3


@pytest.mark.parametrize("daemons", [3, 8, 65, 195])
@pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 10.0])
def test_limit_holds_while_registrations_are_missing(daemons, limit_per_s):
    # After an outage of the store, every daemon sees only a few others for a moment. It
    # must not take their shares then.
    fleet = Fleet(daemons=daemons, limit_per_s=limit_per_s, seed=5)
    fleet.run(until_s=15.0)
    fleet.list_everywhere([])
    fleet.run(until_s=16.0)
    fleet.list_everywhere(names(daemons // 3))
    fleet.run(until_s=17.5)
    fleet.list_everywhere(names(daemons))
    fleet.run(until_s=35.0)
    assert fleet.most_in_window(from_s=1.0) <= allowed(limit_per_s)


@pytest.mark.parametrize("seed", range(5))
def test_limit_holds_while_daemons_are_replaced(seed):
    # The senders that follow on those that ended must not send as much at once.
    fleet = Fleet(daemons=8, limit_per_s=1.0, seed=seed)
    running = set(names(8))
    for turn in range(8):
        fleet.run(until_s=fleet.now_s + 3.0, senders=running)
        ended = DaemonId(f"d{turn}")
        running.discard(ended)
        fleet.list_everywhere(sorted(running))
        fleet.run(until_s=fleet.now_s + 3.0, senders=running)
        fleet.rates_by_id[ended] = new_rates(ended, daemons=8)
        running.add(ended)
        fleet.list_everywhere(sorted(running))
    assert fleet.most_in_window(from_s=1.0) <= allowed(1.0)


@pytest.mark.parametrize("limit_per_s", [0.1, 1.0, 3.0, 50.0])
def test_two_daemons_that_batch_calls_keep_the_limit(limit_per_s):
    # While daemons disagree on which one batches the calls of a service, two do.
    fleet = Fleet(daemons=2, limit_per_s=limit_per_s, seed=1, service="stage")
    for rates in fleet.rates_by_id.values():
        rates.set_batched_services([ServiceName("stage")])
        rates.set_daemons(names(195), now_s=0.0)
    fleet.run(until_s=20.0)
    assert fleet.most_in_window(from_s=1.0) <= allowed(limit_per_s)


@pytest.mark.parametrize("limit_per_s", [0.1, 0.5, 1.0, 2.0, 7.3, 100.0, 1e6])
@pytest.mark.parametrize("daemons", [1, 2, 5, 8, 65, 340, 2_000])
def test_shares_add_up_to_the_limit(limit_per_s, daemons):
    # The bound must hold for any daemon that saved up its burst.
    senders = min(daemons, sender_count(limit_per_s))
    share = share_of_sender(limit_per_s=limit_per_s, daemons=daemons)
    assert senders * share.per_s == pytest.approx(limit_per_s)
    most = senders * (share.burst + share.per_s * WINDOW_S)
    assert most <= allowed(limit_per_s) + 1e-6
    batching = share_of_batching_daemon(limit_per_s)
    most = 2 * (batching.burst + batching.per_s * WINDOW_S)
    assert most <= allowed(limit_per_s) + 1e-6


def test_limit_ends_with_an_answer_to_a_later_request():
    # An answer that was made before the limit, and arrives after it, must not end it.
    rates = new_rates()
    upstream = new_upstream()
    change = rates.record_limit(upstream, 2.0, now_s=5.0)
    assert (change.per_s, change.previous_per_s) == (2.0, None)
    assert rates.record_no_limit(upstream, sent_at_s=4.9, now_s=6.0) is None
    assert rates.wait_s(upstream, now_s=5.1) > 0
    change = rates.record_no_limit(upstream, sent_at_s=6.0, now_s=7.0)
    assert (change.per_s, change.previous_per_s) == (None, 2.0)
    assert change.previous_age_s == pytest.approx(2.0)
    assert rates.wait_s(upstream, now_s=7.0) == 0.0


def test_report_of_another_daemon_binds_and_its_end_leads_to_one_request():
    # Without reports, a daemon that does not send to the upstream would learn of the
    # end only by a request after minutes in a large fleet.
    daemons = 195
    upstream = new_upstream()
    idle = next(
        name
        for name in names(daemons)
        if not self_sends(new_rates(name, daemons=daemons), upstream)
    )
    rates = new_rates(idle, daemons=daemons)
    assert rates.record_report(upstream, 1.0, now_s=0.0).per_s == 1.0
    assert not rates.take(upstream, now_s=1.0)
    assert rates.record_report(upstream, None, now_s=2.0) is None
    assert rates.wait_s(upstream, now_s=2.0) <= 0.05 * daemons
    assert rates.take(upstream, now_s=12.0)
    assert not rates.take(upstream, now_s=12.1)
    assert rates.record_no_limit(upstream, sent_at_s=12.0, now_s=12.2).per_s is None
    assert rates.take(upstream, now_s=12.3)


def test_what_the_upstream_states_counts_more_than_reports():
    # A late report of the end must not end a limit that was stated since.
    rates = new_rates()
    upstream = new_upstream()
    rates.record_limit(upstream, 1.0, now_s=10.0)
    assert rates.record_report(upstream, None, now_s=11.0) is None
    assert rates.record_report(upstream, 50.0, now_s=11.0) is None
    assert rates.status(upstream, now_s=11.0).per_s == 1.0
    assert rates.record_report(upstream, 2.0, now_s=20.0).per_s == 2.0


def test_new_incarnation_is_not_bound_by_the_limit_of_the_last_one():
    # An upstream that starts again holds and knows nothing of before.
    rates = new_rates()
    rates.record_limit(new_upstream(born=1), 1.0, now_s=5.0)
    assert rates.wait_s(new_upstream(born=1), now_s=5.0) > 0
    assert rates.wait_s(new_upstream(born=2), now_s=5.0) == 0.0
    rates.forget(UpstreamId("u1"))
    assert rates.wait_s(new_upstream(born=1), now_s=5.0) == 0.0


def test_changed_limit_gives_no_new_burst():
    # A limit that rises and falls must not refill the permits each time.
    rates = new_rates()
    upstream = new_upstream()
    for turn in range(10):
        rates.record_limit(upstream, 1.0 + turn % 2, now_s=turn * 0.1)
        rates.wait_s(upstream, now_s=turn * 0.1)
    assert rates.take(upstream, now_s=1.0)
    assert not rates.take(upstream, now_s=1.0)
    assert rates.record_limit(upstream, 2.0, now_s=1.0) is None


def test_daemon_that_is_not_a_sender_asks_again_after_a_while():
    # It would otherwise never learn that the limit has ended.
    daemons = 65
    senders = [
        name
        for name in names(daemons)
        if self_sends(new_rates(name, daemons=daemons), new_upstream())
    ]
    assert len(senders) == sender_count(1.0)
    idle = next(name for name in names(daemons) if name not in senders)
    rates = new_rates(idle, daemons=daemons)
    rates.record_limit(new_upstream(), 1.0, now_s=0.0)
    wait_s = rates.wait_s(new_upstream(), now_s=0.0)
    assert 2 * daemons <= wait_s <= 4 * daemons
    assert rates.take(new_upstream(), now_s=wait_s)
    assert not rates.take(new_upstream(), now_s=wait_s + 1.0)


def self_sends(rates, upstream):
    rates.record_limit(upstream, 1.0, now_s=0.0)
    return rates.status(upstream, now_s=0.0).share_per_s > 0
