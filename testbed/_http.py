"""Blocking HTTP requests to processes under test."""

import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import httpcore

DEFAULT_TIMEOUT_S = 15.0


@dataclass(frozen=True, kw_only=True)
class Reply:
    """A complete HTTP answer."""

    #: HTTP status.
    status: int
    #: Header values by lower-case name.
    headers_by_name: Mapping[str, str]
    #: Body as received.
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)

    @property
    def verdict(self) -> str | None:
        """Value of the verdict header; None without it."""
        return self.headers_by_name.get("galenashift-verdict")


@dataclass(frozen=True, kw_only=True)
class ServerEvent:
    """One server-sent event."""

    #: Name of the event, for example ``token``.
    name: str
    #: Its data, parsed as JSON.
    data: Any


@dataclass(frozen=True, kw_only=True)
class EventStream:
    """An answer that arrives as server-sent events."""

    #: Header values by lower-case name.
    headers_by_name: Mapping[str, str]
    #: Events in order of arrival.
    events: Iterator[ServerEvent]


def _timeouts(timeout_s: float) -> dict[str, Any]:
    names = ("connect", "read", "write", "pool")
    return {"timeout": dict.fromkeys(names, timeout_s)}


def send(
    *,
    method: str,
    url: str,
    headers: Mapping[str, str] | None = None,
    document: Any = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Reply:
    """Send a request on a new connection and read the whole answer.

    :param document: Body, sent as JSON; no body if None.
    :raises httpcore.NetworkError: If the connection fails.
    """
    content = None if document is None else json.dumps(document).encode()
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            method,
            url,
            headers=list((headers or {}).items()),
            content=content,
            extensions=_timeouts(timeout_s),
        )
    return Reply(
        status=response.status,
        headers_by_name=_headers(response),
        body=response.content,
    )


@contextmanager
def open_events(
    *,
    url: str,
    headers: Mapping[str, str],
    document: Any,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Iterator[EventStream]:
    """Send a streaming request and read its server-sent events as they arrive.

    :raises RuntimeError: If the status is not 200.
    :raises httpcore.RemoteProtocolError: While reading, if the stream is truncated.
    """
    content = json.dumps(document).encode()
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            "POST",
            url,
            headers=list(headers.items()),
            content=content,
            extensions=_timeouts(timeout_s),
        ) as response,
    ):
        if response.status != 200:
            body = response.read()
            raise RuntimeError(f"status {response.status}: {body.decode()}")
        yield EventStream(
            headers_by_name=_headers(response),
            events=_parse_events(response.iter_stream()),
        )


def _headers(response: httpcore.Response) -> dict[str, str]:
    return {name.decode().lower(): value.decode() for name, value in response.headers}


def _parse_events(chunks: Iterator[bytes]) -> Iterator[ServerEvent]:
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        while b"\n\n" in buffer:
            block, buffer = buffer.split(b"\n\n", 1)
            fields = dict(
                line.split(": ", 1) for line in block.decode().splitlines() if line
            )
            yield ServerEvent(name=fields["event"], data=json.loads(fields["data"]))
