"""Watches the platform's store."""

from collections.abc import Callable

import trio

from galenashift.platform import (
    CONFIG_KEY,
    ChangeSet,
    EraChange,
    PlatformStore,
    Snapshot,
    StoreFailure,
    StoreProblem,
    WatchPosition,
)
from galenashift.telemetry import EventLog, Metrics

from ._fleet_records import FleetRecords
from ._view import PlatformView

#: Key prefix of the watch; the empty prefix covers all keys.
_ALL_KEYS = ""
#: Longest duration of one watch call, in seconds. Until it ends, keep-alive probes
#: detect an unresponsive connection, and lease renewals an unresponsive store.
_WATCH_TIMEOUT_S = 10.0
#: Time between the end of the pause after changes and the time by which changes must
#: be applied, in seconds. The pause batches the changes that follow, as each call to
#: the store has a cost, and every daemon of the fleet makes it.
_BATCH_MARGIN_S = 1.3
#: Shortest pause after changes, in seconds.
_MIN_BATCH_PAUSE_S = 0.2
#: Ratio by which the largest recent read duration decays with each read.
_READ_DECAY = 0.9
#: Pause after a failed call, in seconds.
_RETRY_PAUSE_S = 0.3
#: Time in which operators and upstreams write again what an older copy of the store
#: lacks, in seconds. The store removes an upstream after three missed heartbeats.
RESTORE_GRACE_S = 5.0


def batch_pause_s(*, apply_within_s: float, read_s: float) -> float:
    """Return the pause after changes, before the next ones are read.

    A large configuration takes seconds to arrive on a slow link, and to be applied on
    a slow instance. The pause leaves that time.

    :param apply_within_s: Time within which a change must be applied, in seconds.
    :param read_s: Time to receive and apply changes, in seconds.
    """
    return max(_MIN_BATCH_PAUSE_S, apply_within_s - _BATCH_MARGIN_S - read_s)


class StoreWatch:
    """Updates the view with the records of the store.

    :param records: Shows what the store holds of the records of this daemon.
    :param apply_within_s: Time within which a change must be applied, in seconds.
    :param on_older_copy: Called once the view has the records of a store that has come
        back from an older copy.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        view: PlatformView,
        records: FleetRecords,
        apply_within_s: float,
        on_older_copy: Callable[[], None] = lambda: None,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._apply_within_s = apply_within_s
        #: Largest recent time to receive and apply changes, in seconds.
        self._read_s = 0.0
        self._store = store
        self._view = view
        self._records = records
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._outage_began_at_s: float | None = None
        self._watch_scope: trio.CancelScope | None = None
        self._on_older_copy = on_older_copy
        #: Boot-time clock until which the store may lack records after its return from
        #: an older copy, in seconds; None if a listing is complete.
        self._incomplete_until_s: float | None = None
        #: Boot-time clock of the last successful read of the store, in seconds.
        self.up_to_date_at_s = 0.0
        #: Set after the first complete read of the store.
        self.loaded = trio.Event()

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            snapshot = await self._store.list_prefix(_ALL_KEYS)
            match snapshot:
                case StoreFailure(problem=StoreProblem.PAST_ERA):
                    continue
                case StoreFailure():
                    self._record_failure(snapshot)
                    await trio.sleep(_RETRY_PAUSE_S)
                case Snapshot():
                    self._record_success()
                    self._apply_snapshot(snapshot)
                    self.loaded.set()
                    await self._apply_changes(snapshot.position)

    def begin_era(self, change: EraChange) -> None:
        """List all records again, as the store has come back from an older copy."""
        self._metrics.count("store_era_changes_total")
        self._metrics.set_gauge("store_era", change.current)
        now_s = self._clock()
        self._incomplete_until_s = now_s + RESTORE_GRACE_S
        self._events.warning(
            "store-era-changed",
            previous=change.previous,
            current=change.current,
            fresh_s=now_s - self.up_to_date_at_s,
            kept_s=RESTORE_GRACE_S,
        )
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        now_s = self._clock()
        self._records.replace(snapshot)
        if self._incomplete_until_s is None:
            self._view.apply_snapshot(snapshot, now_s=now_s)
        elif now_s < self._incomplete_until_s:
            self._view.apply_older_copy(snapshot, now_s=now_s)
            self._on_older_copy()
        else:
            self._incomplete_until_s = None
            self._view.apply_snapshot(snapshot, now_s=now_s)
            self._events.info("store-complete", revision=snapshot.revision)

    async def _apply_changes(self, position: WatchPosition) -> None:
        """Apply changes until the store must be listed again.

        That is the case when its history no longer covers the position, after
        `restart_watch`, and once records that an older copy lacks are written again.
        """
        while True:
            changes = await self._wait_for_changes(position)
            match changes:
                case None | StoreFailure(problem=StoreProblem.PAST_ERA):
                    return
                case StoreFailure(problem=StoreProblem.HISTORY_GONE):
                    self._events.info("store-history-gone", after=position.after)
                    return
                case StoreFailure():
                    self._record_failure(changes)
                    await trio.sleep(_RETRY_PAUSE_S)
                case ChangeSet():
                    self._record_success()
                    self._apply(changes)
                    position = changes.position
                    if changes.changes:
                        await trio.sleep(
                            batch_pause_s(
                                apply_within_s=self._apply_within_s,
                                read_s=self._read_s,
                            )
                        )

    def _apply(self, changes: ChangeSet) -> None:
        began_at_s = self._clock()
        self._records.apply(changes)
        # A slow instance takes long to decode a large configuration, so only the last
        # one of a burst is decoded.
        for change in changes.without_superseded(CONFIG_KEY):
            self._view.apply(change, now_s=self._clock())
        read_s = changes.transfer_s + self._clock() - began_at_s
        self._read_s = max(read_s, _READ_DECAY * self._read_s)

    async def _wait_for_changes(
        self, position: WatchPosition
    ) -> ChangeSet | StoreFailure | None:
        """Wait for changes, or return None if the store must be listed again."""
        wait_s = _WATCH_TIMEOUT_S
        if self._incomplete_until_s is not None:
            wait_s = min(wait_s, self._incomplete_until_s - self._clock())
            if wait_s <= 0:
                return None
        with trio.CancelScope() as self._watch_scope:
            return await self._store.watch(
                prefix=_ALL_KEYS, position=position, wait_s=wait_s
            )
        return None

    def restart_watch(self, failure: StoreFailure) -> None:
        """Cancel the current watch call and list all records again.

        After an outage, the store may never answer a watch call from before it.

        :param failure: Failure of another call to the store.
        """
        self._record_failure(failure)
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def _record_failure(self, failure: StoreFailure) -> None:
        self._metrics.count("store_failures_total", problem=failure.problem.value)
        if self._outage_began_at_s is None:
            self._outage_began_at_s = self._clock()
            self._events.warning(
                "store-lost",
                problem=failure.problem,
                detail=failure.detail,
                fresh_s=self._outage_began_at_s - self.up_to_date_at_s,
            )

    def _record_success(self) -> None:
        now_s = self._clock()
        self.up_to_date_at_s = now_s
        if self._outage_began_at_s is not None:
            self._events.info("store-regained", lost_s=now_s - self._outage_began_at_s)
            self._outage_began_at_s = None
            self._view.begin_lapse_grace(now_s=now_s)
