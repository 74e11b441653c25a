"""Updates health records and latency estimates after exchanges."""

from galenashift.model import ServiceName, UpstreamId

from ._health import HealthTracker
from ._outcomes import Answered, NotSent, Outcome, Refused, StreamEnded
from ._request_inputs import reports_lost_input
from ._stream import StreamWriter
from ._times import ServiceLatencies

_SERVER_ERROR = 500
#: Ejection of an upstream whose address another upstream now uses, in seconds.
_MISDIRECTED_EJECTION_S = 1.0


class OutcomeRecorder:
    """Records the outcomes of exchanges."""

    def __init__(self, *, health: HealthTracker, latencies: ServiceLatencies) -> None:
        self._health = health
        self._latencies = latencies

    def record(
        self,
        service: ServiceName,
        upstream_id: UpstreamId,
        outcome: Outcome,
        writer: StreamWriter,
        *,
        now_s: float,
    ) -> bool:
        """Record the outcome of one exchange.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether the upstream is ejected.
        """
        self._record_fields(upstream_id, outcome, now_s)
        match outcome:
            case Answered(head=head) if head.status < _SERVER_ERROR:
                self._record_answer(
                    service, upstream_id, now_s - writer.sent_at_s, now_s
                )
                return False
            case StreamEnded(complete=True):
                self._record_answer(service, upstream_id, writer.first_byte_s, now_s)
                return False
            case NotSent(limited=True):
                return False
            case Refused() if reports_lost_input(outcome):
                # The upstream that stored the input, or its lifetime, is at fault.
                return False
            case Refused(misdirected=True):
                self._health.eject(upstream_id, until_s=now_s + _MISDIRECTED_EJECTION_S)
                return True
            case _:
                return self._health.record_failure(upstream_id, now_s=now_s)

    def _record_fields(
        self, upstream_id: UpstreamId, outcome: Outcome, now_s: float
    ) -> None:
        match outcome:
            case Answered(fields=fields) | Refused(fields=fields):
                # A load with the slowness is recorded when the head arrives.
                if fields.load is not None and fields.load.slowness is None:
                    self._health.record_load(upstream_id, fields.load, now_s=now_s)
                if fields.cold_left_s:
                    record = self._health.record_of(upstream_id)
                    record.cold_until_s = now_s + fields.cold_left_s
            case _:
                pass

    def _record_answer(
        self,
        service: ServiceName,
        upstream_id: UpstreamId,
        latency_s: float,
        now_s: float,
    ) -> None:
        self._health.record_answer(upstream_id, latency_s=latency_s, now_s=now_s)
        self._latencies.record(service, latency_s)
