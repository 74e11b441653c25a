"""How a stream of an upstream is forwarded to the caller."""

import trio

from galenashift.gateway._connection import AnswerHead
from galenashift.gateway._stream import StreamWriter
from galenashift.gateway.tests.factories import new_memory
from galenashift.gateway.tests.relay_fakes import FakeResponder

HEAD = AnswerHead(status=200, headers=[])


def test_answer_begins_with_its_first_whole_event():
    # Guards against a common part that stays suspected of crashes although answers to
    # requests that waited at other upstreams meanwhile began after them.
    async def run():
        writer = StreamWriter(
            responder=FakeResponder(), last_id=None, memory=new_memory()
        )
        writer.begin_exchange(sent_at_s=1.0, clock=lambda: 3.0)
        await writer.forward(HEAD, b"id: 1\n")
        assert writer.began_at_s == 1.0
        await writer.forward(HEAD, b"data: x\n\n")
        assert writer.began_at_s == 3.0

    trio.run(run)
