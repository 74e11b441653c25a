"""Demonstrates the Office example deployment: ``make demo``.

Starts stand-ins of the platform and of all upstreams, and three daemons. Applies the
Office example configuration, sends a dossier review and a swap confirmation, takes a
failure domain out and restores it, and explains a refusal. All processes are ended
before exit. With ``--keep`` the deployment is only started, and runs for manual use
until Ctrl-C.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from random import Random

import click

from galenashift.model import new_time_ordered_id
from testbed import (
    OPERATOR_TOKEN,
    DaemonHandle,
    Deployment,
    Reply,
    call_pipeline,
    load_example,
    open_events,
    upstream_specs,
)

_EXAMPLE_PATH = Path(__file__).parent.parent / "examples" / "office.yaml"
_API_KEY = "example-key-chungnam-survey"
_REGION = "chungcheong"
_DAEMONS = 3
#: Failure domain that is taken out. It holds one daemon and half of the upstreams.
_DEMO_DOMAIN = "sejong-2"
_LOOKUP_COUNT = 30
#: A daemon without recent requests of an organisation may refuse one with 429 although
#: the limit is not reached. Callers retry after the Retry-After time, which is 1 s.
_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 1.0
_UPSTREAMS_PER_POOL = 2
_DECISION_EVENTS = ("routing", "action", "refusal", "request-end")


@click.command()
@click.option(
    "--keep", is_flag=True, help="Only start the deployment, and run until Ctrl-C."
)
def main(keep: bool) -> None:
    """Run the demonstration."""
    with (
        tempfile.TemporaryDirectory(prefix="galenashift-demo-") as directory,
        Deployment(directory=Path(directory)) as deployment,
    ):
        document = load_example(_EXAMPLE_PATH)
        _start(deployment, document)
        _configure(deployment)
        if keep:
            _keep_running(deployment)
            return
        review = _review_dossier(deployment)
        _confirm_swap_twice(deployment)
        _show_decisions(deployment, review)
        _take_domain_out_and_back(deployment)
        _explain_refusal(deployment)
        _shut_down(deployment)
    click.echo("\nThe demonstration is complete; all its processes have ended.")


def _start(deployment: Deployment, document: object) -> None:
    assert isinstance(document, dict)
    _heading("Start the stand-ins of the platform and the upstreams")
    deployment.start_upstreams(upstream_specs(document, per_pool=_UPSTREAMS_PER_POOL))
    click.echo(f"{len(deployment.upstreams_by_id)} upstreams in 4 failure domains")
    _heading("Start three daemons")
    domains = list(document["failure_domains"])
    for number in range(_DAEMONS):
        daemon = deployment.start_daemon(
            daemon_id=f"daemon-{number + 1}",
            failure_domain=domains[number],
            region=_REGION,
        )
        click.echo(f"{daemon.daemon_id}: {daemon.caller_url} in {domains[number]}")
    for daemon in deployment.daemons_by_id.values():
        daemon.process.wait_ready()
    deployment.wait_fleet_connected()


def _configure(deployment: Deployment) -> None:
    _heading("Plan and confirm the Office's configuration")
    daemon = _daemon(deployment, 1)
    plan_path = str(deployment.directory / "plan.json")
    _run_command(
        daemon, "plan", str(_EXAMPLE_PATH), "--output", plan_path, shown_lines=6
    )
    _run_command(daemon, "confirm", plan_path)
    deployment.wait_all_ready()
    click.echo("all daemons are ready")


def _review_dossier(deployment: Deployment) -> str:
    _heading("Stream a dossier review through daemon-2")
    daemon = _daemon(deployment, 2)
    # The lookup makes the daemon request a grant of the organisation's limits.
    _send_lookup(daemon)
    tokens = []
    with open_events(
        url=f"{daemon.caller_url}/v1/pipelines/dossier-review",
        headers={"authorization": f"Bearer {_API_KEY}"},
        document={"input": {"dossier": "stratum 7 of Chungnam"}, "stream": True},
    ) as stream:
        for event in stream.events:
            if event.name == "token":
                tokens.append(event.data["text"])
            else:
                click.echo(f"{event.name}: {json.dumps(event.data)[:200]}")
    click.echo(f"{len(tokens)} tokens: {''.join(tokens)[:100]} ...")
    return stream.headers_by_name["galenashift-request-id"]


def _confirm_swap_twice(deployment: Deployment) -> None:
    _heading("Send one swap confirmation through two daemons")
    key = new_time_ordered_id(wall_time_s=time.time(), random=Random())
    for number in (1, 3):
        _send_lookup(_daemon(deployment, number))
        reply = call_pipeline(
            daemon=_daemon(deployment, number),
            pipeline="swap-confirmation",
            api_key=_API_KEY,
            document={"swap": "S-1024", "from": "Chungnam", "to": "Sejong"},
            headers={"idempotency-key": key},
        )
        click.echo(f"daemon-{number}: {reply.status} {reply.body.decode()[:300]}")
    commits = [
        each
        for each in deployment.executions(pool="swap-ledger")
        if each["operation"] == "commit"
    ]
    click.echo(f"the ledger executed {len(commits)} commit")
    if len(commits) != 1:
        raise SystemExit(f"expected 1 commit, the ledger executed {len(commits)}")


def _show_decisions(deployment: Deployment, request_id: str) -> None:
    _heading(f"Explain request {request_id}")
    _run_command(_daemon(deployment, 2), "explain", request_id)
    _heading("Decision lines in the log of daemon-1")
    lines = _daemon(deployment, 1).process.log_tail(lines=1000).splitlines()
    for line in lines:
        if any(f"event={name}" in line for name in _DECISION_EVENTS):
            click.echo(line)


def _take_domain_out_and_back(deployment: Deployment) -> None:
    _heading(f"Take the failure domain {_DEMO_DOMAIN} out")
    _change_domain(deployment, "out")
    _wait_in_force(deployment, "out")
    executed = _send_lookups(deployment)
    click.echo(
        f"{_LOOKUP_COUNT} lookups through all daemons: {executed} of them ran there"
    )
    if executed:
        raise SystemExit(f"{_DEMO_DOMAIN} is out and executed {executed} lookups")
    _heading(f"Bring {_DEMO_DOMAIN} back in")
    _change_domain(deployment, "in")
    _wait_in_force(deployment, "in")
    executed = _send_lookups(deployment)
    click.echo(
        f"{_LOOKUP_COUNT} lookups through all daemons: {executed} of them ran there"
    )
    if not executed:
        raise SystemExit(f"{_DEMO_DOMAIN} is in again and executed no lookup")
    _run_command(_daemon(deployment, 1), "status")


def _change_domain(deployment: Deployment, state: str) -> None:
    daemon = _daemon(deployment, 1)
    plan_path = str(deployment.directory / f"{state}.json")
    _run_command(daemon, "domain", state, _DEMO_DOMAIN, "--output", plan_path)
    _run_command(daemon, "confirm", plan_path)


def _wait_in_force(deployment: Deployment, state: str) -> None:
    def is_in_force() -> bool:
        return all(
            {"failure_domain": _DEMO_DOMAIN, "region": _REGION, "state": state}
            in deployment.call_operator_api(each, "GET", "/operator/status").json()[
                "failure_domains"
            ]
            for each in deployment.daemons_by_id.values()
        )

    deployment.wait_until(is_in_force, what=f"{_DEMO_DOMAIN} {state} on all daemons")
    click.echo(f"in force on all daemons: {_DEMO_DOMAIN} {state}")


def _send_lookups(deployment: Deployment) -> int:
    """Send lookups through all daemons.

    :returns: Number of lookups executed in the failure domain of the demonstration.
    """
    before = _lookups_in_domain(deployment)
    for index in range(_LOOKUP_COUNT):
        reply = _send_lookup(_daemon(deployment, index % _DAEMONS + 1))
        if reply.status != 200:
            raise SystemExit(f"lookup: {reply.status} {reply.body.decode()[:300]}")
    return _lookups_in_domain(deployment) - before


def _send_lookup(daemon: DaemonHandle) -> Reply:
    """Send one lookup, and retry while it is refused because of a limit."""
    for _ in range(_MAX_ATTEMPTS):
        reply = call_pipeline(
            daemon=daemon,
            pipeline="balance-lookup",
            api_key=_API_KEY,
            document={"province": "chungnam"},
        )
        if reply.status != 429:
            break
        click.echo(
            f"{daemon.daemon_id}: 429 not-run, retrying after {_RETRY_DELAY_S:g} s"
        )
        time.sleep(_RETRY_DELAY_S)
    return reply


def _lookups_in_domain(deployment: Deployment) -> int:
    specs = upstream_specs(load_example(_EXAMPLE_PATH), per_pool=_UPSTREAMS_PER_POOL)
    domains_by_id = {spec.upstream_id: spec.failure_domain for spec in specs}
    return sum(
        domains_by_id[each["upstream_id"]] == _DEMO_DOMAIN
        for each in deployment.executions(pool="swap-ledger")
    )


def _explain_refusal(deployment: Deployment) -> None:
    _heading("Explain a refused request through another daemon")
    reply = call_pipeline(
        daemon=_daemon(deployment, 2),
        pipeline="swap-confirmations",
        api_key=_API_KEY,
        document={"swap": "S-1025"},
    )
    click.echo(f"{reply.status} {reply.body.decode()}")
    request_id = reply.headers_by_name["galenashift-request-id"]
    _run_command(_daemon(deployment, 3), "explain", request_id)


def _keep_running(deployment: Deployment) -> None:
    daemon = _daemon(deployment, 1)
    address = daemon.operator_url.removeprefix("http://")
    _heading("The deployment runs until Ctrl-C; in another terminal:")
    click.echo(f"export GALENASHIFT_DAEMON={address}")
    click.echo(f"export GALENASHIFT_OPERATOR_TOKEN={OPERATOR_TOKEN}")
    click.echo(f"export CALLERS={daemon.caller_url}")
    click.echo(f"export KEY={_API_KEY}")
    # Both signals interrupt the wait, so that the deployment ends its processes.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    with suppress(KeyboardInterrupt):
        signal.pause()


def _shut_down(deployment: Deployment) -> None:
    _heading("Shut the daemons down gracefully")
    for daemon in deployment.daemons_by_id.values():
        daemon.process.terminate()
    for daemon in deployment.daemons_by_id.values():
        code = daemon.process.wait_end()
        click.echo(f"{daemon.daemon_id}: exit code {code}")
        if code != 0:
            raise SystemExit(f"{daemon.daemon_id} did not shut down gracefully")


def _daemon(deployment: Deployment, number: int) -> DaemonHandle:
    return deployment.daemons_by_id[f"daemon-{number}"]


def _run_command(
    daemon: DaemonHandle, *arguments: str, shown_lines: int | None = None
) -> None:
    """Run a command of the command-line interface and print its output."""
    address = daemon.operator_url.removeprefix("http://")
    command = [sys.executable, "-m", "galenashift", *arguments, "--daemon", address]
    click.echo(f"$ galenashift {' '.join(arguments)} --daemon {address}")
    done = subprocess.run(
        command,
        env={**os.environ, "GALENASHIFT_OPERATOR_TOKEN": OPERATOR_TOKEN},
        capture_output=True,
        text=True,
        check=False,
    )
    lines = (done.stdout + done.stderr).splitlines()
    for line in lines[:shown_lines]:
        click.echo(line)
    if len(lines) > len(lines[:shown_lines]):
        click.echo(f"... {len(lines) - len(lines[:shown_lines])} more lines")
    if done.returncode != 0:
        raise SystemExit(f"galenashift {arguments[0]}: exit code {done.returncode}")


def _heading(text: str) -> None:
    click.echo(f"\n== {text}")


if __name__ == "__main__":
    main()
