"""Evidence of all daemons on crashes, and the quarantine of what causes them.

Nothing here does input or output, and the time is an argument.
"""

from collections.abc import Collection, Sequence
from dataclasses import replace
from math import inf

from galenashift.model import (
    Clearance,
    CrashId,
    CrashSuspects,
    DepthBySuspect,
    SuspectId,
)

from ._crash_causes import CRASHES_OF_CAUSE, find_causes
from ._known_crash import CRASH_LIFETIME_S, MAX_CRASHES, KnownCrash, KnownCrashes
from ._latest_times import LatestTimes
from ._quarantine import Quarantine, QuarantineChanges
from ._quarantine_trials import (
    SEVERAL_SUSPECTS_DELAY_S,
    TRIAL_TURN_S,
    QuarantineTrials,
    Trial,
    TrialEnd,
    TrialHistory,
    trial_delay_s,
)

#: Time for which a completed request counts in favour of its suspects, in seconds.
_PROVEN_S = 30.0
#: Crashes from which a clearance of a suspect is reported to other daemons. With fewer,
#: a daemon that knows only the reports on crashes does not quarantine the suspect.
_CRASHES_TO_REPORT_CLEARED = CRASHES_OF_CAUSE - 1
#: Time within which a report is expected to be stored, in seconds.
_STORE_WAIT_S = 5.0


class CrashEvidence:
    """Crashes with the requests that were in flight, and what was cleared since.

    A suspect is a prompt part or the digest of a whole request. Once a request with it
    completes, it is cleared of the crashes before the answer began. What explains
    several crashes is quarantined, see `find_causes`. Such a cause can be wrong, so a
    request with it is tried from time to time, see `QuarantineTrials`.

    Clocks of all arguments are the boot-time clock, in seconds.
    """

    def __init__(self) -> None:
        self._crashes = KnownCrashes()
        self._quarantine_by_suspect: dict[SuspectId, Quarantine] = {}
        #: When the answer of the last request with a suspect began that completed.
        self._completed_at_s = LatestTimes()
        self._trials = QuarantineTrials()
        #: Whether `decide` has taken all evidence into account.
        self._is_decided = True

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is known."""
        return bool(self._crashes)

    @property
    def quarantines(self) -> Collection[Quarantine]:
        """The suspects whose requests are refused, by the last `decide`."""
        return self._quarantine_by_suspect.values()

    def record_crash(
        self, crash_id: CrashId, suspects: CrashSuspects, *, now_s: float
    ) -> None:
        """Add the suspects that a daemon reports on a crash.

        :param crash_id: The same for all reports on one crash.
        """
        crash = self._crashes.find_or_add(crash_id, now_s=now_s)
        self._merge(crash, crash.not_begun, suspects.not_begun)
        self._merge(crash, crash.begun, suspects.begun)
        crash.completed |= suspects.completed
        crash.tried |= suspects.tried
        self._is_decided = False

    def with_completed(self, suspects: CrashSuspects) -> CrashSuspects:
        """Add to a report with which suspects a request has completed here before.

        Daemons that start later have seen none complete.
        """
        completed = {
            suspect
            for suspect in (*suspects.not_begun, *suspects.begun)
            if self._completed_at_s.of(suspect) > -inf
        }
        return replace(suspects, completed=suspects.completed | completed)

    def record_stored(self, crash_id: CrashId, *, until_s: float) -> None:
        """Note until when the store holds a report of a crash; 0 if it was deleted."""
        crash = self._crashes.get(crash_id)
        if crash is not None:
            crash.stored_until_s = until_s

    def retain_stored(self, crash_ids: Collection[CrashId]) -> None:
        """Note that the store holds reports of some crashes only, by a listing."""
        for crash_id, crash in self._crashes.items():
            if crash_id not in crash_ids:
                crash.stored_until_s = 0.0

    def record_completion(
        self, suspects: Collection[SuspectId], *, began_at_s: float
    ) -> tuple[Clearance, ...]:
        """Clear the suspects of a request that was answered completely.

        :param began_at_s: Time from which on the upstream wrote the answer, or an
            earlier one. Upstreams crash as they begin to answer, so the request tells
            nothing about crashes after that.
        :returns: What to report to other daemons, once.
        """
        to_report = []
        for suspect in suspects:
            self._completed_at_s.note(suspect, began_at_s)
            self._clear(suspect, before_s=began_at_s)
            clearance = self._take_clearance(suspect)
            if clearance is not None:
                to_report.append(clearance)
        return tuple(to_report)

    def record_clearance(self, clearance: Clearance, *, now_s: float) -> None:
        """Clear a suspect of crashes, as another daemon reports.

        Crashes that are not known yet are remembered, so that the order of the reports
        makes no difference.
        """
        suspect = clearance.suspect
        if clearance.crash_ids is None:
            crash_ids = tuple(crash_id for crash_id, _ in self._crashes.items())
        else:
            crash_ids = clearance.crash_ids
        for crash_id in crash_ids:
            is_known = crash_id in self._crashes
            if not is_known and len(self._crashes) >= MAX_CRASHES:
                continue
            crash = self._crashes.find_or_add(crash_id, now_s=now_s)
            crash.clear(suspect)
            crash.stored_clearances.add(suspect)
            crash.lost_clearances.discard(suspect)
        self._is_decided = False

    def is_stored(self, clearance: Clearance) -> bool:
        """Tell whether daemons have stored that a suspect was cleared of crashes."""
        crashes = [
            crash
            for crash_id in clearance.crash_ids or ()
            if (crash := self._crashes.get(crash_id)) is not None
        ]
        return all(
            clearance.suspect in each.stored_clearances - each.lost_clearances
            for each in crashes
        )

    def forget_stored(self) -> None:
        """Note that the store may have lost all reports on crashes and clearances."""
        for crash in self._crashes.values():
            crash.stored_until_s = 0.0
            crash.lost_clearances = crash.stored_clearances | crash.queued_clearances

    def is_crash_stored(self, crash_id: CrashId, *, now_s: float) -> bool:
        """Tell whether the store holds a report of a crash, or it is not known."""
        crash = self._crashes.get(crash_id)
        return crash is None or crash.stored_until_s > now_s

    def unstored_crashes(self, *, now_s: float) -> dict[CrashId, CrashSuspects]:
        """Return the crashes of which the store holds no report, with suspects."""
        return {
            crash_id: crash.suspects
            for crash_id, crash in self._crashes.items()
            if crash.stored_until_s <= now_s and (crash.not_begun or crash.begun)
        }

    def lost_clearances(self) -> tuple[Clearance, ...]:
        """Return the clearances that the store has lost."""
        lost = {
            suspect
            for crash in self._crashes.values()
            for suspect in crash.lost_clearances
        }
        return tuple(
            Clearance(suspect=suspect, crash_ids=self._crashes.cleared_of(suspect))
            for suspect in sorted(lost)
        )

    def decide(self, *, now_s: float) -> QuarantineChanges:
        """Decide what is quarantined, if there is new evidence.

        Many reports arrive at once when many upstreams crash, so this is done once
        before the next request and not for each report.
        """
        if self._is_decided:
            return _NO_CHANGES
        self._is_decided = True
        proven = self._completed_at_s.since(now_s - _PROVEN_S)
        before = self._quarantine_by_suspect
        causes = find_causes(
            [each.suspects for each in self._crashes.values()],
            proven=proven,
            quarantined=before,
        )
        self._quarantine_by_suspect = {
            suspect: Quarantine(
                suspect=suspect,
                crashes=self._crashes.count(suspect).total,
                last_crash_at_s=self._crashes.last_at_s(suspect),
            )
            for suspect in causes
        }
        self._trials.retain(self._quarantine_by_suspect.keys())
        return QuarantineChanges(
            begun=tuple(
                each
                for suspect, each in self._quarantine_by_suspect.items()
                if suspect not in before
            ),
            lifted=tuple(
                suspect
                for suspect in before
                if suspect not in self._quarantine_by_suspect
            ),
        )

    def find_quarantines(
        self, suspects: Collection[SuspectId]
    ) -> tuple[Quarantine, ...]:
        """Return the quarantines that cover a request, by the last `decide`."""
        return tuple(
            self._quarantine_by_suspect[suspect]
            for suspect in suspects
            if suspect in self._quarantine_by_suspect
        )

    def is_suspected(
        self, suspects: Collection[SuspectId], *, had_begun: bool, now_s: float
    ) -> bool:
        """Tell whether one more crash could quarantine a suspect of a request.

        :param had_begun: Whether its answer had begun. Otherwise, crashes at which only
            such answers contained the suspect are left out: most of these requests are
            bystanders, and their callers would lose the second attempt.
        """
        proven = self._completed_at_s.since(now_s - _PROVEN_S)
        for suspect in suspects:
            count = self._crashes.count(suspect)
            count.not_begun += 1
            if not had_begun:
                count.begun = 0
            if count.may_be_cause(proven=suspect in proven):
                return True
        return False

    def trial_wait_s(self, quarantines: Sequence[Quarantine], *, now_s: float) -> float:
        """Return the time until a request with all these suspects may be tried.

        :returns: Seconds, 0 for now.
        """
        due_at_s = max(self._trial_due_at_s(each) for each in quarantines)
        if len(quarantines) > 1:
            due_at_s += SEVERAL_SUSPECTS_DELAY_S
        return max(0.0, due_at_s - now_s)

    def begin_trial(
        self, quarantines: Sequence[Quarantine], *, turn: int, now_s: float
    ) -> Trial | None:
        """Return the trial as which to send a request, or None to refuse it.

        :param quarantines: All that cover the request. One that completes lifts them
            all, and one that crashes an upstream counts for each.
        :param turn: Number of daemons that come before this one.
        """
        if any(self._trials.is_pending(each.suspect) for each in quarantines):
            return None
        if self.trial_wait_s(quarantines, now_s=now_s - TRIAL_TURN_S * turn) > 0:
            return None
        trial = Trial(suspects=frozenset(each.suspect for each in quarantines))
        self._trials.begin(trial)
        return trial

    def end_trial(self, trial: Trial, how: TrialEnd, *, now_s: float) -> None:
        """Note that a request on trial has ended, after its completion if it did."""
        self._trials.end(trial, how, now_s=now_s)
        self._trials.retain(self._quarantine_by_suspect.keys())

    def _trial_due_at_s(self, quarantine: Quarantine) -> float:
        suspect = quarantine.suspect
        history = TrialHistory(
            crashes=quarantine.crashes,
            failed_trials=max(
                self._trials.executed(suspect),
                self._crashes.count_tried(suspect),
            ),
            has_completed=self._has_completed(suspect),
        )
        last_s = max(quarantine.last_crash_at_s, self._trials.last_ended_at_s(suspect))
        return last_s + trial_delay_s(history)

    def extend(
        self, quarantine: Quarantine, *, now_s: float
    ) -> dict[CrashId, CrashSuspects]:
        """Keep the crashes of a quarantine, as a request with its suspect was refused.

        :returns: Reports that are to be stored again.
        """
        to_store = {}
        for crash_id, crash in self._crashes.items():
            if not crash.names(quarantine.suspect):
                continue
            crash.expires_at_s = now_s + CRASH_LIFETIME_S
            if crash.stored_until_s - now_s < CRASH_LIFETIME_S / 2:
                crash.stored_until_s = now_s + CRASH_LIFETIME_S / 2 + _STORE_WAIT_S
                to_store[crash_id] = crash.suspects.only(quarantine.suspect)
        return to_store

    def expire(self, *, now_s: float) -> None:
        """Forget old crashes."""
        if self._crashes.remove_expired(now_s=now_s):
            self._is_decided = False

    def _merge(
        self, crash: KnownCrash, known: dict[SuspectId, int], reported: DepthBySuspect
    ) -> None:
        for suspect, depth in reported.items():
            if self._completed_at_s.of(suspect) >= crash.recorded_at_s:
                crash.clear(suspect)
            elif suspect not in crash.cleared:
                known[suspect] = depth

    def _clear(self, suspect: SuspectId, *, before_s: float) -> None:
        """Clear a suspect of the crashes before a time."""
        # Fewer crashes of a suspect that is no cause change no decision.
        may_change = self._crashes.count(suspect).total >= CRASHES_OF_CAUSE
        may_change = may_change or suspect in self._quarantine_by_suspect
        for crash in self._crashes.values():
            if crash.recorded_at_s <= before_s and crash.names(suspect):
                crash.clear(suspect)
                self._is_decided = self._is_decided and not may_change

    def _take_clearance(self, suspect: SuspectId) -> Clearance | None:
        """Return what other daemons do not know of a suspect, if it matters to them.

        :returns: None if there is nothing to report, or it was returned before.
        """
        crash_ids = self._crashes.cleared_of(suspect)
        unreported = [
            crash
            for crash in self._crashes.values()
            if suspect in crash.cleared and not crash.is_clearance_reported(suspect)
        ]
        if len(unreported) < _CRASHES_TO_REPORT_CLEARED:
            return None
        for crash in unreported:
            crash.queued_clearances.add(suspect)
        return Clearance(suspect=suspect, crash_ids=crash_ids)

    def _has_completed(self, suspect: SuspectId) -> bool:
        """Tell whether a request with a suspect has completed at any daemon."""
        return self._completed_at_s.of(suspect) > -inf or self._crashes.tell_completed(
            suspect
        )


_NO_CHANGES = QuarantineChanges(begun=(), lifted=())
