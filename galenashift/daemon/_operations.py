"""Implements the operations that the caller and operator applications call."""

from collections.abc import Awaitable, Callable
from random import Random

from galenashift.config import (
    Configuration,
    Plan,
    VersionedConfiguration,
    make_plan,
)
from galenashift.model import (
    Authority,
    Failure,
    Fleet,
    JsonObject,
    PlanId,
    Reason,
    RequestId,
    new_time_ordered_id,
    not_run,
)
from galenashift.telemetry import Metrics

from ._configuration import ConfigurationHolder

#: Time without a change of key owners before a daemon is ready, in seconds. A daemon
#: that joins becomes the owner of the limits of some organisations, and a new owner
#: increases no grants for 2 s. Peers may see the last change one gossip round later.
READY_AFTER_S = 3.0
#: Time after its start at which a daemon is ready although owners still change, in
#: seconds. Without it, no daemon would become ready in a fleet whose members keep
#: changing.
READY_AT_LATEST_S = 20.0


class Operations:
    """Implements `galenashift.serving.OperatorService`.

    :param confirm: Activates a plan in the whole fleet.
    :param build_status: Returns the fields of ``status``, except readiness.
    :param explain: Collects the events that the fleet recorded for a request.
    :param draining: Returns whether this daemon is shutting down.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationHolder,
        fleet: Fleet,
        confirm: Callable[[Plan], Awaitable[VersionedConfiguration | Failure]],
        build_status: Callable[[], JsonObject],
        explain: Callable[[RequestId], Awaitable[JsonObject | Failure]],
        draining: Callable[[], bool],
        metrics: Metrics,
        random: Random,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._confirm = confirm
        self._build_status = build_status
        self._draining = draining
        self._explain = explain
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._wall_clock = wall_clock
        self._started_at_s = clock()
        self._ownership_was_stable = False

    def current(self) -> VersionedConfiguration | None:
        """Return the configuration in force, None before the first."""
        return self._configuration.current()

    def isolated(self) -> Failure | None:
        """Return why the configuration may be outdated, None if it is current."""
        if self._fleet.authority(now_s=self._clock()) is Authority.ISOLATED:
            return not_run(
                reason=Reason.ISOLATED,
                detail="this daemon does not know whether its configuration is current",
            )
        return None

    def ready(self) -> Failure | None:
        """Return why the daemon is not ready for requests, None if it is ready."""
        if self._draining():
            return not_run(
                reason=Reason.SHUTTING_DOWN, detail="this daemon is shutting down"
            )
        if self._configuration.current() is None:
            return not_run(
                reason=Reason.ISOLATED, detail="this daemon has no configuration yet"
            )
        if not self._ownership_is_stable():
            return not_run(
                reason=Reason.ISOLATED,
                detail="this daemon has just started, and key owners still change",
            )
        return self.isolated()

    def _ownership_is_stable(self) -> bool:
        """Return whether the key owners have been stable once since the start."""
        now_s = self._clock()
        changed_at_s = self._fleet.owners_changed_at_s(now_s=now_s)
        unchanged_s = now_s - max(changed_at_s, self._started_at_s)
        if unchanged_s >= READY_AFTER_S:
            self._ownership_was_stable = True
        if now_s - self._started_at_s >= READY_AT_LATEST_S:
            self._ownership_was_stable = True
        return self._ownership_was_stable

    def plan(self, document: Configuration, /) -> Plan | Failure:
        """Compare a document with the configuration in force."""
        plan_id = new_time_ordered_id(
            wall_time_s=self._wall_clock(), random=self._random
        )
        return make_plan(
            base=self._configuration.current(),
            document=document,
            plan_id=PlanId(plan_id),
        )

    async def confirm(self, plan: Plan, /) -> VersionedConfiguration | Failure:
        """Activate a plan in the whole fleet."""
        return await self._confirm(plan)

    def status(self) -> JsonObject:
        """Describe the daemon, its fleet and its upstreams."""
        readiness_failure = self.ready()
        return {
            "ready": readiness_failure is None,
            "not_ready_because": readiness_failure.detail
            if readiness_failure is not None
            else "",
            **self._build_status(),
        }

    async def explain(self, request_id: RequestId, /) -> JsonObject | Failure:
        """Return the events of a request as the list ``events``."""
        return await self._explain(request_id)

    def metrics_text(self) -> str:
        """Write the metrics in the Prometheus text format."""
        return self._metrics.render()
