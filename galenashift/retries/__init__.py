"""Retry policy, retry budgets, stage deadlines and isolation of crashing requests."""

from ._budget import RetryBudget
from ._crash_evidence import CrashEvidence
from ._crash_guard import PUSH_TIMEOUT_S, FleetCrashGuard
from ._deadline import StageShare, StageTimes, share_deadline
from ._first_token import FirstTokenWait
from ._hedging import (
    RETRY_RESERVE_RATIO,
    HedgeDelay,
    HedgeDelays,
    HedgeShares,
    HeldBack,
    LateRequest,
    ServiceCapacity,
    hold_back,
)
from ._known_crash import CRASH_LIFETIME_S
from ._policy import (
    MAX_RETRIES,
    GiveUp,
    Resume,
    RetryDecision,
    RetryElsewhere,
    decide_retry,
)
from ._quarantine import Quarantine, QuarantineChanges
from ._quarantine_trials import Trial, TrialEnd
from ._reservation import SuspectReservations
from ._suspects import SUSPECT_LIFETIME_S, SuspectTracker

__all__ = [
    "CRASH_LIFETIME_S",
    "MAX_RETRIES",
    "PUSH_TIMEOUT_S",
    "RETRY_RESERVE_RATIO",
    "SUSPECT_LIFETIME_S",
    "CrashEvidence",
    "FirstTokenWait",
    "FleetCrashGuard",
    "GiveUp",
    "HedgeDelay",
    "HedgeDelays",
    "HedgeShares",
    "HeldBack",
    "LateRequest",
    "Quarantine",
    "QuarantineChanges",
    "Resume",
    "RetryBudget",
    "RetryDecision",
    "RetryElsewhere",
    "ServiceCapacity",
    "StageShare",
    "StageTimes",
    "SuspectReservations",
    "SuspectTracker",
    "Trial",
    "TrialEnd",
    "decide_retry",
    "hold_back",
    "share_deadline",
]
