"""The settings file of the platform."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from galenashift.model import DaemonId, FailureDomainName

#: Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "GALENASHIFT_NODE_FILE"


class SettingsError(ValueError):
    """The settings file cannot be used; the message names the field."""


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits on the behaviour of the whole system."""

    #: Time between the signals to stop and to kill, in seconds.
    grace_s: float
    #: Time within which an upstream that leaves must get no new work, in seconds.
    drain_s: float
    #: Time within which a configuration must be in force, in seconds.
    apply_s: float
    #: Repeats as a part of the requests of a service.
    retry_ratio: float
    #: Repeats of a service in a window beyond the ratio.
    retry_extra: float
    #: Window over which repeats are counted, in seconds.
    retry_window_s: float
    #: Requests in a second at a cold upstream, as a multiple of its own limit.
    cold_factor: float
    #: Requests in a second at a cold upstream beyond the multiple.
    cold_extra: float


@dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """What the platform tells a daemon when it starts."""

    daemon_id: DaemonId
    failure_domain: FailureDomainName
    #: Address for callers.
    callers: Address
    #: Address at which the platform asks whether the daemon is ready.
    ready: Address
    #: Address for peer daemons.
    peers: Address
    #: Address of the platform's store.
    store: Address
    #: Processor that the process may use, in cores.
    cores: float
    #: Bandwidth of the instance's link, in Mbit/s.
    link_mbps: float
    bounds: Bounds


def load_settings(path: Path) -> PlatformSettings:
    """Read the settings file.

    :param path: File in the platform's format.
    :raises SettingsError: If the file cannot be read or a field is missing.
    """
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    try:
        return _decode(data)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise SettingsError(f"{path}: missing or wrong field: {error!r}") from error


def _decode(data: Mapping[str, Any]) -> PlatformSettings:
    bounds = data["bounds"]
    limits = data["limits"]
    platform = data["platform"]
    return PlatformSettings(
        daemon_id=DaemonId(str(data["node"])),
        failure_domain=FailureDomainName(str(data["zone"])),
        callers=decode_address(data["listen"]["front"]),
        ready=decode_address(data["listen"]["ready"]),
        peers=Address(host=str(data["ip"]), port=int(data["port_range"][0])),
        store=decode_address(platform["address"]),
        cores=float(limits["cpu_share"]) * float(limits["cores"]),
        link_mbps=float(limits["link_mbps"]),
        bounds=Bounds(
            grace_s=float(bounds["grace_s"]),
            drain_s=float(bounds["drain_ms"]) / 1000,
            apply_s=float(bounds["config_apply_ms"]) / 1000,
            retry_ratio=float(bounds["retry_budget_ratio"]),
            retry_extra=float(bounds["budget_extra"]),
            retry_window_s=float(bounds["budget_window_s"]),
            cold_factor=float(bounds["cold_factor"]),
            cold_extra=float(bounds["cold_extra"]),
        ),
    )


def decode_address(text: str) -> Address:
    """Read an address such as ``10.0.0.1:80``.

    :raises ValueError: If the text has no port.
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is not an address with a port")
    return Address(host=host, port=int(port))
