"""A small deployment for failure tests, with three pools and three pipelines."""

import copy
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ._deployment import (
    DaemonHandle,
    Deployment,
    UpstreamSpec,
    call_pipeline,
    digest_of_key,
)

#: API keys by organisation.
API_KEYS_BY_ORGANISATION = {"north": "key-of-north", "south": "key-of-south"}
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
REGION = "region-1"

#: Pipelines: ``lookup`` (one call), ``commit`` (a lookup, then a non-idempotent
#: commit on the ledger), ``generate`` (a lookup, then a stream of 20 tokens).
SMALL_CONFIGURATION: Mapping[str, Any] = {
    "deployment": "small",
    "failure_domains": {name: {"region": REGION} for name in FAILURE_DOMAINS},
    "pools": {
        "directory": {},
        "ledger": {},
        "engines": {"engine": True},
    },
    "pipelines": {
        "lookup": {
            "deadline": "4s",
            "priority": 1,
            "stages": [
                {
                    "name": "look",
                    "pool": "directory",
                    "operation": "lookup",
                    "expected": "20ms",
                }
            ],
        },
        "commit": {
            "deadline": "4s",
            "priority": 0,
            "stages": [
                {
                    "name": "look",
                    "pool": "directory",
                    "operation": "lookup",
                    "expected": "20ms",
                },
                {
                    "name": "commit",
                    "pool": "ledger",
                    "operation": "commit",
                    "idempotent": False,
                    "expected": "40ms",
                },
            ],
        },
        "generate": {
            "deadline": "20s",
            "priority": 4,
            "stages": [
                {
                    "name": "look",
                    "pool": "directory",
                    "operation": "lookup",
                    "expected": "20ms",
                },
                {
                    "name": "write",
                    "pool": "engines",
                    "kind": "generate",
                    "operation": "generate",
                    "max_tokens": 20,
                    "expected": "500ms",
                },
            ],
        },
    },
    "organisations": {
        name: {
            "key_digest": digest_of_key(key),
            "limits": {
                "requests_per_second": 500,
                "burst": 1000,
                "tokens_per_second": 100_000,
                "concurrent_requests": 500,
            },
        }
        for name, key in API_KEYS_BY_ORGANISATION.items()
    },
}


@dataclass(frozen=True, kw_only=True)
class SmallOptions:
    """Size of a small deployment, and options of its stand-ins."""

    #: Number of daemons, spread over the failure domains.
    daemons: int = 3
    #: Number of upstreams of the pool ``directory``.
    directories: int = 2
    #: Number of upstreams of the pool ``ledger``.
    ledgers: int = 2
    #: Number of upstreams of the pool ``engines``.
    engines: int = 2
    #: Command-line options of the services in ``directory`` and ``ledger``.
    service_options: tuple[str, ...] = ()
    #: Command-line options of the engines.
    engine_options: tuple[str, ...] = ()


def small_document() -> dict[str, Any]:
    """Return a copy of `SMALL_CONFIGURATION` that a test may change."""
    return copy.deepcopy(dict(SMALL_CONFIGURATION))


def start_small(
    deployment: Deployment,
    *,
    options: SmallOptions | None = None,
    document: Mapping[str, Any] | None = None,
    wait_admission: bool = True,
) -> list[DaemonHandle]:
    """Start upstreams and daemons, and put a configuration into force.

    :param deployment: A deployment whose context has been entered.
    :param options: Sizes; the defaults if None.
    :param document: Configuration; `SMALL_CONFIGURATION` if None.
    :param wait_admission: Whether to wait until each daemon admits a request of each
        organisation, also if the owners of the limits have changed since it became
        ready.
    :returns: The daemons, which are ready.
    """
    options = options or SmallOptions()
    deployment.start_upstreams(_specs(options))
    daemons = [
        deployment.start_daemon(
            daemon_id=f"daemon-{number + 1}",
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            region=REGION,
        )
        for number in range(options.daemons)
    ]
    for daemon in daemons:
        daemon.process.wait_ready()
    deployment.wait_fleet_connected()
    deployment.configure(daemon=daemons[0], document=document or small_document())
    deployment.wait_all_ready()
    for daemon in daemons if wait_admission else ():
        # A new owner of limits grants nothing for 2 s to a daemon without a grant.
        for key in API_KEYS_BY_ORGANISATION.values():
            deployment.wait_until(
                lambda daemon=daemon, key=key: _is_admitted(daemon, key),  # type: ignore[misc]
                what=f"{daemon.daemon_id} admits requests",
            )
    return daemons


def _is_admitted(daemon: DaemonHandle, api_key: str) -> bool:
    reply = call_pipeline(
        daemon=daemon, pipeline="lookup", api_key=api_key, document={"warm-up": True}
    )
    return reply.status == 200


def _specs(options: SmallOptions) -> list[UpstreamSpec]:
    upstream_count_by_pool = {
        "directory": options.directories,
        "ledger": options.ledgers,
        "engines": options.engines,
    }
    specs = []
    for pool, size in upstream_count_by_pool.items():
        is_engine = pool == "engines"
        kind = () if is_engine else ("--kind", "ledger")
        extra_options = options.engine_options if is_engine else options.service_options
        for number in range(size):
            specs.append(
                UpstreamSpec(
                    upstream_id=f"{pool}-{number + 1}",
                    pool=pool,
                    failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                    module="standins.engine" if is_engine else "standins.service",
                    options=(*kind, *extra_options),
                )
            )
    return specs
