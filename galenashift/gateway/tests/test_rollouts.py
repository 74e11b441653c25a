"""A daemon sends requests to the versions that the order and the record allow."""

import json
from functools import partial
from types import SimpleNamespace

import pytest
import trio

from galenashift.gateway._outcomes import Broken, NotSent, Silent, StreamEnded
from galenashift.gateway._rollout_view import ROLLOUT_CHANGED
from galenashift.gateway._stage_call import StageCaller
from galenashift.gateway._stage_job import Batch, PieceRef
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import new_job, new_rollouts
from galenashift.gateway.tests.relay_fakes import REFUSED, answered, serve
from galenashift.gateway.tests.test_view import item, upstream_item
from galenashift.model import RolloutState, ServiceName
from galenashift.platform import Deletion, Item, Snapshot, StoreRevision
from galenashift.rollouts import Directive, Side

POOL = ServiceName("pool")
ORDER = {"service": "pool", "to": "v2", "duration_s": 60}
RECORD = {
    "order": 9,
    "from": "v1",
    "to": "v2",
    "state": "running",
    "sequence": 2,
    "share": 0.5,
    "remaining_s": 30,
    "exposure": 5,
    "requests": 50,
    "cause": "good answers",
}


def versioned(name, version, **changes):
    data = json.loads(upstream_item(name).value) | {"version": version} | changes
    return item(f"servers/{name}", data)


class Fixture:
    """A view with two upstreams of each version, and the rollouts of a daemon."""

    def __init__(self, *, enabled=True, versions=("v1", "v1", "v1", "v2", "v2")):
        self.now_s = 100.0
        self.changes = []
        self.view = PlatformView(report=self._report)
        self.view.rollouts.enabled = enabled
        self.rollouts = new_rollouts(self.view, lambda: self.now_s)
        items = [versioned(f"u{i}", each) for i, each in enumerate(versions)]
        self.view.apply_snapshot(
            Snapshot(items=tuple(items), revision=StoreRevision(1)), now_s=self.now_s
        )
        self.now_s += 10

    def _report(self, name, fields):
        self.changes.append((name, fields))
        if name == ROLLOUT_CHANGED:
            self.rollouts.apply_records(fields["service"])
        elif name == "upstream-registered":
            self.rollouts.apply_registrations(fields["service"])

    def put(self, key, data, revision=9):
        value = json.dumps(data).encode()
        change = Item(key=key, value=value, revision=StoreRevision(revision))
        self.view.apply(change, now_s=self.now_s)

    def order(self, **changes):
        self.put("op/rollout/pool", ORDER | changes)

    def record(self, revision=10, **changes):
        self.put("rollouts/pool", RECORD | changes, revision)

    @property
    def local(self):
        return self.rollouts.local_by_service.get(POOL)

    def available(self):
        known = self.view.available_upstreams(POOL, now_s=self.now_s)
        return {each.registration.version for each in known}

    def groups(self, attempt="a1", tried=()):
        job = SimpleNamespace(
            service=POOL, fields=SimpleNamespace(attempt_id=attempt), tried=set(tried)
        )
        known = self.view.available_upstreams(POOL, now_s=self.now_s)
        return [
            {each.registration.version for each in group}
            for group in self.rollouts.requests.candidate_groups(job, known)
        ]


def test_upstreams_of_a_version_without_an_order_get_nothing():
    # Guards against requests to a version that neither configuration nor order allows.
    fixture = Fixture()
    assert fixture.available() == {"v1"}


def test_service_is_not_refused_for_want_of_its_version():
    # Guards against an outage after a release without an order.
    fixture = Fixture()
    for number in range(3):
        key = f"servers/u{number}"
        fixture.view.apply(Deletion(key=key, revision=StoreRevision(12)), now_s=110)
    fixture.rollouts.apply_removal()
    assert fixture.available() == {"v2"}


@pytest.mark.parametrize(
    "old,available",
    [
        (("ready", "ready", "removed"), {"v1"}),
        (("ready", "removed", "removed"), {"v1", "v2"}),
        (("ready", "draining", "draining"), {"v1", "v2"}),
        (("draining", "draining", "draining"), {"v2"}),
        (("draining", "removed", "removed"), {"v2"}),
    ],
)
def test_service_whose_upstreams_are_replaced_without_an_order_keeps_its_capacity(
    old, available
):
    # Guards against upstreams of a release without an order that stay unused until the
    # last old one is gone.
    fixture = Fixture()
    assert fixture.available() == {"v1"}
    for number, state in enumerate(old):
        key = f"servers/u{number}"
        if state == "removed":
            change = Deletion(key=key, revision=StoreRevision(12))
            fixture.view.apply(change, now_s=fixture.now_s)
            fixture.rollouts.apply_removal()
        else:
            change = versioned(f"u{number}", "v1", state=state)
            fixture.view.apply(change, now_s=fixture.now_s)
    assert fixture.available() == available


def test_service_with_fewer_upstreams_than_before_keeps_its_version():
    # Guards against requests to a version that waits for its order, after the service
    # had fewer upstreams for other reasons than a replacement.
    fixture = Fixture(versions=("v1",) * 5)
    for number in range(3):
        key = f"servers/u{number}"
        change = Deletion(key=key, revision=StoreRevision(12))
        fixture.view.apply(change, now_s=fixture.now_s)
        fixture.rollouts.apply_removal()
    fixture.view.apply(versioned("u5", "v2"), now_s=fixture.now_s)
    assert fixture.available() == {"v1"}


def test_rolled_back_version_stays_excluded_as_upstreams_are_replaced():
    # Guards against requests to a version that was rolled back, when crashes leave
    # few upstreams of the old one.
    fixture = Fixture()
    fixture.record(state="rolled_back", share=0.0)
    for number in range(3):
        key = f"servers/u{number}"
        change = Deletion(key=key, revision=StoreRevision(12))
        fixture.view.apply(change, now_s=fixture.now_s)
        fixture.rollouts.apply_removal()
        assert "v2" not in fixture.available()


def test_change_of_the_share_takes_effect_on_upstreams_that_were_listed_before():
    # Guards against a list of upstreams that is kept from before a change of the share.
    fixture = Fixture()
    fixture.order()
    assert fixture.available() == {"v1"}
    fixture.record(revision=10, share=0.5, sequence=2)
    assert fixture.available() == {"v1", "v2"}
    fixture.record(revision=11, share=1.0, sequence=3)
    assert fixture.available() == {"v2"}
    fixture.record(revision=12, state="rolled_back", share=0.0, sequence=4)
    assert fixture.available() == {"v1"}


def test_versions_decide_nothing_where_rollouts_are_not_enabled():
    # Guards against other deployments that are served otherwise than before.
    fixture = Fixture(enabled=False)
    fixture.order()
    fixture.record(state="done", share=1.0)
    assert fixture.available() == {"v1", "v2"}
    assert fixture.groups() == [{"v1", "v2"}]
    assert fixture.local is None


@pytest.mark.parametrize(
    "record,available",
    [
        (None, {"v1"}),
        ({"share": 0.0}, {"v1"}),
        ({"share": 0.5}, {"v1", "v2"}),
        ({"share": 1.0}, {"v2"}),
        ({"state": "done", "share": 1.0}, {"v2"}),
        ({"state": "rolled_back", "share": 0.0}, {"v1"}),
        ({"share": 0.5, "order": 8}, {"v1"}),
    ],
)
def test_record_decides_which_versions_get_requests(record, available):
    # Guards against requests to a version before its share, or after its end.
    fixture = Fixture()
    fixture.order()
    if record is not None:
        fixture.record(**record)
    assert fixture.available() == available


@pytest.mark.parametrize(
    "record,to,from_version,is_running",
    [
        ({"state": "done", "order": 5}, "v3", "v2", True),
        ({"state": "rolled_back", "order": 5}, "v3", "v1", True),
        ({"state": "running", "order": 5}, "v3", "v1", True),
        ({"state": "done", "order": 9}, "v2", None, False),
    ],
)
def test_order_on_top_of_another_starts_from_the_version_in_force(
    record, to, from_version, is_running
):
    # Guards against an order that compares with a version that is not in use.
    fixture = Fixture()
    fixture.record(revision=6, **record)
    fixture.order(to=to)
    assert (fixture.local is not None) is is_running
    if is_running:
        assert fixture.local.from_version == from_version


def test_daemon_that_has_just_started_keeps_the_version_that_it_found():
    # Guards against a version without an order that is taken to be the one in force,
    # as most upstreams have it when another order arrives.
    fixture = Fixture(versions=("v1", "v1"))
    fixture.now_s = 101.0
    for number, version in enumerate(["v2", "v2", "v3", "v3", "v3", "v3"]):
        fixture.view.apply(versioned(f"n{number}", version), now_s=101.0)
    fixture.order()
    assert fixture.local.from_version == "v1"
    assert fixture.available() == {"v1"}


def test_malformed_order_is_reported_and_changes_nothing():
    # Guards against an order that nobody can explain, or that ends another one.
    fixture = Fixture()
    fixture.order()
    before = fixture.local
    fixture.order(duration_s="soon")
    name, fields = fixture.changes[-1]
    assert name == "record-unreadable"
    assert "duration_s" in str(fields["detail"])
    assert fixture.local is before


def test_removed_order_is_withdrawn():
    # Guards against a rollout that runs on after its order has gone.
    fixture = Fixture()
    fixture.order()
    key = "op/rollout/pool"
    fixture.view.apply(Deletion(key=key, revision=StoreRevision(12)), now_s=110)
    assert fixture.rollouts.withdrawn == {POOL}


def test_requests_are_divided_by_share_and_bad_answers_go_to_the_old_version():
    # Guards against shares that differ from the record, and retries at a bad version.
    fixture = Fixture()
    fixture.order()
    fixture.record(share=0.5)
    groups = [fixture.groups(f"{number:x}") for number in range(400)]
    assert sum(each == [{"v2"}, {"v1"}] for each in groups) == pytest.approx(200, 0.2)
    assert all(each in ([{"v2"}, {"v1"}], [{"v1"}]) for each in groups)
    chosen = next(i for i, each in enumerate(groups) if len(each) == 2)
    assert fixture.groups(f"{chosen:x}", tried=["u3"]) == [{"v1"}]


def test_rollback_of_the_coordinator_takes_effect_before_the_store_has_it():
    # Guards against requests to a bad version while the watch pauses.
    fixture = Fixture()
    fixture.order()
    fixture.record(share=0.5)
    directive = Directive(
        order_revision=9, state=RolloutState.ROLLED_BACK, sequence=3, share=0.0
    )
    fixture.local.apply_directive(directive, now_s=fixture.now_s)
    fixture.rollouts.update_all_allowed()
    assert fixture.available() == {"v1"}
    fixture.record(revision=11, sequence=2)
    assert fixture.available() == {"v1"}


@pytest.mark.parametrize(
    "outcome,answers,failures",
    [
        (answered(200), 1, 0),
        (answered(404), 1, 0),
        (answered(500), 1, 1),
        (Broken(detail="reset", reset=True), 1, 1),
        (Silent(), 1, 1),
        (StreamEnded(complete=True, started=True, detail=""), 1, 0),
        (StreamEnded(complete=False, started=True, detail=""), 1, 1),
        (NotSent(detail="refused"), 0, 0),
        (REFUSED, 0, 0),
    ],
)
def test_outcomes_count_for_their_version(outcome, answers, failures):
    # Guards against failures that count for none, and refusals that count as failures.
    fixture = Fixture()
    fixture.order()
    fixture.record()
    job = SimpleNamespace(
        service=POOL,
        route=SimpleNamespace(name="read"),
        fields=SimpleNamespace(prompt_parts=()),
    )
    writer = SimpleNamespace(sent_at_s=109.0, first_byte_s=0.5)
    upstream = fixture.view.find("u3")
    fixture.rollouts.requests.record_outcome(
        job, upstream, outcome, writer, now_s=110.0
    )
    counts = fixture.local.evidence.take_changes(full=True)
    assert sum(each.answers for each in counts.values()) == answers
    assert sum(each.failures for each in counts.values()) == failures
    assert all(key.side is Side.NEW for key in counts)


@pytest.mark.parametrize("share,expected", [(0.0, 0), (0.2, 20), (0.5, 50)])
def test_calls_of_stages_are_divided_by_share(share, expected):
    # Guards against a stage service whose calls all go to a new version.
    fixture = Fixture()
    fixture.order()
    fixture.record(share=share)
    sent = []
    for _ in range(100):
        known = fixture.view.available_upstreams(POOL, now_s=fixture.now_s)
        offered = fixture.rollouts.calls.offered(POOL, known, is_idle=lambda each: True)
        upstream = max(offered, key=lambda each: each.registration.version)
        fixture.rollouts.calls.record_call_sent(upstream.registration)
        sent.append(upstream.registration.version)
    assert sent.count("v2") == pytest.approx(expected, abs=1)


def test_call_of_a_stage_is_not_sent_after_a_rollback_while_it_connects():
    # Guards against calls that reach a bad version once a slow connection is open.
    fixture = Fixture()
    fixture.order()
    fixture.record(share=0.5)
    checks = []

    async def exchange(*, upstream, request, timeouts, may_send):
        checks.append(may_send())
        fixture.record(revision=11, state="rolled_back", share=0.0, sequence=3)
        checks.append(may_send())
        return NotSent(detail="the upstream no longer accepts requests")

    caller = StageCaller(
        exchanger=SimpleNamespace(exchange=exchange),
        rollouts=fixture.rollouts.calls,
        clock=lambda: fixture.now_s,
    )
    upstream = fixture.view.find("u3")
    piece = PieceRef(job=new_job("a1"), index=0)
    batch = Batch(upstream_id="u3", pieces=(piece,))
    trio.run(partial(caller.call, upstream, batch, expected_s=0.5))
    assert checks == [True, False]


def test_request_without_a_rollout_is_served_as_before():
    # Guards against requests that fail where no order exists.
    exchanger, responder = serve("read", answered(200))
    assert responder.status == 200
    assert len(exchanger.requests) == 1
