"""Fleet membership: gossip, key ownership, configuration authority, registrations."""

from ._announce import AcknowledgedAnnouncement, announce_version
from ._authority import (
    MAX_FRESH_AGE_S,
    REGISTRATION_TTL_S,
    AuthorityInputs,
    DaemonRegistration,
    PeerHeartbeat,
    config_authority,
    is_majority,
)
from ._gossip import GOSSIP_INTERVAL_S, ConfigSink, GossipLoop
from ._hashing import rank_daemons, rank_keys
from ._members import DEAD_AFTER_S, SUSPECTED_AFTER_S, MemberStatus
from ._registration import Registration
from ._reports import LoadReportTable
from ._session import SESSION_TTL_S, SessionLease
from ._view import FleetView

__all__ = [
    "DEAD_AFTER_S",
    "GOSSIP_INTERVAL_S",
    "MAX_FRESH_AGE_S",
    "REGISTRATION_TTL_S",
    "SESSION_TTL_S",
    "SUSPECTED_AFTER_S",
    "AcknowledgedAnnouncement",
    "AuthorityInputs",
    "ConfigSink",
    "DaemonRegistration",
    "FleetView",
    "GossipLoop",
    "LoadReportTable",
    "MemberStatus",
    "PeerHeartbeat",
    "Registration",
    "SessionLease",
    "announce_version",
    "config_authority",
    "is_majority",
    "rank_daemons",
    "rank_keys",
]
