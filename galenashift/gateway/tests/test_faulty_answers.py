"""Answers of faulty upstreams: without end, late copies, and stalled streams."""

import contextlib
import json

import pytest
import trio

from galenashift.gateway._connection import AnswerEvicted, AnswerTooLarge
from galenashift.gateway._event_parts import MAX_EVENT_BYTES, EventSplitter
from galenashift.gateway._outcomes import Answered, Broken, Refused, Silent, StreamEnded
from galenashift.gateway._recent_handles import MAX_HANDLES, RecentHandles
from galenashift.gateway._stage_call import StageCaller
from galenashift.gateway._stage_job import Batch, PieceRef
from galenashift.gateway._times import next_event_deadline_s
from galenashift.gateway._upstream_registry import KnownUpstream
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.factories import new_job, new_memory, new_rollouts
from galenashift.gateway.tests.test_exchange import (
    CHUNKED_HEAD,
    COMPLETE_ANSWER,
    MAX_ANSWER_BYTES,
    OTHER_ANSWER,
    Upstream,
    exchange_once,
    new_request,
    run_exchange,
    run_exchanger,
)
from galenashift.model import Handle
from galenashift.platform import Piece, StageAnswerError

_UNIDENTIFIED_421 = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
_INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: " + b"x" * 1_000 + b"\r\n\r\n"
_OTHER_CHUNKED_HEAD = CHUNKED_HEAD.replace(b"a1", b"a0")


def _chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


@pytest.mark.parametrize(
    ("script", "part"),
    [
        ((CHUNKED_HEAD, *[_chunk(10_000)] * 1_000), "body"),
        ((CHUNKED_HEAD[:-2] + b"Connection: close\r\n\r\n", _chunk(200_000)), "body"),
        ((_INFORMATIONAL,) * 1_000, "head"),
        ((_OTHER_CHUNKED_HEAD, *[_chunk(10_000)] * 1_000), "body"),
    ],
)
def test_answer_without_end_is_cut_off_and_may_have_run(script, part):
    # An upstream that sends without end filled the memory of the daemon, which takes
    # down all its requests. Whether the request was executed is unknown.
    _, outcome = exchange_once("read", *script, "hang")
    assert isinstance(outcome, Broken)
    assert part in outcome.detail
    assert "more than" in outcome.detail


def test_largest_answer_is_cut_off_if_all_together_are_too_large():
    # Guards against answers without end that each stay below their bound, and together
    # fill the memory of the process; a sound answer beside them arrives.
    sound = (CHUNKED_HEAD, b"2\r\nok\r\n", 0.2, b"0\r\n\r\n")
    endless = (CHUNKED_HEAD, *[_chunk(10_000), 0.01] * 8, "hang")
    memory = new_memory(limit_bytes=65_000)
    outcomes = {}

    async def scenario(exchange):
        async def send(name):
            outcomes[name] = await exchange(request=new_request())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "sound")
            await trio.sleep(0.05)
            nursery.start_soon(send, "endless")
            await trio.sleep(0.05)
            nursery.start_soon(send, "last")

    upstream = Upstream(("read", *sound), ("read", *endless), ("read", *endless))
    run_exchange(upstream, scenario, memory=memory)
    assert isinstance(outcomes["sound"], Answered)
    assert isinstance(outcomes["endless"], Broken)
    assert "largest" in outcomes["endless"].detail
    assert memory.used_bytes == 0


def test_events_without_end_share_the_memory_of_all_answers():
    # Guards against many streams whose events never end: the largest is cut off, its
    # memory is free at once, and the stream may resume at another upstream.
    memory = new_memory(limit_bytes=250_000)
    endless = EventSplitter(memory=memory)
    sound = EventSplitter(memory=memory)
    sound.feed(b"data: ")
    endless.feed(b"x" * 100_000)
    with pytest.raises(AnswerEvicted):
        endless.feed(b"x" * 150_000)
    assert endless.is_evicted
    assert memory.used_bytes == len(b"data: ")
    assert sound.feed(b"y\n\n") == b"data: y\n\n"
    endless.discard_partial()
    assert endless.feed(b"data: z\n\n") == b"data: z\n\n"
    assert memory.used_bytes == 0


def test_answer_of_the_largest_size_is_complete():
    head = CHUNKED_HEAD + _chunk(MAX_ANSWER_BYTES) + b"0\r\n\r\n"
    _, outcome = exchange_once("read", head, "hang")
    assert isinstance(outcome, Answered)
    assert len(outcome.body) == MAX_ANSWER_BYTES


def test_event_without_end_is_cut_off():
    splitter = EventSplitter(memory=new_memory())
    part = b"x" * 100_000
    for _ in range(MAX_EVENT_BYTES // len(part)):
        assert splitter.feed(part) == b""
    with pytest.raises(AnswerTooLarge):
        splitter.feed(part)


def _cut_at_s(arrivals, *, first_byte_s, event_gap_s):
    """Return when a stream times out, or None if all its data arrives in time."""
    deadline_s = first_byte_s
    for at_s, event_ended in arrivals:
        if at_s > deadline_s:
            return deadline_s
        deadline_s = next_event_deadline_s(
            deadline_s=deadline_s,
            event_ended=event_ended,
            event_gap_s=event_gap_s,
            now_s=at_s,
        )
    return None


@pytest.mark.parametrize(
    ("arrivals", "cut_at_s"),
    [
        # Slow but sound: each event within the gap, in single bytes or whole.
        ([(0.9, True), (1.8, True), (2.7, True)], None),
        ([(0.5, False), (0.9, True), (1.4, False), (1.8, True)], None),
        # Stalled: bytes arrive, but no event ends.
        ([(0.9, True), (1.4, False), (1.8, False), (2.2, False)], 1.9),
        ([(0.4, False), (0.8, False), (1.2, False)], 1.0),
        # Silent after its first event.
        ([(0.2, True), (9.0, True)], 1.2),
    ],
)
def test_only_whole_events_are_progress(arrivals, cut_at_s):
    # A stalled stream that sent a byte now and then never timed out.
    cut_s = _cut_at_s(arrivals, first_byte_s=1.0, event_gap_s=1.0)
    assert cut_s == (None if cut_at_s is None else pytest.approx(cut_at_s))


def test_stalled_stream_that_sends_single_bytes_times_out():
    splitter = EventSplitter(memory=new_memory())

    async def sink(head, data):
        return bool(splitter.feed(data))

    event = b"id: 1\ndata: x\n\n"
    script = [CHUNKED_HEAD, b"%x\r\n%s\r\n" % (len(event), event)]
    # A byte each 0.2 s, within the event gap of 0.3 s.
    script += [0.2, b"1\r\nd\r\n"] * 10
    outcome = run_exchange(
        Upstream(("read", *script, "hang")),
        lambda exchange: exchange(request=new_request(), sink=sink),
    )
    assert outcome == Silent(started=True)


def _second_answer(first, *later, repeatable):
    """Return the outcome of a second request and the number of connections."""
    upstream = Upstream(("read", first, "read", *later, "hang"), ("read", *later))

    async def scenario(exchange):
        await exchange(request=new_request())
        return await exchange(request=new_request(repeatable=repeatable))

    return run_exchange(upstream, scenario), upstream.connections


def test_late_421_is_no_promise_for_a_request_that_must_not_run_twice():
    # A copy of an earlier 421 made the caller believe that its action had not run.
    outcome, connections = _second_answer(
        COMPLETE_ANSWER, _UNIDENTIFIED_421, repeatable=False
    )
    assert connections == 1
    assert isinstance(outcome, Broken)


def test_421_on_a_new_connection_is_the_answer():
    _, outcome = exchange_once("read", _UNIDENTIFIED_421, "hang", repeatable=False)
    assert isinstance(outcome, Refused)
    assert outcome.misdirected


@pytest.mark.parametrize(
    "first", [_UNIDENTIFIED_421, OTHER_ANSWER + COMPLETE_ANSWER], ids=["421", "copy"]
)
def test_connection_with_an_unmatched_answer_is_not_used_again(first):
    # The upstream may send another copy, which would meet the next request.
    outcome, connections = _second_answer(first, COMPLETE_ANSWER, repeatable=True)
    assert connections == 2
    assert isinstance(outcome, Answered)


def test_copy_of_the_own_stream_head_does_not_complete_it():
    # A stream that ends early must not look complete.
    async def sink(head, data):
        return True

    outcome = run_exchange(
        Upstream(("read", CHUNKED_HEAD, _chunk(2), "close")),
        lambda exchange: exchange(request=new_request(), sink=sink),
    )
    assert isinstance(outcome, StreamEnded)
    assert not outcome.complete


def _piece(attempt_id, index=0):
    return Piece(attempt_id=attempt_id, stage=0, index=index, key="k", inputs=None)


def _stage_answer(*handles):
    return json.dumps({"items": [{"handle": each} for each in handles]}).encode()


@pytest.mark.parametrize(
    ("pieces", "handles", "accepted"),
    [
        ([_piece("a1")], ["10.0.0.1:80/aa"], True),
        ([_piece("a2")], ["10.0.0.1:80/ab"], True),
        ([_piece("a2")], ["10.0.0.1:80/aa"], False),
        ([_piece("a1", index=1)], ["10.0.0.1:80/aa"], False),
        ([_piece("a3"), _piece("a2")], ["10.0.0.1:80/ac", "10.0.0.1:80/aa"], False),
    ],
)
def test_copy_of_a_stage_answer_is_recognised_by_its_handles(pieces, handles, accepted):
    # Calls of stage upstreams have no attempt id. A late copy of an answer gave the
    # results of one request to another.
    recent = RecentHandles()
    recent.add(Handle("10.0.0.1:80/aa"), _piece("a1"))
    body = _stage_answer(*handles)
    if accepted:
        assert recent.decode_answer(body, pieces=pieces) == tuple(handles)
        return
    with pytest.raises(StageAnswerError):
        recent.decode_answer(body, pieces=pieces)


def _stage_reply(*, status=200, items):
    body = json.dumps({"items": items}).encode()
    not_executed = b"" if status == 200 else b"Galenashift-Not-Executed: 1\r\n"
    head = b"HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n"
    return head % (status, not_executed, len(body)) + body


_RESULTS = tuple(
    _stage_reply(items=[{"handle": f"10.0.0.1:80/h{number}"}]) for number in range(2)
)


@pytest.mark.parametrize(
    "first",
    [
        _stage_reply(items=[{"reason": "error"}]),
        _stage_reply(items=[{"reason": "room"}]),
        _stage_reply(status=503, items=[]),
        _stage_reply(items=[]),
    ],
    ids=["error", "room", "refused", "malformed"],
)
def test_late_copy_of_a_stage_answer_without_results_shifts_no_results(first):
    # Guards against requests that get the results of another one: the copy was taken
    # for the answer to the next call, whose own answer then met the call after it.
    upstream = Upstream(
        ("read", first, "read", first + _RESULTS[0], "read", _RESULTS[1]),
        ("read", _RESULTS[0], "read", _RESULTS[1]),
    )

    async def scenario(exchanger, registration):
        view = PlatformView(report=lambda name, fields: None)
        caller = StageCaller(
            exchanger=exchanger, rollouts=new_rollouts(view).calls, clock=lambda: 0.0
        )
        known = KnownUpstream(
            registration=registration, received_at_s=0.0, cold_until_s=0.0
        )
        results = []
        for name in ("a1", "a2", "a3"):
            ref = PieceRef(job=new_job(name), index=0)
            batch = Batch(upstream_id=registration.upstream_id, pieces=(ref,))
            outcome = await caller.call(known, batch, expected_s=0.5)
            if not isinstance(outcome, Answered):
                continue
            with contextlib.suppress(StageAnswerError):
                (result,) = caller.decode_answer(batch, outcome.body)
                results.append(result)
                if isinstance(result, str):
                    caller.remember(result, ref)
        return results

    results = run_exchanger(upstream, scenario)
    assert results[-2:] == ["10.0.0.1:80/h0", "10.0.0.1:80/h1"]


def test_remembered_handles_are_bounded():
    recent = RecentHandles()
    for number in range(MAX_HANDLES + 10):
        recent.add(Handle(f"10.0.0.1:80/{number}"), _piece("a1"))
    assert len(recent) == MAX_HANDLES
