"""Calls to upstreams over HTTP, and the state of each upstream."""

from ._client import UpstreamClient
from ._directory import REPORT_LIFETIME_S, Directory
from ._engine_control import EngineControl
from ._events import FleetEventEmitter
from ._exchange import CallObserver
from ._lines import LineReader, ProtocolViolation
from ._poller import FetchList, Poller
from ._transport import Transport

__all__ = [
    "REPORT_LIFETIME_S",
    "CallObserver",
    "Directory",
    "EngineControl",
    "FetchList",
    "FleetEventEmitter",
    "LineReader",
    "Poller",
    "ProtocolViolation",
    "Transport",
    "UpstreamClient",
]
