"""Reserves memory for the results of stages, all stages of a request at once.

Nothing here does input or output.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from galenashift.model import OrganisationId, ServiceName

from ._room_demand import RoomDemand
from ._room_request import (
    RoomDecision,
    RoomGranted,
    RoomId,
    RoomOwner,
    RoomRefused,
    RoomRequest,
)

#: Grants past a request that does not fit, after which its services are kept for it.
MAX_PASSES = 8
#: One grant in this many goes to the oldest request, so that no rank starves.
OLDEST_INTERVAL = 6
#: Factor on the fair share of memory from which an organisation comes after others.
_SHARE_SLACK = 2.0
#: Part of the memory of a service up to which a need neither counts as passing others
#: over nor waits for one that was passed over.
_SMALL_RATIO = 0.005
#: Least part of the memory that is left for a request by those that precede it; the
#: turns of the oldest request provide it.
_MIN_DRAIN_RATIO = 1 / OLDEST_INTERVAL
#: Expected time from a grant to its release before the first release, in seconds.
_DEFAULT_HOLD_S = 1.0
#: Bounds of the expected time from a grant to its release, in seconds.
_MIN_HOLD_S, _MAX_HOLD_S = 0.2, 4.0
#: Weight of a new sample in the moving average of that time.
_HOLD_WEIGHT = 0.05
#: Least time after which a refused request may come back, in seconds.
_MIN_RETRY_AFTER_S = 0.25


@dataclass(kw_only=True, eq=False)
class _Waiting:
    request: RoomRequest
    size_by_service: Mapping[ServiceName, int]
    since_s: float
    #: Number of grants to requests behind this one that use the same services.
    passes: int = 0


@dataclass(kw_only=True, eq=False)
class _Reservation:
    request: RoomRequest
    granted_s: float
    expires_s: float
    #: Stages whose memory is reserved.
    stages: set[int] = field(default_factory=set)


class StageRoom:
    """The memory for stage results, what is reserved of it, and who waits.

    A request larger than the memory of a service is granted while nothing else is
    reserved there. A service without a known capacity does not limit anybody.
    """

    def __init__(self) -> None:
        self._capacity_by_service: dict[ServiceName, int] = {}
        self._lifetime_s = _MAX_HOLD_S
        self._reservations_by_id: dict[RoomId, _Reservation] = {}
        #: In the order of arrival.
        self._waiting_by_id: dict[RoomId, _Waiting] = {}
        self._reserved_by_service: Counter[ServiceName] = Counter()
        self._reserved_by_organisation: Counter[tuple[OrganisationId, ServiceName]] = (
            Counter()
        )
        self._hold_by_service_s: dict[ServiceName, float] = {}
        self._demand = RoomDemand()
        self._grants_since_oldest = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting_by_id)

    @property
    def reservations(self) -> int:
        """Number of reservations."""
        return len(self._reservations_by_id)

    def reserved_bytes(self, service: ServiceName) -> int:
        """Return the reserved memory of a service, in bytes."""
        return self._reserved_by_service[service]

    def capacity_bytes(self, service: ServiceName) -> int | None:
        """Return the memory of a service, in bytes, or None if it is not limited."""
        return self._capacity_by_service.get(service)

    def set_capacity(
        self, capacity_by_service: Mapping[ServiceName, int], *, lifetime_s: float
    ) -> None:
        """Set the memory of each service.

        :param capacity_by_service: Memory, in bytes.
        :param lifetime_s: Time after which a reservation that was neither granted nor
            partly released since expires, in seconds.
        """
        self._capacity_by_service = dict(capacity_by_service)
        self._lifetime_s = lifetime_s

    def add(self, request: RoomRequest, *, now_s: float) -> RoomGranted | None:
        """Grant a request at once, or let it wait for the next call of `decide`.

        A request whose id is known replaces the earlier one.

        :param now_s: Boot-time clock, in seconds.
        """
        self.release(request.room_id, now_s=now_s)
        sizes: Counter[ServiceName] = Counter()
        for need in request.needs:
            sizes[need.service] += need.size_bytes
        self._demand.record(sizes, request.rank, now_s=now_s)
        waiting = _Waiting(request=request, size_by_service=sizes, since_s=now_s)
        feasible = now_s + request.work_s <= request.deadline_s
        if feasible and not self._waiting_by_id and self._fits(waiting):
            return self._grant(waiting, now_s)
        self._waiting_by_id[request.room_id] = waiting
        return None

    def release(
        self, room_id: RoomId, *, now_s: float, stages: Collection[int] | None = None
    ) -> None:
        """Release stages of a reservation, or withdraw a waiting request.

        :param stages: Indices of the stages; None for all of them.
        :param now_s: Boot-time clock, in seconds.
        """
        if stages is None:
            self._waiting_by_id.pop(room_id, None)
        reservation = self._reservations_by_id.get(room_id)
        if reservation is None:
            return
        reservation.expires_s = now_s + self._lifetime_s
        held_s = now_s - reservation.granted_s
        for index in set(reservation.stages if stages is None else stages):
            if index in reservation.stages:
                self._free(reservation, index)
                self._record_hold(reservation.request.needs[index].service, held_s)
        if not reservation.stages:
            del self._reservations_by_id[room_id]

    def drop_owner(self, owner: RoomOwner) -> int:
        """Release all that an owner holds, and withdraw its waiting requests.

        :returns: Number of reservations and waiting requests.
        """
        requests = [each.request for each in self._reservations_by_id.values()]
        requests += [each.request for each in self._waiting_by_id.values()]
        room_ids = [each.room_id for each in requests if each.owner == owner]
        for room_id in room_ids:
            self._drop(room_id)
        return len(room_ids)

    def expire(self, *, now_s: float) -> list[RoomRequest]:
        """Release the reservations whose owners have not been heard of.

        :param now_s: Boot-time clock, in seconds.
        :returns: Their requests.
        """
        expired = [
            each.request
            for each in self._reservations_by_id.values()
            if each.expires_s <= now_s
        ]
        for request in expired:
            self._drop(request.room_id)
        return expired

    def decide(self, *, now_s: float) -> list[RoomDecision]:
        """Grant and refuse waiting requests.

        :param now_s: Boot-time clock, in seconds.
        """
        decisions: list[RoomDecision] = list(self._refuse_infeasible(now_s))
        while granted := self._grant_some(now_s):
            decisions += granted
        return decisions

    def _refuse_infeasible(self, now_s: float) -> list[RoomRefused]:
        refused: list[RoomRefused] = []
        ahead: Counter[ServiceName] = Counter()
        for waiting in self._ordered(now_s):
            request = waiting.request
            late = request.is_late(now_s=now_s)
            wait_s, service = self._expected_wait(waiting, ahead, late=late)
            if now_s + wait_s + request.work_s <= request.deadline_s:
                ahead.update(waiting.size_by_service)
                continue
            del self._waiting_by_id[request.room_id]
            refused.append(
                RoomRefused(
                    request=request,
                    wait_s=wait_s,
                    retry_after_s=max(_MIN_RETRY_AFTER_S, wait_s),
                    service=service,
                )
            )
        return refused

    def _expected_wait(
        self, waiting: _Waiting, ahead: Mapping[ServiceName, int], *, late: bool
    ) -> tuple[float, ServiceName | None]:
        """Return the time until the memory is free, in seconds, and where it is short.

        Memory becomes free at the rate at which it is used, less what requests that
        arrive meanwhile and come first will take.

        :param ahead: Memory of the requests that come first, in bytes.
        :param late: Whether all requests that can be on time come first.
        """
        below_rank = None if late else waiting.request.rank
        longest: tuple[float, ServiceName | None] = (0.0, None)
        for service, size_bytes in waiting.size_by_service.items():
            capacity = self._capacity_by_service.get(service)
            used = self._reserved_by_service[service] + ahead.get(service, 0)
            if capacity is None or not used or used + size_bytes <= capacity:
                continue
            hold_s = self._hold_by_service_s.get(service, _DEFAULT_HOLD_S)
            drain_per_s = max(1, capacity) / hold_s
            taken_per_s = self._demand.rate(service, below_rank=below_rank)
            left_per_s = max(_MIN_DRAIN_RATIO * drain_per_s, drain_per_s - taken_per_s)
            wait_s = (used + size_bytes - capacity) / left_per_s
            longest = max(longest, (wait_s, service), key=lambda each: each[0])
        return longest

    def _grant_some(self, now_s: float) -> list[RoomGranted]:
        """Grant requests in order until the next turn of the oldest one."""
        if self._grants_since_oldest >= OLDEST_INTERVAL - 1 and self._waiting_by_id:
            self._grants_since_oldest = 0
            oldest = next(iter(self._waiting_by_id.values()))
            oldest.passes = max(oldest.passes, MAX_PASSES)
        granted: list[RoomGranted] = []
        kept: set[ServiceName] = set()
        passed: list[_Waiting] = []
        for waiting in self._ordered(now_s):
            services = self._large_needs(waiting)
            if kept.isdisjoint(services) and self._fits(waiting):
                del self._waiting_by_id[waiting.request.room_id]
                granted.append(self._grant(waiting, now_s))
                self._count_passes(passed, services)
                if self._grants_since_oldest >= OLDEST_INTERVAL - 1:
                    break
                continue
            passed.append(waiting)
            if waiting.passes >= MAX_PASSES:
                kept |= services
        return granted

    def _count_passes(
        self, passed: Iterable[_Waiting], services: set[ServiceName]
    ) -> None:
        self._grants_since_oldest += 1
        for each in passed:
            if not services.isdisjoint(each.size_by_service):
                each.passes += 1

    def _large_needs(self, waiting: _Waiting) -> set[ServiceName]:
        """List the services of whose memory a request needs a considerable part."""
        return {
            service
            for service, size_bytes in waiting.size_by_service.items()
            if size_bytes > _SMALL_RATIO * self._capacity_by_service.get(service, 0)
        }

    def _ordered(self, now_s: float) -> list[_Waiting]:
        """List the waiting requests in the order in which they get memory.

        Requests that were passed over too often come first, then those that can be on
        time, then organisations within their share, then by rank and time left.
        """
        excess = self._organisations_in_excess()

        def key(waiting: _Waiting) -> tuple[float, ...]:
            request = waiting.request
            if waiting.passes >= MAX_PASSES:
                return (0, waiting.since_s)
            late = request.is_late(now_s=now_s)
            return (
                1,
                late,
                request.organisation_id in excess,
                request.rank,
                request.deadline_s if late else request.due_s,
            )

        return sorted(self._waiting_by_id.values(), key=key)

    def _organisations_in_excess(self) -> set[OrganisationId]:
        """List the organisations that hold more of a service than others could, too."""
        waiting = {
            each.request.organisation_id for each in self._waiting_by_id.values()
        }
        holding = {organisation for organisation, _ in self._reserved_by_organisation}
        share = _SHARE_SLACK / max(1, len(waiting | holding))
        if share >= 1:
            return set()
        return {
            organisation
            for (organisation, service), size in self._reserved_by_organisation.items()
            if size > share * self._capacity_by_service.get(service, math.inf)
        }

    def _fits(self, waiting: _Waiting) -> bool:
        return all(
            not self._reserved_by_service[service]
            or self._reserved_by_service[service] + size_bytes
            <= self._capacity_by_service.get(service, math.inf)
            for service, size_bytes in waiting.size_by_service.items()
        )

    def _grant(self, waiting: _Waiting, now_s: float) -> RoomGranted:
        request = waiting.request
        self._reservations_by_id[request.room_id] = _Reservation(
            request=request,
            granted_s=now_s,
            expires_s=now_s + self._lifetime_s,
            stages=set(range(len(request.needs))),
        )
        for service, size_bytes in waiting.size_by_service.items():
            self._change(request, service, size_bytes)
        return RoomGranted(request=request, waited_s=now_s - waiting.since_s)

    def _drop(self, room_id: RoomId) -> None:
        self._waiting_by_id.pop(room_id, None)
        reservation = self._reservations_by_id.pop(room_id, None)
        if reservation is not None:
            for index in tuple(reservation.stages):
                self._free(reservation, index)

    def _free(self, reservation: _Reservation, index: int) -> None:
        reservation.stages.remove(index)
        need = reservation.request.needs[index]
        self._change(reservation.request, need.service, -need.size_bytes)

    def _change(
        self, request: RoomRequest, service: ServiceName, size_bytes: int
    ) -> None:
        self._reserved_by_service[service] += size_bytes
        key = (request.organisation_id, service)
        self._reserved_by_organisation[key] += size_bytes
        if not self._reserved_by_organisation[key]:
            del self._reserved_by_organisation[key]

    def _record_hold(self, service: ServiceName, held_s: float) -> None:
        sample_s = min(_MAX_HOLD_S, max(_MIN_HOLD_S, held_s))
        hold_s = self._hold_by_service_s.get(service, _DEFAULT_HOLD_S)
        hold_s += _HOLD_WEIGHT * (sample_s - hold_s)
        self._hold_by_service_s[service] = hold_s
