"""Choice of the daemon that batches for a stage service.

Nothing here does input or output.
"""

from collections.abc import Callable, Mapping

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId
from galenashift.platform import PeerAddress

#: Time for which a daemon that did not answer is not selected again, in seconds.
SUSPECT_S = 5.0
#: Minimum capacity of a batching daemon, as a fraction of the largest one.
_MIN_CAPACITY_FRACTION = 0.7
#: Time for which a daemon whose registration has lapsed stays eligible while its link
#: is open, in seconds. Its own view of the upstreams is not updated meanwhile.
_LAPSED_S = 10.0


class BatchingPeers:
    """Ranks the daemons that may batch.

    The registration of a daemon lapses while it cannot reach the store, but the daemons
    cut off with it still choose it. Those that have an open link to it do as well for
    some time, so that all of them have the same batching daemon.

    :param keeps_lapsed: Whether such daemons stay eligible.
    :param has_open_link: Tells whether the link to a daemon is open.
    """

    def __init__(
        self, *, keeps_lapsed: bool, has_open_link: Callable[[DaemonId], bool]
    ) -> None:
        self._keeps_lapsed = keeps_lapsed
        self._has_open_link = has_open_link
        self._suspect_until_s: dict[DaemonId, float] = {}
        #: Last registration of each daemon to which there was a link.
        self._linked_by_id: dict[DaemonId, PeerAddress] = {}
        #: When this daemon first saw that a registration had ended, in seconds. The
        #: time for which the other stays eligible begins then, not at the lapse itself.
        self._lapsed_at_s: dict[DaemonId, float] = {}

    def record_link(self, daemon_id: DaemonId, peer: PeerAddress) -> None:
        """Record a link to a registered daemon."""
        if self._keeps_lapsed:
            self._linked_by_id[daemon_id] = peer

    def mark_suspect(self, daemon_id: DaemonId, *, now_s: float) -> None:
        """Leave out a daemon that did not answer or declined a job.

        :param now_s: Boot-time clock, in seconds.
        """
        self._suspect_until_s[daemon_id] = now_s + SUSPECT_S
        self._linked_by_id.pop(daemon_id, None)
        self._lapsed_at_s.pop(daemon_id, None)

    def choose(
        self, key: str, registered: Mapping[DaemonId, PeerAddress], *, now_s: float
    ) -> DaemonId | None:
        """Choose the daemon that ranks first among those with enough capacity.

        :param key: Name of the service.
        :param registered: Registered daemons.
        :param now_s: Boot-time clock, in seconds.
        :returns: None if there is no daemon.
        """
        self._update(registered, now_s)
        candidates = {**self._lapsed(registered), **registered}
        capacity_by_id = {
            daemon_id: peer.capacity
            for daemon_id, peer in candidates.items()
            if daemon_id not in self._suspect_until_s
        }
        min_capacity = _MIN_CAPACITY_FRACTION * max(
            capacity_by_id.values(), default=0.0
        )
        eligible = [
            daemon_id
            for daemon_id, capacity in capacity_by_id.items()
            if capacity >= min_capacity
        ]
        ranked = rank_daemons(key=key, daemons=eligible, count=1)
        return ranked[0] if ranked else None

    def _update(self, registered: Mapping[DaemonId, PeerAddress], now_s: float) -> None:
        """Record lapses, and forget what has ended.

        A daemon is forgotten whose lapse is too long ago or whose link has closed.
        """
        self._suspect_until_s = {
            daemon_id: until_s
            for daemon_id, until_s in self._suspect_until_s.items()
            if until_s > now_s
        }
        for daemon_id in list(self._linked_by_id):
            if daemon_id in registered:
                self._lapsed_at_s.pop(daemon_id, None)
                continue
            lapsed_at_s = self._lapsed_at_s.setdefault(daemon_id, now_s)
            too_long = now_s - lapsed_at_s >= _LAPSED_S
            if too_long or not self._has_open_link(daemon_id):
                del self._linked_by_id[daemon_id]
                del self._lapsed_at_s[daemon_id]

    def _lapsed(
        self, registered: Mapping[DaemonId, PeerAddress]
    ) -> dict[DaemonId, PeerAddress]:
        """List the daemons that stay eligible without a registration."""
        return {
            daemon_id: peer
            for daemon_id, peer in self._linked_by_id.items()
            if daemon_id not in registered
        }
