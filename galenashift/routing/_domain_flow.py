"""Shares of requests between failure domains."""

from collections.abc import Mapping

from galenashift.model import FailureDomainName


def domain_shares(
    *,
    own: FailureDomainName,
    callers_by_domain: Mapping[FailureDomainName, float],
    capacity_by_domain: Mapping[FailureDomainName, float],
) -> dict[FailureDomainName, float]:
    """Return the shares of a domain's requests that go to the upstreams of each domain.

    A domain keeps its requests as far as its upstreams are its part of all. Only what
    exceeds this goes to domains whose upstreams are more than their callers need. All
    upstreams then get the same load, with the fewest requests between domains.

    :param own: Domain whose requests are shared out.
    :param callers_by_domain: Daemons that send to the upstreams; empty if unknown.
    :param capacity_by_domain: Capacity of the upstreams in any unit, at least one of
        them above 0.
    :returns: Shares that sum to 1, by domain of upstreams.
    """
    capacity = _normalised(capacity_by_domain)
    callers = _normalised(callers_by_domain)
    if not callers.get(own):
        # Nothing is known of the other callers.
        return capacity
    kept = min(1.0, capacity.get(own, 0.0) / callers[own])
    spare = {
        domain: max(0.0, share - callers.get(domain, 0.0))
        for domain, share in capacity.items()
    }
    total_spare = sum(spare.values())
    if total_spare <= 0:
        return {domain: float(domain == own) for domain in capacity}
    shares = {
        domain: (1.0 - kept) * each / total_spare for domain, each in spare.items()
    }
    if own in shares:
        shares[own] += kept
    return shares


def _normalised(
    amount_by_domain: Mapping[FailureDomainName, float],
) -> dict[FailureDomainName, float]:
    total = sum(amount_by_domain.values())
    if total <= 0:
        return {}
    return {domain: amount / total for domain, amount in amount_by_domain.items()}
