"""Expected times of services, learned from answers."""

from galenashift.model import ServiceName

#: Time to the first byte of a service without answers yet, in seconds.
_UNKNOWN_FIRST_BYTE_S = 0.2
#: Weight of a new sample in the moving average.
_SAMPLE_WEIGHT = 0.1


class ServiceTimes:
    """Moving average of the time to the first byte, by service."""

    def __init__(self) -> None:
        self._first_byte_s: dict[ServiceName, float] = {}

    def record(self, service: ServiceName, first_byte_s: float) -> None:
        """Add a sample."""
        average_s = self._first_byte_s.get(service, _UNKNOWN_FIRST_BYTE_S)
        average_s += _SAMPLE_WEIGHT * (first_byte_s - average_s)
        self._first_byte_s[service] = average_s

    def first_byte_s(self, service: ServiceName) -> float:
        """Return the expected time to the first byte in seconds."""
        return self._first_byte_s.get(service, _UNKNOWN_FIRST_BYTE_S)
