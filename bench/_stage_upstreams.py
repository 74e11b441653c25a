"""Upstreams of stage services in virtual time, in place of the real exchanger."""

import json
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

import trio

from galenashift.gateway._connection import AnswerHead
from galenashift.gateway._exchange import ExchangeTimeouts, OutgoingRequest
from galenashift.gateway._outcomes import (
    Answered,
    Broken,
    NotSent,
    Outcome,
    Refused,
    Silent,
)
from galenashift.model import (
    AnswerFields,
    PieceLimits,
    RegisteredUpstream,
    UpstreamId,
)
from galenashift.platform import PieceProblem

_FIELDS = AnswerFields(
    attempt_id=None, not_executed=False, load=None, cold_left_s=None, signed=False
)
#: Bounds of the size of a result, relative to the configured one.
_SIZE_RANGE = (0.75, 1.25)
#: Time for a message between two processes, in seconds.
NETWORK_S = 0.001

#: Configured size of a result of a piece, by the index of its stage and the attempt.
ResultSize = Callable[[str, int], int]


@dataclass(kw_only=True)
class SimulatedUpstream:
    """One upstream: it makes one call at a time and stores the results."""

    address: str
    limits: PieceLimits
    busy: bool = False
    lost: bool = False
    #: Size of each stored result in bytes, and its expiry time in seconds.
    results: dict[str, tuple[float, float]] = field(default_factory=dict)

    def used_bytes(self, now_s: float) -> float:
        """Return the memory that results occupy."""
        for handle, (_, expires_s) in list(self.results.items()):
            if expires_s <= now_s:
                del self.results[handle]
        return sum(size for size, _ in self.results.values())


@dataclass(kw_only=True)
class CallCounts:
    """What the upstreams have done."""

    calls: int = 0
    pieces: int = 0
    refused_calls: int = 0
    #: Pieces without a result, by the reason.
    problems: Counter[str] = field(default_factory=Counter)
    #: Executed pieces by attempt.
    made_by_attempt: Counter[str] = field(default_factory=Counter)


class SimulatedExchanger:
    """Makes the calls of one or several schedulers.

    :param result_bytes: Returns the configured size of a result.
    """

    def __init__(
        self,
        *,
        upstreams_by_id: Mapping[UpstreamId, SimulatedUpstream],
        result_bytes: ResultSize,
        random: Random,
    ) -> None:
        self._upstreams_by_id = upstreams_by_id
        self._by_address = {each.address: each for each in upstreams_by_id.values()}
        self._result_bytes = result_bytes
        self._random = random
        self._handles = 0
        self.counts = CallCounts()

    def close_idle(self, upstream_id: UpstreamId) -> None:
        """Do nothing: there are no connections."""

    def close_last(self, upstream_id: UpstreamId) -> None:
        """Do nothing: there are no connections."""

    async def exchange(
        self,
        *,
        upstream: RegisteredUpstream,
        request: OutgoingRequest,
        timeouts: ExchangeTimeouts,
        sink: object = None,
        may_send: object = None,
    ) -> Outcome:
        """Make a call, or free results."""
        simulated = self._upstreams_by_id[upstream.upstream_id]
        await trio.sleep(NETWORK_S)
        if simulated.lost:
            return NotSent(detail="lost")
        body = json.loads(request.body)
        if "handles" in body:
            for handle in body["handles"]:
                simulated.results.pop(handle, None)
            return _answered({})
        if simulated.busy:
            self.counts.refused_calls += 1
            return Refused(status=503, fields=_FIELDS, misdirected=False)
        with trio.move_on_after(timeouts.first_byte_s):
            return await self._run(simulated, body["items"])
        return Silent()

    async def _run(
        self, upstream: SimulatedUpstream, items: list[dict[str, Any]]
    ) -> Outcome:
        now_s = trio.current_time()
        results: list[dict[str, str]] = []
        stored: dict[str, float] = {}
        free_bytes = upstream.limits.result_bytes - upstream.used_bytes(now_s)
        for item in items:
            size = self._result_bytes(item["id"], item["stage"])
            actual = size * self._random.uniform(*_SIZE_RANGE)
            problem = self._problem(item, now_s)
            if problem is None and actual > free_bytes:
                problem = PieceProblem.NO_MEMORY
            if problem is not None:
                self.counts.problems[problem.value] += 1
                results.append({"reason": problem.value})
                continue
            free_bytes -= actual
            self._handles += 1
            handle = f"{upstream.address}/{self._handles}"
            stored[handle] = actual
            self.counts.made_by_attempt[item["id"]] += 1
            results.append({"handle": handle})
        limits = upstream.limits
        duration_s = limits.call_overhead_s + len(stored) * limits.piece_duration_s
        self.counts.calls += 1
        self.counts.pieces += len(stored)
        upstream.busy = True
        for handle, actual in stored.items():
            lifetime_s = duration_s + limits.result_lifetime_s
            upstream.results[handle] = (actual, now_s + lifetime_s)
        try:
            await trio.sleep(duration_s)
        finally:
            upstream.busy = False
        if upstream.lost:
            return Broken(detail="lost", reset=True)
        return _answered({"items": results})

    def _problem(self, item: dict[str, Any], now_s: float) -> PieceProblem | None:
        if item["remaining_ms"] <= 1:
            return PieceProblem.LATE
        for handle in item.get("inputs", ()):
            holder = self._by_address[handle.partition("/")[0]]
            _, expires_s = holder.results.get(handle, (0.0, 0.0))
            if holder.lost or expires_s <= now_s:
                return PieceProblem.INPUT_GONE
        return None


def _answered(body: object) -> Answered:
    return Answered(
        head=AnswerHead(status=200, headers=[]),
        fields=_FIELDS,
        body=json.dumps(body).encode(),
    )
