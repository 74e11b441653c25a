"""Retry policy, retry budgets, stage deadlines and isolation of crashing requests."""

from ._budget import RetryBudget
from ._crash_evidence import (
    CRASH_LIFETIME_S,
    CrashEvidence,
    Quarantine,
    QuarantineChanges,
)
from ._crash_guard import PUSH_TIMEOUT_S, FleetCrashGuard
from ._deadline import StageShare, StageTimes, share_deadline
from ._first_token import FirstTokenWait
from ._policy import (
    MAX_RETRIES,
    GiveUp,
    Resume,
    RetryDecision,
    RetryElsewhere,
    decide_retry,
)
from ._reservation import SuspectReservations
from ._suspects import SUSPECT_LIFETIME_S, SuspectTracker

__all__ = [
    "CRASH_LIFETIME_S",
    "MAX_RETRIES",
    "PUSH_TIMEOUT_S",
    "SUSPECT_LIFETIME_S",
    "CrashEvidence",
    "FirstTokenWait",
    "FleetCrashGuard",
    "GiveUp",
    "Quarantine",
    "QuarantineChanges",
    "Resume",
    "RetryBudget",
    "RetryDecision",
    "RetryElsewhere",
    "StageShare",
    "StageTimes",
    "SuspectReservations",
    "SuspectTracker",
    "decide_retry",
    "share_deadline",
]
