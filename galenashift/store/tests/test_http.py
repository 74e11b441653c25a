"""Answers of a faulty service end the call, never the process."""

import pytest
import trio

from galenashift.store import HttpAnswer, JsonHttpClient, NoAnswer
from galenashift.store._http import MAX_ANSWER_BYTES

_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


def _call(answer, *, repeat=False):
    """Return the result of a call that is answered with the given bytes."""

    async def serve(stream):
        await stream.receive_some(65_536)
        try:
            await stream.send_all(answer)
            while repeat:
                await stream.send_all(b"10000\r\n" + b"x" * 0x10000 + b"\r\n")
        except trio.BrokenResourceError:
            # The client has closed the connection.
            return
        await trio.sleep_forever()

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            client = JsonHttpClient(f"http://127.0.0.1:{port}")
            result = await client.call(method="GET", path="/", timeout_s=10)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


def test_answer_without_end_is_cut_off():
    # It would fill the memory of every daemon of the fleet.
    result = _call(_HEAD + b"\r\n", repeat=True)
    assert isinstance(result, NoAnswer)
    assert result.sent
    assert str(MAX_ANSWER_BYTES) in result.detail


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nX-Name: \xff\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"[" * 100_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xff",
    ],
    ids=["header", "nested", "list", "not-text"],
)
def test_malformed_answer_has_no_fields(answer):
    # A header that is not UTF-8, or deep nesting, ended the store watch.
    result = _call(answer)
    assert isinstance(result, HttpAnswer)
    assert result.body == {}


def test_bytes_that_are_no_answer_end_the_call():
    assert isinstance(_call(b"\x00" * 100_000), NoAnswer)
