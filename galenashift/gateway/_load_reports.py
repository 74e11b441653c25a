"""Records the load that upstreams report in the heads of their answers."""

from collections.abc import Callable

from galenashift.model import AnswerFields, RegisteredUpstream
from galenashift.telemetry import Metrics

from ._health import HealthTracker
from ._request_spread import RequestSpread


class LoadReports:
    """Receives the fields of each answer when its head arrives.

    A load without the slowness is recorded at the end of its exchange instead, see
    `OutcomeRecorder`.

    :param spread: Receives all loads, if requests are spread by them.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        health: HealthTracker,
        spread: RequestSpread | None,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._health = health
        self._spread = spread
        self._metrics = metrics
        self._clock = clock

    def record_answer(self, upstream: RegisteredUpstream, fields: AnswerFields) -> None:
        """Record the load of an answer; an unreadable one is only counted."""
        if fields.unreadable_load is not None:
            self._metrics.count(
                "unreadable_load_reports_total", service=upstream.service
            )
        if fields.load is None:
            return
        now_s = self._clock()
        if self._spread is not None:
            self._spread.record_load(upstream, fields.load, now_s=now_s)
        if fields.load.slowness is not None:
            self._health.record_load(upstream.upstream_id, fields.load, now_s=now_s)
