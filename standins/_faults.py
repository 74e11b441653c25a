"""Faults of upstream stand-ins that tests control, and the record of executions."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields
from enum import Enum
from typing import Any


class Outcome(Enum):
    """State of an execution, or how it ended."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclass(kw_only=True)
class Faults:
    """Faults that the control endpoint sets.

    A counted fault applies to that number of answers, streams or calls.
    """

    #: Whether only the control endpoint answers.
    stalled: bool = False
    #: Factor on the duration of each execution.
    slow_factor: float = 1.0
    #: Whether executions do not end; everything else works.
    held: bool = False
    #: Token index at which streams pause until the value is changed.
    hold_at_token: int | None = None
    #: Number of calls that are executed and then answered by a connection reset.
    lose_answers: int = 0
    #: Number of answers that are sent late.
    delay_answers: int = 0
    #: Delay of a late answer, in seconds.
    delay_s: float = 0.0
    #: Number of answers that carry another exchange id.
    wrong_exchanges: int = 0
    #: Number of answers that repeat the previous answer with its exchange id.
    stale_answers: int = 0
    #: Number of answers that end with a connection reset after half of the body.
    truncate_answers: int = 0
    #: Number of streams that end with a connection reset.
    break_streams: int = 0
    #: Number of tokens that such a stream sends before the reset.
    break_after_tokens: int = 0
    #: Number of streams that end without their end marker.
    drop_stream_ends: int = 0
    #: Number of streams that omit their second token.
    skip_tokens: int = 0
    #: Number of calls that are refused before execution.
    refuse: int = 0
    #: Reason given for these refusals.
    refuse_reason: str = "overloaded"
    #: The stand-in crashes on an input that contains this text.
    crash_text: str | None = None

    def apply(self, changes: Mapping[str, Any]) -> None:
        """Set faults by name.

        :raises ValueError: If a name is unknown.
        """
        known = {each.name for each in fields(self)}
        if unknown := set(changes) - known:
            raise ValueError(f"unknown faults: {', '.join(sorted(unknown))}")
        for name, value in changes.items():
            setattr(self, name, value)

    def consume(self, name: str) -> bool:
        """Decrement a counted fault.

        :returns: Whether it was above zero, so that the fault applies.
        """
        remaining: int = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0


@dataclass(kw_only=True)
class Execution:
    """One execution of a call."""

    #: Exchange id of the call.
    exchange: str
    #: Request id of the call.
    request: str
    #: SHA-256 digest of the canonical JSON of operation, input and results.
    input_digest: str
    #: Operation that was executed.
    operation: str
    #: Start by the clock of the stand-in, in seconds.
    start_s: float
    #: End by the same clock; None while it runs.
    end_s: float | None = None
    #: How it ended, or that it runs.
    outcome: Outcome = Outcome.RUNNING
    #: Number of tokens that it has generated.
    tokens: int = 0


@dataclass(kw_only=True)
class Record:
    """All executions since the stand-in was created; restarts do not clear it."""

    #: Executions in order of start.
    executions: list[Execution] = field(default_factory=list)
    #: Number of executions that are running.
    running: int = 0
    #: Highest number of concurrent executions so far.
    max_running: int = 0

    def start(self, execution: Execution) -> Execution:
        """Add an execution that starts now."""
        self.executions.append(execution)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        return execution

    def end(self, execution: Execution, *, now_s: float, outcome: Outcome) -> None:
        """Record the end of an execution, unless one is recorded already."""
        if execution.outcome is Outcome.RUNNING:
            execution.end_s = now_s
            execution.outcome = outcome
            self.running -= 1

    def crash(self, *, now_s: float) -> None:
        """Record that all running executions crashed."""
        for execution in self.executions:
            self.end(execution, now_s=now_s, outcome=Outcome.CRASHED)

    def as_json(self) -> dict[str, Any]:
        """Convert to the JSON document of the record endpoint."""
        rows = [
            {**asdict(each), "outcome": each.outcome.value} for each in self.executions
        ]
        return {"executions": rows, "max_running": self.max_running}
