"""Carries out the rollouts of a seed, as operators and the platform do."""

import signal
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId, RolloutState
from standins._platform_upstream import Upstream

from ._checks import CONTACT_S
from ._deployment import DaemonProcess, Deployment
from ._faults import FaultRecord
from ._rollout_checks import OutOfContact, RolloutResult
from ._rollout_plan import (
    FaultPlan,
    OrderPlan,
    RolloutFault,
    RolloutPlan,
    VersionPlan,
    VersionQuality,
)

#: Time for which new upstreams are registered before their order, in seconds.
_REGISTERED_BEFORE_S = 1.5
#: Part of the answers of a bad version that fail or are slow.
_FAILURES = 0.35
_SLOW = 0.4
#: Time after a deadline for which the end is still waited for, in seconds.
_LATE_END_S = 8.0
#: Time for which requests are sent after all daemons must follow the end, in seconds.
_SERVED_AFTER_S = 2.0
#: Time from a rollback until the upstreams of the version are drained, in seconds.
_DRAIN_AFTER_S = 3.0
#: Time for which a killed daemon is down, in seconds.
_KILLED_S = 0.5
#: Duration of a call to a slow store, in seconds.
_SLOW_STORE_S = 0.2
#: Time between two reads of the status, in seconds.
_POLL_S = 0.02
#: Faults during which a daemon cannot reach the store. A slow store still answers.
CONTACT_LOSING_FAULTS = frozenset(
    {
        RolloutFault.KILL_COORDINATOR,
        RolloutFault.PAUSE_DAEMON,
        RolloutFault.STORE_UNAVAILABLE,
    }
)


@dataclass(kw_only=True)
class _Order:
    plan: OrderPlan
    upstreams: list[Upstream]
    ordered_at_s: float
    replaced_at_s: float | None = None
    state: RolloutState | None = None
    ended_at_s: float | None = None
    later_states: list[RolloutState] = field(default_factory=list)


class RolloutDriver:
    """Starts versions, writes orders, injects faults and stops what has ended.

    :param clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        plan: RolloutPlan,
        nursery: trio.Nursery,
        clock: Callable[[], float],
    ) -> None:
        self._deployment = deployment
        self._plan = plan
        self._nursery = nursery
        self._clock = clock
        self._orders: list[_Order] = []
        self._upstreams_in_force = [
            each for each in deployment.upstreams if each.service == plan.service
        ]
        self.contact_losses: list[OutOfContact] = []
        self.records: list[FaultRecord] = []

    @property
    def results(self) -> list[RolloutResult]:
        """All orders and what became of them."""
        return [
            RolloutResult(
                version=each.plan.version.name,
                is_bad=each.plan.version.is_bad,
                ordered_at_s=each.ordered_at_s,
                deadline_s=each.ordered_at_s + each.plan.duration_s,
                replaced_at_s=each.replaced_at_s,
                state=each.state,
                ended_at_s=each.ended_at_s,
                later_states=tuple(each.later_states),
                bad_at_s=sorted(s for one in each.upstreams for s in one.bad_at_s),
            )
            for each in self._orders
        ]

    async def run(self) -> None:
        """Carry out all orders of the plan, and wait for the end of the last one."""
        upstreams = [
            await self._deployment.start_version(
                self._nursery, self._plan.service, each.version.name
            )
            for each in self._plan.orders
        ]
        await trio.sleep(_REGISTERED_BEFORE_S)
        start_s = self._clock()
        async with trio.open_nursery() as nursery:
            for fault in self._plan.faults:
                nursery.start_soon(self._inject, fault)
            for plan, started in zip(self._plan.orders, upstreams, strict=True):
                await trio.sleep(max(0.0, start_s + plan.after_s - self._clock()))
                self._give_order(plan, started)
                nursery.start_soon(self._apply_quality, plan.version, started)
            await self._wait_for_end(self._orders[-1])

    def _give_order(self, plan: OrderPlan, upstreams: list[Upstream]) -> None:
        now_s = self._clock()
        if self._orders and self._orders[-1].ended_at_s is None:
            self._orders[-1].replaced_at_s = now_s
        service = self._plan.service
        record = {
            "service": service,
            "to": plan.version.name,
            "duration_s": plan.duration_s,
        }
        order = _Order(plan=plan, upstreams=upstreams, ordered_at_s=now_s)
        self._orders.append(order)
        self._deployment.store.put(f"op/rollout/{service}", record)
        self._nursery.start_soon(self._watch, order)

    async def _apply_quality(
        self, plan: VersionPlan, upstreams: list[Upstream]
    ) -> None:
        """Let a version become bad when its plan says so."""
        await trio.sleep(plan.turns_bad_after_s)
        for each in upstreams:
            each.faulty_path = plan.faulty_path
            match plan.quality:
                case VersionQuality.GOOD:
                    return
                case VersionQuality.SLOW:
                    each.slow_probability = _SLOW
                case _:
                    each.failure_probability = _FAILURES

    async def _watch(self, order: _Order) -> None:
        """Follow the status until the next order."""
        key = f"status/rollout/{self._plan.service}"
        while order is self._orders[-1]:
            status = self._deployment.store.record(key)
            if status is not None and status["to"] == order.plan.version.name:
                self._follow(order, RolloutState(status["state"]))
            await trio.sleep(_POLL_S)

    def _follow(self, order: _Order, state: RolloutState) -> None:
        """Take in the state of an order, and stop what is unused after its end."""
        if order.ended_at_s is not None:
            if state is not [order.state, *order.later_states][-1]:
                order.later_states.append(state)
            return
        order.state = state
        if not state.is_final:
            return
        order.ended_at_s = self._clock()
        if state is RolloutState.DONE:
            for each in self._upstreams_in_force:
                self._deployment.stop(each)
            self._upstreams_in_force = order.upstreams
        else:
            self._nursery.start_soon(self._drain, order)

    async def _drain(self, order: _Order) -> None:
        await trio.sleep(_DRAIN_AFTER_S)
        for each in order.upstreams:
            self._deployment.register(each, state="draining")

    async def _wait_for_end(self, order: _Order) -> None:
        with trio.move_on_after(order.plan.duration_s + _LATE_END_S):
            while order.ended_at_s is None:
                await trio.sleep(_POLL_S)
        # Later requests must reach only the version in force.
        await trio.sleep(CONTACT_S + _SERVED_AFTER_S)

    async def _inject(self, plan: FaultPlan) -> None:
        await trio.sleep(plan.after_s)
        from_s = self._clock()
        daemon = await self._apply(plan)
        to_s = self._clock()
        name = None if daemon is None else daemon.name
        if plan.fault in CONTACT_LOSING_FAULTS:
            self.contact_losses.append(
                OutOfContact(daemon=name, from_s=from_s, to_s=to_s)
            )
        self.records.append(
            FaultRecord(
                name=plan.fault.value, target=name or "store", from_s=from_s, to_s=to_s
            )
        )

    async def _apply(self, plan: FaultPlan) -> DaemonProcess | None:
        """Inject a fault until its end.

        :returns: The daemon that it hits, or None for the store.
        """
        deployment = self._deployment
        match plan.fault:
            case RolloutFault.KILL_COORDINATOR:
                daemon = self._coordinator()
                daemon.send_signal(signal.SIGKILL)
                await trio.sleep(_KILLED_S)
                daemon.start()
                return daemon
            case RolloutFault.PAUSE_DAEMON:
                daemon = deployment.random.choice(deployment.daemons)
                daemon.send_signal(signal.SIGSTOP)
                await trio.sleep(plan.duration_s)
                daemon.send_signal(signal.SIGCONT)
                return daemon
            case RolloutFault.STORE_UNAVAILABLE:
                deployment.store.unavailable = True
                await trio.sleep(plan.duration_s)
                deployment.store.unavailable = False
            case RolloutFault.STORE_SLOW:
                deployment.store.delay_s = _SLOW_STORE_S
                await trio.sleep(plan.duration_s)
                deployment.store.delay_s = 0.0
            case RolloutFault.STORE_HISTORY_COMPACTED:
                deployment.store.compact_history()
        return None

    def _coordinator(self) -> DaemonProcess:
        """Return the daemon that ranks first for the service."""
        by_id = {DaemonId(each.name): each for each in self._deployment.daemons}
        key = f"rollout/{self._plan.service}"
        (first,) = rank_daemons(key=key, daemons=by_id, count=1)
        return by_id[first]
