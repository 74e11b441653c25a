"""Routes stage jobs to the batching daemon of their service."""

from collections.abc import Awaitable, Callable, Sequence

import trio

from galenashift.model import DaemonId, Handle, ServiceName
from galenashift.telemetry import EventLog

from ._batching_peers import SUSPECT_S, BatchingPeers
from ._stage_job import StageJob
from ._stage_link import OnDirective, StageLink
from ._stage_outcome import StageFailed, StageOutcome, StageProblem
from ._stage_scheduler import StageScheduler
from ._times import ServiceLatencies
from ._view import PlatformView

#: Number of peers tried for a job before this daemon executes it itself.
_MAX_PEER_ATTEMPTS = 2


#: Runs a named task so that an exception does not reach the other tasks.
Isolate = Callable[[str, Callable[[], Awaitable[None]]], Awaitable[None]]


class StageClient:
    """Sends each job to the daemon that ranks first for its service.

    Daemons with different views of their peers may choose different daemons. The only
    effect is that calls contain fewer pieces.

    :param daemon_id: This daemon.
    :param isolate: Runs each link.
    :param clock: Boot-time clock.
    :param keeps_lapsed: Whether a daemon batches on for those that have an open link to
        it when its registration lapses.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        view: PlatformView,
        scheduler: StageScheduler,
        events: EventLog,
        latencies: ServiceLatencies,
        isolate: Isolate,
        clock: Callable[[], float],
        keeps_lapsed: bool = False,
    ) -> None:
        self._isolate = isolate
        self._latencies = latencies
        self._daemon_id = daemon_id
        self._view = view
        self._scheduler = scheduler
        self._events = events
        self._clock = clock
        self._links_by_id: dict[DaemonId, StageLink] = {}
        self._peers = BatchingPeers(
            keeps_lapsed=keeps_lapsed, has_open_link=self._has_open_link
        )
        self._nursery: trio.Nursery | None = None
        #: Receives directives on rollouts; None to ignore them.
        self.on_rollout_directive: OnDirective | None = None

    async def run(self) -> None:
        """Run the links to peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def execute(self, *, service: ServiceName, job: StageJob) -> StageOutcome:
        """Execute a job at the batching daemon of its service."""
        for _ in range(_MAX_PEER_ATTEMPTS):
            daemon = self._batching_daemon(service)
            if daemon == self._daemon_id:
                break
            outcome = await self._link(daemon).execute(service=service, job=job)
            if outcome != StageFailed(problem=StageProblem.UNREACHABLE):
                return outcome
            self.mark_suspect(daemon)
        outcome = await self._scheduler.execute(service=service, job=job)
        wait = self._scheduler.expected_wait(service)
        if wait is not None:
            self._latencies.record_wait(service, wait, now_s=self._clock())
        return outcome

    def release(self, service: ServiceName, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any longer."""
        daemon = self._batching_daemon(service)
        if daemon == self._daemon_id:
            self._scheduler.release(handles)
        else:
            self._link(daemon).release(handles)

    def first_link(self, key: str) -> StageLink | None:
        """Return the link to the daemon that ranks first, or None if it is this one.

        :param key: Any text.
        """
        daemon = self._batching_daemon(key)
        return None if daemon == self._daemon_id else self._link(daemon)

    def mark_suspect(self, peer: DaemonId) -> None:
        """Leave out for some time a daemon that did not answer, or declined a job.

        A daemon that shuts down declines jobs with the same outcome.
        """
        self._peers.mark_suspect(peer, now_s=self._clock())
        self._events.warning("peer-unreachable", peer=peer, suspect_s=SUSPECT_S)

    def _batching_daemon(self, key: str) -> DaemonId:
        """Choose the daemon that batches.

        :param key: Name of the service.
        """
        registered = self._view.peers_by_id
        chosen = self._peers.choose(key, registered, now_s=self._clock())
        return self._daemon_id if chosen is None else chosen

    def _has_open_link(self, peer: DaemonId) -> bool:
        link = self._links_by_id.get(peer)
        return link is not None and link.is_open

    def open_link(self, peer: DaemonId) -> StageLink | None:
        """Return the link to a daemon, or None if it is not registered."""
        if self._nursery is None or peer not in self._view.peers_by_id:
            return None
        return self._link(peer)

    def _link(self, peer: DaemonId) -> StageLink:
        link = self._links_by_id.get(peer)
        registered = self._view.peers_by_id.get(peer)
        if registered is None:
            # Only a daemon whose link is open is chosen without a registration.
            assert link is not None
            return link
        address = registered.address
        if link is None or link.broken or link.address != address:
            link = StageLink(
                peer=peer,
                address=address,
                clock=self._clock,
                latencies=self._latencies,
                on_rollout_directive=self.on_rollout_directive,
            )
            self._links_by_id[peer] = link
            assert self._nursery is not None
            self._nursery.start_soon(self._isolate, "stage-link", link.run)
        # Also for an existing link: the record of a suspected peer was removed.
        self._peers.record_link(peer, registered)
        return link
