"""Sends a request to a second upstream if the first is late."""

from collections.abc import Callable
from functools import partial

import trio

from galenashift.model import Handle
from galenashift.retries import (
    RETRY_RESERVE_RATIO,
    HedgeDelay,
    HedgeDelays,
    HedgeShares,
    HeldBack,
    LateRequest,
    hold_back,
)
from galenashift.telemetry import EventLog, Metrics

from ._crash_policy import CrashPolicy
from ._health import HealthTracker
from ._hedge_log import HedgeLog, HedgeResult
from ._hedge_race import ConcurrentExchange, HedgeRace
from ._hedge_selector import HedgeSelector
from ._outcomes import Outcome, Silent
from ._request import ActiveRequest
from ._retry_budgets import RetryBudgets
from ._router import Choice, Router
from ._sent_request import SendRequest, SentRequest
from ._stream import StreamWriter
from ._upstream_selector import UpstreamSelector


class HedgedExchange:
    """Sends requests, and hedges the late ones that may be repeated.

    :param share: Hedges for each request that may be repeated, above 0 and at most 1.
    :param send: Sends a request to one upstream.
    :param selector: Selects the upstreams of first sends and retries.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        share: float,
        send: SendRequest,
        selector: UpstreamSelector,
        router: Router,
        budgets: RetryBudgets,
        crash_policy: CrashPolicy,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._send_once = send
        self._selector = HedgeSelector(selector=selector, router=router)
        self._health: HealthTracker = router.health
        self._budgets = budgets
        self._crash_policy = crash_policy
        self._shares = HedgeShares(share=share)
        self._delays = HedgeDelays(share=share)
        self._log = HedgeLog(events=events, metrics=metrics)
        self._clock = clock

    async def send(
        self,
        job: ActiveRequest,
        choice: Choice,
        writer: StreamWriter,
        inputs: tuple[Handle, ...],
    ) -> SentRequest:
        """Send a request to an upstream, and to another one if that one is late.

        A stream that has begun is sent to one upstream only, as are requests that must
        not be repeated.

        :returns: The exchange that answers the caller, or whose failure it gets.
        :raises CallerGone: If the caller has closed its connection.
        """
        if not job.route.repeatable or writer.has_begun:
            sent = await self._send_once(job, choice, writer, inputs)
            self._note_outcome(job, sent.outcome)
            return sent
        if not job.tried | job.unreachable:
            self._shares.count_request(job.service)
        race = HedgeRace(
            job=job,
            writer=writer,
            inputs=inputs,
            send=self._send,
            on_won=partial(self._conclude, job),
            clock=self._clock,
        )
        try:
            await self._run(race, job, choice, reads_results=bool(inputs))
            return race.result()
        finally:
            race.close()
            if race.winner is None:
                self._conclude(job, race)

    async def _run(
        self,
        race: HedgeRace,
        job: ActiveRequest,
        choice: Choice,
        *,
        reads_results: bool,
    ) -> None:
        delay = self._delays.delay(
            job.service,
            job.route.name,
            goal_s=job.route.latency_goal_s,
            now_s=self._clock(),
        )
        first = race.add_exchange(choice)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(race.run, first)
            with trio.move_on_after(delay.delay_s):
                await race.first_settled.wait()
            if race.first_settled.is_set():
                return
            # The timeouts and the choice of the second send depend on the first.
            job.tried.add(first.upstream_id)
            second = self._decide(job, delay, first, reads_results=reads_results)
            if second is None:
                job.tried.discard(first.upstream_id)
            else:
                nursery.start_soon(race.run, race.add_exchange(second))

    async def _send(
        self,
        job: ActiveRequest,
        choice: Choice,
        writer: StreamWriter,
        inputs: tuple[Handle, ...],
    ) -> SentRequest:
        sent = await self._send_once(job, choice, writer, inputs)
        self._note_outcome(job, sent.outcome)
        return sent

    def _note_outcome(self, job: ActiveRequest, outcome: Outcome) -> None:
        self._selector.note_outcome(job.service, outcome, now_s=self._clock())

    def _decide(
        self,
        job: ActiveRequest,
        delay: HedgeDelay,
        first: ConcurrentExchange,
        *,
        reads_results: bool,
    ) -> Choice | None:
        """Return the upstream that a late request is also sent to, if it is."""
        now_s = self._clock()
        target = self._selector.find(job, now_s=now_s)
        late = LateRequest(
            reads_stage_results=reads_results,
            sends_left=job.route.max_attempts - len(job.tried),
            is_suspected=self._crash_policy.is_suspected(job),
            left_s=job.deadline_s - now_s,
            usual_s=delay.usual_s,
            capacity=target.capacity,
        )
        saved = self._shares.saved(job.service)
        cause = hold_back(late)
        if cause is None and target.choice is None:
            # During a rollout, only upstreams of another version may be left.
            cause = HeldBack.NO_UPSTREAM
        cause = cause or self._spend(job, now_s=now_s)
        self._log.decided(
            job,
            late=late,
            delay=delay,
            cause=cause,
            first=first.upstream_id,
            saved=saved,
        )
        return target.choice if cause is None else None

    def _spend(self, job: ActiveRequest, *, now_s: float) -> HeldBack | None:
        """Take a hedge from the share and the retry budget, or tell why not."""
        if not self._shares.can_take(job.service):
            return HeldBack.SHARE
        if not self._budgets.try_spend(
            job.service, now_s=now_s, reserved_ratio=RETRY_RESERVE_RATIO
        ):
            return HeldBack.RETRY_BUDGET
        self._shares.take(job.service)
        return None

    def _conclude(self, job: ActiveRequest, race: HedgeRace) -> None:
        """Record the latency of a race that is won or lost, and log its hedge."""
        first, *hedges = race.exchanges
        now_s = self._clock()
        latency_s = _latency_s(race, first, now_s=now_s)
        if latency_s is not None:
            self._delays.record(job.service, job.route.name, latency_s, now_s=now_s)
        for hedge in hedges:
            elapsed_s = now_s - first.began_at_s
            if race.winner is hedge and first.sent is None:
                self._health.record_late(first.upstream_id, at_least_s=elapsed_s)
            self._log.ended(
                job,
                _result(race, hedge),
                hedge=hedge.upstream_id,
                elapsed_s=elapsed_s,
            )


def _latency_s(
    race: HedgeRace, first: ConcurrentExchange, *, now_s: float
) -> float | None:
    """Return the latency of the first send, or how long it was waited for.

    Sends that were given up count as well: without them, the late requests would be
    left out, and the delay would fall.

    :returns: Seconds; None if the send failed, or the request was given up.
    """
    if first.ended_at_s is None or first.sent is None:
        return None if race.winner is None else now_s - first.began_at_s
    if race.winner is first or isinstance(first.sent.outcome, Silent):
        return first.ended_at_s - first.began_at_s
    return None


def _result(race: HedgeRace, hedge: ConcurrentExchange) -> HedgeResult:
    if race.winner is hedge:
        return HedgeResult.WON
    if race.winner is not None:
        return HedgeResult.LOST
    if all(each.sent is not None for each in race.exchanges):
        return HedgeResult.BOTH_FAILED
    return HedgeResult.CANCELLED
