"""Starts the stages of requests whose routes have some."""

from collections.abc import Callable

from galenashift.model import FailureDomainName, OrganisationId

from ._request import ActiveRequest
from ._stage_outcome import StageFailed
from ._stage_rooms import StageRooms
from ._stage_run import StagedRequest, StageExecutor, StageRun
from ._times import ServiceLatencies
from ._upstream_selector import UpstreamSelector
from ._view import PlatformView


class StagedRequests:
    """Creates the run of the stages of a request.

    :param selector: Selects the upstream that will probably read the results.
    :param executor: Executes the stages.
    :param rooms: Reserves memory for the stages; None to start without.
    :param latencies: Expected waits at the stages and times to the first byte.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        selector: UpstreamSelector,
        executor: StageExecutor,
        rooms: StageRooms | None,
        latencies: ServiceLatencies,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._selector = selector
        self._executor = executor
        self._rooms = rooms
        self._latencies = latencies
        self._clock = clock

    def new_run(self, job: ActiveRequest, *, since_s: float) -> StageRun:
        """Return the run of a request's stages; none of them has started yet.

        :param since_s: Boot-time clock since which the caller has waited for an event,
            in seconds.
        """
        return StageRun(
            route=job.route,
            config=job.config,
            request=self._staged_request(job, since_s),
            executor=self._executor,
            find_domain=self._view.domain_with_most_bytes,
            expected_wait=lambda service: self._latencies.wait(
                service, now_s=self._clock()
            ),
            clock=self._clock,
        )

    async def reserve(self, job: ActiveRequest, run: StageRun) -> StageFailed | None:
        """Wait until the memory of a run's stages is reserved.

        :returns: Why the run must not start, or None.
        """
        if self._rooms is None or not any(job.fields.piece_counts):
            return None
        reserved = await self._rooms.reserve(
            run.room_request(self._rooms.new_id()), request_id=job.request_id
        )
        if isinstance(reserved, StageFailed):
            return reserved
        run.reservation = reserved
        return None

    def _staged_request(self, job: ActiveRequest, since_s: float) -> StagedRequest:
        return StagedRequest(
            attempt_id=job.fields.attempt_id,
            piece_counts=job.fields.piece_counts,
            piece_key=job.fields.piece_key,
            organisation_id=job.organisation_id or OrganisationId(""),
            rank=job.route.rank,
            due_s=since_s + job.route.latency_goal_s,
            deadline_s=min(job.deadline_s, since_s + job.route.silence_timeout_s),
            first_byte_s=self._latencies.first_byte_s(job.service),
            domain=self._likely_domain(job),
        )

    def _likely_domain(self, job: ActiveRequest) -> FailureDomainName | None:
        """Return the failure domain in which the request would run if sent now."""
        choice = self._selector.choose(job)
        return None if choice is None else choice.upstream.registration.failure_domain
