"""Durations with units, as used in YAML files."""

import re
from decimal import Decimal
from typing import Annotated

from pydantic import BeforeValidator, PlainSerializer

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")


def parse_duration(text: object) -> float:
    """Convert a duration with a unit to seconds.

    :param text: For example ``"250ms"``, ``"4s"``, ``"10m"`` or ``"1h"``.
    :returns: Seconds.
    :raises ValueError: If the unit is missing or unknown.
    """
    match = _DURATION.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(
            f"{text!r} is not a duration; use a number with the unit ms, s, m or h"
        )
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]


def format_duration(seconds: float) -> str:
    """Format seconds so that `parse_duration` returns the same value.

    :param seconds: A duration that is not negative.
    """
    return f"{Decimal(repr(seconds)):f}s"


#: A field in seconds that is written with a unit in files. The JSON form has a unit
#: too, so that a stored or planned document can be validated again.
Seconds = Annotated[
    float,
    BeforeValidator(parse_duration),
    PlainSerializer(format_duration, return_type=str, when_used="json"),
]
