"""Suspected crashes of upstreams that a probe did not confirm."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from galenashift.model import CrashSuspects, InstanceState, RegisteredUpstream

from ._view import PlatformView

#: Time after a broken connection within which another incarnation of the upstream
#: proves that it crashed, in seconds. Upstreams are back some seconds after a crash.
CONFIRMATION_WINDOW_S = 10.0
#: Suspicions that wait for a proof; the oldest is dropped.
_MAX_UNCONFIRMED = 256


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """A request that was in flight when its upstream closed the connection."""

    attempt_id: str
    upstream: RegisteredUpstream
    #: What in the request may have caused the crash.
    suspects: CrashSuspects
    #: Boot-time clock at which the connection ended, in seconds.
    at_s: float
    #: Set when its upstream has been probed, or the suspicion was dropped.
    examined: trio.Event = field(default_factory=trio.Event, compare=False)


class _State(Enum):
    """What the registrations tell about the upstream of a suspicion."""

    UNKNOWN = "unknown"
    #: Another process has taken its place.
    ENDED = "ended"
    #: It is shutting down, so it may close connections without a crash.
    LEAVING = "leaving"


class UnconfirmedCrashes:
    """Suspicions against upstreams whose address did not refuse a connection.

    The upstream may run on, or have crashed while a new process listens at its address
    or the network hides it. Registrations prove the latter.
    """

    def __init__(self) -> None:
        self._suspicions: deque[Suspicion] = deque(maxlen=_MAX_UNCONFIRMED)

    def add(self, suspicion: Suspicion) -> None:
        """Keep a suspicion until it is proved or too old."""
        self._suspicions.append(suspicion)

    def take_confirmed(self, view: PlatformView, *, now_s: float) -> list[Suspicion]:
        """Remove and return the suspicions that registrations prove.

        :param now_s: Boot-time clock, in seconds.
        """
        if not self._suspicions:
            return []
        confirmed = self._remove(lambda each: _state(view, each) is _State.ENDED)
        self._remove(
            lambda each: (
                now_s - each.at_s > CONFIRMATION_WINDOW_S
                or _state(view, each) is _State.LEAVING
            )
        )
        return confirmed

    def _remove(self, matches: Callable[[Suspicion], bool]) -> list[Suspicion]:
        removed = [each for each in self._suspicions if matches(each)]
        for each in removed:
            self._suspicions.remove(each)
        return removed


def _state(view: PlatformView, suspicion: Suspicion) -> _State:
    upstream = suspicion.upstream
    known = view.find(upstream.upstream_id)
    if known is not None:
        if known.registration.started_at_ms != upstream.started_at_ms:
            return _State.ENDED
        leaving = known.registration.state is InstanceState.DRAINING
        return _State.LEAVING if leaving else _State.UNKNOWN
    successor = view.find_by_address(f"{upstream.host}:{upstream.port}")
    return _State.UNKNOWN if successor is None else _State.ENDED
