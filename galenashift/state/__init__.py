"""The action log: the record of non-idempotent actions in the key-value service."""

from ._bucket import BucketLog, Outcome
from ._decision import (
    DISPATCH_WITHIN_S,
    Decision,
    KeyHistory,
    apply_record,
    decide,
    decide_completion,
    decide_reservation,
    explain_existing,
    may_dispatch,
)
from ._key import (
    BUCKETS,
    CLOCK_SKEW_S,
    RETENTION_S,
    bucket_of,
    bucket_prefix,
    check_key,
    segment_key,
    segment_number,
)
from ._lease import LEASE_TTL_S, RetentionLease
from ._segment import (
    MAX_ANSWER_BYTES,
    SEAL_SHARE,
    SEGMENT_BYTES,
    Batch,
    Segment,
    decode_segment,
    encode_segment,
    encoded_size,
    with_bounded_answer,
)
from ._service import FINISH_TIMEOUT_S, RESERVE_TIMEOUT_S, ActionLogService
from ._writer import COMMIT_SPACING_S, BucketWriter

__all__ = [
    "BUCKETS",
    "CLOCK_SKEW_S",
    "COMMIT_SPACING_S",
    "DISPATCH_WITHIN_S",
    "FINISH_TIMEOUT_S",
    "LEASE_TTL_S",
    "MAX_ANSWER_BYTES",
    "RESERVE_TIMEOUT_S",
    "RETENTION_S",
    "SEAL_SHARE",
    "SEGMENT_BYTES",
    "ActionLogService",
    "Batch",
    "BucketLog",
    "BucketWriter",
    "Decision",
    "KeyHistory",
    "Outcome",
    "RetentionLease",
    "Segment",
    "apply_record",
    "bucket_of",
    "bucket_prefix",
    "check_key",
    "decide",
    "decide_completion",
    "decide_reservation",
    "decode_segment",
    "encode_segment",
    "encoded_size",
    "explain_existing",
    "may_dispatch",
    "segment_key",
    "segment_number",
    "with_bounded_answer",
]
