"""Requests for the memory of stage results, and the decisions on them."""

from dataclasses import dataclass
from typing import NewType

from galenashift.model import OrganisationId, ServiceName

RoomId = NewType("RoomId", str)
RoomOwner = NewType("RoomOwner", str)


@dataclass(frozen=True, kw_only=True)
class StageNeed:
    """What one stage takes of a service: memory for its results, or calls."""

    service: ServiceName
    #: Memory in bytes; for calls, in hundredths of a piece.
    size_bytes: int


@dataclass(frozen=True, kw_only=True)
class RoomRequest:
    """A request that asks for the memory of all its stages."""

    room_id: RoomId
    #: Whose end releases the reservation.
    owner: RoomOwner
    organisation_id: OrganisationId
    #: Priority; a lower rank comes first.
    rank: int
    #: Boot-time clock by which the answer is on time, in seconds.
    due_s: float
    #: Boot-time clock after which the answer is no longer needed, in seconds.
    deadline_s: float
    #: Expected time from the grant to the answer, in seconds.
    work_s: float
    #: Needs of the stages, in their order: all of memory, then all of calls.
    needs: tuple[StageNeed, ...]

    def is_late(self, *, now_s: float) -> bool:
        """Tell whether the answer would be late if the request started now.

        :param now_s: Boot-time clock, in seconds.
        """
        return now_s + self.work_s > self.due_s


@dataclass(frozen=True, kw_only=True)
class RoomGranted:
    """The memory is reserved."""

    request: RoomRequest
    #: Time for which the request waited, in seconds.
    waited_s: float


@dataclass(frozen=True, kw_only=True)
class RoomRefused:
    """The turn of the request would come too late for its deadline."""

    request: RoomRequest
    #: Expected wait for the memory, in seconds.
    wait_s: float
    #: Time after which a new attempt may succeed, in seconds.
    retry_after_s: float
    #: Service whose memory is waited for the longest; None if none is short.
    service: ServiceName | None


RoomDecision = RoomGranted | RoomRefused
