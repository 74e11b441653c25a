"""Exclusion of unusable upstreams, and grouping of the others by distance."""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from galenashift.config import DomainState, FailureDomainConfig
from galenashift.model import (
    FailureDomainName,
    UpstreamId,
    UpstreamState,
    UpstreamStatus,
)

#: Age of the instance list, in seconds, beyond which it may miss upstreams that have
#: begun to leave.
STALE_LIST_S = 6.0
#: Age of a load report, in seconds, beyond which it is no evidence that the upstream
#: is alive.
STALE_REPORT_S = 6.0
# Reading a module constant is faster than reading an enumeration member.
_WARM = UpstreamState.WARM
_COLD = UpstreamState.COLD


class Refusal(Enum):
    """Why a candidate cannot receive a call; the value appears in logs."""

    DOMAIN_OUT = "domain-out"
    LEAVING = "leaving"
    GONE = "gone"
    COLD_WITHOUT_PERMIT = "cold-without-permit"
    SUSPECT = "suspect"
    OUTLIER = "outlier"
    OVER_LIMIT = "over-limit"
    EXCLUDED = "excluded"
    STALE_LIST = "stale-list"


_REFUSAL_BY_STATE = {
    UpstreamState.LEAVING: Refusal.LEAVING,
    UpstreamState.GONE: Refusal.GONE,
    UpstreamState.SUSPECT: Refusal.SUSPECT,
}


@dataclass(frozen=True, kw_only=True)
class RefusedCandidate:
    """A candidate that cannot receive the call."""

    #: The refused upstream.
    upstream_id: UpstreamId
    #: Why it was refused.
    refusal: Refusal


@dataclass(frozen=True, kw_only=True)
class RoutingView:
    """What a daemon knows when it routes one call."""

    #: Failure domain of this daemon.
    own_domain: FailureDomainName
    #: Failure domains of the active configuration. A domain that is not listed counts
    #: as in service, and as outside the region unless it is the daemon's own.
    domains_by_name: Mapping[FailureDomainName, FailureDomainConfig]
    #: Daemons that are alive, this one included.
    daemons: int = 1
    #: Seconds since the instance list was last confirmed as current.
    list_age_s: float = 0.0
    #: Seconds since the start of the last failed poll of the list; infinite if none
    #: has failed.
    list_failure_age_s: float = math.inf
    #: Upstreams on which this request has already failed.
    excluded: Collection[UpstreamId] = field(default_factory=frozenset)
    #: Cold upstreams for which this request was denied a cold-start permit.
    without_permit: Collection[UpstreamId] = field(default_factory=frozenset)
    #: Upstreams excluded as latency outliers of their pool.
    outliers: Collection[UpstreamId] = field(default_factory=frozenset)
    #: Whether to choose only among warm upstreams that are expected to have a free
    #: slot.
    requires_free_slot: bool = False


def _distances(view: RoutingView) -> dict[FailureDomainName, int | None]:
    """Compute the distance of each failure domain, None for those out of service."""
    domains = view.domains_by_name
    own = domains.get(view.own_domain)
    distances: dict[FailureDomainName, int | None] = {view.own_domain: 0}
    for name, domain in domains.items():
        if domain.state is DomainState.OUT:
            distances[name] = None
        elif name != view.own_domain:
            same_region = own is not None and domain.region == own.region
            distances[name] = 1 if same_region else 2
    return distances


def _find_refusal(
    status: UpstreamStatus, view: RoutingView, now_s: float
) -> Refusal | None:
    upstream_id = status.upstream.upstream_id
    report = status.report
    # A stale list is tolerated only if a recent poll failed and the upstream still
    # reports its load. Without a recent failure the list may be available, and this
    # daemon, for example after a pause, has not polled it yet.
    if view.list_age_s > STALE_LIST_S and (
        view.list_failure_age_s > STALE_LIST_S
        or report is None
        or now_s - report.as_of_s >= STALE_REPORT_S
    ):
        return Refusal.STALE_LIST
    if upstream_id in view.excluded:
        return Refusal.EXCLUDED
    if upstream_id in view.outliers:
        return Refusal.OUTLIER
    if status.state is _COLD and upstream_id in view.without_permit:
        return Refusal.COLD_WITHOUT_PERMIT
    return None


def partition_candidates(
    statuses: Sequence[UpstreamStatus], *, view: RoutingView, now_s: float
) -> tuple[tuple[list[UpstreamStatus], ...], list[RefusedCandidate]]:
    """Exclude unusable upstreams of a pool, and group the others by distance.

    :param statuses: All upstreams of the pool.
    :param view: What the daemon knows.
    :param now_s: Boot-time clock, in seconds.
    :returns: The usable upstreams by failure domain distance, and the refused ones.
    """
    distances = _distances(view)
    # Skips the per-upstream checks of `_find_refusal` when none of them can apply.
    has_restrictions = bool(
        view.excluded
        or view.outliers
        or view.without_permit
        or view.list_age_s > STALE_LIST_S
    )
    by_distance: tuple[list[UpstreamStatus], ...] = ([], [], [])
    refused: list[RefusedCandidate] = []
    for status in statuses:
        upstream = status.upstream
        state = status.state
        distance = distances.get(upstream.failure_domain, 2)
        refusal: Refusal | None = None
        if distance is None:
            refusal = Refusal.DOMAIN_OUT
        elif upstream.leaving:
            refusal = Refusal.LEAVING
        elif state is not _WARM:
            refusal = _REFUSAL_BY_STATE.get(state)
        if refusal is None and has_restrictions:
            refusal = _find_refusal(status, view, now_s)
        if refusal is None and distance is not None:
            by_distance[distance].append(status)
        elif refusal is not None:
            refused.append(
                RefusedCandidate(upstream_id=upstream.upstream_id, refusal=refusal)
            )
    return by_distance, refused
