"""Runs the stand-in of a model engine: ``python -m standins.engine``."""

from functools import partial

import click
import trio

from ._connections import serve_crashable
from ._engine import Engine


async def _serve(engine: Engine, port: int) -> None:
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(partial(serve_crashable, engine, port=port))
        print(f"ready port={bound}", flush=True)


@click.command()
@click.option("--port", type=int, required=True, help="TCP port, 0 for a free one.")
@click.option("--id", "upstream_id", required=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--token-interval-s", default=0.02, show_default=True)
@click.option("--cold-bears", default=1, show_default=True)
@click.option("--warm-after-s", default=0.0, show_default=True)
@click.option("--load-lag-s", default=0.0, show_default=True)
@click.option("--restart-after-s", type=float, help="Restart after a crash.")
@click.option("--cache-blocks", default=256, show_default=True)
@click.option("--cache-lag-s", default=0.5, show_default=True)
@click.option("--cache-gap-every", default=20, show_default=True)
@click.option("--checks-fencing/--ignores-fencing", default=True, show_default=True)
@click.option("--load-model-s", default=1.0, show_default=True)
def main(port: int, **options: object) -> None:
    """Run a model engine on loopback."""
    trio.run(_serve, Engine(**options), port)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
