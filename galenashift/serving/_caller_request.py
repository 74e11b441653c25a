"""Authenticates, checks and decodes the HTTP requests of callers."""

import hashlib
import hmac
import json
from collections.abc import Mapping
from dataclasses import dataclass

from galenashift.config import Configuration, PipelineConfig
from galenashift.model import (
    Failure,
    Fingerprint,
    JsonObject,
    OrganisationId,
    PipelineName,
    Reason,
    not_run,
)
from galenashift.state import IssuedKey, check_key_age, parse_key

from ._http import bearer_token, decode_json_object, malformed, token_digest

_BODY_FIELDS = {"input", "stream"}


@dataclass(frozen=True, kw_only=True)
class CallerBody:
    """The decoded body of a caller's request."""

    #: Input of the pipeline.
    input: JsonObject
    #: Whether to stream the tokens as they are generated.
    stream: bool


def authenticate(
    *, headers: Mapping[str, tuple[str, ...]], document: Configuration
) -> OrganisationId | Failure:
    """Find the organisation that the caller's API key belongs to.

    All digests are compared, each in constant time, so that the duration reveals
    nothing about the keys.

    :param headers: Values by lower-case name.
    :param document: The configuration in force.
    """
    token = bearer_token(headers)
    if isinstance(token, Failure):
        return token
    digest = token_digest(token)
    found: OrganisationId | None = None
    for organisation, config in document.organisations.items():
        if hmac.compare_digest(config.key_digest, digest):
            found = organisation
    if found is None:
        detail = "unknown API key"
        return not_run(reason=Reason.UNAUTHENTICATED, detail=detail)
    return found


def find_pipeline(
    *, name: str, document: Configuration
) -> tuple[PipelineName, PipelineConfig] | Failure:
    """Find a pipeline by the name in the path.

    :param name: The name, not checked yet.
    :param document: The configuration in force.
    """
    pipeline = document.pipelines.get(PipelineName(name))
    if pipeline is None:
        detail = f"no pipeline is named {name[:64]!a}"
        return not_run(reason=Reason.UNKNOWN_PIPELINE, detail=detail)
    return PipelineName(name), pipeline


def read_caller_body(body: bytes) -> CallerBody | Failure:
    """Decode and check the body of a request.

    :param body: Bytes of the whole body.
    """
    data = decode_json_object(body)
    if isinstance(data, Failure):
        return data
    unknown = sorted(set(data) - _BODY_FIELDS)
    if unknown:
        return malformed(f"unknown field {unknown[0][:64]!a}")
    if not isinstance(data.get("input"), dict):
        return malformed("field 'input' must be a JSON object")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        return malformed("field 'stream' must be true or false")
    return CallerBody(input=data["input"], stream=stream)


def read_issued_key(
    *, headers: Mapping[str, tuple[str, ...]], wall_now_s: float
) -> IssuedKey | Failure:
    """Read the idempotency key of a request to a non-idempotent pipeline.

    :param headers: Values by lower-case name.
    :param wall_now_s: Unix time, in seconds.
    """
    keys = headers.get("idempotency-key", ())
    if keys and (len(keys) > 1 or not keys[0]):
        return malformed("Idempotency-Key: send one of 1 to 128 printable characters")
    issued_at_values = headers.get("idempotency-issued-at", ())
    # Several values are joined, so that `parse_key` refuses them as an invalid time
    # instead of treating the time as missing.
    issued_key = parse_key(
        key=keys[0] if keys else None,
        issued_at=", ".join(issued_at_values) if issued_at_values else None,
    )
    if isinstance(issued_key, Failure):
        return issued_key
    expired = check_key_age(issued_at_s=issued_key.issued_at_s, now_s=wall_now_s)
    return issued_key if expired is None else expired


def compute_fingerprint(
    *, organisation: OrganisationId, pipeline: PipelineName, input: JsonObject
) -> Fingerprint:
    """Compute a digest that is equal for repeated sends of the same request.

    :param organisation: Organisation of the caller.
    :param pipeline: Pipeline to run.
    :param input: The caller's input object.
    :returns: 64 hexadecimal digits.
    """
    text = json.dumps(input, sort_keys=True, separators=(",", ":"))
    content = f"{organisation}\0{pipeline}\0{text}"
    return Fingerprint(hashlib.sha256(content.encode()).hexdigest())
