"""Two exchanges of one request, of which only one may answer the caller."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from galenashift.model import Handle, UpstreamId, Verdict

from ._caller import CallerGone
from ._outcomes import Answered, Broken, NotSent, Outcome, Refused, Silent, StreamEnded
from ._request import ActiveRequest
from ._router import Choice
from ._sent_request import SendRequest, SentRequest
from ._stream import StreamWriter

#: Ranks of failures; the one with the lowest is reported if both exchanges fail.
_SUSPICION_RANK = 0
_RANK_BY_TYPE: dict[type[Outcome], int] = {
    Answered: 1,
    Broken: 2,
    StreamEnded: 2,
    Silent: 3,
    Refused: 4,
    NotSent: 5,
}


@dataclass(kw_only=True, eq=False)
class ConcurrentExchange:
    """One of the two exchanges of a request."""

    choice: Choice
    writer: StreamWriter
    #: Boot-time clock at which it began, in seconds.
    began_at_s: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    #: How it ended; None while it runs, and if it was cancelled.
    sent: SentRequest | None = None
    #: Boot-time clock at which it ended by itself, in seconds.
    ended_at_s: float | None = None

    @property
    def upstream_id(self) -> UpstreamId:
        """Upstream that the request is sent to."""
        return self.choice.upstream.registration.upstream_id


class HedgeRace:
    """Runs exchanges of one request until one of them answers it.

    The first exchange with a good answer, or with an event of a stream, wins: the other
    one is cancelled, which closes its connection, and never writes to the caller. A
    failure is noted, and the other exchange goes on.

    :param writer: Writer of the request, which takes over what the winner has read.
    :param send: Sends the request to one upstream.
    :param on_won: Called as soon as an exchange has won.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        job: ActiveRequest,
        writer: StreamWriter,
        inputs: tuple[Handle, ...],
        send: SendRequest,
        on_won: "Callable[[HedgeRace], None]",
        clock: Callable[[], float],
    ) -> None:
        self._job = job
        self._writer = writer
        self._inputs = inputs
        self._send = send
        self._on_won = on_won
        self._clock = clock
        self._caller_gone: CallerGone | None = None
        self.exchanges: list[ConcurrentExchange] = []
        #: The exchange that answers the caller, once that is decided.
        self.winner: ConcurrentExchange | None = None
        #: Set once the first exchange has won or ended.
        self.first_settled = trio.Event()

    def add_exchange(self, choice: Choice) -> ConcurrentExchange:
        """Add an exchange; `run` performs it."""
        exchange = ConcurrentExchange(
            choice=choice, writer=self._writer.fork(), began_at_s=self._clock()
        )
        exchange.writer.may_write = partial(self._claim, exchange)
        self.exchanges.append(exchange)
        return exchange

    async def run(self, exchange: ConcurrentExchange) -> None:
        """Perform an exchange, and note how it ended."""
        with exchange.scope:
            try:
                exchange.sent = await self._send(
                    self._job, exchange.choice, exchange.writer, self._inputs
                )
                exchange.ended_at_s = self._clock()
            except CallerGone as error:
                # Raised by `result`, as a nursery would wrap it.
                self._caller_gone = error
                self._cancel_others(exchange)
        if exchange.sent is None:
            _note_cancelled(self._job, exchange)
        elif not (is_good(exchange.sent.outcome) and self._claim(exchange)):
            _note_failure(self._job, exchange.sent)
        if exchange is self.exchanges[0]:
            self.first_settled.set()

    def result(self) -> SentRequest:
        """Return the exchange that decides on the request, after all have ended.

        :raises CallerGone: If the caller has closed its connection.
        """
        if self._caller_gone is not None:
            raise self._caller_gone
        ended = [each for each in self.exchanges if each.sent is not None]
        best = self.winner or min(ended, key=_failure_rank)
        assert best.sent is not None
        self._writer.adopt(best.writer)
        return best.sent

    def close(self) -> None:
        """Free the memory of what was read and not taken over."""
        for exchange in self.exchanges:
            if not self._writer.has_adopted(exchange.writer):
                exchange.writer.discard_partial_event()

    def _claim(self, exchange: ConcurrentExchange) -> bool:
        """Tell whether an exchange may answer the caller; the first one to ask may."""
        if self.winner is None and self._caller_gone is None:
            self.winner = exchange
            self._cancel_others(exchange)
            self.first_settled.set()
            self._on_won(self)
        return self.winner is exchange

    def _cancel_others(self, exchange: ConcurrentExchange) -> None:
        for other in self.exchanges:
            if other is not exchange:
                other.scope.cancel()


def is_good(outcome: Outcome) -> bool:
    """Tell whether an outcome is an answer that no retry could improve."""
    match outcome:
        case Answered():
            return not outcome.is_failure
        case StreamEnded(complete=complete):
            return complete
        case _:
            return False


def _failure_rank(exchange: ConcurrentExchange) -> int:
    """Rank a failed exchange; a suspected crash must be examined before a retry."""
    assert exchange.sent is not None
    if exchange.sent.suspicion is not None:
        return _SUSPICION_RANK
    return _RANK_BY_TYPE[type(exchange.sent.outcome)]


def _note_failure(job: ActiveRequest, sent: SentRequest) -> None:
    """Note a failure at once, so that a verdict on the request is true from then on."""
    upstream_id = sent.choice.upstream.registration.upstream_id
    job.tried.add(upstream_id)
    match sent.outcome:
        case NotSent():
            job.tried.discard(upstream_id)
            job.unreachable.add(upstream_id)
        case Refused():
            pass
        case Answered():
            job.record_answer(sent.outcome)
        case Broken() | Silent() | StreamEnded():
            _note_may_have_run(job)


def _note_cancelled(job: ActiveRequest, exchange: ConcurrentExchange) -> None:
    """Note an exchange that was cancelled; its upstream may have run the request."""
    if exchange.upstream_id in job.in_flight:
        job.in_flight.discard(exchange.upstream_id)
        job.tried.add(exchange.upstream_id)
        _note_may_have_run(job)
    else:
        job.tried.discard(exchange.upstream_id)


def _note_may_have_run(job: ActiveRequest) -> None:
    if job.verdict is Verdict.NOT_RUN:
        job.verdict = Verdict.MAY_HAVE_RUN
