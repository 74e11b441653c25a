"""Requests that are open as the process ends, and answers past the deadline."""

import pytest
import trio

from galenashift.gateway._outcomes import StreamEnded
from galenashift.gateway.tests.relay_fakes import (
    EVENTS,
    FakeStages,
    answered,
    serve,
)


def test_unsent_request_is_refused_before_the_process_ends():
    # The connection of a request that waited for its stages was closed without an
    # answer when the daemon exited after SIGTERM.
    class HangingStages(FakeStages):
        async def execute(self, *, service, job):
            await trio.sleep_forever()

    pieces = ((b"galenashift-pieces", b"1"),)
    exchanger, responder = serve(
        "staged", stages=HangingStages(), headers=pieces, refuse_after_s=0.7
    )
    assert exchanger.requests == []
    assert responder.status == 503
    assert responder.elapsed_s == pytest.approx(0.7)


def test_request_in_flight_is_not_refused_as_the_process_ends():
    # It may have been executed.
    _, responder = serve("write", 60.0, refuse_after_s=0.7)
    assert responder.status == 504


def test_unanswered_request_is_answered_as_the_process_ends():
    # The connection of a request that an upstream was executing was closed without an
    # answer when the daemon exited after SIGTERM.
    _, responder = serve("write", 60.0, end_after_s=0.7)
    assert responder.status == 504
    assert b"may-have-run" in responder.body
    assert responder.elapsed_s == pytest.approx(0.7)


def test_stream_that_has_begun_may_end_as_the_process_ends():
    outcome = StreamEnded(complete=True, started=True, detail="")
    _, responder = serve("stream", outcome, stream_s=0.75, end_after_s=0.7)
    assert responder.body == EVENTS
    assert responder.finished


def test_answer_that_is_ready_is_written_past_the_deadline():
    # The deadline cancelled the write of a whole answer to a caller that reads slowly.
    _, responder = serve("read", answered(200), write_s=5.0)
    assert responder.finished
    assert responder.elapsed_s == pytest.approx(5.0)
