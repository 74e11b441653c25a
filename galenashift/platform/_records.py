"""Records in the platform's store: configuration and registrations."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from graphlib import CycleError, TopologicalSorter
from typing import Any

from galenashift.model import (
    CallerLimits,
    ConfigVersion,
    DaemonId,
    FailureDomainName,
    InstanceState,
    PieceLimits,
    RegisteredUpstream,
    RequestKind,
    Route,
    RouteName,
    RoutingConfig,
    Service,
    ServiceName,
    StageSpec,
    UpstreamId,
    VersionName,
)

from ._decoding import (
    DECODING_ERRORS,
    decode_json,
    to_flag,
    to_integer,
    to_number,
    to_seconds,
    to_text,
    without_nulls,
)
from ._organisation_records import parse_organisations, parse_rank
from ._settings import Address, decode_address

CONFIG_KEY = "op/config"
OPERATOR_PREFIX = "op/"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
DAEMON_PREFIX = "daemons/"

KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
BYTES_PER_MEGABYTE = 1_000_000
_DEFAULT_RANK = 5
#: Largest weight of a service in a route.
MAX_WEIGHT = 1e9
#: Largest rate of requests, in requests per second.
MAX_RATE_PER_S = 1e6
#: Largest memory for results, in megabytes.
MAX_MEGABYTES = 1e9
#: Most pieces of one call.
MAX_BATCH = 100_000
#: Shortest call of a stage upstream, in milliseconds; durations are divided by it.
MIN_CALL_MS = 0.001
#: Largest result of a piece, in bytes; it is sent to peers as a 32-bit number.
MAX_RESULT_BYTES = 2**31 - 1
#: Most slots or connections of an upstream.
MAX_SLOTS = 1_000_000
#: Most tokens for which an upstream has memory.
MAX_TOKENS = 1e12
#: Most seconds of a duration that a record gives in seconds.
MAX_DURATION_S = 86_400.0
#: Largest capacity of a daemon, in cores.
_MAX_CAPACITY = 10_000.0


class RecordError(ValueError):
    """A record in the store cannot be decoded."""


@dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """The peer address of a daemon, and its capacity for work of other daemons."""

    address: Address
    #: Capacity for work of other daemons, relative to a standard instance.
    capacity: float
    #: Failure domain of the daemon; None if it is not registered.
    failure_domain: FailureDomainName | None = None


def decode_config(value: bytes) -> RoutingConfig:
    """Decode a version of the routing configuration.

    :raises RecordError: If the record is malformed.
    """
    try:
        return _parse_config(decode_json(value))
    except DECODING_ERRORS as error:
        raise RecordError(f"configuration is malformed: {error!r:.300}") from error


def _parse_config(data: Mapping[str, Any]) -> RoutingConfig:
    routes_by_host: dict[str, dict[str, Route]] = {}
    for entry in data["routes"]:
        route = parse_route(entry)
        routes_by_host.setdefault(route.host, {})[route.prefix] = route
    services = (parse_service(entry) for entry in data["services"])
    return RoutingConfig(
        version=ConfigVersion(to_integer(data["version"])),
        routes_by_host=routes_by_host,
        services_by_name={service.name: service for service in services},
        organisations_by_key=parse_organisations(data),
        limits=_parse_limits(without_nulls(data.get("limits") or {})),
    )


def parse_route(data: Mapping[str, Any]) -> Route:
    """Decode one route of a configuration.

    :raises ValueError: If it is malformed, as are other `DECODING_ERRORS`.
    """
    data = without_nulls(data)
    split = data.get("split") or [{"service": data.get("service"), "weight": 1}]
    stages = tuple(_parse_stage(each) for each in data.get("stages", ()))
    _check_order(stages)
    return Route(
        name=RouteName(to_text(data.get("name", ""))),
        host=to_text(data["host"]).lower(),
        prefix=to_text(data["prefix"]),
        kind=KIND_BY_NAME[data["kind"]],
        timeout_s=to_seconds(data["timeout_ms"], minimum_ms=1),
        latency_goal_s=to_seconds(data.get("goal_ms") or data["timeout_ms"]),
        rank=parse_rank(data.get("priority", _DEFAULT_RANK)),
        weight_by_service=_parse_weights(split),
        max_attempts=to_integer(data.get("max_attempts", 1)),
        stages=stages,
        public=to_flag(data.get("no_auth", False)),
        prefix_cached=to_flag(data.get("sticky", False)),
        resumable=to_flag(data.get("resumable", False)),
        event_gap_goal_s=to_seconds(data.get("gap_target_ms", 0)),
    )


def _parse_weights(split: Iterable[Mapping[str, Any]]) -> dict[ServiceName, float]:
    weight_by_service = {
        ServiceName(to_text(each["service"])): to_number(
            each["weight"], maximum=MAX_WEIGHT
        )
        for each in split
    }
    if not any(weight_by_service.values()):
        raise ValueError("a route needs a service with a weight above 0")
    return weight_by_service


def _parse_stage(data: Mapping[str, Any]) -> StageSpec:
    data = without_nulls(data)
    return StageSpec(
        service=ServiceName(to_text(data["service"])),
        after=tuple(to_integer(each) for each in data.get("after", ())),
        # The platform names the size of one result "bytes".
        result_bytes=to_integer(data.get("bytes", 0), maximum=MAX_RESULT_BYTES),
    )


def _check_order(stages: Sequence[StageSpec]) -> None:
    """Check that each stage can run after the stages whose results it reads.

    :raises ValueError: If a stage does not exist or depends on itself.
    """
    missing = {each for stage in stages for each in stage.after} - set(
        range(len(stages))
    )
    if missing:
        raise ValueError(f"stages {sorted(missing)} do not exist")
    try:
        TopologicalSorter(
            {index: stage.after for index, stage in enumerate(stages)}
        ).prepare()
    except CycleError as error:
        *cycle, _ = error.args[1]
        raise ValueError(f"stages {sorted(cycle)} depend on each other") from error


def parse_service(data: Mapping[str, Any]) -> Service:
    """Decode one service of a configuration.

    :raises ValueError: If it is malformed, as are other `DECODING_ERRORS`.
    """
    data = without_nulls(data)
    engine = without_nulls(data.get("engine") or {})
    pieces = data.get("pieces")
    return Service(
        name=ServiceName(to_text(data["name"])),
        cold_s=to_number(data.get("cold_s", 0), maximum=MAX_DURATION_S),
        cold_rate_per_s=to_number(data.get("cold_per_s", 0), maximum=MAX_RATE_PER_S),
        max_connections=to_integer(data.get("max_conns", 0), maximum=MAX_SLOTS),
        pieces=None if pieces is None else _parse_pieces(pieces),
        slots=(
            to_integer(engine["slots"], maximum=MAX_SLOTS)
            if "slots" in engine
            else None
        ),
        # The memory for the state of requests is given in tokens; 0 if it is unknown.
        token_memory=to_number(engine.get("kv_tokens", 0), maximum=MAX_TOKENS) or None,
        version=_parse_version(data),
    )


def _parse_pieces(data: Mapping[str, Any]) -> PieceLimits:
    return PieceLimits(
        batch=to_integer(data["batch"], minimum=1, maximum=MAX_BATCH),
        call_overhead_s=to_seconds(data["call_ms"], minimum_ms=MIN_CALL_MS),
        piece_duration_s=to_seconds(data["item_ms"]),
        # Despite its name, "headroom_mb" is the memory for results, not a reserve.
        result_bytes=to_number(data["headroom_mb"], maximum=MAX_MEGABYTES)
        * BYTES_PER_MEGABYTE,
        # The lifetime of a result, which the platform calls a handle.
        result_lifetime_s=to_number(data["handle_s"], maximum=MAX_DURATION_S),
    )


def _parse_limits(data: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=to_integer(
            data.get("max_header_bytes", default.max_header_bytes)
        ),
        max_body_bytes=to_integer(data.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=_optional_ms_as_s(
            data, "header_timeout_ms", default.header_timeout_s
        ),
        idle_timeout_s=_optional_ms_as_s(
            data, "idle_timeout_ms", default.idle_timeout_s
        ),
    )


def _optional_ms_as_s(data: Mapping[str, Any], name: str, default: float) -> float:
    return to_seconds(data[name]) if name in data else default


def decode_upstream(*, key: str, value: bytes) -> RegisteredUpstream:
    """Decode the registration of an upstream.

    :param key: Key of the record; it ends with the id of the upstream.
    :raises RecordError: If a field is missing or has an invalid value.
    """
    try:
        upstream_id = UpstreamId(to_text(key.removeprefix(UPSTREAM_PREFIX)))
        if not upstream_id:
            raise ValueError("the upstream has no id")
        return _parse_upstream(upstream_id, decode_json(value))
    except DECODING_ERRORS as error:
        raise RecordError(f"registration {key} is malformed: {error!r:.300}") from error


def _parse_upstream(
    upstream_id: UpstreamId, data: Mapping[str, Any]
) -> RegisteredUpstream:
    address = decode_address(to_text(data["address"]))
    started_at_ms = data.get("born")
    return RegisteredUpstream(
        upstream_id=upstream_id,
        service=ServiceName(to_text(data["service"])),
        host=address.host,
        port=address.port,
        failure_domain=FailureDomainName(to_text(data["zone"])),
        state=InstanceState(to_text(data["state"])),
        slots=to_integer(data["slots"], maximum=MAX_SLOTS),
        cold_left_s=to_seconds(data["cold_left_ms"]),
        started_at_ms=None if started_at_ms is None else to_integer(started_at_ms),
        version=_parse_version(data),
    )


def _parse_version(data: Mapping[str, Any]) -> VersionName | None:
    """Return the version, or None if there is no readable one.

    Without rollouts it decides nothing, so that an odd one must not fail the record.
    """
    try:
        return VersionName(to_text(data.get("version")))
    except ValueError:
        return None


def decode_evacuated(key: str) -> FailureDomainName:
    """Return the failure domain that the key of an evacuation takes out of service."""
    return FailureDomainName(key.removeprefix(EVACUATION_PREFIX))


def daemon_key(daemon_id: DaemonId) -> str:
    """Return the key under which a daemon is registered."""
    return DAEMON_PREFIX + daemon_id


def encode_daemon(peer: PeerAddress) -> bytes:
    """Encode the registration of a daemon."""
    address = f"{peer.address.host}:{peer.address.port}"
    record: dict[str, object] = {"peers": address, "capacity": peer.capacity}
    if peer.failure_domain is not None:
        record["zone"] = peer.failure_domain
    return json.dumps(record).encode()


def decode_daemon(*, key: str, value: bytes) -> tuple[DaemonId, PeerAddress]:
    """Decode the registration of a daemon.

    :raises RecordError: If the record is malformed.
    """
    try:
        daemon_id = DaemonId(to_text(key.removeprefix(DAEMON_PREFIX)))
        data = decode_json(value)
        domain = data.get("zone")
        peer = PeerAddress(
            address=decode_address(to_text(data["peers"])),
            capacity=to_number(data["capacity"], maximum=_MAX_CAPACITY),
            failure_domain=None
            if domain is None
            else FailureDomainName(to_text(domain)),
        )
    except DECODING_ERRORS as error:
        raise RecordError(f"registration {key} is malformed: {error!r:.300}") from error
    return daemon_id, peer
