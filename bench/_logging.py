"""Processor time of the gateway's log lines: ``python -m bench._logging``."""

import os
import time

import click

from galenashift.gateway._output import MAX_LINES_PER_S, BoundedOutput
from galenashift.telemetry import EventLog

_ROUNDS = 20
#: Lines of one round; fewer than are written in a second.
_LINES = MAX_LINES_PER_S // 2


def _line_us(events: EventLog, lines: int) -> float:
    started_s = time.process_time()
    for number in range(lines):
        events.info(
            "upstream-chosen",
            request_id=None,
            route="r-cj2r2yy",
            service="pool",
            upstream="i-2fee31e030",
            known_s=19.6215,
            config=16,
            eligible=3,
            cost_s=number / 1e3,
            by_prefix=False,
            left_s=0.918,
        )
    return (time.process_time() - started_s) / lines * 1e6


def main() -> None:
    """Print the least time of a written and of a dropped line."""
    with open(os.devnull, "wb") as sink:
        output = BoundedOutput(sink.fileno())
        events = EventLog(stream=output, max_indexed_requests=0)
        written_us = []
        for _ in range(_ROUNDS):
            # Lines are limited by the second, so each round has one of its own.
            time.sleep(1.0 - time.monotonic() % 1.0)
            written_us.append(_line_us(events, _LINES))
        _line_us(events, MAX_LINES_PER_S)
        dropped_us = [_line_us(events, _LINES) for _ in range(3)]
    click.echo(f"written line: {min(written_us):.1f} us")
    click.echo(f"dropped line: {min(dropped_us):.1f} us")
    click.echo(f"lines dropped: {output.dropped}")


if __name__ == "__main__":
    main()
