"""Splits the rest of a deadline over the stages that remain."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from galenashift.model import Failure, PipelineName, Reason, StageName, not_run

if TYPE_CHECKING:
    from galenashift.config import StageConfig

#: Shortest and longest recorded duration, in microseconds.
_MIN_US = 100
_MAX_US = 3_600_000_000
#: Two significant digits keep a histogram near 20 KB.
_DIGITS = 2
#: Seconds after which observations start to be forgotten. Forgetting also ends the
#: refusals after a slow period, in which nothing new would be observed.
_WINDOW_S = 60.0
#: Observations before they replace the configured expectation.
_MIN_OBSERVATIONS = 20
#: Seconds between two computations of the percentiles, which walk the histogram.
_REFRESH_S = 1.0
_US_PER_S = 1e6


@dataclass(frozen=True, kw_only=True)
class StageShare:
    """Time that one stage may take."""

    #: Seconds for the stage, its retries included.
    stage_s: float
    #: Seconds for one attempt.
    attempt_s: float
    #: Boot-time clock, in seconds, from which starting the stage is useless.
    start_before_s: float


class _Durations:
    """Observed durations of one stage, over one to two windows."""

    def __init__(self, now_s: float) -> None:
        self._current = HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
        self._previous: HdrHistogram | None = None
        self._started_at_s = now_s
        self._refresh_at_s: float | None = None
        self._percentiles: tuple[float, float] | None = None

    def record(self, duration_s: float, now_s: float) -> None:
        self._rotate(now_s)
        value = int(duration_s * _US_PER_S)
        self._current.record_value(min(max(value, _MIN_US), _MAX_US))
        if self._refresh_at_s is None:
            self._refresh_at_s = now_s + (_REFRESH_S if self._percentiles else 0.0)

    def percentiles(self, now_s: float) -> tuple[float, float] | None:
        self._rotate(now_s)
        if self._refresh_at_s is not None and now_s >= self._refresh_at_s:
            self._refresh()
        return self._percentiles

    def _rotate(self, now_s: float) -> None:
        windows = (now_s - self._started_at_s) // _WINDOW_S
        if windows < 1:
            return
        self._previous = self._current if windows < 2 else None
        self._current = HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
        self._started_at_s = now_s
        self._refresh()

    def _refresh(self) -> None:
        histogram = self._current
        if histogram.get_total_count() < _MIN_OBSERVATIONS and self._previous:
            histogram = self._previous
        self._refresh_at_s = None
        self._percentiles = None
        if histogram.get_total_count() >= _MIN_OBSERVATIONS:
            median, p95 = (
                histogram.get_value_at_percentile(each) / _US_PER_S for each in (50, 95)
            )
            self._percentiles = (median, p95)


class StageTimes:
    """Observed durations of all stages."""

    def __init__(self) -> None:
        self._durations_by_stage: dict[tuple[PipelineName, StageName], _Durations] = {}

    def record(
        self,
        *,
        pipeline: PipelineName,
        stage: StageName,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Record one successful stage.

        :param pipeline: Pipeline of the stage.
        :param stage: The stage.
        :param duration_s: Seconds from dispatch to the whole answer.
        :param now_s: Boot-time clock, in seconds.
        """
        key = (pipeline, stage)
        durations = self._durations_by_stage.get(key)
        if durations is None:
            durations = self._durations_by_stage[key] = _Durations(now_s)
        durations.record(duration_s, now_s)

    def expected_s(
        self, *, pipeline: PipelineName, stage: "StageConfig", now_s: float
    ) -> tuple[float, float]:
        """Estimate the duration of a stage.

        :param pipeline: Pipeline of the stage.
        :param stage: The stage.
        :param now_s: Boot-time clock, in seconds.
        :returns: Median and p95 in seconds; the configured expectation for both
            until enough calls were observed.
        """
        durations = self._durations_by_stage.get((pipeline, stage.name))
        observed = durations.percentiles(now_s) if durations is not None else None
        return observed or (stage.expected, stage.expected)


def share_deadline(
    expected_s: Sequence[tuple[float, float]],
    *,
    idempotent: bool,
    deadline_s: float,
    now_s: float,
) -> StageShare | Failure:
    """Compute the share of the first of the remaining stages.

    The stage gets all that the p95 of the later stages leave, and at least its part
    in proportion to p95. In proportion alone, a stage of 20 ms before one of 4 s was
    cut off after 40 ms of a deadline of 6 s, and the retries doubled the load. Work
    is refused only when even the medians do not fit, since refusing by p95 would turn
    away requests that mostly succeed.

    :param expected_s: Median and p95 of the remaining stages, in seconds.
    :param idempotent: Whether the first of them may be repeated. One attempt then
        leaves time for another, unless it needs all of the share.
    :param deadline_s: Boot-time clock, in seconds.
    :param now_s: Boot-time clock, in seconds.
    """
    remaining_s = deadline_s - now_s
    needed_s = sum(median for median, _ in expected_s)
    if remaining_s < needed_s or remaining_s <= 0:
        passed = remaining_s <= 0
        return not_run(
            reason=Reason.DEADLINE_PASSED if passed else Reason.DEADLINE_UNREACHABLE,
            detail=f"{max(remaining_s, 0):.3f}s remain until the deadline; "
            f"the remaining stages need {needed_s:.3f}s",
        )
    p95_s = expected_s[0][1]
    total_s = sum(p95 for _, p95 in expected_s)
    part_s = remaining_s * p95_s / total_s if total_s > 0 else remaining_s
    stage_s = max(part_s, remaining_s - (total_s - p95_s))
    attempt_s = min(stage_s, max(stage_s / 2, 2 * p95_s)) if idempotent else remaining_s
    return StageShare(
        stage_s=stage_s,
        attempt_s=attempt_s,
        start_before_s=deadline_s - needed_s,
    )
