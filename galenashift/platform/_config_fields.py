"""Finds all malformed fields of a routing configuration.

`decode_config` stops at the first one, as a daemon only needs to know that it rejects
the record. Operators want to see them all.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial

from ._decoding import (
    DECODING_ERRORS,
    to_flag,
    to_integer,
    to_list,
    to_number,
    to_seconds,
    to_text,
)
from ._organisation_records import parse_rank
from ._records import (
    KIND_BY_NAME,
    MAX_BATCH,
    MAX_DURATION_S,
    MAX_MEGABYTES,
    MAX_RATE_PER_S,
    MAX_RESULT_BYTES,
    MAX_SLOTS,
    MAX_TOKENS,
    MAX_WEIGHT,
    MIN_CALL_MS,
)

#: Keys and list positions from the root of a configuration to a value.
ConfigPath = tuple[str | int, ...]


class FindingKind(Enum):
    """What is wrong with a part of a configuration."""

    #: A required field is missing.
    MISSING = "missing"
    #: A value that no daemon accepts, or that it takes for another one.
    INVALID = "invalid"
    #: A name or key that occurs more than once.
    DUPLICATE = "duplicate"
    #: A name that no entry has.
    UNKNOWN = "unknown"
    #: An entry that no request can match.
    UNREACHABLE = "unreachable"
    #: Limits that contradict each other.
    CONTRADICTION = "contradiction"


@dataclass(frozen=True, kw_only=True)
class ConfigFinding:
    """One thing that is wrong with a configuration."""

    path: ConfigPath
    kind: FindingKind
    #: What is wrong, in one line.
    detail: str


@dataclass(frozen=True, kw_only=True)
class _Field:
    """How the value of a field is checked."""

    #: Raises one of `DECODING_ERRORS` for an invalid value.
    check: Callable[[object], object]
    is_required: bool = False
    #: Whether 0 and empty values stand for the default.
    may_be_empty: bool = False
    #: Whether an error must not show the value.
    is_secret: bool = False


def _to_choice(value: object) -> object:
    if value not in KIND_BY_NAME:
        raise ValueError(f"{value!r:.50} is not one of {', '.join(KIND_BY_NAME)}")
    return value


def _to_mapping(value: object) -> object:
    if not isinstance(value, Mapping):
        raise ValueError("is not a mapping")
    return value


_SWITCH = _Field(check=to_flag)
_NAME = _Field(check=to_text, is_required=True)

_ROOT = {
    "version": _Field(check=to_integer, is_required=True),
    "routes": _Field(check=to_list, is_required=True),
    "services": _Field(check=to_list, is_required=True),
    "tenants": _Field(check=to_list),
    "limits": _Field(check=_to_mapping, may_be_empty=True),
}
_ROUTE = {
    "name": _Field(check=to_text),
    "host": _NAME,
    "prefix": _NAME,
    "kind": _Field(check=_to_choice, is_required=True),
    "timeout_ms": _Field(check=partial(to_seconds, minimum_ms=1), is_required=True),
    "goal_ms": _Field(check=to_seconds, may_be_empty=True),
    "gap_target_ms": _Field(check=to_seconds, may_be_empty=True),
    "priority": _Field(check=parse_rank),
    "max_attempts": _Field(check=to_integer),
    "split": _Field(check=to_list, may_be_empty=True),
    "stages": _Field(check=to_list, may_be_empty=True),
    "no_auth": _SWITCH,
    "sticky": _SWITCH,
    "resumable": _SWITCH,
}
_SHARE = {
    "service": _NAME,
    "weight": _Field(check=partial(to_number, maximum=MAX_WEIGHT), is_required=True),
}
_STAGE = {
    "service": _NAME,
    "after": _Field(check=to_list, may_be_empty=True),
    "bytes": _Field(check=partial(to_integer, maximum=MAX_RESULT_BYTES)),
}
_SERVICE = {
    "name": _NAME,
    "cold_s": _Field(check=partial(to_number, maximum=MAX_DURATION_S)),
    "cold_per_s": _Field(check=partial(to_number, maximum=MAX_RATE_PER_S)),
    "max_conns": _Field(check=partial(to_integer, maximum=MAX_SLOTS)),
    "engine": _Field(check=_to_mapping, may_be_empty=True),
    "pieces": _Field(check=_to_mapping),
    # Daemons take a service with an unreadable version for one without a version.
    "version": _Field(check=to_text),
}
_ENGINE = {
    "slots": _Field(check=partial(to_integer, maximum=MAX_SLOTS)),
    "kv_tokens": _Field(
        check=partial(to_number, maximum=MAX_TOKENS), may_be_empty=True
    ),
}
_PIECES = {
    "batch": _Field(
        check=partial(to_integer, minimum=1, maximum=MAX_BATCH), is_required=True
    ),
    "call_ms": _Field(
        check=partial(to_seconds, minimum_ms=MIN_CALL_MS), is_required=True
    ),
    "item_ms": _Field(check=to_seconds, is_required=True),
    "headroom_mb": _Field(
        check=partial(to_number, maximum=MAX_MEGABYTES), is_required=True
    ),
    "handle_s": _Field(
        check=partial(to_number, maximum=MAX_DURATION_S), is_required=True
    ),
}
_TENANT = {
    "name": _NAME,
    "priority": _Field(check=parse_rank),
    "api_keys": _Field(check=to_list),
}
_KEY = _Field(check=to_text, is_secret=True)
_LIMITS = {
    "max_header_bytes": _Field(check=to_integer),
    "max_body_bytes": _Field(check=to_integer),
    "header_timeout_ms": _Field(check=to_seconds),
    "idle_timeout_ms": _Field(check=to_seconds),
}


def find_malformed_fields(data: object) -> Iterator[ConfigFinding]:
    """Find the missing and invalid fields of a configuration."""
    yield from _check_fields(data, _ROOT, ())
    if not isinstance(data, Mapping):
        return
    for path, entry in _entries(data, "routes", ()):
        yield from _check_route(entry, path)
    for path, entry in _entries(data, "services", ()):
        yield from _check_service(entry, path)
    for path, entry in _entries(data, "tenants", ()):
        yield from _check_fields(entry, _TENANT, path)
        for key_path, key in _entries(entry, "api_keys", path):
            yield from _check_value(key, _KEY, key_path)
    if data.get("limits"):
        yield from _check_fields(data["limits"], _LIMITS, ("limits",))


def _check_route(entry: object, path: ConfigPath) -> Iterator[ConfigFinding]:
    yield from _check_fields(entry, _ROUTE, path)
    if not isinstance(entry, Mapping):
        return
    if not entry.get("split"):
        yield from _check_fields(entry, {"service": _NAME}, path)
    for share_path, share in _entries(entry, "split", path):
        yield from _check_fields(share, _SHARE, share_path)
    for stage_path, stage in _entries(entry, "stages", path):
        yield from _check_fields(stage, _STAGE, stage_path)
        for index_path, index in _entries(stage, "after", stage_path):
            yield from _check_value(index, _Field(check=to_integer), index_path)


def _check_service(entry: object, path: ConfigPath) -> Iterator[ConfigFinding]:
    yield from _check_fields(entry, _SERVICE, path)
    if not isinstance(entry, Mapping):
        return
    if isinstance(entry.get("engine"), Mapping):
        yield from _check_fields(entry["engine"], _ENGINE, (*path, "engine"))
    if isinstance(entry.get("pieces"), Mapping):
        yield from _check_fields(entry["pieces"], _PIECES, (*path, "pieces"))


def _entries(
    data: object, name: str, path: ConfigPath
) -> Sequence[tuple[ConfigPath, object]]:
    """Return the entries of a list in a mapping, with their paths."""
    entries = data.get(name) if isinstance(data, Mapping) else None
    if not isinstance(entries, list):
        return ()
    return [((*path, name, index), each) for index, each in enumerate(entries)]


def _check_fields(
    data: object, fields_by_name: Mapping[str, _Field], path: ConfigPath
) -> Iterator[ConfigFinding]:
    if not isinstance(data, Mapping):
        yield ConfigFinding(
            path=path, kind=FindingKind.INVALID, detail="is not a mapping"
        )
        return
    for name, field in fields_by_name.items():
        if data.get(name) is not None:
            yield from _check_value(data[name], field, (*path, name))
        elif field.is_required:
            yield ConfigFinding(
                path=path, kind=FindingKind.MISSING, detail=f"{name} is missing"
            )


def _check_value(
    value: object, field: _Field, path: ConfigPath
) -> Iterator[ConfigFinding]:
    if field.may_be_empty and not value:
        return
    try:
        field.check(value)
    except DECODING_ERRORS as error:
        detail = "is not a usable text" if field.is_secret else str(error)
        yield ConfigFinding(path=path, kind=FindingKind.INVALID, detail=detail)
