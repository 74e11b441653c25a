"""Results that stage upstreams keep, and their release."""

from collections.abc import Callable, Sequence

import trio

from galenashift.model import Handle, ServiceName, UpstreamId
from galenashift.platform import FREE_PATH, encode_free, handle_address
from galenashift.telemetry import EventLog

from ._exchange import Answered, Exchanger, Waits
from ._stage_upstream import StageUpstreams, stage_request
from ._view import PlatformView

#: Time over which results to be freed are collected, in seconds.
_FREE_DELAY_S = 0.05
#: Time for a call that frees results, in seconds.
_FREE_TIMEOUT_S = 0.5


class StageResults:
    """Counts the results of each upstream and frees those that nobody needs.

    :param on_freed: Called when an upstream of a service has room again.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        upstreams: StageUpstreams,
        view: PlatformView,
        exchanger: Exchanger,
        events: EventLog,
        on_freed: Callable[[ServiceName], None],
        clock: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._view = view
        self._exchanger = exchanger
        self._events = events
        self._on_freed = on_freed
        self._clock = clock
        self._owner_by_handle: dict[Handle, UpstreamId] = {}
        self._to_free: list[Handle] = []

    def add(
        self, handle: Handle, upstream_id: UpstreamId, *, size: int, ends_s: float
    ) -> None:
        """Count a result.

        :param size: Bytes.
        :param ends_s: Boot-time clock at the end of its life, in seconds.
        """
        self._upstreams.of(upstream_id).results[handle] = (size, ends_s)
        self._owner_by_handle[handle] = upstream_id

    def release(self, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any more."""
        self._to_free += handles

    def drop_expired(self, *, now_s: float) -> None:
        """Forget results whose life has ended.

        :param now_s: Boot-time clock, in seconds.
        """
        for state in self._upstreams.all():
            for handle, (_, ends_s) in list(state.results.items()):
                if ends_s <= now_s:
                    del state.results[handle]
                    self._owner_by_handle.pop(handle, None)

    async def run(self, nursery: trio.Nursery) -> None:
        """Free results until cancelled."""
        while True:
            await trio.sleep(_FREE_DELAY_S)
            handles, self._to_free = self._to_free, []
            by_upstream: dict[UpstreamId, list[Handle]] = {}
            for handle in handles:
                owner = self._owner_by_handle.pop(handle, None) or self._owner(handle)
                if owner is not None:
                    by_upstream.setdefault(owner, []).append(handle)
            for upstream_id, each in by_upstream.items():
                nursery.start_soon(self._free, upstream_id, each)

    def _owner(self, handle: Handle) -> UpstreamId | None:
        """Find the maker of a result that another daemon has gathered."""
        address = handle_address(handle)
        known = self._view.find_address(address)
        return None if known is None else known.registration.upstream_id

    async def _free(self, upstream_id: UpstreamId, handles: list[Handle]) -> None:
        upstream = self._view.find(upstream_id)
        if upstream is None:
            return
        request = stage_request(upstream, path=FREE_PATH, body=encode_free(handles))
        outcome = await self._exchanger.exchange(
            upstream=upstream.registration,
            request=request,
            waits=Waits(first_s=_FREE_TIMEOUT_S, gap_s=_FREE_TIMEOUT_S),
        )
        if not isinstance(outcome, Answered):
            # The upstream frees the results itself at the end of their lifetime.
            self._events.info(
                "stage-results-not-freed",
                upstream=upstream_id,
                results=len(handles),
                outcome=type(outcome).__name__,
            )
            return
        results = self._upstreams.of(upstream_id).results
        for handle in handles:
            results.pop(handle, None)
        self._on_freed(upstream.registration.service)
