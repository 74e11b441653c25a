"""Health probes on new connections, and the detection of crashes."""

import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

import trio

from galenashift.model import ExchangeId, Incarnation, Upstream, UpstreamState

from ._transport import NETWORK_ERRORS, ConnectionRefused, Transport

#: Timeout of a probe, in seconds.
PROBE_TIMEOUT_S = 1.0

_UNKNOWN_INCARNATION = Incarnation(0)

#: Seconds before a probe is repeated after a network error other than a refused
#: connection. An exiting process may reset connections before it closes its listener.
_RETRY_DELAY_S = 0.02

_MAX_HEALTH_BYTES = 4096


class Reachability(Enum):
    """Reaction of an upstream to a probe."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class ExchangeState(Enum):
    """State of an exchange according to its upstream."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Probe:
    """Result of a probe."""

    reachability: Reachability
    #: Incarnation in the answer, 0 if there is none.
    incarnation: Incarnation = _UNKNOWN_INCARNATION
    #: State in the answer, None if there is none.
    state: UpstreamState | None = None
    #: State of the exchange that the probe named.
    exchange: ExchangeState = ExchangeState.UNKNOWN
    #: Number of tokens that the upstream has produced for the exchange, including
    #: forced tokens; None if it is not a stream.
    next_index: int | None = None


def is_crash(*, probe: Probe, known_incarnation: Incarnation) -> bool:
    """Return whether an upstream crashed during a call whose connection failed.

    :param probe: Probe that was sent after the failure.
    :param known_incarnation: Incarnation before the call, 0 if unknown.
    """
    if probe.reachability is Reachability.REFUSED:
        return True
    return (
        probe.reachability is Reachability.ANSWERED
        and known_incarnation != 0
        and probe.incarnation != known_incarnation
    )


def is_silent(*, probe: Probe, expected_index: int | None) -> bool:
    """Return whether a connection without progress is silent, and not just slow.

    The connection is slow if the upstream still executes the call and has produced
    no further token. It counts as silent if the upstream has finished the exchange
    or does not know it.

    :param probe: An answered probe.
    :param expected_index: Index of the next expected token, None for a call.
    """
    if probe.exchange is not ExchangeState.RUNNING:
        return True
    if expected_index is None or probe.next_index is None:
        return False
    return probe.next_index > expected_index


def parse_state(text: str) -> UpstreamState | None:
    """Parse the state in a header or load report; None for any other text."""
    match text:
        case "cold":
            return UpstreamState.COLD
        case "warm":
            return UpstreamState.WARM
        case "leaving":
            return UpstreamState.LEAVING
    return None


def parse_health(data: bytes) -> Probe:
    """Parse the answer of the health endpoint; unknown members are ignored."""
    try:
        value = json.loads(data)
        exchange = value.get("exchange") or {}
        next_index = exchange.get("next_index")
        return Probe(
            reachability=Reachability.ANSWERED,
            incarnation=Incarnation(int(value.get("incarnation", 0))),
            state=parse_state(str(value.get("state", ""))),
            exchange=ExchangeState(exchange.get("state", "unknown")),
            next_index=None if next_index is None else int(next_index),
        )
    except (ValueError, AttributeError, TypeError):
        return Probe(reachability=Reachability.ANSWERED)


async def probe_health(
    *,
    transport: Transport,
    upstream: Upstream,
    exchange_id: ExchangeId | None = None,
    timeout_s: float = PROBE_TIMEOUT_S,
) -> Probe:
    """Call the health endpoint of an upstream on a new connection.

    :param exchange_id: Exchange whose state to ask for.
    :param timeout_s: Timeout of all attempts together, in seconds.
    """
    path = "/v1/health"
    if exchange_id is not None:
        path += f"?exchange={quote(exchange_id)}"
    with trio.move_on_after(timeout_s):
        while True:
            try:
                response = await transport.request(
                    upstream=upstream,
                    method="GET",
                    path=path,
                    headers={"connection": "close"},
                    body=None,
                    timeout_s=timeout_s,
                    transmission=None,
                    new_connection=True,
                )
                try:
                    data = await transport.read_all(
                        response, limit_bytes=_MAX_HEALTH_BYTES
                    )
                finally:
                    await transport.close_response(response)
                return parse_health(data or b"")
            except ConnectionRefused:
                return Probe(reachability=Reachability.REFUSED)
            except NETWORK_ERRORS:
                await trio.sleep(_RETRY_DELAY_S)
    return Probe(reachability=Reachability.UNANSWERED)
