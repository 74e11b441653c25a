"""What upstreams state in their answers on the requests that they accept."""

from collections.abc import Callable
from enum import Enum

from galenashift.limits import (
    LimitChange,
    LimitStatus,
    StatedAvailability,
    UpstreamRates,
)
from galenashift.model import (
    AnswerFields,
    Pause,
    RateLimit,
    RegisteredUpstream,
    RequestId,
    UnreadableValue,
    UpstreamId,
)
from galenashift.telemetry import EventLog, Metrics


class _Cause(Enum):
    """Why an upstream accepts no request now."""

    DRAINING = "draining"
    PAUSE = "pause"
    RATE_LIMIT = "rate-limit"


class UpstreamLimiter:
    """Keeps this daemon's requests within what upstreams state.

    They state rate limits and pauses, and that they are shutting down.

    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        rates: UpstreamRates,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._rates = rates
        self._availability = StatedAvailability()
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._unreadable_by_id: dict[UpstreamId, dict[str, str]] = {}
        #: Called with the upstream after it has stated a change.
        self.on_change: Callable[[RegisteredUpstream], None] = lambda upstream: None
        #: Called with the fields of each answer when its head arrives.
        self.on_answer: Callable[[RegisteredUpstream, AnswerFields], None] = (
            lambda upstream, fields: None
        )

    def record_answer(
        self,
        upstream: RegisteredUpstream,
        fields: AnswerFields,
        *,
        sent_at_s: float,
        ends_limit: bool = True,
    ) -> None:
        """Note what an answer states; an unreadable limit leaves the last one in force.

        :param sent_at_s: Boot-time clock at which the request was sent, in seconds.
        :param ends_limit: Whether an answer that states no limit ends one.
        """
        now_s = self._clock()
        self.on_answer(upstream, fields)
        self._record_draining(upstream, fields)
        self._record_pause(upstream, fields, now_s=now_s)
        change: LimitChange | None = None
        match fields.stated_limit:
            case RateLimit(per_s=per_s):
                change = self._rates.record_limit(upstream, per_s, now_s=now_s)
            case UnreadableValue(text=text):
                self._log_unreadable(upstream, "upstream-limit-unreadable", text)
            case None if ends_limit:
                change = self._rates.record_no_limit(
                    upstream, sent_at_s=sent_at_s, now_s=now_s
                )
        if change is not None:
            self._log_change(upstream, change, now_s=now_s)
            self.on_change(upstream)

    def record_report(self, upstream: RegisteredUpstream, per_s: float | None) -> None:
        """Note what another daemon reports on the limit of an upstream.

        :param per_s: Requests per second; None if the limit has ended.
        """
        now_s = self._clock()
        change = self._rates.record_report(upstream, per_s, now_s=now_s)
        if change is not None:
            self._log_change(upstream, change, now_s=now_s)

    def wait_s(self, upstream: RegisteredUpstream, *, now_s: float) -> float:
        """Return the time until a request may be sent, in seconds.

        :param now_s: Boot-time clock, in seconds.
        :returns: 0 for now, and infinity for an upstream that is shutting down.
        """
        return max(
            self._availability.wait_s(upstream, now_s=now_s),
            self._rates.wait_s(upstream, now_s=now_s),
        )

    def is_draining(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether an upstream has said that it is shutting down."""
        return self._availability.is_draining(upstream)

    def wants_none(self, upstream: RegisteredUpstream, *, now_s: float) -> bool:
        """Tell whether an upstream wants no requests at all, for now or for good.

        :param now_s: Boot-time clock, in seconds.
        """
        return self._availability.wait_s(upstream, now_s=now_s) > 0

    def status(
        self, upstream: RegisteredUpstream, *, now_s: float
    ) -> LimitStatus | None:
        """Return the limit of an upstream, or None if it states none.

        :param now_s: Boot-time clock, in seconds.
        """
        return self._rates.status(upstream, now_s=now_s)

    def take(
        self, upstream: RegisteredUpstream, *, request_id: RequestId | None
    ) -> bool:
        """Take the permit for a request that is about to be sent, or refuse it.

        :param request_id: The request in the log; None for calls of stages.
        """
        now_s = self._clock()
        wants_none = self.wants_none(upstream, now_s=now_s)
        if not wants_none and self._rates.take(upstream, now_s=now_s):
            return True
        cause = self._cause(upstream, now_s=now_s)
        status = self._rates.status(upstream, now_s=now_s)
        self._metrics.count(
            "limited_sends_total", service=upstream.service, cause=cause.value
        )
        self._events.info(
            "upstream-limited",
            request_id=request_id,
            upstream=upstream.upstream_id,
            limit_per_s=None if status is None else status.per_s,
            share_per_s=None if status is None else status.share_per_s,
            age_s=None if status is None else status.age_s,
            cause=cause.value,
            wait_s=self.wait_s(upstream, now_s=now_s),
        )
        return False

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that is no longer registered."""
        self._rates.forget(upstream_id)
        self._availability.forget(upstream_id)
        self._unreadable_by_id.pop(upstream_id, None)

    def _cause(self, upstream: RegisteredUpstream, *, now_s: float) -> _Cause:
        if self.is_draining(upstream):
            return _Cause.DRAINING
        if self.wants_none(upstream, now_s=now_s):
            return _Cause.PAUSE
        return _Cause.RATE_LIMIT

    def _log_change(
        self, upstream: RegisteredUpstream, change: LimitChange, *, now_s: float
    ) -> None:
        status = self._rates.status(upstream, now_s=now_s)
        self._events.info(
            "upstream-limit-changed",
            upstream=upstream.upstream_id,
            limit_per_s=change.per_s,
            share_per_s=None if status is None else status.share_per_s,
            previous_per_s=change.previous_per_s,
            previous_age_s=change.previous_age_s,
        )

    def _record_draining(
        self, upstream: RegisteredUpstream, fields: AnswerFields
    ) -> None:
        match fields.draining:
            case UnreadableValue(text=text):
                self._log_unreadable(upstream, "upstream-draining-unreadable", text)
            case True if self._availability.record_draining(upstream):
                self._events.info("upstream-draining", upstream=upstream.upstream_id)

    def _record_pause(
        self, upstream: RegisteredUpstream, fields: AnswerFields, *, now_s: float
    ) -> None:
        match fields.stated_pause:
            case UnreadableValue(text=text):
                self._log_unreadable(upstream, "upstream-pause-unreadable", text)
            case Pause(duration_s=duration_s):
                previous_s = self._availability.wait_s(upstream, now_s=now_s)
                if self._availability.record_pause(upstream, duration_s, now_s=now_s):
                    self._events.info(
                        "upstream-paused",
                        upstream=upstream.upstream_id,
                        pause_s=duration_s,
                        previous_wait_s=previous_s,
                    )

    def _log_unreadable(
        self, upstream: RegisteredUpstream, event: str, text: str
    ) -> None:
        logged = self._unreadable_by_id.setdefault(upstream.upstream_id, {})
        if logged.get(event) == text:
            return
        logged[event] = text
        self._events.warning(event, upstream=upstream.upstream_id, value=text)
