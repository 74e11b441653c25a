"""Counts the answers of both versions during a rollout."""

from collections.abc import Callable
from dataclasses import replace

from galenashift.rollouts import EvidenceKey, LocalRollout, Measure, Side
from galenashift.telemetry import Metrics

from ._upstream_registry import KnownUpstream


class RolloutAnswers:
    """Adds answers to the evidence of a rollout.

    :param is_cold: Tells whether an upstream is in its cold start; its latencies are
        not compared.
    :param on_failure: Called after each failure of a new version.
    """

    def __init__(
        self,
        *,
        is_cold: Callable[[KnownUpstream], bool],
        on_failure: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._is_cold = is_cold
        self._on_failure = on_failure
        self._metrics = metrics

    def record(
        self,
        local: LocalRollout,
        key: EvidenceKey,
        upstream: KnownUpstream,
        *,
        failed: bool,
        latency_s: float,
        total_s: float | None = None,
    ) -> None:
        """Count an answer, and its latencies unless it failed or was a cold one.

        :param latency_s: In seconds, or as a multiple of the expected duration.
        :param total_s: Time to the end of a stream, in seconds; None for other answers.
        """
        compared = not failed and not self._is_cold(upstream)
        local.record_answer(
            key, failed=failed, latency_s=latency_s if compared else None
        )
        if compared and total_s is not None:
            total = replace(key, measure=Measure.TOTAL)
            local.evidence.record_latency(total, total_s)
        self._metrics.count(
            "rollout_answers_total",
            service=local.order.service,
            version=key.side.value,
            failed=failed,
        )
        if failed and key.side is Side.NEW:
            self._on_failure()


def is_new(local: LocalRollout, upstream: KnownUpstream) -> bool:
    """Tell whether an upstream has the version of the order."""
    return local.side_of(upstream.registration.version) is Side.NEW
