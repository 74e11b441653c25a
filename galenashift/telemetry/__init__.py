"""Event log and metrics."""

from ._events import (
    MAX_EVENTS_PER_REQUEST,
    MAX_INDEXED_EVENTS,
    MAX_INDEXED_REQUESTS,
    Event,
    EventLog,
)
from ._metrics import MAX_HISTOGRAM_LABEL_SETS, MAX_LABEL_SETS, Metrics

__all__ = [
    "MAX_EVENTS_PER_REQUEST",
    "MAX_HISTOGRAM_LABEL_SETS",
    "MAX_INDEXED_EVENTS",
    "MAX_INDEXED_REQUESTS",
    "MAX_LABEL_SETS",
    "Event",
    "EventLog",
    "Metrics",
]
