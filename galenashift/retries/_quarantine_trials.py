"""Decides when a request is sent in spite of a quarantine.

A quarantine can be wrong: after an outage of many upstreams, a part that most requests
share was in flight at each crash. A refused request proves nothing, so that only a
request that is sent can end it.

Nothing here does input or output, and the time is an argument. Clocks are the boot-time
clock, in seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from math import inf

from galenashift.model import SuspectId

from ._crash_causes import CRASHES_OF_CAUSE

#: Time from the last crash of a cause to its first trial, in seconds; it doubles with
#: each further crash up to `_MAX_COUNTED_CRASHES`, and with each trial that crashed an
#: upstream.
TRIAL_DELAY_S = 60.0
_MAX_COUNTED_CRASHES = 5
#: The same for a cause with which a request has completed before, in seconds, by the
#: number of its failed trials. It is probably a bystander that many requests share, and
#: they are all refused meanwhile.
_TRIAL_DELAYS_OF_PROVEN_S = (2.0, 10.0)
#: Time for which a daemon leaves a trial that is due to the one before it in rank, in
#: seconds. That one may get no such request.
TRIAL_TURN_S = 5.0
#: Time by which a request with several quarantined suspects comes after those with one
#: of them, in seconds. It tells less, as it can crash an upstream by any of them.
SEVERAL_SUSPECTS_DELAY_S = 5.0


@dataclass(frozen=True, kw_only=True)
class TrialHistory:
    """What is known of the crashes and trials of a suspect."""

    #: Crashes at which it was in flight.
    crashes: int
    #: Trials that crashed an upstream, or showed nothing.
    failed_trials: int
    #: Whether a request with it has completed at any daemon.
    has_completed: bool


@dataclass(frozen=True, kw_only=True)
class Trial:
    """A request that is sent to find out whether its quarantines are right."""

    suspects: frozenset[SuspectId]


class TrialEnd(Enum):
    """How far a request on trial came."""

    #: No upstream received it, so that the trial is left to the next request.
    NOT_SENT = "not-sent"
    #: An upstream refused it, which shows nothing.
    NOT_EXECUTED = "not-executed"
    #: An upstream may have executed it.
    MAY_HAVE_RUN = "may-have-run"


def trial_delay_s(history: TrialHistory) -> float:
    """Return the time from the last crash or trial of a suspect to its next trial."""
    failed = history.failed_trials
    if history.has_completed and failed < len(_TRIAL_DELAYS_OF_PROVEN_S):
        return _TRIAL_DELAYS_OF_PROVEN_S[failed]
    counted = min(history.crashes, _MAX_COUNTED_CRASHES)
    doublings = max(failed, counted - CRASHES_OF_CAUSE)
    return float(TRIAL_DELAY_S * 2**doublings)


@dataclass(kw_only=True)
class _Sent:
    """The trials of a suspect that this daemon has sent."""

    last_ended_at_s: float
    #: Trials that an upstream may have executed.
    executed: int = 0


class QuarantineTrials:
    """The trials of this daemon."""

    def __init__(self) -> None:
        self._pending: set[SuspectId] = set()
        self._sent_by_suspect: dict[SuspectId, _Sent] = {}

    def is_pending(self, suspect: SuspectId) -> bool:
        """Whether a request with a suspect is on trial."""
        return suspect in self._pending

    def executed(self, suspect: SuspectId) -> int:
        """Return the number of trials that an upstream may have executed."""
        sent = self._sent_by_suspect.get(suspect)
        return 0 if sent is None else sent.executed

    def last_ended_at_s(self, suspect: SuspectId) -> float:
        """Return when the last trial ended, minus infinity if there is none."""
        sent = self._sent_by_suspect.get(suspect)
        return -inf if sent is None else sent.last_ended_at_s

    def begin(self, trial: Trial) -> None:
        """Note that a request is on trial."""
        self._pending |= trial.suspects

    def end(self, trial: Trial, how: TrialEnd, *, now_s: float) -> None:
        """Note that a request on trial has ended."""
        self._pending -= trial.suspects
        if how is TrialEnd.NOT_SENT:
            return
        for suspect in trial.suspects:
            sent = self._sent_by_suspect.setdefault(
                suspect, _Sent(last_ended_at_s=now_s)
            )
            sent.last_ended_at_s = now_s
            sent.executed += how is TrialEnd.MAY_HAVE_RUN

    def retain(self, suspects: Collection[SuspectId]) -> None:
        """Forget the trials of all suspects but some, which bounds their number."""
        for suspect in self._sent_by_suspect.keys() - suspects:
            del self._sent_by_suspect[suspect]
