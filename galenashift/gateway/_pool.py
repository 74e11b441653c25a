"""Idle connections to upstreams, kept for the next request."""

from galenashift.model import RegisteredUpstream, UpstreamId

from ._connection import UpstreamConnection, open_socket

#: Longest idle time of a kept connection, in seconds.
_MAX_IDLE_S = 8.0
#: Part of the upstream's own idle timeout that is used.
_IDLE_PART = 0.6
#: Longest idle time before a request that must not be sent twice, in seconds. An
#: upstream may drop an idle connection without notice.
_MAX_IDLE_ONCE_S = 1.0
#: Idle connections for one upstream.
_MAX_IDLE = 8


class ConnectionPool:
    """Keeps connections by upstream; the most recently used one is used first."""

    def __init__(self) -> None:
        self._idle_by_id: dict[UpstreamId, list[UpstreamConnection]] = {}
        #: Connections that were made, for the metrics.
        self.opened = 0

    def take(
        self, upstream_id: UpstreamId, *, repeatable: bool, now_s: float
    ) -> UpstreamConnection | None:
        """Take an idle connection that is likely to be open.

        :param repeatable: Whether the request may be sent again if it breaks.
        :param now_s: Boot-time clock, in seconds.
        """
        idle = self._idle_by_id.get(upstream_id, [])
        while idle:
            connection = idle.pop()
            if _is_fresh(connection, repeatable=repeatable, now_s=now_s):
                return connection
            connection.close()
        return None

    async def connect(self, upstream: RegisteredUpstream) -> UpstreamConnection:
        """Open a connection.

        :raises ConnectFailed: If there is no connection in time.
        """
        self.opened += 1
        sock = await open_socket(host=upstream.host, port=upstream.port)
        return UpstreamConnection(sock)

    def give_back(
        self, upstream_id: UpstreamId, connection: UpstreamConnection, *, now_s: float
    ) -> None:
        """Keep a connection after a whole answer, or close it.

        :param now_s: Boot-time clock, in seconds.
        """
        idle = self._idle_by_id.setdefault(upstream_id, [])
        if len(idle) < _MAX_IDLE and connection.finish(now_s=now_s):
            idle.append(connection)
        else:
            connection.close()

    def drop(self, upstream_id: UpstreamId) -> None:
        """Close the idle connections of an upstream."""
        for connection in self._idle_by_id.pop(upstream_id, []):
            connection.close()

    def drop_stale(self, *, now_s: float) -> None:
        """Close connections that have been idle for too long.

        :param now_s: Boot-time clock, in seconds.
        """
        for upstream_id, idle in list(self._idle_by_id.items()):
            fresh = [
                each for each in idle if _is_fresh(each, repeatable=True, now_s=now_s)
            ]
            for connection in idle:
                if connection not in fresh:
                    connection.close()
            if fresh:
                self._idle_by_id[upstream_id] = fresh
            else:
                del self._idle_by_id[upstream_id]


def _is_fresh(
    connection: UpstreamConnection, *, repeatable: bool, now_s: float
) -> bool:
    limit_s = _MAX_IDLE_S if repeatable else _MAX_IDLE_ONCE_S
    if connection.idle_timeout_s is not None:
        limit_s = min(limit_s, connection.idle_timeout_s * _IDLE_PART)
    return now_s - connection.idle_since_s < limit_s and connection.is_quiet()
