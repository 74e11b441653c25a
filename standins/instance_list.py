"""Runs the stand-in of the instance list: ``python -m standins.instance_list``."""

import click

from ._control import run
from ._instance_list import InstanceList


@click.command()
@click.option("--port", default=0, help="TCP port on loopback, 0 for any free one.")
@click.option("--lag", default=0.0, show_default=True, help="Seconds of lag.")
def main(port: int, lag: float) -> None:
    """Serve an empty instance list until the process ends."""
    run(InstanceList(lag_s=lag), port=port)


if __name__ == "__main__":
    main()
