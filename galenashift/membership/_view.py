"""One daemon's view of the fleet."""

import math
from collections.abc import Collection, Mapping
from dataclasses import replace

from galenashift.model import (
    Authority,
    ConfigVersion,
    DaemonId,
    EventKind,
    FleetEvent,
    GossipMessage,
    Incarnation,
    MemberState,
)

from ._authority import (
    ANNOUNCEMENT_OUTCOME_S,
    MAX_FRESH_AGE_S,
    AuthorityInputs,
    DaemonRegistration,
    config_authority,
    is_majority,
)
from ._events import EventTable
from ._members import Member, MemberStatus, MemberTable
from ._message_size import (
    ENVELOPE_BYTES,
    MAX_EVENT_BYTES,
    MAX_MESSAGE_BYTES,
    MEMBER_FRACTION,
    event_size,
    member_size,
    report_size,
)
from ._owners import KeyOwners
from ._reports import LoadReportTable


class FleetView:
    """Implements `Fleet` without I/O; times are arguments, in boot-time seconds.

    :param own_registration: This daemon as it registers.
    :param started_at_s: Boot-time clock at the start of the process, in seconds.
    """

    def __init__(
        self, *, own_registration: DaemonRegistration, started_at_s: float
    ) -> None:
        self._own_registration = own_registration
        self._members = MemberTable(self_id=own_registration.daemon_id)
        self._registrations: Mapping[DaemonId, DaemonRegistration] = {}
        self._events = EventTable()
        #: Load reports distributed by gossip.
        self.reports = LoadReportTable()
        self._owners = KeyOwners(
            self_id=own_registration.daemon_id,
            members=self._members,
            started_at_s=started_at_s,
        )
        self._version = ConfigVersion(0)
        self._evidence_at_s = -math.inf
        self._renewed_at_s = -math.inf
        self._draining = False
        # A restarted process does not know what its predecessor acknowledged. It
        # reports version 0, and counts for no peer, until the outcome is visible.
        self._announced: ConfigVersion | None = None
        self._announced_at_s: float = started_at_s

    @property
    def self_id(self) -> DaemonId:
        """Identifier of this daemon."""
        return self._own_registration.daemon_id

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of this daemon."""
        return self._own_registration.incarnation

    @property
    def failure_domain(self) -> str:
        """Failure domain of this daemon."""
        return self._own_registration.failure_domain

    @property
    def config_version(self) -> ConfigVersion:
        """Version that this daemon has adopted, 0 for none."""
        return self._version

    @property
    def registrations_by_id(self) -> Mapping[DaemonId, DaemonRegistration]:
        """Registrations as last read from the store."""
        return self._registrations

    @property
    def _highest_version(self) -> ConfigVersion:
        if self._announced is None:
            return ConfigVersion(0)
        return max(self._version, self._announced)

    def adopt(self, *, version: ConfigVersion) -> None:
        """Record that this daemon now uses a version; a lower one is ignored."""
        self._version = max(self._version, version)

    def record_evidence(self, *, version: ConfigVersion, as_of_s: float) -> None:
        """Record evidence that a version was the current one.

        :param version: The version. Ignored if it is higher than the adopted one, as
            the adopted version is then outdated.
        :param as_of_s: Boot-time clock, in seconds, when the call was sent.
        """
        if version == 0 or version > self._version:
            return
        self._evidence_at_s = max(self._evidence_at_s, as_of_s)
        if self._evidence_at_s >= self._announced_at_s + ANNOUNCEMENT_OUTCOME_S:
            self._announced = ConfigVersion(0)

    def evidence_age_s(self, *, now_s: float) -> float:
        """Return the age in seconds of the evidence for this daemon's version."""
        return max(0.0, now_s - self._evidence_at_s)

    def set_registrations(
        self, *, registrations_by_id: Mapping[DaemonId, DaemonRegistration]
    ) -> None:
        """Replace the registrations by those just read from the store."""
        self._registrations = registrations_by_id

    def record_renewal(self, *, renewed_at_s: float) -> None:
        """Record a renewal of this daemon's own registration.

        :param renewed_at_s: Boot-time clock, in seconds, before the renewal was sent.
        """
        self._renewed_at_s = max(self._renewed_at_s, renewed_at_s)

    def members(self) -> tuple[Member, ...]:
        """List the other daemons known from gossip."""
        return tuple(self._members.members_by_id.values())

    def start_draining(self) -> None:
        """Mark this daemon as draining in its gossip messages."""
        self._draining = True

    def authority(self, *, now_s: float) -> Authority:
        """Decide whether this daemon may dispatch now."""
        if self._version and now_s - self._evidence_at_s <= MAX_FRESH_AGE_S:
            return Authority.FRESH
        return config_authority(
            AuthorityInputs(
                self_id=self.self_id,
                version=self._version,
                highest_version=self._highest_version,
                evidence_age_s=now_s - self._evidence_at_s,
                registration_age_s=now_s - self._renewed_at_s,
                registrations_by_id=self._registrations,
                heartbeats_by_id={
                    daemon: member.answer_heartbeat(now_s=now_s)
                    for daemon, member in self._members.members_by_id.items()
                    if self._is_registered(daemon, member.incarnation)
                },
            )
        )

    def may_confirm(self, *, now_s: float, wall_now_s: float) -> bool:
        """Tell whether more than half of the known daemons are reachable.

        :param now_s: Boot-time clock, in seconds.
        :param wall_now_s: Unix time, in seconds.
        """
        reachable = self.reachable_daemons(now_s=now_s)
        return self.is_quorum(daemons=reachable, wall_now_s=wall_now_s)

    def reachable_daemons(self, *, now_s: float) -> frozenset[DaemonId]:
        """List this daemon and the known ones with an answer heartbeat in the last 6 s.

        :param now_s: Boot-time clock, in seconds.
        """
        reachable = {
            daemon
            for daemon, member in self._members.members_by_id.items()
            if now_s - member.answer_heartbeat_at_s <= MAX_FRESH_AGE_S
            and self._is_registered(daemon, member.incarnation)
        }
        return frozenset(reachable | {self.self_id})

    def is_quorum(self, *, daemons: Collection[DaemonId], wall_now_s: float) -> bool:
        """Tell whether these daemons suffice to acknowledge an announcement.

        :param daemons: Daemons that acknowledged, this one included.
        :param wall_now_s: Unix time, in seconds.
        """
        return is_majority(
            daemons=daemons,
            registrations_by_id=self._registrations,
            wall_now_s=wall_now_s,
        )

    def owner_of(self, *, key: str, now_s: float) -> DaemonId:
        """Return the owner of a key: the best-ranked daemon among those alive."""
        return self.ranked_for(key=key, count=1, now_s=now_s)[0]

    def ranked_for(self, *, key: str, count: int, now_s: float) -> tuple[DaemonId, ...]:
        """Return the best-ranked daemons that are neither suspected nor draining."""
        self._refresh_owners(now_s=now_s)
        return self._owners.ranked_for(key=key, count=count)

    def owners_changed_at_s(self, *, now_s: float) -> float:
        """Return the boot-time clock at which the owners of keys last changed."""
        self._refresh_owners(now_s=now_s)
        return self._owners.changed_at_s

    def owned_since_s(self, *, key: str, now_s: float) -> float:
        """Return the boot-time clock since which this daemon owns one of its keys."""
        self._refresh_owners(now_s=now_s)
        return self._owners.owned_since_s(key=key, now_s=now_s)

    def record_round(self, *, now_s: float) -> None:
        """Record a gossip round; a long time between two rounds indicates a pause."""
        self._owners.record_round(now_s=now_s)
        self._refresh_owners(now_s=now_s)

    def _refresh_owners(self, *, now_s: float) -> None:
        self._owners.refresh(draining=self._draining, now_s=now_s)

    @property
    def sharing_count(self) -> int:
        """Number of daemons among which a limit is divided while its owner is away."""
        # Registrations are read every 15 s; gossip reports a new daemon sooner.
        return len({self.self_id, *self._registrations, *self._members.members_by_id})

    def alive(self, *, now_s: float) -> tuple[DaemonId, ...]:
        """List the daemons that are not dead, this one first."""
        return (
            self.self_id,
            *(
                daemon
                for daemon, member in self._members.members_by_id.items()
                if member.status(now_s=now_s) is not MemberStatus.DEAD
            ),
        )

    def is_alive(
        self, *, daemon: DaemonId, incarnation: Incarnation, now_s: float
    ) -> bool:
        """Tell whether a daemon with this incarnation is alive or only suspected."""
        if daemon == self.self_id:
            return incarnation == self.incarnation
        member = self._members.members_by_id.get(daemon)
        return (
            member is not None
            and member.incarnation == incarnation
            and member.status(now_s=now_s) is not MemberStatus.DEAD
        )

    def address_of(self, daemon: DaemonId) -> tuple[str, int] | None:
        """Return the IP address and port of a daemon, or None if unknown."""
        member = self._members.members_by_id.get(daemon)
        known = self._registrations.get(daemon)
        if known is not None and (
            member is None or not member.host or member.incarnation < known.incarnation
        ):
            return known.host, known.port
        if member is None or not member.host:
            return None
        return member.host, member.port

    def failure_domain_of(self, daemon: DaemonId) -> str | None:
        """Return the failure domain of a daemon, or None if unknown."""
        known = self._registrations.get(daemon)
        if known is not None:
            return known.failure_domain
        member = self._members.members_by_id.get(daemon)
        return member.failure_domain if member is not None else None

    def record_event(self, *, event: FleetEvent, as_of_s: float) -> bool:
        """Record an event of this daemon or of a peer.

        :param event: Event with its age.
        :param as_of_s: Boot-time clock, in seconds, from which the age counts back.
        :returns: Whether the event is new and has to be applied.
        """
        if event.kind is EventKind.CONFIRM_PENDING:
            self._record_announcement(
                version=event.config_version, at_s=as_of_s - event.age_s
            )
        return self._events.add(event=event, as_of_s=as_of_s)

    def _record_announcement(self, *, version: ConfigVersion, at_s: float) -> None:
        if self._evidence_at_s >= at_s + ANNOUNCEMENT_OUTCOME_S:
            return
        if self._announced is not None:
            self._announced = max(self._announced, version)
        self._announced_at_s = max(self._announced_at_s, at_s)

    def build_message(self, *, now_s: float) -> GossipMessage:
        """Build the next gossip message, at most 2 KB when encoded.

        Marks the included load reports as sent.

        :param now_s: Boot-time clock, in seconds.
        """
        # Detects changes of owners also while no caller asks for one.
        self._refresh_owners(now_s=now_s)
        own = self._own_state(now_s=now_s)
        room = MAX_MESSAGE_BYTES - ENVELOPE_BYTES - member_size(own)
        events, remaining = [], MAX_EVENT_BYTES
        for event in self._events.recent(now_s=now_s):
            size = event_size(event)
            if size <= remaining:
                events.append(event)
                remaining -= size
        room -= MAX_EVENT_BYTES - remaining
        members = [own]
        remaining = int(room * MEMBER_FRACTION) if len(self.reports) else room
        room -= remaining
        for state in self._members.freshest_states(
            now_s=now_s, is_registered=self._is_registered
        ):
            size = member_size(state)
            if size > remaining:
                break
            members.append(state)
            remaining -= size
        room += remaining
        reports = []
        for report in self.reports.to_send(now_s=now_s):
            size = report_size(report)
            if size > room:
                break
            reports.append(report)
            room -= size
        self.reports.mark_sent([report.upstream_id for report in reports])
        return GossipMessage(
            sender=self.self_id,
            config_version=self._version,
            evidence_age_s=self.evidence_age_s(now_s=now_s),
            events=tuple(events),
            members=tuple(members),
            reports=tuple(reports),
        )

    def merge_message(
        self, *, message: GossipMessage, as_of_s: float, is_answer: bool
    ) -> tuple[FleetEvent, ...]:
        """Merge a peer's gossip.

        Evidence counts only from an answer, and only if the peer's version is not
        higher than this daemon's; a higher version must be adopted first.

        :param message: The peer's message.
        :param as_of_s: Boot-time clock, in seconds, from which its ages count back.
            For an answer, the time at which the call was sent.
        :param is_answer: Whether the message answers a call of this daemon.
        :returns: Events that are new and have to be applied.
        """
        self._members.merge_all(message=message, as_of_s=as_of_s, is_answer=is_answer)
        if is_answer:
            self.record_evidence(
                version=message.config_version, as_of_s=as_of_s - message.evidence_age_s
            )
            for state in message.members:
                # The version that the member uses is at most its highest version.
                self.record_evidence(
                    version=state.highest_version,
                    as_of_s=as_of_s - state.evidence_age_s,
                )
        for report in message.reports:
            self.reports.add(replace(report, as_of_s=as_of_s - report.as_of_s))
        return tuple(
            event
            for event in message.events
            if self.record_event(event=event, as_of_s=as_of_s)
        )

    def remove_expired(self, *, now_s: float) -> None:
        """Remove dead members, and expired events and reports.

        :param now_s: Boot-time clock, in seconds.
        """
        self._members.remove_dead(now_s=now_s)
        self._events.remove_expired(now_s=now_s)
        self.reports.remove_expired(now_s=now_s)

    def _is_registered(self, daemon: DaemonId, incarnation: Incarnation) -> bool:
        known = self._registrations.get(daemon)
        return known is not None and known.incarnation == incarnation

    def _own_state(self, *, now_s: float) -> MemberState:
        return MemberState(
            daemon_id=self.self_id,
            incarnation=self.incarnation,
            host=self._own_registration.host,
            port=self._own_registration.port,
            failure_domain=self._own_registration.failure_domain,
            draining=self._draining,
            heartbeat_age_s=0.0,
            evidence_age_s=self.evidence_age_s(now_s=now_s),
            highest_version=self._highest_version,
        )
