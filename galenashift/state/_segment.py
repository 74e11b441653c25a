"""Encoding of segments, the store values that hold a bucket's records."""

import json
import zlib
from dataclasses import dataclass, replace

from galenashift.model import (
    ActionRecord,
    ActionState,
    AttemptId,
    DaemonId,
    IdempotencyKey,
    Incarnation,
    OrganisationId,
)

#: Size of the largest answer that is recorded, in bytes of UTF-8.
MAX_ANSWER_BYTES = 16 * 1024

#: Maximum size of the records in one segment before compression, in bytes.
SEGMENT_BYTES = 32 * 1024

#: Preset dictionary of text that most segments contain; it halves the size of a small
#: segment. Changing it makes stored segments unreadable.
_DICTIONARY = (
    b'"RAN","NOT_RUN","operation":"result","receipt":"verdict":"answer":{"'
    b'organisation-galenashift-daemon-"released",[["done",1["started",1'
)

#: Raw deflate without a checksum, because the store verifies values itself.
_WBITS = -15


@dataclass(frozen=True, kw_only=True)
class Segment:
    """The records of one append; records are never added to an existing segment."""

    #: Unix time, in seconds, before the write. Every earlier segment was written
    #: before this time, even if the writer was paused after reading the clock.
    written_at_s: float
    #: Records in the order of their decisions.
    records: tuple[ActionRecord, ...]


def with_bounded_answer(record: ActionRecord) -> ActionRecord:
    """Return a record without its answer if that is too large to be recorded."""
    if len(_utf8(record.answer)) <= MAX_ANSWER_BYTES:
        return record
    return replace(record, answer="")


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment as compressed JSON text."""
    records = [_encode_record(each) for each in segment.records]
    text = _json([round(segment.written_at_s, 3), records])
    compressor = zlib.compressobj(level=9, wbits=_WBITS, zdict=_DICTIONARY)
    return compressor.compress(text) + compressor.flush()


def decode_segment(value: bytes) -> Segment:
    """Decode a segment.

    :raises ValueError: If the value is not a valid segment.
    """
    try:
        decompressor = zlib.decompressobj(wbits=_WBITS, zdict=_DICTIONARY)
        text = decompressor.decompress(value) + decompressor.flush()
        if not decompressor.eof:
            raise ValueError("the compressed segment is truncated")
        written_at_s, records = json.loads(text)
        return Segment(
            written_at_s=float(written_at_s),
            records=tuple(_decode_record(*each) for each in records),
        )
    except (TypeError, zlib.error) as error:
        raise ValueError(f"not a segment of the action log: {error!r}") from error


def record_size(record: ActionRecord) -> int:
    """Return the size of a record before compression, in bytes."""
    return len(_json(_encode_record(record))) + 1


def _json(value: object) -> bytes:
    return _utf8(json.dumps(value, separators=(",", ":"), ensure_ascii=False))


def _utf8(text: str) -> bytes:
    # JSON from an upstream may hold a lone surrogate, which strict UTF-8 rejects.
    return text.encode(errors="surrogatepass")


def _encode_record(record: ActionRecord) -> list[object]:
    # A list, because field names would double the size of a record without answer.
    return [
        record.state.value,
        record.started_at_s,
        record.dispatcher_incarnation,
        record.dispatcher,
        record.organisation,
        record.key,
        record.attempt,
        record.body_digest,
        record.answer,
    ]


def _decode_record(
    state: str,
    started_at_s: float,
    incarnation: int,
    dispatcher: str,
    organisation: str,
    key: str,
    attempt: str,
    body_digest: str,
    answer: str,
) -> ActionRecord:
    return ActionRecord(
        organisation=OrganisationId(organisation),
        key=IdempotencyKey(key),
        body_digest=body_digest,
        dispatcher=DaemonId(dispatcher),
        dispatcher_incarnation=Incarnation(incarnation),
        attempt=AttemptId(attempt),
        state=ActionState(state),
        started_at_s=started_at_s,
        answer=answer,
    )
