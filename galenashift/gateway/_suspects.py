"""What in a request may crash the upstream that executes it."""

from collections.abc import Mapping
from hashlib import blake2b

from galenashift.model import REQUEST_DEPTH, Fingerprint, PromptPart, SuspectId

#: Longest id of a prompt part that is used as it is, in characters.
_MAX_PART_LENGTH = 40
#: Prompt parts of one request that are suspects.
_MAX_PARTS = 256


def part_suspects(parts: tuple[PromptPart, ...]) -> Mapping[SuspectId, int]:
    """Return the prompt parts that a request shares with others, with their positions.

    The last part belongs to the single request or session.
    """
    shared = parts[:-1][:_MAX_PARTS]
    return {_part_suspect(part): depth for depth, part in enumerate(shared)}


def request_suspect(fingerprint: Fingerprint) -> Mapping[SuspectId, int]:
    """Return the suspect that stands for all attempts of one request."""
    return {SuspectId(f"request:{fingerprint}"): REQUEST_DEPTH}


def _part_suspect(part: PromptPart) -> SuspectId:
    part_id = part.part_id
    if len(part_id) > _MAX_PART_LENGTH or not (part_id.isascii() and part_id.isalnum()):
        part_id = blake2b(part_id.encode(), digest_size=12).hexdigest()
    return SuspectId(f"part:{part_id}")
