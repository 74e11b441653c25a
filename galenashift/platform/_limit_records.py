"""Records in the platform's store on the rate limits that upstreams state."""

import json
from dataclasses import dataclass

from galenashift.model import RegisteredUpstream, UpstreamId

from ._decoding import DECODING_ERRORS, decode_json, to_integer, to_number, to_text
from ._records import RecordError

LIMIT_PREFIX = "limits/"
#: Largest limit, in requests per second.
_MAX_LIMIT_PER_S = 1e9


@dataclass(frozen=True, kw_only=True)
class LimitReport:
    """What a daemon reports on the limit of an upstream."""

    upstream_id: UpstreamId
    #: Start time of the incarnation, if registered.
    started_at_ms: int | None
    #: Requests per second from all daemons; None if the limit has ended.
    per_s: float | None

    def is_about(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether the report is about this incarnation of an upstream."""
        return (self.upstream_id, self.started_at_ms) == (
            upstream.upstream_id,
            upstream.started_at_ms,
        )


def limit_key(upstream_id: UpstreamId) -> str:
    """Return the key under which the limit of an upstream is stored."""
    return LIMIT_PREFIX + upstream_id


def encode_limit(report: LimitReport) -> bytes:
    """Encode the value of a limit report."""
    record = {"started_at_ms": report.started_at_ms, "per_s": report.per_s}
    return json.dumps(record).encode()


def decode_limit(*, key: str, value: bytes) -> LimitReport:
    """Decode a limit report.

    :raises RecordError: If the key or the value is malformed.
    """
    try:
        data = decode_json(value)
        started_at_ms = data["started_at_ms"]
        per_s = data["per_s"]
        return LimitReport(
            upstream_id=UpstreamId(to_text(key.removeprefix(LIMIT_PREFIX))),
            started_at_ms=None if started_at_ms is None else to_integer(started_at_ms),
            per_s=None if per_s is None else to_number(per_s, maximum=_MAX_LIMIT_PER_S),
        )
    except DECODING_ERRORS as error:
        raise RecordError(f"limit report {key} is malformed: {error!r:.300}") from error
