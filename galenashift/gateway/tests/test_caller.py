"""Connections of callers: limits, disconnects and shutdown."""

import errno
import io
import struct
from dataclasses import replace
from functools import partial

import pytest
import trio

from galenashift.gateway._caller import CallerConnection
from galenashift.gateway._caller_guard import CallerGuard
from galenashift.limits import CallerBudget
from galenashift.model import CallerLimits, Reason, not_run
from galenashift.telemetry import EventLog, Metrics

_LIMITS = CallerLimits(
    max_header_bytes=2_000,
    max_body_bytes=1_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.4,
)
_REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nin"

_BUDGET = CallerBudget(
    memory_bytes=1_000_000,
    max_connections=10,
    min_body_bytes_per_s=100.0,
    write_timeout_s=0.5,
)
#: Room for an answer that the socket does not take at once.
_LARGE_BUDGET = replace(_BUDGET, memory_bytes=60_000_000, write_timeout_s=5.0)


def new_guard(budget=_BUDGET):
    return CallerGuard(
        listener="callers",
        budget=budget,
        events=EventLog(stream=io.StringIO()),
        metrics=Metrics(),
        clock=trio.current_time,
    )


class Handler:
    """Answers with the request's body, or calls `respond`."""

    def __init__(self, respond=None):
        self.requests = []
        self.cancelled = 0
        self._respond = respond

    async def __call__(self, request, responder):
        self.requests.append(request)
        try:
            if self._respond is not None:
                await self._respond(request, responder)
            else:
                await responder.answer(status=200, headers=[], body=request.body)
        except trio.Cancelled:
            self.cancelled += 1
            raise


async def read_all(stream, until=None):
    data = b""
    with trio.move_on_after(2.0):
        while until is None or until not in data:
            part = await stream.receive_some(65_536)
            if not part:
                break
            data += part
    return data


def run_as_caller(
    handler,
    scenario,
    *,
    draining=lambda: False,
    connections=None,
    limits=_LIMITS,
    guard=None,
):
    """Run `scenario(stream)` as the caller on one connection."""

    async def run():
        shared = guard or new_guard()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

            async def serve(stream):
                connection = CallerConnection(
                    stream=stream,
                    handler=handler,
                    limits=lambda: limits,
                    draining=draining,
                    guard=shared,
                    clock=trio.current_time,
                )
                if connections is not None:
                    connections.append(connection)
                await connection.serve()

            nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
            port = listeners[0].socket.getsockname()[1]
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                result = await scenario(stream)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


def test_requests_on_one_connection_are_answered_in_turn():
    # Guards against a connection that is closed, or mixed up, after its first request.
    handler = Handler()

    async def scenario(stream):
        await stream.send_all(_REQUEST + _REQUEST.replace(b"in", b"to"))
        return await read_all(stream, until=b"to")

    data = run_as_caller(handler, scenario)
    assert data.count(b"HTTP/1.1 200") == 2
    assert [request.body for request in handler.requests] == [b"in", b"to"]


def test_chunked_body_is_read_whole():
    # Guards against chunks that are lost, or passed on with their size lines.
    handler = Handler()
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def scenario(stream):
        await stream.send_all(head + b"1\r\ni\r\n")
        await stream.send_all(b"1\r\nn\r\n0\r\n\r\n")
        return await read_all(stream, until=b"\r\n\r\nin")

    run_as_caller(handler, scenario)
    assert handler.requests[0].body == b"in"


def test_caller_that_expects_to_be_told_to_continue_is_told():
    # Such a caller waits for it, and its request would end at the timeout.
    handler = Handler()
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"

    async def scenario(stream):
        await stream.send_all(head + b"Expect: 100-continue\r\n\r\n")
        data = await read_all(stream, until=b"\r\n\r\n")
        await stream.send_all(b"in")
        return data + await read_all(stream, until=b"in")

    data = run_as_caller(handler, scenario)
    assert data.startswith(b"HTTP/1.1 100")
    assert handler.requests[0].body == b"in"


def test_handler_is_cancelled_although_much_was_sent_ahead():
    # Guards against work for a caller that is gone, as its connection is not read.
    handler = Handler(lambda request, responder: trio.sleep_forever())

    async def scenario(stream):
        await stream.send_all(_REQUEST + _REQUEST * 2_000)
        await trio.sleep(0.1)
        await stream.aclose()
        with trio.fail_after(1.0):
            while not handler.cancelled:
                await trio.sleep(0.01)

    run_as_caller(handler, scenario)
    assert handler.cancelled == 1


def test_handler_is_cancelled_when_the_caller_disconnects():
    # Otherwise the upstream would process a request that nobody waits for.
    handler = Handler(lambda request, responder: trio.sleep_forever())

    async def scenario(stream):
        await stream.send_all(_REQUEST)
        await trio.sleep(0.1)
        await stream.aclose()
        with trio.fail_after(1.0):
            while not handler.cancelled:
                await trio.sleep(0.01)

    run_as_caller(handler, scenario)
    assert handler.cancelled == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"
            + b"x" * 5000,
            413,
        ),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 5000 + b"\r\n\r\n", 431),
        (b"NONSENSE\r\n\r\n", 400),
    ],
)
def test_requests_beyond_the_limits_are_refused(data, status):
    # Guards against requests of any size in memory, and against a wrong status.
    async def scenario(stream):
        await stream.send_all(data)
        return await read_all(stream)

    handler = Handler()
    assert b"HTTP/1.1 %d" % status in run_as_caller(handler, scenario)
    assert handler.requests == []


@pytest.mark.parametrize("data", [b"", b"POST /a HTTP/1.1\r\nHost:"])
def test_connection_of_a_slow_caller_is_closed(data):
    # Connections that send nothing would exhaust the file descriptors.
    async def scenario(stream):
        await stream.send_all(data)
        with trio.fail_after(1.5):
            return await stream.receive_some(1)

    assert run_as_caller(Handler(), scenario) == b""


def test_incomplete_answer_closes_the_connection():
    # Otherwise the caller could not tell the partial answer from a complete one.
    async def respond(request, responder):
        await responder.start(status=200, headers=[], data=b"part")

    async def scenario(stream):
        await stream.send_all(_REQUEST)
        return await read_all(stream)

    data = run_as_caller(Handler(respond), scenario)
    assert b"part" in data
    assert not data.endswith(b"0\r\n\r\n")


def test_failure_states_verdict_and_retry_after():
    # Without the verdict, a caller cannot tell whether it may send its request again.
    failure = not_run(reason=Reason.OVERLOADED, detail="full", retry_after_s=0.25)

    async def scenario(stream):
        await stream.send_all(_REQUEST)
        return await read_all(stream, until=b"}")

    data = run_as_caller(
        Handler(lambda _, responder: responder.fail(failure)), scenario
    )
    assert b"HTTP/1.1 503" in data
    assert b"retry-after: 0.25" in data
    assert b'"verdict": "not-run"' in data


def test_answers_during_a_shutdown_close_the_connection():
    # A caller that keeps its connection would send its next request to a daemon that
    # has ended.
    async def scenario(stream):
        await stream.send_all(_REQUEST)
        return await read_all(stream)

    data = run_as_caller(Handler(), scenario, draining=lambda: True)
    assert b"connection: close" in data
    assert data.endswith(b"in")


def test_connection_that_was_reset_while_idle_can_be_asked():
    # The shutdown asks all connections whether they are idle. Asking the closed socket
    # raised an exception that ended the process before its requests were answered.
    connections = []

    async def scenario(stream):
        await trio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
        stream.socket.close()
        await trio.sleep(0.05)
        return b""

    run_as_caller(Handler(), scenario, connections=connections)
    assert not connections[0].is_idle(now_s=0.0)


def test_shutdown_closes_idle_connections_only():
    # The answer to a request in progress must be delivered completely.
    connections = []

    async def respond(request, responder):
        connections[0].close_if_idle(now_s=trio.current_time())
        await trio.sleep(0.1)
        await responder.answer(status=200, headers=[], body=b"whole")

    async def scenario(stream):
        await stream.send_all(_REQUEST)
        data = await read_all(stream, until=b"whole")
        await trio.sleep(0.05)
        connections[0].close_if_idle(now_s=trio.current_time())
        with trio.fail_after(0.2):
            assert await stream.receive_some(1) == b""
        return data

    data = run_as_caller(Handler(respond), scenario, connections=connections)
    assert data.endswith(b"whole")


def test_unknown_state_of_a_connection_does_not_cancel_its_handler(monkeypatch):
    # Where TCP_INFO was not available, a caller that read its answer slowly was
    # treated as gone, and its answer was cut off.
    body = b"x" * 20_000_000
    handler = Handler(
        lambda _, responder: responder.answer(status=200, headers=[], body=body)
    )

    def fail(*_args):
        raise OSError(errno.ENOPROTOOPT, "not available")

    async def scenario(stream):
        monkeypatch.setattr(type(stream.socket), "getsockopt", fail)
        await stream.send_all(_REQUEST)
        await trio.sleep(0.6)
        return handler.cancelled

    guard = new_guard(_LARGE_BUDGET)
    assert run_as_caller(handler, scenario, guard=guard) == 0


def test_caller_that_left_is_noticed_without_the_state_of_its_connection(monkeypatch):
    # Where TCP_INFO was not available, the work for a caller that had left behind 64
    # KiB of bytes ahead went on until the write timeout.
    handler = Handler(lambda *_: trio.sleep(5.0))

    def fail(*_args):
        raise OSError(errno.ENOPROTOOPT, "not available")

    async def scenario(stream):
        monkeypatch.setattr(type(stream.socket), "getsockopt", fail)
        await stream.send_all(_REQUEST + b"x" * 100_000)
        await trio.sleep(0.4)
        before = handler.cancelled
        await stream.aclose()
        await trio.sleep(0.4)
        return before, handler.cancelled

    assert run_as_caller(handler, scenario) == (0, 1)


def test_bytes_sent_ahead_do_not_free_the_account_of_an_unread_answer():
    # The account of the answer was replaced by that of the bytes sent ahead, and then
    # subtracted again, so that the memory in use was counted as less than nothing.
    body = b"x" * 20_000_000

    async def respond(_, responder):
        # The connection is read until the answer begins.
        await trio.sleep(0.05)
        await responder.answer(status=200, headers=[], body=body)

    handler = Handler(respond)
    guard = new_guard(_LARGE_BUDGET)

    async def scenario(stream):
        await stream.send_all(_REQUEST)
        await trio.sleep(0.1)
        await stream.send_all(_REQUEST)
        await trio.sleep(0.1)
        return guard.memory.used_bytes

    assert run_as_caller(handler, scenario, guard=guard) >= len(body)
    assert guard.memory.used_bytes == 0
