"""Log lines and metrics of stage calls and failed jobs."""

from collections.abc import Callable

from galenashift.model import RequestId, ServiceName
from galenashift.telemetry import EventLog, Metrics

from ._outcomes import Outcome
from ._stage_job import Batch, StageJob
from ._stage_outcome import StageProblem
from ._stage_upstream import StageUpstreams


class StageLog:
    """Logs what the batching daemon does.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        upstreams: StageUpstreams,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._events = events
        self._metrics = metrics
        self._clock = clock

    def called(
        self,
        service: ServiceName,
        batch: Batch,
        outcome: Outcome,
        *,
        made: int,
        elapsed_s: float,
        expected_s: float,
        waiting: int,
    ) -> None:
        """Log a call that has ended.

        :param made: Number of pieces with a result.
        :param elapsed_s: Duration of the call, in seconds.
        :param expected_s: Duration that was expected at most, in seconds.
        :param waiting: Number of pieces that wait for a call of the service.
        """
        self._metrics.observe("stage_call_seconds", elapsed_s, service=service)
        lifetime_s = self._upstreams.report_lifetime.lifetime_s
        self._metrics.set_gauge("slowness_report_lifetime_seconds", lifetime_s)
        attempts = sorted({ref.piece.attempt_id for ref in batch.pieces})
        state = self._upstreams.state(batch.upstream_id)
        self._events.info(
            "stage-called",
            service=service,
            upstream=batch.upstream_id,
            pieces=len(batch.pieces),
            made=made,
            requests=",".join(attempts),
            outcome=type(outcome).__name__,
            elapsed_s=elapsed_s,
            expected_s=expected_s,
            waiting=waiting,
            used_bytes=state.used_bytes(now_s=self._clock()),
        )

    def failed(self, job: StageJob, problem: StageProblem) -> None:
        """Log a job that has failed."""
        now_s = self._clock()
        piece = job.pieces[0]
        self._events.info(
            "stage-failed",
            request_id=RequestId(piece.attempt_id),
            stage=piece.stage,
            problem=problem,
            made=len(job.handles_by_index),
            waiting=len(job.waiting),
            rank=job.rank,
            due_s=job.due_s - now_s,
            deadline_s=job.deadline_s - now_s,
        )
