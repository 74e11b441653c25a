"""The promises of the system, checked from what callers and upstreams saw."""

import re
from collections import Counter
from collections.abc import Sequence

from standins._platform_upstream import Upstream

from ._callers import Attempt, Ended

_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")
#: Routes whose requests run at most once.
_ONCE = frozenset({"write", "once", "staged"})


def check_attempts(
    attempts: Sequence[Attempt], upstreams: Sequence[Upstream]
) -> list[str]:
    """List the promises that were broken, one line each."""
    runs = Counter(
        execution.attempt_id
        for upstream in upstreams
        for execution in upstream.executions
    )
    violations = [each for upstream in upstreams for each in upstream.violations]
    sent = {attempt.attempt_id for attempt in attempts}
    for attempt in attempts:
        violations += _check(attempt, runs[attempt.attempt_id])
    violations += [f"{each}: no caller sent it" for each in runs if each not in sent]
    return violations


def _check(attempt: Attempt, runs: int) -> list[str]:
    name = f"{attempt.attempt_id} ({attempt.route} at {attempt.daemon})"
    violations = []
    if attempt.route in _ONCE and runs > 1:
        violations.append(f"{name}: ran {runs} times")
    if attempt.route in _ONCE and runs and attempt.ended is Ended.REFUSED:
        violations.append(f"{name}: refused with {attempt.status} and ran")
    if attempt.ended is Ended.ANSWERED:
        violations += [f"{name}: {each}" for each in _check_answer(attempt)]
    if attempt.status in {400, 401, 403, 404}:
        violations.append(f"{name}: denied with {attempt.status}")
    return violations


def _check_answer(attempt: Attempt) -> list[str]:
    if attempt.signature is None:
        return ["answered without a signature"]
    if attempt.route in {"read", "write"}:
        whole = attempt.body == f"answer to {attempt.attempt_id}".encode()
        return [] if whole else [f"got {attempt.body[:60]!r}"]
    events = _EVENT.findall(attempt.body)
    ids = [int(number) for number, _ in events]
    if ids != list(range(1, 7)):
        return [f"events {ids}"]
    owners = {owner.decode() for _, owner in events}
    return [] if owners == {attempt.attempt_id} else [f"events of {owners}"]
