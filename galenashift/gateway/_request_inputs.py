"""The stage results that a request is sent with."""

from collections.abc import Callable
from enum import Enum

from galenashift.model import Handle
from galenashift.telemetry import EventLog, Metrics

from ._outcomes import Outcome, Refused
from ._request import ActiveRequest
from ._stage_outcome import StageFailed
from ._stage_run import RETRYABLE_PROBLEMS, StageRun
from ._staged_requests import StagedRequests

#: Status of an upstream that did not execute a request because an input is gone.
_INPUT_GONE = 409


class InputLoss(Enum):
    """Why the inputs of a request are made again."""

    #: They were freed at the first event of a stream that was broken off later.
    RELEASED = "released"
    #: An upstream reported that one is gone.
    GONE = "gone"
    #: They were stored for longer than stage upstreams retain results.
    EXPIRED = "expired"


class RequestInputs:
    """Makes the inputs of one request, and makes them again if they are lost.

    The repeated stages and the send that follows are one retry of the request; the
    retry policy counts it before the stages run.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        job: ActiveRequest,
        staged: StagedRequests,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._job = job
        self._staged = staged
        self._events = events
        self._metrics = metrics
        self._clock = clock
        #: The run whose results are stored; None before it and after their release.
        self._run: StageRun | None = None
        self._loss: InputLoss | None = None

    @property
    def handles(self) -> tuple[Handle, ...]:
        """Handles of the inputs; `prepare` must have succeeded before."""
        return () if self._run is None else self._run.inputs

    async def prepare(self, *, last_event_at_s: float | None) -> StageFailed | None:
        """Run the stages of the request unless their results are stored.

        :param last_event_at_s: Boot-time clock at the last event that the caller got,
            in seconds; None if it got none.
        :returns: Why the request cannot be sent, or None.
        """
        if not self._job.route.stages:
            return None
        now_s = self._clock()
        if self._run is not None and self._run.inputs_expired(now_s=now_s):
            self._lose(InputLoss.EXPIRED)
        if self._run is not None:
            return None
        since_s = last_event_at_s
        if since_s is None:
            since_s = self._job.request.arrived_at_s
        run = self._staged.new_run(self._job, since_s=since_s)
        refused = run.refusal(now_s=now_s)
        if self._loss is not None:
            self._log_rerun(self._loss, refused, since_s=since_s, now_s=now_s)
        if refused is not None:
            return refused
        self._run = run
        failed = await self._reserve_and_run(run)
        if failed is not None and failed.problem in RETRYABLE_PROBLEMS:
            # Its reservation ends with its results, and is asked for again.
            run.release()
            failed = await self._reserve_and_run(run)
        if failed is not None:
            # Results are freed before the answer, which the caller may read slowly.
            self.release()
        return failed

    async def _reserve_and_run(self, run: StageRun) -> StageFailed | None:
        return await self._staged.reserve(self._job, run) or await run.run()

    def record_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of a send with these inputs."""
        if reports_lost_input(outcome):
            self._lose(InputLoss.GONE)

    def record_first_event(self) -> None:
        """Free the inputs, which an upstream has read before its first event."""
        self._lose(InputLoss.RELEASED)

    def release(self) -> None:
        """Free all results of the request."""
        run, self._run = self._run, None
        if run is not None:
            run.release()

    def _lose(self, loss: InputLoss) -> None:
        self._loss = loss
        self.release()

    def _log_rerun(
        self,
        loss: InputLoss,
        refused: StageFailed | None,
        *,
        since_s: float,
        now_s: float,
    ) -> None:
        result = "run" if refused is None else "refused"
        self._metrics.count("stage_reruns_total", cause=loss.value, result=result)
        self._events.info(
            "stages-repeated",
            request_id=self._job.request_id,
            cause=loss,
            result=result,
            silent_s=now_s - since_s,
            left_s=self._job.deadline_s - now_s,
            excess_s=None if refused is None else refused.retry_after_s,
        )


def reports_lost_input(outcome: Outcome) -> bool:
    """Tell whether an upstream did not execute a request as an input is gone."""
    return isinstance(outcome, Refused) and outcome.status == _INPUT_GONE
