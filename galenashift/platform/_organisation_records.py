"""Organisations and their API keys in a routing configuration."""

from collections.abc import Mapping
from typing import Any

from galenashift.model import Organisation, OrganisationId

from ._decoding import to_integer, to_list, to_text, without_nulls

#: Largest distance of a priority rank from 0.
MAX_RANK = 1_000_000

_ORGANISATIONS = "tenants"


def parse_organisations(
    config: Mapping[str, Any],
) -> Mapping[str, Organisation] | None:
    """Return the organisations of a configuration by API key.

    Only a configuration that does not mention organisations needs no keys. One whose
    list is null or empty accepts no key, as its last organisation was removed.

    :param config: Decoded configuration.
    :returns: None if no request needs a key.
    :raises ValueError: If a field is malformed, as are other `DECODING_ERRORS`.
    """
    if _ORGANISATIONS not in config:
        return None
    entries = config[_ORGANISATIONS]
    organisations_by_key: dict[str, Organisation] = {}
    for entry in () if entries is None else to_list(entries):
        data = without_nulls(entry)
        organisation = _parse_organisation(data)
        for key in to_list(data.get("api_keys", [])):
            organisations_by_key[to_text(key)] = organisation
    return organisations_by_key


def _parse_organisation(data: Mapping[str, Any]) -> Organisation:
    return Organisation(
        organisation_id=OrganisationId(to_text(data["name"])),
        rank=parse_rank(data["priority"]) if "priority" in data else None,
    )


def parse_rank(value: object) -> int:
    """Check a priority rank of a route or an organisation.

    :raises ValueError: If it is not an integer from -`MAX_RANK` to `MAX_RANK`.
    """
    return to_integer(value, minimum=-MAX_RANK, maximum=MAX_RANK)
