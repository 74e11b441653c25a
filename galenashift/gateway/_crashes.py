"""Detects crashes of upstreams, and refuses requests with what causes them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import trio

from galenashift.membership import rank_daemons
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
from galenashift.retries import Quarantine
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
class Trial:
    """A request that is sent to find out whether a quarantine is right."""

    suspect: SuspectId


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

    def admit(self, suspects: Mapping[SuspectId, int]) -> Quarantine | Trial | None:
        """Return the quarantine that refuses a new request, or None if it may be sent.

        :returns: A `Trial` if it may be sent in spite of a quarantine.
        """
        self._decide()
        quarantines = self._evidence.find_quarantines(suspects)
        if not quarantines:
            return None
        quarantine = quarantines[0]
        # With two suspects, a trial of one may crash the upstream by the other.
        if len(quarantines) == 1 and self._tries(quarantine):
            self._events.warning(
                "quarantine-tried",
                suspect=quarantine.suspect,
                crashes=quarantine.crashes,
            )
            return Trial(suspect=quarantine.suspect)
        return self._refuse(quarantine, suspects)

    def find_quarantine(self, suspects: Mapping[SuspectId, int]) -> Quarantine | None:
        """Return the quarantine of a request that was admitted before, if any."""
        self._decide()
        quarantines = self._evidence.find_quarantines(suspects)
        return self._refuse(quarantines[0], suspects) if quarantines else None

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

    def _tries(self, quarantine: Quarantine) -> bool:
        """Tell whether this daemon tries one request in spite of a quarantine."""
        ranked = rank_daemons(
            key=quarantine.suspect, daemons=self._view.peers_by_id, count=1
        )
        if ranked != (self._daemon_id,):
            return False
        return self._evidence.begin_trial(quarantine, now_s=self._clock())

    def _refuse(
        self, quarantine: Quarantine, suspects: Mapping[SuspectId, int]
    ) -> Quarantine:
        """Keep a quarantine in force while requests with its suspect come."""
        self._metrics.count("quarantine_refusals_total")
        for crash_id in self._evidence.extend(quarantine, now_s=self._clock()):
            depth = suspects[quarantine.suspect]
            kept = CrashSuspects(not_begun={quarantine.suspect: depth}, begun={})
            self._report(crash_id, kept)
        return quarantine

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
        self._evidence.record_crash(crash_id, suspicion.suspects, now_s=suspicion.at_s)
        own = suspicion.suspects
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
