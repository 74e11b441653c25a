"""Exchanges with upstreams that have stated which requests they accept."""

from functools import partial

import pytest
import trio

from galenashift.gateway._outcomes import Answered, NotSent
from galenashift.gateway.tests.test_exchange import (
    CHUNKED_HEAD,
    COMPLETE_ANSWER,
    Upstream,
    new_request,
    run_exchange,
)


def test_limit_binds_as_soon_as_the_head_of_an_answer_states_it():
    # A long stream would otherwise keep the limit from this daemon until its end.
    head = CHUNKED_HEAD.replace(b"Transfer", b"Server-Limit: 1.0\r\nTransfer")
    upstream = Upstream(("read", head, "hang"), ("read", COMPLETE_ANSWER))

    async def scenario(exchange):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(exchange, request=new_request()))
            await trio.sleep(0.1)
            outcome = await exchange(request=new_request())
            nursery.cancel_scope.cancel()
        return outcome

    outcome = run_exchange(upstream, scenario)
    assert isinstance(outcome, NotSent)
    assert outcome.limited
    assert len([data for data in upstream.received if data]) == 1


@pytest.mark.parametrize(
    ("status", "header"),
    [
        (b"200 OK", b"Server-Leaving: 1"),
        (b"503 Full", b"Server-Leaving: 1"),
        (b"503 Full", b"Retry-After: 0.2"),
        (b"503 Full", b"Galenashift-Not-Executed: 1\r\nRetry-After: 0.2"),
    ],
)
def test_upstream_that_wants_no_requests_gets_none(status, header):
    # A drain or a pause binds whatever the request, and however the answer goes on.
    answer = COMPLETE_ANSWER.replace(b"200 OK", status)
    answer = answer.replace(b"Content-Length", header + b"\r\nContent-Length")
    idle = ("read", COMPLETE_ANSWER, "hang")
    upstream = Upstream(("read", answer, "hang"), idle, idle)

    async def scenario(exchange):
        await exchange(request=new_request())
        refused = await exchange(request=new_request())
        await trio.sleep(0.25)
        return refused, await exchange(request=new_request())

    refused, later = run_exchange(upstream, scenario)
    assert isinstance(refused, NotSent)
    assert refused.limited
    assert isinstance(later, NotSent if b"Leaving" in header else Answered)
