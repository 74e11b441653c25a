"""Membership table: the state of each daemon as learned by gossip."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from galenashift.model import (
    ConfigVersion,
    DaemonId,
    FailureDomainName,
    GossipMessage,
    Incarnation,
    MemberState,
)

from ._authority import PeerHeartbeat

#: Age of a heartbeat after which a member is suspected, in seconds.
SUSPECTED_AFTER_S = 6.0
#: Age of a heartbeat after which a member is dead, in seconds.
DEAD_AFTER_S = 15.0
#: Age of a heartbeat after which a member is removed, in seconds.
_DEAD_RETENTION_S = 900.0
_MAX_MEMBERS = 4096
_NO_DOMAIN = FailureDomainName("")
_NO_VERSION = ConfigVersion(0)


class MemberStatus(Enum):
    """Liveness of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(kw_only=True)
class Member:
    """A daemon known from gossip; times are on this daemon's clock."""

    #: Identifier of the daemon.
    daemon_id: DaemonId
    #: Highest incarnation seen.
    incarnation: Incarnation
    #: IP address of the peer listener, empty if unknown.
    host: str = ""
    #: TCP port of the peer listener.
    port: int = 0
    #: Failure domain, empty if unknown.
    failure_domain: FailureDomainName = _NO_DOMAIN
    #: Whether the daemon is shutting down.
    draining: bool = False
    #: Boot-time clock of the last heartbeat, in seconds, from requests and answers.
    heartbeat_at_s: float = -math.inf
    #: Boot-time clock of the last heartbeat, in seconds, from answers only.
    answer_heartbeat_at_s: float = -math.inf
    #: Boot-time clock, in seconds, at which the daemon last knew its configuration to
    #: be current, as of its last heartbeat from an answer.
    evidence_at_s: float = -math.inf
    #: Highest version that the daemon reported in its last heartbeat from an answer.
    highest_version: ConfigVersion = _NO_VERSION
    #: Version that the daemon used when it last exchanged gossip with this one.
    exchanged_version: ConfigVersion = _NO_VERSION

    @property
    def shown_version(self) -> ConfigVersion:
        """Version shown to operators; it may be one that is only being announced."""
        return max(self.highest_version, self.exchanged_version)

    def status(self, *, now_s: float) -> MemberStatus:
        """Return the liveness.

        :param now_s: Boot-time clock, in seconds.
        """
        age_s = now_s - self.heartbeat_at_s
        if age_s >= DEAD_AFTER_S:
            return MemberStatus.DEAD
        if age_s >= SUSPECTED_AFTER_S:
            return MemberStatus.SUSPECTED
        return MemberStatus.ALIVE

    def answer_heartbeat(self, *, now_s: float) -> PeerHeartbeat:
        """Return the last heartbeat from an answer, as input to `config_authority`.

        :param now_s: Boot-time clock, in seconds.
        """
        return PeerHeartbeat(
            age_s=now_s - self.answer_heartbeat_at_s,
            evidence_age_s=now_s - self.evidence_at_s,
            highest_version=self.highest_version,
        )


class MemberTable:
    """Merges member states; the freshest heartbeat of the highest incarnation wins."""

    def __init__(self, *, self_id: DaemonId) -> None:
        self._self_id = self_id
        self.members_by_id: dict[DaemonId, Member] = {}

    def merge(self, *, state: MemberState, as_of_s: float, is_answer: bool) -> None:
        """Merge one state.

        :param state: State with ages.
        :param as_of_s: Boot-time clock, in seconds, from which the ages count back.
        :param is_answer: Whether the state came in an answer to this daemon's own
            call. Only then do the ages have an upper bound: a request may have
            waited in a socket buffer while this daemon was paused.
        """
        if state.daemon_id == self._self_id:
            return
        member = self.members_by_id.get(state.daemon_id)
        if member is None or state.incarnation > member.incarnation:
            if member is None and len(self.members_by_id) >= _MAX_MEMBERS:
                return
            member = Member(daemon_id=state.daemon_id, incarnation=state.incarnation)
            self.members_by_id[state.daemon_id] = member
        if state.incarnation < member.incarnation:
            return
        at_s = as_of_s - state.heartbeat_age_s
        if at_s > member.heartbeat_at_s:
            member.heartbeat_at_s = at_s
            member.draining = state.draining
        if state.host:
            member.host = state.host
            member.port = state.port
        if state.failure_domain:
            member.failure_domain = state.failure_domain
        if is_answer and at_s > member.answer_heartbeat_at_s:
            member.answer_heartbeat_at_s = at_s
            member.evidence_at_s = as_of_s - state.evidence_age_s
            member.highest_version = state.highest_version

    def merge_all(
        self, *, message: GossipMessage, as_of_s: float, is_answer: bool
    ) -> None:
        """Merge all member states of a message, and the version that its sender uses.

        :param message: The message; see `merge` for the other parameters.
        """
        for state in message.members:
            self.merge(state=state, as_of_s=as_of_s, is_answer=is_answer)
        sender = self.members_by_id.get(message.sender)
        if sender is not None:
            sender.exchanged_version = message.config_version

    def freshest_states(
        self, *, now_s: float, is_registered: Callable[[DaemonId, Incarnation], bool]
    ) -> Iterator[MemberState]:
        """Yield states with a heartbeat from an answer in the last 15 s, newest first.

        The address and failure domain of a registered daemon are left out, as every
        daemon reads them from the store.

        :param now_s: Boot-time clock, in seconds.
        :param is_registered: Tells whether a daemon is registered with an incarnation.
        """
        recent = [
            member
            for member in self.members_by_id.values()
            if now_s - member.answer_heartbeat_at_s < DEAD_AFTER_S
        ]
        recent.sort(key=lambda member: member.answer_heartbeat_at_s, reverse=True)
        for member in recent:
            omits_address = is_registered(member.daemon_id, member.incarnation)
            yield MemberState(
                daemon_id=member.daemon_id,
                incarnation=member.incarnation,
                host="" if omits_address else member.host,
                port=0 if omits_address else member.port,
                failure_domain=_NO_DOMAIN if omits_address else member.failure_domain,
                draining=member.draining,
                heartbeat_age_s=max(0.0, now_s - member.answer_heartbeat_at_s),
                evidence_age_s=max(0.0, now_s - member.evidence_at_s),
                highest_version=member.highest_version,
            )

    def remove_dead(self, *, now_s: float) -> None:
        """Remove members without a heartbeat for 15 minutes.

        :param now_s: Boot-time clock, in seconds.
        """
        for daemon, member in list(self.members_by_id.items()):
            if now_s - member.heartbeat_at_s > _DEAD_RETENTION_S:
                del self.members_by_id[daemon]
