"""Idempotency keys: parsing, age and bucket, and the store keys of segments."""

import hashlib
import re
from dataclasses import dataclass
from datetime import datetime

from galenashift.model import (
    ActionRecord,
    ActionState,
    Failure,
    IdempotencyKey,
    OrganisationId,
    Reason,
    may_have_run,
    not_run,
    wall_time_of_id,
)

#: Time for which the outcome of an action is retained, in seconds.
RETENTION_S = 3600.0

#: Largest tolerated difference between clocks of callers and daemons, in seconds.
CLOCK_SKEW_S = 300.0

#: Number of buckets. It determines the store keys of all segments, so changing it
#: makes existing records unreachable.
BUCKETS = 16

_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
_RFC_3339_PATTERN = re.compile(
    r"^\d{4}-\d\d-\d\d[Tt ]\d\d:\d\d:\d\d(?:\.\d{1,9})?(?:[Zz]|[+-]\d\d:\d\d)$"
)


@dataclass(frozen=True, kw_only=True)
class IssuedKey:
    """An idempotency key and its age."""

    #: The caller's key.
    key: IdempotencyKey
    #: Unix time, in seconds, at which the caller first issued the key.
    issued_at_s: float


def parse_key(*, key: str | None, issued_at: str | None) -> IssuedKey | Failure:
    """Parse a caller's key and the time at which it was issued.

    :param key: Value of ``Idempotency-Key``.
    :param issued_at: Value of ``Idempotency-Issued-At`` (RFC 3339), required
        for keys that are not UUIDs of version 7. It is ignored for such UUIDs, as the
        time in the key cannot differ between two attempts.
    """
    if not key:
        detail = "this pipeline is not idempotent; send the header Idempotency-Key"
        return not_run(reason=Reason.KEY_REQUIRED, detail=detail)
    if not _KEY_PATTERN.fullmatch(key):
        detail = "Idempotency-Key: send 1 to 128 printable characters without spaces"
        return not_run(reason=Reason.MALFORMED, detail=detail)
    issued_at_s = wall_time_of_id(key)
    if issued_at_s is None and issued_at is None:
        detail = (
            "the key is not a UUID of version 7; send the time of its first use "
            "in the header Idempotency-Issued-At"
        )
        return not_run(reason=Reason.KEY_REQUIRED, detail=detail)
    if issued_at_s is None:
        issued_at_s = _parse_time(issued_at or "")
    if issued_at_s is None:
        detail = "Idempotency-Issued-At: send one time as in RFC 3339"
        return not_run(reason=Reason.MALFORMED, detail=detail)
    return IssuedKey(key=IdempotencyKey(key), issued_at_s=issued_at_s)


def check_key_age(*, issued_at_s: float, now_s: float) -> Failure | None:
    """Check that the action log still retains every use of a key.

    :param issued_at_s: Unix time at which the key was issued, in seconds.
    :param now_s: Unix time, in seconds.
    """
    age_s = now_s - issued_at_s
    if age_s < -CLOCK_SKEW_S:
        detail = f"the idempotency key was issued {-age_s:.0f}s in the future"
        return not_run(reason=Reason.MALFORMED, detail=detail)
    if age_s > RETENTION_S - CLOCK_SKEW_S:
        detail = (
            f"the idempotency key was issued {age_s:.0f}s ago; its record may be gone"
        )
        return may_have_run(reason=Reason.KEY_EXPIRED, detail=detail)
    return None


def _parse_time(text: str) -> float | None:
    if not _RFC_3339_PATTERN.match(text):
        return None
    try:
        return datetime.fromisoformat(text.upper()).timestamp()
    except (ValueError, OverflowError):
        return None


def bucket_of(*, organisation: OrganisationId, key: IdempotencyKey) -> int:
    """Return the number of the bucket that holds a key."""
    return key_digest(organisation=organisation, key=key) % BUCKETS


def key_digest(*, organisation: OrganisationId, key: IdempotencyKey) -> int:
    """Return the first 64 bits of the digest of an organisation's key."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).digest()
    return int.from_bytes(digest[:8], "big")


def oldest_needed_s(record: ActionRecord) -> float:
    """Return the time since which the log must have been read to decide on a record.

    No record of a key is written before the key is issued. A completion needs only the
    records written since its attempt started. The margin covers keys with a time in
    the future and differences between clocks.

    :param record: A reservation (``STARTED``) or a completion.
    :returns: Unix time in seconds.
    """
    since_s = record.started_at_s
    if record.state is ActionState.STARTED:
        issued_at_s = wall_time_of_id(record.key)
        # The dispatcher rejects older keys, see `check_key_age`.
        since_s -= RETENTION_S - CLOCK_SKEW_S
        if issued_at_s is not None:
            since_s = max(since_s, issued_at_s)
    return since_s - 2 * CLOCK_SKEW_S


def bucket_prefix(bucket: int) -> str:
    """Return the store prefix of a bucket, which also selects the bucket's owner."""
    return f"/actions/{bucket:02d}/"


def segment_key(*, bucket: int, number: int) -> str:
    """Return the store key of a segment; keys sort by number."""
    return f"{bucket_prefix(bucket)}{number:010d}"


def segment_number(key: str) -> int:
    """Return the number in a segment's store key."""
    return int(key.rpartition("/")[2])
