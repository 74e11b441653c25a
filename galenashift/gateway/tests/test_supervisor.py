"""Background tasks survive unexpected errors, and a failing one shows in readiness."""

import io

import pytest
import trio
import trio.testing

from galenashift.gateway._supervisor import (
    FAILURE_WINDOW_S,
    MAX_FAILURES,
    FailureHistory,
    Supervisor,
)
from galenashift.telemetry import EventLog, Metrics


def _new_supervisor():
    return Supervisor(
        events=EventLog(level="error", stream=io.StringIO()),
        metrics=Metrics(),
        clock=trio.current_time,
    )


def _run(scenario):
    return trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_task_is_started_again_after_an_error():
    # One unexpected message ended the task, and with it the process.
    starts = []

    async def task():
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise OverflowError("a record with a number that is too large")

    async def scenario():
        supervisor = _new_supervisor()
        await supervisor.run("store-watch", task)
        return supervisor.healthy

    assert _run(scenario)
    assert len(starts) == 3
    # The restarts are paced, so that a permanent error does not use the processor.
    assert starts[2] - starts[0] >= 1.0


def test_error_of_one_task_does_not_end_the_others():
    async def failing():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            raise RuntimeError

    async def scenario():
        supervisor = _new_supervisor()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run, "failing", failing)
            nursery.start_soon(supervisor.isolate, "link", failing)
            await trio.sleep(5.0)
            healthy = supervisor.healthy
            nursery.cancel_scope.cancel()
        return healthy

    assert not _run(scenario)


@pytest.mark.parametrize(
    ("failures", "now_s", "healthy"),
    [
        ([], 0.0, True),
        ([1.0] * (MAX_FAILURES - 1), 1.0, True),
        ([1.0] * MAX_FAILURES, 1.0, False),
        ([1.0] * MAX_FAILURES, 1.0 + FAILURE_WINDOW_S, True),
        ([1.0, 2.0 + FAILURE_WINDOW_S, 3.0 + FAILURE_WINDOW_S], 14.0, True),
    ],
)
def test_daemon_is_unhealthy_while_a_task_keeps_failing(failures, now_s, healthy):
    # A daemon that cannot read the store must not receive new callers.
    history = FailureHistory()
    for at_s in failures:
        history.record("store-watch", now_s=at_s)
    assert history.is_healthy(now_s=now_s) is healthy
