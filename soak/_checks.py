"""Checks of the guarantees, from the records of callers and upstreams."""

import re
from collections import Counter
from collections.abc import Sequence

from standins._platform_upstream import Upstream

from ._callers import Attempt, AttemptResult
from ._faults import FaultRecord, LimitRecord

_EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")
#: Routes whose requests must run at most once.
_AT_MOST_ONCE_ROUTES = frozenset({"write", "once", "staged"})


#: Time after an upstream first states its limit from which it holds, in seconds;
#: "contact_ms", the window and the allowance are those of the users' rule LIMIT.
_LIMIT_CONTACT_S = 3.0
_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA = 5
#: Time within which a daemon in contact with the store has to follow it, in seconds:
#: `contact_ms` of the requirements.
CONTACT_S = 4.0
#: Faults of daemons that excuse what they send until `CONTACT_S` after their end.
_EXCUSING_FAULTS = frozenset({"kill", "freeze", "terminate"})


def check_limits(
    limits: Sequence[LimitRecord],
    upstreams: Sequence[Upstream],
    faults: Sequence[FaultRecord],
) -> list[str]:
    """Return a description of each window with more requests than a limit allows.

    Windows with a restart or a freeze of a daemon are left out.
    """
    arrived_by_name = {each.name: each.arrived_at_s for each in upstreams}
    excused = [
        (each.from_s, each.to_s + CONTACT_S)
        for each in faults
        if each.name in _EXCUSING_FAULTS
    ]
    return [
        violation
        for limit in limits
        for violation in _check_limit(limit, arrived_by_name[limit.upstream], excused)
    ]


def _check_limit(
    limit: LimitRecord,
    arrived_at_s: Sequence[float],
    excused: Sequence[tuple[float, float]],
) -> list[str]:
    allowed = _LIMIT_FACTOR * limit.per_s * _LIMIT_WINDOW_S + _LIMIT_EXTRA
    violations = []
    for from_s in arrived_at_s:
        to_s = from_s + _LIMIT_WINDOW_S
        if from_s < limit.from_s + _LIMIT_CONTACT_S or to_s > limit.to_s:
            continue
        if any(from_s < end_s and begin_s < to_s for begin_s, end_s in excused):
            continue
        count = sum(from_s <= each < to_s for each in arrived_at_s)
        if count > allowed:
            violations.append(
                f"{limit.upstream}: {count} requests in {_LIMIT_WINDOW_S:g} s from"
                f" {from_s:.2f} s at a limit of {limit.per_s} per second"
            )
    return violations


def check_attempts(
    attempts: Sequence[Attempt], upstreams: Sequence[Upstream]
) -> list[str]:
    """Return a description of each violated guarantee."""
    runs = Counter(
        execution.attempt_id
        for upstream in upstreams
        for execution in upstream.executions
    )
    violations = [each for upstream in upstreams for each in upstream.violations]
    sent = {attempt.attempt_id for attempt in attempts}
    for attempt in attempts:
        violations += _check_attempt(attempt, runs[attempt.attempt_id])
    violations += [f"{each}: no caller sent it" for each in runs if each not in sent]
    return violations


def _check_attempt(attempt: Attempt, runs: int) -> list[str]:
    name = f"{attempt.attempt_id} ({attempt.route} at {attempt.daemon})"
    violations = []
    if attempt.route in _AT_MOST_ONCE_ROUTES and runs > 1:
        violations.append(f"{name}: ran {runs} times")
    if (
        attempt.route in _AT_MOST_ONCE_ROUTES
        and runs
        and attempt.ended is AttemptResult.REFUSED
    ):
        violations.append(f"{name}: refused with {attempt.status} and ran")
    if attempt.ended is AttemptResult.ANSWERED:
        violations += [f"{name}: {each}" for each in _check_answer(attempt)]
    if attempt.status in {400, 401, 403, 404}:
        violations.append(f"{name}: denied with {attempt.status}")
    return violations


def _check_answer(attempt: Attempt) -> list[str]:
    if attempt.signature is None:
        return ["answered without a signature"]
    if attempt.route in {"read", "write"}:
        is_complete = attempt.body == f"answer to {attempt.attempt_id}".encode()
        return [] if is_complete else [f"got {attempt.body[:60]!r}"]
    events = _EVENT_PATTERN.findall(attempt.body)
    ids = [int(number) for number, _ in events]
    if ids != list(range(1, 7)):
        return [f"events {ids}"]
    owners = {owner.decode() for _, owner in events}
    return [] if owners == {attempt.attempt_id} else [f"events of {owners}"]
