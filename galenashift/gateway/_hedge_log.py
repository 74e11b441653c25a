"""Log events and metrics of hedged requests."""

from enum import Enum

from galenashift.model import UpstreamId
from galenashift.retries import HedgeDelay, HeldBack, LateRequest
from galenashift.telemetry import EventLog, Metrics

from ._request import ActiveRequest


class HedgeResult(Enum):
    """How a hedge ended."""

    #: It answered the caller.
    WON = "won"
    #: The first upstream answered the caller.
    LOST = "lost"
    #: Neither upstream answered the request.
    BOTH_FAILED = "both-failed"
    #: The caller left, or the deadline passed.
    CANCELLED = "cancelled"


class HedgeLog:
    """Logs the decisions on late requests, and how the hedges ended."""

    def __init__(self, *, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics

    def decided(
        self,
        job: ActiveRequest,
        *,
        late: LateRequest,
        delay: HedgeDelay,
        cause: HeldBack | None,
        first: UpstreamId,
        saved: float,
    ) -> None:
        """Log whether a late request is sent to a second upstream.

        :param cause: Why it is not; None if it is.
        :param first: Upstream that is late.
        :param saved: Hedges that the operator's share allowed.
        """
        if cause is not None:
            self._metrics.count(
                "hedges_held_back_total", service=job.service, cause=cause.value
            )
        else:
            self._metrics.count("hedges_sent_total", service=job.service)
        capacity = late.capacity
        self._events.info(
            "hedge-decided",
            request_id=job.request_id,
            route=job.route.name,
            service=job.service,
            late=first,
            allowed=cause is None,
            cause=cause,
            delay_s=delay.delay_s,
            usual_s=delay.usual_s,
            samples=delay.samples,
            saved=saved,
            others=capacity.others,
            eligible=capacity.eligible,
            load=capacity.load_ratio,
            refused_ago_s=capacity.refused_ago_s,
            left_s=late.left_s,
        )

    def ended(
        self,
        job: ActiveRequest,
        result: HedgeResult,
        *,
        hedge: UpstreamId,
        elapsed_s: float,
    ) -> None:
        """Log how a hedge ended.

        :param hedge: Second upstream.
        :param elapsed_s: Time since the first send, in seconds.
        """
        self._metrics.count(
            "hedges_ended_total", service=job.service, result=result.value
        )
        self._events.info(
            "hedge-ended",
            request_id=job.request_id,
            upstream=hedge,
            result=result,
            elapsed_s=elapsed_s,
        )
