"""Executes stage jobs; the batching daemon calls a service for all daemons."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import isinf

import trio

from galenashift.model import Handle, ServiceName, UpstreamId
from galenashift.platform import (
    PieceProblem,
    StageAnswerError,
)
from galenashift.telemetry import EventLog, Metrics

from ._exchange import Exchanger
from ._outcomes import Answered, Broken, NotSent, Outcome, Refused, Silent, StreamEnded
from ._rollout_calls import RolloutCalls
from ._stage_call import StageCaller
from ._stage_demand import StageDemand
from ._stage_job import Batch, JobId, PieceRef, StageJob
from ._stage_log import StageLog
from ._stage_outcome import StageFailed, StageOutcome, StageProblem, StageSucceeded
from ._stage_queue import MAX_PIECE_ATTEMPTS, StageQueue
from ._stage_results import StageResults
from ._stage_shares import StageShares
from ._stage_upstream import (
    INITIAL_MEMORY_BACKOFF_S,
    StageUpstream,
    StageUpstreams,
)
from ._stage_workers import StageWorkers
from ._times import StageWait
from ._upstream_limits import UpstreamLimiter
from ._upstream_registry import KnownUpstream
from ._view import PlatformView

#: Time without calls to an upstream after a failed call, in seconds.
_FAILURE_BACKOFF_S = 0.6
#: Time without calls to an upstream after it refused one, in seconds.
_REFUSAL_BACKOFF_S = 0.15
#: Longest period in which an upstream that reported full memory gets only pieces with
#: small results, in seconds.
_MAX_MEMORY_BACKOFF_S = 0.6
#: Interval between checks for jobs that cannot meet their deadline, in seconds.
_SWEEP_INTERVAL_S = 0.1

_OK = 200


@dataclass(kw_only=True)
class _Waiter:
    """A job whose outcome is awaited."""

    done: trio.Event = field(default_factory=trio.Event)
    outcome: StageOutcome | None = None


class StageScheduler:
    """Batches pieces and calls the upstreams of all stage services.

    :param clock: Boot-time clock.
    :param pressure: Whether queues refuse late jobs by the rate of new ones, and prefer
        the jobs of groups that are served too seldom; see `PRESSURE_CONTRACT`.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        exchanger: Exchanger,
        limiter: UpstreamLimiter,
        rollouts: RolloutCalls,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
        pressure: bool = False,
    ) -> None:
        self._pressure = pressure
        self._view = view
        self._rollouts = rollouts
        self._events = events
        self._clock = clock
        self._queues_by_service: dict[ServiceName, StageQueue] = {}
        self._upstreams = self.upstreams = StageUpstreams()
        self._workers = StageWorkers(
            view=view, upstreams=self._upstreams, limiter=limiter, rollouts=rollouts
        )
        self._log = StageLog(
            upstreams=self._upstreams, events=events, metrics=metrics, clock=clock
        )
        self._waiters_by_id: dict[JobId, _Waiter] = {}
        self._results = StageResults(
            upstreams=self._upstreams,
            view=view,
            exchanger=exchanger,
            limiter=limiter,
            events=events,
            on_freed=self._dispatch,
            clock=clock,
        )
        self._caller = StageCaller(exchanger=exchanger, rollouts=rollouts, clock=clock)
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Dispatch calls to upstreams until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._results.run, nursery)

    async def execute(self, *, service: ServiceName, job: StageJob) -> StageOutcome:
        """Execute the pieces of a job; cancellation drops the pieces still queued.

        :param service: Stage service.
        """
        queue = self._queue(service)
        if queue is None:
            return StageFailed(problem=StageProblem.NO_UPSTREAM)
        refusal = self._refusal(service, job, queue) if job.first else None
        if refusal is not None:
            self._record_outcome(queue, job, refusal)
            return refusal
        waiter = self._waiters_by_id[job.job_id] = _Waiter()
        queue.add(job, now_s=self._clock())
        self._dispatch(service)
        try:
            await waiter.done.wait()
        except trio.Cancelled:
            self.release(list(job.handles_by_index.values()))
            raise
        finally:
            queue.remove(job.job_id)
            del self._waiters_by_id[job.job_id]
        assert waiter.outcome is not None
        self._record_outcome(queue, job, waiter.outcome)
        return waiter.outcome

    def _record_outcome(
        self, queue: StageQueue, job: StageJob, outcome: StageOutcome
    ) -> None:
        match outcome:
            case StageSucceeded():
                queue.record_outcome(job, served=True, now_s=self._clock())
            case StageFailed(problem=StageProblem.LATE):
                queue.record_outcome(job, served=False, now_s=self._clock())

    def _refusal(
        self, service: ServiceName, job: StageJob, queue: StageQueue
    ) -> StageFailed | None:
        """Return the refusal of a request's first job that would end too late."""
        now_s = self._clock()
        permit_wait_s = self._workers.wait_s(service, now_s=now_s)
        if now_s + permit_wait_s > job.deadline_s:
            return StageFailed(
                problem=StageProblem.NO_UPSTREAM,
                retry_after_s=None if isinf(permit_wait_s) else permit_wait_s,
            )
        known = self._workers.callable(service, now_s=now_s)
        workers = self._workers.capacity(known, queue, now_s=now_s)
        refusal = queue.refusal(job, workers=workers, now_s=now_s)
        if refusal is None:
            return None
        return StageFailed(
            problem=StageProblem.LATE, retry_after_s=refusal.retry_after_s
        )

    def expected_wait(self, service: ServiceName) -> StageWait | None:
        """Return the expected wait of a new job, or None for an unknown service."""
        queue = self._queue(service)
        if queue is None:
            return None
        now_s = self._clock()
        known = self._view.available_upstreams(service, now_s=now_s)
        workers = self._workers.capacity(known, queue, now_s=now_s)
        return queue.expected_wait(workers=workers, now_s=now_s)

    def release(self, handles: Sequence[Handle]) -> None:
        """Free results that no request needs any longer."""
        self._results.release(handles)

    def _queue(self, service: ServiceName) -> StageQueue | None:
        config = self._view.config
        details = None if config is None else config.services_by_name.get(service)
        if details is None or details.pieces is None:
            return None
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = StageQueue(
                limits=details.pieces,
                demand=StageDemand() if self._pressure else None,
                shares=StageShares() if self._pressure else None,
            )
            self._queues_by_service[service] = queue
        queue.limits = details.pieces
        return queue

    def _dispatch(self, service: ServiceName) -> None:
        queue = self._queues_by_service.get(service)
        nursery = self._nursery
        if nursery is None or queue is None or not len(queue):
            return
        now_s = self._clock()
        workers = self._workers.snapshot(service, queue.limits, now_s=now_s)
        for batch in queue.plan(workers, now_s=now_s):
            upstream = self._view.find(batch.upstream_id)
            assert upstream is not None
            state = self._upstreams.state(batch.upstream_id)
            nominal_s = queue.call_duration_s(len(batch.pieces))
            slowness = state.expected_slowness(nominal_s=nominal_s, now_s=now_s)
            state.busy = True
            state.pending_bytes = sum(ref.job.result_bytes for ref in batch.pieces)
            state.free_at_s = now_s + nominal_s * slowness
            self._rollouts.record_call_sent(upstream.registration)
            # A report that is too low must not make a call time out.
            longest_s = nominal_s * max(slowness, state.slowness)
            nursery.start_soon(self._run_call, service, upstream, batch, longest_s)

    async def _run_call(
        self,
        service: ServiceName,
        upstream: KnownUpstream,
        batch: Batch,
        expected_s: float,
    ) -> None:
        """Make a call; an unexpected error fails only the jobs of the call."""
        try:
            await self._call(service, upstream, batch, expected_s)
        except Exception as error:
            self._events.error(
                "stage-call-crashed", upstream=batch.upstream_id, detail=repr(error)
            )
            for ref in batch.pieces:
                self._fail(ref.job, StageProblem.FAILED)

    async def _call(
        self,
        service: ServiceName,
        upstream: KnownUpstream,
        batch: Batch,
        expected_s: float,
    ) -> None:
        state = self._upstreams.state(batch.upstream_id)
        started_s = self._clock()
        try:
            outcome = await self._caller.call(upstream, batch, expected_s=expected_s)
        finally:
            state.busy = False
            state.pending_bytes = 0
        now_s = self._clock()
        elapsed_s = now_s - started_s
        state.record_outcome(outcome, now_s=now_s)
        made = self._process_outcome(batch, outcome)
        if made:
            self._queues_by_service[service].record_completed(made)
        pieces = len(batch.pieces)
        nominal_s = self._queues_by_service[service].call_duration_s(pieces)
        if made:
            state.record_call(elapsed_s=elapsed_s, nominal_s=nominal_s)
        self._rollouts.record_call(
            upstream, outcome, failed=made < pieces, slowness=elapsed_s / nominal_s
        )
        self._log.called(
            service,
            batch,
            outcome,
            made=made,
            elapsed_s=elapsed_s,
            expected_s=expected_s,
            waiting=len(self._queues_by_service[service]),
        )
        self._dispatch(service)

    def _process_outcome(self, batch: Batch, outcome: Outcome) -> int:
        """Record the results of a call or requeue its pieces.

        :returns: Number of pieces with a result.
        """
        state = self._upstreams.state(batch.upstream_id)
        now_s = self._clock()
        match outcome:
            case Answered(head=head, body=body) if head.status == _OK:
                return self._process_answer(batch, body, state, now_s)
            case Refused() | NotSent(limited=True):
                state.backoff_until_s = now_s + _REFUSAL_BACKOFF_S
                for ref in batch.pieces:
                    ref.job.attempts_by_index[ref.index] -= 1
            case Answered() | Broken() | NotSent() | Silent() | StreamEnded():
                state.backoff_until_s = now_s + _FAILURE_BACKOFF_S
        self._requeue(batch.pieces)
        return 0

    def _process_answer(
        self, batch: Batch, body: bytes, state: StageUpstream, now_s: float
    ) -> int:
        try:
            results = self._caller.decode_answer(batch, body)
        except StageAnswerError as error:
            self._events.warning(
                "stage-answer-unreadable", upstream=batch.upstream_id, detail=error
            )
            state.backoff_until_s = now_s + _FAILURE_BACKOFF_S
            self._requeue(batch.pieces)
            return 0
        for ref, result in zip(batch.pieces, results, strict=True):
            match result:
                case PieceProblem.LATE:
                    self._fail(ref.job, StageProblem.LATE)
                case PieceProblem.INPUT_GONE:
                    self._fail(ref.job, StageProblem.INPUT_GONE)
                case PieceProblem.NO_MEMORY:
                    # Actual result sizes differ from the configured one, so that the
                    # upstream may have less free memory than computed.
                    state.memory_backoff_until_s = now_s + state.memory_backoff_s
                    state.memory_backoff_s = min(
                        _MAX_MEMORY_BACKOFF_S, 2 * state.memory_backoff_s
                    )
                    ref.job.attempts_by_index[ref.index] -= 1
                    self._requeue((ref,))
                case PieceProblem.ERROR:
                    self._requeue((ref,))
                case handle:
                    self._record_result(ref, handle, batch.upstream_id, now_s)
        return sum(not isinstance(each, PieceProblem) for each in results)

    def _record_result(
        self, ref: PieceRef, handle: Handle, upstream_id: UpstreamId, now_s: float
    ) -> None:
        self._upstreams.state(upstream_id).memory_backoff_s = INITIAL_MEMORY_BACKOFF_S
        self._caller.remember(handle, ref)
        expires_s = now_s + self._result_lifetime_s(upstream_id)
        size = ref.job.result_bytes
        self._results.add(handle, upstream_id, size=size, expires_s=expires_s)
        if ref.job.job_id not in self._waiters_by_id:
            # The request ended while the piece was executed.
            self.release([handle])
            return
        ref.job.handles_by_index[ref.index] = handle
        if ref.job.complete:
            handles = tuple(
                ref.job.handles_by_index[index] for index in range(len(ref.job.pieces))
            )
            self._finish(ref.job, StageSucceeded(handles=handles))

    def _result_lifetime_s(self, upstream_id: UpstreamId) -> float:
        known = self._view.find(upstream_id)
        if known is None:
            return 0.0
        queue = self._queues_by_service.get(known.registration.service)
        return 0.0 if queue is None else queue.limits.result_lifetime_s

    def _requeue(self, refs: Sequence[PieceRef]) -> None:
        for ref in refs:
            if ref.job.job_id not in self._waiters_by_id:
                continue
            if ref.job.attempts_by_index.get(ref.index, 0) >= MAX_PIECE_ATTEMPTS:
                self._fail(ref.job, StageProblem.FAILED)
            else:
                ref.job.waiting.append(ref.index)

    def _fail(
        self,
        job: StageJob,
        problem: StageProblem,
        retry_after_s: float | None = None,
    ) -> None:
        self._log.failed(job, problem)
        self.release(list(job.handles_by_index.values()))
        self._finish(job, StageFailed(problem=problem, retry_after_s=retry_after_s))

    def _finish(self, job: StageJob, outcome: StageOutcome) -> None:
        waiter = self._waiters_by_id.get(job.job_id)
        if waiter is None or waiter.outcome is not None:
            return
        waiter.outcome = outcome
        waiter.done.set()

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            now_s = self._clock()
            for service, queue in self._queues_by_service.items():
                known = self._view.available_upstreams(service, now_s=now_s)
                workers = self._workers.capacity(known, queue, now_s=now_s)
                queue.update_estimates(workers=workers, now_s=now_s)
                for each in queue.remove_infeasible(workers=workers, now_s=now_s):
                    self._fail(each.job, StageProblem.LATE, each.retry_after_s)
                self._dispatch(service)
            self._results.drop_expired(now_s=now_s)
