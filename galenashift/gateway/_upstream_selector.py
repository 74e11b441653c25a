"""Selects an upstream for a request, and waits for one that can accept it."""

from collections.abc import Callable, Sequence

import trio

from galenashift.limits import LARGE_BODY_THRESHOLD_BYTES, SizeTurns
from galenashift.model import ServiceName

from ._request import ActiveRequest
from ._rollout_requests import RolloutRequests
from ._router import Choice, LimitWait, Router, prefix_key
from ._upstream_registry import KnownUpstream
from ._view import PlatformView

#: Longest wait for an eligible upstream, as a ratio of the route's latency goal.
_UPSTREAM_WAIT_RATIO = 0.125
#: Time between two checks for an eligible upstream, in seconds.
_POLL_INTERVAL_S = 0.02
#: Most of a pause between two checks that counts as waiting, in seconds. More of it is
#: the delay of a busy process, in which no room could be seen.
_MAX_COUNTED_PAUSE_S = 0.025


#: A service, and the rank of the requests that compete for its capacity.
_CapacityKey = tuple[ServiceName, int]


def counted_pause_s(pause_s: float, *, large: bool) -> float:
    """Return how much of a pause between two checks counts as waiting, in seconds.

    A busy process checks too seldom to see the room that small requests are left. A
    large body holds memory meanwhile, so it is refused after the time that has passed.

    :param pause_s: Time since the last check, in seconds.
    """
    return pause_s if large else min(pause_s, _MAX_COUNTED_PAUSE_S)


class UpstreamSelector:
    """Applies the router to the upstreams that the request was not sent to yet.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        router: Router,
        rollouts: RolloutRequests,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._rollouts = rollouts
        self._router = router
        self._clock = clock
        self._turns: SizeTurns[_CapacityKey] = SizeTurns()

    async def wait(self, job: ActiveRequest) -> Choice | None:
        """Select an upstream, or None if none is eligible in time.

        It is not waited for if the rate limits of all upstreams last longer. While
        small requests wait, those with large bodies leave them what becomes free.
        """
        large = len(job.request.body) > LARGE_BODY_THRESHOLD_BYTES
        if not (large and self._must_yield(job)):
            choice = self.choose(job)
            if choice is not None:
                if large and _takes_turns(job):
                    self._turns.record_taken(_capacity_key(job), large=True)
                return choice
        if not _takes_turns(job):
            return await self._check_until_late(job, large=large)
        key = _capacity_key(job)
        self._turns.begin_wait(key, large=large)
        try:
            choice = await self._check_until_late(job, large=large)
            if choice is not None:
                self._turns.record_taken(key, large=large)
            return choice
        finally:
            self._turns.end_wait(key, large=large)

    def _must_yield(self, job: ActiveRequest) -> bool:
        """Tell whether a request with a large body leaves what is free to others."""
        return _takes_turns(job) and not self._turns.may_take(
            _capacity_key(job), large=True
        )

    async def _check_until_late(
        self, job: ActiveRequest, *, large: bool
    ) -> Choice | None:
        """Check again and again until the time for that is over."""
        left_s = _UPSTREAM_WAIT_RATIO * job.route.latency_goal_s
        now_s = self._clock()
        while left_s > 0:
            limit_wait = self.limit_wait(job)
            if limit_wait is not None and limit_wait.here_s > left_s:
                return None
            await trio.sleep(_POLL_INTERVAL_S)
            checked_at_s, now_s = now_s, self._clock()
            left_s -= counted_pause_s(now_s - checked_at_s, large=large)
            if not (large and self._must_yield(job)):
                choice = self.choose(job)
                if choice is not None:
                    return choice
        return None

    def choose(self, job: ActiveRequest) -> Choice | None:
        """Select an upstream that can accept the request now, or None."""
        now_s = self._clock()
        return self.choose_among(job, self.candidates(job, now_s=now_s), now_s=now_s)

    def candidates(
        self, job: ActiveRequest, *, now_s: float
    ) -> Sequence[KnownUpstream]:
        """List the upstreams that the request may be sent to, also if not now.

        :param now_s: Boot-time clock, in seconds.
        """
        return self._view.available_upstreams(job.service, now_s=now_s)

    def choose_among(
        self, job: ActiveRequest, candidates: Sequence[KnownUpstream], *, now_s: float
    ) -> Choice | None:
        """Select one of some candidates that can accept the request now, or None.

        :param now_s: Boot-time clock, in seconds.
        """
        parts = job.fields.prompt_parts if job.route.prefix_cached else ()
        for group in self._rollouts.candidate_groups(job, candidates):
            choice = self._router.choose(
                candidates=group,
                excluded=job.tried | job.unreachable,
                prefix_key=prefix_key(parts),
                daemon_count=self._view.daemon_count,
                tokens=job.fields.tokens,
                now_s=now_s,
            )
            if choice is not None:
                return choice
        return None

    def count_eligible(
        self, job: ActiveRequest, candidates: Sequence[KnownUpstream], *, now_s: float
    ) -> int:
        """Return how many of some candidates can accept the request now.

        :param now_s: Boot-time clock, in seconds.
        """
        eligibility = self._router.eligibility(
            excluded=(),
            tokens=job.fields.tokens,
            daemon_count=self._view.daemon_count,
            now_s=now_s,
        )
        return sum(1 for _ in eligibility.eligible(candidates))

    def limit_wait(self, job: ActiveRequest) -> LimitWait | None:
        """Return how long rate limits hold the request back, if all upstreams do."""
        now_s = self._clock()
        return self._router.limit_wait(
            candidates=self.candidates(job, now_s=now_s),
            excluded=job.tried | job.unreachable,
            now_s=now_s,
        )


def _capacity_key(job: ActiveRequest) -> _CapacityKey:
    return job.service, job.rank


def _takes_turns(job: ActiveRequest) -> bool:
    """Tell whether a request goes by its size: one without any work done for it yet."""
    return not (job.tried or job.unreachable or job.route.stages)
