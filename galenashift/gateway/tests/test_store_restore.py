"""What holds when the store comes back from an older copy of its records."""

import pytest
import trio
import trio.testing

from galenashift.gateway._fleet_records import FleetRecords
from galenashift.gateway._registration import Registration
from galenashift.gateway._store_watch import RESTORE_GRACE_S, StoreWatch
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import limited_answer
from galenashift.gateway.tests.store_fakes import SharedStore
from galenashift.gateway.tests.test_crashes import SUSPECTS, new_guard, suspicion_of
from galenashift.gateway.tests.test_limit_reports import NO_LIMIT, run
from galenashift.gateway.tests.test_view import (
    config_item,
    gone,
    ids,
    item,
    new_view,
    upstream_item,
)
from galenashift.model import Clearance, DaemonId, UpstreamId
from galenashift.platform import (
    Address,
    ChangeSet,
    EraChange,
    Lease,
    LeaseId,
    PeerAddress,
    Snapshot,
    StoreEra,
    StoreFailure,
    StoreProblem,
    StoreRevision,
)
from galenashift.telemetry import EventLog, Metrics

PEER = item("daemons/d2", {"peers": "10.0.0.2:70", "capacity": 1.0})


def copy_of(*items):
    return Snapshot(items=tuple(items), revision=StoreRevision(1), era=StoreEra(4))


def test_older_copy_takes_back_nothing_that_was_acted_on():
    # Requests would reach an evacuated domain, an older configuration would let revoked
    # keys in, and with fewer known daemons each would take a larger share.
    old = (config_item(5), upstream_item("u1"), upstream_item("u2", zone="b"))
    view = new_view(*old, PEER)
    view.apply(config_item(7), now_s=0.0)
    view.apply(item("op/evacuate/a", {}), now_s=0.0)
    view.apply_older_copy(copy_of(*old), now_s=1.0)
    assert ids(view, now_s=1.0) == ["u2"]
    assert view.config.version == 7
    assert view.daemon_count == 1
    assert DaemonId("d2") in view.peers_by_id


def test_upstream_that_the_copy_lacks_stays_in_use():
    # It writes its registration again within seconds.
    view = new_view(upstream_item("u1"))
    view.apply(upstream_item("u2"), now_s=0.0)
    view.apply_older_copy(copy_of(upstream_item("u1")), now_s=1.0)
    assert ids(view, now_s=1.0) == ["u1", "u2"]


@pytest.mark.parametrize(
    ("born", "is_used"), [(1, False), (2, True)], ids=["same start", "new start"]
)
@pytest.mark.parametrize(
    "change",
    [gone("servers/u1"), upstream_item("u1", state="draining", born=1)],
    ids=["gone", "draining"],
)
def test_upstream_that_had_left_stays_left_unless_it_has_restarted(
    change, born, is_used
):
    # The copy shows upstreams that have shut down since, whose requests would be lost.
    view = new_view(upstream_item("u1", born=1))
    view.apply(change, now_s=0.0)
    view.apply_older_copy(copy_of(upstream_item("u1", born=born)), now_s=1.0)
    assert (ids(view, now_s=1.0) == ["u1"]) is is_used


def test_listing_after_the_grace_period_is_taken_as_it_is():
    # Operators may have ended an evacuation in the new era, and an upstream that still
    # writes is alive.
    view = new_view(upstream_item("u1"), item("op/evacuate/a", {}), PEER)
    view.apply(gone("servers/u1"), now_s=0.0)
    view.apply_older_copy(copy_of(upstream_item("u1")), now_s=1.0)
    assert ids(view, now_s=1.0) == []
    view.apply_snapshot(copy_of(upstream_item("u1")), now_s=6.0)
    assert ids(view, now_s=6.0) == ["u1"]
    assert view.peers_by_id == {}


class RestoredStore:
    """Store of one configuration; leases are valid in their era only."""

    def __init__(self):
        self.era = StoreEra(3)
        self.version = 7
        self.lists = 0
        self.granted = []
        self._cut = trio.Event()

    def restore(self, watch, *, version):
        change = EraChange(previous=self.era, current=StoreEra(self.era + 1))
        self.era = change.current
        self.version = version
        watch.begin_era(change)

    async def list_prefix(self, prefix):
        self.lists += 1
        return Snapshot(
            items=(config_item(self.version),),
            revision=StoreRevision(1),
            era=self.era,
        )

    async def watch(self, *, prefix, position, wait_s):
        await trio.sleep(wait_s)
        return ChangeSet(changes=(), revision=position.after, era=self.era)

    async def grant_lease(self, *, lifetime_s):
        self.granted.append(trio.current_time())
        return Lease(lease_id=LeaseId(7), era=self.era)

    async def put(self, *, key, value, lease):
        return StoreRevision(2)

    async def renew_lease(self, lease):
        if lease.era == self.era:
            return None
        return StoreFailure(
            problem=StoreProblem.PAST_ERA, detail="restored", may_have_run=False
        )


def test_daemon_lists_at_once_and_registers_again_within_a_second():
    # The watch went on from a revision that had been given out again, and the
    # registration was renewed by a lease that belonged to another daemon.
    copies = []

    async def scenario():
        store = RestoredStore()
        events = EventLog(level="error")
        metrics = Metrics()
        records = FleetRecords(daemon_id=DaemonId("d1"))
        watch = StoreWatch(
            store=store,
            view=PlatformView(report=lambda name, fields: None),
            records=records,
            apply_within_s=2.0,
            on_older_copy=lambda: copies.append(trio.current_time()),
            events=events,
            metrics=metrics,
            clock=trio.current_time,
        )
        registration = Registration(
            store=store,
            records=records,
            daemon_id=DaemonId("d1"),
            peer=PeerAddress(address=Address(host="10.0.0.1", port=1), capacity=1.0),
            on_failure=watch.restart_watch,
            events=events,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            nursery.start_soon(registration.run)
            await trio.sleep(2.1)
            began_s = trio.current_time()
            store.restore(watch, version=5)
            await trio.sleep(1.5)
            assert store.lists == 2
            assert copies == [began_s]
            assert len(store.granted) == 2
            assert store.granted[1] - began_s <= 1.2
            await trio.sleep(RESTORE_GRACE_S)
            assert store.lists == 3
            assert len(copies) == 1
            nursery.cancel_scope.cancel()
        assert "store_era_changes_total{} 1" in metrics.render()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_limits_that_the_store_has_lost_are_written_again_once():
    # A daemon that starts afterwards would send more than an upstream accepts.
    async def scenario(daemons, store):
        daemons[0].hear(limited_answer(2.0))
        await trio.sleep(2.0)
        assert store.writes == 1
        copied = copy_of(upstream_item("u1"))
        store.restore(copied)
        for daemon in daemons:
            daemon.view.apply_older_copy(copied, now_s=0.0)
            daemon.reporter.report_again()
        await trio.sleep(3.0)
        assert store.writes == 2
        assert all(daemon.is_bound() for daemon in daemons)

    run(scenario, names=("d1", "d2", "d3"))


def test_limit_that_had_ended_does_not_come_back():
    # The copy has the report of a limit that has ended since.
    async def scenario(daemons, store):
        daemons[0].hear(limited_answer(2.0))
        await trio.sleep(2.0)
        copied = copy_of(upstream_item("u1"), *store.items_by_key.values())
        for daemon in daemons:
            daemon.hear(NO_LIMIT)
        await trio.sleep(3.0)
        store.restore(copied)
        for daemon in daemons:
            daemon.view.apply_older_copy(copied, now_s=0.0)
            daemon.reporter.report_again()
        await trio.sleep(3.0)
        assert not any(daemon.is_bound() for daemon in daemons)
        report = daemons[1].view.limit_reports_by_id[UpstreamId("u1")]
        assert report.per_s is None

    run(scenario)


def run_with_reports(scenario):
    """Run `scenario(store, guards, views)` with the reports of two daemons on a crash.

    The daemon that wrote the report has died.
    """

    async def main():
        names = ("d1", "d2", "d3")
        views = [new_view(upstream_item("u1")) for _ in names]
        for view in views:
            view.peers_by_id.update(
                dict.fromkeys(
                    map(DaemonId, names),
                    PeerAddress(address=Address(host="10.0.0.9", port=70), capacity=1),
                )
            )
        store = SharedStore(*views)
        guards = [
            new_guard(store, view, name=name)
            for view, name in zip(views, names, strict=True)
        ]
        async with trio.open_nursery() as nursery:
            for guard in guards:
                nursery.start_soon(guard.run)
            await trio.testing.wait_all_tasks_blocked()
            upstream = views[0].find(UpstreamId("u1")).registration
            guards[0]._record(suspicion_of(upstream))
            await trio.sleep(1.0)
            await scenario(store, guards[1:], views[1:])
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_crash_whose_reporter_has_died_is_reported_again_once():
    # A daemon that starts afterwards would let as many upstreams crash again.
    async def scenario(store, guards, views):
        assert store.writes == 1
        (value,) = [each.value for each in store.items_by_key.values()]
        store.items_by_key.clear()
        for guard, view in zip(guards, views, strict=True):
            view.apply_older_copy(copy_of(upstream_item("u1")), now_s=0.0)
            guard.report_again()
        await trio.sleep(5.0)
        (again,) = store.items_by_key.values()
        assert again.value == value
        assert store.writes == 2

    run_with_reports(scenario)


def test_clearance_that_the_store_has_lost_is_reported_again_once():
    # A sound prompt part would be refused by daemons that start afterwards.
    async def scenario(store, guards, views):
        crash_ids = tuple(views[0].crash_evidence.unstored_crashes(now_s=1e9))
        clearance = Clearance(suspect=next(iter(SUSPECTS)), crash_ids=crash_ids)
        for view in views:
            view.crash_evidence.record_clearance(clearance, now_s=0.0)
            assert view.crash_evidence.is_stored(clearance)
            view.apply_older_copy(copy_of(upstream_item("u1")), now_s=0.0)
            assert not view.crash_evidence.is_stored(clearance)
        store.items_by_key.clear()
        for guard in guards:
            guard.report_again()
        await trio.sleep(5.0)
        cleared = [key for key in store.items_by_key if key.startswith("cleared/")]
        assert len(cleared) == 1
        assert all(view.crash_evidence.is_stored(clearance) for view in views)

    run_with_reports(scenario)
