"""Limits that one daemon hears of reach the others through the store."""

from random import Random

import trio
import trio.testing

from galenashift.gateway._limit_reports import LimitReporter
from galenashift.gateway._record_writer import RecordWriter
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import limited_answer, new_limiter
from galenashift.gateway.tests.store_fakes import SharedStore
from galenashift.gateway.tests.test_view import upstream_item
from galenashift.model import AnswerFields, DaemonId, UpstreamId
from galenashift.platform import (
    Address,
    PeerAddress,
    Snapshot,
    StoreRevision,
)
from galenashift.telemetry import EventLog

UPSTREAM = UpstreamId("u1")
NO_LIMIT = AnswerFields(
    attempt_id=None, not_executed=False, load=None, cold_left_s=None, signed=False
)


class Daemon:
    def __init__(self, name):
        self.view = PlatformView(report=self.on_change)
        self.limiter = new_limiter(trio.current_time, daemon=name)
        self.name = DaemonId(name)
        self.reporter = None

    def connect(self, store, nursery):
        writer = RecordWriter(
            store=store,
            records=store.new_records(self.name),
            events=EventLog(level="error"),
            random=Random(1),
            clock=trio.current_time,
        )
        self.reporter = LimitReporter(
            daemon_id=self.name,
            view=self.view,
            limiter=self.limiter,
            writer=writer,
            clock=trio.current_time,
        )
        nursery.start_soon(writer.run)
        nursery.start_soon(self.reporter.run)

    def on_change(self, name, fields):
        if self.reporter is not None and "upstream" in fields:
            self.reporter.apply(UpstreamId(fields["upstream"]))

    @property
    def registration(self):
        return self.view.find(UPSTREAM).registration

    def hear(self, fields):
        sent_at_s = trio.current_time()
        self.limiter.record_answer(self.registration, fields, sent_at_s=sent_at_s)

    def is_bound(self):
        now_s = trio.current_time()
        return self.limiter.status(self.registration, now_s=now_s) is not None


def run(scenario, *, names=("d1", "d2")):
    async def main():
        daemons = [Daemon(name) for name in names]
        store = SharedStore(*(each.view for each in daemons))
        peer = PeerAddress(address=Address(host="10.0.0.9", port=70), capacity=1.0)
        async with trio.open_nursery() as nursery:
            for daemon in daemons:
                daemon.view.peers_by_id.update(dict.fromkeys(names, peer))
                daemon.view.apply(upstream_item(UPSTREAM), now_s=0.0)
                daemon.connect(store, nursery)
            await trio.testing.wait_all_tasks_blocked()
            await scenario(daemons, store)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_daemon_is_bound_by_what_another_one_heard():
    # A large fleet would send to an upstream in need until each daemon had an answer.
    async def scenario(daemons, store):
        daemons[0].hear(limited_answer(2.0))
        await trio.sleep(2.0)
        assert daemons[1].is_bound()

    run(scenario)


def test_one_write_is_enough_for_all_daemons_that_heard():
    # Each write makes every daemon of the fleet read.
    async def scenario(daemons, store):
        for daemon in daemons:
            daemon.hear(limited_answer(2.0))
        await trio.sleep(3.0)
        assert store.writes == 1
        await trio.sleep(3.0)
        for daemon in daemons:
            daemon.hear(NO_LIMIT)
        await trio.sleep(3.0)
        assert store.writes == 2

    run(scenario, names=("d1", "d2", "d3"))


def test_daemon_that_starts_learns_the_limit_from_the_listing():
    # Registrations are written again and again, so that the report comes first.
    async def scenario(daemons, store):
        daemons[0].hear(limited_answer(2.0))
        await trio.sleep(1.0)
        started = Daemon("d3")
        async with trio.open_nursery() as nursery:
            started.connect(store, nursery)
            items = (*store.items_by_key.values(), upstream_item(UPSTREAM))
            snapshot = Snapshot(items=items, revision=StoreRevision(9))
            started.view.apply_snapshot(snapshot, now_s=trio.current_time())
            assert started.is_bound()
            empty = Snapshot(
                items=(upstream_item(UPSTREAM),), revision=StoreRevision(10)
            )
            started.view.apply_snapshot(empty, now_s=trio.current_time())
            assert started.view.limit_reports_by_id == {}
            nursery.cancel_scope.cancel()

    run(scenario)
