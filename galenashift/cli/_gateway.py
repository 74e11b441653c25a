"""The command that runs a daemon with the services of the hosting platform."""

from pathlib import Path

import click

from galenashift.platform import SettingsError, load_settings


@click.command()
@click.option(
    "--check",
    "file",
    type=click.Path(path_type=Path),
    help="Check a settings file of the platform without running a daemon.",
)
def gateway(file: Path | None) -> None:
    """Run a daemon on the hosting platform, which provides the settings path."""
    if file is None:
        # Imported here so that other commands do not load the daemon's libraries.
        from galenashift.gateway import run_daemon

        run_daemon()
        return
    try:
        settings = load_settings(file)
    except SettingsError as error:
        raise click.UsageError(str(error)) from error
    click.echo(f"{file}: settings of {settings.daemon_id} are complete")
