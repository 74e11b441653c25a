"""Admission control of stage calls to a pool, before they are routed."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from galenashift.model import Failure, OrganisationId, Reason, not_run

from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue

#: One in this many slots is reserved for organisations that hold none, so that long
#: calls of one organisation do not delay the first call of another.
_SLOTS_PER_RESERVED_SLOT = 8


@dataclass(frozen=True, kw_only=True)
class Slot:
    """Permission to have one call in flight at a pool."""

    #: Organisation that holds the slot.
    organisation: OrganisationId


@dataclass(kw_only=True, eq=False)
class _Waiter:
    organisation: OrganisationId
    woken: trio.Event = field(default_factory=trio.Event)
    admitted: bool = False


class PoolAdmission:
    """Admits calls to one pool by its concurrency limit, in fair-queue order."""

    def __init__(self, *, limit: ConcurrencyLimit, clock: Callable[[], float]) -> None:
        """Create the admission control of one pool.

        :param limit: Concurrency limit of the pool.
        :param clock: Boot-time clock, in seconds.
        """
        self._limit = limit
        self._clock = clock
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._slots_by_organisation: Counter[OrganisationId] = Counter()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    async def acquire(
        self,
        *,
        organisation: OrganisationId,
        weight: float,
        priority: int,
        deadline_s: float,
        start_before_s: float,
        cost: float,
    ) -> Slot | Failure:
        """Wait for a slot; a cancelled wait keeps neither a slot nor a queue entry.

        :param organisation: Organisation whose share the call uses.
        :param weight: The organisation's share of contended capacity.
        :param priority: Priority of the kind of request; a lower number comes first.
        :param deadline_s: Deadline of the request on the boot-time clock, in seconds.
        :param start_before_s: Boot-time clock, in seconds, from which the call could
            no longer meet the deadline.
        :param cost: Expected duration of the call, in seconds.
        """
        waiter = _Waiter(organisation=organisation)
        ticket = self._queue.push(
            organisation=organisation,
            weight=weight,
            priority=priority,
            deadline_s=deadline_s,
            start_before_s=start_before_s,
            cost=cost,
            item=waiter,
        )
        self._admit_waiting()
        if not waiter.woken.is_set():
            try:
                with trio.move_on_after(max(0.0, start_before_s - self._clock())):
                    await waiter.woken.wait()
            except trio.Cancelled:
                self._abandon(waiter)
                raise
            finally:
                self._queue.remove(ticket)
        if waiter.admitted:
            return Slot(organisation=organisation)
        return not_run(
            reason=Reason.DEADLINE_UNREACHABLE,
            detail="the deadline could no longer be met after waiting for the pool",
        )

    def release(self, *, slot: Slot) -> None:
        """Return a slot at the end of its call.

        :param slot: What `acquire` returned.
        """
        self._release(slot.organisation)
        self._admit_waiting()

    def record(self, *, kind: str, duration_s: float) -> None:
        """Adapt the concurrency limit to a finished call.

        :param kind: Kind of call.
        :param duration_s: Duration of the call, or of one of its tokens, in seconds.
        """
        self._limit.record(kind=kind, duration_s=duration_s, in_flight=self._in_flight)

    def record_overload(self) -> None:
        """Lower the limit after an upstream refused a call because of overload."""
        self._limit.record_overload()

    def _abandon(self, waiter: _Waiter) -> None:
        # A slot may have been granted at the same time as the cancellation.
        if waiter.admitted:
            self._release(waiter.organisation)
            self._admit_waiting()

    def _release(self, organisation: OrganisationId) -> None:
        self._in_flight -= 1
        self._slots_by_organisation[organisation] -= 1
        if not self._slots_by_organisation[organisation]:
            del self._slots_by_organisation[organisation]

    def _admit_waiting(self) -> None:
        for expired in self._queue.expire(now_s=self._clock()):
            expired.woken.set()
        limit = self._limit.limit
        while self._in_flight < limit and len(self._queue):
            # Reserved slots go only to organisations that hold none.
            reserved = limit // _SLOTS_PER_RESERVED_SLOT
            held = self._slots_by_organisation
            skipped = held if self._in_flight >= limit - reserved else ()
            waiter = self._queue.pop(skipped=skipped)
            if waiter is None:
                return
            waiter.admitted = True
            self._in_flight += 1
            held[waiter.organisation] += 1
            waiter.woken.set()
