"""Rollouts of a service to a new version."""

from dataclasses import dataclass
from enum import Enum

from ._gateway import ServiceName
from ._ids import VersionName


class RolloutState(Enum):
    """Progress of a rollout."""

    RUNNING = "running"
    #: All traffic has moved to the new version.
    DONE = "done"
    #: The new version gets no traffic any more.
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self is not RolloutState.RUNNING


@dataclass(frozen=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move the traffic of a service to a version."""

    service: ServiceName
    to: VersionName
    #: Time from the order by which the rollout must have ended, in seconds.
    duration_s: float
    #: Revision of the order in the store, which identifies it.
    revision: int


@dataclass(frozen=True, kw_only=True)
class RolloutRecord:
    """What the fleet stores on the rollout of a service."""

    service: ServiceName
    #: Revision of the order that the record is about.
    order_revision: int
    #: Version in force before the order; None if it had no upstream.
    from_version: VersionName | None
    to: VersionName
    state: RolloutState
    #: Number of the change of share or state; directives with a lower one are old.
    sequence: int
    #: Share of requests that go to the new version, from 0 to 1.
    share: float
    #: Time left when the record was written, in seconds.
    remaining_s: float
    #: Requests that were sent to the new version, and to both versions.
    exposure: int
    requests: int
    #: Why the rollout is in this state, in a few words.
    cause: str = ""

    @property
    def version_in_force(self) -> VersionName | None:
        """The version that gets all requests once the rollout has ended."""
        return self.to if self.state is RolloutState.DONE else self.from_version


@dataclass(frozen=True, kw_only=True)
class RolloutBounds:
    """Limits that the platform imposes on rollouts."""

    #: Requests that a bad version may get, as a fraction of those of its service.
    exposure_share: float
    #: Requests that a bad version may get in addition.
    exposure_extra: float
    #: Time after the 50th bad answer from which a version must get no request, in
    #: seconds.
    rollback_s: float
