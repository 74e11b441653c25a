"""Limits what callers make a daemon hold: their memory and their connections.

Nothing here does input or output.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ._size_turns import LARGE_BODY_THRESHOLD_BYTES

#: Size up to which a request may use the whole budget, in bytes. Larger ones leave
#: the rest of it, so that ordinary requests are still read beside large bodies.
SMALL_REQUEST_BYTES = 65_536
#: Share of the memory that requests above that size may use.
_LARGE_SHARE = 0.75
#: Share of the memory that is used after an eviction, so that not every read evicts.
_EVICT_TO_SHARE = 0.95
#: Shares of the memory and of the connections above which slow bodies are cut off.
#: Idle connections of ordinary callers count, too, so their share is higher.
_MEMORY_PRESSURE_SHARE = 0.5
_CONNECTION_PRESSURE_SHARE = 0.9
#: Added to the age in the order of eviction, in seconds, so that of callers that have
#: all just begun the largest is evicted.
_AGE_OFFSET_S = 0.05
#: Share of the connections that is closed at once, so that not every new connection
#: orders all others.
_CLOSE_SHARE = 1 / 32
#: Age of a phase below which a connection counts as new, in seconds: its bytes may be
#: on their way.
_NEW_S = 1.0
#: Time over which the rate of a body is measured, in seconds.
RATE_WINDOW_S = 3.0


class CallerPhase(Enum):
    """What a connection of a caller is doing."""

    #: No request is arriving.
    IDLE = "idle"
    #: The head of a request is arriving.
    HEAD = "head"
    #: The body of a request is arriving.
    BODY = "body"
    #: A request is being handled, and may have been sent to an upstream.
    HANDLED = "handled"
    #: An answer, or a part of it, is being written.
    WRITING = "writing"


class CutCause(Enum):
    """Why a connection of a caller was closed; the values appear in the log."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    SLOW_BODY = "slow-body"
    UNREAD_ANSWER = "unread-answer"


_READING = frozenset({CallerPhase.HEAD, CallerPhase.BODY})


@dataclass(frozen=True, kw_only=True)
class CallerBudget:
    """What all callers together may use of a daemon."""

    #: Memory for bytes sent ahead, heads, bodies and unread answers, in bytes.
    memory_bytes: int
    #: Most connections of callers.
    max_connections: int
    #: Rate below which a body is cut off under pressure, in bytes per second.
    min_body_bytes_per_s: float
    #: Time without progress after which the writing of an answer ends, in seconds.
    write_timeout_s: float


class CallerMemory:
    """Keeps account of what each caller makes a daemon hold, and evicts callers.

    Over the memory, the callers are evicted first that hold the largest memory for the
    longest time. Requests that are being handled are not evicted; they cannot grow.

    :param budget: Limits of all callers together.
    """

    def __init__(self, *, budget: CallerBudget) -> None:
        self.budget = budget
        self.used_bytes = 0
        self._holdings: set[CallerHolding] = set()
        self._large_bytes = int(_LARGE_SHARE * budget.memory_bytes)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holdings)

    @property
    def under_pressure(self) -> bool:
        """Whether so much is used that slow bodies are cut off."""
        budget = self.budget
        return (
            self.used_bytes > _MEMORY_PRESSURE_SHARE * budget.memory_bytes
            or self.connections > _CONNECTION_PRESSURE_SHARE * budget.max_connections
        )

    def open(
        self,
        *,
        on_evicted: Callable[[CutCause], None],
        may_close: Callable[[], bool],
        now_s: float,
    ) -> "CallerHolding":
        """Return an empty holding for a new connection.

        :param on_evicted: Closes the connection and frees its memory at once.
        :param may_close: Tells whether an idle connection has no request on its way.
        :param now_s: Boot-time clock, in seconds.
        """
        holding = CallerHolding(
            memory=self, on_evicted=on_evicted, may_close=may_close, now_s=now_s
        )
        self._holdings.add(holding)
        return holding

    def make_room(self, *, now_s: float) -> bool:
        """Close some connections if there are as many as there may be.

        Idle ones are closed first, then those whose requests arrive, then new ones,
        then those that do not read; of each the oldest, see `close_order_s`. A request
        that is being handled is not given up.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether another connection may be accepted.
        """
        if self.connections < self.budget.max_connections:
            return True
        wanted = max(1, int(_CLOSE_SHARE * self.budget.max_connections))
        candidates = [
            (rank, each.close_order_s, number, each)
            for number, each in enumerate(self._holdings)
            if (rank := each.close_rank(now_s=now_s)) is not None
        ]
        candidates.sort()
        closable = (each for *_, each in candidates if each.may_close())
        for holding in itertools.islice(closable, wanted):
            holding.evict(CutCause.CONNECTIONS)
        return self.connections < self.budget.max_connections

    def evict_slow(self, *, now_s: float) -> None:
        """Evict callers that neither read nor, under pressure, send fast enough.

        :param now_s: Boot-time clock, in seconds; to be called about every second.
        """
        for holding in list(self._holdings):
            match holding.phase:
                case CallerPhase.WRITING:
                    waited_s = now_s - holding.progress_at_s
                    if waited_s > self.budget.write_timeout_s:
                        holding.evict(CutCause.UNREAD_ANSWER)
                case CallerPhase.BODY if holding.is_slow(now_s=now_s):
                    if self.under_pressure:
                        holding.evict(CutCause.SLOW_BODY)
                case _:
                    pass

    def _resize(
        self, holding: "CallerHolding", size_bytes: int, *, now_s: float
    ) -> None:
        grows = size_bytes > holding.size_bytes
        self.used_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        if grows and self.used_bytes > self._limit_for(size_bytes):
            self._evict_largest(holding, now_s=now_s)

    def _limit_for(self, size_bytes: int) -> int:
        if size_bytes > SMALL_REQUEST_BYTES:
            return self._large_bytes
        return self.budget.memory_bytes

    def _evict_largest(self, growing: "CallerHolding", *, now_s: float) -> None:
        limit_bytes = self._limit_for(growing.size_bytes)
        candidates = [
            each
            for each in self._holdings
            if each.size_bytes and each.phase is not CallerPhase.HANDLED
        ]
        candidates.sort(key=lambda each: each.weight(now_s=now_s), reverse=True)
        for holding in candidates:
            if self.used_bytes <= _EVICT_TO_SHARE * limit_bytes:
                return
            holding.evict(CutCause.MEMORY)
        if self.used_bytes > limit_bytes and growing.is_open:
            # All the rest is held by requests that are being handled.
            growing.evict(CutCause.MEMORY)

    def _remove(self, holding: "CallerHolding") -> None:
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.used_bytes -= holding.size_bytes
            holding.size_bytes = 0


class CallerHolding:
    """What one connection makes the daemon hold."""

    def __init__(
        self,
        *,
        memory: CallerMemory,
        on_evicted: Callable[[CutCause], None],
        may_close: Callable[[], bool],
        now_s: float,
    ) -> None:
        self._memory = memory
        self._on_evicted = on_evicted
        self._may_close = may_close
        self.size_bytes = 0
        self.phase = CallerPhase.IDLE
        #: Whether the connection may go on.
        self.is_open = True
        self._opened_at_s = now_s
        #: Time at which the present phase began, in seconds.
        self.since_s = now_s
        #: Time at which bytes of an answer were last written, in seconds.
        self.progress_at_s = now_s
        #: Bytes of bodies that have arrived on the connection.
        self.received_bytes = 0
        self._window_at_s = now_s
        self._window_bytes = 0

    def enter(self, phase: CallerPhase, *, now_s: float) -> None:
        """Record what the connection does from now on.

        :param now_s: Boot-time clock, in seconds.
        """
        self.phase = phase
        self.since_s = self.progress_at_s = self._window_at_s = now_s
        self._window_bytes = self.received_bytes

    def resize(self, size_bytes: int, *, now_s: float) -> bool:
        """Set the memory that the connection uses, and evict callers if it is too much.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether this caller may go on.
        """
        if self.is_open:
            self._memory._resize(self, size_bytes, now_s=now_s)
        return self.is_open

    def may_grow(self, extra_bytes: int) -> bool:
        """Tell whether the memory has room for more of this caller.

        :param extra_bytes: What would be added, in bytes.
        """
        memory = self._memory
        limit_bytes = memory._limit_for(self.size_bytes + extra_bytes)
        return memory.used_bytes + extra_bytes <= limit_bytes

    def evict(self, cause: CutCause) -> None:
        """Close the connection, of which nothing is held any more."""
        self.is_open = False
        self._on_evicted(cause)
        self._memory._remove(self)

    def close(self) -> None:
        """Release all that is held, as the connection has ended."""
        self.is_open = False
        self._memory._remove(self)

    def may_close(self) -> bool:
        """Tell whether the connection may be closed for a new one."""
        return self.phase is not CallerPhase.IDLE or self._may_close()

    def weight(self, *, now_s: float) -> float:
        """Return the memory times the time for which it is held, in byte seconds."""
        return self.size_bytes * (now_s - self.since_s + _AGE_OFFSET_S)

    def close_rank(self, *, now_s: float) -> int | None:
        """Return which connections are closed earlier for new ones: a low rank.

        :param now_s: Boot-time clock, in seconds.
        :returns: None if the connection must stay open.
        """
        if self.phase is CallerPhase.HANDLED:
            return None
        if self.phase is CallerPhase.WRITING:
            return 3
        if now_s - self.since_s < _NEW_S:
            return 2
        return 1 if self.phase in _READING else 0

    @property
    def close_order_s(self) -> float:
        """Time by which connections of the same rank are closed, oldest first.

        It is the start of the connection if it holds more than
        `LARGE_BODY_THRESHOLD_BYTES`, and the start of its phase if not, in seconds of
        the boot-time clock. The phase of a caller that sends one large body after the
        other is always new, so that callers that have just connected would be closed
        before it.
        """
        large = self.size_bytes > LARGE_BODY_THRESHOLD_BYTES
        return self._opened_at_s if large else self.since_s

    def is_slow(self, *, now_s: float) -> bool:
        """Tell whether the body arrived too slowly over the last window.

        :param now_s: Boot-time clock, in seconds.
        """
        window_s = now_s - self._window_at_s
        if window_s < RATE_WINDOW_S:
            return False
        rate = (self.received_bytes - self._window_bytes) / window_s
        self._window_at_s = now_s
        self._window_bytes = self.received_bytes
        return rate < self._memory.budget.min_body_bytes_per_s
