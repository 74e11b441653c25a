"""Pool of idle connections to upstreams."""

from galenashift.limits import AnswerMemory
from galenashift.model import RegisteredUpstream, UpstreamId

from ._connection import UpstreamConnection, open_socket

#: Longest idle time of a pooled connection, in seconds.
_MAX_IDLE_S = 8.0
#: Ratio of the upstream's own idle timeout after which a connection is closed.
_IDLE_TIMEOUT_RATIO = 0.6
#: Longest idle time before a request that must not be sent twice, in seconds. It is
#: short because an upstream may drop an idle connection without notice.
_MAX_IDLE_NON_REPEATABLE_S = 1.0
#: Most idle connections to one upstream.
_MAX_IDLE_PER_UPSTREAM = 8


class ConnectionPool:
    """Keeps idle connections by upstream and reuses the most recently used first.

    :param memory: Memory of all answers in progress.
    """

    def __init__(self, *, memory: AnswerMemory) -> None:
        self._memory = memory
        self._idle_by_id: dict[UpstreamId, list[UpstreamConnection]] = {}
        #: Number of connection attempts, for the metrics.
        self.opened = 0

    def acquire(
        self, upstream_id: UpstreamId, *, repeatable: bool, now_s: float
    ) -> UpstreamConnection | None:
        """Take a usable idle connection from the pool, or None if there is none.

        :param repeatable: Whether the request may be sent again if the connection
            fails.
        :param now_s: Boot-time clock, in seconds.
        """
        idle = self._idle_by_id.get(upstream_id, [])
        while idle:
            connection = idle.pop()
            if _is_usable(connection, repeatable=repeatable, now_s=now_s):
                return connection
            connection.close()
        return None

    async def connect(self, upstream: RegisteredUpstream) -> UpstreamConnection:
        """Open a connection.

        :raises ConnectFailed: If the connection is not established in time.
        """
        self.opened += 1
        sock = await open_socket(host=upstream.host, port=upstream.port)
        return UpstreamConnection(sock, memory=self._memory)

    def release(
        self, upstream_id: UpstreamId, connection: UpstreamConnection, *, now_s: float
    ) -> None:
        """Return a connection to the pool after a complete answer, or close it.

        :param now_s: Boot-time clock, in seconds.
        """
        idle = self._idle_by_id.setdefault(upstream_id, [])
        if len(idle) < _MAX_IDLE_PER_UPSTREAM and connection.finish(now_s=now_s):
            idle.append(connection)
        else:
            connection.close()

    def drop_last(self, upstream_id: UpstreamId) -> None:
        """Close the idle connection that was released last, if any."""
        idle = self._idle_by_id.get(upstream_id)
        if idle:
            idle.pop().close()

    def drop(self, upstream_id: UpstreamId) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle_by_id.pop(upstream_id, []):
            connection.close()

    def close_expired(self, *, now_s: float) -> None:
        """Close connections that were idle for too long or that the peer has closed.

        :param now_s: Boot-time clock, in seconds.
        """
        for upstream_id, idle in list(self._idle_by_id.items()):
            fresh = [
                each for each in idle if _is_usable(each, repeatable=True, now_s=now_s)
            ]
            for connection in idle:
                if connection not in fresh:
                    connection.close()
            if fresh:
                self._idle_by_id[upstream_id] = fresh
            else:
                del self._idle_by_id[upstream_id]


def _is_usable(
    connection: UpstreamConnection, *, repeatable: bool, now_s: float
) -> bool:
    limit_s = _MAX_IDLE_S if repeatable else _MAX_IDLE_NON_REPEATABLE_S
    if connection.idle_timeout_s is not None:
        limit_s = min(limit_s, connection.idle_timeout_s * _IDLE_TIMEOUT_RATIO)
    return now_s - connection.idle_since_s < limit_s and connection.is_reusable()
