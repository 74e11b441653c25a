"""Rollouts of services, by the orders and records of the store."""

from collections.abc import Callable

import trio

from galenashift.model import RolloutOrder, RolloutState, ServiceName
from galenashift.rollouts import AllowedVersions, LocalRollout, allowed_versions
from galenashift.telemetry import EventLog, Metrics

from ._rollout_answers import RolloutAnswers
from ._rollout_calls import RolloutCalls
from ._rollout_requests import RolloutRequests
from ._rollout_versions import VersionsInForce
from ._rollout_view import StoredRecord
from ._upstream_registry import KnownUpstream
from ._view import PlatformView


class Rollouts:
    """Rollouts of services as this daemon takes part in them.

    :param is_cold: Tells whether an upstream is in its cold start.
    :param is_loaded: Tells whether the store has been read completely.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        view: PlatformView,
        is_cold: Callable[[KnownUpstream], bool],
        is_loaded: Callable[[], bool],
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self.is_loaded = is_loaded
        self._events = events
        self._clock = clock
        #: Rollouts whose end is not stored yet.
        self.local_by_service: dict[ServiceName, LocalRollout] = {}
        #: Services whose order was removed before its end.
        self.withdrawn: set[ServiceName] = set()
        self._versions = VersionsInForce(view=view)
        #: Set when there is something to do at once.
        self.wake = trio.Event()
        # `wake` is replaced after each wait, so it is looked up at the call.
        answers = RolloutAnswers(
            is_cold=is_cold, on_failure=lambda: self.wake.set(), metrics=metrics
        )
        self.requests = RolloutRequests(
            local_by_service=self.local_by_service,
            answers=answers,
            view=view,
            clock=clock,
        )
        self.calls = RolloutCalls(
            local_by_service=self.local_by_service,
            answers=answers,
            view=view,
            clock=clock,
        )

    def apply_registrations(self, service: ServiceName) -> None:
        """Update the version that is assumed to be in force, after registrations."""
        if not self._view.rollouts.enabled:
            return
        is_loaded = self.is_loaded()
        self._versions.update(service, is_loaded=is_loaded, now_s=self._clock())
        local = self.local_by_service.get(service)
        if local is not None and not is_loaded:
            # The upstreams that were known at the order were not all of them.
            local.from_version = self._versions.before(local.order, now_s=self._clock())
        self._update_allowed(service)

    def apply_removal(self) -> None:
        """Update the versions that may get requests, after an upstream has gone."""
        for service in list(self._view.rollouts.allowed_by_service):
            self.apply_registrations(service)

    def apply_records(self, service: ServiceName) -> None:
        """Apply the order and the record of a service."""
        now_s = self._clock()
        order = self._view.rollouts.orders_by_service.get(service)
        stored = self._view.rollouts.records_by_service.get(service)
        local = self.local_by_service.get(service)
        if order is None:
            if local is not None:
                self.withdrawn.add(service)
        else:
            self.withdrawn.discard(service)
            if local is None or local.order != order:
                local = self._begin(order, stored, now_s=now_s)
        if local is not None and stored is not None:
            local.apply_record(stored.record, now_s=now_s)
            if local.is_recorded:
                self._end(service)
        self._update_allowed(service)
        self.wake.set()

    def _begin(
        self, order: RolloutOrder, stored: StoredRecord | None, *, now_s: float
    ) -> LocalRollout | None:
        """Take part in a rollout, unless the store has its end or a later one."""
        self.local_by_service.pop(order.service, None)
        if stored is not None:
            about = stored.record.order_revision
            if about > order.revision:
                return None
            if about == order.revision and stored.record.state.is_final:
                return None
        local = LocalRollout(
            order=order,
            from_version=self._versions.before(order, now_s=now_s),
            now_s=now_s,
        )
        self.local_by_service[order.service] = local
        self._events.info(
            "rollout-begun",
            service=order.service,
            to=order.to,
            from_version=local.from_version,
            order=order.revision,
            duration_s=order.duration_s,
        )
        return local

    def _end(self, service: ServiceName) -> None:
        self.local_by_service.pop(service, None)
        self.withdrawn.discard(service)

    def update_all_allowed(self) -> None:
        """Update the versions that may get requests, of all rollouts."""
        for service in self.local_by_service:
            self._update_allowed(service)

    def _update_allowed(self, service: ServiceName) -> None:
        self._view.allow_versions(service, self._allowed(service))

    def _allowed(self, service: ServiceName) -> AllowedVersions | None:
        local = self.local_by_service.get(service)
        if local is not None:
            return local.allowed(now_s=self._clock())
        stored = self._view.rollouts.records_by_service.get(service)
        if stored is not None:
            record = stored.record
            is_done = record.state is RolloutState.DONE
            return allowed_versions(
                from_version=record.from_version,
                to=record.to,
                share=1.0 if is_done else 0.0,
            )
        return self._versions.allowed_without_order(service)
