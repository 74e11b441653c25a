"""Polls the instance list, load reports and the health of suspect upstreams."""

import json
from collections.abc import Awaitable, Callable

import trio

from galenashift.model import (
    EventKind,
    Failure,
    Incarnation,
    LoadReport,
    Upstream,
    UpstreamId,
    boot_time_s,
)

from ._directory import Directory
from ._events import FleetEventEmitter
from ._probe import Reachability, parse_state, probe_health
from ._transport import NETWORK_ERRORS, ConnectionRefused, Transport

#: Seconds between polls of the instance list and of each load report.
POLL_INTERVAL_S = 1.0

#: Maximum number of concurrent load polls. At the target size a daemon polls about
#: 13 upstreams per second, and each that hangs occupies a slot until the timeout.
MAX_CONCURRENT_POLLS = 16

#: Largest load report, in bytes; stand-in services send about 150.
MAX_REPORT_BYTES = 2048

_POLL_TIMEOUT_S = 1.0

FetchList = Callable[[], Awaitable[tuple[Upstream, ...] | Failure | None]]


def parse_load(
    *, data: bytes, upstream: Upstream, requested_at_s: float
) -> LoadReport | None:
    """Parse a load report; None if it is invalid or of another upstream.

    :param requested_at_s: Time on the clock, in seconds, just before the request.
    """
    try:
        value = json.loads(data)
        state = parse_state(str(value["state"]))
        if state is None or value["id"] != upstream.upstream_id:
            return None
        return LoadReport(
            upstream_id=upstream.upstream_id,
            incarnation=Incarnation(int(value["incarnation"])),
            state=state,
            running=max(0, int(value["running"])),
            queued=max(0, int(value["queued"])),
            slots=max(1, int(value["slots"])),
            bears=max(0, int(value["bears"])),
            as_of_s=requested_at_s - max(0.0, float(value.get("age_s", 0.0))),
        )
    except (ValueError, TypeError, KeyError):
        return None


class Poller:
    """Updates the directory, and emits events for upstreams that turn cold or crash.

    :param fetch_list: Fetches the instance list; returns None if it is unchanged.
    :param is_assigned: Returns whether this daemon polls an upstream, which it does if
        it ranks first or second for it.
    :param on_list_changed: Called after the directory has adopted a changed list.
    :param on_report: Called with each polled load report, to gossip it.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        transport: Transport,
        events: FleetEventEmitter,
        fetch_list: FetchList,
        is_assigned: Callable[[UpstreamId], bool],
        on_list_changed: Callable[[tuple[Upstream, ...]], Awaitable[None]]
        | None = None,
        on_report: Callable[[LoadReport], object] = lambda report: None,
        clock: Callable[[], float] = boot_time_s,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._directory = directory
        self._transport = transport
        self._events = events
        self._fetch_list = fetch_list
        self._is_assigned = is_assigned
        self._on_list_changed = on_list_changed
        self._on_report = on_report
        self._clock = clock
        self._interval_s = interval_s
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_POLLS)
        #: Upstreams whose crash has been reported and that have not answered since.
        self._reported_crashes: set[UpstreamId] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, self.poll_list)
            nursery.start_soon(self._repeat, self.poll_loads)
            nursery.start_soon(self._repeat, self.probe_suspects)

    async def poll_list(self) -> None:
        """Fetch the instance list once."""
        requested_at_s = self._clock()
        listed = await self._fetch_list()
        match listed:
            case Failure():
                self._directory.record_list_failure(sent_at_s=requested_at_s)
            case None:
                self._directory.confirm_list(as_of_s=requested_at_s)
            case _:
                self._directory.replace_list(upstreams=listed, as_of_s=requested_at_s)
                self._reported_crashes &= {each.upstream_id for each in listed}
                if self._on_list_changed is not None:
                    await self._on_list_changed(listed)

    async def poll_loads(self) -> None:
        """Fetch the load report of each upstream that this daemon polls, once."""
        async with trio.open_nursery() as nursery:
            for upstream in self._directory.upstreams():
                if self._is_assigned(upstream.upstream_id):
                    await self._limiter.acquire_on_behalf_of(upstream)
                    nursery.start_soon(self._poll_load, upstream)

    async def probe_suspects(self) -> None:
        """Probe each suspect upstream once."""
        for upstream in self._directory.suspects():
            probe = await probe_health(transport=self._transport, upstream=upstream)
            if probe.reachability is Reachability.ANSWERED:
                self._directory.probe_succeeded(upstream_id=upstream.upstream_id)

    async def _repeat(self, poll: Callable[[], Awaitable[None]]) -> None:
        while True:
            started_at_s = self._clock()
            await poll()
            elapsed_s = self._clock() - started_at_s
            await trio.sleep(max(0.0, self._interval_s - elapsed_s))

    async def _poll_load(self, upstream: Upstream) -> None:
        try:
            requested_at_s = self._clock()
            data = await self._read_load(upstream)
            if data is not None:
                self._apply_load(upstream, data, requested_at_s)
        finally:
            self._limiter.release_on_behalf_of(upstream)

    async def _read_load(self, upstream: Upstream) -> bytes | None:
        try:
            return await self._transport.get(
                upstream=upstream,
                path="/v1/load",
                timeout_s=_POLL_TIMEOUT_S,
                limit_bytes=MAX_REPORT_BYTES,
            )
        except NETWORK_ERRORS as error:
            if isinstance(error, ConnectionRefused):
                self._record_refused_connection(upstream)
            return None

    def _record_refused_connection(self, upstream: Upstream) -> None:
        upstream_id = upstream.upstream_id
        incarnation = self._directory.incarnation_of(upstream_id=upstream_id)
        # An upstream that has never answered may still be starting.
        if (
            incarnation
            and upstream_id not in self._reported_crashes
            and not upstream.leaving
        ):
            self._reported_crashes.add(upstream_id)
            self._events.emit(
                kind=EventKind.UPSTREAM_CRASHED,
                upstream=upstream,
                incarnation=incarnation,
            )

    def _apply_load(
        self, upstream: Upstream, data: bytes, requested_at_s: float
    ) -> None:
        report = parse_load(data=data, upstream=upstream, requested_at_s=requested_at_s)
        if report is None:
            return
        crash_reported = upstream.upstream_id in self._reported_crashes
        self._reported_crashes.discard(upstream.upstream_id)
        self._on_report(report)
        kind = self._directory.apply_report(report=report)
        if kind is EventKind.UPSTREAM_CRASHED and crash_reported:
            # The refused connection has already been reported as a crash.
            kind = EventKind.UPSTREAM_COLD
        if kind is not None:
            self._events.emit(
                kind=kind, upstream=upstream, incarnation=report.incarnation
            )
