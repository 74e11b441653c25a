"""Detection and quarantine of requests that crash upstreams."""

from random import Random

import trio
import trio.testing

from galenashift.gateway._crashes import CrashGuard, Refusal, fingerprint
from galenashift.gateway._record_writer import RecordWriter
from galenashift.gateway._unconfirmed_crashes import Suspicion
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import registration_at
from galenashift.gateway.tests.store_fakes import UNREACHABLE, SharedStore
from galenashift.gateway.tests.test_view import upstream_item
from galenashift.model import (
    CrashSuspects,
    DaemonId,
    OrganisationId,
)
from galenashift.platform import (
    Deletion,
    Item,
    PeerAddress,
    Snapshot,
    StoreRevision,
)
from galenashift.platform._settings import Address
from galenashift.retries import Trial, TrialEnd
from galenashift.telemetry import EventLog, Metrics


def new_fingerprint(**changes):
    arguments = {
        "organisation_id": OrganisationId("org"),
        "host": "h",
        "target": "/a?b",
        "body": b"in",
    }
    return fingerprint(**arguments | changes)


def test_fingerprint_covers_organisation_host_target_and_body():
    # A request with the same fingerprint as a crashing one would be refused, too.
    changes = [
        {"organisation_id": OrganisationId("o2")},
        {"host": "h2"},
        {"target": "/a"},
        {"body": b"out"},
        {"organisation_id": None},
    ]
    fingerprints = {new_fingerprint(**change) for change in changes}
    assert len(fingerprints | {new_fingerprint()}) == len(changes) + 1
    assert new_fingerprint() == new_fingerprint()


def new_view(*upstream_ids):
    view = PlatformView(report=lambda name, fields: None)
    items = [upstream_item(each) for each in upstream_ids]
    view.apply_snapshot(
        Snapshot(items=tuple(items), revision=StoreRevision(1)), now_s=0.0
    )
    return view


def quarantined(view):
    view.crash_evidence.decide(now_s=trio.current_time())
    return [each.suspect for each in view.crash_evidence.quarantines]


def new_guard(store, view, *, name="d1"):
    events = EventLog(level="error")
    return CrashGuard(
        daemon_id=DaemonId(name),
        view=view,
        reporter=RecordWriter(
            store=store,
            records=store.new_records(name),
            events=events,
            random=Random(1),
            clock=trio.current_time,
        ),
        events=events,
        metrics=Metrics(),
        clock=trio.current_time,
    )


SUSPECTS = {"part:sys": 0, "part:bad": 1}


def suspicion_of(upstream, *, begun=False):
    return Suspicion(
        attempt_id="a1",
        upstream=upstream,
        suspects=CrashSuspects(
            not_begun={} if begun else SUSPECTS, begun=SUSPECTS if begun else {}
        ),
        at_s=trio.current_time(),
    )


async def run_guard(guard, *upstreams, for_s=0.4):
    """Report a suspected crash of each upstream, and run the guard for some time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(guard.run)
        for upstream in upstreams:
            guard.suspect(suspicion_of(upstream))
        await trio.sleep(for_s)
        nursery.cancel_scope.cancel()


async def free_port():
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    return port


UPSTREAMS = ("u0", "u1", "u2")


def test_crashes_at_several_daemons_quarantine_the_part_at_all():
    # Otherwise requests with it would crash upstreams through another daemon.
    async def run():
        views = [new_view(*UPSTREAMS), new_view(*UPSTREAMS)]
        store = SharedStore(*views)
        guards = [new_guard(store, view, name=f"d{i}") for i, view in enumerate(views)]
        port = await free_port()
        await run_guard(
            guards[0], *(registration_at(port, name=f"u{i}") for i in range(2))
        )
        assert guards[1].find_refusal(SUSPECTS) is None
        assert guards[1].is_suspected(SUSPECTS, had_begun=False)
        await run_guard(guards[1], registration_at(port, name="u2"))
        for guard in guards:
            assert guard.find_refusal(SUSPECTS).quarantine.suspect == "part:bad"
            assert guard.find_refusal({"part:sys": 0}) is None

    trio.run(run)


def test_daemon_that_starts_learns_the_quarantine_from_the_listing():
    # It would send such requests until upstreams had crashed again. The listing is
    # sorted by key, so that the report that clears a part comes before the crashes.
    async def run():
        view = new_view(*UPSTREAMS)
        store = SharedStore(view)
        guard = new_guard(store, view)
        port = await free_port()
        await run_guard(
            guard, *(registration_at(port, name=each) for each in UPSTREAMS)
        )
        guard.complete({"part:sys": 0}, began_at_s=trio.current_time())
        await run_guard(guard)
        assert any(key.startswith("cleared/") for key in store.items_by_key)
        started = PlatformView(report=lambda name, fields: None)
        items = tuple(sorted(store.items_by_key.values(), key=lambda item: item.key))
        snapshot = Snapshot(items=items, revision=StoreRevision(9))
        started.apply_snapshot(snapshot, now_s=trio.current_time())
        assert quarantined(started) == ["part:bad"]
        assert not started.crash_evidence.is_suspected(
            ["part:sys"], had_begun=False, now_s=trio.current_time()
        )

    trio.run(run)


def test_daemon_that_starts_does_not_refuse_a_part_that_completed_between_crashes():
    # Guards against daemons that refuse a sound part after a restart, in place of the
    # one that crashes upstreams: the sound one was cleared at running daemons only.
    async def run():
        view = new_view(*UPSTREAMS)
        store = SharedStore(view)
        guard = new_guard(store, view)
        port = await free_port()
        for name in UPSTREAMS:
            # Here the deeper part is the sound one.
            await run_guard(guard, registration_at(port, name=name))
            guard.complete({"part:bad": 1}, began_at_s=trio.current_time())
            await run_guard(guard)
        assert quarantined(view) == ["part:sys"]
        started = PlatformView(report=lambda name, fields: None)
        snapshot = Snapshot(
            items=tuple(store.items_by_key.values()), revision=StoreRevision(9)
        )
        started.apply_snapshot(snapshot, now_s=trio.current_time())
        assert quarantined(started) == ["part:sys"]

    trio.run(run)


def test_operator_lifts_a_quarantine_by_a_record_in_the_store():
    # The operations page promises it; such a record names no crashes.
    view = new_view()
    for number in range(3):
        crash = Item(
            key=f"crashes/c{number}/d1",
            value=b'{"not_begun": {"part:a": 0}, "begun": {}}',
            revision=StoreRevision(number),
        )
        view.apply(crash, now_s=1.0)
    view.crash_evidence.decide(now_s=1.0)
    assert len(view.crash_evidence.quarantines) == 1
    record = Item(
        key="cleared/any", value=b'{"suspect": "part:a"}', revision=StoreRevision(8)
    )
    view.apply(record, now_s=2.0)
    view.crash_evidence.decide(now_s=2.0)
    assert not view.crash_evidence.quarantines


def test_upstream_that_accepts_a_connection_has_not_crashed():
    # If upstreams that reset connections counted as crashed, all requests would be
    # quarantined while answers are lost in the network.
    async def run():
        view = new_view(*UPSTREAMS)
        store = SharedStore(view)
        guard = new_guard(store, view)
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        await run_guard(
            guard, *(registration_at(port, name=each) for each in UPSTREAMS)
        )
        assert not guard.has_crashes
        assert store.items_by_key == {}
        await listener.aclose()

    trio.run(run)


def test_crash_counts_once_another_process_listens_at_the_address():
    # A fast restart, or a probe that was delayed, would hide each crash, and its cause
    # could crash upstreams without limit.
    async def run():
        view = new_view(*UPSTREAMS)
        guard = new_guard(SharedStore(view), view)
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(guard.run)
            for each in UPSTREAMS:
                guard.suspect(suspicion_of(registration_at(port, name=each)))
            await trio.sleep(0.2)
            assert not guard.has_crashes
            for each in UPSTREAMS:
                view.apply(upstream_item(each, born=2), now_s=trio.current_time())
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        assert guard.find_refusal(SUSPECTS).quarantine.suspect == "part:bad"
        await listener.aclose()

    trio.run(run)


def test_end_of_an_upstream_that_has_left_is_not_a_crash():
    # Upstreams that are replaced cut what they have not finished when they exit.
    async def run():
        view = new_view()
        guard = new_guard(SharedStore(view), view)
        port = await free_port()
        await run_guard(
            guard, *(registration_at(port, name=each) for each in UPSTREAMS)
        )
        assert not guard.has_crashes

    trio.run(run)


def test_report_is_written_once_the_store_is_back():
    # A report that was lost in an outage is missing at all other daemons.
    async def run():
        views = [new_view(*UPSTREAMS), new_view(*UPSTREAMS)]
        store = SharedStore(*views, failures=[UNREACHABLE] * 3)
        guard = new_guard(store, views[0])
        port = await free_port()
        await run_guard(
            guard, *(registration_at(port, name=each) for each in UPSTREAMS), for_s=4.0
        )
        assert quarantined(views[1]) == ["part:bad"]

    trio.run(run)


def test_refused_requests_keep_the_quarantine_in_the_store():
    # Leases of reports lapse in some outages, and a daemon that starts after one must
    # know the quarantine.
    async def run():
        view = new_view(*UPSTREAMS)
        store = SharedStore(view)
        guard = new_guard(store, view)
        port = await free_port()
        await run_guard(
            guard, *(registration_at(port, name=each) for each in UPSTREAMS)
        )
        for key in list(store.items_by_key):
            del store.items_by_key[key]
            store.show(Deletion(key=key, revision=StoreRevision(8)))
        assert isinstance(guard.admit(SUSPECTS), Refusal)
        await run_guard(guard)
        assert len(store.items_by_key) == len(UPSTREAMS)

    trio.run(run)


def test_one_daemon_tries_a_quarantined_part_after_a_while():
    # A part that is quarantined by mistake would be refused for good; trials at all
    # daemons would crash as many upstreams.
    async def run():
        views = [new_view(*UPSTREAMS), new_view(*UPSTREAMS)]
        store = SharedStore(*views)
        guards = [new_guard(store, view, name=f"d{i}") for i, view in enumerate(views)]
        peer = PeerAddress(address=Address(host="10.0.0.1", port=1), capacity=1.0)
        for view in views:
            view.peers_by_id.update({"d0": peer, "d1": peer})
        for name in UPSTREAMS:
            suspects = CrashSuspects(not_begun=SUSPECTS, begun={})
            for view in views:
                view.crash_evidence.record_crash(
                    name, suspects, now_s=trio.current_time()
                )
        assert all(isinstance(each.admit(SUSPECTS), Refusal) for each in guards)
        await trio.sleep(61.0)
        verdicts = [guard.admit(SUSPECTS) for guard in guards for _ in range(2)]
        assert sum(isinstance(each, Trial) for each in verdicts) == 1

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_request_with_two_quarantined_parts_is_tried_after_one_with_either():
    # A trial of one of them can crash an upstream by the other, and tells less. Without
    # any, a route whose requests all have both would be refused for good.
    async def run():
        view = new_view(*UPSTREAMS)
        guard = new_guard(SharedStore(view), view)
        peer = PeerAddress(address=Address(host="10.0.0.1", port=1), capacity=1.0)
        view.peers_by_id["d1"] = peer
        for number in range(6):
            part = f"part:{number % 2}"
            view.crash_evidence.record_crash(
                f"c{number}",
                CrashSuspects(not_begun={part: 0}, begun={}),
                now_s=trio.current_time(),
            )
        await trio.sleep(61.0)
        both = {"part:0": 0, "part:1": 1}
        assert isinstance(guard.admit(both), Refusal)
        trial = guard.admit({"part:0": 0})
        assert isinstance(trial, Trial)
        guard.end_trial(trial, TrialEnd.NOT_SENT)
        await trio.sleep(5.0)
        assert guard.admit(both).suspects == {"part:0", "part:1"}
        assert isinstance(guard.admit({"part:0": 0}), Refusal)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_report_that_cannot_be_decoded_is_ignored():
    view = new_view()
    for value in (b"{}", b"[]", b'{"not_begun": {"a": -1}, "begun": {}}'):
        item = Item(key="crashes/c/d", value=value, revision=StoreRevision(1))
        view.apply(item, now_s=0.0)
    for value in (b'{"suspect": "a", "crashes": 7}', b'{"crashes": []}', b"[]"):
        item = Item(key="cleared/c/d", value=value, revision=StoreRevision(1))
        view.apply(item, now_s=0.0)
    assert not view.crash_evidence.has_crashes
