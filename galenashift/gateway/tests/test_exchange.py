"""Exchanges with upstreams whose connections fail in various ways."""

import contextlib
import os
import time
from functools import partial

import pytest
import trio

from galenashift.gateway._connection import UpstreamConnection
from galenashift.gateway._exchange import Exchanger, ExchangeTimeouts, OutgoingRequest
from galenashift.gateway._outcomes import Answered, Broken, NotSent, Refused, Silent
from galenashift.gateway._pool import ConnectionPool
from galenashift.gateway.tests.factories import new_limiter, new_memory, registration_at

COMPLETE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok"
)
OTHER_ANSWER = COMPLETE_ANSWER.replace(b"a1", b"a0").replace(b"ok", b"no")
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
#: Largest answer to a request of these tests, in bytes.
MAX_ANSWER_BYTES = 100_000
TIMEOUTS = ExchangeTimeouts(first_byte_s=0.5, event_gap_s=0.3)


def new_request(*, body=b"in", repeatable=True, attempt_id="a1"):
    headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
    return OutgoingRequest(
        attempt_id=attempt_id,
        method="POST",
        target="/a/b?c",
        headers=headers,
        body=body,
        repeatable=repeatable,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )


class Upstream:
    """A server that runs one script per connection.

    The steps are ``read``, ``read-all``, ``close``, ``close-write``, ``reset``,
    ``hang``, ``stop-listening``, bytes to write, a pause in seconds, or a tuple of
    bytes to write and the time for which the process is then blocked, in seconds.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.received = []
        self.connections = 0
        self.accepting = trio.CancelScope()
        self.listeners = []

    async def accept(self, nursery):
        """Accept connections until a script stops it."""
        with self.accepting:
            await trio.serve_listeners(
                self.serve, self.listeners, handler_nursery=nursery
            )

    async def serve(self, stream):
        self.connections += 1
        # The daemon may break off the answer.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._play(stream, self.scripts.pop(0) if self.scripts else ())
        stream.socket.close()

    async def _play(self, stream, script):
        for step in script:
            if isinstance(step, bytes):
                await stream.send_all(step)
            elif step == "read":
                self.received.append(await stream.receive_some(65_536))
            elif step == "read-all":
                async for _ in stream:
                    pass
            elif step == "close-write":
                await stream.send_eof()
            elif step == "stop-listening":
                self.accepting.cancel()
                for listener in self.listeners:
                    listener.socket.close()
            elif isinstance(step, tuple):
                # Block the whole process right after the bytes have arrived.
                os.write(stream.socket.fileno(), step[0])
                time.sleep(step[1])
            elif isinstance(step, float):
                await trio.sleep(step)
            elif step == "hang":
                await trio.sleep_forever()
            elif step == "reset":
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                stream.socket.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
                )
                break


def new_exchanger(*, memory=None):
    """Return an exchanger with its own connections."""
    return Exchanger(
        pool=ConnectionPool(memory=memory or new_memory()),
        limiter=new_limiter(trio.current_time),
        clock=trio.current_time,
    )


def run_exchanger(upstream, scenario, *, memory=None):
    """Run `scenario(exchanger, registration)` against the upstream."""

    async def run():
        exchanger = new_exchanger(memory=memory)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            upstream.listeners = listeners
            nursery.start_soon(upstream.accept, nursery)
            result = await scenario(exchanger, registration_at(port))
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


def run_exchange(upstream, scenario, *, memory=None):
    """Run `scenario(exchange)` against the upstream."""

    async def run(exchanger, registration):
        return await scenario(
            partial(exchanger.exchange, upstream=registration, timeouts=TIMEOUTS)
        )

    return run_exchanger(upstream, run, memory=memory)


def exchange_once(*script, **request):
    upstream = Upstream(script)
    outcome = run_exchange(
        upstream, lambda exchange: exchange(request=new_request(**request))
    )
    return upstream, outcome


def test_request_and_answer_pass_unchanged():
    upstream, outcome = exchange_once("read", COMPLETE_ANSWER, "read")
    assert upstream.received[0].startswith(b"POST /a/b?c HTTP/1.1\r\n")
    assert upstream.received[0].endswith(b"\r\n\r\nin")
    assert isinstance(outcome, Answered)
    assert outcome.body == b"ok"


def test_connection_is_kept_after_a_whole_answer():
    upstream = Upstream(("read", COMPLETE_ANSWER, "read", COMPLETE_ANSWER, "hang"))

    async def scenario(exchange):
        await exchange(request=new_request())
        return await exchange(request=new_request())

    assert isinstance(run_exchange(upstream, scenario), Answered)
    assert upstream.connections == 1


def test_header_that_cannot_be_sent_fails_only_its_request():
    # The request would end without an answer to its caller.
    upstream = Upstream(("read", "hang"))
    request = new_request()
    request.headers.append((b"x-name", b" a"))
    outcome = run_exchange(upstream, lambda exchange: exchange(request=request))
    assert isinstance(outcome, NotSent)


@pytest.mark.parametrize(
    "script",
    [
        ("read", "close"),
        ("read", "reset"),
        ("read", COMPLETE_ANSWER[:-1], "close"),
        ("read", CHUNKED_HEAD + b"2\r\nok\r\n", "close"),
        ("read", b"not http at all\r\n\r\n", "hang"),
        ("read", COMPLETE_ANSWER[:20], "reset"),
    ],
)
def test_incomplete_answer_is_broken(script):
    # Otherwise a partial answer could be delivered to the caller as a complete one.
    _, outcome = exchange_once(*script)
    assert isinstance(outcome, Broken)


def test_missing_answer_times_out():
    _, outcome = exchange_once("read", "hang")
    assert outcome == Silent()


def test_answer_of_an_earlier_request_is_skipped():
    # If an upstream answers twice, the second answer must not be delivered to the next
    # request on the connection.
    _, outcome = exchange_once("read", OTHER_ANSWER + COMPLETE_ANSWER, "hang")
    assert isinstance(outcome, Answered)
    assert outcome.body == b"ok"


def test_connection_with_extra_bytes_is_not_used_again():
    upstream = Upstream(
        ("read", COMPLETE_ANSWER + OTHER_ANSWER, "hang"),
        ("read", COMPLETE_ANSWER, "hang"),
    )

    async def scenario(exchange):
        await exchange(request=new_request())
        return await exchange(request=new_request())

    assert isinstance(run_exchange(upstream, scenario), Answered)
    assert upstream.connections == 2


def test_only_answers_of_other_requests_are_broken():
    _, outcome = exchange_once(
        "read", OTHER_ANSWER + OTHER_ANSWER + OTHER_ANSWER, "hang"
    )
    assert isinstance(outcome, Broken)


def test_refusal_marked_not_executed_is_refused():
    refusal = (
        b"HTTP/1.1 503 Full\r\nGalenashift-Attempt-Id: a1\r\n"
        b"Galenashift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    _, outcome = exchange_once("read", refusal, "hang")
    assert isinstance(outcome, Refused)
    assert not outcome.misdirected


def test_refusal_without_the_mark_is_an_answer():
    failure = (
        b"HTTP/1.1 503 Failed\r\nGalenashift-Attempt-Id: a1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    _, outcome = exchange_once("read", failure, "hang")
    assert isinstance(outcome, Answered)


def test_answer_before_the_end_of_a_long_body_is_read():
    # The connection cannot be reused, as the upstream still expects the rest of the
    # request body.
    upstream = Upstream(
        ("read", COMPLETE_ANSWER, "hang"), ("read", COMPLETE_ANSWER, "hang")
    )

    async def scenario(exchange):
        first = await exchange(request=new_request(body=b"x" * 20_000_000))
        second = await exchange(request=new_request())
        return first, second

    first, second = run_exchange(upstream, scenario)
    assert isinstance(first, Answered)
    assert isinstance(second, Answered)
    assert upstream.connections == 2


def test_answer_without_length_ends_with_its_connection():
    head = b"HTTP/1.1 200 OK\r\nGalenashift-Attempt-Id: a1\r\n\r\n"
    _, complete = exchange_once("read", head + b"ok", "close")
    assert isinstance(complete, Answered)
    assert complete.body == b"ok"
    _, incomplete = exchange_once("read", head + b"o", "reset")
    assert isinstance(incomplete, Broken)


def test_nothing_is_sent_when_the_upstream_no_longer_accepts_requests():
    # The upstream may have started to drain while the connection was established.
    upstream = Upstream(("read", COMPLETE_ANSWER))
    outcome = run_exchange(
        upstream,
        lambda exchange: exchange(request=new_request(), may_send=lambda: False),
    )
    assert isinstance(outcome, NotSent)
    assert upstream.received in ([], [b""])


def test_non_repeatable_request_does_not_use_a_long_idle_connection():
    # If the upstream has dropped the idle connection, it would be unknown whether the
    # request was executed.
    upstream = Upstream(
        ("read", COMPLETE_ANSWER, "hang"), ("read", COMPLETE_ANSWER, "hang")
    )

    async def scenario(exchange):
        await exchange(request=new_request())
        await trio.sleep(1.05)
        return await exchange(request=new_request(repeatable=False))

    assert isinstance(run_exchange(upstream, scenario), Answered)
    assert upstream.connections == 2


def test_request_to_an_unreachable_upstream_is_not_sent():
    async def run():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        return await new_exchanger().exchange(
            upstream=registration_at(port), request=new_request(), timeouts=TIMEOUTS
        )

    assert isinstance(trio.run(run), NotSent)


@pytest.mark.parametrize("attempt", range(20))
def test_kept_connection_that_closes_before_the_write_is_broken(attempt):
    # The close was read before the request was encoded, and the error of the parser
    # then closed the caller's connection. The order of the two tasks is random, so the
    # test is repeated.
    upstream = Upstream(
        ("read", COMPLETE_ANSWER, "close"), ("read", COMPLETE_ANSWER, "hang")
    )

    async def scenario(exchange):
        await exchange(request=new_request())
        # Simulate a close that arrives after the check of the idle connection.
        original = UpstreamConnection.is_reusable
        UpstreamConnection.is_reusable = lambda self: True
        try:
            await trio.sleep(0.02)
            return await exchange(request=new_request())
        finally:
            UpstreamConnection.is_reusable = original

    assert isinstance(run_exchange(upstream, scenario), Broken)


def test_cancelled_exchange_closes_its_connection():
    # An upstream goes on with work that nobody needs until its connection closes.
    upstream = Upstream(("read", "read"))

    async def scenario(exchange):
        with trio.move_on_after(0.1):
            await exchange(request=new_request())
        with trio.fail_after(0.5):
            while len(upstream.received) < 2:
                await trio.sleep(0.01)

    run_exchange(upstream, scenario)
    assert upstream.received[1] == b""
