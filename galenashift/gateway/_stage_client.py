"""Finds the daemon that gathers the pieces of a stage service."""

from collections.abc import Callable, Sequence

import trio

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId, Handle, ServiceName
from galenashift.telemetry import EventLog

from ._stage_job import StageJob
from ._stage_link import StageLink
from ._stage_outcome import StageFailed, StageOutcome, StageProblem
from ._stage_scheduler import StageScheduler
from ._times import ServiceTimes
from ._view import PlatformView

#: Time in which a daemon that did not answer gathers nothing for this one, in seconds.
_SUSPECT_S = 5.0
#: Capacity of a daemon that gathers, as a part of the largest.
_CAPACITY_PART = 0.7
#: Daemons that are asked in turn for one job before this one makes it itself.
_MAX_PEERS = 2


class StageClient:
    """Sends each job to the daemon that ranks first for its service.

    Daemons that know different peers may choose different ones. This costs calls
    that are less full, and nothing else.

    :param daemon_id: This daemon.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        view: PlatformView,
        scheduler: StageScheduler,
        events: EventLog,
        times: ServiceTimes,
        clock: Callable[[], float],
    ) -> None:
        self._times = times
        self._daemon_id = daemon_id
        self._view = view
        self._scheduler = scheduler
        self._events = events
        self._clock = clock
        self._links_by_id: dict[DaemonId, StageLink] = {}
        self._suspect_until_s: dict[DaemonId, float] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Keep links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def make(self, *, service: ServiceName, job: StageJob) -> StageOutcome:
        """Make a job at the daemon that gathers for its service."""
        for _ in range(_MAX_PEERS):
            gatherer = self._gatherer(service)
            if gatherer == self._daemon_id:
                break
            outcome = await self._link(gatherer).make(service=service, job=job)
            if outcome != StageFailed(problem=StageProblem.UNREACHABLE):
                return outcome
            self._suspect(gatherer)
        outcome = await self._scheduler.make(service=service, job=job)
        wait = self._scheduler.expected_wait(service)
        if wait is not None:
            self._times.record_wait(service, wait, now_s=self._clock())
        return outcome

    def release(self, service: ServiceName, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any more."""
        gatherer = self._gatherer(service)
        if gatherer == self._daemon_id:
            self._scheduler.release(handles)
        else:
            self._link(gatherer).release(handles)

    def _gatherer(self, service: ServiceName) -> DaemonId:
        """Choose the daemon that gathers, among those with the most capacity."""
        now_s = self._clock()
        capacity_by_id = {
            daemon_id: peer.capacity
            for daemon_id, peer in self._view.peers_by_id.items()
            if self._suspect_until_s.get(daemon_id, 0.0) <= now_s
        }
        least = _CAPACITY_PART * max(capacity_by_id.values(), default=0.0)
        able = [
            daemon_id
            for daemon_id, capacity in capacity_by_id.items()
            if capacity >= least
        ]
        ranked = rank_daemons(key=service, daemons=able, count=1)
        return ranked[0] if ranked else self._daemon_id

    def _link(self, peer: DaemonId) -> StageLink:
        address = self._view.peers_by_id[peer].address
        link = self._links_by_id.get(peer)
        if link is None or link.broken or link.address != address:
            link = StageLink(
                peer=peer, address=address, clock=self._clock, times=self._times
            )
            self._links_by_id[peer] = link
            assert self._nursery is not None
            self._nursery.start_soon(link.run)
        return link

    def _suspect(self, peer: DaemonId) -> None:
        self._suspect_until_s[peer] = self._clock() + _SUSPECT_S
        self._events.warning("peer-unreachable", peer=peer, suspect_s=_SUSPECT_S)
