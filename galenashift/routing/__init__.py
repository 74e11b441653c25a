"""Selection of the upstream for each stage call, as pure functions."""

from ._affinity import rank_by_affinity
from ._candidates import Refusal, RefusedCandidate, RoutingView, partition_candidates
from ._choice import RoutingDecision, choose_upstream
from ._domain_flow import domain_shares
from ._load import Candidate, PoolLoad, estimate_candidates, pool_load
from ._outliers import OutlierDetector
from ._prefix_spread import PrefixSpread
from ._rendezvous import RendezvousOrders
from ._upstream_use import HeldEstimate, UpstreamUse

__all__ = [
    "Candidate",
    "HeldEstimate",
    "OutlierDetector",
    "PoolLoad",
    "PrefixSpread",
    "Refusal",
    "RefusedCandidate",
    "RendezvousOrders",
    "RoutingDecision",
    "RoutingView",
    "UpstreamUse",
    "choose_upstream",
    "domain_shares",
    "estimate_candidates",
    "partition_candidates",
    "pool_load",
    "rank_by_affinity",
]
