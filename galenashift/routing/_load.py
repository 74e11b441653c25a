"""Estimation of the current load of upstreams from stale reports."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import exp
from typing import NamedTuple

from galenashift.model import FailureDomainName, UpstreamState, UpstreamStatus

#: Load per slot at which an upstream gets no more calls. Beyond it a call starts
#: only after every slot has finished a call. At 3.0, streams missed their deadlines
#: during overload in the queues of the engines, which do not know deadlines.
MAX_LOAD_PER_SLOT = 2.0
#: Slots assumed for an upstream without a load report.
_DEFAULT_SLOTS = 1
#: Concurrent calls assumed to be possible on a cold upstream without a load report.
_DEFAULT_COLD_CAPACITY = 1
#: Call duration in seconds that is assumed before any call has ended.
_DEFAULT_LATENCY_S = 1.0
_COLD = UpstreamState.COLD


class Candidate(NamedTuple):
    """An upstream that may receive the call.

    A named tuple, because each decision constructs up to 250 of these and a frozen
    data class takes several times as long to construct.
    """

    #: State, last report and own calls of the upstream.
    status: UpstreamStatus
    #: Expected number of current calls: reported ones, own ones and those of peers.
    load: float
    #: Variance of the expected number of calls.
    variance: float
    #: Calls that the upstream can execute concurrently in its present state.
    slots: int
    #: Failure domain distance: 0 in the same domain, 1 in the same region, 2 beyond.
    distance: int
    #: Whether a call needs a cold-start permit.
    cold: bool


@dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """Averages over a pool, for what the reports of one upstream cannot show."""

    #: Calls per second that all peers together start on one upstream.
    peer_starts_per_s: float
    #: Mean duration of calls in seconds.
    latency_s: float
    #: Mean number of reported calls of peers on one upstream, by failure domain.
    peer_calls_by_domain: Mapping[FailureDomainName, float]


def pool_load(
    statuses: Sequence[UpstreamStatus], *, daemons: int, now_s: float
) -> PoolLoad:
    """Estimate the calls of peers on the upstreams of a pool.

    The load balancer gives all daemons the same share of requests, so each peer is
    assumed to start calls at the rate of this daemon. The rate is averaged over the
    pool; otherwise one call by this daemon would count as one call by each of 340
    daemons on the same upstream.

    :param statuses: All upstreams of the pool.
    :param daemons: Daemons that are alive, this one included.
    :param now_s: Boot-time clock, in seconds.
    """
    started = reports = latency_count = 0
    as_of_s = latency_s = 0.0
    totals_by_domain: dict[FailureDomainName, tuple[int, int]] = {}
    for status in statuses:
        if status.latency_s:
            latency_s += status.latency_s
            latency_count += 1
        report = status.report
        if report is None:
            continue
        reports += 1
        as_of_s += report.as_of_s
        unreported = status.started_since_report
        started += unreported
        own_reported = (
            status.in_flight - unreported if unreported < status.in_flight else 0
        )
        domain = status.upstream.failure_domain
        calls, count = totals_by_domain.get(domain, (0, 0))
        calls += report.running + report.queued - own_reported
        totals_by_domain[domain] = (calls, count + 1)
    age_s = reports * now_s - as_of_s
    peers = daemons - 1
    return PoolLoad(
        peer_starts_per_s=started / age_s * peers if age_s > 0 else 0.0,
        latency_s=latency_s / latency_count if latency_count else _DEFAULT_LATENCY_S,
        peer_calls_by_domain={
            domain: max(0.0, calls / count) if peers else 0.0
            for domain, (calls, count) in totals_by_domain.items()
        },
    )


def estimate_candidates(
    statuses: Sequence[UpstreamStatus],
    *,
    distance: int,
    pool: PoolLoad,
    now_s: float,
) -> tuple[list[Candidate], list[UpstreamStatus]]:
    """Estimate the loads of upstreams at one distance.

    The estimate follows the transient of a queue with many servers: the fraction
    exp(-age / latency) of the reported calls is still running, and calls that peers
    have started since replace the rest. The number of the latter is derived from the
    start rate of this daemon and the number of daemons, and is at least the mean that
    the upstreams of the failure domain report. A report that is older than the duration
    of a call therefore has little weight (Dahlin 1999, "Interpreting stale load
    information").

    :param statuses: Upstreams at this distance that have not been refused.
    :param distance: Failure domain distance of the upstreams.
    :param pool: Averages over the pool.
    :param now_s: Boot-time clock, in seconds.
    :returns: Candidates, and the upstreams that are at their load limit.
    """
    peer_starts_per_s = pool.peer_starts_per_s
    peer_calls_by_domain = pool.peer_calls_by_domain
    candidates: list[Candidate] = []
    over_limit: list[UpstreamStatus] = []
    for status in statuses:
        report = status.report
        cold = status.state is _COLD
        in_flight = status.in_flight
        load: float = in_flight
        variance = 0.0
        if report is None:
            slots = _DEFAULT_COLD_CAPACITY if cold else _DEFAULT_SLOTS
            max_calls = in_flight
        else:
            slots = (report.bears if cold else report.slots) or 1
            # A comparison is cheaper than a call of `min` in this hot loop.
            unreported = status.started_since_report
            if unreported > in_flight:
                unreported = in_flight
            max_calls = report.running + report.queued + unreported
            age_s = now_s - report.as_of_s
            latency_s = status.latency_s or pool.latency_s
            running_fraction = exp(-age_s / latency_s) if age_s > 0 else 1.0
            # Fraction of the reported calls that has ended since.
            gone = 1.0 - running_fraction
            peers = peer_starts_per_s * latency_s
            mean_peer_calls = peer_calls_by_domain[status.upstream.failure_domain]
            if mean_peer_calls > peers:
                peers = mean_peer_calls
            # Poisson for the peers' later calls, binomial for the reported ones.
            variance = peers * gone
            load += variance
            if max_calls > in_flight:
                running_calls = (max_calls - in_flight) * running_fraction
                load += running_calls
                variance += running_calls * gone
        if in_flight >= slots if cold else max_calls >= MAX_LOAD_PER_SLOT * slots:
            over_limit.append(status)
        else:
            candidates.append(Candidate(status, load, variance, slots, distance, cold))
    return candidates, over_limit
