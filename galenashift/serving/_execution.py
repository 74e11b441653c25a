"""The services that an execution uses, and the state of one request."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import trio

from galenashift.config import PipelineConfig, StageConfig, VersionedConfiguration
from galenashift.model import (
    ActionLog,
    CrashGuard,
    Failure,
    FailureDomainName,
    Fleet,
    JsonObject,
    LimitGuard,
    PermitSource,
    PipelineRequest,
    StageAnswer,
    StageName,
    SuspectClaim,
    Token,
    Upstream,
    UpstreamCalls,
    UpstreamDirectory,
    UpstreamId,
    UpstreamReservation,
    Verdict,
    new_time_ordered_id,
    strongest_verdict,
)

#: Time beyond the deadline after which the reservation of an upstream expires if its
#: daemon has crashed.
_RESERVATION_GRACE_S = 1.0

#: Receives each token of the pipeline's last stage.
Emit = Callable[[Token], Awaitable[None]]


class EventLogger(Protocol):
    """Writes events as log lines of key=value pairs."""

    def __call__(self, name: str, **fields: object) -> None:
        """Write one event.

        :param name: Name of the event.
        :param fields: Values by key.
        """


@dataclass(frozen=True, kw_only=True)
class Services:
    """The services outside this package that an execution uses."""

    #: Returns the configuration in force, or None before the first one.
    configuration: Callable[[], VersionedConfiguration | None]
    #: Calls to upstreams.
    calls: UpstreamCalls
    #: State of the known upstreams.
    directory: UpstreamDirectory
    #: Log of non-idempotent actions.
    actions: ActionLog
    #: Permits for upstreams in cold start.
    permits: PermitSource
    #: Limits of organisations, enforced across the fleet.
    limits: LimitGuard
    #: Tracks requests that are suspected of crashing upstreams.
    crashes: CrashGuard
    #: The daemons of the fleet.
    fleet: Fleet
    #: Failure domain of this daemon.
    own_domain: FailureDomainName
    #: Random source for routing, jitter and identifiers.
    random: Random
    #: Boot-time clock, in seconds; it may run ahead of trio's clock.
    clock: Callable[[], float]
    #: Seconds since the Unix epoch.
    wall_clock: Callable[[], float]
    #: Writes one event.
    log_event: EventLogger

    def new_id(self) -> str:
        """Make an identifier for an exchange or an attempt."""
        return new_time_ordered_id(wall_time_s=self.wall_clock(), random=self.random)


@dataclass(kw_only=True)
class Execution:
    """The state of one request while it runs."""

    #: Services of the daemon.
    services: Services
    #: The caller's request.
    request: PipelineRequest
    #: Configuration of the pipeline when the request arrived.
    pipeline: PipelineConfig
    #: Weight of the organisation in fair queues.
    weight: float
    #: Receives the tokens of the last stage; None if the answer is not streamed.
    emit: Emit | None = None
    #: Answers of the completed stages.
    answers_by_stage: dict[StageName, StageAnswer] = field(default_factory=dict)
    #: Verdicts of all attempts by stage.
    verdicts_by_stage: dict[StageName, list[Verdict]] = field(default_factory=dict)
    #: Whether the action's answer comes from the action log.
    replayed: bool = False
    #: Claim that a request suspected of crashing upstreams needs for an attempt.
    claim: SuspectClaim | None = None
    #: Reservation of the attempt's upstream, which keeps other suspects away from it.
    reservation: UpstreamReservation | None = None

    def log(self, name: str, **fields: object) -> None:
        """Write an event with the request's identifier."""
        self.services.log_event(name, request=self.request.request_id, **fields)

    def log_refusal(self, failure: Failure, **fields: object) -> Failure:
        """Write the event of a refusal.

        :param failure: The refusal.
        :returns: The same failure.
        """
        self.log(
            "refusal",
            reason=failure.reason.value,
            verdict=failure.verdict.value,
            detail=failure.detail,
            waited_s=round(self.services.clock() - self.request.arrived_at_s, 4),
            retry_after_s=failure.retry_after_s,
            **fields,
        )
        return failure

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.request.deadline_s - self.services.clock()

    def results(self) -> dict[StageName, JsonObject]:
        """Return the answer bodies of the completed stages."""
        return {name: answer.body for name, answer in self.answers_by_stage.items()}

    def add_verdict(self, stage: StageConfig, verdict: Verdict) -> None:
        """Append the verdict of an attempt, ``MAY_HAVE_RUN`` while it runs."""
        self.verdicts_by_stage.setdefault(stage.name, []).append(verdict)

    def replace_last_verdict(self, stage: StageConfig, verdict: Verdict) -> None:
        """Set the verdict of the last attempt after its end."""
        self.verdicts_by_stage[stage.name][-1] = verdict

    def stage_verdict(self, stage: StageConfig) -> Verdict:
        """Return the strongest verdict of a stage's attempts."""
        return strongest_verdict(self.verdicts_by_stage.get(stage.name, ()))

    def verdict(self) -> Verdict:
        """Return the verdict of the request: that of the action, if there is one."""
        action = self.pipeline.action_stage
        if action is not None:
            return self.stage_verdict(action)
        return strongest_verdict(
            verdict
            for verdicts in self.verdicts_by_stage.values()
            for verdict in verdicts
        )

    async def claim_if_suspect(self) -> Failure | None:
        """Obtain the claim for an attempt if the request is suspected of a crash."""
        crashes = self.services.crashes
        fingerprint = self.request.fingerprint
        if self.claim is not None or not crashes.is_suspect(fingerprint=fingerprint):
            return None
        # A claim that is cancelled after its write to the store would not be released,
        # so the request would be quarantined.
        with trio.CancelScope(shield=True):
            claim = await crashes.claim_suspect(fingerprint=fingerprint)
        if isinstance(claim, Failure):
            return claim
        self.claim = claim
        return None

    async def upstreams_to_avoid(self) -> frozenset[UpstreamId]:
        """Return the upstreams that run other suspects, if the request is suspect."""
        if self.claim is None:
            return frozenset()
        return await self.services.crashes.reserved_upstreams()

    async def reserve_upstream(self, upstream: Upstream) -> bool:
        """Reserve an upstream, so that no other suspect is sent to it.

        :param upstream: Upstream of the attempt.
        :returns: False if another suspect may run there.
        """
        with trio.CancelScope(shield=True):
            reservation = await self.services.crashes.reserve_upstream(
                upstream=upstream,
                ttl_s=max(0.0, self.remaining_s()) + _RESERVATION_GRACE_S,
            )
        if isinstance(reservation, Failure):
            return False
        self.reservation = reservation
        return True

    async def release_upstream(self) -> None:
        """Release the reserved upstream after the attempt."""
        reservation, self.reservation = self.reservation, None
        if reservation is not None:
            with trio.CancelScope(shield=True):
                await self.services.crashes.release_upstream(reservation=reservation)

    async def release_claim(self) -> None:
        """Release the claim; it stays if the request has crashed another upstream."""
        claim, self.claim = self.claim, None
        if claim is not None:
            with trio.CancelScope(shield=True):
                await self.services.crashes.release_suspect(claim=claim)
