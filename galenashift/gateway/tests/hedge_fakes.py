"""Fake upstreams whose answers come after given times."""

from dataclasses import dataclass, field
from math import inf

import trio

from galenashift.gateway._connection import AnswerHead
from galenashift.gateway._outcomes import NotSent, Refused, Silent, StreamEnded
from galenashift.gateway.tests.relay_fakes import (
    BROKEN,
    CONFIG,
    REFUSED,
    answered,
    serve,
)

GOOD = answered(200)
FAILED = answered(500)
NOT_SENT = NotSent(detail="connect: timeout")
SILENT = Silent()


@dataclass(frozen=True, kw_only=True)
class Script:
    """What one upstream does.

    :param after_s: Time until its outcome, in seconds.
    :param events: Times of the events of a stream, from the send.
    :param partial: Data of a stream that is sent at once and is no whole event.
    """

    outcome: object
    after_s: float = inf
    events: tuple[float, ...] = ()
    partial: bytes = b""


def streamed(*events, complete=True, gap_s=0.1):
    """Return the script of a stream that ends some time after its last event."""
    outcome = StreamEnded(complete=complete, started=bool(events), detail="reset")
    return Script(outcome=outcome, after_s=events[-1] + gap_s, events=events)


@dataclass(kw_only=True, eq=False)
class Exchange:
    """What happened to one exchange; times are in seconds."""

    upstream_id: str
    script: Script
    started_at_s: float
    ended_at_s: float = inf
    #: None if it was cancelled.
    outcome: object = None
    was_sent: bool = False
    timeouts: object = None
    request: object = None
    #: Memory that all answers used right after its partial event, in bytes.
    memory_bytes: int = 0

    @property
    def may_have_run(self):
        return self.was_sent and not isinstance(self.outcome, Refused | NotSent)


@dataclass(kw_only=True, eq=False)
class RaceExchanger:
    """Plays one script for each exchange, in their order; the last one is repeated.

    :param usual: Script of the first send of requests that are not late.
    :param late_every: Number of requests of which one is late, if not all are.
    """

    scripts: list
    usual: Script | None = None
    late_every: int = 1
    first_sends: int = 0
    memory: object = None
    exchanges: list = field(default_factory=list)

    @property
    def upstreams(self):
        return [each.upstream_id for each in self.exchanges]

    def _next_script(self):
        if self.usual is None:
            return self.scripts[min(len(self.exchanges), len(self.scripts) - 1)]
        if any(each.ended_at_s == inf for each in self.exchanges):
            return self.scripts[1]
        self.first_sends += 1
        return (
            self.scripts[0] if self.first_sends % self.late_every == 0 else self.usual
        )

    async def exchange(
        self, *, upstream, request, timeouts, sink=None, may_send=None, is_whole=None
    ):
        script = self._next_script()
        exchange = Exchange(
            upstream_id=upstream.upstream_id,
            script=script,
            started_at_s=trio.current_time(),
            timeouts=timeouts,
            request=request,
        )
        self.exchanges.append(exchange)
        try:
            exchange.outcome = await self._play(exchange, timeouts, sink, may_send)
        finally:
            exchange.ended_at_s = trio.current_time()
        return exchange.outcome

    async def _play(self, exchange, timeouts, sink, may_send):
        script = exchange.script
        if isinstance(script.outcome, NotSent):
            await trio.sleep(script.after_s)
            return script.outcome
        if not may_send():
            return NotSent(detail="no longer accepted")
        exchange.was_sent = True
        scope = trio.CancelScope(deadline=exchange.started_at_s + timeouts.first_byte_s)
        with scope:
            if script.partial:
                await sink(AnswerHead(status=200, headers=[]), script.partial)
                exchange.memory_bytes = self.memory.used_bytes
            for at_s in script.events:
                await trio.sleep_until(exchange.started_at_s + at_s)
                scope.deadline = inf
                data = b"id: %.2f\ndata: %s\n\n" % (
                    at_s,
                    exchange.upstream_id.encode(),
                )
                await sink(AnswerHead(status=200, headers=[]), data)
            await trio.sleep_until(exchange.started_at_s + script.after_s)
            return script.outcome
        return SILENT


#: Outcomes of an exchange by name.
OUTCOMES = {
    "good": GOOD,
    "failed": FAILED,
    "broken": BROKEN,
    "refused": REFUSED,
    "not-sent": NOT_SENT,
    "silent": SILENT,
}
SILENT_SCRIPT = Script(outcome=OUTCOMES["silent"])
SLOW = Script(outcome=GOOD, after_s=0.45)
FAST = Script(outcome=GOOD, after_s=0.05)


def race(name, *scripts, **options):
    """Send one request whose exchanges follow the scripts."""
    exchanger = RaceExchanger(scripts=list(scripts), memory=options.get("memory"))
    _, responder = serve(name, exchanger=exchanger, hedge_share=1.0, **options)
    return exchanger.exchanges, responder


def changed_config(name, **changes):
    """Return the configuration with changes of one route."""
    routes = [
        each | changes if each["name"] == name else each for each in CONFIG["routes"]
    ]
    return CONFIG | {"routes": routes}
