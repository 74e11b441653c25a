"""What a caller is told after each course of a request."""

import json
from random import Random

import pytest
import trio
import trio.testing

from galenashift.gateway._budgets import RetryBudgets
from galenashift.gateway._caller import CallerRequest
from galenashift.gateway._choice import Router
from galenashift.gateway._cold import ColdGate
from galenashift.gateway._connection import AnswerHead
from galenashift.gateway._exchange import (
    Answered,
    Broken,
    NotSent,
    Refused,
    Silent,
    StreamEnded,
)
from galenashift.gateway._health import HealthBook
from galenashift.gateway._relay import Relay
from galenashift.gateway._stage_outcome import StageFailed, StageMade, StageProblem
from galenashift.gateway._times import ServiceTimes
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.test_view import item, upstream_item
from galenashift.model import AnswerFields, DaemonId, FailureDomainName, Handle
from galenashift.platform import Bounds, Snapshot, StoreRevision, decode_answer
from galenashift.telemetry import EventLog, Metrics

_BOUNDS = Bounds(
    config_apply_s=2.0,
    grace_s=8.0,
    retry_ratio=0.2,
    retry_extra=56.0,
    retry_window_s=10.0,
    cold_factor=1.5,
    cold_extra=5.0,
)
_FIELDS = AnswerFields(
    attempt_id="a1", not_executed=False, load=None, cold_left_s=None, signed=True
)
_EVENTS = b"id: 1\ndata: x\n\n"


def route(name, kind, **changes):
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 400,
        "priority": 1,
        "service": "pool",
        "max_attempts": 2,
    } | changes


CONFIG = {
    "version": 3,
    "routes": [
        route("read", "idempotent"),
        route("write", "non_idempotent"),
        route("stream", "streaming", sticky=True),
        route("resumed", "streaming", sticky=True, resumable=True),
        route("staged", "streaming", stages=[{"service": "stage", "bytes": 8000}]),
    ],
    "services": [
        {"name": "pool", "max_conns": 100},
        {
            "name": "stage",
            "max_conns": 100,
            "pieces": {
                "batch": 4,
                "call_ms": 150,
                "item_ms": 32,
                "headroom_mb": 19.5,
                "handle_s": 4,
            },
        },
    ],
    "tenants": [{"name": "org", "api_keys": ["key"], "priority": 1}],
}


def answered(status):
    return Answered(
        head=AnswerHead(status=status, headers=[(b"x-from", b"upstream")]),
        fields=_FIELDS,
        body=b"body",
    )


REFUSED = Refused(status=503, fields=_FIELDS, misdirected=False)
BROKEN = Broken(detail="reset", reset=True)


class FakeExchanger:
    """Plays the outcomes in turn; a number is a time without an answer."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.requests = []
        self.upstreams = []

    async def exchange(self, *, upstream, request, waits, sink=None, may_send=None):
        self.upstreams.append(upstream.upstream_id)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, NotSent):
            return outcome
        assert may_send()
        self.requests.append(request)
        if isinstance(outcome, float):
            with trio.move_on_after(waits.first_s):
                await trio.sleep(outcome)
            return Silent()
        if isinstance(outcome, StreamEnded) and outcome.started:
            head = AnswerHead(status=200, headers=[])
            number = len(self.requests)
            await sink(head, _EVENTS.replace(b"1", b"%d" % number))
        return outcome


class FakeResponder:
    def __init__(self):
        self.status = None
        self.finished = False
        self.body = b""
        self.retry_after_s = None

    async def answer(self, *, status, headers, body):
        self.status, self.body, self.finished = status, body, True

    async def fail(self, failure, *, status=None):
        self.status = failure.http_status
        self.retry_after_s = failure.retry_after_s
        self.body = json.dumps({"verdict": failure.verdict.value}).encode()
        self.finished = True

    async def start(self, *, status, headers, data):
        self.status, self.body = status, data

    async def send(self, data):
        self.body += data

    async def end(self):
        self.finished = True


class FakeStages:
    def __init__(self, outcome=None):
        self.outcome = outcome
        self.released = []

    async def make(self, *, service, job):
        await trio.sleep(0.1)
        return self.outcome or StageMade(handles=(Handle("10.0.0.1:80/h1"),))

    def release(self, service, handles):
        self.released += handles


class FakeCrashes:
    """Quarantines what it is told, and notes suspicions."""

    def __init__(self, *, quarantined=False):
        self.idle = not quarantined
        self.suspicions = []

    def is_quarantined(self, request):
        return not self.idle

    def suspect(self, suspicion):
        self.suspicions.append(suspicion)


def serve(
    name,
    *outcomes,
    stages=None,
    crashes=None,
    config=CONFIG,
    headers=(),
    upstreams=3,
    refused_after_s=None,
):
    """Send one request through a relay whose upstreams behave as told."""
    exchanger = FakeExchanger(*outcomes)
    responder = FakeResponder()

    async def run():
        clock = trio.current_time
        view = PlatformView(report=lambda name, fields: None)
        items = [upstream_item(f"u{i}") for i in range(upstreams)]
        if config is not None:
            items.append(item("op/config", config))
        snapshot = Snapshot(items=tuple(items), revision=StoreRevision(1))
        view.apply_snapshot(snapshot, now_s=clock())
        health = HealthBook()
        cold = ColdGate(
            daemon_id=DaemonId("d1"),
            health=health,
            factor=1.5,
            extra=5.0,
            started_at_s=-10.0,
        )
        relay = Relay(
            view=view,
            router=Router(
                daemon_id=DaemonId("d1"),
                failure_domain=FailureDomainName("a"),
                health=health,
                cold=cold,
                random=Random(1),
            ),
            exchanger=exchanger,
            stages=stages or FakeStages(),
            budgets=RetryBudgets(bounds=_BOUNDS, daemon_count=lambda: 8),
            times=ServiceTimes(),
            crashes=crashes or FakeCrashes(),
            events=EventLog(level="error"),
            metrics=Metrics(),
            clock=clock,
        )
        request = CallerRequest(
            method="POST",
            target=f"/{name}/x",
            headers=[
                (b"host", b"h.example"),
                (b"galenashift-attempt-id", b"a1"),
                (b"galenashift-deadline-ms", b"1500"),
                (b"x-api-key", b"key"),
                *headers,
            ],
            body=b"in",
            arrived_at_s=clock(),
        )
        if refused_after_s is None:
            await relay.handle(request, responder)
            return clock()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay.handle, request, responder)
            await trio.sleep(refused_after_s)
            relay.refuse_waiting()
        return clock()

    clock = trio.testing.MockClock(autojump_threshold=0)
    responder.elapsed_s = trio.run(run, clock=clock)
    return exchanger, responder


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
    assert responder.body == _EVENTS + _EVENTS.replace(b"1", b"2")


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
