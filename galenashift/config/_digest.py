"""Canonical JSON and digest of a configuration."""

import hashlib
import json

from ._schema import Configuration


def canonical_json(document: Configuration) -> str:
    """Serialize a configuration; equal documents give identical text.

    :param document: A validated configuration.
    """
    data = document.model_dump(mode="json")
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def configuration_digest(document: Configuration) -> str:
    """Compute the SHA-256 digest of a configuration.

    :param document: A validated configuration.
    :returns: 64 hexadecimal digits.
    """
    return hashlib.sha256(canonical_json(document).encode()).hexdigest()
