"""Records events of the daemon in the log and the metrics."""

from collections import OrderedDict
from collections.abc import Callable

from galenashift.model import FleetEvent, Reason, RequestId
from galenashift.telemetry import EventLog, Metrics

#: Time after its last refusal for which an organisation is reported as being at its
#: limit, in seconds.
_AT_LIMIT_RETENTION_S = 10.0
_MAX_LIMITED_ORGANISATIONS = 1000
_WARNING_EVENTS = frozenset({"error", "refusal"})


class EventRecorder:
    """Writes log lines for events, and updates the request metrics.

    :param events: Log of this daemon.
    :param metrics: Metrics of this daemon.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self, *, events: EventLog, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._limited_at_s: OrderedDict[str, float] = OrderedDict()

    def record_executor_event(self, name: str, **fields: object) -> None:
        """Record an event of the pipeline executor.

        :param name: Event name, words joined by underscores.
        :param fields: Event fields; ``request`` is the identifier of the request.
        """
        request = fields.pop("request", None)
        request_id = RequestId(str(request)) if request is not None else None
        write = self._events.warning if name in _WARNING_EVENTS else self._events.info
        write(name.replace("_", "-"), request_id=request_id, **fields)
        self._metrics.count("events", event=name)
        if name == "request_end":
            self._count_request(fields)

    def record_fleet_event(self, event: FleetEvent) -> None:
        """Record a fleet event.

        :param event: Event of this daemon or of a peer.
        """
        self._events.info(
            "fleet-event",
            kind=event.kind,
            upstream=event.upstream_id,
            failure_domain=event.failure_domain,
            event_id=event.event_id,
            age_s=event.age_s,
        )

    def organisations_at_limit(self) -> tuple[str, ...]:
        """List the organisations that were recently refused at a configured limit."""
        cutoff_s = self._clock() - _AT_LIMIT_RETENTION_S
        return tuple(
            name
            for name, limited_at_s in self._limited_at_s.items()
            if limited_at_s >= cutoff_s
        )

    def _count_request(self, fields: dict[str, object]) -> None:
        pipeline, outcome = fields.get("pipeline"), fields.get("outcome")
        self._metrics.count("requests", pipeline=pipeline, outcome=outcome)
        duration_s = fields.get("duration_s")
        if isinstance(duration_s, float):
            self._metrics.observe("request_seconds", duration_s, pipeline=pipeline)
        if outcome == Reason.LIMIT_REACHED.value:
            organisation = str(fields.get("organisation"))
            self._limited_at_s[organisation] = self._clock()
            self._limited_at_s.move_to_end(organisation)
            while len(self._limited_at_s) > _MAX_LIMITED_ORGANISATIONS:
                self._limited_at_s.popitem(last=False)
