"""HTTP helpers for the caller and operator ASGI applications."""

import hashlib
import json
import math
import traceback
from collections.abc import Awaitable, Callable, Iterable, Mapping, MutableMapping
from dataclasses import dataclass
from typing import Any, NoReturn

import trio

from galenashift.model import Failure, JsonObject, Reason, RequestId, Verdict, not_run

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

#: Maximum nesting of a JSON body; the standard decoder recurses for each level.
MAX_JSON_DEPTH = 64
_JSON_CONTENT_TYPE = b"application/json"


@dataclass(frozen=True, kw_only=True)
class Disconnected:
    """The client closed the connection before its request was complete."""


def headers_by_name(scope: Scope) -> Mapping[str, tuple[str, ...]]:
    """Group the values of the headers by name.

    :param scope: ASGI scope of a request.
    :returns: Values in order, by lower-case name.
    """
    values: dict[str, tuple[str, ...]] = {}
    for raw_name, raw_value in scope["headers"]:
        name = raw_name.decode("latin-1").lower()
        values[name] = (*values.get(name, ()), raw_value.decode("latin-1").strip())
    return values


def bearer_token(headers: Mapping[str, tuple[str, ...]]) -> str | Failure:
    """Read the token of the ``Authorization`` header.

    :param headers: Values by lower-case name.
    """
    values = headers.get("authorization", ())
    scheme, _, token = values[0].partition(" ") if len(values) == 1 else ("", "", "")
    if scheme.lower() != "bearer" or not token.strip():
        detail = "send one header 'Authorization: Bearer <key>'"
        return not_run(reason=Reason.UNAUTHENTICATED, detail=detail)
    return token.strip()


def token_digest(token: str) -> str:
    """Compute the digest of a bearer token, as stored in settings and configuration.

    :param token: Token as it was sent.
    :returns: 64 hexadecimal digits.
    """
    return hashlib.sha256(token.encode("latin-1")).hexdigest()


async def read_body(
    *, scope: Scope, receive: Receive, limit_bytes: int, timeout_s: float
) -> bytes | Failure | Disconnected:
    """Read the whole body of a request.

    :param scope: ASGI scope of the request.
    :param receive: ASGI channel of the request.
    :param limit_bytes: Largest body that is accepted.
    :param timeout_s: Seconds for the whole body.
    """
    too_large = not_run(
        reason=Reason.TOO_LARGE, detail=f"the body is larger than {limit_bytes} bytes"
    )
    headers = headers_by_name(scope)
    lengths = headers.get("content-length", ("",))
    if lengths[0].isdecimal() and (
        len(lengths[0]) > 18 or int(lengths[0]) > limit_bytes
    ):
        return too_large
    if headers.get("content-encoding", ("identity",)) != ("identity",):
        detail = "Content-Encoding is not supported; send the body without it"
        return not_run(reason=Reason.MALFORMED, detail=detail)
    body = bytearray()
    with trio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Disconnected()
            body += message.get("body", b"")
            if len(body) > limit_bytes:
                return too_large
            if not message.get("more_body", False):
                return bytes(body)
    detail = f"the body was incomplete after {timeout_s:g} s"
    return not_run(reason=Reason.MALFORMED, detail=detail)


def decode_json_object(body: bytes) -> JsonObject | Failure:
    """Decode a JSON object strictly.

    Duplicate keys, non-finite numbers, unpaired surrogates and deep nesting are
    refused, because later stages may interpret them differently or fail on them.

    :param body: Bytes of the body.
    """
    try:
        text = body.decode("utf-8")
        _check_depth(text)
        data = json.loads(
            text,
            object_pairs_hook=_object_with_unique_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
        json.dumps(data, ensure_ascii=False).encode("utf-8")
    except UnicodeDecodeError as error:
        return malformed(f"byte {error.start} is not valid UTF-8")
    except UnicodeEncodeError:
        return malformed("a string contains an unpaired surrogate")
    except (ValueError, RecursionError) as error:
        return malformed(f"invalid JSON: {error}")
    if not isinstance(data, dict):
        return malformed("must be a JSON object")
    return data


def error_data(failure: Failure, *, request_id: RequestId | None) -> dict[str, Any]:
    """Build the JSON body of an error.

    :param failure: What went wrong.
    :param request_id: Identifier of the request, if it has one.
    """
    return {
        "error": {
            "reason": failure.reason.value,
            "detail": failure.detail,
            "verdict": failure.verdict.value,
            "request_id": request_id,
        }
    }


async def send_failure(
    send: Send,
    failure: Failure,
    *,
    request_id: RequestId | None = None,
    status: int | None = None,
    extra_headers: Iterable[tuple[bytes, bytes]] = (),
) -> int:
    """Send an error response.

    :param send: ASGI channel of the request.
    :param failure: What went wrong.
    :param request_id: Identifier of the request, if it has one.
    :param status: Status code; by default that of the failure's reason.
    :returns: The status code that was sent.
    """
    headers = [
        (b"galenashift-verdict", failure.verdict.value.encode()),
        *extra_headers,
    ]
    if failure.retry_after_s is not None:
        retry_after_s = max(1, math.ceil(failure.retry_after_s))
        headers.append((b"retry-after", str(retry_after_s).encode()))
    if failure.reason is Reason.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    code = status if status is not None else failure.http_status
    await send_json(
        send,
        error_data(failure, request_id=request_id),
        status=code,
        request_id=request_id,
        extra_headers=headers,
    )
    return code


async def send_json(
    send: Send,
    data: JsonObject,
    *,
    status: int = 200,
    request_id: RequestId | None = None,
    extra_headers: Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete JSON response.

    :param send: ASGI channel of the request.
    :param data: JSON object.
    """
    body = json.dumps(data, allow_nan=False).encode()
    headers = [*extra_headers]
    if request_id is not None:
        headers.append((b"galenashift-request-id", request_id.encode()))
    await send_bytes(
        send,
        body,
        status=status,
        content_type=_JSON_CONTENT_TYPE,
        extra_headers=headers,
    )


async def send_bytes(
    send: Send,
    body: bytes,
    *,
    status: int = 200,
    content_type: bytes,
    extra_headers: Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response.

    :param send: ASGI channel of the request.
    :param body: Content of the response.
    """
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
        *extra_headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def send_health(send: Send, *, path: str, ready: Failure | None) -> None:
    """Answer ``/healthz`` or ``/readyz``.

    :param send: ASGI channel of the request.
    :param path: Path of the request.
    :param ready: Why the daemon is not ready, None if it is.
    """
    if path == "/readyz" and ready is not None:
        await send_failure(send, ready, status=503)
    else:
        health = "ready" if path == "/readyz" else "alive"
        await send_json(send, {"status": health})


async def serve_scope(
    scope: Scope,
    receive: Receive,
    send: Send,
    serve_http: Callable[[Scope, Receive, Send], Awaitable[None]],
) -> None:
    """Handle one ASGI scope; websockets are closed.

    :param serve_http: Answers a request.
    """
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
    elif scope["type"] == "websocket":
        await send({"type": "websocket.close", "code": 1000})
    elif scope["type"] == "http":
        await serve_http(scope, receive, send)


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge lifespan messages; start and shutdown need no work here."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def error_location(error: BaseException) -> str:
    """Describe the type and source location of an exception, for the log.

    :param error: The exception; of a group, the first member is described.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    location = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"
    return f"{type(error).__name__} at {location}"


def internal_failure(verdict: Verdict) -> Failure:
    """Make the failure for an unexpected exception, without its text.

    :param verdict: Whether stages may have run.
    """
    detail = "unexpected error in the daemon; see event internal-error in its log"
    return Failure(verdict=verdict, reason=Reason.INTERNAL, detail=detail)


def malformed(detail: str) -> Failure:
    """Make the failure for a malformed request.

    :param detail: What was wrong, in one line.
    """
    return not_run(reason=Reason.MALFORMED, detail=f"body: {detail}")


def _check_depth(text: str) -> None:
    if text.count("[") + text.count("{") <= MAX_JSON_DEPTH:
        return
    depth = 0
    in_string = escaped = False
    for character in text:
        if in_string:
            if escaped:
                escaped = False
            elif character == "\\":
                escaped = True
            elif character == '"':
                in_string = False
        elif character == '"':
            in_string = True
        elif character in "[{":
            depth += 1
            if depth > MAX_JSON_DEPTH:
                raise ValueError(f"nested deeper than {MAX_JSON_DEPTH} levels")
        elif character in "]}":
            depth -= 1


def _object_with_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    data = dict(pairs)
    if len(data) != len(pairs):
        raise ValueError("an object contains a duplicate key")
    return data


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a JSON number")


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("a number is outside the range of a float")
    return number
