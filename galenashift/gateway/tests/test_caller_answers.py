"""What callers receive of answers that are cut off or have no body."""

import pytest
import trio

from galenashift.gateway.tests.test_caller import (
    _LARGE_BUDGET,
    _REQUEST,
    Handler,
    new_guard,
    read_all,
    run_as_caller,
)
from galenashift.model import Reason, not_run


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("size", [1_000, 30_000_000])
def test_nothing_follows_an_answer_that_was_cut_off(size, is_stream):
    # A timeout cancelled the write of an answer. The connection was kept, and the
    # caller got the next answer inside the body of the first one.
    async def respond(request, responder):
        with trio.move_on_after(0.1):
            if is_stream:
                await responder.start(status=200, headers=[], data=b"x" * size)
                await responder.end()
            else:
                await responder.answer(status=200, headers=[], body=b"x" * size)

    handler = Handler(respond)

    async def scenario(stream):
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4_096)
        await stream.send_all(_REQUEST * 3)
        await trio.sleep(0.5)
        return await read_all(stream)

    received = run_as_caller(handler, scenario, guard=new_guard(_LARGE_BUDGET))
    was_cut = len(received) < size
    assert was_cut is (size > 1_000_000)
    assert len(handler.requests) == (1 if was_cut else 3)
    assert received.count(b"HTTP/1.1") == len(handler.requests)


def test_failure_of_a_head_request_has_no_body():
    # The parser refused the body, and the connection closed without an answer.
    async def respond(request, responder):
        await responder.fail(not_run(reason=Reason.UNKNOWN_PIPELINE, detail="none"))

    async def scenario(stream):
        await stream.send_all(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
        await stream.send_eof()
        return await read_all(stream)

    received = run_as_caller(Handler(respond), scenario)
    assert received.count(b"HTTP/1.1 404") == 2
    assert b"content-length: 0" not in received
    assert b"{" not in received
