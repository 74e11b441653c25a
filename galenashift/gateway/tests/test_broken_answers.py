"""Answers that break off: what counts as whole, and as a sign of a crash."""

import pytest

from galenashift.gateway._outcomes import Answered, Broken, StreamEnded
from galenashift.gateway._stream import StreamWriter
from galenashift.gateway.tests.factories import new_memory
from galenashift.gateway.tests.relay_fakes import (
    EVENTS,
    REFUSED,
    FakeResponder,
    answered,
    serve,
)
from galenashift.gateway.tests.test_exchange import (
    CHUNKED_HEAD,
    COMPLETE_ANSWER,
    Upstream,
    new_request,
    run_exchange,
)


async def keep_nothing(head, data):
    return False


@pytest.mark.parametrize(
    ("script", "reset"),
    [
        (("close",), True),
        ((CHUNKED_HEAD[:20], "close"), True),
        ((CHUNKED_HEAD, "close"), True),
        ((CHUNKED_HEAD, b"4\r\nid: \r\n", "close"), True),
        ((CHUNKED_HEAD, b"4\r\nid: \r\n", "reset"), True),
        ((CHUNKED_HEAD, b"no chunk\r\n", "hang"), False),
    ],
    ids=["no head", "in the head", "no data", "in an event", "reset", "not HTTP"],
)
def test_close_before_the_end_of_an_answer_may_be_a_crash(script, reset):
    # Upstreams that crash as they begin an answer close the connection in its body. It
    # did not count, so the requests that crashed them were never suspected.
    outcome = run_exchange(
        Upstream(("read", *script)),
        lambda exchange: exchange(request=new_request(), sink=keep_nothing),
    )
    assert isinstance(outcome, Broken)
    assert outcome.reset is reset


UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\n\r\n"
LENGTH_HEAD = UNFRAMED_HEAD[:-2] + b"Content-Length: %d\r\n\r\n"
JSON_HEAD = UNFRAMED_HEAD[:-2] + b"Content-Type: application/json\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"
CRLF_EVENT = EVENT.replace(b"\n", b"\r\n")
PART = b"id: 2\nda"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKED_END = b"0\r\n\r\n"
STREAMS = {
    "unframed": ((UNFRAMED_HEAD, EVENT, "close"), EVENT, True),
    "chunked": ((CHUNKED_HEAD, chunk(EVENT), CHUNKED_END), EVENT, True),
    "other line ends": ((UNFRAMED_HEAD, CRLF_EVENT, "close"), CRLF_EVENT, True),
    "empty line at the end": (
        (UNFRAMED_HEAD, EVENT + b"\n", "close"),
        EVENT + b"\n",
        True,
    ),
    "no event stream": ((JSON_HEAD, b"{}", "close"), b"", True),
    "empty with an end": ((CHUNKED_HEAD, CHUNKED_END), b"", True),
    "unframed, cut": ((UNFRAMED_HEAD, EVENT + PART, "close"), EVENT, False),
    "chunked, cut": ((CHUNKED_HEAD, chunk(EVENT + PART), CHUNKED_END), EVENT, False),
    "length, cut": ((LENGTH_HEAD % 23, EVENT + PART, "hang"), EVENT, False),
    "unframed, reset": ((UNFRAMED_HEAD, EVENT, 0.05, "reset"), EVENT, False),
    "first event cut": ((UNFRAMED_HEAD, PART, "close"), b"", False),
    "unframed, empty": ((UNFRAMED_HEAD, "close"), b"", False),
}


@pytest.mark.parametrize(
    "script",
    [
        (CHUNKED_HEAD, b"0\r\n\r\n"),
        (CHUNKED_HEAD + b"0\r\n\r\n",),
        (
            CHUNKED_HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: 0"),
            "hang",
        ),
    ],
    ids=["chunks", "at once", "length"],
)
def test_complete_stream_without_an_event_is_answered(script):
    # Guards against callers that resume a stream after its last event, and whose
    # connection was closed without an answer as no data came with the head.
    responder = FakeResponder()
    writer = StreamWriter(responder=responder, last_id="9", memory=new_memory())

    async def scenario(exchange):
        outcome = await exchange(
            request=new_request(), sink=writer.forward, is_whole=writer.is_whole
        )
        await writer.finish()
        return outcome

    outcome = run_exchange(Upstream(("read", *script)), scenario)
    assert outcome == StreamEnded(complete=True, started=False, detail="")
    assert responder.status == 200
    assert responder.finished
    assert responder.body == b""


@pytest.mark.parametrize(
    ("script", "forwarded", "whole"), STREAMS.values(), ids=STREAMS
)
def test_stream_that_ends_inside_an_event_has_been_broken_off(script, forwarded, whole):
    # A stream cut inside an event was passed on with the part of the event and marked
    # complete, whenever its length or its end was stated, or its connection ended.
    responder = FakeResponder()
    writer = StreamWriter(responder=responder, last_id=None, memory=new_memory())
    outcome = run_exchange(
        Upstream(("read", *script)),
        lambda exchange: exchange(
            request=new_request(), sink=writer.forward, is_whole=writer.is_whole
        ),
    )
    assert responder.body == forwarded
    match outcome:
        case StreamEnded(complete=complete):
            assert complete is whole
            assert whole or forwarded
        case Broken(reset=reset):
            assert reset
            assert not whole
            assert not forwarded
        case _:
            pytest.fail(f"{outcome}")


@pytest.mark.parametrize("is_stream", [False, True])
def test_answer_that_ends_with_its_upstream_is_broken_off(is_stream):
    # An upstream was killed between two events. Without a length, its stream ended like
    # a complete one, and the caller got it as such.
    script = ("read", UNFRAMED_HEAD, EVENT, "stop-listening", "close")
    options = {"sink": keep_nothing} if is_stream else {}
    outcome = run_exchange(
        Upstream(script), lambda exchange: exchange(request=new_request(), **options)
    )
    assert isinstance(outcome, Broken)
    assert outcome.reset


#: Larger than the socket buffers, so that the upstream resets the connection first.
UPLOAD = b"x" * 16_000_000


@pytest.mark.parametrize("pause_s", [0.0, 0.01, 0.1])
@pytest.mark.parametrize("is_stream", [False, True])
def test_answer_that_is_reset_during_the_upload_is_broken_off(pause_s, is_stream):
    # The write of the request got the error of the reset, so that the read took the end
    # of the connection for the end of the answer, and the caller got a part as a whole.
    script = ("read", UNFRAMED_HEAD, EVENT, pause_s, "reset")
    upstream = Upstream(*[script] * 10)

    async def scenario(exchange):
        options = {"sink": keep_nothing} if is_stream else {}
        request = new_request(body=UPLOAD)
        return [await exchange(request=request, **options) for _ in range(10)]

    for outcome in run_exchange(upstream, scenario):
        assert isinstance(outcome, Broken)
        assert outcome.reset


def test_answer_without_a_length_may_end_before_the_upload():
    # The upstream only ends its side, and reads on: nothing was broken off.
    half_closed = ("read", UNFRAMED_HEAD, b"whole", "close-write", "read-all")
    outcome = run_exchange(
        Upstream(half_closed),
        lambda exchange: exchange(request=new_request(body=UPLOAD)),
    )
    assert isinstance(outcome, Answered)
    assert outcome.body == b"whole"


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
@pytest.mark.parametrize("head", [UNFRAMED_HEAD, LENGTH_HEAD % 2])
def test_answer_with_a_status_outside_http_is_none(status, head):
    # An upstream in trouble sent an answer with the status 000, and the caller got it.
    script = ("read", head.replace(b"200", status, 1) + b"ok", "close")
    outcome = run_exchange(
        Upstream(script), lambda exchange: exchange(request=new_request())
    )
    assert isinstance(outcome, Broken)


BROKEN_OFF = StreamEnded(complete=False, started=True, detail="closed")


@pytest.mark.parametrize("status", [400, 500])
def test_error_of_the_next_upstream_is_not_written_into_a_stream(status):
    # A second head was written in the middle of the stream, and the handler ended with
    # an exception of the HTTP parser.
    exchanger, responder = serve("resumed", BROKEN_OFF, answered(status))
    assert len(exchanger.requests) == 2
    assert responder.body == EVENTS
    assert not responder.finished


def test_refusal_in_a_begun_stream_ends_it_incomplete():
    exchanger, responder = serve("resumed", BROKEN_OFF, REFUSED)
    assert len(exchanger.requests) == 2
    assert responder.body == EVENTS
    assert not responder.finished


@pytest.mark.parametrize("repeatable", [False, True])
def test_copy_of_an_earlier_refusal_is_no_promise(repeatable):
    # A copy of a 421 without an id on a kept connection told callers of repeatable
    # requests, too, that nothing had run.
    refusal = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
    upstream = Upstream(
        ("read", COMPLETE_ANSWER, "read", refusal, COMPLETE_ANSWER, "hang")
    )

    async def scenario(exchange):
        await exchange(request=new_request())
        return await exchange(request=new_request(repeatable=repeatable))

    assert isinstance(run_exchange(upstream, scenario), Broken)
