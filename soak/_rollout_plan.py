"""What happens in the rollouts of one seed: versions, orders and faults."""

from dataclasses import dataclass
from enum import Enum
from random import Random

#: Shortest and longest time from an order to its deadline, in seconds.
_DURATION_S = (10.0, 16.0)
#: Part of the duration after which a version turns bad.
_TURNS_BAD_AT = (0.2, 0.6)
#: Part of the duration within which faults start.
_FAULTS_AT = (0.05, 0.75)
#: Part of the duration after which an order follows on top of an order.
_SECOND_ORDER_AT = (0.2, 0.5)
#: Shortest and longest time for which a fault lasts, in seconds.
_FAULT_DURATION_S = (0.5, 3.0)


class VersionQuality(Enum):
    """How the upstreams of a new version answer."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    TURNS_BAD = "turns bad"
    BAD_ROUTE = "bad on one route"


class RolloutFault(Enum):
    """A fault during a rollout."""

    KILL_COORDINATOR = "kill coordinator"
    STORE_UNAVAILABLE = "store unavailable"
    STORE_SLOW = "store slow"
    STORE_HISTORY_COMPACTED = "store history compacted"
    PAUSE_DAEMON = "pause daemon"
    SECOND_ORDER = "order on top of an order"


#: Routes whose requests reach a service.
ROUTES_BY_SERVICE = {
    "plain": ("read", "write"),
    "model": ("once", "again"),
    "stage": ("staged",),
}
#: Start of the paths on which a version may be bad.
_BAD_ROUTE_BY_SERVICE = {"plain": "/write/", "model": "/once/"}


@dataclass(frozen=True, kw_only=True)
class VersionPlan:
    """A version and how it answers."""

    name: str
    quality: VersionQuality
    #: Time from the order until it turns bad, in seconds.
    turns_bad_after_s: float
    #: Start of the paths on which it is bad; all where empty. Not applied to calls of
    #: stages.
    faulty_path: str

    @property
    def is_bad(self) -> bool:
        """Whether some of its answers fail or are slow at some time."""
        return self.quality is not VersionQuality.GOOD


@dataclass(frozen=True, kw_only=True)
class OrderPlan:
    """An order to roll out a version."""

    version: VersionPlan
    #: Time from the first order to this one, in seconds.
    after_s: float
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class FaultPlan:
    """A fault with its start after the first order and its duration, in seconds."""

    fault: RolloutFault
    after_s: float
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class RolloutPlan:
    """Everything that one seed does."""

    service: str
    orders: tuple[OrderPlan, ...]
    faults: tuple[FaultPlan, ...]


def plan_rollouts(seed: int) -> RolloutPlan:
    """Return the plan of a seed.

    The quality of the first version and the first fault follow from the number, so
    that consecutive seeds cover their combinations. Where the first fault is None, the
    plan has no fault and no second order.
    """
    random = Random(f"rollouts of {seed}")
    faults = [*RolloutFault, None]
    qualities = [*VersionQuality]
    quality = qualities[seed % len(qualities)]
    first, second_fault = faults[seed % len(faults)], random.choice(faults)
    chosen = [] if first is None else [first, second_fault]
    services = [*ROUTES_BY_SERVICE]
    if quality is VersionQuality.BAD_ROUTE:
        services = [*_BAD_ROUTE_BY_SERVICE]
    service = random.choice(services)
    duration_s = random.uniform(*_DURATION_S)
    orders = [_plan_order(random, "v2", quality, service, duration_s, after_s=0.0)]
    if RolloutFault.SECOND_ORDER in chosen:
        after_s = duration_s * random.uniform(*_SECOND_ORDER_AT)
        second = random.choice(
            [VersionQuality.GOOD, VersionQuality.FAILING, VersionQuality.SLOW]
        )
        second_duration_s = random.uniform(*_DURATION_S)
        orders.append(
            _plan_order(
                random, "v3", second, service, second_duration_s, after_s=after_s
            )
        )
    return RolloutPlan(
        service=service,
        orders=tuple(orders),
        faults=tuple(
            FaultPlan(
                fault=each,
                after_s=duration_s * random.uniform(*_FAULTS_AT),
                duration_s=random.uniform(*_FAULT_DURATION_S),
            )
            for each in chosen
            if each is not None and each is not RolloutFault.SECOND_ORDER
        ),
    )


def _plan_order(
    random: Random,
    name: str,
    quality: VersionQuality,
    service: str,
    duration_s: float,
    *,
    after_s: float,
) -> OrderPlan:
    turns_bad_at = random.uniform(*_TURNS_BAD_AT)
    is_late = quality is VersionQuality.TURNS_BAD
    is_on_one_route = quality is VersionQuality.BAD_ROUTE
    version = VersionPlan(
        name=name,
        quality=quality,
        turns_bad_after_s=duration_s * turns_bad_at if is_late else 0.0,
        faulty_path=_BAD_ROUTE_BY_SERVICE[service] if is_on_one_route else "",
    )
    return OrderPlan(version=version, after_s=after_s, duration_s=duration_s)
