"""Stand-in of a model engine with continuous batching and a prefix cache."""

import heapq
import json
from collections import OrderedDict
from random import Random
from typing import Any

import trio

from ._faults import Execution, Outcome
from ._upstream import Exchange, UpstreamStandIn, digest_of

#: Size of a block of the prefix cache, in words of the prompt.
CACHE_BLOCK_WORDS = 16

#: Time for which a stream without a reader goes on, so that its client can resume it,
#: in seconds.
RESUME_GRACE_S = 3.0

#: Number of the latest streams that a client can resume.
_MAX_RESUMABLE_STREAMS = 256


def prompt_of(body: dict[str, Any]) -> str:
    """Derive the prompt of a generation request from its body."""
    request_input = body.get("input") or {}
    if isinstance(request_input, dict) and isinstance(request_input.get("prompt"), str):
        return str(request_input["prompt"])
    return json.dumps([request_input, body.get("results")], sort_keys=True)


def tokens_of(body: dict[str, Any]) -> list[str]:
    """Compute the tokens that an engine generates; they depend only on the input."""
    seed = digest_of([body.get("input"), body.get("results")])
    count = int(body.get("max_tokens", 16))
    return [f"{digest_of([seed, index])[:5]} " for index in range(count)]


def blocks_of(prompt: str) -> list[str]:
    """Compute the digests of all prefixes of a prompt that end at a block boundary."""
    words = prompt.split()
    ends = range(CACHE_BLOCK_WORDS, len(words) + 1, CACHE_BLOCK_WORDS)
    return [digest_of(words[:end])[:16] for end in ends]


class PrefixCache:
    """A prefix cache with LRU eviction that publishes its events late and with gaps.

    :param blocks: Capacity in blocks.
    :param event_lag_s: Time after which an event is published, in seconds.
    :param gap_every: One event of this number is lost on average; 0 for none.
    :param random: Chooses the lost events.
    """

    def __init__(
        self, *, blocks: int, event_lag_s: float, gap_every: int, random: Random
    ) -> None:
        self._blocks = blocks
        self._lag_s = event_lag_s
        self._gap_every = gap_every
        self._random = random
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._sequence = 0

    def access(self, prompt: str, *, now_s: float) -> tuple[int, int]:
        """Look up a prompt and add it to the cache.

        :returns: Number of its blocks that were cached, and of all its blocks.
        """
        blocks = blocks_of(prompt)
        hits = sum(block in self._cached for block in blocks)
        for block in blocks:
            if block not in self._cached:
                self._publish("stored", block, now_s=now_s)
            self._cached[block] = None
            self._cached.move_to_end(block)
        while len(self._cached) > self._blocks:
            evicted, _ = self._cached.popitem(last=False)
            self._publish("evicted", evicted, now_s=now_s)
        return hits, len(blocks)

    def events_after(self, sequence: int, *, now_s: float) -> list[dict[str, Any]]:
        """List the published events after a sequence number."""
        return [
            event
            for event_time_s, event in self._events
            if event["sequence"] > sequence and event_time_s + self._lag_s <= now_s
        ]

    def _publish(self, kind: str, prefix: str, *, now_s: float) -> None:
        self._sequence += 1
        if self._gap_every and self._random.randrange(self._gap_every) == 0:
            return
        event = {"sequence": self._sequence, "kind": kind, "prefix": prefix}
        self._events.append((now_s, event))


class _PrioritySemaphore:
    """A semaphore whose waiters are served by priority; the lowest number is first."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._arrivals = 0
        self._waiting: list[tuple[int, int, trio.Event]] = []

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    async def acquire(self, *, priority: int) -> None:
        if self._free:
            self._free -= 1
            return
        self._arrivals += 1
        ready = trio.Event()
        entry = (priority, self._arrivals, ready)
        heapq.heappush(self._waiting, entry)
        try:
            await ready.wait()
        except trio.Cancelled:
            if ready.is_set():
                self.release()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._free += 1


class _TokenStream:
    """A stream of tokens, which continues when the connection of its request ends."""

    def __init__(self, *, execution: Execution, tokens: list[str], first: int) -> None:
        self.execution = execution
        self.tokens = tokens
        self.first = first
        self.produced = first
        self.readers = 0
        self.abandoned_at_s: float | None = None
        self.scope = trio.CancelScope()
        self.changed = trio.Event()

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class Engine(UpstreamStandIn):
    """An upstream that generates deterministic tokens."""

    def __init__(
        self,
        *,
        upstream_id: str,
        slots: int = 8,
        token_interval_s: float = 0.002,
        prefill_s: float = 0.001,
        cache_blocks: int = 256,
        cache_lag_s: float = 0.0,
        cache_gap_every: int = 0,
        checks_fencing: bool = True,
        load_model_s: float = 0.05,
        seed: int = 1,
        **options: Any,
    ) -> None:
        super().__init__(upstream_id=upstream_id, slots=slots, **options)
        self._token_interval_s = token_interval_s
        self._prefill_s = prefill_s
        self._checks_fencing = checks_fencing
        self._load_model_s = load_model_s
        self._cache_options: dict[str, Any] = {
            "blocks": cache_blocks,
            "event_lag_s": cache_lag_s,
            "gap_every": cache_gap_every,
        }
        self._seed = seed
        self._cache = self._new_cache()
        self._slots = _PrioritySemaphore(slots)
        self._streams: OrderedDict[str, _TokenStream] = OrderedDict()
        self._highest_fencing = 0
        self.model: str | None = None
        self.orders: list[dict[str, Any]] = []
        self._handler_by_route["POST", "/v1/generate"] = self._generate
        self._handler_by_route["POST", "/v1/resume"] = self._resume
        self._handler_by_route["POST", "/v1/cancel"] = self._cancel
        self._handler_by_route["GET", "/v1/cache-events"] = self._cache_events
        self._handler_by_route["POST", "/v1/orders"] = self._accept_order

    def _new_cache(self) -> PrefixCache:
        return PrefixCache(random=Random(self._seed), **self._cache_options)

    def queued(self) -> int:
        """Count the streams that wait for a slot."""
        return self._slots.waiting

    def reset_state(self) -> None:
        """Lose cache, streams and model, as by a restart."""
        super().reset_state()
        self._cache = self._new_cache()
        self._slots = _PrioritySemaphore(self.slots)
        self._streams.clear()
        self.model = None

    def current_load(self) -> dict[str, Any]:
        """Report the current load and the loaded model."""
        return {**super().current_load(), "model": self.model}

    def progress(self, exchange_id: str) -> dict[str, Any]:
        """Report the progress of a call with the index of its next token."""
        value = super().progress(exchange_id)
        stream = self._streams.get(exchange_id)
        return value if stream is None else {**value, "next_index": stream.produced}

    async def _generate(self, exchange: Exchange) -> None:
        if self.faults.consume("refuse"):
            await exchange.refuse(reason=self.faults.refuse_reason)
            return
        tokens = tokens_of(exchange.body)
        forced = list(exchange.body.get("forced_tokens", ()))
        if forced != tokens[: len(forced)]:
            # Detects a client that sends the forced tokens of another request.
            await exchange.refuse(reason="forced-tokens-differ", status=400)
            return
        execution = await self.begin(exchange)
        stream = _TokenStream(execution=execution, tokens=tokens, first=len(forced))
        self._streams[exchange.exchange_id] = stream
        while len(self._streams) > _MAX_RESUMABLE_STREAMS:
            self._streams.popitem(last=False)
        assert self.nursery is not None
        priority = int(exchange.headers.get("galenashift-priority", "0"))
        self.nursery.start_soon(
            self._generate_tokens, stream, prompt_of(exchange.body), priority
        )
        await self._send_stream(exchange, stream, stream.first)

    async def _generate_tokens(
        self, stream: _TokenStream, prompt: str, priority: int
    ) -> None:
        with stream.scope:
            await self._slots.acquire(priority=priority)
            try:
                hits, blocks = self._cache.access(prompt, now_s=self.now_s)
                await self.work(self._prefill_s * (1 + blocks - hits))
                while stream.produced < len(stream.tokens):
                    await self.work(self._token_interval_s)
                    while stream.produced == self.faults.hold_at_token:
                        await self.work(self._token_interval_s)
                    if self._is_abandoned(stream):
                        stream.scope.cancel()
                        continue
                    stream.produced += 1
                    stream.execution.tokens += 1
                    stream.notify()
                self.end(stream.execution, Outcome.DONE)
            finally:
                self._slots.release()
        self.end(stream.execution, Outcome.CANCELLED)
        stream.notify()

    def _is_abandoned(self, stream: _TokenStream) -> bool:
        since_s = stream.abandoned_at_s
        return since_s is not None and self.now_s - since_s > RESUME_GRACE_S

    async def _resume(self, exchange: Exchange) -> None:
        stream = self._streams.get(exchange.exchange_id)
        index = int(exchange.body.get("from", 0))
        cancelled = stream is not None and stream.scope.cancel_called
        if stream is None or cancelled or not stream.first <= index <= stream.produced:
            await exchange.refuse(reason="unknown-stream", status=404)
            return
        await self._send_stream(exchange, stream, index)

    async def _send_stream(
        self, exchange: Exchange, stream: _TokenStream, index: int
    ) -> None:
        stream.readers += 1
        stream.abandoned_at_s = None
        try:
            async with trio.open_nursery() as nursery:

                async def cancel_on_disconnect() -> None:
                    await exchange.wait_disconnect()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(cancel_on_disconnect)
                await self._send_lines(exchange, stream, index)
                nursery.cancel_scope.cancel()
        finally:
            stream.readers -= 1
            if not stream.readers:
                stream.abandoned_at_s = self.now_s

    async def _send_lines(
        self, exchange: Exchange, stream: _TokenStream, index: int
    ) -> None:
        faults = self.faults
        break_index = None
        if faults.consume("break_streams"):
            break_index = index + faults.break_after_tokens
        skip_index = index + 1 if faults.consume("skip_tokens") else None
        name = exchange.exchange_id
        await exchange.start(200, kind=b"application/jsonl")
        while True:
            changed = stream.changed
            lines = []
            while index < stream.produced and index != break_index:
                if index != skip_index:
                    line = {"exchange": name, "index": index}
                    lines.append({**line, "token": stream.tokens[index]})
                index += 1
            if lines:
                text = "".join(json.dumps(line) + "\n" for line in lines)
                await exchange.send(text.encode(), more=True)
            if index == break_index or stream.scope.cancel_called:
                exchange.reset_connection()
                return
            if index == len(stream.tokens):
                break
            await changed.wait()
        end = {"exchange": name, "end": True, "count": len(stream.tokens)}
        text = "" if faults.consume("drop_stream_ends") else json.dumps(end) + "\n"
        await exchange.send(text.encode(), more=False)

    async def _cancel(self, exchange: Exchange) -> None:
        stream = self._streams.get(exchange.exchange_id)
        if stream is not None:
            stream.scope.cancel()
        await exchange.answer(200, {"cancelled": stream is not None})

    async def _cache_events(self, exchange: Exchange) -> None:
        after = exchange.query.removeprefix("after=") or "0"
        events = self._cache.events_after(int(after), now_s=self.now_s)
        await exchange.answer(200, {"events": events})

    async def _show_record(self, exchange: Exchange) -> None:
        value = {**self.record.as_json(), "orders": self.orders}
        await exchange.answer(200, value)

    async def _accept_order(self, exchange: Exchange) -> None:
        order = dict(exchange.body)
        fencing = int(order.get("fencing", 0))
        if self._checks_fencing and fencing < self._highest_fencing:
            await exchange.refuse(reason="old-fencing-number", status=409)
            return
        self._highest_fencing = max(self._highest_fencing, fencing)
        self.orders.append(order)
        assert self.nursery is not None
        self.nursery.start_soon(self._load_model, order.get("model"))
        await exchange.answer(200, {"accepted": True})

    async def _load_model(self, model: str | None) -> None:
        await self.work(self._load_model_s)
        self.model = model
