"""Tracks requests that may crash upstreams, without I/O; the time is an argument.

The loss of an upstream makes the requests that were in flight there suspects. It counts
as an infrastructure failure instead if another upstream of the same failure domain was
lost at the same time and no request was in flight on both.
"""

from collections import Counter
from dataclasses import dataclass, field

from galenashift.model import FailureDomainName, Fingerprint, Upstream, UpstreamId

#: Seconds for which a request remains a suspect; also the TTL of its key in the store.
SUSPECT_LIFETIME_S = 600.0

#: Losses in one failure domain within this many seconds may have a common cause.
COMMON_CAUSE_WINDOW_S = 2.0

#: Reports of the loss of one upstream within this many seconds count as one crash.
#: Each daemon with a call in flight there reports it, after a probe of up to 1 s.
SAME_CRASH_WINDOW_S = 5.0

#: Crashes after which a request is quarantined, that is, no longer sent.
QUARANTINE_THRESHOLD = 2


@dataclass(kw_only=True, eq=False)
class _Loss:
    upstream_id: UpstreamId
    failure_domain: FailureDomainName
    at_s: float
    fingerprints: set[Fingerprint] = field(default_factory=set)
    infrastructure_failure: bool = False


class SuspectTracker:
    """Counts the crashes in which each request was in flight."""

    def __init__(self) -> None:
        self._in_flight: dict[UpstreamId, Counter[Fingerprint]] = {}
        self._losses: list[_Loss] = []
        self._losses_by_fingerprint: dict[Fingerprint, list[_Loss]] = {}
        self._cleared_at_s: dict[Fingerprint, float] = {}
        self._local_crash_by_fingerprint: dict[Fingerprint, tuple[int, _Loss]] = {}
        #: Number of crashes that this daemon detected itself.
        self.local_crashes = 0

    def started(self, *, fingerprint: Fingerprint, upstream_id: UpstreamId) -> None:
        """Record that a request is in flight on an upstream."""
        self._in_flight.setdefault(upstream_id, Counter())[fingerprint] += 1

    def ended(self, *, fingerprint: Fingerprint, upstream_id: UpstreamId) -> None:
        """Record the end of one call; without a matching start this has no effect."""
        calls = self._in_flight.get(upstream_id)
        if calls is None or not calls[fingerprint]:
            return
        calls[fingerprint] -= 1
        if not calls[fingerprint]:
            del calls[fingerprint]
        if not calls:
            del self._in_flight[upstream_id]

    def in_flight(self, *, upstream_id: UpstreamId) -> tuple[Fingerprint, ...]:
        """List the requests of this daemon that are in flight on an upstream."""
        return tuple(self._in_flight.get(upstream_id, ()))

    def record_crash(
        self, *, upstream: Upstream, now_s: float
    ) -> tuple[Fingerprint, ...]:
        """Record a crash that this daemon detected.

        :returns: The requests of this daemon that were in flight on the upstream.
        """
        fingerprints = self.in_flight(upstream_id=upstream.upstream_id)
        loss = self.record_loss(
            upstream_id=upstream.upstream_id,
            failure_domain=upstream.failure_domain,
            fingerprints=fingerprints,
            at_s=now_s,
            now_s=now_s,
        )
        self.local_crashes += 1
        if loss is not None:
            for fingerprint in fingerprints:
                self._local_crash_by_fingerprint[fingerprint] = (
                    self.local_crashes,
                    loss,
                )
        return fingerprints

    def record_loss(
        self,
        *,
        upstream_id: UpstreamId,
        failure_domain: FailureDomainName,
        fingerprints: tuple[Fingerprint, ...],
        at_s: float,
        now_s: float,
    ) -> "_Loss | None":
        """Record a loss that some daemon detected; reports may be duplicated or late.

        :param at_s: Time of the detection by the clock of this daemon, in seconds.
        :returns: The loss; None if it is older than `SUSPECT_LIFETIME_S`.
        """
        self._expire(now_s)
        if now_s - at_s >= SUSPECT_LIFETIME_S:
            return None
        loss = self._find_loss(upstream_id, at_s)
        if loss is None:
            loss = _Loss(
                upstream_id=upstream_id, failure_domain=failure_domain, at_s=at_s
            )
            self._losses.append(loss)
        for fingerprint in fingerprints:
            if fingerprint not in loss.fingerprints:
                loss.fingerprints.add(fingerprint)
                self._losses_by_fingerprint.setdefault(fingerprint, []).append(loss)
        self._reclassify_nearby(loss)
        return loss

    def clear(self, *, fingerprint: Fingerprint, now_s: float) -> None:
        """Record that a suspect ran without a crash; earlier losses no longer count."""
        if fingerprint in self._losses_by_fingerprint:
            self._cleared_at_s[fingerprint] = now_s

    def crashes(self, *, fingerprint: Fingerprint, now_s: float) -> int:
        """Count the crashes in which a request was in flight.

        Infrastructure failures do not count.
        """
        losses = self._losses_by_fingerprint.get(fingerprint)
        if not losses:
            return 0
        cleared_at_s = self._cleared_at_s.get(fingerprint, float("-inf"))
        return sum(
            not loss.infrastructure_failure
            and loss.at_s > cleared_at_s
            and now_s - loss.at_s < SUSPECT_LIFETIME_S
            for loss in losses
        )

    def crashed_locally(self, *, fingerprint: Fingerprint, after: int) -> bool:
        """Return whether this daemon detected a crash with a request in flight.

        Reports of other daemons are ignored, because they may be late reports of an
        earlier crash.

        :param after: Value of ``local_crashes`` from which crashes count.
        """
        crash = self._local_crash_by_fingerprint.get(fingerprint)
        if crash is None:
            return False
        crash_number, loss = crash
        return crash_number > after and not loss.infrastructure_failure

    def is_suspect(self, *, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether a request was in flight in a crash."""
        return self.crashes(fingerprint=fingerprint, now_s=now_s) > 0

    def is_quarantined(self, *, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether a request has reached `QUARANTINE_THRESHOLD` crashes."""
        crashes = self.crashes(fingerprint=fingerprint, now_s=now_s)
        return crashes >= QUARANTINE_THRESHOLD

    def _find_loss(self, upstream_id: UpstreamId, at_s: float) -> _Loss | None:
        for loss in self._losses:
            close_in_time = abs(loss.at_s - at_s) < SAME_CRASH_WINDOW_S
            if close_in_time and loss.upstream_id == upstream_id:
                return loss
        return None

    def _reclassify_nearby(self, changed: _Loss) -> None:
        for loss in self._losses:
            if _may_share_cause(loss, changed):
                loss.infrastructure_failure = self._is_infrastructure_failure(loss)

    def _is_infrastructure_failure(self, loss: _Loss) -> bool:
        others = [
            other
            for other in self._losses
            if other.upstream_id != loss.upstream_id and _may_share_cause(loss, other)
        ]
        return bool(others) and all(
            loss.fingerprints.isdisjoint(other.fingerprints) for other in others
        )

    def _expire(self, now_s: float) -> None:
        expired = [
            loss for loss in self._losses if now_s - loss.at_s >= SUSPECT_LIFETIME_S
        ]
        for loss in expired:
            self._losses.remove(loss)
            for fingerprint in loss.fingerprints:
                remaining = self._losses_by_fingerprint[fingerprint]
                remaining.remove(loss)
                if not remaining:
                    del self._losses_by_fingerprint[fingerprint]
                    self._cleared_at_s.pop(fingerprint, None)
                    self._local_crash_by_fingerprint.pop(fingerprint, None)


def _may_share_cause(one: _Loss, other: _Loss) -> bool:
    return (
        one.failure_domain == other.failure_domain
        and abs(one.at_s - other.at_s) <= COMMON_CAUSE_WINDOW_S
    )
