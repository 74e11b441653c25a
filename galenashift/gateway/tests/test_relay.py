"""Answers of the relay to callers, by the outcomes of the exchanges."""

import pytest
import trio

from galenashift.gateway._outcomes import NotSent, StreamEnded
from galenashift.gateway._stage_outcome import StageFailed, StageProblem
from galenashift.gateway.tests.factories import (
    draining_answer,
    limited_answer,
    pausing_answer,
)
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
from galenashift.retries import Trial, TrialEnd


@pytest.mark.parametrize("name", ["write", "stream"])
def test_request_that_times_out_at_its_upstream_may_have_run(name):
    # The relay answered 503 not-run while the upstream was executing the request. The
    # caller sent it again, and it was executed twice.
    _, responder = serve(name, 60.0)
    assert responder.status == 504
    assert b"may-have-run" in responder.body


@pytest.mark.parametrize("outcome", [BROKEN, answered(500)])
def test_non_idempotent_request_is_never_sent_twice(outcome):
    # The first upstream may have executed the request.
    exchanger, responder = serve("write", outcome, answered(200))
    assert len(exchanger.requests) == 1
    assert responder.status in {500, 502}


@pytest.mark.parametrize("name", ["read", "write", "stream"])
def test_refused_request_goes_to_another_upstream(name):
    # An upstream without capacity reports that it has not executed the request.
    exchanger, responder = serve(name, REFUSED, answered(200))
    assert len(set(exchanger.upstreams)) == 2
    assert responder.status == 200


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("name", ["write", "stream", "read"])
def test_status_of_an_upstream_is_no_promise_to_the_caller(name, status):
    # An upstream that had executed an action failed it with 503. The caller got the 503
    # as the promise that nothing had run, came back, and the action ran twice.
    exchanger, responder = serve(name, answered(status), answered(status))
    assert responder.status == 502
    assert b"may-have-run" in responder.body
    assert len(exchanger.requests) == (2 if name == "read" else 1)


def test_failure_that_may_be_delivered_takes_precedence():
    # The caller of a repeatable request gets what an upstream said, if it may.
    _, responder = serve("read", answered(500), answered(503))
    assert (responder.status, responder.body) == (500, b"body")


def test_repeatable_request_is_retried_after_an_answer_that_it_may_not_get():
    _, responder = serve("read", answered(429), answered(200))
    assert responder.status == 200


def test_unreachable_upstream_does_not_count_as_an_attempt():
    # Nothing was sent, so the attempt limit of the route does not apply.
    outcomes = (NotSent(detail="refused"), REFUSED, answered(200))
    exchanger, responder = serve("write", *outcomes)
    assert responder.status == 200
    assert len(set(exchanger.upstreams)) == 3


def test_attempts_are_limited_by_the_route():
    exchanger, responder = serve("read", BROKEN, BROKEN, answered(200))
    assert len(exchanger.requests) == 2
    assert responder.status == 502


def test_upstream_failure_is_delivered_when_the_retry_fails():
    # The answer of an upstream takes precedence over a failure of the daemon.
    _, responder = serve("read", answered(500), BROKEN)
    assert (responder.status, responder.body) == (500, b"body")


def test_request_is_retried_elsewhere_after_half_a_second_without_an_answer():
    # If an upstream hangs, enough time must be left for a retry at another one.
    _, responder = serve("read", 60.0, answered(200))
    assert responder.status == 200
    assert responder.elapsed_s == pytest.approx(0.5, abs=0.1)


def test_request_refused_by_all_upstreams_gets_a_retry_after():
    _, responder = serve("write", REFUSED, REFUSED)
    assert responder.status == 503
    assert b"not-run" in responder.body
    assert responder.retry_after_s > 0


def test_request_without_an_upstream_is_refused_soon():
    # Waiting until the deadline would only delay the caller's own retry.
    _, responder = serve("write", upstreams=0)
    assert responder.status == 503
    assert responder.elapsed_s <= 0.4 / 8 + 0.05


@pytest.mark.parametrize("name", ["read", "write", "stream"])
@pytest.mark.parametrize(
    "fields", [limited_answer(1.0), pausing_answer(3.0), draining_answer()]
)
def test_request_goes_to_an_upstream_that_accepts_it(name, fields):
    outcome = StreamEnded(complete=True, started=True, detail="")
    exchanger, responder = serve(
        name,
        outcome if name == "stream" else answered(200),
        statements=[fields, fields],
    )
    assert exchanger.upstreams == ["u2"]
    assert responder.status == 200


@pytest.mark.parametrize(
    ("statements", "retry_after_s"),
    [
        ([limited_answer(1.0)], 1.0),
        ([limited_answer(0.2)], 5.0),
        ([limited_answer(1.0)] * 2, 0.5),
        ([limited_answer(5.0)] * 3, 0.25),
        ([pausing_answer(3.0)], 3.0),
        ([pausing_answer(3.0), pausing_answer(2.0)], 2.0),
        ([pausing_answer(2.0), limited_answer(0.25)], 2.0),
        ([pausing_answer(2.0), draining_answer()], 2.0),
        ([pausing_answer(600.0)], 30.0),
    ],
)
def test_request_is_refused_at_once_if_upstreams_hold_it_back_for_longer(
    statements, retry_after_s
):
    # Its deadline would pass without any use. Callers may come back as often as the
    # upstreams accept requests together, though not all the time, and not before the
    # first pause ends.
    exchanger, responder = serve(
        "write", upstreams=len(statements), statements=statements
    )
    assert exchanger.upstreams == []
    assert responder.status == 503
    assert b"not-run" in responder.body
    assert responder.elapsed_s == 0.0
    assert responder.retry_after_s == pytest.approx(retry_after_s)


def test_request_waits_for_a_permit_that_comes_in_time():
    # The next permit of a single daemon at 25 requests per second is 0.04 s away.
    _, responder = serve(
        "read", answered(200), upstreams=1, statements=[limited_answer(25.0)]
    )
    assert responder.status == 200
    assert responder.elapsed_s == pytest.approx(0.04)


@pytest.mark.parametrize("name", ["read", "write"])
def test_request_is_refused_if_all_upstreams_are_shutting_down(name):
    # Another one may be registered at any moment, so that callers come back soon.
    exchanger, responder = serve(name, upstreams=2, statements=[draining_answer()] * 2)
    assert exchanger.upstreams == []
    assert responder.status == 503
    assert b"not-run" in responder.body
    assert responder.elapsed_s <= 0.4 / 8 + 0.05
    assert responder.retry_after_s == pytest.approx(0.25)


def test_resumable_stream_resumes_after_its_last_event():
    broken_stream = StreamEnded(complete=False, started=True, detail="reset")
    complete_stream = StreamEnded(complete=True, started=True, detail="")
    exchanger, responder = serve("resumed", broken_stream, complete_stream)
    resumed = dict(exchanger.requests[1].headers)
    assert resumed[b"last-event-id"] == b"1"
    assert responder.finished
    assert responder.body == EVENTS + EVENTS.replace(b"1", b"2")


def test_broken_stream_that_is_not_resumable_stays_incomplete():
    # A second execution could repeat or skip events.
    broken_stream = StreamEnded(complete=False, started=True, detail="reset")
    exchanger, responder = serve("stream", broken_stream)
    assert len(exchanger.requests) == 1
    assert not responder.finished


@pytest.mark.parametrize(
    ("headers", "name", "status"),
    [((), "unknown", 404), (((b"x-api-key", b"other"),), "read", 200)],
)
def test_unknown_route_is_refused_and_repeated_key_is_ignored(headers, name, status):
    _, responder = serve(name, answered(200), headers=headers)
    assert responder.status == status


def test_daemon_without_configuration_answers_503():
    # A caller would not retry after 404 or 401.
    _, responder = serve("read", config=None)
    assert responder.status == 503
    assert responder.retry_after_s > 0


def test_secret_and_internal_headers_do_not_reach_the_upstream():
    # Otherwise a caller could impersonate another organisation or use memory that
    # upstreams hold for others.
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


def test_upstream_gets_the_remaining_time():
    exchanger, _ = serve("read", 60.0, answered(200))
    waits = [
        int(dict(r.headers)[b"galenashift-deadline-ms"]) for r in exchanger.requests
    ]
    assert waits[0] == pytest.approx(1500, abs=5)
    assert waits[1] == pytest.approx(1000, abs=50)


def test_stage_results_reach_the_upstream_and_are_freed():
    stages = FakeStages()
    complete_stream = StreamEnded(complete=True, started=True, detail="")
    pieces = ((b"galenashift-pieces", b"1"),)
    exchanger, responder = serve(
        "staged", complete_stream, stages=stages, headers=pieces
    )
    headers = dict(exchanger.requests[0].headers)
    assert headers[b"galenashift-inputs"] == b"10.0.0.1:80/h1"
    assert stages.released == ["10.0.0.1:80/h1"]
    assert responder.finished


def test_request_whose_stage_fails_is_not_run():
    # The stages can be executed again, as the request itself was never sent.
    failed = StageFailed(problem=StageProblem.LATE, retry_after_s=1.25)
    pieces = ((b"galenashift-pieces", b"1"),)
    exchanger, responder = serve("staged", stages=FakeStages(failed), headers=pieces)
    assert exchanger.requests == []
    assert (responder.status, responder.retry_after_s) == (503, 1.25)


def test_malformed_load_header_is_ignored():
    fields = decode_answer(
        [(b"galenashift-instance-load", b"x"), (b"a", b"b")], status=200
    )
    assert fields.load is None


def test_quarantined_request_is_not_sent():
    # Each further attempt could crash another upstream.
    exchanger, responder = serve("read", answered(200), crashes=FakeCrashes(admits=0))
    assert exchanger.requests == []
    assert responder.status == 503
    assert b"not-run" in responder.body


@pytest.mark.parametrize(
    ("outcomes", "status", "verdict"),
    [((), 503, b"not-run"), ((REFUSED,), 503, b"not-run"), ((BROKEN,), 502, b"may")],
)
def test_quarantine_that_begins_before_a_send_refuses_the_request(
    outcomes, status, verdict
):
    # Stages take a second; a quarantine that begins meanwhile was not looked at. After
    # a send whose outcome is unknown, the refusal must not say that nothing ran.
    crashes = FakeCrashes(admits=1 + len(outcomes))
    exchanger, responder = serve("read", *outcomes, answered(200), crashes=crashes)
    assert len(exchanger.requests) == len(outcomes)
    assert responder.status == status
    assert verdict in responder.body


@pytest.mark.parametrize(
    ("outcomes", "upstreams", "how"),
    [
        ((), 0, TrialEnd.NOT_SENT),
        ((REFUSED, REFUSED, REFUSED), 3, TrialEnd.NOT_EXECUTED),
        ((BROKEN,), 3, TrialEnd.MAY_HAVE_RUN),
        ((answered(200),), 3, TrialEnd.MAY_HAVE_RUN),
    ],
)
def test_trial_ends_with_its_request_however_that_ends(outcomes, upstreams, how):
    # Guards against a quarantine that lasts for good, as its trial was counted when the
    # request was admitted, and no upstream was there to send it to (review/12).
    trial = Trial(suspects=frozenset({"part:sys"}))
    crashes = FakeCrashes(trial=trial)
    serve("write", *outcomes, crashes=crashes, upstreams=upstreams)
    assert crashes.ended_trials == [how]
    assert all(each.suspects.tried == trial.suspects for each in crashes.suspicions)


def test_reset_connection_reports_a_suspected_crash():
    crashes = FakeCrashes()
    serve("write", BROKEN, crashes=crashes)
    serve("write", 60.0, crashes=crashes)
    serve("write", answered(500), crashes=crashes)
    assert len(crashes.suspicions) == 1


PARTS = ((b"galenashift-prefix-hash", b"sys:9,user:9,own:1"),)


@pytest.mark.parametrize("begun", [False, True])
def test_suspects_are_the_shared_prompt_parts_and_the_request(begun):
    # The last part belongs to the request itself. A stream that had begun is weaker
    # evidence, as upstreams crash when they begin to execute the cause.
    crashes = FakeCrashes()
    outcome = StreamEnded(complete=False, started=True, detail="closed")
    serve("stream", outcome if begun else BROKEN, crashes=crashes, headers=PARTS)
    (suspicion,) = crashes.suspicions
    suspects = suspicion.suspects.begun if begun else suspicion.suspects.not_begun
    assert list(suspects)[:2] == ["part:sys", "part:user"]
    assert [each.partition(":")[0] for each in suspects] == ["part", "part", "request"]
    other = suspicion.suspects.not_begun if begun else suspicion.suspects.begun
    assert not other


@pytest.mark.parametrize(
    ("outcome", "completed"),
    [
        (StreamEnded(complete=True, started=True, detail=""), 1),
        (StreamEnded(complete=False, started=True, detail=""), 0),
        (answered(500), 0),
        (answered(404), 0),
        (REFUSED, 0),
    ],
)
def test_only_a_complete_answer_clears_the_parts_of_its_request(outcome, completed):
    # An upstream can crash after the first events of an answer.
    crashes = FakeCrashes()
    serve("stream", outcome, REFUSED, crashes=crashes, headers=PARTS)
    assert len(crashes.completed) == completed
    assert all({"part:sys", "part:user"} < each for each in crashes.completed)


def test_request_that_could_crash_another_upstream_is_not_repeated():
    # The repeats of one request with a crashing part crashed two upstreams.
    exchanger, responder = serve(
        "read", BROKEN, answered(200), crashes=FakeCrashes(suspected=True)
    )
    assert len(exchanger.requests) == 1
    assert responder.status == 502


def test_stream_that_had_begun_is_resumed_although_it_is_suspected():
    # Its prompt did not crash the upstream, and its caller waits for the rest.
    broken_stream = StreamEnded(complete=False, started=True, detail="reset")
    complete_stream = StreamEnded(complete=True, started=True, detail="")
    crashes = FakeCrashes(suspected=True)
    _, responder = serve("resumed", broken_stream, complete_stream, crashes=crashes)
    assert responder.finished


class SlowlyExaminedCrashes(FakeCrashes):
    """Quarantines all requests once the probe after a crash has ended."""

    def suspect(self, suspicion):
        trio.lowlevel.spawn_system_task(self._examine, suspicion)

    async def _examine(self, suspicion):
        await trio.sleep(0.1)
        self.admits = 0
        suspicion.examined.set()


def test_stream_that_had_begun_is_not_resumed_if_its_crash_quarantines_it():
    # Guards against a prompt part that each resumed stream carries to one more
    # upstream, as the probe ends only after the stream was sent again.
    broken_stream = StreamEnded(complete=False, started=True, detail="reset")
    complete_stream = StreamEnded(complete=True, started=True, detail="")
    exchanger, responder = serve(
        "resumed",
        broken_stream,
        complete_stream,
        crashes=SlowlyExaminedCrashes(suspected=True),
    )
    assert len(exchanger.requests) == 1
    assert not responder.finished
