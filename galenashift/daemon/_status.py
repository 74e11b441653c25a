"""Builds the status of a daemon, its fleet and its upstreams for operators."""

from dataclasses import dataclass

from galenashift.config import VersionedConfiguration
from galenashift.membership import FleetView, MemberStatus
from galenashift.model import JsonObject, UpstreamState, UpstreamStatus
from galenashift.upstreams import Directory


@dataclass(frozen=True, kw_only=True)
class StoreAvailability:
    """Availability of the key-value store, as seen by this daemon."""

    #: Boot-time clock of the last call that the store answered, in seconds; None
    #: before the first.
    answered_at_s: float | None
    #: Detail of the last failure, empty if the store answered the last call.
    failure: str
    #: Boot-time clock at the start of the first failed call since the last answered
    #: one, in seconds; None if the store answered the last call.
    failing_since_s: float | None = None


def build_status(
    *,
    view: FleetView,
    directory: Directory,
    current: VersionedConfiguration | None,
    store: StoreAvailability,
    draining: bool,
    in_flight: int,
    organisations_at_limit: tuple[str, ...],
    now_s: float,
    wall_now_s: float,
) -> JsonObject:
    """Build the response of ``GET /operator/status``.

    :param organisations_at_limit: Organisations that were recently refused at a
        configured limit.
    :param now_s: Boot-time clock, in seconds.
    :param wall_now_s: Unix time, in seconds.
    """
    return {
        "daemon": view.self_id,
        "version": view.config_version,
        "plan_id": current.plan_id if current is not None else None,
        "authority": view.authority(now_s=now_s).value,
        "evidence_age_s": _rounded_s(view.evidence_age_s(now_s=now_s)),
        "draining": draining,
        "in_flight": in_flight,
        "store": _describe_store(store, now_s, wall_now_s),
        "instance_list_age_s": _rounded_s(directory.list_age_s(now_s=now_s)),
        "organisations_at_limit": list(organisations_at_limit),
        "daemons": _describe_daemons(view, now_s),
        "failure_domains": _describe_failure_domains(current),
        "upstreams": _describe_upstreams(directory, now_s),
    }


def _describe_store(
    store: StoreAvailability, now_s: float, wall_now_s: float
) -> JsonObject:
    answered_at_s, since_s = store.answered_at_s, store.failing_since_s
    return {
        "reachable": answered_at_s is not None and not store.failure,
        "answer_age_s": _rounded_s(now_s - answered_at_s) if answered_at_s else None,
        "out_since_s": round(wall_now_s - (now_s - since_s), 3) if since_s else None,
        "failure": store.failure,
    }


def _describe_daemons(view: FleetView, now_s: float) -> list[JsonObject]:
    rows: list[JsonObject] = [
        {
            "daemon": view.self_id,
            "failure_domain": view.failure_domain,
            "status": MemberStatus.ALIVE.value,
            "version": view.config_version,
            "heartbeat_age_s": 0.0,
        }
    ]
    for member in view.members():
        rows.append(
            {
                "daemon": member.daemon_id,
                "failure_domain": member.failure_domain,
                "status": member.status(now_s=now_s).value,
                "version": member.shown_version,
                "heartbeat_age_s": _rounded_s(now_s - member.heartbeat_at_s),
            }
        )
    return sorted(rows, key=lambda row: str(row["daemon"]))


def _describe_failure_domains(
    current: VersionedConfiguration | None,
) -> list[JsonObject]:
    if current is None:
        return []
    return [
        {"failure_domain": name, "region": domain.region, "state": domain.state.value}
        for name, domain in sorted(current.document.failure_domains.items())
    ]


def _describe_upstreams(directory: Directory, now_s: float) -> list[JsonObject]:
    rows: list[JsonObject] = []
    for pool in sorted({each.pool for each in directory.upstreams()}):
        for status in directory.statuses(pool=pool, now_s=now_s):
            report = status.report
            rows.append(
                {
                    "upstream": status.upstream.upstream_id,
                    "pool": pool,
                    "failure_domain": status.upstream.failure_domain,
                    "state": _effective_state(status).value,
                    "in_flight": status.in_flight,
                    "running": report.running if report else None,
                    "slots": report.slots if report else None,
                    "report_age_s": _rounded_s(now_s - report.as_of_s)
                    if report
                    else None,
                }
            )
    return rows


def _effective_state(status: UpstreamStatus) -> UpstreamState:
    """Return the state used for routing; leaving in the instance list overrides it."""
    return UpstreamState.LEAVING if status.upstream.leaving else status.state


def _rounded_s(value: float) -> float | None:
    """Round to milliseconds; None replaces infinity, which JSON cannot express."""
    return None if value == float("inf") else round(value, 3)
