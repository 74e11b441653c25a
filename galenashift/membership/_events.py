"""Fleet events distributed by gossip; each is applied once."""

from dataclasses import replace

from galenashift.model import FleetEvent

#: Age up to which an event is included in gossip messages, in seconds. Gossip
#: reaches a fleet of 340 daemons in a third of this time.
_MAX_SENT_AGE_S = 20.0
#: Time for which an event's id is kept for deduplication, in seconds. It is longer
#: than copies of the event circulate.
_ID_RETENTION_S = 120.0
_MAX_EVENTS = 4096


class EventTable:
    """Recent events by id, for deduplication and forwarding."""

    def __init__(self) -> None:
        self._events_by_id: dict[str, tuple[FleetEvent, float]] = {}

    def add(self, *, event: FleetEvent, as_of_s: float) -> bool:
        """Record an event.

        :param event: Event with its age.
        :param as_of_s: Boot-time clock, in seconds, from which the age counts back.
        :returns: Whether the event is new and has to be applied.
        """
        if event.event_id in self._events_by_id or event.age_s > _ID_RETENTION_S / 2:
            return False
        if len(self._events_by_id) >= _MAX_EVENTS:
            del self._events_by_id[next(iter(self._events_by_id))]
        self._events_by_id[event.event_id] = (event, as_of_s - event.age_s)
        return True

    def recent(self, *, now_s: float) -> list[FleetEvent]:
        """List the events to include in gossip messages, most recent first.

        :param now_s: Boot-time clock, in seconds.
        """
        recent = [
            (at_s, event)
            for event, at_s in self._events_by_id.values()
            if now_s - at_s <= _MAX_SENT_AGE_S
        ]
        recent.sort(key=lambda each: each[0], reverse=True)
        return [replace(event, age_s=max(0.0, now_s - at_s)) for at_s, event in recent]

    def remove_expired(self, *, now_s: float) -> None:
        """Remove events whose retention has ended.

        :param now_s: Boot-time clock, in seconds.
        """
        for event_id, (_, at_s) in list(self._events_by_id.items()):
            if now_s - at_s > _ID_RETENTION_S:
                del self._events_by_id[event_id]
