"""Activates a confirmed configuration plan in the whole fleet."""

from galenashift.config import Plan, VersionedConfiguration, confirm
from galenashift.membership import AcknowledgedAnnouncement, announce_version
from galenashift.model import (
    ConfigVersion,
    Failure,
    Reason,
    boot_time_s,
    new_time_ordered_id,
    not_run,
    wall_time_s,
)

from ._components import Components


class Confirmation:
    """Confirms plans that operators submit.

    :param parts: Components of this daemon.
    """

    def __init__(self, *, parts: Components) -> None:
        self._parts = parts

    async def confirm(self, plan: Plan) -> VersionedConfiguration | Failure:
        """Announce the next version to a majority of the daemons, then store it.

        :param plan: The plan that an operator confirms.
        :returns: The version that the plan became, or the reason for the failure.
        """
        write_guard = _WriteGuard(parts=self._parts)
        confirmed = await confirm(
            store=self._parts.store, plan=plan, before_write=write_guard.allow
        )
        if isinstance(confirmed, Failure):
            self._parts.events.warning(
                "confirm-refused",
                plan_id=plan.plan_id,
                reason=confirmed.reason,
                detail=confirmed.detail,
            )
            return confirmed
        self._parts.configuration.adopt(confirmed)
        return confirmed


class _WriteGuard:
    """Announces a version once, and allows store writes until its write deadline."""

    def __init__(self, *, parts: Components) -> None:
        self._parts = parts
        self._acknowledged: AcknowledgedAnnouncement | None = None

    async def allow(self, version: VersionedConfiguration) -> Failure | None:
        if self._acknowledged is None:
            announced = await self._announce(ConfigVersion(version.version))
            if isinstance(announced, Failure):
                return announced
            self._acknowledged = announced
        if boot_time_s() >= self._acknowledged.write_before_s:
            return not_run(
                reason=Reason.STORE_UNAVAILABLE,
                detail="the store did not accept the version before the write deadline "
                "of its announcement; confirm the plan again",
            )
        return None

    async def _announce(
        self, version: ConfigVersion
    ) -> AcknowledgedAnnouncement | Failure:
        parts = self._parts
        if not await parts.registration.read():
            return not_run(
                reason=Reason.STORE_UNAVAILABLE,
                detail="the store did not return the list of daemons, so the number of "
                "daemons that form a majority is unknown",
            )
        event_id = new_time_ordered_id(wall_time_s=wall_time_s(), random=parts.random)
        return await announce_version(
            version=version,
            event_id=event_id,
            view=parts.view,
            calls=parts.peers,
            clock=boot_time_s,
            wall_clock=wall_time_s,
        )
