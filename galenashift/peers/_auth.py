"""Mutual authentication of two daemons with the shared fleet key.

Each side proves with an HMAC-SHA256 over the other's nonce that it knows the fleet
key. The connection is not encrypted: an eavesdropper can read the traffic, and an
attacker who can modify it can inject calls after the handshake.
"""

import hashlib
import hmac
import struct

from galenashift.model import DaemonId, Incarnation

PROTOCOL_VERSION = 1
NONCE_BYTES = 32
_CLIENT_LABEL = b"galenashift hello client"
_SERVER_LABEL = b"galenashift hello server"


def client_proof(
    *,
    fleet_key: bytes,
    challenge: bytes,
    nonce: bytes,
    daemon: DaemonId,
    incarnation: Incarnation,
) -> bytes:
    """Compute the proof that the connecting daemon sends.

    :param fleet_key: Secret shared by all daemons.
    :param challenge: Nonce of the accepting daemon.
    :param nonce: Nonce of the connecting daemon.
    """
    return _digest(
        fleet_key,
        _CLIENT_LABEL,
        challenge,
        nonce,
        daemon.encode(),
        str(incarnation).encode(),
        str(PROTOCOL_VERSION).encode(),
    )


def server_proof(*, fleet_key: bytes, challenge: bytes, nonce: bytes) -> bytes:
    """Compute the proof that the accepting daemon sends."""
    return _digest(fleet_key, _SERVER_LABEL, challenge, nonce)


def proofs_equal(received: bytes, expected: bytes) -> bool:
    """Compare two proofs in constant time."""
    return hmac.compare_digest(received, expected)


def _digest(fleet_key: bytes, *parts: bytes) -> bytes:
    # Length prefixes make the encoding of the parts unambiguous.
    message = b"".join(struct.pack("!I", len(part)) + part for part in parts)
    return hmac.new(fleet_key, message, hashlib.sha256).digest()
