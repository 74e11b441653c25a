"""The settings file that the platform provides to each daemon."""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from galenashift.model import DaemonId, FailureDomainName, RolloutBounds

from ._decoding import DECODING_ERRORS, to_integer, to_number, to_seconds, to_text

#: Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "GALENASHIFT_NODE_FILE"
#: Name among the contracts where demand and upstreams are uneven: requests wait for the
#: memory of all their stages, and are spread by prefix and failure domain.
PRESSURE_CONTRACT = "pressure"

#: Environment variable that overrides `HedgingSettings.share`.
HEDGE_SHARE_VARIABLE = "GALENASHIFT_HEDGE_SHARE"

_MAX_PORT = 65_535
_BYTES_PER_MB = 1_000_000
#: Largest number of cores, seconds, requests, megabytes or Mbit/s in the settings.
_MAX_QUANTITY = 1e9
#: Descriptors of a process whose settings state no limit; the usual limit of Linux.
_DEFAULT_DESCRIPTORS = 1_024
#: Fewest descriptors with which a daemon can reach the store and some upstreams.
_MIN_DESCRIPTORS = 64
#: Bounds of the shares for callers; the rest is needed for the daemon itself.
_MIN_SHARE = 0.01
_MAX_SHARE = 0.6
#: Contract that enables rollouts, and the bounds that it needs.
_ROLLOUT_CONTRACT = "rollout"
_ROLLOUT_BOUNDS = frozenset({"exposure_share", "exposure_extra", "rollback_ms"})


class SettingsError(ValueError):
    """The settings file is unusable; the message names the file or the field."""


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits that the platform imposes on the whole system."""

    #: Time between the termination signal and the kill signal, in seconds.
    grace_s: float
    #: Time after which a draining upstream must receive no new requests, in seconds.
    drain_limit_s: float
    #: Time after which a new configuration must be applied, in seconds.
    config_apply_limit_s: float
    #: Retry budget of a service, as a fraction of its requests in the window.
    retry_ratio: float
    #: Retries of a service that are allowed in a window in addition to the ratio.
    retry_extra: float
    #: Window over which retries are counted, in seconds.
    retry_window_s: float
    #: Limit on the requests per second to a cold upstream, as a multiple of its rate
    #: limit.
    cold_factor: float
    #: Requests per second to a cold upstream in addition to that multiple.
    cold_extra: float


@dataclass(frozen=True, kw_only=True)
class HedgingSettings:
    """When a second upstream is asked while the first is late."""

    #: Share of the requests for which that is done at most, from 0 to 1; 0 turns it
    #: off.
    share: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """What all callers together may use of a daemon."""

    #: Share of the memory limit for what callers send ahead, heads, bodies and answers
    #: that they do not read.
    memory_share: float = 0.15
    #: Share of the descriptors for connections of callers.
    descriptor_share: float = 0.4
    #: Rate below which a body is cut off while more than half of the memory or nine
    #: tenths of the connections are used, in bytes per second.
    min_body_bytes_per_s: float = 1_024.0
    #: Time without progress after which the writing of an answer ends, in seconds.
    write_timeout_s: float = 30.0


@dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """The settings of one daemon, read at its start."""

    daemon_id: DaemonId
    failure_domain: FailureDomainName
    #: Address of the listener for callers.
    callers: Address
    #: Address of the readiness probe.
    ready: Address
    #: Address of the listener for other daemons.
    peers: Address
    #: Address of the platform's store.
    store: Address
    #: CPU limit of the process, in cores.
    cores: float
    #: Memory limit of the process, in bytes.
    memory_bytes: int
    #: Limit on the open descriptors of the process.
    max_descriptors: int
    #: Bandwidth of the instance's network link, in Mbit/s.
    link_mbps: float
    bounds: Bounds
    #: Optional behaviour that the platform asks for; unknown names are kept.
    contracts: frozenset[str] = frozenset()
    hedging: HedgingSettings = field(default_factory=HedgingSettings)
    clients: ClientLimits = ClientLimits()
    #: Limits on rollouts; None if rollouts are not enabled.
    rollout_bounds: RolloutBounds | None = None


def load_settings(
    path: Path, *, environment: Mapping[str, str] | None = None
) -> PlatformSettings:
    """Read the settings file and the environment variables that override it.

    :param path: Path of the TOML file.
    :param environment: Environment variables; those of the process by default.
    :raises SettingsError: If the file cannot be read, or a field is missing or invalid.
    """
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    try:
        settings = _parse_settings(data)
    except DECODING_ERRORS as error:
        raise SettingsError(f"{path}: missing or wrong field: {error!r}") from error
    variables = os.environ if environment is None else environment
    return replace(settings, hedging=_parse_hedging(path, data, variables))


def _parse_hedging(
    path: Path, data: Mapping[str, Any], variables: Mapping[str, str]
) -> HedgingSettings:
    """Decode the settings of hedged requests; the environment comes first.

    :raises SettingsError: If a value is invalid, also one that is overridden.
    """
    table = data.get("hedging", {})
    if not isinstance(table, Mapping):
        raise SettingsError(f"{path}: hedging is not a table")
    share = _to_share(table.get("share", 0.0), name=f"{path}: hedging.share")
    text = variables.get(HEDGE_SHARE_VARIABLE)
    if text is None:
        return HedgingSettings(share=share)
    try:
        value = float(text)
    except ValueError as error:
        raise SettingsError(
            f"{HEDGE_SHARE_VARIABLE}: {text!r:.50} is not a number"
        ) from error
    return HedgingSettings(share=_to_share(value, name=HEDGE_SHARE_VARIABLE))


def _to_share(value: object, *, name: str) -> float:
    try:
        return to_number(value, maximum=1.0)
    except ValueError as error:
        raise SettingsError(f"{name}: {error}") from error


def _parse_settings(data: Mapping[str, Any]) -> PlatformSettings:
    bounds = data["bounds"]
    limits = data["limits"]
    platform = data["platform"]
    contracts = frozenset(to_text(each) for each in _to_list(data, "contracts"))
    return PlatformSettings(
        daemon_id=DaemonId(to_text(data["node"])),
        failure_domain=FailureDomainName(to_text(data["zone"])),
        callers=decode_address(data["listen"]["front"]),
        ready=decode_address(data["listen"]["ready"]),
        peers=Address(
            host=to_text(data["ip"]),
            port=to_integer(data["port_range"][0], maximum=_MAX_PORT),
        ),
        store=decode_address(platform["address"]),
        cores=_to_quantity(limits["cpu_share"]) * _to_quantity(limits["cores"]),
        memory_bytes=int(_to_quantity(limits["memory_mb"]) * _BYTES_PER_MB),
        max_descriptors=to_integer(
            limits.get("max_fds", _DEFAULT_DESCRIPTORS), minimum=_MIN_DESCRIPTORS
        ),
        link_mbps=_to_quantity(limits["link_mbps"]),
        bounds=Bounds(
            grace_s=_to_quantity(bounds["grace_s"]),
            drain_limit_s=to_seconds(bounds["drain_ms"]),
            config_apply_limit_s=to_seconds(bounds["config_apply_ms"]),
            retry_ratio=_to_quantity(bounds["retry_budget_ratio"]),
            retry_extra=_to_quantity(bounds["budget_extra"]),
            retry_window_s=_to_quantity(bounds["budget_window_s"]),
            cold_factor=_to_quantity(bounds["cold_factor"]),
            cold_extra=_to_quantity(bounds["cold_extra"]),
        ),
        contracts=contracts,
        clients=_parse_clients(data.get("clients", {})),
        rollout_bounds=_parse_rollout_bounds(contracts, bounds),
    )


def _parse_rollout_bounds(
    contracts: frozenset[str], bounds: Mapping[str, Any]
) -> RolloutBounds | None:
    """Return the limits on rollouts, or None unless all that they need is given."""
    if _ROLLOUT_CONTRACT not in contracts or not bounds.keys() >= _ROLLOUT_BOUNDS:
        return None
    return RolloutBounds(
        exposure_share=to_number(bounds["exposure_share"], maximum=1.0),
        exposure_extra=_to_quantity(bounds["exposure_extra"]),
        rollback_s=to_seconds(bounds["rollback_ms"]),
    )


def _parse_clients(data: Mapping[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        memory_share=to_number(
            data.get("memory_share", default.memory_share),
            minimum=_MIN_SHARE,
            maximum=_MAX_SHARE,
        ),
        descriptor_share=to_number(
            data.get("descriptor_share", default.descriptor_share),
            minimum=_MIN_SHARE,
            maximum=_MAX_SHARE,
        ),
        min_body_bytes_per_s=_to_quantity(
            data.get("min_body_bytes_per_s", default.min_body_bytes_per_s)
        ),
        write_timeout_s=to_seconds(
            data.get("write_timeout_ms", 1000 * default.write_timeout_s)
        ),
    )


def _to_list(data: Mapping[str, Any], name: str) -> list[Any]:
    """Return an optional list.

    :raises TypeError: If the value is none.
    """
    values = data.get(name, [])
    if not isinstance(values, list):
        raise TypeError(f"{name} is not a list: {values!r:.80}")
    return values


def _to_quantity(value: object) -> float:
    return to_number(value, maximum=_MAX_QUANTITY)


def decode_address(text: str) -> Address:
    """Parse an IPv4 address with a port, such as ``10.0.0.1:80``.

    :raises ValueError: If the text is none. The platform has no name lookups.
    """
    host, _, port = text.rpartition(":")
    try:
        return Address(host=str(IPv4Address(host)), port=_parse_port(port))
    except ValueError as error:
        raise ValueError(f"{text!r:.80} is not an IPv4 address with a port") from error


def _parse_port(text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f"{text!r:.20} is not a port")
    return to_integer(int(text), minimum=1, maximum=_MAX_PORT)
