"""Encoding and checked decoding of the frames on rollouts."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from galenashift.model import (
    DaemonId,
    Incarnation,
    RolloutState,
    RouteName,
    ServiceName,
)
from galenashift.peers import CodecError, idl
from galenashift.rollouts import (
    BUCKETS,
    MAX_KEYS,
    Counts,
    Directive,
    EvidenceKey,
    EvidenceReport,
    Measure,
    Side,
)

#: Largest count that a frame may have.
_MAX_COUNT = 2**53
#: Largest number of a size class, above those in use.
_MAX_SIZE_CLASS = 15
#: Longest name in a frame, in characters.
_MAX_TEXT_LENGTH = 1_000


@dataclass(frozen=True, kw_only=True)
class ReceivedReport:
    """A report as a peer sends it."""

    service: ServiceName
    daemon: DaemonId
    report: EvidenceReport


@dataclass(frozen=True, kw_only=True)
class ReceivedDirective:
    """A directive as the coordinator sends it."""

    service: ServiceName
    directive: Directive


def encode_report(
    service: ServiceName, daemon: DaemonId, report: EvidenceReport
) -> Any:
    """Encode a report as a frame."""
    message = idl.RolloutReport(
        rolled_service=service,
        daemon=daemon,
        incarnation=report.incarnation,
        order_revision=report.order_revision,
        sent_old=report.sent_old,
        sent_new=report.sent_new,
        open_old=report.open_old,
        state=report.state.value,
        sequence=report.sequence,
        share=report.share,
        full=report.full,
        left_ms=int(report.remaining_s * 1000),
        entries=[
            _encode_entry(key, counts) for key, counts in report.counts_by_key.items()
        ],
    )
    return idl.StageFrame(rollout_report=message)


def _encode_entry(key: EvidenceKey, counts: Counts) -> Any:
    return idl.RolloutEntry(
        newer=key.side is Side.NEW,
        route=key.route,
        size_class=key.size_class,
        total=key.measure is Measure.TOTAL,
        answers=counts.answers,
        failures=counts.failures,
        buckets=[each for pair in counts.count_by_bucket.items() for each in pair],
    )


def decode_report(message: Any) -> ReceivedReport:
    """Decode a report.

    :raises CodecError: If a value is missing or out of range.
    """
    entries = message.entries or []
    if len(entries) > MAX_KEYS:
        raise CodecError(f"a report has {len(entries)} entries")
    report = EvidenceReport(
        order_revision=_count(message, "order_revision"),
        incarnation=Incarnation(_count(message, "incarnation")),
        sent_old=_count(message, "sent_old"),
        sent_new=_count(message, "sent_new"),
        open_old=_count(message, "open_old"),
        state=_state(message),
        sequence=_count(message, "sequence"),
        share=_share(message),
        remaining_s=_count(message, "left_ms") / 1000,
        full=bool(message.full),
        counts_by_key=dict(_decode_entry(each) for each in entries),
    )
    return ReceivedReport(
        service=ServiceName(_text(message, "rolled_service")),
        daemon=DaemonId(_text(message, "daemon")),
        report=report,
    )


def _decode_entry(entry: Any) -> tuple[EvidenceKey, Counts]:
    key = EvidenceKey(
        side=Side.NEW if entry.newer else Side.OLD,
        route=RouteName(_text(entry, "route")),
        size_class=_count(entry, "size_class", maximum=_MAX_SIZE_CLASS),
        measure=Measure.TOTAL if entry.total else Measure.FIRST,
    )
    answers = _count(entry, "answers")
    counts = Counts(
        answers=answers,
        failures=_count(entry, "failures", maximum=answers),
        count_by_bucket=_decode_buckets(entry.buckets or []),
    )
    return key, counts


def _decode_buckets(numbers: Sequence[Any]) -> dict[int, int]:
    if len(numbers) % 2 or len(numbers) > 2 * BUCKETS:
        raise CodecError(f"a histogram has {len(numbers)} numbers")
    count_by_bucket = dict(zip(numbers[::2], numbers[1::2], strict=True))
    for bucket, count in count_by_bucket.items():
        if not 0 <= bucket < BUCKETS or not 0 <= count <= _MAX_COUNT:
            raise CodecError(f"bucket {bucket!r:.30} has count {count!r:.30}")
    return count_by_bucket


def encode_directive(service: ServiceName, directive: Directive) -> Any:
    """Encode a directive as a frame."""
    message = idl.RolloutDirective(
        rolled_service=service,
        order_revision=directive.order_revision,
        state=directive.state.value,
        sequence=directive.sequence,
        share=directive.share,
        resend=directive.resend,
    )
    return idl.StageFrame(rollout_directive=message)


def decode_directive(message: Any) -> ReceivedDirective:
    """Decode a directive.

    :raises CodecError: If a value is missing or out of range.
    """
    directive = Directive(
        order_revision=_count(message, "order_revision"),
        state=_state(message),
        sequence=_count(message, "sequence"),
        share=_share(message),
        resend=bool(message.resend),
    )
    return ReceivedDirective(
        service=ServiceName(_text(message, "rolled_service")), directive=directive
    )


def _count(message: Any, name: str, *, maximum: int = _MAX_COUNT) -> int:
    value = getattr(message, name)
    if not isinstance(value, int) or not 0 <= value <= maximum:
        raise CodecError(f"{name} is {value!r:.50}")
    return value


def _text(message: Any, name: str) -> str:
    value = getattr(message, name)
    if not isinstance(value, str) or len(value) > _MAX_TEXT_LENGTH:
        raise CodecError(f"{name} is {value!r:.50}")
    return value


def _share(message: Any) -> float:
    value = message.share
    if not isinstance(value, float) or not math.isfinite(value) or not 0 <= value <= 1:
        raise CodecError(f"share is {value!r:.50}")
    return value


def _state(message: Any) -> RolloutState:
    try:
        return RolloutState(message.state)
    except ValueError as error:
        raise CodecError(f"unknown state {message.state!r:.50}") from error
