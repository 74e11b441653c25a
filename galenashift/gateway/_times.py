"""Expected latencies of services, and deadlines of the events of streams."""

from dataclasses import dataclass

from galenashift.model import ServiceName

#: Assumed time to the first byte before the first answer of a service, in seconds.
_DEFAULT_FIRST_BYTE_S = 0.2
#: Weight of a new sample in the exponential moving average.
_SAMPLE_WEIGHT = 0.1
#: Age at which a reported wait expires, in seconds.
_MAX_WAIT_AGE_S = 1.5


@dataclass(frozen=True, kw_only=True)
class StageWait:
    """Expected queueing time of a new job at a stage service."""

    #: Wait of a job that can be on time, in seconds.
    on_time_s: float
    #: Wait of a job that is already late, in seconds.
    late_s: float


_NO_WAIT = StageWait(on_time_s=0.0, late_s=0.0)


class ServiceLatencies:
    """Times to the first byte and queueing times at stages, by service."""

    def __init__(self) -> None:
        self._first_byte_s: dict[ServiceName, float] = {}
        self._waits: dict[ServiceName, tuple[StageWait, float]] = {}

    def record(self, service: ServiceName, first_byte_s: float) -> None:
        """Add a sample of the time to the first byte."""
        average_s = self._first_byte_s.get(service, _DEFAULT_FIRST_BYTE_S)
        average_s += _SAMPLE_WEIGHT * (first_byte_s - average_s)
        self._first_byte_s[service] = average_s

    def first_byte_s(self, service: ServiceName) -> float:
        """Return the expected time to the first byte in seconds."""
        return self._first_byte_s.get(service, _DEFAULT_FIRST_BYTE_S)

    def record_wait(
        self, service: ServiceName, wait: StageWait, *, now_s: float
    ) -> None:
        """Record the wait that the batching daemon reports.

        :param now_s: Boot-time clock, in seconds.
        """
        self._waits[service] = (wait, now_s)

    def wait(self, service: ServiceName, *, now_s: float) -> StageWait:
        """Return the last reported wait, or a wait of zero if it has expired.

        :param now_s: Boot-time clock, in seconds.
        """
        wait, at_s = self._waits.get(service, (_NO_WAIT, 0.0))
        return wait if now_s - at_s < _MAX_WAIT_AGE_S else _NO_WAIT


def next_event_deadline_s(
    *, deadline_s: float, event_ended: bool, event_gap_s: float, now_s: float
) -> float:
    """Return when a stream times out, after some of its data has been handled.

    Only a complete event counts as progress, so a stream that sends single bytes of an
    event times out like one that sends nothing.

    :param deadline_s: Current deadline, in seconds.
    :param event_ended: Whether the data completed an event.
    :param event_gap_s: Longest time between the ends of two events, in seconds.
    :param now_s: Time at which the data was forwarded, on the same clock.
    """
    return now_s + event_gap_s if event_ended else deadline_s
