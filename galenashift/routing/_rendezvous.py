"""Rendezvous orders of keys on upstreams, kept while the upstreams change."""

from bisect import insort
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from heapq import nsmallest

from galenashift.model import UpstreamId

#: Fewest upstreams of an order that are kept. Requests seldom need more than the first
#: few.
_KEPT_RANKS = 16
#: Fewest ranks with which an order is still used; with fewer it is computed again.
_MIN_RANKS = 8
#: Largest number of keys whose order is kept; each takes about 2 KB.
_MAX_KEYS = 256
#: Share of new upstreams from which computing an order again costs less than adding
#: them to each one that is kept.
_MAX_ADDED_RATIO = 0.25

_Ranked = list[tuple[bytes, UpstreamId]]


class RendezvousOrders:
    """The first upstreams of each key's rendezvous order.

    A hash is computed for a key and an upstream once, when either of them is new. After
    a change of the upstreams, the orders that are kept are updated.
    """

    def __init__(self) -> None:
        self._members: Mapping[UpstreamId, object] = {}
        self._ranked_by_key: OrderedDict[str, _Ranked] = OrderedDict()

    def set_members(self, members: Mapping[UpstreamId, object]) -> None:
        """Replace the upstreams; passing the same mapping again costs nothing.

        :param members: Has a key for each upstream, and does not change.
        """
        if members is self._members:
            return
        added = members.keys() - self._members.keys()
        removed = self._members.keys() - members.keys()
        self._members = members
        if len(added) > _MAX_ADDED_RATIO * len(members):
            self._ranked_by_key.clear()
        elif added or removed:
            for key in list(self._ranked_by_key):
                self._update(key, added, removed)

    def first(self, key: str, *, count: int = _MIN_RANKS) -> list[UpstreamId]:
        """Return the first upstreams for a key, best first.

        :param count: Fewest upstreams to return, if there are as many. Twice as many
            are kept.
        """
        ranked = self._ranked_by_key.get(key)
        if ranked is None or len(ranked) < min(count, len(self._members)):
            ranked = _rank(key, self._members, count=max(2 * count, _KEPT_RANKS))
            self._ranked_by_key[key] = ranked
            if len(self._ranked_by_key) > _MAX_KEYS:
                self._ranked_by_key.popitem(last=False)
        else:
            self._ranked_by_key.move_to_end(key)
        return [upstream_id for _, upstream_id in ranked]

    def all(self, key: str) -> list[UpstreamId]:
        """Return all upstreams in the order of a key, best first.

        A hash is computed for each of them.
        """
        ranked = _rank(key, self._members, count=len(self._members))
        return [upstream_id for _, upstream_id in ranked]

    def _update(
        self, key: str, added: Iterable[UpstreamId], removed: set[UpstreamId]
    ) -> None:
        """Update an order, which stays exact as far as it goes."""
        ranked = self._ranked_by_key[key]
        kept_ranks = max(_KEPT_RANKS, len(ranked))
        if removed:
            ranked = [each for each in ranked if each[1] not in removed]
        # All others come after the last one that is kept.
        last = ranked[-1] if ranked else (b"", UpstreamId(""))
        for entry in _scores(key, added):
            if entry < last:
                insort(ranked, entry)
        if len(ranked) < min(_MIN_RANKS, len(self._members)):
            del self._ranked_by_key[key]
        else:
            self._ranked_by_key[key] = ranked[:kept_ranks]


def _rank(key: str, upstream_ids: Iterable[UpstreamId], *, count: int) -> _Ranked:
    return nsmallest(count, _scores(key, upstream_ids))


def _scores(key: str, upstream_ids: Iterable[UpstreamId]) -> _Ranked:
    # The state after the key is the same for all upstreams.
    common = blake2b(f"{key}/".encode(), digest_size=8)
    scores: _Ranked = []
    for upstream_id in upstream_ids:
        digest = common.copy()
        digest.update(upstream_id.encode())
        scores.append((digest.digest(), upstream_id))
    return scores
