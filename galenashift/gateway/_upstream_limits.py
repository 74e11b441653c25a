"""Rate limits that upstreams state in their answers."""

from dataclasses import dataclass

from galenashift.model import (
    AnswerFields,
    RateLimit,
    RegisteredUpstream,
    UnreadableRateLimit,
    UpstreamId,
)
from galenashift.telemetry import EventLog


@dataclass(frozen=True, kw_only=True)
class _Belief:
    per_s: float
    #: Boot-time clock at which the upstream first stated it, in seconds.
    since_s: float


class UpstreamLimiter:
    """Notes the limits that upstreams state, and logs each change."""

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._belief_by_id: dict[UpstreamId, _Belief] = {}

    def record_answer(
        self, upstream: RegisteredUpstream, fields: AnswerFields, *, now_s: float
    ) -> None:
        """Note what an answer states about the rate of requests.

        :param now_s: Boot-time clock, in seconds.
        """
        upstream_id = upstream.upstream_id
        before = self._belief_by_id.get(upstream_id)
        match fields.stated_limit:
            case RateLimit(per_s=per_s):
                if before is None or before.per_s != per_s:
                    self._belief_by_id[upstream_id] = _Belief(
                        per_s=per_s, since_s=now_s
                    )
                    self._log_change(upstream_id, before, per_s, now_s)
            case UnreadableRateLimit(text=text):
                self._events.warning(
                    "upstream-limit-unreadable", upstream=upstream_id, value=text
                )
            case None:
                if before is not None:
                    del self._belief_by_id[upstream_id]
                    self._log_change(upstream_id, before, None, now_s)

    def _log_change(
        self,
        upstream_id: UpstreamId,
        before: _Belief | None,
        per_s: float | None,
        now_s: float,
    ) -> None:
        self._events.info(
            "upstream-limit-changed",
            upstream=upstream_id,
            limit_per_s=per_s,
            previous_per_s=None if before is None else before.per_s,
            previous_age_s=None if before is None else now_s - before.since_s,
        )
