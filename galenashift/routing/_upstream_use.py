"""Requests and tokens that the upstreams of a service hold."""

from dataclasses import dataclass
from math import exp, inf

from galenashift.model import UpstreamId

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.2


@dataclass(frozen=True, kw_only=True)
class HeldEstimate:
    """What an upstream is estimated to hold."""

    #: Requests, running and waiting, and their tokens.
    requests: float
    tokens: float
    #: The part of them that does not stem from the mean of all upstreams. Without new
    #: reports it becomes less, so a rule that it decides always ends.
    known_requests: float
    known_tokens: float
    #: Age of the last report, in seconds; None if there is none.
    age_s: float | None


@dataclass(kw_only=True)
class _Use:
    """What is known of one upstream."""

    #: Requests of this daemon that are not answered completely, and their tokens.
    requests: int = 0
    tokens: int = 0
    #: Requests of other daemons by the last report.
    others: float = 0.0
    #: Boot-time clock of the last report, in seconds.
    heard_at_s: float = -inf


class UpstreamUse:
    """Estimates what upstreams hold, by this daemon's requests and the last reports.

    The requests of this daemon are known at any time, those of others by reports. The
    number of requests at an upstream changes as they end, so the weight of a report
    falls to 1/e in the mean duration of a request. The mean of all reports gets the
    rest of the weight. Clocks are the boot-time clock, in seconds.
    """

    def __init__(self) -> None:
        self._use_by_id: dict[UpstreamId, _Use] = {}
        self._mean_others: float | None = None
        self._mean_tokens: float | None = None

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of a request; 0 before one that states them."""
        return self._mean_tokens or 0.0

    def begin(self, upstream_id: UpstreamId, *, tokens: int) -> None:
        """Count a request that is sent.

        :param tokens: Most tokens that it takes, or 0 if it does not state them.
        """
        use = self._use_by_id.setdefault(upstream_id, _Use())
        use.requests += 1
        use.tokens += tokens
        if tokens:
            self._mean_tokens = _average(self._mean_tokens, float(tokens))

    def end(self, upstream_id: UpstreamId, *, tokens: int) -> None:
        """Count the end of a request, with the tokens of its begin."""
        use = self._use_by_id.get(upstream_id)
        if use is not None:
            use.requests = max(0, use.requests - 1)
            use.tokens = max(0, use.tokens - tokens)

    def record_report(
        self, upstream_id: UpstreamId, *, requests: int, now_s: float
    ) -> None:
        """Record the number of requests that an upstream reports to hold."""
        use = self._use_by_id.setdefault(upstream_id, _Use())
        use.others = float(max(0, requests - use.requests))
        use.heard_at_s = now_s
        self._mean_others = _average(self._mean_others, use.others)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that is no longer registered."""
        self._use_by_id.pop(upstream_id, None)

    def estimate(
        self, upstream_id: UpstreamId, *, duration_s: float, now_s: float
    ) -> HeldEstimate:
        """Estimate what an upstream holds.

        :param duration_s: Mean duration of a request, in seconds.
        """
        use = self._use_by_id.get(upstream_id, _NO_USE)
        age_s = max(0.0, now_s - use.heard_at_s)
        weight = exp(-age_s / duration_s) if duration_s > 0 else 0.0
        known = weight * use.others
        expected = known + (1.0 - weight) * (self._mean_others or 0.0)
        return HeldEstimate(
            requests=use.requests + expected,
            tokens=use.tokens + expected * self.mean_tokens,
            known_requests=use.requests + known,
            known_tokens=use.tokens + known * self.mean_tokens,
            age_s=None if use.heard_at_s == -inf else age_s,
        )


_NO_USE = _Use()


def _average(mean: float | None, sample: float) -> float:
    return sample if mean is None else mean + _SAMPLE_WEIGHT * (sample - mean)
