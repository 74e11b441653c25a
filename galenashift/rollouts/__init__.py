"""Decisions on rollouts of a service to a new version; no input or output."""

from ._coordinator import RolloutCoordinator
from ._directive import Directive
from ._evidence import (
    BUCKETS,
    MAX_KEYS,
    Counts,
    EvidenceKey,
    EvidenceReport,
    FleetEvidence,
    LocalEvidence,
    Measure,
    Side,
    latency_bucket,
    size_class,
)
from ._growth import Growth, Progress, VersionCapacity, next_growth
from ._judgement import Fault, Finding, judge, upper_tail
from ._local import AllowedVersions, LocalRollout, allowed_versions
from ._schedule import Step, allowance, canary_share, plan_steps
from ._selection import CallShare, selection_point

__all__ = [
    "BUCKETS",
    "MAX_KEYS",
    "AllowedVersions",
    "CallShare",
    "Counts",
    "Directive",
    "EvidenceKey",
    "EvidenceReport",
    "Fault",
    "Finding",
    "FleetEvidence",
    "Growth",
    "LocalEvidence",
    "LocalRollout",
    "Measure",
    "Progress",
    "RolloutCoordinator",
    "Side",
    "Step",
    "VersionCapacity",
    "allowance",
    "allowed_versions",
    "canary_share",
    "judge",
    "latency_bucket",
    "next_growth",
    "plan_steps",
    "selection_point",
    "size_class",
    "upper_tail",
]
