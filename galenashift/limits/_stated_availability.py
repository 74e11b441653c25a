"""What upstreams state about accepting requests at all.

An upstream that shuts down says so in its answers, maybe before its registration does.
One that refuses a request may say for how long it wants none from this daemon.

Nothing here does input or output, and the time is an argument. Clocks are the boot-time
clock, in seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import inf

from galenashift.model import RegisteredUpstream, UpstreamId

#: Longest pause that is kept, in seconds.
_MAX_PAUSE_S = 3600.0
#: Incarnations that are remembered; the one that was heard from first is dropped.
_MAX_INCARNATIONS = 10_000


@dataclass(frozen=True, kw_only=True)
class _Incarnation:
    """One start of an upstream."""

    upstream_id: UpstreamId
    started_at_ms: int | None


@dataclass(kw_only=True, eq=False)
class _Statement:
    """What an incarnation has stated."""

    draining: bool = False
    paused_until_s: float = -inf


class StatedAvailability:
    """Which upstreams want no requests from this daemon, by their own answers.

    Statements outlast the registration: after an outage of the store, a registration
    can be missing for a moment while its upstream goes on shutting down.
    """

    def __init__(self) -> None:
        self._by_incarnation: OrderedDict[_Incarnation, _Statement] = OrderedDict()

    def record_draining(self, upstream: RegisteredUpstream) -> bool:
        """Note that an upstream is shutting down; only a new incarnation ends it.

        :returns: Whether this is news.
        """
        statement = self._statement(upstream)
        is_news = not statement.draining
        statement.draining = True
        return is_news

    def record_pause(
        self, upstream: RegisteredUpstream, duration_s: float, *, now_s: float
    ) -> bool:
        """Note that an upstream wants no requests for some time.

        Answers on different connections can overtake each other, so none of them
        shortens the pause that another one asked for.

        :returns: Whether the pause ends later than it did before.
        """
        until_s = now_s + min(duration_s, _MAX_PAUSE_S)
        statement = self._statement(upstream)
        if until_s <= max(now_s, statement.paused_until_s):
            return False
        statement.paused_until_s = until_s
        return True

    def is_draining(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether an upstream has said that it is shutting down."""
        statement = self._by_incarnation.get(_incarnation(upstream))
        return statement is not None and statement.draining

    def wait_s(self, upstream: RegisteredUpstream, *, now_s: float) -> float:
        """Return the time until a request may be sent, in seconds.

        :returns: 0 for now, and infinity for an upstream that is shutting down.
        """
        statement = self._by_incarnation.get(_incarnation(upstream))
        if statement is None:
            return 0.0
        if statement.draining:
            return inf
        return max(0.0, statement.paused_until_s - now_s)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream whose registration has ended, if its start is not known.

        The next incarnation under the same id would be taken for it.
        """
        unknown_start = _Incarnation(upstream_id=upstream_id, started_at_ms=None)
        self._by_incarnation.pop(unknown_start, None)

    def _statement(self, upstream: RegisteredUpstream) -> _Statement:
        incarnation = _incarnation(upstream)
        statement = self._by_incarnation.get(incarnation)
        if statement is None:
            statement = self._by_incarnation[incarnation] = _Statement()
            if len(self._by_incarnation) > _MAX_INCARNATIONS:
                self._by_incarnation.popitem(last=False)
        return statement


def _incarnation(upstream: RegisteredUpstream) -> _Incarnation:
    return _Incarnation(
        upstream_id=upstream.upstream_id, started_at_ms=upstream.started_at_ms
    )
