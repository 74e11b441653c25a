"""Start-time fair queueing across organisations."""

from collections.abc import Container
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from galenashift.model import OrganisationId

T = TypeVar("T")

#: Number of removed entries that may remain in a heap before it is rebuilt.
_MAX_REMOVED_ENTRIES = 64


@dataclass(kw_only=True, eq=False)
class Ticket(Generic[T]):
    """One piece of queued work."""

    #: Organisation whose share the work uses.
    organisation: OrganisationId
    #: Boot-time clock, in seconds, from which starting the work is useless.
    start_before_s: float
    #: Service that the work takes, in a unit common to the whole queue.
    cost: float
    #: The queued work.
    item: T
    #: Whether the work is still in the queue.
    queued: bool = True


@dataclass(kw_only=True, eq=False)
class _Flow(Generic[T]):
    """The queued work of one organisation."""

    weight: float
    #: Virtual start time of the organisation's next work.
    start_tag: float
    count: int = 0
    #: Order: priority, deadline, sequence.
    heap: list[tuple[int, float, int, Ticket[T]]] = field(default_factory=list)


class FairQueue(Generic[T]):
    """Shares a pool by weight, independently of how much each organisation sends.

    Start-time fair queueing (Goyal, Vin and Cheng 1996): the virtual time is the
    start tag of the work that started last, and each organisation's next start tag
    grows by cost / weight. Tags belong to organisations rather than to work, since
    within an organisation the order is by priority, then by earliest deadline.
    """

    def __init__(self) -> None:
        self._flows_by_organisation: dict[OrganisationId, _Flow[T]] = {}
        #: Start tags of organisations; one entry for each flow.
        self._tag_heap: list[tuple[float, int, OrganisationId]] = []
        self._expiry_heap: list[tuple[float, int, Ticket[T]]] = []
        self._virtual_time = 0.0
        self._sequence = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def organisations(self) -> int:
        """Number of organisations for which the queue keeps a start tag."""
        return len(self._flows_by_organisation)

    def push(
        self,
        *,
        organisation: OrganisationId,
        weight: float,
        priority: int,
        deadline_s: float,
        start_before_s: float,
        cost: float,
        item: T,
    ) -> Ticket[T]:
        """Add work.

        :param organisation: Organisation whose share the work uses.
        :param weight: The organisation's share of contended capacity.
        :param priority: Order within the organisation; a lower number comes first.
        :param deadline_s: Order among equal priorities, earliest first.
        :param start_before_s: Boot-time clock, in seconds, from which starting the
            work is useless.
        :param cost: Service that the work takes, above 0.
        :param item: The work.
        """
        self._sequence += 1
        flow = self._flows_by_organisation.get(organisation)
        if flow is None:
            flow = _Flow(weight=weight, start_tag=self._virtual_time)
            self._flows_by_organisation[organisation] = flow
            heappush(self._tag_heap, (flow.start_tag, self._sequence, organisation))
        flow.weight = weight
        ticket = Ticket(
            organisation=organisation,
            start_before_s=start_before_s,
            cost=cost,
            item=item,
        )
        heappush(flow.heap, (priority, deadline_s, self._sequence, ticket))
        heappush(self._expiry_heap, (start_before_s, self._sequence, ticket))
        flow.count += 1
        self._length += 1
        return ticket

    def _mark_removed(self, ticket: Ticket[T]) -> _Flow[T]:
        ticket.queued = False
        flow = self._flows_by_organisation[ticket.organisation]
        flow.count -= 1
        self._length -= 1
        if len(flow.heap) > 2 * flow.count + _MAX_REMOVED_ENTRIES:
            flow.heap = [each for each in flow.heap if each[3].queued]
            heapify(flow.heap)
        if len(self._expiry_heap) > 2 * self._length + _MAX_REMOVED_ENTRIES:
            self._expiry_heap = [each for each in self._expiry_heap if each[2].queued]
            heapify(self._expiry_heap)
        return flow

    def remove(self, ticket: Ticket[T]) -> bool:
        """Remove work without starting it.

        :param ticket: What `push` returned.
        :returns: Whether the work was still in the queue.
        """
        if not ticket.queued:
            return False
        self._mark_removed(ticket)
        return True

    def expire(self, *, now_s: float) -> list[T]:
        """Remove the work that can no longer start in time.

        :param now_s: Boot-time clock, in seconds.
        :returns: The removed work; none of it has run.
        """
        expired: list[T] = []
        while self._expiry_heap:
            start_before_s, _, ticket = self._expiry_heap[0]
            if ticket.queued and start_before_s > now_s:
                break
            heappop(self._expiry_heap)
            if ticket.queued:
                self._mark_removed(ticket)
                expired.append(ticket.item)
        return expired

    def pop(self, *, skipped: Container[OrganisationId] = ()) -> T | None:
        """Remove and return the work that starts next.

        :param skipped: Organisations whose work must not start now.
        :returns: The work, or None if there is none.
        """
        deferred: list[tuple[float, int, OrganisationId]] = []
        item: T | None = None
        while self._tag_heap:
            entry = heappop(self._tag_heap)
            start_tag, sequence, organisation = entry
            flow = self._flows_by_organisation[organisation]
            if not flow.count:
                if start_tag <= self._virtual_time or not self._length:
                    # A new flow of the organisation would get the same or a later tag.
                    del self._flows_by_organisation[organisation]
                else:
                    deferred.append(entry)
                continue
            if organisation in skipped:
                deferred.append(entry)
                continue
            # An organisation gains no credit for time in which it was idle or skipped.
            start_tag = max(start_tag, self._virtual_time)
            self._virtual_time = start_tag
            ticket = self._pop_first(flow)
            self._mark_removed(ticket)
            flow.start_tag = start_tag + ticket.cost / flow.weight
            heappush(self._tag_heap, (flow.start_tag, sequence, organisation))
            item = ticket.item
            break
        for entry in deferred:
            heappush(self._tag_heap, entry)
        return item

    @staticmethod
    def _pop_first(flow: _Flow[T]) -> Ticket[T]:
        while True:
            ticket = heappop(flow.heap)[3]
            if ticket.queued:
                return ticket
