"""The upstreams of a stage service that accept calls."""

from collections.abc import Sequence

from galenashift.model import PieceLimits, RegisteredUpstream, ServiceName

from ._rollout_calls import RolloutCalls
from ._stage_job import Worker
from ._stage_queue import StageQueue
from ._stage_upstream import StageUpstreams
from ._upstream_limits import UpstreamLimiter
from ._upstream_registry import KnownUpstream
from ._view import PlatformView


class StageWorkers:
    """Lists upstreams for the planning of calls, and estimates what they can do."""

    def __init__(
        self,
        *,
        view: PlatformView,
        upstreams: StageUpstreams,
        limiter: UpstreamLimiter,
        rollouts: RolloutCalls,
    ) -> None:
        self._view = view
        self._upstreams = upstreams
        self._limiter = limiter
        self._rollouts = rollouts

    def callable(self, service: ServiceName, *, now_s: float) -> list[KnownUpstream]:
        """List the upstreams that accept calls, now or later.

        Those that failed just before or are shutting down are left out.

        :param now_s: Boot-time clock, in seconds.
        """
        known = self._view.available_upstreams(service, now_s=now_s)
        return [
            each
            for each in known
            if not self._is_backed_off(each.registration, now_s)
            and not self._limiter.is_draining(each.registration)
        ]

    def capacity(
        self, upstreams: Sequence[KnownUpstream], queue: StageQueue, *, now_s: float
    ) -> float:
        """Return the number of upstreams, less the pauses that they impose.

        :param now_s: Boot-time clock, in seconds.
        """
        call_s = queue.call_duration_s(queue.limits.batch)
        registrations = [
            each.registration
            for each in upstreams
            if not self._limiter.wants_none(each.registration, now_s=now_s)
        ]
        return sum(self._call_rate(each, call_s, now_s) for each in registrations)

    def _call_rate(
        self, upstream: RegisteredUpstream, call_s: float, now_s: float
    ) -> float:
        """Return the part of the time for which an upstream can be called."""
        weight = self._rollouts.call_weight(upstream)
        status = self._limiter.status(upstream, now_s=now_s)
        return weight if status is None else min(weight, status.share_per_s * call_s)

    def wait_s(self, service: ServiceName, *, now_s: float) -> float:
        """Return the time until an upstream permits a call, in seconds.

        :param now_s: Boot-time clock, in seconds.
        :returns: Infinity if all of them are shutting down, and 0 if there are none.
        """
        known = self._view.available_upstreams(service, now_s=now_s)
        waits_s = [
            self._limiter.wait_s(each.registration, now_s=now_s) for each in known
        ]
        return min(waits_s, default=0.0)

    def snapshot(
        self, service: ServiceName, limits: PieceLimits, *, now_s: float
    ) -> list[Worker]:
        """Return the state of each callable upstream.

        :param now_s: Boot-time clock, in seconds.
        """
        offered = self._rollouts.offered(
            service,
            self.callable(service, now_s=now_s),
            is_idle=lambda each: (
                not self._upstreams.state(each.registration.upstream_id).busy
            ),
        )
        return [self._worker(each.registration, limits, now_s) for each in offered]

    def _is_backed_off(self, upstream: RegisteredUpstream, now_s: float) -> bool:
        state = self._upstreams.state(upstream.upstream_id)
        return now_s < state.backoff_until_s and not state.busy

    def _worker(
        self, upstream: RegisteredUpstream, limits: PieceLimits, now_s: float
    ) -> Worker:
        state = self._upstreams.state(upstream.upstream_id)
        free_at_s = state.free_at_s if state.busy else now_s
        permit_wait_s = self._limiter.wait_s(upstream, now_s=now_s)
        return Worker(
            upstream_id=upstream.upstream_id,
            domain=upstream.failure_domain,
            free_at_s=max(free_at_s, now_s + permit_wait_s),
            busy=state.busy or permit_wait_s > 0,
            slowness=state.expected_slowness(
                nominal_s=limits.call_overhead_s, now_s=now_s
            ),
            free_bytes=state.free_bytes(limits, now_s=now_s),
        )
