"""Runs the stand-in of a unary service: ``python -m standins.service``."""

from functools import partial

import click
import trio

from ._connections import serve_crashable
from ._service import ANSWER_BY_KIND, Service


async def _serve(service: Service, port: int) -> None:
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(partial(serve_crashable, service, port=port))
        print(f"ready port={bound}", flush=True)


@click.command()
@click.option("--port", type=int, required=True, help="TCP port, 0 for a free one.")
@click.option("--id", "upstream_id", required=True)
@click.option("--kind", type=click.Choice(sorted(ANSWER_BY_KIND)), required=True)
@click.option("--slots", default=16, show_default=True)
@click.option("--work-s", default=0.005, show_default=True)
@click.option("--cold-bears", default=1, show_default=True)
@click.option("--warm-after-s", default=0.0, show_default=True)
@click.option("--load-lag-s", default=0.0, show_default=True)
@click.option("--restart-after-s", type=float, help="Restart after a crash.")
def main(port: int, **options: object) -> None:
    """Run a plain service on loopback."""
    trio.run(_serve, Service(**options), port)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
