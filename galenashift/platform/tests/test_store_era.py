"""Calls to a store that has come back from an older copy of its records."""

import time

import pytest
import trio

from galenashift.model import UnreadableValue
from galenashift.platform import (
    Address,
    EraChange,
    EraTracker,
    PlatformStore,
    Snapshot,
    StoreFailure,
    StoreProblem,
)
from standins._platform_http import listen
from standins._platform_store import PlatformStore as StoreStandIn


def observe(*stated):
    """Return the changes that a tracker reports, and the eras of the answers.

    :param stated: Header of each answer, with the era known when its call was sent.
    """
    changes, unreadable = [], []
    tracker = EraTracker(on_change=changes.append, on_unreadable=unreadable.append)
    eras = [
        tracker.observe({} if text is None else {"store-era": text}, known=known)
        for text, known in stated
    ]
    return changes, unreadable, eras, tracker


@pytest.mark.parametrize(
    ("stated", "current", "changes"),
    [
        # A store that states none, one that always states the same, and one that does
        # not for a while.
        ([(None, None), (None, None)], None, []),
        ([("3", None), ("3", 3)], 3, []),
        ([("3", None), (None, 3), ("3", 3)], 3, []),
        ([("3", None), ("4", 3)], 4, [EraChange(previous=3, current=4)]),
        # An answer of the past era to a call that was sent in it arrives late.
        ([("3", None), ("4", 3), ("3", 3)], 4, [EraChange(previous=3, current=4)]),
        # What one answer stated was wrong, as the next call shows.
        (
            [("3", None), ("900", 3), ("3", 900)],
            3,
            [EraChange(previous=3, current=900), EraChange(previous=900, current=3)],
        ),
    ],
)
def test_era_changes_once_and_not_by_late_answers(stated, current, changes):
    # A late answer of the past era would have all records read again, and one wrong
    # era would end all use of the store.
    seen, _, _, tracker = observe(*stated)
    assert tracker.current == current
    assert seen == changes


@pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "9" * 30])
def test_unreadable_era_is_reported_once_and_changes_nothing(text):
    changes, unreadable, eras, _ = observe(("3", None), (text, 3), (text, 3))
    assert changes == []
    assert eras == [3, 3, 3]
    assert unreadable == [UnreadableValue(text=text[:40])]


def run_with_store(scenario):
    """Run `scenario(stand_in, client, changes)` against a stand-in of the store."""

    async def run():
        async with trio.open_nursery() as nursery:
            stand_in = StoreStandIn(clock=time.monotonic)
            port = await listen(nursery, stand_in.answer)
            changes = []
            client = PlatformStore(
                address=Address(host="127.0.0.1", port=port),
                on_era_change=changes.append,
            )
            await scenario(stand_in, client, changes)
            nursery.cancel_scope.cancel()

    trio.run(run)


def is_past_era(result):
    return isinstance(result, StoreFailure) and result.problem is StoreProblem.PAST_ERA


def test_lease_of_a_past_era_is_not_used():
    # Its number is given out again: the record would last as long as the lease of
    # another daemon, and ending it would remove that daemon's registration.
    async def scenario(stand_in, client, changes):
        copy = stand_in.copy()
        lease = await client.grant_lease(lifetime_s=5.0)
        stand_in.restore(copy)
        await client.list_prefix("")
        other = await client.grant_lease(lifetime_s=5.0)
        assert other.lease_id == lease.lease_id
        await client.put(key="daemons/b", value=b"b", lease=other)
        assert is_past_era(await client.put(key="daemons/a", value=b"a", lease=lease))
        assert is_past_era(await client.renew_lease(lease))
        assert is_past_era(await client.end_lease(lease))
        assert stand_in.keys("daemons/") == ["daemons/b"]
        assert changes == [EraChange(previous=3, current=4)]

    run_with_store(scenario)


def test_call_that_was_sent_in_a_past_era_fails():
    # The client learns of the new era by the answer, after the call was executed.
    async def scenario(stand_in, client, changes):
        lease = await client.grant_lease(lifetime_s=5.0)
        stand_in.restore(stand_in.copy())
        failure = await client.renew_lease(lease)
        assert is_past_era(failure)
        assert failure.may_have_run
        assert len(changes) == 1

    run_with_store(scenario)


def test_watch_does_not_continue_in_another_era():
    # Revisions are given out again, so that it would miss the changes before its own
    # without an error.
    async def scenario(stand_in, client, changes):
        copy = stand_in.copy()
        stand_in.put("op/evacuate/a", {})
        snapshot = await client.list_prefix("")
        stand_in.restore(copy)
        stand_in.put("op/evacuate/b", {})
        watched = await client.watch(prefix="", position=snapshot.position, wait_s=0.05)
        assert is_past_era(watched)
        again = await client.list_prefix("")
        assert isinstance(again, Snapshot)
        assert again.revision == snapshot.revision
        assert [each.key for each in again.items] == ["op/evacuate/b"]

    run_with_store(scenario)
