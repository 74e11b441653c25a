"""The upstreams among which requests choose, with what is computed once for a set."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from itertools import islice
from random import Random

from galenashift.membership import rank_keys
from galenashift.model import DaemonId, FailureDomainName, UpstreamId
from galenashift.routing import RendezvousOrders

from ._upstream_registry import KnownUpstream

#: Sets that are kept: a service has one, or a few that change.
_MAX_SETS = 64
#: Prefixes whose upstreams are kept for a set.
_MAX_PREFIXES = 256
#: Upstreams drawn at once. Seldom more than two are checked.
_MAX_DRAWN = 8


@dataclass(frozen=True, kw_only=True, eq=False)
class CandidateSet:
    """Some upstreams of one service."""

    upstreams: Sequence[KnownUpstream]
    by_id: dict[UpstreamId, KnownUpstream]
    orders: RendezvousOrders
    _few_by_count: dict[int, "DomainGroups"] = field(default_factory=dict)
    _members_by_key: dict[str, "_Members"] = field(default_factory=dict)

    def count_without(self, excluded: Collection[UpstreamId]) -> int:
        """Return the number of upstreams that are not excluded."""
        return len(self.by_id) - sum(each in self.by_id for each in excluded)

    @cached_property
    def domains(self) -> "DomainGroups":
        """The upstreams of each failure domain."""
        return group_by_domain(self.upstreams)

    def few(self, *, daemon_id: DaemonId, count: int) -> "DomainGroups":
        """Return the upstreams of each failure domain that this daemon sends to.

        :param daemon_id: This daemon.
        :param count: Most upstreams of a domain.
        """
        few = self._few_by_count.get(count)
        if few is None:
            few = few_of(self.domains, daemon_id=daemon_id, count=count)
            # Numbers for earlier numbers of daemons are not needed any more.
            self._few_by_count.clear()
            self._few_by_count[count] = few
        return few

    def members(
        self, key: str, *, size: int, daemon_id: DaemonId, count: int
    ) -> "DomainGroups":
        """Return the upstreams of a prefix that this daemon sends to, by domain.

        :param size: Number of upstreams of the prefix.
        :param daemon_id: This daemon.
        :param count: Most upstreams of a domain.
        """
        members = self._members_by_key.get(key)
        if members is None or (members.size, members.count) != (size, count):
            order = islice(self.in_order_of(key, count=size), size)
            groups = few_of(group_by_domain(order), daemon_id=daemon_id, count=count)
            members = _Members(size=size, count=count, groups=groups)
            if len(self._members_by_key) >= _MAX_PREFIXES:
                self._members_by_key.clear()
            self._members_by_key[key] = members
        return members.groups

    @cached_property
    def mean_slots(self) -> float:
        """Requests that an upstream executes concurrently, at least one."""
        total = sum(each.registration.slots for each in self.upstreams)
        return max(1.0, total / max(1, len(self.upstreams)))

    def in_order_of(self, key: str, *, count: int = 2) -> Iterator[KnownUpstream]:
        """List the upstreams in the rendezvous order of a key.

        :param count: Upstreams that will be checked, if no others are needed.
        """
        self.orders.set_members(self.by_id)
        first = self.orders.first(key, count=count)
        for upstream_id in first:
            yield self.by_id[upstream_id]
        if len(first) < len(self.by_id):
            for upstream_id in self.orders.all(key)[len(first) :]:
                yield self.by_id[upstream_id]

    def in_random_order(self, random: Random) -> Iterator[KnownUpstream]:
        """List the upstreams in a random order."""
        return random_order(self.upstreams, random)


def random_order(
    upstreams: Sequence[KnownUpstream], random: Random
) -> Iterator[KnownUpstream]:
    """List upstreams in a random order; the cost is that of those that are taken."""
    count = len(upstreams)
    drawn = random.sample(range(count), min(count, _MAX_DRAWN))
    for index in drawn:
        yield upstreams[index]
    left = sorted(set(range(count)).difference(drawn))
    random.shuffle(left)
    for index in left:
        yield upstreams[index]


@dataclass(frozen=True, kw_only=True)
class DomainGroups:
    """Some upstreams by failure domain."""

    upstreams_by_domain: Mapping[FailureDomainName, Sequence[KnownUpstream]]
    #: Requests that the upstreams of each domain execute concurrently, at least one.
    slots_by_domain: Mapping[FailureDomainName, int]


@dataclass(frozen=True, kw_only=True)
class _Members:
    """The upstreams of a prefix, for a size of its set."""

    size: int
    count: int
    groups: DomainGroups


def group_by_domain(upstreams: Iterable[KnownUpstream]) -> DomainGroups:
    """Return the upstreams of each failure domain that has some."""
    upstreams_by_domain: dict[FailureDomainName, list[KnownUpstream]] = {}
    slots_by_domain: dict[FailureDomainName, int] = {}
    for each in upstreams:
        domain = each.registration.failure_domain
        upstreams_by_domain.setdefault(domain, []).append(each)
        slots = max(1, each.registration.slots)
        slots_by_domain[domain] = slots_by_domain.get(domain, 0) + slots
    return DomainGroups(
        upstreams_by_domain=upstreams_by_domain, slots_by_domain=slots_by_domain
    )


def few_of(groups: DomainGroups, *, daemon_id: DaemonId, count: int) -> DomainGroups:
    """Return the upstreams that rank first for a daemon in each domain.

    :param count: Most upstreams of a domain.
    """
    return DomainGroups(
        upstreams_by_domain={
            domain: _first_for(daemon_id, upstreams, count)
            for domain, upstreams in groups.upstreams_by_domain.items()
        },
        slots_by_domain=groups.slots_by_domain,
    )


def _first_for(
    daemon_id: DaemonId, upstreams: Sequence[KnownUpstream], count: int
) -> Sequence[KnownUpstream]:
    if len(upstreams) <= count:
        return upstreams
    by_id = {each.registration.upstream_id: each for each in upstreams}
    first = rank_keys(daemon=daemon_id, keys=by_id, count=count)
    return [by_id[UpstreamId(each)] for each in first]


@dataclass(kw_only=True)
class CandidateSets:
    """Keeps the sets that are passed again and again."""

    _by_identity: OrderedDict[int, CandidateSet] = field(default_factory=OrderedDict)
    _orders_by_service: dict[str, RendezvousOrders] = field(default_factory=dict)

    def find(self, upstreams: Sequence[KnownUpstream]) -> CandidateSet:
        """Return the set of some upstreams of one service.

        It is kept for a tuple, which cannot change.
        """
        known = self._by_identity.get(id(upstreams))
        if known is not None and known.upstreams is upstreams:
            self._by_identity.move_to_end(id(upstreams))
            return known
        known = self._new_set(upstreams)
        if isinstance(upstreams, tuple):
            self._by_identity[id(upstreams)] = known
            if len(self._by_identity) > _MAX_SETS:
                self._by_identity.popitem(last=False)
        return known

    def _new_set(self, upstreams: Sequence[KnownUpstream]) -> CandidateSet:
        service = upstreams[0].registration.service if upstreams else ""
        return CandidateSet(
            upstreams=upstreams,
            by_id={each.registration.upstream_id: each for each in upstreams},
            orders=self._orders_by_service.setdefault(service, RendezvousOrders()),
        )
