"""Answers of upstreams that arrive as a stream."""

import trio

from galenashift.gateway._outcomes import Silent, StreamEnded
from galenashift.gateway.tests.test_exchange import (
    CHUNKED_HEAD,
    Upstream,
    new_request,
    run_exchange,
)


def stream(*script):
    parts = []

    async def sink(head, data):
        parts.append(data)
        return True

    upstream = Upstream(script)
    outcome = run_exchange(
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


def test_pause_in_a_stream_times_out():
    _, outcome = stream("read", CHUNKED_HEAD, b"2\r\nab\r\n", "hang")
    assert outcome == Silent(started=True)


def test_write_to_a_slow_caller_is_not_cancelled_by_the_upstream_timeout():
    # After a freeze of the daemon, the timeout cancelled the write of the head. The
    # stream resumed at another upstream and reached the caller without a head.
    # A hunt found it (kssco-swap, silent-connections, seed 134887082205).
    parts = []

    async def sink(head, data):
        await trio.sleep(0.7)
        parts.append(data)
        return True

    upstream = Upstream(
        ("read", CHUNKED_HEAD + b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", "hang")
    )
    outcome = run_exchange(
        upstream, lambda exchange: exchange(request=new_request(), sink=sink)
    )
    assert b"".join(parts) == b"abcd"
    assert outcome == StreamEnded(complete=True, started=True, detail="")


def test_data_read_after_a_process_freeze_is_written_completely():
    # After a freeze of the process, the event loop sees the data and the timeout in the
    # same iteration. The write to the caller was started and then cancelled.
    # A hunt found it (koinos-sync, silent-connections, seed 406440851428).
    begun, ended = [], []

    async def sink(head, data):
        begun.append(data)
        await trio.sleep(0.01)
        ended.append(data)
        return True

    blocking_step = (CHUNKED_HEAD + b"2\r\nab\r\n0\r\n\r\n", 0.8)
    upstream = Upstream(("read", blocking_step, "hang"))
    run_exchange(upstream, lambda exchange: exchange(request=new_request(), sink=sink))
    assert begun == ended
