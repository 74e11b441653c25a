"""Power-of-two-choices load balancing with locality tiers and prefix affinity."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from random import Random

from galenashift.model import Authority, Failure, Reason, UpstreamStatus, not_run

from ._affinity import rank_by_affinity
from ._candidates import Refusal, RefusedCandidate, RoutingView, partition_candidates
from ._load import Candidate, PoolLoad, estimate_candidates, pool_load

#: Score added per unit of failure domain distance, in load per slot.
_DISTANCE_PENALTY = 0.1
#: Score added for a cold upstream, so that warm upstreams reach half their capacity
#: before a cold-start permit is requested.
_COLD_PENALTY = 0.5
#: Mean load per slot of the nearer upstreams at which calls begin to spill over to
#: farther ones, and the one at which the farther ones are always included. Between
#: the two the probability rises linearly, so that daemons that see the same report
#: do not all start or stop to spill over at once.
_SPILL_START_LOAD = 0.6
_SPILL_FULL_LOAD = 0.9
#: Prefix affinity applies below this multiple of the tier's mean load plus a number of
#: calls (Mirrokni et al. 2018, "Consistent hashing with bounded loads").
_AFFINITY_LOAD_FACTOR = 1.25
_AFFINITY_EXTRA_CALLS = 1.0
#: Upstreams tried in affinity order before the choice is made by load alone.
_AFFINITY_CANDIDATES = 2
#: Score subtracted for each prompt token that a prefix cache hit saves, and its bound.
_PREFIX_BONUS_PER_TOKEN = 1 / 2048
_MAX_PREFIX_BONUS = 0.5


@dataclass(frozen=True, kw_only=True)
class RoutingDecision:
    """The outcome of one routing decision, with the data that explains it."""

    #: The upstream to call, or the failure if none can be called.
    chosen: UpstreamStatus | Failure
    #: Score of the chosen upstream in load per slot; lower is better.
    score: float | None = None
    #: Whether the call needs a cold-start permit.
    needs_permit: bool = False
    #: Whether the upstream was chosen by prefix affinity.
    by_prefix: bool = False
    #: Failure domain distance of the chosen upstream.
    distance: int | None = None
    #: Number of upstreams in the tier from which the upstream was chosen.
    candidates: int = 0
    #: Refused candidates with their reasons.
    refused: tuple[RefusedCandidate, ...] = ()

    def log_fields(self) -> dict[str, object]:
        """Build the fields of one key=value log line."""
        fields: dict[str, object] = {"candidates": self.candidates}
        match self.chosen:
            case Failure(reason=reason):
                fields["failure"] = reason.value
            case UpstreamStatus(upstream=upstream):
                fields["upstream"] = upstream.upstream_id
                fields["score"] = round(self.score or 0.0, 3)
                fields["distance"] = self.distance
                fields["permit"] = self.needs_permit
                fields["prefix"] = self.by_prefix
        if self.refused:
            fields["refused"] = ",".join(
                f"{each.upstream_id}:{each.refusal.value}" for each in self.refused
            )
        return fields


def _score(candidate: Candidate) -> float:
    score = candidate.load / candidate.slots + candidate.distance * _DISTANCE_PENALTY
    return score + _COLD_PENALTY if candidate.cold else score


def _has_free_slot(candidate: Candidate) -> bool:
    return not candidate.cold and candidate.load + 1 <= candidate.slots


def _sample_load_error(candidate: Candidate, random: Random) -> float:
    return random.gauss(0.0, sqrt(candidate.variance)) / candidate.slots


def _select_tier(
    by_distance: Sequence[Sequence[UpstreamStatus]],
    *,
    pool: PoolLoad,
    requires_free_slot: bool,
    random: Random,
    now_s: float,
) -> tuple[list[Candidate], list[RefusedCandidate]]:
    """Select the nearest candidates, adding farther ones before those saturate.

    Loads are estimated only for the distances that are used, which halves the cost
    of a decision in large pools.
    """
    tier: list[Candidate] = []
    refused: list[RefusedCandidate] = []
    load = 0.0
    slots = 0
    for distance, statuses in enumerate(by_distance):
        available, over_limit = estimate_candidates(
            statuses, distance=distance, pool=pool, now_s=now_s
        )
        if requires_free_slot:
            over_limit += [
                each.status for each in available if not _has_free_slot(each)
            ]
            available = [each for each in available if _has_free_slot(each)]
        tier += available
        refused += [
            RefusedCandidate(
                upstream_id=each.upstream.upstream_id, refusal=Refusal.OVER_LIMIT
            )
            for each in over_limit
        ]
        for each in available:
            # The capacity of cold upstreams is too small to prevent spill-over.
            if not each.cold:
                load += each.load
                slots += each.slots
        if not slots:
            continue
        spill_probability = (load / slots - _SPILL_START_LOAD) / (
            _SPILL_FULL_LOAD - _SPILL_START_LOAD
        )
        if random.random() >= spill_probability:
            break
    return tier, refused


def _choose_by_prefix(
    tier: Sequence[Candidate], *, prefix: str, tokens: int
) -> tuple[Candidate, float] | None:
    mean_load = sum(each.load for each in tier) / len(tier)
    max_load = _AFFINITY_LOAD_FACTOR * mean_load + _AFFINITY_EXTRA_CALLS
    for candidate in rank_by_affinity(tier, prefix=prefix, count=_AFFINITY_CANDIDATES):
        if not candidate.cold and candidate.load < max_load:
            bonus = min(tokens * _PREFIX_BONUS_PER_TOKEN, _MAX_PREFIX_BONUS)
            return candidate, _score(candidate) - bonus
    return None


def _no_candidate_failure(refused: Sequence[RefusedCandidate]) -> Failure:
    counts = Counter(each.refusal for each in refused)
    detail = ", ".join(f"{count} {each.value}" for each, count in counts.items())
    if counts[Refusal.OVER_LIMIT]:
        reason = Reason.OVERLOADED
    elif counts[Refusal.COLD_WITHOUT_PERMIT]:
        reason = Reason.NO_PERMIT
    else:
        reason = Reason.NO_UPSTREAM
    return not_run(
        reason=reason,
        detail=f"no upstream of the pool can accept the call: {detail or 'none known'}",
        retry_after_s=1.0,
    )


def choose_upstream(
    statuses: Sequence[UpstreamStatus],
    *,
    view: RoutingView,
    authority: Authority,
    now_s: float,
    random: Random,
    prefix: str | None = None,
    prefix_tokens: int = 0,
) -> RoutingDecision:
    """Choose the upstream for one call.

    :param statuses: All upstreams of the pool.
    :param view: What the daemon knows.
    :param authority: Whether the daemon may dispatch calls under its configuration.
    :param now_s: Boot-time clock, in seconds.
    :param random: Random number generator.
    :param prefix: Digest of the prompt prefix, None to choose by load alone.
    :param prefix_tokens: Prompt tokens that a prefix cache hit is expected to save.
    """
    if authority is Authority.ISOLATED:
        return RoutingDecision(
            chosen=not_run(
                reason=Reason.ISOLATED,
                detail="this daemon cannot verify that its configuration is current",
            )
        )
    by_distance, refused = partition_candidates(statuses, view=view, now_s=now_s)
    tier, over_limit = _select_tier(
        by_distance,
        pool=pool_load(statuses, daemons=view.daemons, now_s=now_s),
        requires_free_slot=view.requires_free_slot,
        random=random,
        now_s=now_s,
    )
    refused += over_limit
    if not tier:
        return RoutingDecision(
            chosen=_no_candidate_failure(refused), refused=tuple(refused)
        )
    by_prefix = (
        _choose_by_prefix(tier, prefix=prefix, tokens=prefix_tokens)
        if prefix is not None
        else None
    )
    if by_prefix is not None:
        chosen, score = by_prefix
    else:
        pair = tier if len(tier) == 1 else random.sample(tier, 2)
        # Sampling each load from its estimated distribution prevents all daemons from
        # choosing alike because of small differences between stale reports.
        sampled_scores = [
            _score(each) + _sample_load_error(each, random) for each in pair
        ]
        chosen = pair[sampled_scores.index(min(sampled_scores))]
        score = _score(chosen)
    return RoutingDecision(
        chosen=chosen.status,
        score=score,
        needs_permit=chosen.cold,
        by_prefix=by_prefix is not None,
        distance=chosen.distance,
        candidates=len(tier),
        refused=tuple(refused),
    )
