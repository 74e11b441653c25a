"""The checks of the soak detect each violation of a guarantee."""

from random import Random

import pytest

from soak._callers import Attempt, AttemptResult
from soak._checks import check_attempts, check_limits
from soak._faults import FaultRecord, LimitRecord
from standins._platform_upstream import Arrival, Execution, Kind, Upstream

_STREAM = b"".join(f"id: {i}\ndata: a1\n\n".encode() for i in range(1, 7))


def make_attempt(**changes):
    arguments = {
        "attempt_id": "a1",
        "route": "write",
        "daemon": "d1",
        "sent_at_s": 0.0,
        "ended_at_s": 0.1,
        "ended": AttemptResult.ANSWERED,
        "status": 200,
        "body": b"answer to a1",
        "signature": "s",
    }
    return Attempt(**arguments | changes)


def find_violations(attempt, *, runs=1):
    upstream = Upstream(
        name="u1", service="s", kind=Kind.PLAIN, clock=lambda: 0.0, random=Random(1)
    )
    execution = Execution(attempt_id="a1", upstream="u1", at_s=0.0, target="/")
    upstream.executions += [execution] * runs
    return check_attempts([attempt], [upstream])


def test_valid_attempts_give_no_violation():
    # Guards against checks that reject correct behaviour, such as the repeated
    # execution of a resumable stream.
    assert find_violations(make_attempt()) == []
    assert find_violations(make_attempt(route="again", body=_STREAM), runs=2) == []
    refused = make_attempt(ended=AttemptResult.REFUSED, status=503, signature=None)
    assert find_violations(refused, runs=0) == []


@pytest.mark.parametrize(
    ("changes", "runs", "text"),
    [
        ({}, 2, "ran 2 times"),
        (
            {"ended": AttemptResult.REFUSED, "status": 503},
            1,
            "refused with 503 and ran",
        ),
        ({"body": b"answer to a2"}, 1, "got"),
        ({"signature": None}, 1, "without a signature"),
        ({"status": 404, "ended": AttemptResult.FAILED}, 0, "denied with 404"),
        ({"route": "once", "body": _STREAM[:30]}, 1, "events"),
        ({"route": "once", "body": _STREAM.replace(b"a1", b"a2")}, 1, "events of"),
    ],
)
def test_violated_guarantee_is_reported(changes, runs, text):
    # Guards against checks that pass whatever the daemons do.
    (violation,) = find_violations(make_attempt(**changes), runs=runs)
    assert text in violation


@pytest.mark.parametrize(
    ("interval_s", "fault", "violated"),
    [
        (0.5, None, False),
        (0.3, None, True),
        (0.3, "kill", False),
        (0.3, "slow_upstream", True),
    ],
)
def test_requests_beyond_a_stated_limit_are_violations(interval_s, fault, violated):
    # A restart of a daemon excuses what it sends, and other faults do not.
    upstream = Upstream(
        name="u1", service="s", kind=Kind.PLAIN, clock=lambda: 0.0, random=Random(1)
    )
    upstream.arrivals += [
        Arrival(attempt_id=None, at_s=number * interval_s) for number in range(60)
    ]
    limit = LimitRecord(upstream="u1", per_s=1.0, from_s=0.0, to_s=12.0)
    faults = []
    if fault is not None:
        faults = [FaultRecord(name=fault, target="d1", from_s=3.0, to_s=8.0)]
    assert bool(check_limits([limit], [upstream], faults)) is violated
