"""Finds what is wrong with a routing configuration, beyond malformed fields."""

from collections.abc import Callable, Iterator, Mapping, Sequence, Set
from typing import Any, TypeVar

from galenashift.model import Route, Service, ServiceName

from ._config_fields import (
    ConfigFinding,
    ConfigPath,
    FindingKind,
    find_malformed_fields,
)
from ._config_limits import (
    ConfigEntry,
    check_caller_limits,
    check_limits,
    check_stages,
)
from ._decoding import DECODING_ERRORS, without_nulls
from ._records import parse_route, parse_service
from ._settings import Bounds

#: First and last character of those that a request line allows in a path.
_FIRST_TARGET = "!"
_LAST_TARGET = "~"

#: Stands for a field that is absent, which is not the same as null here.
_NOT_MENTIONED = object()

_Record = TypeVar("_Record", Route, Service)


def check_config(
    data: object,
    *,
    bounds: Bounds | None = None,
    ready_services: Set[ServiceName] | None = None,
) -> list[ConfigFinding]:
    """Find all that is wrong with a decoded document.

    Rules on several fields are applied to the entries whose fields are well-formed.

    :param bounds: Bounds of the platform, if known.
    :param ready_services: Services with an upstream that accepts requests, if known.
    """
    findings = list(find_malformed_fields(data))
    if not isinstance(data, Mapping):
        return findings
    bad_entries = {each.path[:2] for each in findings}
    routes = _decode_routes(data, bad_entries, findings)
    services = _decode_services(data, bad_entries, findings)
    # A service that is malformed exists all the same.
    names = {
        name
        for each in _mappings(data, "services")
        if isinstance(name := each.get("name"), str)
    }
    findings += _hidden_routes(routes)
    for each in routes:
        findings += _check_matching(each)
        findings += _check_services(each, names, services)
        if ready_services is not None:
            findings += _check_upstreams(each, names, ready_services)
        findings += check_limits(each, bounds)
        findings += check_stages(each, services)
    findings += _check_organisations(data, bad_entries)
    if not any(path[:1] == ("limits",) for path in bad_entries):
        findings += check_caller_limits(without_nulls(data.get("limits") or {}))
    return findings


def _decode_routes(
    data: Mapping[str, Any],
    bad_entries: set[ConfigPath],
    findings: list[ConfigFinding],
) -> list[ConfigEntry]:
    """Return the routes that can be decoded; what is wrong is added to `findings`."""
    routes: list[ConfigEntry] = []
    for path, entry in _sound_entries(data, "routes", bad_entries):
        route = _decode(entry, path, parse_route, findings)
        if route is not None:
            routes.append(ConfigEntry(path=path, data=entry, route=route))
    return routes


def _decode_services(
    data: Mapping[str, Any],
    bad_entries: set[ConfigPath],
    findings: list[ConfigFinding],
) -> dict[ServiceName, Service]:
    """Return the services that can be decoded, by name; see `_decode_routes`."""
    services: dict[ServiceName, Service] = {}
    for path, entry in _sound_entries(data, "services", bad_entries):
        service = _decode(entry, path, parse_service, findings)
        if service is not None and service.name in services:
            findings.append(_duplicate(path, "name", "another service has this name"))
        elif service is not None:
            services[service.name] = service
    return services


def _sound_entries(
    data: Mapping[str, Any], name: str, bad_entries: set[ConfigPath]
) -> list[tuple[ConfigPath, Mapping[str, Any]]]:
    entries = data.get(name)
    return [
        ((name, index), each)
        for index, each in enumerate(entries if isinstance(entries, list) else ())
        if (name, index) not in bad_entries
    ]


def _mappings(data: Mapping[str, Any], name: str) -> Sequence[Mapping[str, Any]]:
    entries = data.get(name)
    return [
        each
        for each in (entries if isinstance(entries, list) else ())
        if isinstance(each, Mapping)
    ]


def _decode(
    data: Mapping[str, Any],
    path: ConfigPath,
    parse: Callable[[Mapping[str, Any]], _Record],
    findings: list[ConfigFinding],
) -> _Record | None:
    try:
        return parse(data)
    except DECODING_ERRORS as error:
        findings.append(
            ConfigFinding(path=path, kind=FindingKind.INVALID, detail=str(error))
        )
        return None


def _duplicate(path: ConfigPath, name: str | int, detail: str) -> ConfigFinding:
    return ConfigFinding(path=(*path, name), kind=FindingKind.DUPLICATE, detail=detail)


def _unreachable(path: ConfigPath, detail: str) -> ConfigFinding:
    return ConfigFinding(path=path, kind=FindingKind.UNREACHABLE, detail=detail)


def _hidden_routes(routes: Sequence[ConfigEntry]) -> Iterator[ConfigFinding]:
    """Find the routes that a later one with the same host and prefix replaces."""
    last = {(each.route.host, each.route.prefix): each for each in routes}
    for entry in routes:
        hiding = last[(entry.route.host, entry.route.prefix)]
        if hiding is not entry:
            detail = f"hidden by routes[{hiding.path[1]}] of the same host and prefix"
            yield _unreachable((*entry.path, "prefix"), detail)


def _check_matching(entry: ConfigEntry) -> Iterator[ConfigFinding]:
    prefix, host = entry.route.prefix, entry.route.host
    if not (prefix.startswith("/") and prefix.endswith("/")):
        detail = "matches nothing: a prefix begins and ends with a slash"
        yield _unreachable((*entry.path, "prefix"), detail)
    elif "?" in prefix:
        detail = "matches nothing: paths are compared without their query"
        yield _unreachable((*entry.path, "prefix"), detail)
    elif not all(_FIRST_TARGET <= each <= _LAST_TARGET for each in prefix):
        detail = "matches nothing: a path has only printable ASCII without spaces"
        yield _unreachable((*entry.path, "prefix"), detail)
    if ":" in host:
        detail = "matches nothing: hosts are compared without their port"
        yield _unreachable((*entry.path, "host"), detail)


def _check_services(
    entry: ConfigEntry,
    names: set[str],
    services: Mapping[ServiceName, Service],
) -> Iterator[ConfigFinding]:
    seen = set()
    for index, share in enumerate(entry.data.get("split") or ()):
        path = (*entry.path, "split", index)
        if share["service"] in seen:
            yield _duplicate(path, "service", "an earlier weight is replaced")
        elif share["weight"] == 0:
            yield _unreachable(
                (*path, "weight"), "the service gets no request of this route"
            )
        seen.add(share["service"])
        yield from _check_service((*path, "service"), share["service"], names)
    if not entry.data.get("split"):
        service = entry.data["service"]
        yield from _check_service((*entry.path, "service"), service, names)
    for index, stage in enumerate(entry.route.stages):
        path = (*entry.path, "stages", index, "service")
        yield from _check_service(path, stage.service, names)
        service = services.get(stage.service)
        if service is not None and service.pieces is None:
            detail = f"{stage.service} has no pieces, so it executes no stages"
            yield ConfigFinding(path=path, kind=FindingKind.INVALID, detail=detail)


def _check_upstreams(
    entry: ConfigEntry, names: set[str], ready_services: Set[ServiceName]
) -> Iterator[ConfigFinding]:
    """Find the services of a route that exist but have no upstream."""
    shares = entry.data.get("split") or ()
    used: list[tuple[ConfigPath, ServiceName]] = [
        (("split", index, "service"), ServiceName(share["service"]))
        for index, share in enumerate(shares)
        if share["weight"]
    ]
    if not shares:
        used = [(("service",), ServiceName(entry.data["service"]))]
    used += [
        (("stages", index, "service"), stage.service)
        for index, stage in enumerate(entry.route.stages)
    ]
    for path, name in used:
        if name in names and name not in ready_services:
            detail = f"{name} has no upstream that accepts requests"
            yield _unreachable((*entry.path, *path), detail)


def _check_service(
    path: ConfigPath, name: str, names: set[str]
) -> Iterator[ConfigFinding]:
    if name not in names:
        detail = f"there is no service {name}"
        yield ConfigFinding(path=path, kind=FindingKind.UNKNOWN, detail=detail)


def _check_organisations(
    data: Mapping[str, Any], bad_entries: set[ConfigPath]
) -> Iterator[ConfigFinding]:
    name_by_key: dict[str, str] = {}
    names: set[str] = set()
    for path, entry in _sound_entries(data, "tenants", bad_entries):
        name = entry["name"]
        if name in names:
            yield _duplicate(path, "name", "another organisation has this name")
        names.add(name)
        keys = entry.get("api_keys") or ()
        if not keys:
            yield _unreachable(path, f"no request belongs to {name}: it has no keys")
        for index, key in enumerate(keys):
            if not key:
                detail = "an empty key is never accepted"
                yield _unreachable((*path, "api_keys", index), detail)
                continue
            if key in name_by_key:
                detail = f"this is a key of {name_by_key[key]} as well"
                yield _duplicate((*path, "api_keys"), index, detail)
            name_by_key.setdefault(key, name)
    if data.get("tenants", _NOT_MENTIONED) in (None, []):
        detail = "no API key is accepted, so only routes without keys are served"
        yield _unreachable(("tenants",), detail)
