"""Answers and streams that break off: what counts as whole, and as a sign of a crash."""

import pytest

from galenashift.gateway._exchange import Broken
from galenashift.gateway.tests.test_exchange import (
    CHUNKED_HEAD,
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
