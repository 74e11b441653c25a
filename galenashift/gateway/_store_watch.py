"""Follows the platform's store and keeps this daemon registered there."""

from collections.abc import Callable

import trio

from galenashift.model import DaemonId
from galenashift.platform import (
    ChangeSet,
    LeaseId,
    PeerAddress,
    PlatformStore,
    Snapshot,
    StoreFailure,
    StoreProblem,
    StoreRevision,
    daemon_key,
    encode_daemon,
)
from galenashift.telemetry import EventLog, Metrics

from ._view import PlatformView

#: Everything in the store is followed by one watch.
_ALL_KEYS = ""
#: Longest wait of a watch, in seconds. Keep-alive probes notice a silent connection,
#: and renewals of the lease a silent store.
_WATCH_WAIT_S = 10.0
#: Time that the pause after changes leaves of the time within which they must be in
#: force, in seconds. Changes that follow come in one answer; each call is priced, at
#: every daemon of the fleet.
_GATHER_MARGIN_S = 1.3
#: Least pause after changes, in seconds.
_MIN_GATHER_S = 0.2
#: Pause after a failed call, in seconds.
_RETRY_S = 0.3
#: Lifetime of this daemon's registration without a renewal, in seconds.
_LEASE_S = 6.0
#: Time between renewals, in seconds.
_RENEWAL_S = 0.8


class StoreWatch:
    """Feeds the view with the store's records.

    :param in_force_s: Time within which a change must be in force, in seconds.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        view: PlatformView,
        in_force_s: float,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._gather_s = max(_MIN_GATHER_S, in_force_s - _GATHER_MARGIN_S)
        self._store = store
        self._view = view
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._lost_since_s: float | None = None
        self._wait: trio.CancelScope | None = None
        #: Boot-time clock at which the view was last known to be complete, in seconds.
        self.fresh_at_s = 0.0
        #: Set once the store has been read.
        self.loaded = trio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            snapshot = await self._store.list_prefix(_ALL_KEYS)
            match snapshot:
                case StoreFailure():
                    self._failed(snapshot)
                    await trio.sleep(_RETRY_S)
                case Snapshot():
                    self._succeeded()
                    self._view.apply_snapshot(snapshot, now_s=self._clock())
                    self.loaded.set()
                    await self._follow(snapshot.revision)

    async def _follow(self, revision: StoreRevision) -> None:
        """Apply changes until the history that is needed is gone."""
        while True:
            changes = await self._changes(revision)
            match changes:
                case None:
                    return
                case StoreFailure(problem=StoreProblem.HISTORY_GONE):
                    self._events.info("store-history-gone", after=revision)
                    return
                case StoreFailure():
                    self._failed(changes)
                    await trio.sleep(_RETRY_S)
                case ChangeSet():
                    self._succeeded()
                    for change in changes.changes:
                        self._view.apply(change, now_s=self._clock())
                    revision = changes.revision
                    if changes.changes:
                        await trio.sleep(self._gather_s)

    async def _changes(
        self, revision: StoreRevision
    ) -> ChangeSet | StoreFailure | None:
        """Wait for changes; None if the wait was given up."""
        with trio.CancelScope() as self._wait:
            return await self._store.watch(
                prefix=_ALL_KEYS, after=revision, wait_s=_WATCH_WAIT_S
            )
        return None

    def distrust(self, failure: StoreFailure) -> None:
        """Give up the present wait, which may never end, and list everything anew.

        :param failure: Failure of another call of the store.
        """
        self._failed(failure)
        if self._wait is not None:
            self._wait.cancel()

    def _failed(self, failure: StoreFailure) -> None:
        self._metrics.count("store_failures_total", problem=failure.problem.value)
        if self._lost_since_s is None:
            self._lost_since_s = self._clock()
            self._events.warning(
                "store-lost",
                problem=failure.problem,
                detail=failure.detail,
                fresh_s=self._lost_since_s - self.fresh_at_s,
            )

    def _succeeded(self) -> None:
        now_s = self._clock()
        self.fresh_at_s = now_s
        if self._lost_since_s is not None:
            self._events.info("store-regained", lost_s=now_s - self._lost_since_s)
            self._lost_since_s = None
            self._view.store_regained(now_s=now_s)


class Registration:
    """Registers this daemon for its peers as long as it lives."""

    def __init__(
        self,
        *,
        store: PlatformStore,
        daemon_id: DaemonId,
        peer: PeerAddress,
        on_failure: Callable[[StoreFailure], None],
        events: EventLog,
    ) -> None:
        self._store = store
        self._key = daemon_key(daemon_id)
        self._peer = peer
        self._on_failure = on_failure
        self._events = events
        self._lease: LeaseId | None = None
        self._ended = False

    async def run(self) -> None:
        """Keep the registration until `end` is called."""
        while not self._ended:
            if self._lease is None:
                await self._register()
            else:
                await self._renew(self._lease)
            await trio.sleep(_RENEWAL_S if self._lease is not None else _RETRY_S)

    async def _register(self) -> None:
        lease = await self._store.grant_lease(lifetime_s=_LEASE_S)
        if isinstance(lease, StoreFailure):
            return
        written = await self._store.put(
            key=self._key, value=encode_daemon(self._peer), lease=lease
        )
        if isinstance(written, StoreFailure):
            self._events.warning("registration-failed", detail=written.detail)
            return
        self._lease = lease
        self._events.info("registered", lease=lease)

    async def _renew(self, lease: LeaseId) -> None:
        failure = await self._store.renew_lease(lease)
        if failure is None:
            return
        self._on_failure(failure)
        if failure.problem is StoreProblem.NOT_FOUND:
            self._events.warning("registration-lapsed", lease=lease)
            self._lease = None

    async def end(self) -> None:
        """Withdraw the registration before a shutdown."""
        self._ended = True
        if self._lease is not None:
            failure = await self._store.end_lease(self._lease)
            if failure is not None:
                # The lease ends by itself.
                self._events.info("lease-not-ended", detail=failure.detail)
