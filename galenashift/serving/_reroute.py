"""Reroutes streams that wait at an engine while another engine has a free slot.

Load reports are about a second old when they are used, so a daemon sometimes chooses
an engine whose slots have just been filled by its peers. A first token that does not
arrive in time shows this earlier than the next report.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

import trio

from galenashift.config import StageConfig
from galenashift.model import Failure, StageAnswer, StageKind, Token, UpstreamId

from ._dispatch import Destination, Dispatcher
from ._execution import Emit, Execution
from ._pools import Pools


@dataclass(frozen=True, kw_only=True)
class Rerouted:
    """The attempt was cancelled before its first token, to retry it elsewhere."""


class Rerouter:
    """Sends attempts, and cancels streams that wait while a slot is free elsewhere."""

    def __init__(self, *, pools: Pools, dispatcher: Dispatcher) -> None:
        self._pools = pools
        self._dispatcher = dispatcher

    async def send(
        self,
        execution: Execution,
        stage: StageConfig,
        destination: Destination,
        *,
        timeout_s: float,
        delivered: list[str],
        emit: Emit | None,
        excluded: Collection[UpstreamId],
        is_reroute: bool,
        may_reroute: Callable[[], bool],
    ) -> StageAnswer | Failure | Rerouted:
        """Send one attempt and wait until it ends or is rerouted.

        Only an idempotent stream without a token is rerouted. Each reroute counts as
        a retry in the pool's budget, because the engine may have started the stream.

        :param execution: The request.
        :param stage: Stage to call.
        :param destination: The upstream to send the attempt to.
        :param timeout_s: Timeout of the attempt, in seconds.
        :param delivered: Tokens received so far; new ones are appended.
        :param emit: Receives the new tokens.
        :param excluded: Upstreams that the stream is not rerouted to.
        :param is_reroute: Whether the attempt follows a reroute.
        :param may_reroute: Returns whether another attempt is allowed and can end
            before the deadline.
        """
        reroutable = (
            stage.kind is StageKind.GENERATE
            and stage.idempotent
            and not delivered
            and execution.claim is None
        )
        if not reroutable:
            return await self._dispatcher.send(
                execution,
                stage,
                destination,
                timeout_s=timeout_s,
                delivered=delivered,
                emit=emit,
            )
        first_token_wait = self._pools.get(stage.pool).first_token_wait
        wait_s = first_token_wait.wait_s
        in_time = True
        outcome: StageAnswer | Failure | Rerouted = Rerouted()
        error: Exception | None = None

        async def emit_unless_rerouted(token: Token) -> None:
            # A token that arrives while the attempt is being cancelled must not reach
            # the caller, who gets it from the other engine. `emit` may return without
            # a checkpoint, so the cancellation is checked here.
            await trio.lowlevel.checkpoint_if_cancelled()
            if emit is not None:
                await emit(token)

        async def watch() -> None:
            nonlocal in_time
            check_interval_s = wait_s
            while True:
                await trio.sleep(check_interval_s)
                if delivered:
                    return
                in_time = False
                if may_reroute() and self._try_spend_retry(execution, stage, excluded):
                    nursery.cancel_scope.cancel()
                    return
                # Exponential backoff, because many streams wait during overload.
                check_interval_s *= 2

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            try:
                outcome = await self._dispatcher.send(
                    execution,
                    stage,
                    destination,
                    timeout_s=timeout_s,
                    delivered=delivered,
                    emit=emit_unless_rerouted,
                )
            except Exception as raised:
                # Raised outside the nursery, which would wrap it in an exception group.
                error = raised
            finally:
                nursery.cancel_scope.cancel()
        if error is not None:
            raise error
        first_token_wait.record(rerouted=is_reroute, in_time=in_time)
        if isinstance(outcome, Rerouted):
            # Tokens that arrived during the cancellation were not emitted.
            delivered.clear()
            execution.log(
                "reroute",
                stage=stage.name,
                exchange=destination.exchange_id,
                upstream=destination.upstream.upstream_id,
                waited_s=round(wait_s, 3),
            )
        return outcome

    def _try_spend_retry(
        self,
        execution: Execution,
        stage: StageConfig,
        excluded: Collection[UpstreamId],
    ) -> bool:
        pool = self._pools.get(stage.pool)
        return (
            not pool.admission.waiting
            and self._dispatcher.has_free_slot(execution, stage, excluded=excluded)
            and pool.budget.try_spend(now_s=execution.services.clock())
        )
