"""Identifier types and the generator of time-ordered identifiers."""

from random import Random
from typing import NewType

DaemonId = NewType("DaemonId", str)
Incarnation = NewType("Incarnation", int)
RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)
PoolName = NewType("PoolName", str)
UpstreamId = NewType("UpstreamId", str)
PipelineName = NewType("PipelineName", str)
StageName = NewType("StageName", str)
OrganisationId = NewType("OrganisationId", str)
RequestId = NewType("RequestId", str)
ExchangeId = NewType("ExchangeId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ConfigVersion = NewType("ConfigVersion", int)
PlanId = NewType("PlanId", str)
Fingerprint = NewType("Fingerprint", str)
CrashId = NewType("CrashId", str)
SuspectId = NewType("SuspectId", str)
VersionName = NewType("VersionName", str)

_UUID7_VERSION = 0x7
_RFC_VARIANT = 0b10


def new_time_ordered_id(*, wall_time_s: float, random: Random) -> str:
    """Create a version 7 UUID, which sorts by creation time.

    :param wall_time_s: Seconds since the Unix epoch.
    :param random: Source of the 74 random bits.
    :returns: The identifier in the canonical form of 36 characters.
    """
    value = int(wall_time_s * 1000) << 80
    value |= _UUID7_VERSION << 76
    value |= random.getrandbits(12) << 64
    value |= _RFC_VARIANT << 62
    value |= random.getrandbits(62)
    digits = f"{value:032x}"
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    return "-".join(parts)


def wall_time_of_id(identifier: str) -> float | None:
    """Read the creation time from a version 7 UUID.

    :param identifier: Any text.
    :returns: Seconds since the Unix epoch, or None if the text is not such a UUID.
    """
    digits = identifier.replace("-", "")
    if len(identifier) != 36 or len(digits) != 32:
        return None
    try:
        value = int(digits, 16)
    except ValueError:
        return None
    version = (value >> 76) & 0xF
    variant = (value >> 62) & 0b11
    if version != _UUID7_VERSION or variant != _RFC_VARIANT:
        return None
    return (value >> 80) / 1000
