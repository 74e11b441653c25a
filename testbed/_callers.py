"""Callers that record the answers they receive, and the answers to expect."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import httpcore

from standins._engine import tokens_of
from standins._upstream import digest_of

from ._deployment import DaemonHandle, call_pipeline
from ._http import Reply, open_events

_RETRY_INTERVAL_S = 0.05


@dataclass(frozen=True, kw_only=True)
class StreamOutcome:
    """What the caller of one stream received."""

    #: Index of each token in order of arrival.
    indexes: tuple[int, ...]
    #: Text of each token in order of arrival.
    texts: tuple[str, ...]
    #: Number of tokens that ``event: end`` gives; None without this event.
    count: int | None
    #: Data of ``event: error``; None without this event.
    error: Any
    #: Status and body of a refusal before the stream began; None if it began.
    refusal: str | None
    #: Whether the connection broke before the end of the answer.
    aborted: bool


def expected_lookup(document: Mapping[str, Any], *, operation: str = "lookup") -> Any:
    """Compute the answer that a ledger stand-in gives to an operation."""
    receipt = digest_of([operation, dict(document)])[:16]
    return {"operation": operation, "receipt": receipt}


def expected_tokens(document: Mapping[str, Any], *, count: int = 20) -> list[str]:
    """Compute the tokens of the small configuration's pipeline ``generate``."""
    results = {"look": expected_lookup(document)}
    return tokens_of({"input": dict(document), "results": results, "max_tokens": count})


def call_until_admitted(
    *,
    daemon: DaemonHandle,
    pipeline: str,
    api_key: str,
    document: Mapping[str, Any],
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Send a unary request, and repeat it while a limit refuses it (429)."""
    while True:
        reply = call_pipeline(
            daemon=daemon,
            pipeline=pipeline,
            api_key=api_key,
            document=document,
            headers=headers,
        )
        if reply.status != 429 or reply.verdict != "not-run":
            return reply
        time.sleep(_RETRY_INTERVAL_S)


def stream_until_admitted(
    *,
    daemon: DaemonHandle,
    pipeline: str,
    api_key: str,
    document: Mapping[str, Any],
    on_token: Callable[[int], None] | None = None,
) -> StreamOutcome:
    """Send a streaming request, and repeat it while a limit refuses it (429)."""
    while True:
        outcome = stream_pipeline(
            daemon=daemon,
            pipeline=pipeline,
            api_key=api_key,
            document=document,
            on_token=on_token,
        )
        if not (outcome.refusal or "").startswith("status 429"):
            return outcome
        time.sleep(_RETRY_INTERVAL_S)


def stream_pipeline(
    *,
    daemon: DaemonHandle,
    pipeline: str,
    api_key: str,
    document: Mapping[str, Any],
    on_token: Callable[[int], None] | None = None,
    timeout_s: float = 30.0,
) -> StreamOutcome:
    """Send a streaming request as a caller and read the stream to its end.

    :param document: The request's ``input`` object.
    :param on_token: Called with the index of each token on its arrival.
    """
    tokens: list[tuple[int, str]] = []
    count: int | None = None
    error: Any = None
    refusal: str | None = None
    aborted = False
    try:
        with open_events(
            url=f"{daemon.caller_url}/v1/pipelines/{pipeline}",
            headers={
                "authorization": f"Bearer {api_key}",
                "content-type": "application/json",
            },
            document={"input": dict(document), "stream": True},
            timeout_s=timeout_s,
        ) as stream:
            for event in stream.events:
                match event.name:
                    case "token":
                        tokens.append((event.data["index"], event.data["text"]))
                        if on_token is not None:
                            on_token(event.data["index"])
                    case "end":
                        count = event.data["count"]
                    case "error":
                        error = event.data
    except (httpcore.NetworkError, httpcore.RemoteProtocolError):
        aborted = True
    except RuntimeError as refused:
        refusal = str(refused)
    return StreamOutcome(
        indexes=tuple(index for index, _ in tokens),
        texts=tuple(text for _, text in tokens),
        count=count,
        error=error,
        refusal=refusal,
        aborted=aborted,
    )
