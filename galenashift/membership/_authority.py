"""Rules for when a daemon may dispatch, and when it may confirm a configuration.

A daemon that confirms a change announces the next version to more than half of the
known daemons before it writes the version to the store. Each of them then reports
this version as its highest. A daemon that serves during a store outage needs recent
heartbeats of at least half, so at least one of these reports the announced version,
and the daemon stops dispatching. Without the announcement, a change confirmed just
after a partition would not become known on the other side.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from galenashift.model import (
    Authority,
    ConfigVersion,
    DaemonId,
    FailureDomainName,
    Incarnation,
)

#: Highest age at which evidence and heartbeats count as fresh, in seconds.
MAX_FRESH_AGE_S = 6.0
#: Time to live of a daemon's registration after its last renewal, in seconds.
REGISTRATION_TTL_S = 900.0
#: Time from the announcement of a version within which the store write must be
#: sent, in seconds.
WRITE_WINDOW_S = 5.0
#: Time after an announcement from which evidence reflects its outcome, in seconds.
#: It covers the time for the write to be sent and for the store to apply it.
ANNOUNCEMENT_OUTCOME_S = 10.0


@dataclass(frozen=True, kw_only=True)
class DaemonRegistration:
    """A daemon's registration in the store."""

    #: Identifier of the daemon.
    daemon_id: DaemonId
    #: Start time of the daemon's process, in Unix milliseconds.
    incarnation: Incarnation
    #: IP address of the peer listener.
    host: str
    #: TCP port of the peer listener.
    port: int
    #: Failure domain of the daemon.
    failure_domain: FailureDomainName
    #: Unix time of the first registration of this process, in seconds.
    registered_at_s: float


@dataclass(frozen=True, kw_only=True)
class PeerHeartbeat:
    """Last heartbeat of a known daemon that came in an answer, so with a known age."""

    #: Upper bound of the seconds since the daemon sent the heartbeat.
    age_s: float
    #: Seconds since the daemon knew its configuration to be current.
    evidence_age_s: float
    #: Highest version that the daemon has adopted or that was announced to it; 0 until
    #: a restarted daemon can know it.
    highest_version: ConfigVersion


@dataclass(frozen=True, kw_only=True)
class AuthorityInputs:
    """Inputs to `config_authority`."""

    #: Identifier of this daemon.
    self_id: DaemonId
    #: Version that this daemon has adopted, 0 for none.
    version: ConfigVersion
    #: Highest version that it has adopted or that was announced to it; 0 until a
    #: restarted daemon can know it.
    highest_version: ConfigVersion
    #: Seconds since it last knew its version to be current.
    evidence_age_s: float
    #: Seconds since the last renewal of its registration was sent.
    registration_age_s: float
    #: Registrations; empty if they have never been read.
    registrations_by_id: Mapping[DaemonId, DaemonRegistration]
    #: Last heartbeats of the known daemons that run with their registered incarnation.
    heartbeats_by_id: Mapping[DaemonId, PeerHeartbeat]


def config_authority(inputs: AuthorityInputs) -> Authority:
    """Decide whether a daemon may dispatch with its configuration.

    :param inputs: What the daemon knows; ages as of now.
    """
    if inputs.version == 0:
        return Authority.ISOLATED
    if inputs.evidence_age_s <= MAX_FRESH_AGE_S:
        return Authority.FRESH
    if not inputs.registrations_by_id or inputs.highest_version != inputs.version:
        return Authority.ISOLATED
    heartbeats_by_id = {
        daemon: heartbeat
        for daemon, heartbeat in inputs.heartbeats_by_id.items()
        if heartbeat.age_s <= MAX_FRESH_AGE_S
    }
    for heartbeat in heartbeats_by_id.values():
        if heartbeat.highest_version > inputs.version:
            return Authority.ISOLATED
        if heartbeat.evidence_age_s <= MAX_FRESH_AGE_S:
            return Authority.ISOLATED
    counted = {
        daemon
        for daemon, heartbeat in heartbeats_by_id.items()
        if heartbeat.highest_version > 0
    }
    counted.add(inputs.self_id)
    if 2 * len(counted) < len(inputs.registrations_by_id.keys() | {inputs.self_id}):
        return Authority.ISOLATED
    if inputs.registration_age_s >= REGISTRATION_TTL_S:
        # This daemon's registration may have expired, so daemons on the other side
        # of a partition may not count it. Requires a peer in each failure domain.
        domains = {each.failure_domain for each in inputs.registrations_by_id.values()}
        counted_domains = {
            registration.failure_domain
            for daemon, registration in inputs.registrations_by_id.items()
            if daemon in counted
        }
        if domains - counted_domains:
            return Authority.ISOLATED
    return Authority.STORE_OUTAGE


def is_majority(
    *,
    daemons: Collection[DaemonId],
    registrations_by_id: Mapping[DaemonId, DaemonRegistration],
    wall_now_s: float,
) -> bool:
    """Tell whether daemons are more than half of the known ones.

    They must also be more than half of those that were registered at each moment of
    the last 15 minutes: a daemon that was cut off from the store at that moment
    still counts only these, without the daemons that have started since.

    :param daemons: Daemons that are reachable, or that acknowledged.
    :param registrations_by_id: Registrations, read from the store just now.
    :param wall_now_s: Unix time, in seconds.
    """
    oldest_s = wall_now_s - REGISTRATION_TTL_S
    by_age = sorted(
        registrations_by_id.values(),
        key=lambda registration: registration.registered_at_s,
    )
    present = 0
    for count, registration in enumerate(by_age, start=1):
        present += registration.daemon_id in daemons
        next_registration = by_age[count] if count < len(by_age) else None
        is_within_ttl = (
            next_registration is None or next_registration.registered_at_s >= oldest_s
        )
        if is_within_ttl and 2 * present <= count:
            return False
    return bool(by_age)
