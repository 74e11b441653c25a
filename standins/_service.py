"""Stand-in of a unary service: encoder, retriever, reranker or ledger."""

from collections.abc import Callable
from typing import Any

import trio

from ._faults import Outcome
from ._upstream import Exchange, UpstreamStandIn, digest_of


def encoding_of(value: object) -> list[float]:
    """Compute the vector that an encoder returns."""
    digits = digest_of(value)
    return [int(digits[at : at + 2], 16) / 255 for at in range(0, 16, 2)]


def documents_of(value: object) -> list[str]:
    """Compute the documents that a retriever returns."""
    return [f"document-{digest_of([value, rank])[:8]}" for rank in range(4)]


def _encode(body: dict[str, Any]) -> dict[str, Any]:
    return {"vector": encoding_of(body.get("input"))}


def _retrieve(body: dict[str, Any]) -> dict[str, Any]:
    return {"documents": documents_of([body.get("input"), body.get("results")])}


def _rerank(body: dict[str, Any]) -> dict[str, Any]:
    wanted = [body.get("input"), body.get("results")]
    return {"documents": sorted(documents_of(wanted), key=digest_of)}


def _ledger(body: dict[str, Any]) -> dict[str, Any]:
    value = digest_of([body.get("operation"), body.get("input")])
    return {"operation": body.get("operation"), "receipt": value[:16]}


ANSWER_BY_KIND: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
    "encoder": _encode,
    "retriever": _retrieve,
    "reranker": _rerank,
    "ledger": _ledger,
}


class Service(UpstreamStandIn):
    """An upstream that executes every call it gets, without deduplication."""

    def __init__(
        self,
        *,
        upstream_id: str,
        kind: str,
        slots: int = 16,
        work_s: float = 0.002,
        **options: Any,
    ) -> None:
        super().__init__(upstream_id=upstream_id, slots=slots, **options)
        self._answer = ANSWER_BY_KIND[kind]
        self._work_s = work_s
        self._limiter = trio.CapacityLimiter(slots)
        self._last_answer: tuple[str, dict[str, Any]] | None = None
        self._handler_by_route["POST", "/v1/call"] = self._call

    def queued(self) -> int:
        """Count the calls that wait for a slot."""
        return self._limiter.statistics().tasks_waiting

    async def _call(self, exchange: Exchange) -> None:
        if self.faults.consume("refuse"):
            await exchange.refuse(reason=self.faults.refuse_reason)
            return
        execution = await self.begin(exchange)
        async with self._limiter:
            await self.work(self._work_s)
        value = self._answer(exchange.body)
        self.end(execution, Outcome.DONE)
        if self.faults.consume("lose_answers"):
            exchange.reset_connection()
            return
        if self.faults.consume("delay_answers"):
            await trio.sleep(self.faults.delay_s)
        if self.faults.consume("truncate_answers"):
            await exchange.truncate(value)
            return
        before, self._last_answer = self._last_answer, (exchange.exchange_id, value)
        if before is not None and self.faults.consume("stale_answers"):
            exchange.headers["galenashift-exchange"], value = before
        await exchange.answer(200, value)
