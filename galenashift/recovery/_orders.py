"""Plans which engines load a model, without I/O; the time is an argument.

An order is a command to an engine to load a model.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from galenashift.config import PoolConfig
from galenashift.model import (
    FailureDomainName,
    PoolName,
    UpstreamId,
    UpstreamState,
    UpstreamStatus,
)

#: Seconds after which an order without a visible effect no longer counts. Loading the
#: weights of a large model takes minutes.
ORDER_LIFETIME_S = 600.0


class PlacementReason(Enum):
    """Why an order is planned, or why it is not."""

    REPLICA_MISSING = "replica-missing"
    RATE_REACHED = "weight-store-rate-reached"
    NO_ENGINE = "no-free-engine"
    MODELS_UNKNOWN = "models-unknown"


@dataclass(frozen=True, kw_only=True)
class PlannedOrder:
    """An order to load a model."""

    #: Pool with a missing replica.
    pool: PoolName
    #: Engine that must load the model.
    upstream_id: UpstreamId
    #: Model to load.
    model: str
    #: Reason for the order.
    reason: PlacementReason


@dataclass(frozen=True, kw_only=True)
class Shortfall:
    """Missing replicas for which no order is planned in this round."""

    #: Pool with missing replicas.
    pool: PoolName
    #: Number of missing replicas.
    missing: int
    #: Why no order is planned.
    reason: PlacementReason


@dataclass(frozen=True, kw_only=True)
class PendingOrder:
    """An order that was sent but whose model the engine does not report yet."""

    #: Model that was ordered.
    model: str
    #: Clock at the time of the order, in seconds.
    ordered_at_s: float


def plan_orders(
    *,
    now_s: float,
    pools: Mapping[PoolName, PoolConfig],
    statuses_by_pool: Mapping[PoolName, Sequence[UpstreamStatus]],
    model_by_upstream: Mapping[UpstreamId, str | None],
    pending: Mapping[UpstreamId, PendingOrder],
    domains_out: Collection[FailureDomainName],
    max_concurrent_loads: int,
) -> tuple[PlannedOrder | Shortfall, ...]:
    """Plan the orders that restore missing replicas.

    Engines in a failure domain that is out of service, and engines that are leaving or
    suspect, do not count as replicas. An engine whose model is unknown may already have
    the model of its pool loaded, so no order is planned for the replicas that such
    engines may provide.

    :param model_by_upstream: Loaded model, None if none is loaded; no entry if unknown.
    :param pending: Orders that may still take effect.
    :param max_concurrent_loads: Limit of concurrent loads from the weight store.
    :returns: Orders and shortfalls, each with its reason.
    """
    active_orders = {
        upstream_id: order
        for upstream_id, order in pending.items()
        if now_s - order.ordered_at_s < ORDER_LIFETIME_S
    }
    # Number of loads that may be started in this round.
    room = max_concurrent_loads - sum(
        model_by_upstream.get(upstream_id) != order.model
        for upstream_id, order in active_orders.items()
    )
    decisions: list[PlannedOrder | Shortfall] = []
    for pool, config in pools.items():
        if not config.engine or config.model is None:
            continue
        usable = [
            status
            for status in statuses_by_pool.get(pool, ())
            if _is_usable(status, domains_out)
        ]
        existing_replicas, unknown, free = [], [], []
        for status in usable:
            upstream_id = status.upstream.upstream_id
            order = active_orders.get(upstream_id)
            if order is not None and order.model == config.model:
                existing_replicas.append(status)
            elif upstream_id not in model_by_upstream:
                unknown.append(status)
            elif model_by_upstream[upstream_id] == config.model:
                existing_replicas.append(status)
            elif order is None:
                free.append(status)
        missing = config.replicas - len(existing_replicas)
        unverified = min(missing, len(unknown))
        if unverified > 0:
            reason = PlacementReason.MODELS_UNKNOWN
            decisions.append(Shortfall(pool=pool, missing=unverified, reason=reason))
            missing -= unverified
        if missing <= 0:
            continue
        chosen = _choose_spread(
            free, existing_replicas, count=min(missing, max(0, room))
        )
        decisions.extend(
            PlannedOrder(
                pool=pool,
                upstream_id=status.upstream.upstream_id,
                model=config.model,
                reason=PlacementReason.REPLICA_MISSING,
            )
            for status in chosen
        )
        room -= len(chosen)
        missing -= len(chosen)
        if missing > 0:
            reason = (
                PlacementReason.NO_ENGINE
                if len(chosen) == len(free)
                else PlacementReason.RATE_REACHED
            )
            decisions.append(Shortfall(pool=pool, missing=missing, reason=reason))
    return tuple(decisions)


def _is_usable(
    status: UpstreamStatus, domains_out: Collection[FailureDomainName]
) -> bool:
    usable_states = (UpstreamState.COLD, UpstreamState.WARM)
    return (
        status.state in usable_states
        and status.upstream.failure_domain not in domains_out
    )


def _choose_spread(
    free: Sequence[UpstreamStatus],
    existing_replicas: Sequence[UpstreamStatus],
    *,
    count: int,
) -> list[UpstreamStatus]:
    """Choose engines such that the replicas are spread over the failure domains."""
    replicas = Counter(each.upstream.failure_domain for each in existing_replicas)
    remaining = sorted(
        free, key=lambda each: (each.in_flight, each.upstream.upstream_id)
    )
    chosen: list[UpstreamStatus] = []
    while remaining and len(chosen) < count:
        best = min(remaining, key=lambda each: replicas[each.upstream.failure_domain])
        remaining.remove(best)
        replicas[best.upstream.failure_domain] += 1
        chosen.append(best)
    return chosen
