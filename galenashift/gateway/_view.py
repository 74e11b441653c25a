"""The daemon's view of the store: configuration, upstreams, evacuations and peers."""

import contextlib
from collections.abc import Iterable, Mapping

from galenashift.model import (
    CrashId,
    DaemonId,
    FailureDomainName,
    InstanceState,
    RegisteredUpstream,
    RoutingConfig,
    ServiceName,
    UpstreamId,
)
from galenashift.platform import (
    CLEARED_PREFIX,
    CONFIG_KEY,
    CRASH_PREFIX,
    DAEMON_PREFIX,
    EVACUATION_PREFIX,
    LIMIT_PREFIX,
    UPSTREAM_PREFIX,
    Deletion,
    Item,
    LimitReport,
    PeerAddress,
    RecordError,
    Snapshot,
    decode_cleared,
    decode_config,
    decode_crash,
    decode_crash_id,
    decode_daemon,
    decode_evacuated,
    decode_limit,
    decode_upstream,
)
from galenashift.retries import CRASH_LIFETIME_S, CrashEvidence
from galenashift.rollouts import AllowedVersions

from ._rollout_view import RolloutView
from ._upstream_registry import KnownUpstream, Report, UpstreamRegistry


class PlatformView:
    """The latest records of the store, decoded.

    An upstream whose record cannot be decoded is removed; other records are not
    affected. While the store is unreachable, the last known records stay in use.
    :param report: Receives each change.
    """

    def __init__(self, *, report: Report) -> None:
        self._report = report
        self.config: RoutingConfig | None = None
        self.evacuated: set[FailureDomainName] = set()
        self.peers_by_id: dict[DaemonId, PeerAddress] = {}
        #: What daemons have reported last on the limits of upstreams.
        self.limit_reports_by_id: dict[UpstreamId, LimitReport] = {}
        #: Crashes that daemons have reported, and what they quarantine.
        self.crash_evidence = CrashEvidence()
        #: Orders and records of rollouts, and the versions that may get requests.
        self.rollouts = RolloutView(report=report)
        self._upstreams = UpstreamRegistry(
            report=report, is_accepting=self._is_accepting
        )

    @property
    def daemon_count(self) -> int:
        """Number of registered daemons, at least one."""
        return max(1, len(self.peers_by_id))

    def find(self, upstream_id: UpstreamId) -> KnownUpstream | None:
        """Return a registered upstream."""
        return self._upstreams.find(upstream_id)

    def registrations(self, service: ServiceName) -> list[RegisteredUpstream]:
        """List all registered upstreams of a service."""
        return self._upstreams.registrations(service)

    def all_registrations(self) -> list[RegisteredUpstream]:
        """List all registered upstreams."""
        return self._upstreams.all_registrations()

    def find_by_address(self, address: str) -> KnownUpstream | None:
        """Return the upstream at an address such as ``10.0.0.1:80``."""
        return self._upstreams.find_by_address(address)

    def available_upstreams(
        self, service: ServiceName, *, now_s: float
    ) -> tuple[KnownUpstream, ...]:
        """List the upstreams of a service, see `UpstreamRegistry.available`."""
        return self._upstreams.available(service, now_s=now_s)

    def domain_with_most_bytes(
        self, bytes_by_address: Mapping[str, int]
    ) -> FailureDomainName | None:
        """See `UpstreamRegistry.domain_with_most_bytes`."""
        return self._upstreams.domain_with_most_bytes(bytes_by_address)

    def accepts_requests(
        self, registration: RegisteredUpstream, *, now_s: float
    ) -> bool:
        """See `UpstreamRegistry.accepts_requests`."""
        return self._upstreams.accepts_requests(registration, now_s=now_s)

    def _is_accepting(self, registration: RegisteredUpstream) -> bool:
        if registration.state is not InstanceState.READY:
            return False
        if not self.rollouts.allows(registration):
            return False
        return registration.failure_domain not in self.evacuated

    def allow_versions(
        self, service: ServiceName, allowed: AllowedVersions | None
    ) -> None:
        """Restrict a service to some versions of its upstreams; None for all."""
        if self.rollouts.restrict(service, allowed):
            self._upstreams.forget_available(service)

    def begin_lapse_grace(self, *, now_s: float) -> None:
        """See `UpstreamRegistry.begin_lapse_grace`."""
        self._upstreams.begin_lapse_grace(now_s=now_s)

    def apply_snapshot(self, snapshot: Snapshot, *, now_s: float) -> None:
        """Replace all records by a listing of the store.

        :param now_s: Boot-time clock, in seconds.
        """
        keys = {item.key for item in snapshot.items}
        for upstream_id in self._upstreams.ids:
            if UPSTREAM_PREFIX + upstream_id not in keys:
                self._upstreams.remove(upstream_id, now_s=now_s)
        for daemon_id in list(self.peers_by_id):
            if DAEMON_PREFIX + daemon_id not in keys:
                self._remove_peer(daemon_id)
        for upstream_id in list(self.limit_reports_by_id):
            if LIMIT_PREFIX + upstream_id not in keys:
                del self.limit_reports_by_id[upstream_id]
        for domain in list(self.evacuated):
            if EVACUATION_PREFIX + domain not in keys:
                self._end_evacuation(domain)
        self.rollouts.retain(keys)
        self.crash_evidence.retain_stored(_reported_crashes(keys))
        # A record of an operator clears a suspect of the crashes reported before it.
        for item in sorted(snapshot.items, key=lambda item: item.revision):
            self._apply_item(item, now_s)

    def apply_older_copy(self, snapshot: Snapshot, *, now_s: float) -> None:
        """Apply the first listing after the store has come back from an older copy.

        Operators and upstreams write again what the copy lacks, so that nothing is
        removed, and upstreams that have left since the copy stay away. Reports of
        daemons that it lacks count as not stored.

        :param now_s: Boot-time clock, in seconds.
        """
        known_limits = dict(self.limit_reports_by_id)
        self.limit_reports_by_id.clear()
        self.crash_evidence.forget_stored()
        for item in sorted(snapshot.items, key=lambda item: item.revision):
            if item.key.startswith(LIMIT_PREFIX) and known_limits:
                self._put_older_limit(item, known_limits, now_s)
            elif not self._is_outdated(item):
                self._apply_item(item, now_s)

    def _is_outdated(self, item: Item) -> bool:
        """Tell whether an older copy shows an upstream that has left since."""
        if not item.key.startswith(UPSTREAM_PREFIX):
            return False
        try:
            registration = decode_upstream(key=item.key, value=item.value)
        except RecordError:
            return False
        return self._upstreams.is_outdated(registration)

    def _put_older_limit(
        self, item: Item, known: Mapping[UpstreamId, LimitReport], now_s: float
    ) -> None:
        """Note which report the store holds, and apply it only if none was known."""
        upstream_id = UpstreamId(item.key.removeprefix(LIMIT_PREFIX))
        if upstream_id not in known:
            self._apply_item(item, now_s)
            return
        with contextlib.suppress(RecordError):
            report = decode_limit(key=item.key, value=item.value)
            self.limit_reports_by_id[upstream_id] = report

    def apply(self, change: Item | Deletion, *, now_s: float) -> None:
        """Apply one change of the store.

        :param now_s: Boot-time clock, in seconds.
        """
        match change:
            case Item():
                self._apply_item(change, now_s)
            case Deletion(key=key):
                self._apply_deletion(key, now_s)

    def _apply_item(self, item: Item, now_s: float) -> None:
        try:
            if item.key == CONFIG_KEY:
                self._apply_config(item)
            elif item.key.startswith(EVACUATION_PREFIX):
                self._evacuate(decode_evacuated(item.key))
            elif item.key.startswith(UPSTREAM_PREFIX):
                self._put_upstream(item, now_s)
            elif item.key.startswith(DAEMON_PREFIX):
                self._put_peer(*decode_daemon(key=item.key, value=item.value))
            elif item.key.startswith(CRASH_PREFIX):
                self._put_crash(item, now_s)
            elif item.key.startswith(CLEARED_PREFIX):
                self._put_cleared(item, now_s)
            elif item.key.startswith(LIMIT_PREFIX):
                self._put_limit(item)
            else:
                self.rollouts.apply(item)
        except RecordError as error:
            self._report("record-unreadable", {"key": item.key, "detail": error})

    def _apply_deletion(self, key: str, now_s: float) -> None:
        if key.startswith(EVACUATION_PREFIX):
            self._end_evacuation(decode_evacuated(key))
        elif key.startswith(UPSTREAM_PREFIX):
            upstream_id = UpstreamId(key.removeprefix(UPSTREAM_PREFIX))
            self._upstreams.remove(upstream_id, now_s=now_s)
        elif key.startswith(DAEMON_PREFIX):
            self._remove_peer(DaemonId(key.removeprefix(DAEMON_PREFIX)))
        elif key.startswith(CRASH_PREFIX):
            self._remove_crash(key)
        elif key.startswith(LIMIT_PREFIX):
            self.limit_reports_by_id.pop(
                UpstreamId(key.removeprefix(LIMIT_PREFIX)), None
            )
        else:
            self.rollouts.remove(key)

    def _apply_config(self, item: Item) -> None:
        """Adopt a configuration; the last valid one stays in force otherwise."""
        try:
            self._adopt_config(decode_config(item.value))
        except RecordError as error:
            fields = {
                "in_force": None if self.config is None else self.config.version,
                "revision": item.revision,
                "detail": error,
            }
            self._report("config-rejected", fields)

    def _adopt_config(self, config: RoutingConfig) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self._report("config-adopted", {"version": config.version})

    def _evacuate(self, domain: FailureDomainName) -> None:
        if domain not in self.evacuated:
            self.evacuated.add(domain)
            self._upstreams.forget_available()
            self._report("domain-evacuated", {"domain": domain})

    def _end_evacuation(self, domain: FailureDomainName) -> None:
        if domain in self.evacuated:
            self.evacuated.discard(domain)
            self._upstreams.forget_available()
            self._report("domain-restored", {"domain": domain})

    def _put_peer(self, daemon_id: DaemonId, address: PeerAddress) -> None:
        if self.peers_by_id.get(daemon_id) != address:
            self.peers_by_id[daemon_id] = address
            self._report("peer-registered", {"peer": daemon_id})

    def _remove_peer(self, daemon_id: DaemonId) -> None:
        if self.peers_by_id.pop(daemon_id, None) is not None:
            self._report("peer-removed", {"peer": daemon_id})

    def _put_crash(self, item: Item, now_s: float) -> None:
        report = decode_crash(key=item.key, value=item.value)
        fields = {
            "crash": report.crash_id,
            "reporter": report.reporter,
            "suspects": ",".join(report.suspects.not_begun),
            "begun": ",".join(report.suspects.begun),
        }
        self._report("crash-reported", fields)
        self.crash_evidence.record_crash(report.crash_id, report.suspects, now_s=now_s)
        self.crash_evidence.record_stored(
            report.crash_id, until_s=now_s + CRASH_LIFETIME_S
        )

    def _put_cleared(self, item: Item, now_s: float) -> None:
        clearance = decode_cleared(key=item.key, value=item.value)
        crash_ids = clearance.crash_ids
        fields = {
            "suspect": clearance.suspect,
            "crashes": "all" if crash_ids is None else ",".join(crash_ids),
        }
        self._report("suspect-cleared", fields)
        self.crash_evidence.record_clearance(clearance, now_s=now_s)

    def _put_limit(self, item: Item) -> None:
        report = decode_limit(key=item.key, value=item.value)
        self.limit_reports_by_id[report.upstream_id] = report
        fields = {"upstream": report.upstream_id, "limit_per_s": report.per_s}
        self._report("upstream-limit-reported", fields)

    def _remove_crash(self, key: str) -> None:
        """Note that the store holds a report no longer; it stays known here."""
        try:
            crash_id = decode_crash_id(key)
        except RecordError as error:
            self._report("record-unreadable", {"key": key, "detail": error})
            return
        self.crash_evidence.record_stored(crash_id, until_s=0.0)

    def _put_upstream(self, item: Item, now_s: float) -> None:
        try:
            registration = decode_upstream(key=item.key, value=item.value)
        except RecordError:
            upstream_id = UpstreamId(item.key.removeprefix(UPSTREAM_PREFIX))
            self._upstreams.discard(upstream_id)
            raise
        self._upstreams.put(registration, now_s=now_s)


def _reported_crashes(keys: Iterable[str]) -> set[CrashId]:
    """Return the crashes on which there are reports among some keys."""
    crash_ids = set()
    for key in keys:
        if key.startswith(CRASH_PREFIX):
            with contextlib.suppress(RecordError):
                crash_ids.add(decode_crash_id(key))
    return crash_ids
