"""Collects the events that the daemons of the fleet recorded for one request."""

from collections.abc import Callable

import trio

from galenashift.model import (
    DaemonId,
    EventField,
    Failure,
    Fleet,
    JsonObject,
    PeerCalls,
    Reason,
    RequestEvent,
    RequestEvents,
    RequestId,
    not_run,
)
from galenashift.telemetry import EventLog


def recorded_events(*, log: EventLog, request_id: RequestId) -> RequestEvents:
    """Read the events of a request from the log index of this daemon.

    :param log: Log of this daemon.
    :param request_id: Identifier that the caller received.
    """
    return RequestEvents(
        events=tuple(
            RequestEvent(
                time_s=event.time_s,
                level=event.level,
                name=event.name,
                fields=tuple(
                    EventField(name=name, value=value)
                    for name, value in event.fields_by_name.items()
                ),
            )
            for event in log.events_of(request_id)
        )
    )


class Explainer:
    """Implements ``explain`` for a request that any daemon of the fleet served.

    :param fleet: Lists the daemons to query.
    :param peers: Client for calls to them.
    :param log: Log of this daemon.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        peers: PeerCalls,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._log = log
        self._clock = clock

    async def explain(self, request_id: RequestId, /) -> JsonObject | Failure:
        """Query all live daemons concurrently, and merge their events by time.

        :param request_id: Identifier that the caller received.
        """
        own_id = self._fleet.self_id
        own = recorded_events(log=self._log, request_id=request_id)
        answers_by_id: dict[DaemonId, RequestEvents | Failure] = {own_id: own}
        asked = self._fleet.alive(now_s=self._clock())

        async def query(daemon: DaemonId) -> None:
            answers_by_id[daemon] = await self._peers.fetch_events(
                daemon=daemon, request_id=request_id
            )

        async with trio.open_nursery() as nursery:
            for daemon in asked:
                if daemon != own_id:
                    nursery.start_soon(query, daemon)
        unanswered = sorted(
            daemon
            for daemon, answer in answers_by_id.items()
            if isinstance(answer, Failure)
        )
        events = [
            _event_to_json(daemon, event)
            for daemon, answer in sorted(answers_by_id.items())
            if isinstance(answer, RequestEvents)
            for event in answer.events
        ]
        if not events:
            return _unknown_request(request_id, asked=len(asked), unanswered=unanswered)
        return {
            "request_id": request_id,
            "asked": sorted(asked),
            "unanswered": unanswered,
            "events": sorted(events, key=lambda event: event["time_s"]),
        }


def _event_to_json(daemon: DaemonId, event: RequestEvent) -> JsonObject:
    return {
        "time_s": event.time_s,
        "level": event.level,
        "event": event.name,
        "daemon": daemon,
        **{field.name: field.value for field in event.fields},
    }


def _unknown_request(
    request_id: RequestId, *, asked: int, unanswered: list[DaemonId]
) -> Failure:
    if unanswered:
        hint = f"no answer came from {', '.join(unanswered)}; try again"
    else:
        hint = "daemons keep events of recent requests only; search the logs"
    return not_run(
        reason=Reason.UNKNOWN_REQUEST,
        detail=f"none of the {asked} queried daemons has events of request "
        f"{request_id}; {hint}",
    )
