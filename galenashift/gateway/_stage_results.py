"""Tracks the results that stage upstreams store, and frees them."""

from collections.abc import Callable, Sequence

import trio

from galenashift.model import Handle, ServiceName, UpstreamId
from galenashift.platform import FREE_PATH, encode_free, handle_address
from galenashift.telemetry import EventLog

from ._exchange import Exchanger, ExchangeTimeouts
from ._outcomes import Answered
from ._stage_upstream import StageUpstreams, stage_request
from ._upstream_limits import UpstreamLimiter
from ._upstream_registry import KnownUpstream
from ._view import PlatformView

#: Time in which results are collected for one call that frees them, in seconds.
_COLLECT_S = 0.02
#: Time after a failed call that frees results until it is repeated, in seconds.
_FREE_RETRY_S = 0.1
#: Number of calls that try to free a result.
_FREE_ATTEMPTS = 2
#: Timeout of a call that frees results, in seconds.
_FREE_TIMEOUT_S = 0.5


class StageResults:
    """Tracks the results stored by each upstream and frees those no longer needed.

    :param on_freed: Called with the service after one of its upstreams freed results.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        upstreams: StageUpstreams,
        view: PlatformView,
        exchanger: Exchanger,
        limiter: UpstreamLimiter,
        events: EventLog,
        on_freed: Callable[[ServiceName], None],
        clock: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._view = view
        self._exchanger = exchanger
        self._limiter = limiter
        self._events = events
        self._on_freed = on_freed
        self._clock = clock
        self._owner_by_handle: dict[Handle, UpstreamId] = {}
        self._pending_frees: list[Handle] = []
        self._released = trio.Event()

    def add(
        self, handle: Handle, upstream_id: UpstreamId, *, size: int, expires_s: float
    ) -> None:
        """Record a stored result.

        :param size: Size of the result, in bytes.
        :param expires_s: Boot-time clock at which the result expires, in seconds.
        """
        self._upstreams.state(upstream_id).results[handle] = (size, expires_s)
        self._owner_by_handle[handle] = upstream_id

    def release(self, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any longer."""
        self._pending_frees += handles
        self._released.set()

    def drop_expired(self, *, now_s: float) -> None:
        """Drop expired results from the records.

        :param now_s: Boot-time clock, in seconds.
        """
        for state in self._upstreams.states():
            for handle, (_, expires_s) in list(state.results.items()):
                if expires_s <= now_s:
                    del state.results[handle]
                    self._owner_by_handle.pop(handle, None)

    async def run(self, nursery: trio.Nursery) -> None:
        """Free results until cancelled."""
        while True:
            await self._released.wait()
            await trio.sleep(_COLLECT_S)
            self._released = trio.Event()
            handles, self._pending_frees = self._pending_frees, []
            by_upstream: dict[UpstreamId, list[Handle]] = {}
            for handle in handles:
                owner = self._owner_by_handle.pop(handle, None) or self._find_owner(
                    handle
                )
                if owner is not None:
                    by_upstream.setdefault(owner, []).append(handle)
            for upstream_id, owned in by_upstream.items():
                nursery.start_soon(self._free, upstream_id, owned)

    def _find_owner(self, handle: Handle) -> UpstreamId | None:
        """Return the upstream of a result that was recorded at another daemon."""
        address = handle_address(handle)
        known = self._view.find_by_address(address)
        return None if known is None else known.registration.upstream_id

    def _may_free(self, upstream: KnownUpstream) -> bool:
        """Tell whether a call to free results needs no permit that a stage waits for.

        The upstream frees its results itself when they expire.
        """
        return self._limiter.wait_s(upstream.registration, now_s=self._clock()) <= 0

    async def _free(self, upstream_id: UpstreamId, handles: list[Handle]) -> None:
        for attempt in range(_FREE_ATTEMPTS):
            if attempt:
                await trio.sleep(_FREE_RETRY_S)
            upstream = self._view.find(upstream_id)
            if upstream is None or not self._may_free(upstream):
                return
            if await self._call_free(upstream, handles):
                results = self._upstreams.state(upstream_id).results
                for handle in handles:
                    results.pop(handle, None)
                self._on_freed(upstream.registration.service)
                return

    async def _call_free(self, upstream: KnownUpstream, handles: list[Handle]) -> bool:
        # Only an answer about work tells how much work the upstream accepts.
        request = stage_request(
            upstream, path=FREE_PATH, body=encode_free(handles), ends_limit=False
        )
        outcome = await self._exchanger.exchange(
            upstream=upstream.registration,
            request=request,
            timeouts=ExchangeTimeouts(
                first_byte_s=_FREE_TIMEOUT_S, event_gap_s=_FREE_TIMEOUT_S
            ),
        )
        state = self._upstreams.state(upstream.registration.upstream_id)
        state.record_outcome(outcome, now_s=self._clock())
        if isinstance(outcome, Answered):
            return True
        # Results that are never freed occupy memory until they expire.
        self._events.info(
            "stage-results-not-freed",
            upstream=upstream.registration.upstream_id,
            results=len(handles),
            outcome=type(outcome).__name__,
        )
        return False
