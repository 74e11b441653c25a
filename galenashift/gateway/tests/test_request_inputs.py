"""Tests of the stage results of a request: early release, and repeated stages."""

import pytest
import trio

from galenashift.gateway._health import HealthTracker
from galenashift.gateway._outcome_recorder import OutcomeRecorder
from galenashift.gateway._outcomes import NotSent, Refused, StreamEnded
from galenashift.gateway._stage_outcome import StageFailed, StageProblem, StageSucceeded
from galenashift.gateway._stream import StreamWriter
from galenashift.gateway._times import ServiceLatencies
from galenashift.gateway.tests.factories import new_memory
from galenashift.gateway.tests.relay_fakes import (
    BROKEN,
    CONFIG,
    FIELDS,
    REFUSED,
    FakeResponder,
    FakeRooms,
    FakeStages,
    answered,
    route,
    serve,
)
from galenashift.model import Handle, ServiceName, UpstreamId

_STAGES = {"stages": [{"service": "stage", "bytes": 3_000_000}]}
_ROUTES = [
    route("resumed", "streaming", resumable=True, max_attempts=3, **_STAGES),
    route("once", "streaming", resumable=True, max_attempts=1, **_STAGES),
    route("lasting", "streaming", resumable=True, timeout_ms=20_000, **_STAGES),
    route(
        "patient",
        "streaming",
        resumable=True,
        timeout_ms=20_000,
        goal_ms=5_000,
        **_STAGES,
    ),
    route("stream", "streaming", **_STAGES),
    route("read", "idempotent", **_STAGES),
    route("write", "non_idempotent", **_STAGES),
]
_PIECES = ((b"galenashift-pieces", b"2"),)
_COMPLETE = StreamEnded(complete=True, started=True, detail="")
_STREAM_BROKEN = StreamEnded(complete=False, started=True, detail="reset")
_GONE = Refused(status=409, fields=FIELDS, misdirected=False)


class CountingStages(FakeStages):
    """Returns new handles for each job, each after `delays_s` or 0.1 s."""

    def __init__(self, *outcomes, delays_s=()):
        super().__init__()
        self.outcomes = list(outcomes)
        self.delays_s = list(delays_s)
        self.jobs = []
        self.started_at_s = []

    async def execute(self, *, service, job):
        self.jobs.append(job)
        self.started_at_s.append(trio.current_time())
        await trio.sleep(self.delays_s.pop(0) if self.delays_s else 0.1)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        number = len(self.jobs)
        return outcome or StageSucceeded(
            handles=tuple(Handle(f"10.0.0.1:80/{number}-{i}") for i in range(2))
        )


def serve_staged(name, *outcomes, stages=None, **changes):
    stages = stages or CountingStages()
    config = CONFIG | {"routes": _ROUTES}
    exchanger, responder = serve(
        name, *outcomes, stages=stages, config=config, headers=_PIECES, **changes
    )
    inputs = [
        dict(each.headers).get(b"galenashift-inputs") for each in exchanger.requests
    ]
    return stages, inputs, responder


def test_results_of_a_resumable_stream_are_freed_at_its_first_event():
    # They occupied the memory of stage upstreams until the stream ended.
    released = []

    class Stages(CountingStages):
        def release(self, service, handles):
            released.append((trio.current_time(), list(handles)))

    stages, _, responder = serve_staged(
        "resumed", _COMPLETE, stages=Stages(), stream_s=0.8
    )
    ((released_at_s, handles),) = released
    assert released_at_s == pytest.approx(stages.started_at_s[0] + 0.1, abs=0.01)
    assert handles == ["10.0.0.1:80/1-0", "10.0.0.1:80/1-1"]
    assert responder.finished
    assert len(stages.jobs) == 1


def test_broken_stream_is_resumed_with_inputs_that_were_made_again():
    # A handle that was freed, or no inputs header at all, would make the upstream
    # refuse the request or run it without its inputs.
    stages, inputs, responder = serve_staged("resumed", _STREAM_BROKEN, _COMPLETE)
    assert inputs == [
        b"10.0.0.1:80/1-0,10.0.0.1:80/1-1",
        b"10.0.0.1:80/2-0,10.0.0.1:80/2-1",
    ]
    assert responder.finished
    assert len(stages.released) == 4


@pytest.mark.parametrize("outcome", [BROKEN, REFUSED, answered(500)])
def test_inputs_are_kept_until_an_upstream_has_read_them(outcome):
    # Running the stages again would cost upstream time for nothing.
    stages, inputs, _ = serve_staged("resumed", outcome, _COMPLETE)
    assert len(stages.jobs) == 1
    assert inputs[0] == inputs[1]


def test_upstream_that_cannot_be_reached_does_not_cost_the_inputs():
    # Stages that are repeated for a failed connection would be work for nothing.
    stages, inputs, responder = serve_staged(
        "write", NotSent(detail="refused"), answered(200)
    )
    assert len(stages.jobs) == 1
    assert inputs == [b"10.0.0.1:80/1-0,10.0.0.1:80/1-1"]
    assert responder.status == 200


@pytest.mark.parametrize("name", ["resumed", "stream", "read", "write"])
def test_request_whose_input_is_gone_runs_its_stages_again(name):
    # The upstream states that it has not executed the request, so that this is also
    # allowed for requests that run at most once. The same handles would be gone at
    # the next upstream, too.
    last = _COMPLETE if name in {"resumed", "stream"} else answered(200)
    stages, inputs, responder = serve_staged(name, _GONE, last)
    assert len(stages.jobs) == 2
    assert inputs[0] != inputs[1]
    assert responder.finished


def test_missing_input_is_no_failure_of_the_upstream_that_reported_it():
    # Reports in a row ejected a sound upstream.
    recorder = OutcomeRecorder(health=HealthTracker(), latencies=ServiceLatencies())
    writer = StreamWriter(responder=FakeResponder(), last_id=None, memory=new_memory())
    ejected = [
        recorder.record(ServiceName("s"), UpstreamId("u"), _GONE, writer, now_s=1.0)
        for _ in range(10)
    ]
    assert not any(ejected)


def test_inputs_that_have_expired_are_made_again_before_a_send():
    # Upstreams retain results for 4 s; the first upstream hung for longer.
    stages, inputs, responder = serve_staged("patient", 60.0, _COMPLETE, wait_ms=20_000)
    assert len(stages.jobs) == 2
    assert inputs[0] != inputs[1]
    assert responder.finished


def test_repeated_stages_end_before_the_caller_gives_up_the_stream():
    # The caller waits for 2 s from the last event, which arrived 0.1 s after the start
    # of the request; the stream is broken off after another second.
    stages, _, _ = serve_staged(
        "lasting", _STREAM_BROKEN, _COMPLETE, wait_ms=20_000, stream_s=1.0
    )
    first, second = stages.jobs
    started_s = stages.started_at_s[0]
    assert first.deadline_s == pytest.approx(started_s + 2.0)
    assert stages.started_at_s[1] == pytest.approx(started_s + 1.1)
    assert second.deadline_s == pytest.approx(started_s + 2.1)


def test_stages_that_cannot_end_in_time_are_not_repeated():
    # Their work would be wasted, and other requests would wait for it.
    stages = CountingStages(delays_s=[1.4])
    _, inputs, responder = serve_staged("resumed", _STREAM_BROKEN, stages=stages)
    assert len(stages.jobs) == 1
    assert len(inputs) == 1
    assert not responder.finished


def test_stream_ends_incomplete_if_its_repeated_stages_fail():
    # A second answer in the middle of a stream would be read as an event of it.
    failed = StageFailed(problem=StageProblem.FAILED)
    stages = CountingStages(None, failed)
    _, inputs, responder = serve_staged("resumed", _STREAM_BROKEN, stages=stages)
    assert len(inputs) == 1
    assert not responder.finished


def test_failed_repetition_after_an_execution_is_not_reported_as_not_run():
    # The caller would send a request again that may have been executed.
    failed = StageFailed(problem=StageProblem.LATE, retry_after_s=1.0)
    stages = CountingStages(None, failed)
    _, _, responder = serve_staged("read", BROKEN, _GONE, stages=stages)
    assert responder.status == 502
    assert b"may-have-run" in responder.body


def test_failed_repetition_without_an_execution_is_reported_as_not_run():
    # An input was gone, so that the upstream has not executed the request.
    failed = StageFailed(problem=StageProblem.LATE, retry_after_s=1.25)
    stages = CountingStages(None, failed)
    _, _, responder = serve_staged("write", _GONE, stages=stages)
    assert (responder.status, responder.retry_after_s) == (503, 1.25)
    assert b"not-run" in responder.body


@pytest.mark.parametrize("outcome", [_STREAM_BROKEN, _GONE])
def test_stages_are_repeated_only_for_a_permitted_retry(outcome):
    # Each repetition is one retry, within the attempts of the route and the budget.
    stages, inputs, _ = serve_staged("once", outcome)
    assert len(stages.jobs) == 1
    assert len(inputs) == 1


@pytest.mark.parametrize("outcome", [_STREAM_BROKEN, _GONE])
def test_repeated_stages_and_their_send_use_the_retry_budget_once(outcome):
    # The budget counts sends after the first one; more would refuse allowed retries.
    one_retry = {"retry_extra": 12.0, "retry_ratio": 0.0}
    stages, inputs, _ = serve_staged("resumed", outcome, _COMPLETE, bounds=one_retry)
    assert len(stages.jobs) == len(inputs) == 2
    stages, inputs, _ = serve_staged("resumed", outcome, outcome, bounds=one_retry)
    assert len(stages.jobs) == len(inputs) == 2


def test_request_without_memory_for_its_stages_is_refused_before_the_first_one():
    # It would hold results of its first stage while it waits for the next one.
    refusal = StageFailed(problem=StageProblem.NO_ROOM, retry_after_s=1.5)
    stages, inputs, responder = serve_staged("write", rooms=FakeRooms(refusal))
    assert (stages.jobs, inputs) == ([], [])
    assert (responder.status, responder.retry_after_s) == (503, 1.5)
    assert b"not-run" in responder.body


def test_memory_is_reserved_again_for_repeated_stages():
    # It is released with the results, at the first event of the broken stream.
    rooms = FakeRooms()
    _, _, responder = serve_staged("resumed", _STREAM_BROKEN, _COMPLETE, rooms=rooms)
    assert responder.finished
    sizes = [request.needs[0].size_bytes for request in rooms.requests]
    assert len(sizes) == 2
    assert sizes[0] == sizes[1] > 0
    assert [needs for _, needs in rooms.released] == [(1,), (), (1,), ()]


def test_memory_is_released_if_a_stage_fails():
    # Reserved memory that is never released would keep other requests waiting.
    rooms = FakeRooms()
    stages = CountingStages(StageFailed(problem=StageProblem.FAILED))
    serve_staged("write", stages=stages, rooms=rooms)
    assert [stages for _, stages in rooms.released] == [()]


def test_memory_is_reserved_again_after_an_input_of_a_stage_is_gone():
    # Guards against a repeated run whose results no reservation accounts for.
    rooms = FakeRooms()
    stages = CountingStages(StageFailed(problem=StageProblem.INPUT_GONE))
    serve_staged("write", answered(200), stages=stages, rooms=rooms)
    assert len(stages.jobs) == len(rooms.requests) == 2
