"""Ownership of keys by daemons, and the time since which this daemon owns one."""

import math

from galenashift.model import DaemonId

from ._hashing import RendezvousRanking, rank_daemons
from ._members import SUSPECTED_AFTER_S, MemberStatus, MemberTable

#: Time for which the set of daemons that may own keys is cached, in seconds.
#: Ownership is an optimisation, so a slightly outdated set is harmless.
_REFRESH_INTERVAL_S = 0.1
#: Time without a gossip round after which peers may have suspected this daemon, in
#: seconds. It is below the suspicion timeout, because heartbeats take a few seconds
#: to spread in a large fleet.
_PAUSE_THRESHOLD_S = SUSPECTED_AFTER_S / 2
#: Time for which the departure of a daemon is kept, in seconds. Ownership that began
#: with an earlier departure is old enough for any limit.
_DEPARTURE_RETENTION_S = 900.0


class KeyOwners:
    """Ranks the daemons that are alive and not draining.

    The time since which this daemon owns a key restarts only when a daemon that ranks
    higher for that key departs, so a restart elsewhere does not affect other keys.

    :param self_id: Identifier of this daemon.
    :param members: The other daemons.
    :param started_at_s: Boot-time clock at the start of the process, in seconds.
    """

    def __init__(
        self, *, self_id: DaemonId, members: MemberTable, started_at_s: float
    ) -> None:
        self._self_id = self_id
        self._members = members
        self._ranking = RendezvousRanking()
        self._refreshed_at_s = -math.inf
        self._owners: frozenset[DaemonId] = frozenset()
        self._departed_at_s_by_id: dict[DaemonId, float] = {}
        self._ownership_reset_at_s = started_at_s
        self._last_round_at_s = math.inf
        #: Boot-time clock of the last change of owners, in seconds.
        self.changed_at_s = started_at_s

    def record_round(self, *, now_s: float) -> None:
        """Record that this daemon is running and sends gossip.

        :param now_s: Boot-time clock, in seconds.
        """
        self._detect_pause(now_s=now_s)
        self._last_round_at_s = now_s

    def refresh(self, *, draining: bool, now_s: float) -> None:
        """Update the daemons that may own keys, unless the cached set is recent enough.

        :param draining: Whether this daemon is shutting down.
        :param now_s: Boot-time clock, in seconds.
        """
        if 0 <= now_s - self._refreshed_at_s <= _REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s = now_s
        owners = {
            daemon
            for daemon, member in self._members.members_by_id.items()
            if not member.draining and member.status(now_s=now_s) is MemberStatus.ALIVE
        }
        if not draining or not owners:
            owners.add(self._self_id)
        if self._ranking.set_daemons(frozenset(owners)):
            self.changed_at_s = now_s
            self._record_change(frozenset(owners), now_s=now_s)

    def ranked_for(self, *, key: str, count: int) -> tuple[DaemonId, ...]:
        """Return the best-ranked daemons for a key, best first.

        :param key: Any text.
        :param count: Maximum number of daemons to return.
        """
        return self._ranking.ranked_for(key=key, count=count)

    def owned_since_s(self, *, key: str, now_s: float) -> float:
        """Return the boot-time clock since which this daemon owns a key continuously.

        :param key: A key that this daemon owns now.
        :param now_s: Boot-time clock, in seconds.
        """
        self._detect_pause(now_s=now_s)
        departed = self._departed_at_s_by_id.keys() - {self._self_id}
        ranked = rank_daemons(
            key=key, daemons=[*departed, self._self_id], count=len(departed) + 1
        )
        before = ranked[: ranked.index(self._self_id)]
        return max(
            [
                self._ownership_reset_at_s,
                *(self._departed_at_s_by_id[each] for each in before),
            ]
        )

    def _detect_pause(self, *, now_s: float) -> None:
        """Restart the ownership of all keys if this daemon was paused.

        Peers may have used another owner meanwhile, which this daemon cannot see in
        its own view.
        """
        if now_s - self._last_round_at_s > _PAUSE_THRESHOLD_S:
            self._ownership_reset_at_s = now_s

    def _record_change(self, owners: frozenset[DaemonId], *, now_s: float) -> None:
        before, self._owners = self._owners, owners
        if 2 * len(before) <= len(owners):
            # This daemon has started or was partitioned; peers had other owners.
            self._ownership_reset_at_s = now_s
        for daemon in before - owners:
            self._departed_at_s_by_id[daemon] = now_s
        for daemon, departed_at_s in list(self._departed_at_s_by_id.items()):
            if now_s - departed_at_s > _DEPARTURE_RETENTION_S:
                del self._departed_at_s_by_id[daemon]
