"""Tests of calls to stage upstreams, in particular of failed ones."""

import json

import pytest
import trio
import trio.testing

from galenashift.gateway._connection import AnswerHead
from galenashift.gateway._outcomes import Answered, Broken, NotSent, Refused, Silent
from galenashift.gateway._stage_outcome import StageFailed, StageProblem, StageSucceeded
from galenashift.gateway._stage_scheduler import StageScheduler
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import (
    draining_answer,
    new_job,
    new_limiter,
    new_rollouts,
    pausing_answer,
)
from galenashift.gateway.tests.relay_fakes import CONFIG
from galenashift.gateway.tests.test_view import item, upstream_item
from galenashift.model import AnswerFields, Handle, ServiceName, UpstreamId
from galenashift.platform import Snapshot, StoreRevision
from galenashift.telemetry import EventLog, Metrics

_SERVICE = ServiceName("stage")
_FIELDS = AnswerFields(
    attempt_id=None, not_executed=False, load=None, cold_left_s=None, signed=False
)
_REFUSED = Refused(status=503, fields=_FIELDS, misdirected=False)


def answer(body):
    return Answered(
        head=AnswerHead(status=200, headers=[]),
        fields=_FIELDS,
        body=json.dumps(body).encode(),
    )


class FakeStageUpstreams:
    """Returns the given outcomes first, then results, each after `call_duration_s`."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = []
        #: Timeout of each call, in seconds.
        self.timeouts_s = []
        #: Duration of a call, in seconds.
        self.call_duration_s = 0.2
        self.freed = []
        #: Outcomes of the first calls that free results.
        self.free_outcomes = []
        self.freed_at_s = []
        self.made = 0
        #: Upstreams whose idle connections were closed.
        self.closed = []

    def close_idle(self, upstream_id):
        self.closed.append(upstream_id)

    def close_last(self, upstream_id):
        self.closed.append(upstream_id)

    async def exchange(self, *, upstream, request, timeouts, sink=None, may_send=None):
        body = json.loads(request.body)
        if "handles" in body:
            if self.free_outcomes:
                return self.free_outcomes.pop(0)
            self.freed_at_s.append(trio.current_time())
            self.freed += body["handles"]
            return answer({})
        self.calls.append((upstream.upstream_id, len(body["items"])))
        self.timeouts_s.append(timeouts.first_byte_s)
        await trio.sleep(self.call_duration_s)
        if self.outcomes:
            outcome = self.outcomes.pop(0)
            if outcome is not None:
                return outcome
        handles = []
        for _ in body["items"]:
            self.made += 1
            handles.append({"handle": f"10.0.0.1:80/h{self.made}"})
        return answer({"items": handles})


def run_with_scheduler(exchanger, scenario, *, upstreams=2, statements=()):
    """Run `scenario(scheduler)`; the scheduler calls upstreams by `exchanger`.

    :param statements: Fields of answers that the first upstreams have just given.
    """

    async def run():
        view = PlatformView(report=lambda name, fields: None)
        items = [upstream_item(f"s{i}", service="stage") for i in range(upstreams)]
        items += [upstream_item("other", service="pool", address="10.0.0.9:80")]
        items.append(item("op/config", CONFIG))
        snapshot = Snapshot(items=tuple(items), revision=StoreRevision(1))
        view.apply_snapshot(snapshot, now_s=0.0)
        limiter = new_limiter(trio.current_time)
        for number, fields in enumerate(statements):
            upstream = view.find(UpstreamId(f"s{number}")).registration
            limiter.record_answer(upstream, fields, sent_at_s=0.0)
        scheduler = StageScheduler(
            view=view,
            exchanger=exchanger,
            limiter=limiter,
            rollouts=new_rollouts(view, trio.current_time).calls,
            events=EventLog(level="error"),
            metrics=Metrics(),
            clock=trio.current_time,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scheduler.run)
            await trio.sleep(0.01)
            result = await scenario(scheduler)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def execute_job(*outcomes, pieces=2, statements=(), **changes):
    exchanger = FakeStageUpstreams(*outcomes)

    async def scenario(scheduler):
        now_s = trio.current_time()
        job = new_job(
            "a", pieces=pieces, due_s=now_s + 1, deadline_s=now_s + 5, **changes
        )
        return await scheduler.execute(service=_SERVICE, job=job)

    outcome = run_with_scheduler(exchanger, scenario, statements=statements)
    return exchanger, outcome


def test_results_are_in_the_order_of_the_pieces():
    exchanger, outcome = execute_job(pieces=6)
    assert isinstance(outcome, StageSucceeded)
    assert len(set(outcome.handles)) == 6
    assert sorted(count for _, count in exchanger.calls) == [2, 4]


def test_broken_call_is_retried_at_another_upstream():
    # After an upstream has crashed, its pieces may be executed again.
    exchanger, outcome = execute_job(Broken(detail="reset", reset=True))
    assert isinstance(outcome, StageSucceeded)
    assert len({upstream for upstream, _ in exchanger.calls}) == 2


def test_piece_fails_after_three_attempts():
    # Without a limit, a piece that always fails would take upstream time for ever.
    exchanger, outcome = execute_job(Silent(), Silent(), Silent(), pieces=1)
    assert outcome == StageFailed(problem=StageProblem.FAILED)
    assert len(exchanger.calls) == 3


def test_call_without_a_permit_does_not_count_as_an_attempt():
    # Three races for a permit would fail the request, though nothing was executed.
    limited = NotSent(detail="the upstream's rate limit is used up", limited=True)
    exchanger, outcome = execute_job(*[limited] * 4, pieces=1)
    assert isinstance(outcome, StageSucceeded)
    assert len(exchanger.calls) == 5


@pytest.mark.parametrize("fields", [draining_answer(), pausing_answer(30.0)])
def test_stage_upstream_that_wants_no_calls_gets_none(fields):
    # One call for all pieces would go to the first upstream.
    exchanger, outcome = execute_job(pieces=6, statements=[fields])
    assert isinstance(outcome, StageSucceeded)
    assert {upstream for upstream, _ in exchanger.calls} == {"s1"}


@pytest.mark.parametrize(
    ("fields", "retry_after_s"), [(draining_answer(), None), (pausing_answer(20.0), 20)]
)
def test_job_is_refused_at_once_if_no_upstream_permits_a_call_in_time(
    fields, retry_after_s
):
    # It would wait for its deadline without any use.
    exchanger, outcome = execute_job(statements=[fields] * 2)
    assert isinstance(outcome, StageFailed)
    assert outcome.problem is StageProblem.NO_UPSTREAM
    assert outcome.retry_after_s == pytest.approx(retry_after_s, abs=0.05)
    assert exchanger.calls == []


def test_job_waits_for_a_pause_that_ends_in_time():
    exchanger, outcome = execute_job(statements=[pausing_answer(0.5)] * 2)
    assert isinstance(outcome, StageSucceeded)
    assert exchanger.calls


def test_full_memory_does_not_count_as_an_attempt():
    # While the memory is full, a piece waits until results are freed.
    full = answer({"items": [{"reason": "room"}]})
    _, outcome = execute_job(full, full, full, full, full, pieces=1)
    assert isinstance(outcome, StageSucceeded)


def test_full_memory_does_not_lower_the_slowness():
    # Results of crashed daemons can fill an upstream, which then answers at once. If
    # that counted as fast, it would get all pieces, and an upstream with free memory
    # none.
    full = answer({"items": [{"reason": "room"}, {"reason": "room"}]})
    exchanger = FakeStageUpstreams(*[full] * 8)
    exchanger.call_duration_s = 0.003

    job = new_job("a", pieces=2, due_s=1, deadline_s=60)
    run_with_scheduler(
        exchanger,
        lambda scheduler: scheduler.execute(service=_SERVICE, job=job),
        upstreams=1,
    )
    assert len(exchanger.timeouts_s) == 9
    assert len(set(exchanger.timeouts_s)) == 1


def test_refusal_does_not_count_as_an_attempt():
    _, outcome = execute_job(_REFUSED, _REFUSED, _REFUSED, _REFUSED, pieces=1)
    assert isinstance(outcome, StageSucceeded)


def test_missing_input_fails_the_stage():
    gone = answer({"items": [{"reason": "gone"}]})
    _, outcome = execute_job(gone, pieces=1)
    assert outcome == StageFailed(problem=StageProblem.INPUT_GONE)


def test_pieces_of_an_unreadable_answer_are_retried():
    _, outcome = execute_job(answer({"items": []}), pieces=1)
    assert isinstance(outcome, StageSucceeded)


def test_results_of_a_cancelled_request_are_freed():
    # When callers disconnect, their results would occupy memory for seconds.
    exchanger = FakeStageUpstreams()

    async def scenario(scheduler):
        now_s = trio.current_time()
        job = new_job("a", due_s=now_s + 1, deadline_s=now_s + 5)
        with trio.move_on_after(0.1):
            await scheduler.execute(service=_SERVICE, job=job)
        await trio.sleep(0.5)

    run_with_scheduler(exchanger, scenario)
    assert exchanger.freed == ["10.0.0.1:80/h1"]


def test_results_are_freed_soon_and_in_one_call():
    # Stages wait for their memory; a call for each result would take upstream time.
    exchanger = FakeStageUpstreams()

    async def scenario(scheduler):
        await trio.sleep(0.5)
        released_at_s = trio.current_time()
        for number in range(3):
            scheduler.release([Handle(f"10.0.0.1:80/{number}")])
        await trio.sleep(0.5)
        return released_at_s

    released_at_s = run_with_scheduler(exchanger, scenario, upstreams=1)
    assert len(exchanger.freed) == 3
    (freed_at_s,) = exchanger.freed_at_s
    assert freed_at_s - released_at_s < 0.03


def test_failed_call_that_frees_results_is_repeated_once():
    # The results occupied memory until they expired, seconds later.
    exchanger = FakeStageUpstreams()
    exchanger.free_outcomes = [Silent()]

    async def scenario(scheduler):
        scheduler.release([Handle("10.0.0.1:80/h")])
        await trio.sleep(0.5)

    run_with_scheduler(exchanger, scenario, upstreams=1)
    assert exchanger.freed == ["10.0.0.1:80/h"]


def test_result_recorded_at_another_daemon_is_freed():
    # Freeing such a result stopped the daemon with a KeyError if it had never batched
    # pieces for the service.
    exchanger = FakeStageUpstreams()

    async def scenario(scheduler):
        scheduler.release([Handle("10.0.0.1:80/foreign")])
        await trio.sleep(0.5)

    run_with_scheduler(exchanger, scenario, upstreams=1)
    assert exchanger.freed == ["10.0.0.1:80/foreign"]


def test_unknown_service_has_no_upstream():
    exchanger = FakeStageUpstreams()

    async def scenario(scheduler):
        job = new_job("a")
        return await scheduler.execute(service=ServiceName("nowhere"), job=job)

    assert run_with_scheduler(exchanger, scenario) == StageFailed(
        problem=StageProblem.NO_UPSTREAM
    )
