"""Expected times of services, learned from answers."""

from dataclasses import dataclass

from galenashift.model import ServiceName

#: Time to the first byte of a service without answers yet, in seconds.
_UNKNOWN_FIRST_BYTE_S = 0.2
#: Weight of a new sample in the moving average.
_SAMPLE_WEIGHT = 0.1
#: Time after which a stated wait says nothing, in seconds.
_WAIT_LIFETIME_S = 1.5


@dataclass(frozen=True, kw_only=True)
class StageWait:
    """Expected wait of a new job at a stage service."""

    #: Wait of a job that can be on time, in seconds.
    on_time_s: float
    #: Wait of a job that is late already, in seconds.
    late_s: float


_NO_WAIT = StageWait(on_time_s=0.0, late_s=0.0)


class ServiceTimes:
    """Times to the first byte, and waits of stages, by service."""

    def __init__(self) -> None:
        self._first_byte_s: dict[ServiceName, float] = {}
        self._waits: dict[ServiceName, tuple[StageWait, float]] = {}

    def record(self, service: ServiceName, first_byte_s: float) -> None:
        """Add a sample of the time to the first byte."""
        average_s = self._first_byte_s.get(service, _UNKNOWN_FIRST_BYTE_S)
        average_s += _SAMPLE_WEIGHT * (first_byte_s - average_s)
        self._first_byte_s[service] = average_s

    def first_byte_s(self, service: ServiceName) -> float:
        """Return the expected time to the first byte in seconds."""
        return self._first_byte_s.get(service, _UNKNOWN_FIRST_BYTE_S)

    def record_wait(
        self, service: ServiceName, wait: StageWait, *, now_s: float
    ) -> None:
        """Record the wait that the gathering daemon states.

        :param now_s: Boot-time clock, in seconds.
        """
        self._waits[service] = (wait, now_s)

    def wait(self, service: ServiceName, *, now_s: float) -> StageWait:
        """Return the last stated wait, none once it is old.

        :param now_s: Boot-time clock, in seconds.
        """
        wait, at_s = self._waits.get(service, (_NO_WAIT, 0.0))
        return wait if now_s - at_s < _WAIT_LIFETIME_S else _NO_WAIT
