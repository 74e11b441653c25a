"""Decoding and encoding of the headers of requests and answers."""

import re
from collections.abc import Iterable, Sequence

from galenashift.model import (
    AnswerFields,
    Handle,
    OrganisationId,
    Pause,
    PromptPart,
    RateLimit,
    RequestFields,
    StatedLimit,
    StatedPause,
    UnreadableValue,
    UpstreamId,
    UpstreamLoad,
)

from ._decoding import MAX_DURATION_MS, parse_integer, parse_milliseconds

Headers = Sequence[tuple[bytes, bytes]]

_ATTEMPT_ID = b"galenashift-attempt-id"
_DEADLINE_MS = b"galenashift-deadline-ms"
_API_KEY = b"x-api-key"
_PROMPT_PARTS = b"galenashift-prefix-hash"
_TOKEN_USAGE = b"galenashift-token-usage"
_PIECE_COUNTS = b"galenashift-pieces"
_PIECE_KEY = b"galenashift-piece-key"
_LAST_EVENT_ID = b"last-event-id"
_NOT_EXECUTED = b"galenashift-not-executed"
_LOAD = b"galenashift-instance-load"
_COLD_MS = b"galenashift-cold-ms"
_SIGNATURE = b"galenashift-engine-signature"
_EXPECTED_UPSTREAM = b"galenashift-expect-instance"
_ORGANISATION = b"galenashift-tenant"
_INPUTS = b"galenashift-inputs"
_RANK = b"galenashift-request-priority"
_RATE_LIMIT = b"server-limit"
_DRAINING = b"server-leaving"
_PAUSE = b"retry-after"

#: Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
#: Headers that are not forwarded from callers: the daemon sets them itself, or an
#: upstream must not receive them.
_RESERVED_HEADERS = frozenset(
    {
        _API_KEY,
        _EXPECTED_UPSTREAM,
        _ORGANISATION,
        _INPUTS,
        _RANK,
        _DEADLINE_MS,
        _LAST_EVENT_ID,
        b"galenashift-hold",
        b"galenashift-pin-ms",
        b"galenashift-kv-backup",
        b"galenashift-expect-version",
        b"kv-from",
        b"kv-fetch",
    }
)
_UNAVAILABLE = 503
#: Statuses that tell a caller that its request has not been executed and will not be.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, _UNAVAILABLE})
_MAX_RANK = 9
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
#: Characters of a malformed value that are logged.
_MAX_SHOWN = 40
#: Most pieces of all stages of a request. Each piece takes memory in the batching
#: daemon, so a larger count would exhaust it.
MAX_PIECES = 10_000
#: Most tokens of a prompt, and of an output.
_MAX_TOKENS = 1_000_000_000
#: Most requests or slots of a reported load. A larger figure is an error, and would
#: keep all requests away from the upstream.
_MAX_LOAD = 1_000_000
#: Figure of an upstream whose work takes as long as usual.
_USUAL_SLOWNESS = 100
#: Largest figure for slowness that is accepted, a hundred times the usual one.
_MAX_SLOWNESS = 10_000


class HeaderError(ValueError):
    """A request header cannot be decoded."""


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header.

    :param headers: Headers with names in lower case.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1").strip()
    return None


def decode_request(headers: Headers) -> RequestFields:
    """Decode the request metadata in a caller's headers.

    :param headers: Headers with names in lower case.
    :raises HeaderError: If a header cannot be decoded.
    """
    wait_ms = find_header(headers, _DEADLINE_MS)
    counts = find_header(headers, _PIECE_COUNTS)
    parts = find_header(headers, _PROMPT_PARTS)
    try:
        return RequestFields(
            attempt_id=find_header(headers, _ATTEMPT_ID) or "",
            wait_s=None if wait_ms is None else parse_milliseconds(wait_ms),
            api_key=find_header(headers, _API_KEY),
            prompt_parts=tuple(_decode_prompt_parts(parts or "")),
            piece_counts=_decode_piece_counts(counts or ""),
            piece_key=find_header(headers, _PIECE_KEY) or "",
            last_event_id=find_header(headers, _LAST_EVENT_ID),
            tokens=_decode_tokens(find_header(headers, _TOKEN_USAGE)),
        )
    except ValueError as error:
        raise HeaderError(f"malformed request header: {error}") from error


def _decode_piece_counts(text: str) -> tuple[int, ...]:
    counts = tuple(
        parse_integer(each, maximum=MAX_PIECES) for each in text.split(",") if each
    )
    if sum(counts) > MAX_PIECES:
        raise ValueError(f"the request has more than {MAX_PIECES} pieces")
    return counts


def _decode_tokens(text: str | None) -> int:
    """Return the tokens of the prompt and the most of the output together."""
    if text is None:
        return 0
    try:
        prompt, output = text.split(",")
        return parse_integer(prompt, maximum=_MAX_TOKENS) + parse_integer(
            output, maximum=_MAX_TOKENS
        )
    except ValueError:
        # The tokens only inform routing; upstreams judge the header themselves.
        return 0


def _decode_prompt_parts(text: str) -> Iterable[PromptPart]:
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id:
            yield PromptPart(part_id=part_id, tokens=parse_integer(tokens))


def encode_request(
    *,
    headers: Headers,
    body_bytes: int,
    wait_s: float,
    upstream_id: UpstreamId,
    organisation_id: OrganisationId | None,
    rank: int,
    inputs: Sequence[Handle],
    last_event_id: str | None,
) -> list[tuple[bytes, bytes]]:
    """Build the headers of a request to an upstream.

    :param headers: Headers of the caller's request, with names in lower case.
    :param body_bytes: Length of the body in bytes.
    :param wait_s: Time until the deadline of the answer, in seconds.
    :param upstream_id: Upstream that the request is sent to.
    :param organisation_id: Organisation of the caller's API key.
    :param rank: Priority at the upstream; 0 is the highest.
    :param inputs: Stage results that are inputs of the request.
    :param last_event_id: Event after which the upstream resumes a stream.
    """
    options = _connection_options(headers)
    excluded = _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS | options
    result = [(name, value) for name, value in headers if name not in excluded]
    result.append((_DEADLINE_MS, b"%d" % max(1, int(wait_s * 1000))))
    result.append((_EXPECTED_UPSTREAM, upstream_id.encode()))
    result.append((_RANK, b"%d" % min(max(rank, 0), _MAX_RANK)))
    if organisation_id is not None:
        result.append((_ORGANISATION, organisation_id.encode()))
    if inputs:
        result.append((_INPUTS, ",".join(inputs).encode()))
    if last_event_id is not None:
        result.append((_LAST_EVENT_ID, last_event_id.encode("latin-1")))
    if body_bytes or any(name in _BODY_LENGTH_HEADERS for name, _ in headers):
        result.append((b"content-length", b"%d" % body_bytes))
    return result


_BODY_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


def expected_upstream_header(upstream_id: UpstreamId) -> tuple[bytes, bytes]:
    """Build the header that names the intended upstream.

    Another upstream that has taken over the address rejects a call with this header.
    """
    return _EXPECTED_UPSTREAM, upstream_id.encode()


def decode_answer(headers: Headers, *, status: int) -> AnswerFields:
    """Decode the metadata in the headers of an upstream's answer.

    :param headers: Headers with names in lower case.
    :param status: Status of the answer.
    """
    cold_ms = find_header(headers, _COLD_MS)
    load = _decode_load(find_header(headers, _LOAD))
    return AnswerFields(
        attempt_id=find_header(headers, _ATTEMPT_ID),
        not_executed=find_header(headers, _NOT_EXECUTED) is not None,
        load=load if isinstance(load, UpstreamLoad) else None,
        unreadable_load=load if isinstance(load, UnreadableValue) else None,
        cold_left_s=None if cold_ms is None else _decode_milliseconds(cold_ms),
        signed=find_header(headers, _SIGNATURE) is not None,
        stated_limit=_decode_rate_limit(headers),
        stated_pause=_decode_pause(headers) if status == _UNAVAILABLE else None,
        draining=_decode_draining(headers),
    )


def _decode_rate_limit(headers: Headers) -> StatedLimit:
    match _decode_decimal(headers, _RATE_LIMIT):
        case float(per_s):
            return RateLimit(per_s=per_s)
        case other:
            return other


def _decode_pause(headers: Headers) -> StatedPause:
    match _decode_decimal(headers, _PAUSE):
        case float(duration_s):
            return Pause(duration_s=duration_s)
        case other:
            return other


def _decode_decimal(headers: Headers, name: bytes) -> float | UnreadableValue | None:
    text = _join_values(headers, name)
    if text is None:
        return None
    if _DECIMAL.fullmatch(text) is None:
        return UnreadableValue(text=text[:_MAX_SHOWN])
    return float(text)


def _decode_draining(headers: Headers) -> bool | UnreadableValue:
    match _join_values(headers, _DRAINING):
        case None | "0":
            return False
        case "1":
            return True
        case text:
            return UnreadableValue(text=text[:_MAX_SHOWN])


def _join_values(headers: Headers, name: bytes) -> str | None:
    """Return the values of all headers with a name, or None if there are none."""
    values = [value for each, value in headers if each == name]
    if not values:
        return None
    return b",".join(values).decode("latin-1").strip()


def _decode_load(text: str | None) -> UpstreamLoad | UnreadableValue | None:
    if text is None:
        return None
    try:
        running, waiting, slots, *more = text.split(",")
        return UpstreamLoad(
            running=parse_integer(running, maximum=_MAX_LOAD),
            waiting=parse_integer(waiting, maximum=_MAX_LOAD),
            slots=parse_integer(slots, maximum=_MAX_LOAD),
            slowness=_decode_slowness(more),
        )
    except ValueError:
        # The load only informs routing; a malformed value must not fail the answer.
        return UnreadableValue(text=text[:_MAX_SHOWN])


def _decode_slowness(figures: Sequence[str]) -> float | None:
    if not figures:
        return None
    (figure,) = figures
    slowness = parse_integer(figure, maximum=_MAX_SLOWNESS)
    if slowness == 0:
        raise ValueError("work cannot take no time")
    return slowness / _USUAL_SLOWNESS


def _decode_milliseconds(text: str) -> float | None:
    try:
        return parse_milliseconds(text)
    except ValueError:
        # As for the load, the answer stays valid.
        return None


def promises_not_run(status: int) -> bool:
    """Tell whether a status promises a caller that its request is never executed.

    In the answer of an upstream it promises nothing: only `AnswerFields.not_executed`
    does.
    """
    return status in _NOT_RUN_STATUSES


def encode_answer(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Build the headers of an answer to a caller from those of the upstream.

    :param headers: Headers of the upstream's answer, with names in lower case.
    """
    excluded = _HOP_BY_HOP_HEADERS | _connection_options(headers)
    return [(name, value) for name, value in headers if name not in excluded]


def _connection_options(headers: Headers) -> frozenset[bytes]:
    options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return frozenset(options - {b"close", b"keep-alive"})


def idle_timeout_s(headers: Headers) -> float | None:
    """Return the idle timeout of a keep-alive connection, in seconds, if announced."""
    text = find_header(headers, b"keep-alive")
    if text is None:
        return None
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        # `str.isdigit` also accepts digits such as "²", which `int` does not.
        if name.lower() == "timeout" and value.isascii() and value.isdecimal():
            return min(float(value), MAX_DURATION_MS / 1000)
    return None
