"""Announcement of a configuration version before it is written to the store."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from galenashift.model import (
    ConfigVersion,
    DaemonId,
    EventKind,
    Failure,
    FailureDomainName,
    FleetEvent,
    Incarnation,
    PeerCalls,
    Reason,
    UpstreamId,
    not_run,
)

from ._authority import WRITE_WINDOW_S
from ._view import FleetView

_ACKNOWLEDGEMENT_TIMEOUT_S = 3.0


@dataclass(frozen=True, kw_only=True)
class AcknowledgedAnnouncement:
    """A version that more than half of the known daemons have acknowledged."""

    #: The version.
    version: ConfigVersion
    #: Boot-time clock, in seconds, before which the store write must be sent.
    write_before_s: float


async def announce_version(
    *,
    version: ConfigVersion,
    event_id: str,
    view: FleetView,
    calls: PeerCalls,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
) -> AcknowledgedAnnouncement | Failure:
    """Announce to the known daemons that a version is about to be written.

    The caller should read the registrations from the store just before.

    :param version: Version that the write will create.
    :param event_id: Identifier of the announcement, unique in the fleet.
    :param clock: Boot-time clock, in seconds.
    :param wall_clock: Unix time, in seconds.
    :returns: A failure with reason ``MINORITY`` if at most half of the known daemons
        acknowledged within 3 s.
    """
    started_at_s = clock()
    if not view.may_confirm(now_s=started_at_s, wall_now_s=wall_clock()):
        return _minority_failure("at most half of the known daemons are reachable")
    event = FleetEvent(
        event_id=event_id,
        kind=EventKind.CONFIRM_PENDING,
        upstream_id=UpstreamId(""),
        incarnation=Incarnation(0),
        failure_domain=FailureDomainName(""),
        fingerprints=(),
        age_s=0.0,
        config_version=version,
    )
    view.record_event(event=event, as_of_s=started_at_s)
    acknowledged = {view.self_id}
    scope = trio.CancelScope(deadline=trio.current_time() + _ACKNOWLEDGEMENT_TIMEOUT_S)

    async def announce(daemon: DaemonId) -> None:
        current_event = replace(event, age_s=max(0.0, clock() - started_at_s))
        answer = await calls.push_event(daemon=daemon, event=current_event)
        if isinstance(answer, Failure):
            return
        acknowledged.add(daemon)
        if view.is_quorum(daemons=acknowledged, wall_now_s=wall_clock()):
            scope.cancel()

    with scope:
        async with trio.open_nursery() as nursery:
            for daemon in view.registrations_by_id:
                if daemon != view.self_id:
                    nursery.start_soon(announce, daemon)
    if not view.is_quorum(daemons=acknowledged, wall_now_s=wall_clock()):
        return _minority_failure(
            f"{len(acknowledged)} of {len(view.registrations_by_id)} known daemons "
            "acknowledged"
        )
    write_before_s = started_at_s + WRITE_WINDOW_S
    return AcknowledgedAnnouncement(version=version, write_before_s=write_before_s)


def _minority_failure(detail: str) -> Failure:
    return not_run(reason=Reason.MINORITY, detail=detail)
