"""Plans: a new document with its changes, and their application."""

import hashlib
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from galenashift.model import (
    ConfigVersion,
    Failure,
    FailureDomainName,
    PlanId,
    Reason,
    not_run,
)

from ._digest import configuration_digest
from ._load import check_configuration
from ._schema import Configuration, DomainState, VersionedConfiguration

#: Largest plan file: a document of 1 MB, its changes and JSON indentation.
MAX_PLAN_BYTES = 4_000_000

_PLAN_FIELDS = {
    "plan_id",
    "base_version",
    "base_digest",
    "document",
    "changes",
    "digest",
}


@dataclass(frozen=True, kw_only=True)
class Change:
    """One difference between two documents."""

    #: Dotted path of the value.
    path: str
    #: JSON value in the base version, None if absent.
    before: Any
    #: JSON value in the new document, None if absent.
    after: Any


@dataclass(frozen=True, kw_only=True)
class Plan:
    """A new document, and the changes from the version that it is based on."""

    #: Identifier of the plan, recorded in the version that its confirmation creates.
    plan_id: PlanId
    #: Version that the plan is based on, 0 for none.
    base_version: ConfigVersion
    #: Digest of the document of that version, empty for none.
    base_digest: str
    #: The document after the changes.
    document: Configuration
    #: Changes from the base version, in order of path.
    changes: tuple[Change, ...]


def make_plan(
    *, base: VersionedConfiguration | None, document: Configuration, plan_id: PlanId
) -> Plan:
    """Create a plan that replaces the active version by a new document.

    :param base: The active version, None if there is none yet.
    :param document: The new document.
    :param plan_id: A unique identifier.
    """
    return Plan(
        plan_id=plan_id,
        base_version=ConfigVersion(base.version if base else 0),
        base_digest=base.digest if base else "",
        document=document,
        changes=_diff_documents(base, document),
    )


def apply_plan(
    *, plan: Plan, base: VersionedConfiguration | None
) -> VersionedConfiguration | Failure:
    """Create the next version from a plan.

    :param plan: The plan to apply.
    :param base: The active version, None if there is none yet.
    :returns: The version to write by compare-and-swap, or a failure with reason
        ``STALE_PLAN`` if the active version is not the one that the plan is based on.
    """
    version = base.version if base else 0
    digest = base.digest if base else ""
    if (plan.base_version, plan.base_digest) != (version, digest):
        detail = (
            f"plan {plan.plan_id} was made for version {plan.base_version}, but "
            f"version {version} is in force; make a new plan"
        )
        return not_run(reason=Reason.STALE_PLAN, detail=detail)
    if plan.changes != _diff_documents(base, plan.document):
        detail = f"plan {plan.plan_id} lists other changes than those of its document"
        return not_run(reason=Reason.INVALID_CONFIGURATION, detail=detail)
    return VersionedConfiguration(
        version=version + 1,
        plan_id=plan.plan_id,
        digest=configuration_digest(plan.document),
        document=plan.document,
    )


def set_domain_state(
    document: Configuration, name: FailureDomainName, state: DomainState
) -> Configuration | Failure:
    """Change the state of a failure domain in a document.

    :param document: The active document.
    :param name: Failure domain to change.
    :param state: The new state of the failure domain.
    :returns: The changed document, or a failure if the failure domain is unknown or
        if no failure domain would remain in service.
    """
    if name not in document.failure_domains:
        known = ", ".join(sorted(document.failure_domains))
        detail = f"unknown failure domain {name!r}; the configuration has {known}"
        return not_run(reason=Reason.INVALID_CONFIGURATION, detail=detail)
    data = document.model_dump(mode="json")
    data["failure_domains"][name]["state"] = state.value
    return check_configuration(data)


def plan_to_data(plan: Plan) -> dict[str, Any]:
    """Convert a plan to the JSON object of a plan file, including its digest."""
    data = {
        "plan_id": plan.plan_id,
        "base_version": plan.base_version,
        "base_digest": plan.base_digest,
        "document": plan.document.model_dump(mode="json"),
        "changes": [
            {"path": each.path, "before": each.before, "after": each.after}
            for each in plan.changes
        ],
    }
    return {**data, "digest": _plan_digest(data)}


def plan_to_json(plan: Plan) -> str:
    """Serialize a plan to the text of a plan file."""
    return json.dumps(plan_to_data(plan), indent=2) + "\n"


def plan_from_json(content: bytes) -> Plan | Failure:
    """Parse a plan file.

    :param content: Bytes of the file.
    :returns: The plan, or a failure if the file is malformed or was edited.
    """
    if len(content) > MAX_PLAN_BYTES:
        return _invalid_plan(f"larger than {MAX_PLAN_BYTES} bytes")
    try:
        data = json.loads(content.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        return _invalid_plan(f"not JSON: {error}")
    return plan_from_data(data)


def plan_from_data(data: object) -> Plan | Failure:
    """Validate the JSON object of a plan file.

    :param data: Any decoded JSON value.
    """
    if not isinstance(data, dict) or set(data) != _PLAN_FIELDS:
        return _invalid_plan(
            f"must have exactly the keys {', '.join(sorted(_PLAN_FIELDS))}"
        )
    content = {key: value for key, value in data.items() if key != "digest"}
    try:
        digest = _plan_digest(content)
    except (ValueError, RecursionError):
        return _invalid_plan("contains a value that JSON cannot represent")
    if data["digest"] != digest:
        return _invalid_plan(
            "the digest does not match; the file was edited after it was made"
        )
    changes = _parse_changes(data["changes"])
    if changes is None or not (
        isinstance(data["plan_id"], str)
        and data["plan_id"]
        and type(data["base_version"]) is int
        and data["base_version"] >= 0
        and isinstance(data["base_digest"], str)
    ):
        return _invalid_plan("a value has an invalid type")
    document = check_configuration(data["document"])
    if isinstance(document, Failure):
        return document
    return Plan(
        plan_id=PlanId(data["plan_id"]),
        base_version=ConfigVersion(data["base_version"]),
        base_digest=data["base_digest"],
        document=document,
        changes=changes,
    )


def _invalid_plan(detail: str) -> Failure:
    return not_run(reason=Reason.INVALID_CONFIGURATION, detail=f"plan file: {detail}")


def _parse_changes(data: object) -> tuple[Change, ...] | None:
    if not isinstance(data, list):
        return None
    changes = []
    for each in data:
        if not isinstance(each, dict) or set(each) != {"path", "before", "after"}:
            return None
        if not isinstance(each["path"], str):
            return None
        changes.append(Change(**each))
    return tuple(changes)


def _plan_digest(data: Mapping[str, Any]) -> str:
    text = json.dumps(data, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.sha256(text.encode()).hexdigest()


def _diff_documents(
    base: VersionedConfiguration | None, document: Configuration
) -> tuple[Change, ...]:
    before = base.document.model_dump(mode="json") if base else {}
    return tuple(_diff_values("", before, document.model_dump(mode="json")))


def _diff_values(path: str, before: Any, after: Any) -> Iterator[Change]:
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            child = f"{path}.{key}" if path else key
            yield from _diff_values(child, before.get(key), after.get(key))
    elif (
        isinstance(before, list)
        and isinstance(after, list)
        and len(before) == len(after)
    ):
        for index, pair in enumerate(zip(before, after, strict=True)):
            yield from _diff_values(f"{path}[{index}]", *pair)
    elif before != after:
        yield Change(path=path, before=before, after=after)
