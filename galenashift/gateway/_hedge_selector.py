"""Selects a second upstream, and tells how much capacity its service has."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from galenashift.model import ServiceName
from galenashift.retries import ServiceCapacity

from ._outcomes import Outcome, Refused
from ._request import ActiveRequest
from ._router import Choice, Router
from ._upstream_registry import KnownUpstream
from ._upstream_selector import UpstreamSelector

#: Services whose refusals are remembered; the oldest is dropped.
_MAX_SERVICES = 1_000


@dataclass(frozen=True, kw_only=True)
class HedgeTarget:
    """The upstream that a hedge would go to."""

    #: None if no upstream can accept the request now.
    choice: Choice | None
    capacity: ServiceCapacity


class HedgeSelector:
    """Applies the router to the upstreams that hedges may be sent to.

    Those are neither cold nor rate-limited, so that a hedge takes no permit that a
    request needs.

    :param selector: Selects the upstreams of first sends and retries.
    """

    def __init__(self, *, selector: UpstreamSelector, router: Router) -> None:
        self._selector = selector
        self._router = router
        self._refused_at_s: OrderedDict[ServiceName, float] = OrderedDict()

    def note_outcome(
        self, service: ServiceName, outcome: Outcome, *, now_s: float
    ) -> None:
        """Note a refusal for lack of capacity.

        :param now_s: Boot-time clock, in seconds.
        """
        match outcome:
            case Refused(misdirected=False):
                self._refused_at_s[service] = now_s
                self._refused_at_s.move_to_end(service)
                if len(self._refused_at_s) > _MAX_SERVICES:
                    self._refused_at_s.popitem(last=False)

    def find(self, job: ActiveRequest, *, now_s: float) -> HedgeTarget:
        """Select an upstream that the request was not sent to.

        :param now_s: Boot-time clock, in seconds.
        """
        excluded = job.tried | job.unreachable
        others = [
            each
            for each in self._selector.candidates(job, now_s=now_s)
            if each.registration.upstream_id not in excluded
        ]
        steady = [each for each in others if self._is_steady(each, now_s)]
        choice = self._selector.choose_among(job, steady, now_s=now_s)
        refused_at_s = self._refused_at_s.get(job.service, -inf)
        capacity = ServiceCapacity(
            others=len(others),
            steady=len(steady),
            eligible=self._selector.count_eligible(job, steady, now_s=now_s),
            load_ratio=self._load_ratio(steady, now_s),
            refused_ago_s=now_s - refused_at_s,
        )
        return HedgeTarget(choice=choice, capacity=capacity)

    def _is_steady(self, upstream: KnownUpstream, now_s: float) -> bool:
        if self._router.cold.is_cold(upstream, now_s=now_s):
            return False
        status = self._router.limiter.status(upstream.registration, now_s=now_s)
        return status is None

    def _load_ratio(self, upstreams: Sequence[KnownUpstream], now_s: float) -> float:
        """Return the mean load per slot, as far as this daemon knows it."""
        load, slots = 0.0, 0
        for each in upstreams:
            load += self._router.costs.load(each, now_s=now_s).requests
            slots += each.registration.slots
        return load / slots if slots else 0.0
