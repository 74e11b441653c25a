"""Upper bounds of encoded sizes, to fill a message without encoding it twice."""

from galenashift.model import FleetEvent, LoadReport, MemberState

#: Largest encoded gossip message, without its frame, in bytes. With 2048, a daemon
#: sends and receives 15.6 KB/s in total, more than the target of 15 KB/s. With 1792,
#: the reports of 2,200 upstreams take too many messages.
MAX_MESSAGE_BYTES = 1952
#: Bytes of the call id, sender, version, evidence age and the headers of three lists,
#: with a sender id of 63 bytes.
ENVELOPE_BYTES = 120
#: Largest part of a message that events may take, in bytes.
MAX_EVENT_BYTES = 1000

#: Fraction of the remaining message that member states may take while there are load
#: reports. With 340 daemons, a fraction of 0.5 gives the median daemon heartbeats of
#: 158 of them within 6 s; the rule for store outages needs 170.
MEMBER_FRACTION = 0.75

#: Encoded age of something that never happened, and of any longer age.
_MAX_AGE_MS = 2**31 - 1


def _varint_size(number: int) -> int:
    return (number.bit_length() + 7) // 7


def _age_size(age_s: float) -> int:
    return _varint_size(int(min(age_s * 1000 + 1, _MAX_AGE_MS)))


def _text_size(text: str) -> int:
    length = len(text) if text.isascii() else len(text.encode())
    return length + (1 if length < 128 else 3)


def member_size(state: MemberState) -> int:
    """Return the maximum encoded size of a member state, in bytes."""
    address = 0
    if state.host or state.failure_domain:
        address = 6 + _text_size(state.host) + _text_size(state.failure_domain)
    return (
        6  # 5 field headers and the stop byte
        + address
        + state.draining
        + _text_size(state.daemon_id)
        + _varint_size(state.incarnation)
        + _age_size(state.heartbeat_age_s)
        + _age_size(state.evidence_age_s)
        + _varint_size(state.highest_version)
    )


def report_size(report: LoadReport) -> int:
    """Return the maximum encoded size of a load report, in bytes."""
    return (
        10  # 8 field headers, the stop byte and the state
        + _text_size(report.upstream_id)
        + _varint_size(report.incarnation)
        + _varint_size(report.running)
        + _varint_size(report.queued)
        + _varint_size(report.slots)
        + _varint_size(report.bears)
        + _age_size(report.as_of_s)
    )


def event_size(event: FleetEvent) -> int:
    """Return the maximum encoded size of an event, in bytes."""
    return (
        13  # 8 field headers, the stop byte and the list header
        + _text_size(event.event_id)
        + _text_size(event.kind.value)
        + _text_size(event.upstream_id)
        + _varint_size(event.incarnation)
        + _text_size(event.failure_domain)
        + sum(map(_text_size, event.fingerprints))
        + _age_size(event.age_s)
        + _varint_size(event.config_version)
    )
