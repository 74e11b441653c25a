"""Runs daemons and stand-ins as processes, for the demo, tests and benchmarks."""

from ._actions import owner_of_key, send_in_background, send_once, wait_admitted
from ._callers import (
    StreamOutcome,
    call_until_admitted,
    expected_lookup,
    expected_tokens,
    stream_pipeline,
    stream_until_admitted,
)
from ._deployment import (
    DEFAULT_WAIT_S,
    FLEET_KEY,
    OPERATOR_TOKEN,
    DaemonHandle,
    Deployment,
    UpstreamSpec,
    call_pipeline,
    digest_of_key,
    url_of,
)
from ._example import load_example, upstream_specs
from ._forwarder import Forwarder, LinkState
from ._http import DEFAULT_TIMEOUT_S, EventStream, Reply, ServerEvent, open_events, send
from ._ports import PortAllocator
from ._process import END_TIMEOUT_S, READY_TIMEOUT_S, ManagedProcess
from ._small import (
    API_KEYS_BY_ORGANISATION,
    FAILURE_DOMAINS,
    REGION,
    SMALL_CONFIGURATION,
    SmallOptions,
    small_document,
    start_small,
)

__all__ = [
    "API_KEYS_BY_ORGANISATION",
    "DEFAULT_TIMEOUT_S",
    "DEFAULT_WAIT_S",
    "END_TIMEOUT_S",
    "FAILURE_DOMAINS",
    "FLEET_KEY",
    "OPERATOR_TOKEN",
    "READY_TIMEOUT_S",
    "REGION",
    "SMALL_CONFIGURATION",
    "DaemonHandle",
    "Deployment",
    "EventStream",
    "Forwarder",
    "LinkState",
    "ManagedProcess",
    "PortAllocator",
    "Reply",
    "ServerEvent",
    "SmallOptions",
    "StreamOutcome",
    "UpstreamSpec",
    "call_pipeline",
    "call_until_admitted",
    "digest_of_key",
    "expected_lookup",
    "expected_tokens",
    "load_example",
    "open_events",
    "owner_of_key",
    "send",
    "send_in_background",
    "send_once",
    "small_document",
    "start_small",
    "stream_pipeline",
    "stream_until_admitted",
    "upstream_specs",
    "url_of",
    "wait_admitted",
]
