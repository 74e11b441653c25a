"""The command that checks a routing configuration of the hosting platform."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import click

from galenashift.config import (
    InvalidFile,
    RoutingChange,
    YamlDocument,
    diff_routing,
    format_path,
)
from galenashift.model import RoutingConfig
from galenashift.platform import (
    ConfigFinding,
    ConfigPath,
    FindingKind,
    check_config,
)

from ._config_inputs import (
    UnusableFileError,
    decode_document,
    decode_usable,
    read_bounds,
    read_document,
    read_ready_services,
)

EXIT_FINDINGS = 1
EXIT_UNUSABLE = 2


@dataclass(frozen=True, kw_only=True)
class _Located:
    """A finding with its place in the file."""

    finding: ConfigFinding
    line: int | None
    column: int | None

    def to_json_object(self) -> dict[str, Any]:
        return {
            "path": format_path(self.finding.path),
            "line": self.line,
            "column": self.column,
            "kind": self.finding.kind.value,
            "detail": self.finding.detail,
        }

    def to_line(self, file: str) -> str:
        place = ":".join(
            str(each) for each in (file, self.line, self.column) if each is not None
        )
        parts = (
            place,
            format_path(self.finding.path),
            self.finding.kind.value,
            self.finding.detail,
        )
        return ": ".join(part for part in parts if part)


@click.group()
def config() -> None:
    """Work with routing configurations of the hosting platform."""


@config.command()
@click.argument("file")
@click.option(
    "--against",
    metavar="FILE",
    help="Also show what differs from this one, for example the one in force.",
)
@click.option(
    "--format",
    "output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
)
@click.option(
    "--settings",
    metavar="FILE",
    help="Also compare attempts with the retry budget in this daemon's settings.",
)
@click.option(
    "--upstreams",
    metavar="FILE",
    help="Also find services without an upstream; the file maps the store's keys of"
    " upstreams to their records.",
)
def check(
    file: str,
    against: str | None,
    output: str,
    settings: str | None,
    upstreams: str | None,
) -> None:
    """Check the routing configuration FILE, which is JSON or YAML.

    Reports all errors, entries that can never match and limits that contradict each
    other, with line and column. Sends nothing over the network. Exit codes: 0 nothing
    found, 1 findings, 2 a file that cannot be used.
    """
    try:
        document = read_document(file)
        in_force = None if against is None else decode_usable(against)
        bounds = None if settings is None else read_bounds(settings)
        ready_services = None if upstreams is None else read_ready_services(upstreams)
    except UnusableFileError as error:
        raise _unusable(error.invalid, output) from error
    found = [
        *_repeated(document),
        *check_config(document.data, bounds=bounds, ready_services=ready_services),
    ]
    requested = decode_document(file, document)
    if isinstance(requested, InvalidFile) and not found:
        found.append(_rejected(requested))
    changes: list[RoutingChange] | None = None
    if in_force is not None and isinstance(requested, RoutingConfig):
        changes = diff_routing(in_force, requested)
        if changes and requested.version <= in_force.version:
            found.append(_old_version(requested, in_force))
    findings = _locate(document, found)
    if output == "json":
        click.echo(json.dumps(_to_json_object(file, against, findings, changes)))
    else:
        _print(file, against, findings, changes)
    if findings:
        raise SystemExit(EXIT_FINDINGS)


def _unusable(invalid: InvalidFile, output: str) -> SystemExit:
    """Print why a file cannot be used, and return the exit of the process."""
    if output == "json":
        rows = [
            {
                "file": each.file,
                "line": each.line,
                "column": each.column,
                "reason": each.reason,
            }
            for each in invalid.problems
        ]
        click.echo(json.dumps({"valid": False, "unusable": rows}))
    else:
        click.echo(str(invalid), err=True)
    return SystemExit(EXIT_UNUSABLE)


def _locate(
    document: YamlDocument, findings: Sequence[ConfigFinding]
) -> list[_Located]:
    positions_by_path = {
        path: (line, column) for path, line, column in document.repeated_keys
    }
    located = []
    for each in findings:
        line, column = positions_by_path.get(
            each.path, document.find_position(each.path)
        )
        located.append(_Located(finding=each, line=line, column=column))
    return sorted(located, key=lambda each: (each.line or 0, each.column or 0))


def _repeated(document: YamlDocument) -> list[ConfigFinding]:
    return [
        ConfigFinding(
            path=path,
            kind=FindingKind.DUPLICATE,
            detail="this key appears twice, and the last value counts",
        )
        for path, _, _ in document.repeated_keys
    ]


def _rejected(invalid: InvalidFile) -> ConfigFinding:
    root: ConfigPath = ()
    detail = invalid.problems[0].reason
    return ConfigFinding(path=root, kind=FindingKind.INVALID, detail=detail)


def _old_version(requested: RoutingConfig, in_force: RoutingConfig) -> ConfigFinding:
    return ConfigFinding(
        path=("version",),
        kind=FindingKind.CONTRADICTION,
        detail=(
            f"daemons ignore version {requested.version} after {in_force.version},"
            " and the content differs"
        ),
    )


def _to_json_object(
    file: str,
    against: str | None,
    findings: Sequence[_Located],
    changes: Sequence[RoutingChange] | None,
) -> dict[str, Any]:
    rows = None
    if changes is not None:
        rows = [
            {"subject": each.subject, "before": each.before, "after": each.after}
            for each in changes
        ]
    return {
        "file": file,
        "against": against,
        "valid": not findings,
        "findings": [each.to_json_object() for each in findings],
        "changes": rows,
    }


def _print(
    file: str,
    against: str | None,
    findings: Sequence[_Located],
    changes: Sequence[RoutingChange] | None,
) -> None:
    for each in findings:
        click.echo(each.to_line(file))
    if not findings:
        click.echo(f"{file}: nothing found")
    if changes:
        click.echo(f"changes against {against}:")
    for change in changes or ():
        click.echo(str(change))
    if changes is not None and not changes:
        click.echo(f"no difference to {against}")
    if changes is None and against is not None:
        click.echo(f"not compared with {against}: daemons reject {file}")
