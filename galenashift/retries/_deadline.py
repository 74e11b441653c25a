"""Divides the time until a deadline among the remaining stages."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from galenashift.model import Failure, PipelineName, Reason, StageName, not_run

if TYPE_CHECKING:
    from galenashift.config import StageConfig

#: Range of the histograms, in microseconds; other durations are clamped to it.
_MIN_DURATION_US = 100
_MAX_DURATION_US = 3_600_000_000
#: Precision of the histograms. Two digits keep a histogram near 20 KB.
_SIGNIFICANT_DIGITS = 2
#: Length of an observation window, in seconds; a duration is dropped after one to
#: two windows. Without that, refusals after a slow period would never end, since a
#: refused stage yields no new observation.
_WINDOW_S = 60.0
#: Observations that are needed to replace the configured expected duration.
_MIN_OBSERVATIONS = 20
#: Seconds between computations of the percentiles, each of which scans the histogram.
_REFRESH_INTERVAL_S = 1.0
_US_PER_S = 1e6


@dataclass(frozen=True, kw_only=True)
class StageShare:
    """Time allocated to one stage."""

    #: Seconds for the stage, including its retries.
    stage_s: float
    #: Seconds for one attempt.
    attempt_s: float
    #: Boot-time clock, in seconds, after which the remaining stages cannot finish in
    #: time.
    start_before_s: float


class _Durations:
    """Durations of one stage in the current and the previous window."""

    def __init__(self, now_s: float) -> None:
        self._current = HdrHistogram(
            _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
        )
        self._previous: HdrHistogram | None = None
        self._window_start_s = now_s
        self._refresh_at_s: float | None = None
        self._percentiles: tuple[float, float] | None = None

    def record(self, duration_s: float, now_s: float) -> None:
        self._rotate_windows(now_s)
        value = int(duration_s * _US_PER_S)
        self._current.record_value(min(max(value, _MIN_DURATION_US), _MAX_DURATION_US))
        if self._refresh_at_s is None:
            self._refresh_at_s = now_s + (
                _REFRESH_INTERVAL_S if self._percentiles else 0.0
            )

    def percentiles(self, now_s: float) -> tuple[float, float] | None:
        self._rotate_windows(now_s)
        if self._refresh_at_s is not None and now_s >= self._refresh_at_s:
            self._refresh()
        return self._percentiles

    def _rotate_windows(self, now_s: float) -> None:
        windows = (now_s - self._window_start_s) // _WINDOW_S
        if windows < 1:
            return
        self._previous = self._current if windows < 2 else None
        self._current = HdrHistogram(
            _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
        )
        self._window_start_s = now_s
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
        """Record the duration of a successful stage.

        :param pipeline: Pipeline of the stage.
        :param stage: The stage.
        :param duration_s: Seconds from dispatch to the complete answer.
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
        :returns: Median and p95 in seconds; the configured expected duration
            for both until enough calls have been observed.
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
    """Compute the time that the first of the remaining stages may take.

    The stage gets the remaining time minus the p95 of the later stages, but at least
    its share in proportion to p95. A proportional share alone is too short for a short
    stage before a long one: with a deadline of 6 s, a stage of 20 ms before one of 4 s
    timed out after 40 ms, and its retries doubled the load. Work is refused only if
    the sum of the medians does not fit; a check against p95 would refuse requests
    that mostly succeed.

    :param expected_s: Median and p95 of the remaining stages, in seconds.
    :param idempotent: Whether the first stage may be retried. An attempt then leaves
        time for a second one, unless it needs the whole share itself.
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
    first_p95_s = expected_s[0][1]
    total_p95_s = sum(p95 for _, p95 in expected_s)
    proportional_s = (
        remaining_s * first_p95_s / total_p95_s if total_p95_s > 0 else remaining_s
    )
    stage_s = max(proportional_s, remaining_s - (total_p95_s - first_p95_s))
    attempt_s = (
        min(stage_s, max(stage_s / 2, 2 * first_p95_s)) if idempotent else remaining_s
    )
    return StageShare(
        stage_s=stage_s,
        attempt_s=attempt_s,
        start_before_s=deadline_s - needed_s,
    )
