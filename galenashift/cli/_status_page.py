"""Formats the output of ``galenashift status`` as text."""

from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from ._render import format_cell, format_table

#: States of upstreams that receive less than their share of work, or none.
_DEGRADED_STATES = ("cold", "leaving", "suspect", "gone")
#: Length to which a reason is truncated.
_MAX_REASON_CHARACTERS = 200


def render_status(data: Mapping[str, Any]) -> str:
    """Format the state of a daemon, its fleet, and the degraded upstreams.

    :param data: Response of ``GET /operator/status``.
    """
    upstreams = _rows(data, "upstreams")
    summary_rows = [
        ("daemon", f"{format_cell(data.get('daemon'))}, {_format_readiness(data)}"),
        (
            "version",
            f"{format_cell(data.get('version'))}, {format_cell(data.get('authority'))}",
        ),
        ("store", _format_store(data.get("store"))),
        ("instance list", f"{_format_age(data.get('instance_list_age_s'))} old"),
        ("failure domains", _format_failure_domains(_rows(data, "failure_domains"))),
        ("at their limit", _format_names(data.get("organisations_at_limit"))),
        ("in flight", f"{format_cell(data.get('in_flight'))} requests"),
        ("upstreams", _format_state_counts(upstreams)),
    ]
    width = max(len(name) for name, _ in summary_rows) + 1
    parts = ["\n".join(f"{name + ':':<{width}} {text}" for name, text in summary_rows)]
    daemons = [
        (
            format_cell(row.get("daemon")),
            format_cell(row.get("failure_domain")),
            format_cell(row.get("status")),
            format_cell(row.get("version")),
            _format_age(row.get("heartbeat_age_s")),
        )
        for row in _rows(data, "daemons")
    ]
    headings = ("daemon", "failure domain", "status", "version", "heartbeat age")
    parts.append(format_table(headings, daemons))
    degraded = [
        (
            format_cell(row.get("upstream")),
            format_cell(row.get("pool")),
            format_cell(row.get("failure_domain")),
            format_cell(row.get("state")),
            format_cell(row.get("running")),
            _format_age(row.get("report_age_s")),
        )
        for row in upstreams
        if row.get("state") in _DEGRADED_STATES
    ]
    if degraded:
        columns = ("upstream", "pool", "failure domain", "state", "running", "report")
        parts.append(format_table(columns, degraded))
    return "\n\n".join(parts)


def _rows(data: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    value = data.get(name)
    rows = value if isinstance(value, list) else []
    return [row for row in rows if isinstance(row, dict)]


def _format_readiness(data: Mapping[str, Any]) -> str:
    if data.get("ready") is True:
        return "ready"
    return (
        "NOT READY: "
        f"{format_cell(data.get('not_ready_because'), limit=_MAX_REASON_CHARACTERS)}"
    )


def _format_store(store: Any) -> str:
    if not isinstance(store, dict):
        return "-"
    if store.get("reachable") is True:
        return f"answers, last {_format_age(store.get('answer_age_s'))} ago"
    out_since_s = store.get("out_since_s")
    if isinstance(out_since_s, int | float):
        time = f"since {datetime.fromtimestamp(out_since_s, UTC):%Y-%m-%dT%H:%M:%SZ}"
    else:
        time = "not reached yet"
    return (
        f"OUT {time}: {format_cell(store.get('failure'), limit=_MAX_REASON_CHARACTERS)}"
    )


def _format_failure_domains(rows: Sequence[Mapping[str, Any]]) -> str:
    states = []
    for state in ("in", "out"):
        names = [format_cell(row.get("failure_domain")) for row in rows]
        matching_names = [
            name
            for name, row in zip(names, rows, strict=True)
            if row.get("state") == state
        ]
        label = state.upper() if state == "out" and matching_names else state
        states.append(f"{label} {', '.join(matching_names) or 'none'}")
    return "; ".join(states)


def _format_names(value: Any) -> str:
    names = value if isinstance(value, list) else []
    return ", ".join(format_cell(name) for name in names) or "none"


def _format_state_counts(rows: Sequence[Mapping[str, Any]]) -> str:
    counts = Counter(format_cell(row.get("state")) for row in rows)
    return ", ".join(f"{count} {state}" for state, count in counts.items()) or "none"


def _format_age(value: Any) -> str:
    return f"{value:.1f} s" if isinstance(value, int | float) else "-"
