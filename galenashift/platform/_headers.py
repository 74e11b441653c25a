"""Headers of requests and answers, decoded into typed fields."""

from collections.abc import Iterable, Sequence

from galenashift.model import (
    AnswerFields,
    Handle,
    OrganisationId,
    PromptPart,
    RequestFields,
    UpstreamId,
    UpstreamLoad,
)

Headers = Sequence[tuple[bytes, bytes]]

_ATTEMPT_ID = b"galenashift-attempt-id"
_WAIT_MS = b"galenashift-deadline-ms"
_API_KEY = b"x-api-key"
_PROMPT_PARTS = b"galenashift-prefix-hash"
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

#: Headers that concern one connection only.
_HOP_HEADERS = frozenset(
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
#: Headers that only the system may set at an upstream.
_SYSTEM_HEADERS = frozenset(
    {
        _API_KEY,
        _EXPECTED_UPSTREAM,
        _ORGANISATION,
        _INPUTS,
        _RANK,
        _WAIT_MS,
        _LAST_EVENT_ID,
        b"galenashift-hold",
        b"galenashift-pin-ms",
        b"galenashift-kv-backup",
        b"galenashift-expect-version",
        b"kv-from",
        b"kv-fetch",
    }
)
_MAX_RANK = 9


class HeaderError(ValueError):
    """A header of a request cannot be read."""


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header.

    :param headers: Names in lower case, with their values.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1").strip()
    return None


def decode_request(headers: Headers) -> RequestFields:
    """Decode what a caller says about its request.

    :param headers: Names in lower case, with their values.
    :raises HeaderError: If a header cannot be read.
    """
    wait_ms = find_header(headers, _WAIT_MS)
    counts = find_header(headers, _PIECE_COUNTS)
    parts = find_header(headers, _PROMPT_PARTS)
    try:
        return RequestFields(
            attempt_id=find_header(headers, _ATTEMPT_ID) or "",
            wait_s=None if wait_ms is None else float(wait_ms) / 1000,
            api_key=find_header(headers, _API_KEY),
            prompt_parts=tuple(_decode_parts(parts or "")),
            piece_counts=tuple(int(each) for each in (counts or "").split(",") if each),
            piece_key=find_header(headers, _PIECE_KEY) or "",
            last_event_id=find_header(headers, _LAST_EVENT_ID),
        )
    except ValueError as error:
        raise HeaderError(f"a header is malformed: {error}") from error


def _decode_parts(text: str) -> Iterable[PromptPart]:
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id:
            yield PromptPart(part_id=part_id, tokens=int(tokens))


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
    """Make the headers of a request to an upstream.

    :param headers: Headers of the caller, names in lower case.
    :param body_bytes: Length of the body.
    :param wait_s: Time that is left for the answer, in seconds.
    :param upstream_id: Upstream that the request is meant for.
    :param organisation_id: Owner of the caller's key.
    :param rank: Place among the requests of the upstream; 0 is the highest.
    :param inputs: Stage results that the request reads.
    :param last_event_id: Event after which a stream resumes.
    """
    named = _named_by_connection(headers)
    dropped = _HOP_HEADERS | _SYSTEM_HEADERS | named
    result = [(name, value) for name, value in headers if name not in dropped]
    result.append((_WAIT_MS, b"%d" % max(1, int(wait_s * 1000))))
    result.append((_EXPECTED_UPSTREAM, upstream_id.encode()))
    result.append((_RANK, b"%d" % min(max(rank, 0), _MAX_RANK)))
    if organisation_id is not None:
        result.append((_ORGANISATION, organisation_id.encode()))
    if inputs:
        result.append((_INPUTS, ",".join(inputs).encode()))
    if last_event_id is not None:
        result.append((_LAST_EVENT_ID, last_event_id.encode("latin-1")))
    if body_bytes or any(name in _BODY_HEADERS for name, _ in headers):
        result.append((b"content-length", b"%d" % body_bytes))
    return result


_BODY_HEADERS = (b"content-length", b"transfer-encoding")


def expected_upstream(upstream_id: UpstreamId) -> tuple[bytes, bytes]:
    """Make the header by which another upstream at the address refuses a call."""
    return _EXPECTED_UPSTREAM, upstream_id.encode()


def decode_answer(headers: Headers) -> AnswerFields:
    """Decode what an upstream says about itself.

    :param headers: Names in lower case, with their values.
    """
    cold_ms = find_header(headers, _COLD_MS)
    return AnswerFields(
        attempt_id=find_header(headers, _ATTEMPT_ID),
        not_executed=find_header(headers, _NOT_EXECUTED) is not None,
        load=_decode_load(find_header(headers, _LOAD)),
        cold_left_s=_decode_ms(cold_ms),
        signed=find_header(headers, _SIGNATURE) is not None,
    )


def _decode_load(text: str | None) -> UpstreamLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(each) for each in text.split(","))
    except ValueError:
        # Load is advice; an answer with an unreadable one is still an answer.
        return None
    return UpstreamLoad(running=running, waiting=waiting, slots=slots)


def _decode_ms(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text) / 1000
    except ValueError:
        return None


def encode_answer(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Make the headers of an answer to a caller from those of an upstream.

    :param headers: Headers of the upstream, names in lower case.
    """
    dropped = _HOP_HEADERS | _named_by_connection(headers)
    return [(name, value) for name, value in headers if name not in dropped]


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return frozenset(named - {b"close", b"keep-alive"})


def idle_timeout_s(headers: Headers) -> float | None:
    """Read how long an upstream keeps an idle connection, in seconds."""
    text = find_header(headers, b"keep-alive")
    if text is None:
        return None
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
