"""Starts the upstreams of an example configuration on loopback."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import yaml

from ._deployment import UpstreamSpec

_SERVICE_KINDS_BY_OPERATION = {
    "encode": "encoder",
    "retrieve": "retriever",
    "rerank": "reranker",
    "lookup": "ledger",
    "commit": "ledger",
}


def load_example(path: Path) -> Mapping[str, Any]:
    """Parse an example configuration without validating it."""
    document: Mapping[str, Any] = yaml.safe_load(path.read_text())
    return document


def upstream_specs(
    document: Mapping[str, Any], *, per_pool: int, engine_options: Sequence[str] = ()
) -> list[UpstreamSpec]:
    """List upstreams for each pool of a configuration, spread over failure domains.

    :param document: A configuration as parsed.
    :param per_pool: Number of upstreams of each pool.
    :param engine_options: Command-line options of the model engines.
    """
    domains = list(document["failure_domains"])
    specs = []
    for pool, config in document["pools"].items():
        is_engine = (config or {}).get("engine", False)
        for number in range(per_pool):
            options = (
                tuple(engine_options)
                if is_engine
                else ("--kind", _service_kind(document, pool))
            )
            specs.append(
                UpstreamSpec(
                    upstream_id=f"{pool}-{number + 1}",
                    pool=pool,
                    failure_domain=domains[number % len(domains)],
                    module="standins.engine" if is_engine else "standins.service",
                    options=options,
                )
            )
    return specs


def _service_kind(document: Mapping[str, Any], pool: str) -> str:
    for pipeline in document["pipelines"].values():
        for stage in pipeline["stages"]:
            if stage["pool"] == pool:
                return _SERVICE_KINDS_BY_OPERATION[stage["operation"]]
    return "ledger"
