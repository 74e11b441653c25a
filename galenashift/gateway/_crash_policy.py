"""Decides on requests that may crash upstreams: refusal, suspicion and retries."""

import trio

from galenashift.model import CrashSuspects, Failure, RegisteredUpstream, SuspectId
from galenashift.retries import Trial, TrialEnd

from ._crashes import CrashGuard, Refusal
from ._failures import quarantine_failure
from ._outcomes import Broken, Outcome, StreamEnded
from ._request import ActiveRequest
from ._unconfirmed_crashes import Suspicion

#: Longest wait for the examination of a crash before a retry, in seconds.
_EXAMINATION_TIMEOUT_S = 0.5


class CrashPolicy:
    """Applies the evidence on crashes to single requests."""

    def __init__(self, *, crashes: CrashGuard) -> None:
        self._crashes = crashes

    def refusal(self, job: ActiveRequest) -> Failure | None:
        """Return the failure of a new request with a quarantined suspect, if any."""
        if not self._crashes.has_crashes:
            return None
        match self._crashes.admit(job.suspects):
            case Refusal() as refusal:
                return quarantine_failure(job.verdict, refusal)
            case Trial() as trial:
                job.trial = trial
                return None
            case None:
                return None

    def end_trial(self, job: ActiveRequest) -> None:
        """Note that a request has ended, if it was on trial.

        Otherwise its quarantine would last as long as such requests come.
        """
        if job.trial is None:
            return
        if job.may_have_run:
            how = TrialEnd.MAY_HAVE_RUN
        elif job.tried:
            how = TrialEnd.NOT_EXECUTED
        else:
            how = TrialEnd.NOT_SENT
        self._crashes.end_trial(job.trial, how)

    def refusal_before_send(self, job: ActiveRequest) -> Failure | None:
        """Return the failure by a quarantine that began after `refusal`, if any."""
        if job.on_trial or not self._crashes.has_crashes:
            return None
        refusal = self._crashes.find_refusal(job.suspects)
        return None if refusal is None else quarantine_failure(job.verdict, refusal)

    def is_suspected(self, job: ActiveRequest) -> bool:
        """Tell whether a request is on trial, or one more crash could refuse it."""
        if job.on_trial or not self._crashes.has_crashes:
            return job.on_trial
        return any(
            self._crashes.is_suspected(job.suspects, had_begun=had_begun)
            for had_begun in (False, True)
        )

    def suspect(
        self,
        job: ActiveRequest,
        upstream: RegisteredUpstream,
        outcome: Outcome,
        *,
        now_s: float,
    ) -> Suspicion | None:
        """Report a suspected crash if the connection ended before the answer did.

        :param now_s: Boot-time clock, in seconds.
        """
        tried = frozenset[SuspectId]() if job.trial is None else job.trial.suspects
        match outcome:
            case Broken(reset=True):
                suspects = CrashSuspects(not_begun=job.suspects, begun={}, tried=tried)
            case StreamEnded(complete=False, started=True):
                suspects = CrashSuspects(not_begun={}, begun=job.suspects, tried=tried)
            case _:
                return None
        suspicion = Suspicion(
            attempt_id=job.fields.attempt_id,
            upstream=upstream,
            suspects=suspects,
            at_s=now_s,
        )
        self._crashes.suspect(suspicion)
        return suspicion

    def complete(self, job: ActiveRequest, *, began_at_s: float) -> None:
        """Clear what a request contains, as an upstream answered it completely.

        A stream without an event is no such answer.

        :param began_at_s: Boot-time clock from which on the answer was written, or an
            earlier one, in seconds.
        """
        self._crashes.complete(job.suspects, began_at_s=began_at_s)

    async def forbids_retry(
        self, job: ActiveRequest, suspicion: Suspicion | None
    ) -> bool:
        """Tell whether a request is not repeated as it may crash the next upstream.

        A stream that had begun is resumed unless its crash leads to a quarantine, which
        is checked before the next send.
        """
        if suspicion is None or not job.route.repeatable:
            return False
        had_begun = not suspicion.suspects.not_begun
        if had_begun and not self._crashes.is_suspected(job.suspects, had_begun=True):
            return False
        with trio.move_on_after(_EXAMINATION_TIMEOUT_S):
            await suspicion.examined.wait()
        if had_begun:
            return False
        return self._crashes.is_suspected(job.suspects, had_begun=False)
