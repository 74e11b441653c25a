"""The differences between two routing configurations, by their meaning."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from galenashift.model import (
    Organisation,
    OrganisationId,
    Route,
    RoutingConfig,
    StageSpec,
)

#: Fields that identify an entry, or that are compared in another form.
_LEFT_OUT = frozenset({"host", "prefix", "weight_by_service"})


@dataclass(frozen=True, kw_only=True)
class RoutingChange:
    """One difference of meaning."""

    #: What has changed, for example ``route h.example/a/ timeout_s``.
    subject: str
    #: Former value; None if it was added.
    before: str | None
    #: New value; None if it was removed.
    after: str | None

    def __str__(self) -> str:
        """Format the change as one line that begins with ``+``, ``-`` or ``~``."""
        if self.before is None:
            return f"+ {self.subject}: {self.after}"
        if self.after is None:
            return f"- {self.subject}: {self.before}"
        return f"~ {self.subject}: {self.before} -> {self.after}"


def diff_routing(before: RoutingConfig, after: RoutingConfig) -> list[RoutingChange]:
    """Return what differs between two configurations.

    The order of entries, the scale of weights and values that equal the defaults make
    no difference. Keys of organisations are counted and not shown.

    :param before: Configuration in force.
    :param after: Configuration that is to replace it.
    """
    changes = _compare("version", {"": str(before.version)}, {"": str(after.version)})
    changes += _compare_entries("route", _routes(before), _routes(after))
    changes += _compare_entries("service", _services(before), _services(after))
    changes += _compare_entries(
        "organisation", _organisations(before), _organisations(after)
    )
    changes += _changed_keys(before, after)
    changes += _compare("limits", _values(before.limits), _values(after.limits))
    return changes


_Values = Mapping[str, str]


def _compare_entries(
    kind: str, before: Mapping[str, _Values], after: Mapping[str, _Values]
) -> list[RoutingChange]:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        subject = f"{kind} {name}"
        if name not in after:
            text = _describe(before[name])
            changes.append(RoutingChange(subject=subject, before=text, after=None))
        elif name not in before:
            text = _describe(after[name])
            changes.append(RoutingChange(subject=subject, before=None, after=text))
        else:
            changes += _compare(subject, before[name], after[name])
    return changes


def _compare(subject: str, before: _Values, after: _Values) -> list[RoutingChange]:
    return [
        RoutingChange(
            subject=f"{subject} {name}".rstrip(), before=before[name], after=text
        )
        for name, text in after.items()
        if before[name] != text
    ]


def _describe(values: _Values) -> str:
    return " ".join(f"{name}={text}" for name, text in values.items())


def _routes(config: RoutingConfig) -> dict[str, _Values]:
    return {
        f"{host}{prefix}": _values(route) | {"services": _weights(route)}
        for host, routes_by_prefix in config.routes_by_host.items()
        for prefix, route in routes_by_prefix.items()
    }


def _services(config: RoutingConfig) -> dict[str, _Values]:
    return {name: _values(service) for name, service in config.services_by_name.items()}


def _organisations(config: RoutingConfig) -> dict[str, _Values]:
    organisations = (config.organisations_by_key or {}).values()
    return {each.organisation_id: _values(each) for each in organisations}


def _changed_keys(before: RoutingConfig, after: RoutingConfig) -> list[RoutingChange]:
    """Return how many keys each organisation has lost and got."""
    if (before.organisations_by_key is None) != (after.organisations_by_key is None):
        return _compare("keys", {"": _needs_keys(before)}, {"": _needs_keys(after)})
    old, new = (each.organisations_by_key or {} for each in (before, after))
    lost, got = _count_missing(old, new), _count_missing(new, old)
    return [
        RoutingChange(
            subject=f"organisation {name} keys",
            before=f"{lost[name]} removed",
            after=f"{got[name]} added",
        )
        for name in sorted(lost.keys() | got.keys())
    ]


def _count_missing(
    here: Mapping[str, Organisation], there: Mapping[str, Organisation]
) -> Counter[OrganisationId]:
    """Count the keys of each organisation that it does not have there."""
    return Counter(
        each.organisation_id
        for key, each in here.items()
        if key not in there or there[key].organisation_id != each.organisation_id
    )


def _needs_keys(config: RoutingConfig) -> str:
    return "not needed" if config.organisations_by_key is None else "needed"


def _weights(route: Route) -> str:
    total = sum(route.weight_by_service.values())
    shares = {
        service: weight / total
        for service, weight in route.weight_by_service.items()
        if weight
    }
    return ",".join(f"{service}:{shares[service]:.4g}" for service in sorted(shares))


def _values(entry: Any) -> dict[str, str]:
    return {
        each.name: _format(getattr(entry, each.name))
        for each in fields(entry)
        if each.name not in _LEFT_OUT
    }


def _format(value: Any) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:.10g}"
        case Enum():
            return str(value.value)
        case None:
            return "none"
        case StageSpec():
            after = ",".join(map(str, value.after))
            return f"{value.service}(after:{after};bytes:{value.result_bytes})"
        case tuple():
            return ",".join(map(_format, value)) or "none"
        case _ if hasattr(value, "__dataclass_fields__"):
            return f"({_describe(_values(value))})"
        case _:
            return str(value)
