"""Exchanges with upstreams that misbehave on their sockets."""

import os
import time
from functools import partial

import pytest
import trio

from galenashift.gateway._connection import UpstreamConnection
from galenashift.gateway._exchange import (
    Answered,
    Broken,
    Exchanger,
    NotSent,
    OutgoingRequest,
    Refused,
    Silent,
    StreamEnded,
    Waits,
)
from galenashift.gateway._pool import ConnectionPool
from galenashift.model import (
    FailureDomainName,
    InstanceState,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
)

WHOLE = b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok"
OTHER = WHOLE.replace(b"a1", b"a0").replace(b"ok", b"no")
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
WAITS = Waits(first_s=0.5, gap_s=0.3)


def new_request(*, body=b"in", repeatable=True, attempt_id="a1"):
    headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
    return OutgoingRequest(
        attempt_id=attempt_id,
        method="POST",
        target="/a/b?c",
        headers=headers,
        body=body,
        repeatable=repeatable,
    )


class Upstream:
    """A socket that plays scripts: bytes, ``close``, ``reset`` or ``hang``."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.received = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        script = self.scripts.pop(0)
        for step in script:
            if isinstance(step, bytes):
                await stream.send_all(step)
            elif step == "read":
                self.received.append(await stream.receive_some(65_536))
            elif isinstance(step, tuple):
                # The whole process stands still just after the bytes have arrived.
                os.write(stream.socket.fileno(), step[0])
                time.sleep(step[1])
            elif step == "hang":
                await trio.sleep_forever()
            elif step == "reset":
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                stream.socket.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
                )
                break
        stream.socket.close()


def play(upstream, use):
    """Run `use(exchange)` against the upstream."""

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(partial(trio.serve_listeners, upstream.serve, listeners))
            registration = RegisteredUpstream(
                upstream_id=UpstreamId("u1"),
                service=ServiceName("pool"),
                host="127.0.0.1",
                port=port,
                failure_domain=FailureDomainName("a"),
                state=InstanceState.READY,
                slots=4,
                cold_left_s=0.0,
            )
            exchanger = Exchanger(pool=ConnectionPool(), clock=trio.current_time)
            exchange = partial(exchanger.exchange, upstream=registration, waits=WAITS)
            result = await use(exchange)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


def once(*script, **request):
    upstream = Upstream(script)
    outcome = play(upstream, lambda exchange: exchange(request=new_request(**request)))
    return upstream, outcome


def test_request_and_answer_pass_unchanged():
    upstream, outcome = once("read", WHOLE, "read")
    assert upstream.received[0].startswith(b"POST /a/b?c HTTP/1.1\r\n")
    assert upstream.received[0].endswith(b"\r\n\r\nin")
    assert isinstance(outcome, Answered)
    assert outcome.body == b"ok"


def test_connection_is_kept_after_a_whole_answer():
    upstream = Upstream(("read", WHOLE, "read", WHOLE, "hang"))

    async def use(exchange):
        await exchange(request=new_request())
        return await exchange(request=new_request())

    assert isinstance(play(upstream, use), Answered)
    assert upstream.connections == 1


@pytest.mark.parametrize(
    "script",
    [
        ("read", "close"),
        ("read", "reset"),
        ("read", WHOLE[:-1], "close"),
        ("read", CHUNKED_HEAD + b"2\r\nok\r\n", "close"),
        ("read", b"not http at all\r\n\r\n", "hang"),
        ("read", WHOLE[:20], "reset"),
    ],
)
def test_broken_answer_is_no_answer(script):
    # A part of an answer that looks complete would be delivered as if it were whole.
    _, outcome = once(*script)
    assert isinstance(outcome, Broken)


def test_silence_ends_the_wait():
    _, outcome = once("read", "hang")
    assert outcome == Silent()


def test_answer_of_an_earlier_request_is_skipped():
    # An upstream that answers twice would have its second answer given to the next
    # caller of the connection.
    _, outcome = once("read", OTHER + WHOLE, "hang")
    assert isinstance(outcome, Answered)
    assert outcome.body == b"ok"


def test_connection_with_extra_bytes_is_not_used_again():
    upstream = Upstream(("read", WHOLE + OTHER, "hang"), ("read", WHOLE, "hang"))

    async def use(exchange):
        await exchange(request=new_request())
        return await exchange(request=new_request())

    assert isinstance(play(upstream, use), Answered)
    assert upstream.connections == 2


def test_only_answers_of_others_are_no_answer():
    _, outcome = once("read", OTHER + OTHER + OTHER, "hang")
    assert isinstance(outcome, Broken)


def test_refusal_that_states_so_is_not_run():
    refusal = (
        b"HTTP/1.1 503 Full\r\nGalenashift-Attempt-Id: a1\r\n"
        b"Galenashift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    _, outcome = once("read", refusal, "hang")
    assert isinstance(outcome, Refused)
    assert not outcome.misdirected


def test_refusal_that_states_nothing_may_have_run():
    failure = (
        b"HTTP/1.1 503 Failed\r\nGalenashift-Attempt-Id: a1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    _, outcome = once("read", failure, "hang")
    assert isinstance(outcome, Answered)


def test_answer_before_the_end_of_a_long_body():
    # The connection cannot carry another request: the upstream still expects the rest
    # of the body.
    upstream = Upstream(("read", WHOLE, "hang"), ("read", WHOLE, "hang"))

    async def use(exchange):
        first = await exchange(request=new_request(body=b"x" * 20_000_000))
        second = await exchange(request=new_request())
        return first, second

    first, second = play(upstream, use)
    assert isinstance(first, Answered)
    assert isinstance(second, Answered)
    assert upstream.connections == 2


def test_answer_without_length_ends_with_its_connection():
    head = b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\n\r\n"
    _, whole = once("read", head + b"ok", "close")
    assert isinstance(whole, Answered)
    assert whole.body == b"ok"
    _, cut = once("read", head + b"o", "reset")
    assert isinstance(cut, Broken)


def test_nothing_is_sent_once_the_upstream_may_get_no_work():
    # Connecting takes time, in which the upstream may have begun to leave.
    upstream = Upstream(("read", WHOLE))
    outcome = play(
        upstream,
        lambda exchange: exchange(request=new_request(), may_send=lambda: False),
    )
    assert isinstance(outcome, NotSent)
    assert upstream.received in ([], [b""])


def test_idle_connection_is_not_used_for_an_action_after_a_second():
    # An upstream may have dropped it; the action could then not be told from one that
    # has run.
    upstream = Upstream(("read", WHOLE, "hang"), ("read", WHOLE, "hang"))

    async def use(exchange):
        await exchange(request=new_request())
        await trio.sleep(1.05)
        return await exchange(request=new_request(repeatable=False))

    assert isinstance(play(upstream, use), Answered)
    assert upstream.connections == 2


def stream(*script):
    parts = []

    async def sink(head, data):
        parts.append(data)
        return True

    upstream = Upstream(script)
    outcome = play(
        upstream, lambda exchange: exchange(request=new_request(), sink=sink)
    )
    return b"".join(parts), outcome


def test_stream_arrives_in_parts_and_ends():
    data, outcome = stream(
        "read", CHUNKED_HEAD, b"2\r\nab\r\n", b"2\r\ncd\r\n", b"0\r\n\r\n", "hang"
    )
    assert data == b"abcd"
    assert outcome == StreamEnded(complete=True, started=True, detail="")


def test_stream_that_breaks_off_is_incomplete():
    data, outcome = stream("read", CHUNKED_HEAD, b"2\r\nab\r\n", "reset")
    assert data == b"ab"
    assert isinstance(outcome, StreamEnded)
    assert not outcome.complete


def test_pause_in_a_stream_ends_the_wait():
    _, outcome = stream("read", CHUNKED_HEAD, b"2\r\nab\r\n", "hang")
    assert outcome == Silent(started=True)


def test_unreachable_upstream_has_got_nothing():
    async def run():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        registration = RegisteredUpstream(
            upstream_id=UpstreamId("u1"),
            service=ServiceName("pool"),
            host="127.0.0.1",
            port=port,
            failure_domain=FailureDomainName("a"),
            state=InstanceState.READY,
            slots=4,
            cold_left_s=0.0,
        )
        exchanger = Exchanger(pool=ConnectionPool(), clock=trio.current_time)
        return await exchanger.exchange(
            upstream=registration, request=new_request(), waits=WAITS
        )

    assert isinstance(trio.run(run), NotSent)


@pytest.mark.parametrize("attempt", range(20))
def test_kept_connection_that_ends_before_the_request_is_written(attempt):
    # The end of the connection was read before the request was encoded, and the error
    # of the parser ended the caller's connection. The order of the two tasks is random,
    # so one attempt shows it only now and then.
    upstream = Upstream(("read", WHOLE, "close"), ("read", WHOLE, "hang"))

    async def use(exchange):
        await exchange(request=new_request())
        # Let the end of the connection arrive after the look at it.
        original = UpstreamConnection.is_quiet
        UpstreamConnection.is_quiet = lambda self: True
        try:
            await trio.sleep(0.02)
            return await exchange(request=new_request())
        finally:
            UpstreamConnection.is_quiet = original

    assert isinstance(play(upstream, use), Broken)


def test_write_to_a_slow_caller_is_not_cut_by_the_upstreams_wait():
    # Found by a hunt (kssco-swap, silent-connections, seed 134887082205): a daemon that
    # had been frozen woke after the wait, the write of the head was cancelled, and the
    # stream that resumed elsewhere went to the caller without a head.
    parts = []

    async def sink(head, data):
        await trio.sleep(0.7)
        parts.append(data)
        return True

    upstream = Upstream(
        ("read", CHUNKED_HEAD + b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", "hang")
    )
    outcome = play(
        upstream, lambda exchange: exchange(request=new_request(), sink=sink)
    )
    assert b"".join(parts) == b"abcd"
    assert outcome == StreamEnded(complete=True, started=True, detail="")


def test_data_that_waits_while_the_process_stands_still_is_not_half_written():
    # Found by a hunt (koinos-sync, silent-connections, seed 406440851428): after a
    # freeze, data and the end of the wait are seen in the same turn of the loop, and
    # the write was begun and cut.
    begun, ended = [], []

    async def sink(head, data):
        begun.append(data)
        await trio.sleep(0.01)
        ended.append(data)
        return True

    frozen = (CHUNKED_HEAD + b"2\r\nab\r\n0\r\n\r\n", 0.8)
    upstream = Upstream(("read", frozen, "hang"))
    play(upstream, lambda exchange: exchange(request=new_request(), sink=sink))
    assert begun == ended
