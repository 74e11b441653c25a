"""Formats command output as text."""

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

_MAX_CELL_CHARACTERS = 60
#: Longest value of an event field in an explanation; the same limit as in the log.
_MAX_EVENT_VALUE_CHARACTERS = 400


def format_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Format rows as a table with aligned columns.

    :param headings: Column headings.
    :param rows: Cells of each row.
    """
    lines = [[heading.upper() for heading in headings], *rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_changes(changes: Sequence[Mapping[str, Any]]) -> str:
    """Format the changes of a plan.

    :param changes: Objects with ``path``, ``before`` and ``after``.
    """
    if not changes:
        return "No changes: the document is already in force."
    rows = [
        (
            format_cell(each["path"]),
            format_cell(each["before"]),
            format_cell(each["after"]),
        )
        for each in changes
    ]
    return format_table(("path", "in force", "planned"), rows)


def render_object(data: Mapping[str, Any]) -> str:
    """Format an object: one line for each scalar, a table for each list of objects.

    :param data: A decoded JSON object.
    """
    scalars: list[tuple[str, str]] = []
    tables: list[str] = []
    for path, value in _flatten("", data):
        if isinstance(value, list) and value and isinstance(value[0], dict):
            tables.append(f"{format_cell(path)}:\n{_format_object_table(value)}")
        else:
            scalars.append((format_cell(path), format_cell(value)))
    width = max((len(name) for name, _ in scalars), default=0) + 1
    lines = [f"{name + ':':<{width}} {text}" for name, text in scalars]
    return "\n\n".join(part for part in ("\n".join(lines), *tables) if part)


def render_explanation(data: Mapping[str, Any]) -> str:
    """Format the events of a request.

    :param data: A decoded JSON object with ``events``.
    """
    events = [each for each in data.get("events", ()) if isinstance(each, dict)]
    other_fields = {
        key: ", ".join(map(str, value)) or "none" if isinstance(value, list) else value
        for key, value in data.items()
        if key != "events"
    }
    rows = []
    for event in events:
        details = {
            key: value
            for key, value in event.items()
            if key not in ("time_s", "level", "event", "request_id")
        }
        text = " ".join(
            f"{key}={format_cell(value, limit=_MAX_EVENT_VALUE_CHARACTERS)}"
            for key, value in details.items()
        )
        row = (
            _format_time(event.get("time_s")),
            format_cell(event.get("event")),
            _escape_unprintable(text),
        )
        rows.append(row)
    return (
        f"{render_object(other_fields)}\n\n"
        f"{format_table(('time', 'event', 'details'), rows)}"
    )


def format_cell(value: Any, *, limit: int = _MAX_CELL_CHARACTERS) -> str:
    """Format a value on one line, without control characters.

    :param value: A decoded JSON value.
    :param limit: Length in characters to which it is truncated.
    """
    match value:
        case None:
            text = "-"
        case str():
            text = value
        case float():
            text = f"{value:g}"
        case _:
            text = json.dumps(value)
    if len(text) > limit:
        text = text[: limit - 3] + "..."
    return _escape_unprintable(text)


def _escape_unprintable(text: str) -> str:
    # Escape sequences in text from a caller could manipulate the terminal.
    return text if text.isprintable() else ascii(text)


def _flatten(path: str, data: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    for key, value in data.items():
        child_path = f"{path}.{key}" if path else str(key)
        if isinstance(value, dict) and value:
            yield from _flatten(child_path, value)
        else:
            yield child_path, value


def _format_object_table(objects: Sequence[Any]) -> str:
    rows = [each for each in objects if isinstance(each, dict)]
    headings = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[format_cell(row.get(key)) for key in headings] for row in rows]
    return format_table([_escape_unprintable(heading) for heading in headings], cells)


def _format_time(time_s: Any) -> str:
    try:
        time = datetime.fromtimestamp(time_s, UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return "-"
    return f"{time:%H:%M:%S}.{time.microsecond // 1000:03}"
