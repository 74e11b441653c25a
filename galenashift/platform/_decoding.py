"""Checked conversion of untrusted JSON documents, numbers and texts."""

import json
import math
from collections.abc import Mapping
from typing import Any

#: Exceptions that malformed data can cause while a document is taken apart.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
#: Largest integer that the platform's documents use.
MAX_INTEGER = 2**63 - 1
#: Longest duration that is accepted, in milliseconds.
MAX_DURATION_MS = 86_400_000.0
#: Longest name or identifier, in characters.
_MAX_TEXT_LENGTH = 1_000


def decode_json(data: bytes) -> Any:
    """Decode a JSON document.

    :raises ValueError: If it is malformed, nested too deeply, or contains a constant
        such as ``NaN`` that JSON does not define.
    """
    try:
        return json.loads(data, parse_constant=_reject_constant)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


def without_nulls(data: Mapping[str, Any]) -> dict[str, Any]:
    """Return a mapping without its entries that are null.

    An optional field that is null means the same as one that is absent.

    :raises AttributeError: If the value is not a mapping.
    """
    return {name: value for name, value in data.items() if value is not None}


def to_flag(value: object) -> bool:
    """Check a boolean of a decoded document.

    Other values have no truth value here: with Python's, the text ``"false"`` would
    grant what a flag allows.

    :raises ValueError: If it is neither true nor false.
    """
    if not isinstance(value, bool):
        raise ValueError(f"{value!r:.50} is not true or false")
    return value


def to_list(value: object) -> list[Any]:
    """Check a list of a decoded document.

    :raises ValueError: If it is not a list.
    """
    if not isinstance(value, list):
        raise ValueError("is not a list")
    return value


def to_number(value: object, *, minimum: float = 0.0, maximum: float) -> float:
    """Check a number of a decoded document.

    :raises ValueError: If it is not a finite number from `minimum` to `maximum`.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r:.50} is not a number")
    if not minimum <= value <= maximum:
        raise ValueError(f"{value!r:.50} is not from {minimum:g} to {maximum:g}")
    return float(value)


def to_integer(value: object, *, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Check an integer of a decoded document; a number such as 4.0 is accepted.

    :raises ValueError: If it is not an integer from `minimum` to `maximum`.
    """
    to_number(value, minimum=minimum, maximum=maximum)
    assert isinstance(value, int | float)
    if value != int(value):
        raise ValueError(f"{value!r:.50} is not an integer")
    return int(value)


def to_seconds(value: object, *, minimum_ms: float = 0.0) -> float:
    """Check a duration in milliseconds and return it in seconds.

    :raises ValueError: If it is not from `minimum_ms` to `MAX_DURATION_MS`.
    """
    return to_number(value, minimum=minimum_ms, maximum=MAX_DURATION_MS) / 1000


def to_text(value: object) -> str:
    """Check a name or an identifier.

    :raises ValueError: If it is not a string, too long, cannot be encoded, or has
        characters that no header can carry.
    """
    if not isinstance(value, str):
        raise ValueError(f"{value!r:.50} is not a string")
    if len(value) > _MAX_TEXT_LENGTH:
        raise ValueError(f"a text has more than {_MAX_TEXT_LENGTH} characters")
    if not value.isprintable():
        raise ValueError(f"{value!r:.50} has characters that are not printable")
    if value != value.strip():
        raise ValueError(f"{value!r:.50} begins or ends with white space")
    value.encode()
    return value


def parse_milliseconds(text: str) -> float:
    """Parse a duration of a header and return it in seconds, at most one day.

    :raises ValueError: If it is not a finite number of at least 0.
    """
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{text:.50} is not a finite number of at least 0")
    return min(number, MAX_DURATION_MS) / 1000


def parse_integer(text: str, *, maximum: int = MAX_INTEGER) -> int:
    """Parse an unsigned decimal integer of a header.

    :raises ValueError: If it has other characters or is larger than `maximum`.
    """
    stripped = text.strip()
    if not (stripped.isascii() and stripped.isdecimal()):
        raise ValueError(f"{text:.50!r} is not an unsigned integer")
    return to_integer(int(stripped), maximum=maximum)
