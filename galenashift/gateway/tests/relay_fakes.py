"""Runs a relay with fake upstreams, stages and callers."""

import json
from dataclasses import replace
from random import Random

import trio
import trio.testing

from galenashift.gateway._caller import CallerRequest
from galenashift.gateway._cold_limiter import ColdUpstreamLimiter
from galenashift.gateway._connection import AnswerHead
from galenashift.gateway._crashes import Refusal
from galenashift.gateway._drain_admission import DrainAdmission
from galenashift.gateway._health import HealthTracker
from galenashift.gateway._outcomes import (
    Answered,
    Broken,
    NotSent,
    Refused,
    Silent,
    StreamEnded,
)
from galenashift.gateway._relay import Relay
from galenashift.gateway._retry_budgets import RetryBudgets
from galenashift.gateway._router import Router
from galenashift.gateway._stage_outcome import StageSucceeded
from galenashift.gateway._stage_rooms import RoomReservation
from galenashift.gateway._times import ServiceLatencies
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import new_limiter, new_memory, new_rollouts
from galenashift.gateway.tests.test_view import item, upstream_item
from galenashift.limits import RoomId
from galenashift.model import (
    AnswerFields,
    DaemonId,
    FailureDomainName,
    Handle,
    UpstreamId,
)
from galenashift.platform import Bounds, Snapshot, StoreRevision
from galenashift.retries import Quarantine
from galenashift.telemetry import EventLog, Metrics

BOUNDS = Bounds(
    grace_s=8.0,
    drain_limit_s=2.0,
    config_apply_limit_s=2.0,
    retry_ratio=0.2,
    retry_extra=56.0,
    retry_window_s=10.0,
    cold_factor=1.5,
    cold_extra=5.0,
)
FIELDS = AnswerFields(
    attempt_id="a1", not_executed=False, load=None, cold_left_s=None, signed=True
)
EVENTS = b"id: 1\ndata: x\n\n"


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
        fields=FIELDS,
        body=b"body",
    )


REFUSED = Refused(status=503, fields=FIELDS, misdirected=False)
BROKEN = Broken(detail="reset", reset=True)


class FakeExchanger:
    """Returns the outcomes in order; a number is the time of a hang, in seconds.

    :param stream_s: Time from the first event of a stream to its end, in seconds.
    """

    def __init__(self, *outcomes, stream_s=0.0):
        self.outcomes = list(outcomes)
        self.stream_s = stream_s
        self.requests = []
        self.upstreams = []

    async def exchange(
        self, *, upstream, request, timeouts, sink=None, may_send=None, is_whole=None
    ):
        self.upstreams.append(upstream.upstream_id)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, NotSent):
            return outcome
        assert may_send()
        self.requests.append(request)
        if isinstance(outcome, float):
            with trio.move_on_after(timeouts.first_byte_s):
                await trio.sleep(outcome)
            return Silent()
        if isinstance(outcome, StreamEnded) and outcome.started:
            head = AnswerHead(status=200, headers=[])
            number = len(self.requests)
            await sink(head, EVENTS.replace(b"1", b"%d" % number))
            await trio.sleep(self.stream_s)
        return outcome


class FakeResponder:
    """Notes an answer.

    :param write_s: Time that it takes to write an answer, in seconds.
    """

    def __init__(self, write_s=0.0):
        self.write_s = write_s
        self.status = None
        self.finished = False
        self.body = b""
        self.retry_after_s = None

    async def answer(self, *, status, headers, body):
        self.status = status
        await trio.sleep(self.write_s)
        self.body, self.finished = body, True

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

    async def execute(self, *, service, job):
        await trio.sleep(0.1)
        return self.outcome or StageSucceeded(handles=(Handle("10.0.0.1:80/h1"),))

    def release(self, service, handles):
        self.released += handles


class FakeRooms:
    """Grants requests for memory, or returns `refusal`."""

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.requests = []
        #: Times and stages of the releases, with no stage for all of them.
        self.released = []

    def new_id(self):
        return RoomId("local/1")

    async def reserve(self, request, *, request_id):
        self.requests.append(request)
        return self.refusal or RoomReservation(
            stages=len(request.needs) // 2,
            release=lambda stages: self.released.append(
                (trio.current_time(), tuple(stages))
            ),
        )


class FakeCrashes:
    """Quarantines requests, and records suspected crashes and completions.

    :param admits: Number of checks after which requests are quarantined.
    :param suspected: Whether one more crash could quarantine any request.
    :param trial: The trial as which each request is sent, if any.
    """

    def __init__(self, *, admits=1_000, suspected=False, trial=None):
        self.has_crashes = True
        self.trial = trial
        self.ended_trials = []
        self.admits = admits
        self.suspected = suspected
        self.suspicions = []
        self.completed = []

    def admit(self, suspects):
        if self.trial is not None:
            return self.trial
        return self.find_refusal(suspects)

    def end_trial(self, trial, how):
        self.ended_trials.append(how)

    def find_refusal(self, suspects):
        self.admits -= 1
        if self.admits >= 0:
            return None
        suspect = next(iter(suspects))
        quarantine = Quarantine(suspect=suspect, crashes=3, last_crash_at_s=0.0)
        return Refusal(quarantine=quarantine, trial_wait_s=60.0)

    def is_suspected(self, suspects, *, had_begun):
        return self.suspected

    def suspect(self, suspicion):
        self.suspicions.append(suspicion)
        suspicion.examined.set()

    def complete(self, suspects, *, began_at_s):
        self.completed.append(set(suspects))


def serve(
    name,
    *outcomes,
    stages=None,
    crashes=None,
    config=CONFIG,
    headers=(),
    upstreams=3,
    refuse_after_s=None,
    end_after_s=None,
    write_s=0.0,
    statements=(),
    bounds=None,
    wait_ms=1500,
    stream_s=0.0,
    rooms=None,
    exchanger=None,
    hedge_share=0.0,
    leave_after_s=None,
    prepare=lambda view, health: None,
    metrics=None,
    memory=None,
    requests=1,
    spread=None,
):
    """Send one request through a relay.

    :param outcomes: Outcomes of the exchanges in order, see `FakeExchanger`.
    :param statements: Fields of answers that the first upstreams have just given.
    :param bounds: Changed bounds of the platform, by name.
    :param wait_ms: Time for which the caller waits, in milliseconds.
    :param spread: Spreads requests over upstreams, if given.
    :param refuse_after_s: Time after which the relay refuses unsent requests.
    :param end_after_s: Time after which the relay fails unanswered requests.
    :param write_s: Time that it takes to write the answer, in seconds.
    :param exchanger: Replaces the fake one.
    :param leave_after_s: Time after which the caller leaves.
    :param prepare: Changes the view and the health records before the request.
    :param requests: Number of requests, one after the other.
    """
    exchanger = exchanger or FakeExchanger(*outcomes, stream_s=stream_s)
    responder = FakeResponder(write_s)

    async def run():
        clock = trio.current_time
        view = PlatformView(report=lambda name, fields: None)
        items = [upstream_item(f"u{i}") for i in range(upstreams)]
        if config is not None:
            items.append(item("op/config", config))
        snapshot = Snapshot(items=tuple(items), revision=StoreRevision(1))
        view.apply_snapshot(snapshot, now_s=clock())
        limiter = new_limiter(clock)
        for number, fields in enumerate(statements):
            upstream = view.find(UpstreamId(f"u{number}")).registration
            limiter.record_answer(upstream, fields, sent_at_s=0.0)
        health = HealthTracker()
        cold = ColdUpstreamLimiter(
            daemon_id=DaemonId("d1"),
            health=health,
            limit_factor=1.5,
            extra_per_s=5.0,
            started_at_s=-10.0,
        )
        relay = Relay(
            view=view,
            router=Router(
                daemon_id=DaemonId("d1"),
                failure_domain=FailureDomainName("a"),
                health=health,
                cold=cold,
                limiter=limiter,
                random=Random(1),
                spread=spread,
            ),
            exchanger=exchanger,
            stages=stages or FakeStages(),
            budgets=RetryBudgets(
                bounds=replace(BOUNDS, **(bounds or {})), daemon_count=lambda: 8
            ),
            latencies=ServiceLatencies(),
            crashes=crashes or FakeCrashes(),
            answer_memory=memory or new_memory(),
            rollouts=new_rollouts(view, clock).requests,
            drain_admission=DrainAdmission(drain_period=lambda: None),
            events=EventLog(level="error"),
            metrics=metrics or Metrics(),
            clock=clock,
            rooms=rooms,
            hedge_share=hedge_share,
        )
        prepare(view, health)
        request = CallerRequest(
            method="POST",
            target=f"/{name}/x",
            headers=[
                (b"host", b"h.example"),
                (b"galenashift-attempt-id", b"a1"),
                (b"galenashift-deadline-ms", b"%d" % wait_ms),
                (b"x-api-key", b"key"),
                *headers,
            ],
            body=b"in",
            arrived_at_s=clock(),
        )
        if leave_after_s is not None:
            with trio.move_on_after(leave_after_s):
                await relay.handle(request, responder)
            return clock()
        if refuse_after_s is None and end_after_s is None:
            for _ in range(requests):
                request = replace(request, arrived_at_s=clock())
                responder.__init__(write_s)
                await relay.handle(request, responder)
            return clock()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay.handle, request, responder)
            if refuse_after_s is not None:
                await trio.sleep(refuse_after_s)
                relay.open_requests.refuse_unsent()
            if end_after_s is not None:
                await trio.sleep(end_after_s)
                relay.open_requests.fail_unanswered()
        return clock()

    clock = trio.testing.MockClock(autojump_threshold=0)
    responder.elapsed_s = trio.run(run, clock=clock)
    return exchanger, responder
