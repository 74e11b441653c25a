"""Shares of the rates of requests that upstreams state.

An upstream in need states how many requests per second it accepts from all daemons
together. Rendezvous hashing chooses a few senders for each limited upstream, and each
of them has an equal share, so that no request needs a message. With many senders, each
would seldom have a permit, and the requests of all that have saved one up could arrive
at the same moment.

Nothing here does input or output, and the time is an argument. Clocks are the boot-time
clock, in seconds.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from galenashift.membership import rank_daemons
from galenashift.model import (
    DaemonId,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
)

from ._bucket import TokenBucket

#: Requests that all senders together may save up, in addition to those of one second.
_BURST = 3
#: Senders of an upstream, in addition to two for each request per second of its limit.
#: Each of them may save up a request, so their number bounds the burst as well.
_MIN_SENDERS = 3
_SENDERS_PER_RPS = 2.0
#: Share of a daemon that batches the calls of all others. Two daemons do so while they
#: disagree on which one it is.
_BATCHING_RATIO = 0.75
#: Smallest limit that is applied, in requests per second. With none at all, the answer
#: that ends the limit would never come.
_MIN_LIMIT_PER_S = 0.1
#: Largest limit that is applied, in requests per second.
_MAX_LIMIT_PER_S = 1e6
#: Shortest and longest time between two requests of a daemon that is not a sender, in
#: seconds for each daemon of the fleet. They show it when the limit has ended.
_MIN_TRIAL_INTERVAL_S = 2.0
_MAX_TRIAL_INTERVAL_S = 4.0
#: Longest time until such a request after other daemons report the end of the limit, in
#: seconds for each daemon of the fleet, so that they do not all come at once.
_MAX_TRIAL_INTERVAL_AFTER_END_S = 0.05
#: Time for which what an upstream states to this daemon counts more than what other
#: daemons report, in seconds.
_STATEMENT_PRECEDENCE_S = 5.0
#: Time for which daemons that are no longer listed count, in seconds. After an outage
#: of the store, all registrations may be missing for a moment.
_DAEMON_HOLD_S = 10.0


@dataclass(frozen=True, kw_only=True)
class LimitChange:
    """A change of what an upstream states."""

    #: Requests per second; None for no limit.
    per_s: float | None
    previous_per_s: float | None
    #: Time since the upstream stated the previous value first, in seconds.
    previous_age_s: float | None


@dataclass(frozen=True, kw_only=True)
class RateShare:
    """The requests that one daemon may send to a limited upstream."""

    per_s: float
    #: Requests that may be saved up.
    burst: float


@dataclass(frozen=True, kw_only=True)
class LimitStatus:
    """A limit in force, for the log and for estimates."""

    #: Requests per second that the upstream accepts from all daemons.
    per_s: float
    #: Requests per second that this daemon may send.
    share_per_s: float
    #: Time since the upstream stated the limit last, in seconds.
    age_s: float


@dataclass(kw_only=True, eq=False)
class _Limited:
    """What this daemon knows of a limited upstream."""

    upstream: RegisteredUpstream
    per_s: float
    #: When the value was stated first.
    since_s: float
    #: When it was stated or reported last.
    heard_at_s: float
    #: When this daemon may send a request though it is not a sender.
    trial_at_s: float
    #: Permits of a sender.
    bucket: TokenBucket
    #: When the upstream stated it to this daemon last.
    stated_at_s: float = -inf
    is_sender: bool = False
    #: Whether `is_sender` follows from the present daemons and the present limit.
    is_ranked: bool = False


def share_of_sender(*, limit_per_s: float, daemons: int) -> RateShare:
    """Return the share of each sender.

    In a window of ``w`` seconds, all senders together send at most
    ``limit * (w + 2) + 3`` requests.

    :param daemons: Number of daemons that could be senders.
    """
    senders = min(max(1, daemons), sender_count(limit_per_s))
    burst = (limit_per_s + _BURST) / senders
    return RateShare(per_s=limit_per_s / senders, burst=max(1.0, burst))


def share_of_batching_daemon(limit_per_s: float) -> RateShare:
    """Return the share of a daemon that makes the calls of all others."""
    return RateShare(per_s=_BATCHING_RATIO * limit_per_s, burst=1.0)


def sender_count(limit_per_s: float) -> int:
    """Return the largest number of daemons that send to an upstream."""
    return _MIN_SENDERS + int(_SENDERS_PER_RPS * limit_per_s)


class UpstreamRates:
    """The limits that upstreams state, and this daemon's requests under them.

    A daemon is bound by a limit once an upstream has stated it in an answer. Any
    request to that upstream needs a permit then, whatever the reason for it.

    :param daemon_id: This daemon.
    """

    def __init__(self, *, daemon_id: DaemonId, random: Random) -> None:
        self._daemon_id = daemon_id
        self._random = random
        self._listed: frozenset[DaemonId] = frozenset()
        #: Until when daemons count that are no longer listed.
        self._held_until_s: dict[DaemonId, float] = {}
        #: This daemon, the listed ones, and those that are held.
        self._daemons = frozenset({daemon_id})
        self._batched_services: frozenset[ServiceName] = frozenset()
        self._limited_by_id: dict[UpstreamId, _Limited] = {}

    def set_daemons(self, daemons: Iterable[DaemonId], *, now_s: float) -> None:
        """Replace the list of registered daemons."""
        listed = frozenset(daemons)
        for removed in self._listed - listed:
            self._held_until_s[removed] = now_s + _DAEMON_HOLD_S
        for added in listed:
            self._held_until_s.pop(added, None)
        self._listed = listed
        self._count_daemons()

    def set_batched_services(self, services: Collection[ServiceName]) -> None:
        """Replace the services that one daemon calls for all others."""
        self._batched_services = frozenset(services)
        self._rank_again()

    def record_limit(
        self, upstream: RegisteredUpstream, per_s: float, *, now_s: float
    ) -> LimitChange | None:
        """Note that an answer states a limit.

        :param per_s: Requests per second from all daemons together.
        :returns: The change, if the upstream stated another value before or none.
        """
        change = self._apply_limit(upstream, per_s, now_s=now_s)
        self._limited_by_id[upstream.upstream_id].stated_at_s = now_s
        return change

    def record_no_limit(
        self, upstream: RegisteredUpstream, *, sent_at_s: float, now_s: float
    ) -> LimitChange | None:
        """Note that an answer states no limit.

        Answers on different connections can overtake each other. A limit is ended only
        by the answer to a request that was sent after it was last stated.

        :param sent_at_s: Time at which the request was sent.
        """
        limited = self._find(upstream)
        if limited is None or sent_at_s <= limited.heard_at_s:
            return None
        self.forget(upstream.upstream_id)
        return LimitChange(
            per_s=None,
            previous_per_s=limited.per_s,
            previous_age_s=now_s - limited.since_s,
        )

    def record_report(
        self, upstream: RegisteredUpstream, per_s: float | None, *, now_s: float
    ) -> LimitChange | None:
        """Note what another daemon reports on the limit of an upstream.

        :param per_s: Requests per second; None if the limit has ended. This daemon then
            finds out with one request.
        """
        limited = self._find(upstream)
        if (
            limited is not None
            and now_s - limited.stated_at_s < _STATEMENT_PRECEDENCE_S
        ):
            return None
        if per_s is not None:
            return self._apply_limit(upstream, per_s, now_s=now_s)
        if limited is not None:
            interval_s = self._random.uniform(0.0, _MAX_TRIAL_INTERVAL_AFTER_END_S)
            limited.trial_at_s = now_s + len(self._daemons) * interval_s
        return None

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that is no longer registered."""
        self._limited_by_id.pop(upstream_id, None)

    def wait_s(self, upstream: RegisteredUpstream, *, now_s: float) -> float:
        """Return the time until a request may be sent, in seconds; 0 for now."""
        limited = self._find(upstream)
        if limited is None:
            return 0.0
        share = self._update(limited, now_s)
        if not limited.is_sender:
            return max(0.0, limited.trial_at_s - now_s)
        missing = 1.0 - limited.bucket.level(now_s=now_s)
        return max(0.0, missing / share.per_s)

    def take(self, upstream: RegisteredUpstream, *, now_s: float) -> bool:
        """Count a request that is about to be sent, if it may be sent."""
        limited = self._find(upstream)
        if limited is None:
            return True
        if self.wait_s(upstream, now_s=now_s) > 0:
            return False
        if limited.is_sender:
            limited.bucket.take(units=1.0, now_s=now_s)
        else:
            limited.trial_at_s = self._next_trial_s(now_s)
        return True

    def status(
        self, upstream: RegisteredUpstream, *, now_s: float
    ) -> LimitStatus | None:
        """Return the limit of an upstream, or None if it states none."""
        limited = self._find(upstream)
        if limited is None:
            return None
        share = self._update(limited, now_s)
        return LimitStatus(
            per_s=limited.per_s,
            share_per_s=share.per_s if limited.is_sender else 0.0,
            age_s=now_s - limited.heard_at_s,
        )

    def _apply_limit(
        self, upstream: RegisteredUpstream, per_s: float, *, now_s: float
    ) -> LimitChange | None:
        per_s = min(max(per_s, _MIN_LIMIT_PER_S), _MAX_LIMIT_PER_S)
        limited = self._find(upstream)
        if limited is None:
            limited = _Limited(
                upstream=upstream,
                per_s=per_s,
                since_s=now_s,
                heard_at_s=now_s,
                trial_at_s=self._next_trial_s(now_s),
                bucket=TokenBucket(rate_per_s=0.0, burst=1.0, started_at_s=now_s),
            )
            self._limited_by_id[upstream.upstream_id] = limited
            self._update(limited, now_s)
            return LimitChange(per_s=per_s, previous_per_s=None, previous_age_s=None)
        limited.heard_at_s = now_s
        limited.trial_at_s = self._next_trial_s(now_s)
        if limited.per_s == per_s:
            return None
        change = LimitChange(
            per_s=per_s,
            previous_per_s=limited.per_s,
            previous_age_s=now_s - limited.since_s,
        )
        limited.per_s = per_s
        limited.since_s = now_s
        limited.is_ranked = False
        self._update(limited, now_s)
        return change

    def _find(self, upstream: RegisteredUpstream) -> _Limited | None:
        """Return what the present incarnation of an upstream has stated."""
        limited = self._limited_by_id.get(upstream.upstream_id)
        if limited is None or limited.upstream.started_at_ms != upstream.started_at_ms:
            return None
        return limited

    def _rank_again(self) -> None:
        for limited in self._limited_by_id.values():
            limited.is_ranked = False

    def _update(self, limited: _Limited, now_s: float) -> RateShare:
        """Apply the present daemons and limit, and return the share of a sender."""
        self._drop_ended_daemons(now_s)
        if not limited.is_ranked:
            self._rank(limited, now_s)
        if limited.upstream.service in self._batched_services:
            share = share_of_batching_daemon(limited.per_s)
        else:
            share = share_of_sender(
                limit_per_s=limited.per_s, daemons=len(self._daemons)
            )
        limited.bucket.reconfigure(
            rate_per_s=share.per_s, burst=share.burst, now_s=now_s
        )
        return share

    def _rank(self, limited: _Limited, now_s: float) -> None:
        was_sender = limited.is_sender
        limited.is_ranked = True
        limited.is_sender = limited.upstream.service in self._batched_services or (
            self._daemon_id
            in rank_daemons(
                key=limited.upstream.upstream_id,
                daemons=self._daemons,
                count=sender_count(limited.per_s),
            )
        )
        if limited.is_sender and not was_sender:
            # The daemon that it replaces may have sent its share just before.
            limited.bucket.empty_until(at_s=now_s)

    def _drop_ended_daemons(self, now_s: float) -> None:
        held = self._held_until_s
        ended = [daemon for daemon, until_s in held.items() if until_s <= now_s]
        for daemon in ended:
            del held[daemon]
        if ended:
            self._count_daemons()

    def _count_daemons(self) -> None:
        self._daemons = self._listed | self._held_until_s.keys() | {self._daemon_id}
        self._rank_again()

    def _next_trial_s(self, now_s: float) -> float:
        interval_s = self._random.uniform(_MIN_TRIAL_INTERVAL_S, _MAX_TRIAL_INTERVAL_S)
        return now_s + len(self._daemons) * interval_s
