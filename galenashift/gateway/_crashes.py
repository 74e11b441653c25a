"""Detects crashes of upstreams, and refuses requests with what causes them."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import trio

from galenashift.model import (
    Clearance,
    CrashId,
    CrashSuspects,
    DaemonId,
    Fingerprint,
    OrganisationId,
    RegisteredUpstream,
    SuspectId,
)
from galenashift.platform import (
    CrashReport,
    cleared_key,
    crash_id_of,
    crash_key,
    encode_cleared,
    encode_crash,
)
from galenashift.retries import Quarantine, Trial, TrialEnd
from galenashift.telemetry import EventLog, Metrics

from ._connection import ConnectFailed, open_socket
from ._record_writer import RecordWriter, report_turn
from ._unconfirmed_crashes import Suspicion, UnconfirmedCrashes
from ._view import PlatformView

#: Time from a broken connection to the probe of its upstream, in seconds.
_PROBE_DELAY_S = 0.05
#: Suspected crashes that wait to be examined; further ones are logged and dropped.
_MAX_PENDING_SUSPICIONS = 100
#: Clearances that wait for their turn to be reported; further ones are dropped.
_MAX_PENDING_CLEARANCES = 1_000
#: Time between two checks of unconfirmed suspicions, in seconds.
_CONFIRMATION_INTERVAL_S = 0.25
#: Time between two checks for crashes to forget, in seconds.
_EXPIRY_INTERVAL_S = 2.0
#: Time between the reports of two daemons that a suspect is cleared, in seconds.
_TURN_INTERVAL_S = 0.1
#: Crashes whose own reports are kept, to be merged with later suspicions.
_MAX_OWN_CRASHES = 64


class _Probe(Enum):
    """How an address responds to a new connection."""

    REFUSED = "refused"
    ACCEPTED = "accepted"
    NO_ANSWER = "no-answer"
    #: The upstream is not in use, so its address was not probed.
    NOT_PROBED = "not-probed"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request is refused."""

    quarantine: Quarantine
    #: Time until a request like it may be tried, in seconds.
    trial_wait_s: float


def fingerprint(
    *, organisation_id: OrganisationId | None, host: str, target: str, body: bytes
) -> Fingerprint:
    """Return a digest that is the same for all attempts of a request.

    :param host: Value of the Host header.
    :param target: Path and query.
    """
    digest = blake2b(digest_size=12)
    for part in (organisation_id or "", host, target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class CrashGuard:
    """Gathers evidence on crashes and refuses requests with a quarantined suspect.

    A broken connection alone does not prove a crash: the upstream must be in use, and
    its address must refuse a new connection, or another process must take its place.

    :param view: Holds the evidence, as reported by all daemons.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        daemon_id: DaemonId,
        view: PlatformView,
        reporter: RecordWriter,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._daemon_id = daemon_id
        self._view = view
        self._evidence = view.crash_evidence
        self._reporter = reporter
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._own_suspects_by_crash: dict[CrashId, CrashSuspects] = {}
        self._unconfirmed = UnconfirmedCrashes()
        self._nursery: trio.Nursery | None = None
        self._suspicion_sender, self._suspicion_receiver = trio.open_memory_channel[
            Suspicion
        ](_MAX_PENDING_SUSPICIONS)
        self._cleared_sender, self._cleared_receiver = trio.open_memory_channel[
            Clearance
        ](_MAX_PENDING_CLEARANCES)

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is known."""
        return self._evidence.has_crashes

    def admit(self, suspects: Mapping[SuspectId, int]) -> Refusal | Trial | None:
        """Return why a new request is refused, or None if it may be sent.

        :returns: A `Trial` if it may be sent in spite of its quarantines; `end_trial`
            must be called in the end.
        """
        self._decide()
        quarantines = self._evidence.find_quarantines(suspects)
        if not quarantines:
            return None
        trial = self._begin_trial(quarantines)
        return self._refuse(quarantines) if trial is None else trial

    def _begin_trial(self, quarantines: Sequence[Quarantine]) -> Trial | None:
        """Return a trial if it is this daemon's turn to try a request."""
        now_s = self._clock()
        if self._evidence.trial_wait_s(quarantines, now_s=now_s) > 0:
            return None
        turn = report_turn(
            key=quarantines[0].suspect,
            daemon_id=self._daemon_id,
            daemons=self._view.peers_by_id.keys() | {self._daemon_id},
        )
        trial = self._evidence.begin_trial(quarantines, turn=turn, now_s=now_s)
        if trial is None:
            return None
        for each in quarantines:
            self._events.warning(
                "quarantine-tried",
                suspect=each.suspect,
                crashes=each.crashes,
                turn=turn,
                last_crash_s=now_s - each.last_crash_at_s,
            )
        return trial

    def end_trial(self, trial: Trial, how: TrialEnd) -> None:
        """Note that a request on trial has ended."""
        now_s = self._clock()
        self._evidence.end_trial(trial, how, now_s=now_s)
        self._events.info(
            "quarantine-trial-ended", suspects=",".join(trial.suspects), how=how
        )

    def find_refusal(self, suspects: Mapping[SuspectId, int]) -> Refusal | None:
        """Return why a request that was admitted before is refused, if it is."""
        self._decide()
        quarantines = self._evidence.find_quarantines(suspects)
        return self._refuse(quarantines) if quarantines else None

    def _decide(self) -> None:
        changes = self._evidence.decide(now_s=self._clock())
        for quarantine in changes.begun:
            self._events.warning(
                "quarantine-begun",
                suspect=quarantine.suspect,
                crashes=quarantine.crashes,
                last_crash_s=self._clock() - quarantine.last_crash_at_s,
            )
        for suspect in changes.lifted:
            self._events.warning("quarantine-lifted", suspect=suspect)

    def _refuse(self, quarantines: Sequence[Quarantine]) -> Refusal:
        """Keep a quarantine in force while requests with its suspect come."""
        self._metrics.count("quarantine_refusals_total")
        now_s = self._clock()
        kept = self._evidence.extend(quarantines[0], now_s=now_s)
        for crash_id, suspects in kept.items():
            self._report(crash_id, suspects)
        wait_s = self._evidence.trial_wait_s(quarantines, now_s=now_s)
        return Refusal(quarantine=quarantines[0], trial_wait_s=wait_s)

    def is_suspected(
        self, suspects: Mapping[SuspectId, int], *, had_begun: bool
    ) -> bool:
        """Tell whether one more crash could quarantine a request.

        :param had_begun: Whether its answer had begun.
        """
        return self._evidence.is_suspected(
            suspects, had_begun=had_begun, now_s=self._clock()
        )

    def suspect(self, suspicion: Suspicion) -> None:
        """Queue a probe of the upstream whose connection broke."""
        try:
            self._suspicion_sender.send_nowait(suspicion)
        except trio.WouldBlock:
            suspicion.examined.set()
            self._events.warning(
                "crash-not-examined", upstream=suspicion.upstream.upstream_id
            )

    def complete(self, suspects: Mapping[SuspectId, int], *, began_at_s: float) -> None:
        """Clear the suspects of a request that an upstream answered completely.

        :param began_at_s: Boot-time clock from which on the answer was written, or an
            earlier one, in seconds.
        """
        cleared = self._evidence.record_completion(suspects, began_at_s=began_at_s)
        for clearance in cleared:
            try:
                self._cleared_sender.send_nowait(clearance)
            except trio.WouldBlock:
                self._events.warning("cleared-not-reported", suspect=clearance.suspect)

    async def run(self) -> None:
        """Examine suspected crashes and write reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reporter.run)
            nursery.start_soon(self._forget_old_crashes)
            nursery.start_soon(self._confirm_later)
            self._nursery = nursery
            nursery.start_soon(self._report_cleared, nursery)
            async for suspicion in self._suspicion_receiver:
                nursery.start_soon(self._examine, suspicion)

    async def _forget_old_crashes(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_INTERVAL_S)
            self._evidence.expire(now_s=self._clock())
            self._decide()

    async def _confirm_later(self) -> None:
        """Count crashes that the registrations of upstreams prove."""
        while True:
            await trio.sleep(_CONFIRMATION_INTERVAL_S)
            now_s = self._clock()
            for suspicion in self._unconfirmed.take_confirmed(self._view, now_s=now_s):
                self._events.warning(
                    "upstream-replaced",
                    upstream=suspicion.upstream.upstream_id,
                    request_id=None,
                    attempt=suspicion.attempt_id,
                    suspects=",".join(suspicion.suspects.not_begun),
                    begun=",".join(suspicion.suspects.begun),
                    age_s=now_s - suspicion.at_s,
                )
                self._record(suspicion)

    async def _examine(self, suspicion: Suspicion) -> None:
        upstream = suspicion.upstream
        in_use = self._view.accepts_requests(upstream, now_s=self._clock())
        await trio.sleep(_PROBE_DELAY_S)
        probe = await _probe(upstream) if in_use else _Probe.NOT_PROBED
        crashed = probe is _Probe.REFUSED
        self._events.warning(
            "upstream-crashed" if crashed else "crash-not-confirmed",
            upstream=upstream.upstream_id,
            request_id=None,
            attempt=suspicion.attempt_id,
            suspects=",".join(suspicion.suspects.not_begun),
            begun=",".join(suspicion.suspects.begun),
            probe=probe,
        )
        if crashed:
            self._record(suspicion)
        elif in_use:
            self._unconfirmed.add(suspicion)
        suspicion.examined.set()

    def _record(self, suspicion: Suspicion) -> None:
        self._metrics.count("upstream_crashes_total")
        crash_id = crash_id_of(suspicion.upstream)
        own = self._evidence.with_completed(suspicion.suspects)
        self._evidence.record_crash(crash_id, own, now_s=suspicion.at_s)
        earlier = self._own_suspects_by_crash.get(crash_id)
        if earlier is not None:
            own = earlier.merged(own)
        self._own_suspects_by_crash[crash_id] = own
        if len(self._own_suspects_by_crash) > _MAX_OWN_CRASHES:
            del self._own_suspects_by_crash[next(iter(self._own_suspects_by_crash))]
        self._report(crash_id, own)

    def report_again(self) -> None:
        """Report what the store has lost, each daemon in its turn."""
        if self._nursery is None:
            return
        crashes = self._evidence.unstored_crashes(now_s=self._clock())
        for crash_id, suspects in crashes.items():
            self._nursery.start_soon(self._report_crash_in_turn, crash_id, suspects)
        for clearance in self._evidence.lost_clearances():
            self._nursery.start_soon(self._report_cleared_in_turn, clearance)

    async def _report_crash_in_turn(
        self, crash_id: CrashId, suspects: CrashSuspects
    ) -> None:
        await self._wait_for_turn(crash_id)
        if not self._evidence.is_crash_stored(crash_id, now_s=self._clock()):
            self._report(crash_id, suspects)

    async def _wait_for_turn(self, key: str) -> None:
        """Wait until all daemons that report on a key before this one have done it."""
        turn = report_turn(
            key=key, daemon_id=self._daemon_id, daemons=self._view.peers_by_id
        )
        await trio.sleep(_TURN_INTERVAL_S * turn)

    def _report(self, crash_id: CrashId, suspects: CrashSuspects) -> None:
        report = CrashReport(
            crash_id=crash_id, reporter=self._daemon_id, suspects=suspects
        )
        self._reporter.enqueue(key=crash_key(report), value=encode_crash(report))

    async def _report_cleared(self, nursery: trio.Nursery) -> None:
        async for clearance in self._cleared_receiver:
            nursery.start_soon(self._report_cleared_in_turn, clearance)

    async def _report_cleared_in_turn(self, clearance: Clearance) -> None:
        suspect = clearance.suspect
        await self._wait_for_turn(suspect)
        if self._evidence.is_stored(clearance):
            return
        # The lease of a new record lasts as long as those of the reports it refutes.
        self._reporter.enqueue(
            key=cleared_key(suspect, reporter=self._daemon_id),
            value=encode_cleared(clearance),
            new_lease=True,
        )


async def _probe(upstream: RegisteredUpstream) -> _Probe:
    try:
        sock = await open_socket(host=upstream.host, port=upstream.port)
    except ConnectFailed as error:
        return _Probe.REFUSED if error.refused else _Probe.NO_ANSWER
    sock.close()
    return _Probe.ACCEPTED
