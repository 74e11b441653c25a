"""Records in the platform's store on crashes of upstreams and their suspects."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from galenashift.model import (
    REQUEST_DEPTH,
    Clearance,
    CrashId,
    CrashSuspects,
    DaemonId,
    RegisteredUpstream,
    SuspectId,
)

from ._decoding import DECODING_ERRORS, decode_json, to_integer, to_list, to_text
from ._records import RecordError

CRASH_PREFIX = "crashes/"
CLEARED_PREFIX = "cleared/"
#: Most suspects that a report may name.
_MAX_SUSPECTS = 1_000
#: Most crashes that the record of a cleared suspect may name.
_MAX_CLEARED_CRASHES = 1_000


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """A daemon's report on a crash of an upstream."""

    crash_id: CrashId
    #: Daemon that reports.
    reporter: DaemonId
    #: Suspects in its requests that were in flight, with their depths.
    suspects: CrashSuspects


def crash_id_of(upstream: RegisteredUpstream) -> CrashId:
    """Return the id of the crash of an incarnation, the same at all daemons."""
    incarnation = f"{upstream.upstream_id}/{upstream.started_at_ms}"
    return CrashId(_digest(incarnation))


def crash_key(report: CrashReport) -> str:
    """Return the key under which a crash report is stored."""
    return f"{CRASH_PREFIX}{report.crash_id}/{report.reporter}"


def encode_crash(report: CrashReport) -> bytes:
    """Encode the value of a crash report."""
    suspects = report.suspects
    record = {
        "not_begun": suspects.not_begun,
        "begun": suspects.begun,
        "completed": sorted(suspects.completed),
        "tried": sorted(suspects.tried),
    }
    return json.dumps(record).encode()


def decode_crash_id(key: str) -> CrashId:
    """Return the crash that a key is about.

    :raises RecordError: If the key is not that of a crash report.
    """
    crash_id, _, reporter = key.removeprefix(CRASH_PREFIX).partition("/")
    if not reporter:
        raise RecordError(f"{key} is not the key of a crash report")
    return CrashId(crash_id)


def decode_crash(*, key: str, value: bytes) -> CrashReport:
    """Decode a crash report.

    :raises RecordError: If the key or the value is malformed.
    """
    crash_id = decode_crash_id(key)
    try:
        data = decode_json(value)
        suspects = CrashSuspects(
            not_begun=_parse_suspects(data["not_begun"]),
            begun=_parse_suspects(data["begun"]),
            # Daemons of an earlier version do not write them.
            completed=_parse_suspect_list(data.get("completed", [])),
            tried=_parse_suspect_list(data.get("tried", [])),
        )
    except DECODING_ERRORS as error:
        raise RecordError(f"crash report {key} is malformed: {error!r:.300}") from error
    return CrashReport(
        crash_id=crash_id,
        reporter=DaemonId(key.rpartition("/")[2]),
        suspects=suspects,
    )


def _parse_suspects(data: Mapping[str, object]) -> dict[SuspectId, int]:
    if len(data) > _MAX_SUSPECTS:
        raise ValueError(f"{len(data)} suspects")
    return {
        SuspectId(to_text(suspect)): to_integer(depth, maximum=REQUEST_DEPTH)
        for suspect, depth in data.items()
    }


def _parse_suspect_list(data: object) -> frozenset[SuspectId]:
    suspects = to_list(data)
    if len(suspects) > _MAX_SUSPECTS:
        raise ValueError(f"{len(suspects)} suspects")
    return frozenset(SuspectId(to_text(each)) for each in suspects)


def cleared_key(suspect: SuspectId, *, reporter: DaemonId) -> str:
    """Return the key under which a daemon stores that a suspect was cleared."""
    return f"{CLEARED_PREFIX}{_digest(suspect)}/{reporter}"


def encode_cleared(clearance: Clearance) -> bytes:
    """Encode that a suspect was cleared."""
    record = {"suspect": clearance.suspect, "crashes": clearance.crash_ids}
    return json.dumps(record).encode()


def decode_cleared(*, key: str, value: bytes) -> Clearance:
    """Decode that a suspect was cleared.

    A record of an operator names no crashes.

    :raises RecordError: If the value is malformed.
    """
    try:
        data = decode_json(value)
        return Clearance(
            suspect=SuspectId(to_text(data["suspect"])),
            crash_ids=_parse_crash_ids(data.get("crashes")),
        )
    except DECODING_ERRORS as error:
        raise RecordError(f"record {key} is malformed: {error!r:.300}") from error


def _parse_crash_ids(data: object) -> tuple[CrashId, ...] | None:
    if data is None:
        return None
    if not isinstance(data, list) or len(data) > _MAX_CLEARED_CRASHES:
        raise ValueError(f"crashes {data!r:.100} are no short list")
    return tuple(CrashId(to_text(each)) for each in data)


def _digest(text: str) -> str:
    return blake2b(text.encode(), digest_size=12).hexdigest()
