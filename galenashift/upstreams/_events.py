"""Creates fleet events from the observations of this daemon."""

from collections.abc import Callable

from galenashift.model import (
    DaemonId,
    EventKind,
    FleetEvent,
    Incarnation,
    Upstream,
)


class FleetEventEmitter:
    """Creates events with unique ids and passes them to a callback.

    :param daemon_id: Id of this daemon.
    :param incarnation: Incarnation of this daemon.
    :param on_event: Called with each event, to gossip it.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        incarnation: Incarnation,
        on_event: Callable[[FleetEvent], None],
    ) -> None:
        self._prefix = f"{daemon_id}.{incarnation}.u"
        self._count = 0
        self._on_event = on_event

    def emit(
        self, *, kind: EventKind, upstream: Upstream, incarnation: Incarnation
    ) -> None:
        """Emit an event for an observation that was made just now."""
        self._count += 1
        self._on_event(
            FleetEvent(
                event_id=f"{self._prefix}{self._count}",
                kind=kind,
                upstream_id=upstream.upstream_id,
                incarnation=incarnation,
                failure_domain=upstream.failure_domain,
                fingerprints=(),
                age_s=0.0,
            )
        )
