"""Runs the soak: ``python -m soak --seed 1 --seconds 20``."""

import random
import sys
import time
from pathlib import Path

import click

from ._report import write_report
from ._rollout_run import run_rollout_seed
from ._run import run_seed


@click.command()
@click.option("--seed", type=int, help="First seed; random by default.")
@click.option("--minutes", default=0.0, help="Run further seeds for this long.")
@click.option(
    "--count", default=1, show_default=True, help="Minimum number of seeds to run."
)
@click.option(
    "--seconds", default=15.0, show_default=True, help="Time with faults for each seed."
)
@click.option("--daemons", default=4, show_default=True)
@click.option("--callers", default=12, show_default=True)
@click.option(
    "--rollouts", is_flag=True, help="Run rollouts, for as long as their orders last."
)
@click.option("--report", type=click.Path(path_type=Path), help="HTML file to write.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Folder to keep settings and logs in.",
)
def main(
    seed: int | None,
    minutes: float,
    count: int,
    seconds: float,
    daemons: int,
    callers: int,
    rollouts: bool,
    report: Path | None,
    keep: Path | None,
) -> None:
    """Check the guarantees of the system under random faults."""
    until_s = time.monotonic() + 60 * minutes
    first = seed if seed is not None else random.SystemRandom().randrange(2**31)
    broken = 0
    number = 0
    while number < count or time.monotonic() < until_s:
        folder = None if keep is None else keep / str(first + number)
        if rollouts:
            outcome = run_rollout_seed(first + number, daemons=daemons, folder=folder)
        else:
            outcome = run_seed(
                first + number,
                seconds=seconds,
                daemons=daemons,
                callers=callers,
                folder=folder,
            )
        number += 1
        broken += bool(outcome.violations)
        verdict = "FAILED" if outcome.violations else "passed"
        click.echo(f"seed {outcome.seed}: {verdict} {dict(outcome.counts)}")
        for note in outcome.notes:
            click.echo(f"  {note}")
        for violation in outcome.violations[:10]:
            click.echo(f"  {violation}")
        if report is not None:
            write_report(outcome, report)
    click.echo(f"{number} seeds, {broken} with violated guarantees")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
