"""HTML report of one seed: faults, attempts and latencies."""

import html
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from ._callers import Attempt, AttemptResult
from ._faults import FaultRecord

_WIDTH = 1_000
_ROW_HEIGHT = 14
_COLOUR_BY_RESULT = {
    AttemptResult.ANSWERED: "#3a3",
    AttemptResult.FAILED: "#c33",
    AttemptResult.REFUSED: "#e90",
    AttemptResult.BROKEN: "#718",
}
_MAX_DURATION_MS = 60_000


@dataclass(frozen=True, kw_only=True)
class SeedOutcome:
    """Attempts, faults and violated guarantees of one seed."""

    seed: int
    seconds: float
    attempts: Sequence[Attempt]
    faults: Sequence[FaultRecord]
    violations: Sequence[str]
    #: What else a reader of the outcome needs, such as the ends of rollouts.
    notes: Sequence[str] = ()

    @property
    def counts(self) -> Counter[str]:
        """Number of attempts by result."""
        return Counter(attempt.ended.value for attempt in self.attempts)


def write_report(outcome: SeedOutcome, path: Path) -> None:
    """Write the report as one HTML file.

    :param path: File to write.
    """
    rows = [
        f"<h1>Soak, seed {outcome.seed}</h1>",
        f"<p>{outcome.seconds:.0f} s, {dict(outcome.counts)}</p>",
        "<h2>Violated guarantees</h2>",
        "<pre>" + html.escape("\n".join(outcome.violations) or "none") + "</pre>",
        "<h2>Latency of answers by route, in ms</h2>",
        "<pre>" + _histograms(outcome.attempts) + "</pre>",
        "<h2>Timeline: faults above, attempts below</h2>",
        _timeline(outcome),
    ]
    path.write_text("<!doctype html><meta charset=utf-8>" + "".join(rows), "utf-8")


def _histograms(attempts: Sequence[Attempt]) -> str:
    lines = []
    for route in sorted({attempt.route for attempt in attempts}):
        histogram = HdrHistogram(1, _MAX_DURATION_MS, 2)
        for attempt in attempts:
            if attempt.route == route and attempt.ended is AttemptResult.ANSWERED:
                duration_s = attempt.ended_at_s - attempt.sent_at_s
                histogram.record_value(max(1, int(duration_s * 1000)))
        quantiles = (50, 90, 99, 100)
        values = [histogram.get_value_at_percentile(each) for each in quantiles]
        pairs = zip(quantiles, values, strict=True)
        text = " ".join(f"p{quantile}={value}" for quantile, value in pairs)
        lines.append(f"{route:8} n={histogram.get_total_count()} {text}")
    return "\n".join(lines)


def _timeline(outcome: SeedOutcome) -> str:
    scale = _WIDTH / max(1.0, outcome.seconds)
    shapes = []
    for row, fault in enumerate(outcome.faults):
        x, width = fault.from_s * scale, max(2, (fault.to_s - fault.from_s) * scale)
        y = row * _ROW_HEIGHT
        label = html.escape(f"{fault.name} {fault.target}")
        shapes.append(
            f'<rect x="{x:.0f}" y="{y}" width="{width:.0f}" height="{_ROW_HEIGHT - 3}" '
            f'fill="#fcc"/><text x="{x:.0f}" y="{y + 10}" font-size="10">{label}</text>'
        )
    attempts_y = len(outcome.faults) * _ROW_HEIGHT + 10
    for attempt in outcome.attempts:
        x = attempt.sent_at_s * scale
        height = min(60.0, 5 + 10 * (attempt.ended_at_s - attempt.sent_at_s))
        colour = _COLOUR_BY_RESULT[attempt.ended]
        shapes.append(
            f'<rect x="{x:.1f}" y="{attempts_y}" width="1" height="{height:.0f}" '
            f'fill="{colour}"/>'
        )
    size = f'width="{_WIDTH}" height="{attempts_y + 70}"'
    return f"<svg {size}>{''.join(shapes)}</svg>"
