"""The settings file of a daemon."""

import ipaddress
from dataclasses import dataclass
from enum import Enum
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    SecretStr,
    model_validator,
)

from ._load import parse_model, read_file
from ._schema import Configuration, Name
from ._units import Seconds
from ._yaml import InvalidFile, Problem


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a TCP port."""

    #: IPv4 or IPv6 address.
    host: str
    #: TCP port, from 1 to 65535.
    port: int

    def __str__(self) -> str:
        """Format as ``IP:port``, with brackets around an IPv6 address."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: object) -> Address:
    """Parse an address.

    :param text: For example ``"127.0.0.1:8080"`` or ``"[::1]:8080"``.
    :raises ValueError: If it is not an IP address and a port.
    """
    if isinstance(text, Address):
        return text
    format_error = ValueError(
        "must be IP:port, for example 10.0.0.5:8080, not a host name"
    )
    if not isinstance(text, str):
        raise format_error
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise format_error
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise format_error
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        raise format_error from None
    if not 1 <= int(port) <= 65535:
        raise ValueError("the port must be from 1 to 65535")
    return Address(host=str(number), port=int(port))


def _validate_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or parts.path not in ("", "/"):
        raise ValueError("must be http://IP:port or https://IP:port")
    parse_address(parts.netloc)
    return text.rstrip("/")


AddressField = Annotated[Address, BeforeValidator(parse_address)]
ServiceUrl = Annotated[str, AfterValidator(_validate_url)]


class LogLevel(Enum):
    """The minimum severity of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class DaemonSettings(BaseModel):
    """Settings of a daemon, fixed while it runs."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    #: Identifier of the daemon, unique in the fleet.
    daemon_id: Name
    #: Failure domain of the instance that the daemon runs on.
    failure_domain: Name
    #: Region that the failure domain belongs to.
    region: Name
    #: Address of the listener for callers.
    caller_address: AddressField
    #: Address of the listener for operators.
    operator_address: AddressField
    #: Address that other daemons connect to.
    peer_address: AddressField
    #: Address that the listener for other daemons binds to, if it differs because
    #: connections are forwarded; ``peer_address`` if unset.
    peer_bind_address: Annotated[Address | None, BeforeValidator(parse_address)] = None
    #: Base URL of the key-value store.
    store_url: ServiceUrl
    #: Base URL of the instance list.
    instance_list_url: ServiceUrl
    #: Secret shared by all daemons, of at least 16 characters.
    fleet_key: Annotated[SecretStr, Field(min_length=16)]
    #: Hexadecimal SHA-256 digest of the token of operators.
    operator_token_digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    #: Maximum time for which a shutdown waits for open requests.
    drain_limit_s: Annotated[Seconds, Field(gt=0, le=86_400)] = 600.0
    #: Memory for bodies of requests that are arriving, in MB.
    caller_memory_mb: Annotated[int, Field(ge=8, le=100_000)] = 64
    #: Maximum number of connections of callers, and at most six tenths of the
    #: descriptors of the process; idle ones are closed for new ones.
    caller_connections: Annotated[int, Field(ge=8, le=1_000_000)] = 10_000
    #: Minimum severity of logged events.
    log_level: LogLevel = LogLevel.INFO

    @model_validator(mode="after")
    def _validate(self) -> "DaemonSettings":
        addresses = {self.caller_address, self.operator_address, self.peer_listener}
        if len(addresses) < 3:
            raise ValueError("peer_address: the three listeners need three addresses")
        return self

    @property
    def peer_listener(self) -> Address:
        """Address that the listener for other daemons binds to."""
        return self.peer_bind_address or self.peer_address


def load_settings(file: str) -> DaemonSettings | InvalidFile:
    """Read a daemon's settings from a YAML file.

    :param file: Path of the file.
    """
    content = read_file(file)
    if isinstance(content, InvalidFile):
        return content
    return parse_settings(content=content, file=file)


def parse_settings(*, content: bytes, file: str) -> DaemonSettings | InvalidFile:
    """Parse a daemon's settings from YAML text.

    :param content: Bytes of the file.
    :param file: Name of the file, for error messages.
    """
    return parse_model(content=content, file=file, model=DaemonSettings)


def check_drain_limit(
    *, settings: DaemonSettings, document: Configuration, file: str
) -> Problem | None:
    """Check that a shutdown waits for every request until its deadline.

    :param settings: Settings of the daemon.
    :param document: Active configuration.
    :param file: Name of the settings file.
    """
    longest_s = max((each.deadline for each in document.pipelines.values()), default=0)
    if longest_s < settings.drain_limit_s:
        return None
    reason = (
        f"{settings.drain_limit_s:g}s must exceed the longest deadline, "
        f"{longest_s:g}s, or a shutdown interrupts requests"
    )
    return Problem(file=file, line=None, path="drain_limit_s", reason=reason)
