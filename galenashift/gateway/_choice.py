"""Choice of the upstream for a request."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from galenashift.model import (
    DaemonId,
    FailureDomainName,
    PromptPart,
    ServiceName,
    UpstreamId,
)

from ._cold import ColdGate
from ._health import HealthBook
from ._view import KnownUpstream

#: Latency that is assumed of an upstream without samples, in seconds.
_UNKNOWN_LATENCY_S = 0.05
#: Cost of leaving the failure domain, in seconds of latency.
_OTHER_DOMAIN_COST_S = 0.004
#: Failure rate up to which a failure costs one more latency.
_MAX_FAILURE_RATE = 0.9
#: Relative cost at which the upstream with the cached prompt is passed over.
_AFFINITY_FACTOR = 3.0
#: Upstreams that share the requests of one prompt prefix.
_AFFINITY_CHOICES = 2


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The upstream for a request, and what decided."""

    upstream: KnownUpstream
    #: Expected cost in seconds.
    cost_s: float
    #: Upstreams that could have been chosen.
    eligible: int
    #: Whether the prompt prefix decided.
    by_prefix: bool


@dataclass(frozen=True, kw_only=True)
class Router:
    """Chooses upstreams from what this daemon knows and has observed."""

    daemon_id: DaemonId
    failure_domain: FailureDomainName
    health: HealthBook
    cold: ColdGate
    random: Random

    def choose(
        self,
        *,
        candidates: Sequence[KnownUpstream],
        excluded: Collection[UpstreamId],
        prefix_key: str | None,
        daemon_count: int,
        now_s: float,
    ) -> Choice | None:
        """Choose an upstream, or None if no upstream can take the request.

        :param candidates: Upstreams of the service that take work.
        :param excluded: Upstreams that have been tried.
        :param prefix_key: Key of the shared prompt, see `prefix_key`.
        :param daemon_count: Daemons that send to the same upstreams.
        :param now_s: Boot-time clock, in seconds.
        """
        fresh = [
            each for each in candidates if each.registration.upstream_id not in excluded
        ]
        eligible = [each for each in fresh if self._eligible(each, daemon_count, now_s)]
        if not eligible:
            return None
        cost_by_id = {
            each.registration.upstream_id: self._cost_s(each, now_s)
            for each in eligible
        }
        if prefix_key is None:
            sampled = self.random.sample(eligible, min(2, len(eligible)))
            best = min(sampled, key=lambda each: cost_by_id[_id(each)])
            by_prefix = False
        else:
            best, by_prefix = _by_prefix(eligible, prefix_key, cost_by_id)
        return Choice(
            upstream=best,
            cost_s=cost_by_id[_id(best)],
            eligible=len(eligible),
            by_prefix=by_prefix,
        )

    def pick_service(
        self, weight_by_service: Mapping[ServiceName, float]
    ) -> ServiceName:
        """Draw the service of a request by the weights of its route."""
        services = list(weight_by_service)
        if len(services) == 1:
            return services[0]
        weights = list(weight_by_service.values())
        return self.random.choices(services, weights)[0]

    def _eligible(
        self, upstream: KnownUpstream, daemon_count: int, now_s: float
    ) -> bool:
        record = self.health.of(_id(upstream))
        if now_s < record.ejected_until_s:
            return False
        if record.busy(now_s=now_s) >= 2 * upstream.registration.slots:
            return False
        return self.cold.allows(upstream, daemon_count=daemon_count, now_s=now_s)

    def _cost_s(self, upstream: KnownUpstream, now_s: float) -> float:
        record = self.health.of(_id(upstream))
        slots = max(1, upstream.registration.slots)
        latency_s = record.latency_s or _UNKNOWN_LATENCY_S
        busy = record.busy(now_s=now_s)
        queued = max(0.0, busy + 1 - slots)
        cost_s = latency_s * (1 + 0.5 * busy / slots + queued / slots)
        cost_s /= 1 - min(_MAX_FAILURE_RATE, record.failures(now_s=now_s))
        if upstream.registration.failure_domain != self.failure_domain:
            cost_s += _OTHER_DOMAIN_COST_S
        return cost_s


def _id(upstream: KnownUpstream) -> UpstreamId:
    return upstream.registration.upstream_id


def _by_prefix(
    eligible: Sequence[KnownUpstream],
    prefix_key: str,
    cost_by_id: dict[UpstreamId, float],
) -> tuple[KnownUpstream, bool]:
    ranked = sorted(eligible, key=lambda each: _score(prefix_key, _id(each)))
    best = ranked[0]
    for other in ranked[1:_AFFINITY_CHOICES]:
        if cost_by_id[_id(best)] > _AFFINITY_FACTOR * cost_by_id[_id(other)]:
            best = other
    return best, True


def _score(key: str, upstream_id: UpstreamId) -> bytes:
    text = f"{key}/{upstream_id}".encode()
    return blake2b(text, digest_size=8).digest()


def prefix_key(parts: Sequence[PromptPart]) -> str | None:
    """Return the key by which requests with the same prompt prefix meet.

    The last part is of the request itself or of its session.

    :param parts: Parts of the prompt in order.
    """
    if not parts:
        return None
    shared = parts[:-1] or parts
    return ",".join(part.part_id for part in shared)
