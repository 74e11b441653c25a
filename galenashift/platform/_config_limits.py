"""Finds limits of a routing configuration that contradict each other."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from graphlib import TopologicalSorter
from typing import Any

from galenashift.model import (
    PieceLimits,
    RequestKind,
    Route,
    Service,
    ServiceName,
    StageSpec,
)

from ._config_fields import ConfigFinding, ConfigPath, FindingKind
from ._records import BYTES_PER_MEGABYTE
from ._settings import Bounds

#: Size of the smallest request head that callers send, in bytes: a request line with a
#: short path, the host, a key and a deadline.
_MIN_HEAD_BYTES = 128
#: Entries of `limits` that allow no request if they are 0.
_TIMEOUTS = ("header_timeout_ms", "idle_timeout_ms")


@dataclass(frozen=True, kw_only=True)
class ConfigEntry:
    """A route as it was decoded, with its place in the document."""

    path: ConfigPath
    data: Mapping[str, Any]
    route: Route


def _contradiction(path: ConfigPath, detail: str) -> ConfigFinding:
    return ConfigFinding(path=path, kind=FindingKind.CONTRADICTION, detail=detail)


def check_limits(entry: ConfigEntry, bounds: Bounds | None) -> Iterator[ConfigFinding]:
    """Find limits of a route that contradict each other or the platform's bounds."""
    route = entry.route
    if route.latency_goal_s > route.timeout_s:
        yield _contradiction(
            (*entry.path, "goal_ms"),
            f"the goal of {route.latency_goal_s:g} s is over the timeout of"
            f" {route.timeout_s:g} s",
        )
    if route.event_gap_goal_s > route.timeout_s:
        yield _contradiction(
            (*entry.path, "gap_target_ms"),
            f"the gap of {route.event_gap_goal_s:g} s is over the timeout of"
            f" {route.timeout_s:g} s",
        )
    if route.max_attempts < 1:
        yield _contradiction(
            (*entry.path, "max_attempts"), "a request is sent once at least"
        )
    elif bounds is not None:
        yield from _check_attempts(entry, bounds)
    if route.resumable and route.kind is not RequestKind.STREAM:
        detail = f"has no effect on {route.kind.value} requests"
        yield _contradiction((*entry.path, "resumable"), detail)


def _check_attempts(entry: ConfigEntry, bounds: Bounds) -> Iterator[ConfigFinding]:
    retries = entry.route.max_attempts - 1
    allowed = int(bounds.retry_ratio + bounds.retry_extra)
    if retries > allowed:
        yield _contradiction(
            (*entry.path, "max_attempts"),
            f"the retry budget allows {allowed} retries for one request in"
            f" {bounds.retry_window_s:g} s, and {retries} are asked for",
        )


def check_stages(
    entry: ConfigEntry, services: Mapping[ServiceName, Service]
) -> Iterator[ConfigFinding]:
    """Find stages whose results or durations contradict the limits of services."""
    yield from _check_stage_time(entry, services)
    for index, stage in enumerate(entry.route.stages):
        service = services.get(stage.service)
        if service is None or service.pieces is None:
            continue
        path = (*entry.path, "stages", index)
        yield from _check_result_size(path, stage, service.name, service.pieces)
        makers = [services.get(entry.route.stages[i].service) for i in stage.after]
        yield from _check_result_lifetimes(path, makers, service.pieces)


def _check_result_size(
    path: ConfigPath, stage: StageSpec, name: ServiceName, pieces: PieceLimits
) -> Iterator[ConfigFinding]:
    """Compare the results of a stage with the memory of an upstream."""
    memory = f"{pieces.result_bytes / BYTES_PER_MEGABYTE:g} MB of {name}"
    if stage.result_bytes > pieces.result_bytes:
        detail = f"a result of {stage.result_bytes} bytes is over the {memory}"
        yield _contradiction((*path, "bytes"), detail)
    elif stage.result_bytes * pieces.batch > pieces.result_bytes:
        yield _contradiction(
            (*path, "bytes"),
            f"the results of a full call of {pieces.batch} pieces are over the"
            f" {memory}",
        )


def _check_result_lifetimes(
    path: ConfigPath, makers: Iterable[Service | None], pieces: PieceLimits
) -> Iterator[ConfigFinding]:
    """Compare a call of a stage with the time for which its inputs are kept."""
    for maker in makers:
        if maker is None or maker.pieces is None:
            continue
        lifetime_s = maker.pieces.result_lifetime_s
        if lifetime_s < pieces.min_call_s:
            yield _contradiction(
                (*path, "after"),
                f"results of {maker.name} are kept for {lifetime_s:g} s, and a call"
                f" here takes {pieces.min_call_s:g} s",
            )


def _check_stage_time(
    entry: ConfigEntry, services: Mapping[ServiceName, Service]
) -> Iterator[ConfigFinding]:
    """Compare the timeout and the goal with one call of each stage."""
    least_s, route = _least_duration_s(entry.route, services), entry.route
    calls = f"one call of each stage takes {least_s:g} s"
    if least_s > route.timeout_s:
        detail = f"{calls}, over the timeout of {route.timeout_s:g} s"
        yield _contradiction((*entry.path, "timeout_ms"), detail)
    elif least_s > route.latency_goal_s:
        detail = f"{calls}, over the goal of {route.latency_goal_s:g} s"
        yield _contradiction((*entry.path, "goal_ms"), detail)


def _least_duration_s(route: Route, services: Mapping[ServiceName, Service]) -> float:
    """Return the duration of one call of each stage, in seconds."""
    stages = route.stages
    end_s_by_stage: dict[int, float] = {}
    order = TopologicalSorter({i: each.after for i, each in enumerate(stages)})
    for index in order.static_order():
        service = services.get(stages[index].service)
        pieces = None if service is None else service.pieces
        start_s = max((end_s_by_stage[i] for i in stages[index].after), default=0.0)
        end_s_by_stage[index] = start_s + (pieces.min_call_s if pieces else 0.0)
    return max(end_s_by_stage.values(), default=0.0)


def check_caller_limits(limits: Mapping[str, Any]) -> Iterator[ConfigFinding]:
    """Find limits with which no request of a caller is served."""
    header_bytes = limits.get("max_header_bytes", _MIN_HEAD_BYTES)
    if header_bytes < _MIN_HEAD_BYTES:
        yield _contradiction(
            ("limits", "max_header_bytes"),
            f"no request has a head of {header_bytes} bytes or less",
        )
    if limits.get("max_body_bytes") == 0:
        yield _contradiction(("limits", "max_body_bytes"), "no request may have a body")
    for name in _TIMEOUTS:
        if limits.get(name) == 0:
            yield _contradiction(("limits", name), "no request can be read in no time")
