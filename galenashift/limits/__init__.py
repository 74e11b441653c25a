"""Organisation limits, permits, fair queueing, concurrency and memory limits."""

from ._answer_memory import AnswerMemory, AnswerReservation
from ._bucket import TokenBucket
from ._caller_memory import (
    CallerBudget,
    CallerHolding,
    CallerMemory,
    CallerPhase,
    CutCause,
)
from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue, Ticket
from ._grants import (
    GRANT_PERIOD_S,
    GrantIssuer,
    LimitAllocator,
    limits_key,
    max_min_shares,
)
from ._guard import MAX_GRANT_WAIT_S, FleetLimitGuard
from ._permit_source import ColdPermitSource
from ._permits import NEW_GATEKEEPER_WAIT_S, PERMIT_START_TIMEOUT_S, PermitLedger
from ._pool_admission import PoolAdmission, Slot
from ._room_request import (
    RoomDecision,
    RoomGranted,
    RoomId,
    RoomOwner,
    RoomRefused,
    RoomRequest,
    StageNeed,
)
from ._size_turns import LARGE_BODY_THRESHOLD_BYTES, SizeTurns
from ._stage_room import StageRoom
from ._stated_availability import StatedAvailability
from ._upstream_rates import LimitChange, LimitStatus, UpstreamRates

__all__ = [
    "GRANT_PERIOD_S",
    "LARGE_BODY_THRESHOLD_BYTES",
    "MAX_GRANT_WAIT_S",
    "NEW_GATEKEEPER_WAIT_S",
    "PERMIT_START_TIMEOUT_S",
    "AnswerMemory",
    "AnswerReservation",
    "CallerBudget",
    "CallerHolding",
    "CallerMemory",
    "CallerPhase",
    "ColdPermitSource",
    "ConcurrencyLimit",
    "CutCause",
    "FairQueue",
    "FleetLimitGuard",
    "GrantIssuer",
    "LimitAllocator",
    "LimitChange",
    "LimitStatus",
    "PermitLedger",
    "PoolAdmission",
    "RoomDecision",
    "RoomGranted",
    "RoomId",
    "RoomOwner",
    "RoomRefused",
    "RoomRequest",
    "SizeTurns",
    "Slot",
    "StageNeed",
    "StageRoom",
    "StatedAvailability",
    "Ticket",
    "TokenBucket",
    "UpstreamRates",
    "limits_key",
    "max_min_shares",
]
