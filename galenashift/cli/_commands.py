"""The commands of the command-line interface; they exit with 0, 1 or 2."""

import functools
import importlib
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar
from urllib.parse import quote

import click

from galenashift import __version__
from galenashift.config import (
    MAX_PLAN_BYTES,
    InvalidFile,
    Plan,
    Problem,
    check_drain_limit,
    load_configuration,
    load_settings,
    parse_address,
    plan_from_data,
    plan_from_json,
    plan_to_data,
    plan_to_json,
)
from galenashift.model import Failure, JsonObject, Reason

from ._config_check import config
from ._gateway import gateway
from ._operator_client import OperatorClient
from ._render import render_changes, render_explanation
from ._status_page import render_status

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
_BAD_INPUT_REASONS = {Reason.MALFORMED, Reason.INVALID_CONFIGURATION, Reason.TOO_LARGE}
_HINTS_BY_REASON = {
    Reason.FORBIDDEN: "check --token-file or GALENASHIFT_OPERATOR_TOKEN",
    Reason.MINORITY: "nothing was changed; see 'galenashift status'",
    Reason.STORE_UNAVAILABLE: "nothing was changed; confirm again when "
    "'galenashift status' shows that the store answers",
    Reason.STORE_AMBIGUOUS: "see 'galenashift status' for the version in force; "
    "confirming the same plan again is safe",
}
_DEFAULT_PLAN_FILE = "galenashift-plan.json"

_Command = TypeVar("_Command", bound=Callable[..., Any])


@click.group(
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Exit codes: 0 done, 1 refused or failed, 2 bad input.",
)
@click.version_option(__version__, prog_name="galenashift")
def main() -> None:
    """Serve multi-stage model pipelines, and operate a fleet of daemons.

    A change takes two steps: 'plan' (or 'domain') shows what would change and
    writes a plan file, and 'confirm' activates that plan in the whole fleet.
    """


def _json_option(command: _Command) -> _Command:
    return click.option(
        "--json", "as_json", is_flag=True, help="Print JSON instead of text."
    )(command)


def _operator_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that select a daemon, and pass an `OperatorClient` for it."""

    @click.option(
        "--daemon",
        "address",
        metavar="IP:PORT",
        envvar="GALENASHIFT_DAEMON",
        default="127.0.0.1:8081",
        show_default=True,
        help="Operator listener of any daemon. Also GALENASHIFT_DAEMON.",
    )
    @click.option(
        "--token-file",
        metavar="FILE",
        help="File with the operators' token. Without it, the environment "
        "variable GALENASHIFT_OPERATOR_TOKEN is used.",
    )
    @_json_option
    @functools.wraps(command)
    def wrapped(address: str, token_file: str | None, **options: Any) -> None:
        try:
            daemon = parse_address(address)
        except ValueError as error:
            raise click.BadParameter(f"--daemon {error}") from error
        client = OperatorClient(address=daemon, token=_read_token(token_file))
        command(client=client, **options)

    return wrapped


@main.command()
@click.option(
    "--settings",
    "file",
    metavar="FILE",
    required=True,
    help="Settings file, see docs/CONFIGURATION.md.",
)
def daemon(file: str) -> None:
    """Run one daemon until it receives SIGTERM.

    After the first SIGTERM it finishes open requests; a second one stops it
    immediately.
    """
    settings = load_settings(file)
    if isinstance(settings, InvalidFile):
        _exit_bad_input(str(settings))
    run_daemon = importlib.import_module("galenashift.daemon").run_daemon
    raise SystemExit(run_daemon(settings) or 0)


@main.command()
@click.argument("file")
@click.option(
    "--settings",
    "settings_file",
    metavar="FILE",
    help="Also check a daemon's settings, and its drain limit against the deadlines.",
)
@_json_option
def check(file: str, settings_file: str | None, as_json: bool) -> None:
    """Check the configuration FILE without a daemon.

    Reports every problem with its line. Sends nothing over the network.
    """
    problems: list[Problem] = []
    document = load_configuration(file)
    if isinstance(document, InvalidFile):
        problems += document.problems
    if settings_file is not None:
        settings = load_settings(settings_file)
        if isinstance(settings, InvalidFile):
            problems += settings.problems
        elif not isinstance(document, InvalidFile):
            problem = check_drain_limit(
                settings=settings, document=document, file=settings_file
            )
            problems += [problem] if problem else []
    if as_json:
        rows = [
            {"file": each.file, "line": each.line, "path": each.path}
            | {"reason": each.reason}
            for each in problems
        ]
        click.echo(json.dumps({"valid": not problems, "problems": rows}))
    elif not isinstance(document, InvalidFile) and not problems:
        click.echo(
            f"{file}: valid, {len(document.pipelines)} pipelines, "
            f"{len(document.organisations)} organisations, "
            f"{len(document.pools)} pools, "
            f"{len(document.failure_domains)} failure domains"
        )
    for each in problems:
        click.echo(str(each), err=True)
    if problems:
        raise SystemExit(EXIT_BAD_INPUT)


def _output_option(command: _Command) -> _Command:
    return click.option(
        "--output",
        metavar="PLAN",
        default=_DEFAULT_PLAN_FILE,
        show_default=True,
        help="File to write the plan to.",
    )(command)


@main.command()
@click.argument("file")
@_output_option
@_operator_options
def plan(client: OperatorClient, file: str, output: str, as_json: bool) -> None:
    """Show what the configuration FILE would change, without changing it.

    Writes a plan file for 'galenashift confirm'. A plan is valid only for the
    version that was in force when it was created.
    """
    document = load_configuration(file)
    if isinstance(document, InvalidFile):
        _exit_bad_input(str(document))
    requested_change = {"document": document.model_dump(mode="json")}
    _make_plan(client, requested_change, output=output, as_json=as_json)


@main.command()
@click.argument("state", type=click.Choice(["out", "in"]))
@click.argument("name")
@_output_option
@_operator_options
def domain(
    client: OperatorClient, state: str, name: str, output: str, as_json: bool
) -> None:
    """Plan to take the failure domain NAME out, or to bring it back in.

    Changes nothing until you run 'galenashift confirm' on the plan file. A failure
    domain that is out receives no new work; its work in flight finishes.
    """
    requested_change = {"failure_domain": name, "state": state}
    _make_plan(client, requested_change, output=output, as_json=as_json)


@main.command()
@click.argument("file", metavar="PLAN")
@_operator_options
def confirm(client: OperatorClient, file: str, as_json: bool) -> None:
    """Activate PLAN, a file that 'plan' or 'domain' wrote, in the whole fleet.

    Refused if another change has been confirmed since, or if the file was edited.
    """
    result = plan_from_json(_read_plan_file(file))
    if isinstance(result, Failure):
        _exit_bad_input(f"{file}: {result.detail}")
    answer = _unwrap_or_exit(
        client.post("/operator/confirm", plan_to_data(result)), as_json
    )
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(f"Version {answer.get('version')} is accepted.")


@main.command()
@_operator_options
def status(client: OperatorClient, as_json: bool) -> None:
    """Show the state of a daemon, and its view of the fleet and the upstreams.

    Exits with code 1 if the daemon is not ready for requests.
    """
    answer = _unwrap_or_exit(client.get("/operator/status"), as_json)
    click.echo(json.dumps(answer) if as_json else render_status(answer))
    if answer.get("ready") is not True:
        raise SystemExit(EXIT_REFUSED)


@main.command()
@click.argument("request_id")
@_operator_options
def explain(client: OperatorClient, request_id: str, as_json: bool) -> None:
    """Show the recorded events of the request REQUEST_ID.

    Callers receive the id in the header galenashift-request-id. Daemons keep the
    events of recent requests only.
    """
    path = f"/operator/explain/{quote(request_id, safe='')}"
    answer = _unwrap_or_exit(client.get(path), as_json)
    click.echo(json.dumps(answer) if as_json else render_explanation(answer))


def _make_plan(
    client: OperatorClient, requested_change: JsonObject, *, output: str, as_json: bool
) -> None:
    answer = _unwrap_or_exit(client.post("/operator/plan", requested_change), as_json)
    result = plan_from_data(dict(answer))
    if isinstance(result, Failure):
        click.echo(f"the daemon returned an invalid plan: {result.detail}", err=True)
        raise SystemExit(EXIT_REFUSED)
    _write_plan_file(output, result)
    if as_json:
        click.echo(json.dumps({"output": output, **answer}))
        return
    click.echo(render_changes(answer["changes"]))
    if not result.changes:
        return
    click.echo(
        f"\nPlan {result.plan_id} for version {result.base_version} was written to "
        f"{output}. Nothing has changed yet. To activate the plan, run:\n"
        f"  galenashift confirm {output}"
    )


def _unwrap_or_exit(result: JsonObject | Failure, as_json: bool) -> JsonObject:
    if not isinstance(result, Failure):
        return result
    if as_json:
        error = {
            "reason": result.reason.value,
            "detail": result.detail,
            "verdict": result.verdict.value,
        }
        click.echo(json.dumps({"error": error}), err=True)
    else:
        hint = _HINTS_BY_REASON.get(result.reason)
        text = f"{result.detail}; {hint}" if hint else result.detail
        click.echo(f"{result.reason.value}: {text}", err=True)
    raise SystemExit(
        EXIT_BAD_INPUT if result.reason in _BAD_INPUT_REASONS else EXIT_REFUSED
    )


def _exit_bad_input(text: str) -> NoReturn:
    click.echo(text, err=True)
    raise SystemExit(EXIT_BAD_INPUT)


def _read_token(file: str | None) -> str:
    if file is None:
        token = os.environ.get("GALENASHIFT_OPERATOR_TOKEN", "")
        source = "GALENASHIFT_OPERATOR_TOKEN"
    else:
        source = file
        try:
            token = Path(file).read_text(encoding="utf-8")
        except (OSError, ValueError) as error:
            _exit_bad_input(f"{file}: cannot be read: {error}")
    token = token.strip()
    if not token:
        _exit_bad_input(f"{source} contains no token; set it or use --token-file")
    if not (token.isascii() and token.isprintable()):
        _exit_bad_input(
            f"{source}: the token must consist of printable ASCII characters"
        )
    return token


def _read_plan_file(file: str) -> bytes:
    try:
        with Path(file).open("rb") as stream:
            return stream.read(MAX_PLAN_BYTES + 1)
    except (OSError, ValueError) as error:
        _exit_bad_input(f"{file}: cannot be read: {error}")


def _write_plan_file(file: str, result: Plan) -> None:
    # Replaced atomically, so that an interrupted write leaves no partial plan.
    temporary_file = f"{file}.{os.getpid()}.tmp"
    try:
        Path(temporary_file).write_text(plan_to_json(result), encoding="utf-8")
        Path(temporary_file).replace(file)
    except (OSError, ValueError) as error:
        _exit_bad_input(f"{file}: cannot be written: {error}")


main.add_command(gateway)
main.add_command(config)
