"""Phases of a graceful shutdown."""

from dataclasses import dataclass, replace
from enum import Enum

#: Seconds for which the listeners stay open after the signal, because a load balancer
#: needs time to notice that readiness fails.
LISTEN_AFTER_SIGNAL_S = 5.0


class DrainPhase(Enum):
    """How a daemon handles requests."""

    #: Normal service.
    SERVING = "serving"
    #: Readiness fails; new requests are still served.
    ANNOUNCED = "announced"
    #: Listeners are closed; requests in flight continue.
    FINISHING = "finishing"
    #: No request is in flight, or the time limit has passed.
    ENDED = "ended"


@dataclass(frozen=True, kw_only=True)
class Drain:
    """State of a graceful shutdown."""

    #: Time limit from the signal to the end of the shutdown, in seconds.
    limit_s: float
    #: Boot-time clock at the first signal, in seconds; None before it.
    signalled_at_s: float | None = None

    def signalled(self, *, now_s: float) -> "Drain":
        """Start the shutdown; further signals have no effect.

        :param now_s: Boot-time clock, in seconds.
        """
        if self.signalled_at_s is not None:
            return self
        return replace(self, signalled_at_s=now_s)

    def phase(self, *, now_s: float, in_flight: int) -> DrainPhase:
        """Return the current phase.

        :param now_s: Boot-time clock, in seconds.
        :param in_flight: Number of requests whose answers are not complete.
        """
        if self.signalled_at_s is None:
            return DrainPhase.SERVING
        age_s = now_s - self.signalled_at_s
        if age_s < LISTEN_AFTER_SIGNAL_S:
            return DrainPhase.ANNOUNCED
        if in_flight and age_s < self.limit_s:
            return DrainPhase.FINISHING
        return DrainPhase.ENDED
