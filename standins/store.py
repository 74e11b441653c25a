"""Runs the stand-in of the key-value service: ``python -m standins.store``."""

import click

from ._control import run
from ._store import Store


@click.command()
@click.option("--port", default=0, help="TCP port on loopback, 0 for any free one.")
@click.option("--reads-per-second", default=2000.0, show_default=True)
@click.option("--writes-per-second", default=400.0, show_default=True)
def main(port: int, reads_per_second: float, writes_per_second: float) -> None:
    """Serve an empty key-value store until the process ends."""
    store = Store(reads_per_s=reads_per_second, writes_per_s=writes_per_second)
    run(store, port=port)


if __name__ == "__main__":
    main()
