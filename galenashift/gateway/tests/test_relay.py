"""What a caller is told after each course of a request."""

import pytest
import trio

from galenashift.gateway._exchange import NotSent, StreamEnded
from galenashift.gateway._stage_outcome import StageFailed, StageProblem
from galenashift.gateway.tests.relay_fakes import (
    BROKEN,
    EVENTS,
    REFUSED,
    FakeCrashes,
    FakeStages,
    answered,
    serve,
)
from galenashift.platform import decode_answer


@pytest.mark.parametrize("name", ["write", "stream"])
def test_request_that_times_out_at_its_upstream_may_have_run(name):
    # It was answered 503 not-run while the upstream worked on it, so that the caller
    # sent it again and it ran twice.
    _, responder = serve(name, 60.0)
    assert responder.status == 504
    assert b"may-have-run" in responder.body


@pytest.mark.parametrize("outcome", [BROKEN, answered(500)])
def test_action_is_never_sent_twice(outcome):
    # The first upstream may have run it.
    exchanger, responder = serve("write", outcome, answered(200))
    assert len(exchanger.requests) == 1
    assert responder.status in {500, 502}


@pytest.mark.parametrize("name", ["read", "write", "stream"])
def test_refused_request_goes_to_another_upstream(name):
    # An upstream that is full says that it has not run the request.
    exchanger, responder = serve(name, REFUSED, answered(200))
    assert len(set(exchanger.upstreams)) == 2
    assert responder.status == 200


def test_unreachable_upstream_costs_no_attempt():
    # Nothing was sent, so the limit of attempts is not used up.
    outcomes = (NotSent(detail="refused"), REFUSED, answered(200))
    exchanger, responder = serve("write", *outcomes)
    assert responder.status == 200
    assert len(set(exchanger.upstreams)) == 3


def test_attempts_are_limited_by_the_route():
    exchanger, responder = serve("read", BROKEN, BROKEN, answered(200))
    assert len(exchanger.requests) == 2
    assert responder.status == 502


def test_failure_of_an_upstream_is_delivered_when_no_retry_helps():
    # The caller gets what an upstream said rather than a failure of the daemon.
    _, responder = serve("read", answered(500), BROKEN)
    assert (responder.status, responder.body) == (500, b"body")


def test_silent_upstream_is_left_within_half_a_second():
    # Pattern: an upstream hangs. The caller's time is for the next one.
    _, responder = serve("read", 60.0, answered(200))
    assert responder.status == 200
    assert responder.elapsed_s == pytest.approx(0.5, abs=0.1)


def test_all_upstreams_full_is_refused_with_a_time_to_come_back():
    _, responder = serve("write", REFUSED, REFUSED)
    assert responder.status == 503
    assert b"not-run" in responder.body
    assert responder.retry_after_s > 0


def test_no_upstream_is_refused_soon():
    # Waiting until the deadline would not help the caller.
    _, responder = serve("write", upstreams=0)
    assert responder.status == 503
    assert responder.elapsed_s <= 0.4 / 8 + 0.05


def test_broken_stream_that_may_resume_goes_on_after_its_last_event():
    broken = StreamEnded(complete=False, started=True, detail="reset")
    whole = StreamEnded(complete=True, started=True, detail="")
    exchanger, responder = serve("resumed", broken, whole)
    resumed = dict(exchanger.requests[1].headers)
    assert resumed[b"last-event-id"] == b"1"
    assert responder.finished
    assert responder.body == EVENTS + EVENTS.replace(b"1", b"2")


def test_broken_stream_that_may_not_resume_stays_incomplete():
    # A second run would repeat or skip events.
    broken = StreamEnded(complete=False, started=True, detail="reset")
    exchanger, responder = serve("stream", broken)
    assert len(exchanger.requests) == 1
    assert not responder.finished


@pytest.mark.parametrize(
    ("headers", "name", "status"),
    [((), "unknown", 404), (((b"x-api-key", b"other"),), "read", 200)],
)
def test_route_and_key_decide_first(headers, name, status):
    _, responder = serve(name, answered(200), headers=headers)
    assert responder.status == status


def test_daemon_without_configuration_refuses_for_now():
    # 404 or 401 would tell the caller never to come back.
    _, responder = serve("read", config=None)
    assert responder.status == 503
    assert responder.retry_after_s > 0


def test_secret_and_system_headers_do_not_reach_the_upstream():
    # A caller could otherwise speak for another organisation or take over memory.
    forged = (
        (b"galenashift-tenant", b"other"),
        (b"galenashift-hold", b"h"),
        (b"kv-from", b"10.0.0.9:80/x"),
        (b"galenashift-inputs", b"10.0.0.9:80/x"),
    )
    exchanger, _ = serve("read", answered(200), headers=forged)
    headers = exchanger.requests[0].headers
    names = [name for name, _ in headers]
    assert dict(headers)[b"galenashift-tenant"] == b"org"
    assert names.count(b"galenashift-tenant") == 1
    for name in (b"x-api-key", b"galenashift-hold", b"kv-from", b"galenashift-inputs"):
        assert name not in names


def test_upstream_gets_the_rest_of_the_time():
    exchanger, _ = serve("read", 60.0, answered(200))
    waits = [
        int(dict(r.headers)[b"galenashift-deadline-ms"]) for r in exchanger.requests
    ]
    assert waits[0] == pytest.approx(1500, abs=5)
    assert waits[1] == pytest.approx(1000, abs=50)


def test_results_of_stages_reach_the_upstream_and_are_freed():
    stages = FakeStages()
    whole = StreamEnded(complete=True, started=True, detail="")
    pieces = ((b"galenashift-pieces", b"1"),)
    exchanger, responder = serve("staged", whole, stages=stages, headers=pieces)
    headers = dict(exchanger.requests[0].headers)
    assert headers[b"galenashift-inputs"] == b"10.0.0.1:80/h1"
    assert stages.released == ["10.0.0.1:80/h1"]
    assert responder.finished


def test_request_whose_stage_fails_has_not_run():
    # Pieces may be made again; the request itself was never sent.
    failed = StageFailed(problem=StageProblem.LATE, retry_after_s=1.25)
    pieces = ((b"galenashift-pieces", b"1"),)
    exchanger, responder = serve("staged", stages=FakeStages(failed), headers=pieces)
    assert exchanger.requests == []
    assert (responder.status, responder.retry_after_s) == (503, 1.25)


def test_answer_fields_ignore_unreadable_advice():
    fields = decode_answer([(b"galenashift-instance-load", b"x"), (b"a", b"b")])
    assert fields.load is None


def test_request_that_crashes_upstreams_is_sent_no_more():
    # Each caller that sends it again would take down another upstream.
    exchanger, responder = serve(
        "read", answered(200), crashes=FakeCrashes(quarantined=True)
    )
    assert exchanger.requests == []
    assert responder.status == 503


def test_broken_connection_has_its_upstream_examined():
    crashes = FakeCrashes()
    serve("write", BROKEN, crashes=crashes)
    serve("write", 60.0, crashes=crashes)
    serve("write", answered(500), crashes=crashes)
    assert len(crashes.suspicions) == 1


def test_waiting_request_is_refused_before_the_process_ends():
    # A request that waited for its stages was cut when the daemon ended after SIGTERM.
    class Waiting(FakeStages):
        async def make(self, *, service, job):
            await trio.sleep_forever()

    pieces = ((b"galenashift-pieces", b"1"),)
    exchanger, responder = serve(
        "staged", stages=Waiting(), headers=pieces, refused_after_s=0.7
    )
    assert exchanger.requests == []
    assert responder.status == 503
    assert responder.elapsed_s == pytest.approx(0.7)


def test_request_at_its_upstream_is_not_refused_as_the_process_ends():
    # It may have run.
    _, responder = serve("write", 60.0, refused_after_s=0.7)
    assert responder.status == 504
