"""Graceful shutdown, stream resumption and placement of model replicas."""

from ._drain import LISTEN_AFTER_SIGNAL_S, Drain, DrainPhase
from ._orders import PendingOrder, PlacementReason, PlannedOrder, Shortfall, plan_orders
from ._placement import PlacementLeader
from ._resume import Attempt, Complete, Deliver, Discard, StreamProgress

__all__ = [
    "LISTEN_AFTER_SIGNAL_S",
    "Attempt",
    "Complete",
    "Deliver",
    "Discard",
    "Drain",
    "DrainPhase",
    "PendingOrder",
    "PlacementLeader",
    "PlacementReason",
    "PlannedOrder",
    "Shortfall",
    "StreamProgress",
    "plan_orders",
]
