"""The command that runs a daemon on the users' platform."""

from pathlib import Path

import click

from galenashift.platform import SettingsError, load_settings


@click.command()
@click.option(
    "--check",
    "file",
    type=click.Path(path_type=Path),
    help="Check a settings file of the platform, and run nothing.",
)
def gateway(file: Path | None) -> None:
    """Run a daemon on the users' platform, which names its settings file."""
    if file is None:
        # The daemon's libraries are loaded only where it runs.
        from galenashift.gateway import run_daemon

        run_daemon()
        return
    try:
        settings = load_settings(file)
    except SettingsError as error:
        raise click.UsageError(str(error)) from error
    click.echo(f"{file}: settings of {settings.daemon_id} are complete")
