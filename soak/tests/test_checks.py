"""The soak's own checks see what they are meant to see."""

from random import Random

import pytest

from soak._callers import Attempt, Ended
from soak._checks import check_attempts
from standins._platform_upstream import Execution, Kind, Upstream

_STREAM = b"".join(f"id: {i}\ndata: a1\n\n".encode() for i in range(1, 7))


def new_attempt(**changes):
    arguments = {
        "attempt_id": "a1",
        "route": "write",
        "daemon": "d1",
        "sent_at_s": 0.0,
        "ended_at_s": 0.1,
        "ended": Ended.ANSWERED,
        "status": 200,
        "body": b"answer to a1",
        "signature": "s",
    }
    return Attempt(**arguments | changes)


def violations(attempt, *, runs=1):
    upstream = Upstream(
        name="u1", service="s", kind=Kind.PLAIN, clock=lambda: 0.0, random=Random(1)
    )
    execution = Execution(attempt_id="a1", upstream="u1", at_s=0.0, target="/")
    upstream.executions += [execution] * runs
    return check_attempts([attempt], [upstream])


def test_kept_promises_give_no_violation():
    assert violations(new_attempt()) == []
    assert violations(new_attempt(route="again", body=_STREAM), runs=2) == []
    refused = new_attempt(ended=Ended.REFUSED, status=503, signature=None)
    assert violations(refused, runs=0) == []


@pytest.mark.parametrize(
    ("changes", "runs", "text"),
    [
        ({}, 2, "ran 2 times"),
        ({"ended": Ended.REFUSED, "status": 503}, 1, "refused with 503 and ran"),
        ({"body": b"answer to a2"}, 1, "got"),
        ({"signature": None}, 1, "without a signature"),
        ({"status": 404, "ended": Ended.FAILED}, 0, "denied with 404"),
        ({"route": "once", "body": _STREAM[:30]}, 1, "events"),
        ({"route": "once", "body": _STREAM.replace(b"a1", b"a2")}, 1, "events of"),
    ],
)
def test_broken_promise_is_seen(changes, runs, text):
    (violation,) = violations(new_attempt(**changes), runs=runs)
    assert text in violation
