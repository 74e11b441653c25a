"""Assembles one caller's stream from attempts on several upstreams; no I/O.

The executor calls `begin_attempt` before each attempt, sends the forced tokens that
it returns, and passes every item to `accept`::

    progress = StreamProgress()
    attempt = progress.begin_attempt()
    match progress.accept(attempt=attempt.number, item=item):
        case Deliver(token): ...   # send to the caller
        case Complete(count): ...  # send ``event: end``
        case Discard(): ...        # end this attempt; begin another or fail
"""

from dataclasses import dataclass

from galenashift.model import Failure, StreamEnd, StreamItem, Token


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt to generate the rest of a stream."""

    #: Number of the attempt, from 1; items of earlier attempts are discarded.
    number: int
    #: Tokens that the caller already has, to be sent to the upstream.
    forced_tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Deliver:
    """Send the next token to the caller."""

    #: Token with the next index of the caller's stream.
    token: Token


@dataclass(frozen=True, kw_only=True)
class Complete:
    """The caller has received the complete stream."""

    #: Number of tokens in the stream.
    count: int


@dataclass(frozen=True, kw_only=True)
class Discard:
    """Discard the item and all later items of its attempt."""

    #: Reason in one line.
    detail: str


class StreamProgress:
    """The part of one stream that its caller has received."""

    def __init__(self) -> None:
        self._tokens: list[str] = []
        self._attempt = 0
        self._attempt_ended = False
        self._complete = False

    @property
    def next_index(self) -> int:
        """Index of the next token for the caller."""
        return len(self._tokens)

    @property
    def is_complete(self) -> bool:
        """Whether the end marker has arrived with the matching token count."""
        return self._complete

    @property
    def tokens(self) -> tuple[str, ...]:
        """The tokens delivered so far, in order."""
        return tuple(self._tokens)

    def begin_attempt(self) -> Attempt:
        """Start an attempt and end the previous one."""
        self._attempt += 1
        self._attempt_ended = False
        return Attempt(number=self._attempt, forced_tokens=self.tokens)

    def accept(self, *, attempt: int, item: StreamItem) -> Deliver | Complete | Discard:
        """Decide whether an item is delivered to the caller.

        :param attempt: Number of the attempt that yielded the item.
        """
        if self._complete:
            return Discard(detail="the stream is complete")
        if attempt != self._attempt or self._attempt_ended:
            return Discard(detail=f"attempt {attempt} has ended")
        match item:
            case Token(index=index, text=text) if index == len(self._tokens):
                self._tokens.append(text)
                return Deliver(token=item)
            case StreamEnd(count=count) if count == len(self._tokens):
                self._complete = True
                return Complete(count=count)
        self._attempt_ended = True
        match item:
            case Token(index=index):
                return Discard(
                    detail=f"received token {index}, expected token {len(self._tokens)}"
                )
            case StreamEnd(count=count):
                return Discard(
                    detail=f"end marker reports {count} tokens, "
                    f"delivered {len(self._tokens)}"
                )
            case Failure(detail=detail):
                return Discard(detail=detail)
