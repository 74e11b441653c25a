"""Reports to the store whose answers are lost, or that are executed late."""

from random import Random

import trio
import trio.testing

from galenashift.gateway._record_writer import RecordWriter
from galenashift.gateway.tests.store_fakes import UNREACHABLE, SharedStore
from galenashift.platform import Deletion, StoreRevision
from galenashift.telemetry import EventLog

KEY = "limits/u1"


class LateStore(SharedStore):
    """Loses the answer to its first write, and executes it late.

    :param late_s: Time until it is executed, in seconds.
    """

    def __init__(self, *, late_s):
        super().__init__()
        self.late_s = late_s
        self.has_lost = False
        self.refused = 0

    async def put_all(self, value_by_key, *, lease, revision_by_key):
        if not self.has_lost:
            self.has_lost = True
            trio.lowlevel.spawn_system_task(
                self._execute_later, value_by_key, revision_by_key
            )
            return UNREACHABLE
        result = await super().put_all(
            value_by_key, lease=lease, revision_by_key=revision_by_key
        )
        self.refused += not isinstance(result, int)
        return result

    async def _execute_later(self, value_by_key, revision_by_key):
        await trio.sleep(self.late_s)
        await super().put_all(value_by_key, lease=None, revision_by_key=revision_by_key)


def run_writer(store, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            writer = RecordWriter(
                store=store,
                records=store.new_records("d1"),
                events=EventLog(level="error"),
                random=Random(1),
                clock=trio.current_time,
            )
            nursery.start_soon(writer.run)
            await scenario(writer)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_late_write_does_not_replace_a_newer_one():
    # Guards against a limit that had ended and comes back, or one in force that ends in
    # the store: all daemons would try the upstream at once.
    store = LateStore(late_s=3.0)

    async def scenario(writer):
        writer.enqueue(key=KEY, value=b"ended")
        await trio.sleep(0.1)
        writer.enqueue(key=KEY, value=b"limited")
        await trio.sleep(10.0)
        assert store.items_by_key[KEY].value == b"limited"
        assert store.writes == 1

    run_writer(store, scenario)


def test_record_whose_answer_was_lost_is_not_written_twice():
    # Each write makes every daemon of the fleet read.
    store = LateStore(late_s=0.0)

    async def scenario(writer):
        writer.enqueue(key=KEY, value=b"limited")
        await trio.sleep(10.0)
        assert store.writes == 1

    run_writer(store, scenario)


def test_record_that_another_daemon_has_changed_is_replaced():
    # The watch shows the new revision, on which the next attempt depends.
    store = LateStore(late_s=0.0)
    store.has_lost = True

    async def scenario(writer):
        store.execute({KEY: b"of another"})
        writer.enqueue(key=KEY, value=b"own")
        await trio.sleep(1.0)
        assert store.items_by_key[KEY].value == b"own"
        store.show(Deletion(key=KEY, revision=StoreRevision(store.writes + 1)))
        del store.items_by_key[KEY]
        writer.enqueue(key=KEY, value=b"own again")
        await trio.sleep(1.0)
        assert store.items_by_key[KEY].value == b"own again"

    run_writer(store, scenario)


def test_record_is_written_even_if_the_watch_shows_nothing():
    # Guards against reports that are never stored, as their condition never holds.
    store = LateStore(late_s=0.0)
    store.has_lost = True

    async def scenario(writer):
        shown = store.records.pop()
        store.execute({KEY: b"unseen"})
        writer.enqueue(key=KEY, value=b"own")
        await trio.sleep(15.0)
        assert store.items_by_key[KEY].value == b"own"
        assert shown.find(KEY).value == b"own"
        assert store.refused < 10

    run_writer(store, scenario)
