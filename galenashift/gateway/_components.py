"""Creates the components of the gateway daemon and connects them."""

from collections.abc import Callable, Mapping
from random import Random

from galenashift.limits import AnswerMemory, UpstreamRates
from galenashift.model import ServiceName, UpstreamId
from galenashift.platform import (
    PRESSURE_CONTRACT,
    PeerAddress,
    PlatformSettings,
    PlatformStore,
)
from galenashift.telemetry import EventLog, Metrics

from ._cold_limiter import ColdUpstreamLimiter
from ._crashes import CrashGuard
from ._drain import DrainPeriod
from ._drain_admission import DrainAdmission
from ._exchange import Exchanger
from ._fleet_records import FleetRecords
from ._health import HealthTracker
from ._limit_reports import LimitReporter
from ._load_reports import LoadReports
from ._pool import ConnectionPool
from ._record_writer import RecordWriter
from ._registration import Registration
from ._relay import Relay
from ._request_spread import RequestSpread
from ._retry_budgets import RetryBudgets
from ._rollout_task import RolloutTask
from ._rollout_view import ROLLOUT_CHANGED
from ._rollouts import Rollouts
from ._room_service import StageRoomService
from ._router import Router
from ._stage_client import StageClient
from ._stage_rooms import StageRooms
from ._stage_scheduler import StageScheduler
from ._stage_server import StageServer
from ._store_watch import StoreWatch
from ._supervisor import Supervisor, Task
from ._times import ServiceLatencies
from ._upstream_limits import UpstreamLimiter
from ._upstream_registry import Report
from ._view import PlatformView

#: Network bandwidth that the work for peers uses per core, in Mbit/s.
_LINK_MBPS_PER_CORE = 50.0

#: Share of the memory limit for answers that are being received. An answer that is
#: complete, and one that a caller reads slowly, is held outside of it.
_ANSWER_MEMORY_SHARE = 0.2


class GatewayComponents:
    """All components of one daemon, without its listeners and signals.

    :param settings: Settings that the platform provides.
    :param drain_period: Returns the time of the shutdown, if one has begun.
    :param on_view_change: Receives each change of the view.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        events: EventLog,
        metrics: Metrics,
        drain_period: Callable[[], DrainPeriod | None],
        on_view_change: Report,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._latencies = ServiceLatencies()
        self.view = PlatformView(report=on_view_change)
        self.supervisor = Supervisor(events=events, metrics=metrics, clock=clock)
        self._create_store_tasks()
        self._spread = _new_spread(settings)
        self._create_upstreams()
        self._create_rollouts()
        self._create_stages(drain_period)
        self._create_reporters()
        self._rollout_task = self._create_rollout_task()
        self.relay = self._create_relay(drain_period)

    def background_tasks(self) -> Mapping[str, Task]:
        """Return the tasks that run until the daemon stops, by name."""
        rollout_tasks = {}
        if self._rollout_task is not None:
            rollout_tasks["rollouts"] = self._rollout_task.run
        return {
            **rollout_tasks,
            "store-watch": self.store_watch.run,
            "registration": self.registration.run,
            "stage-scheduler": self._scheduler.run,
            "stage-room": self._room_service.run,
            "stage-links": self._stage_client.run,
            "crash-guard": self._crashes.run,
            "limit-reports": self._limit_reporter.run,
        }

    def apply_view_change(self, name: str, fields: Mapping[str, object]) -> None:
        """Update the state that depends on the view.

        :param name: Name of the change.
        :param fields: What has changed.
        """
        config = self.view.config
        if name == "config-adopted" and config is not None:
            self._cold_limiter.set_services(dict(config.services_by_name))
            self._rates.set_batched_services(config.batched_services)
            if self._spread is not None:
                self._spread.set_services(config.services_by_name)
        elif name in {"peer-registered", "peer-removed"}:
            self._cold_limiter.set_daemons(self.view.peers_by_id)
            self._rates.set_daemons(self.view.peers_by_id, now_s=self._clock())
            if self._spread is not None:
                self._spread.set_daemons(self.view.peers_by_id.values())
        elif name in {"upstream-limit-reported", "upstream-registered"}:
            self._limit_reporter.apply(UpstreamId(str(fields["upstream"])))
        elif name == ROLLOUT_CHANGED:
            self._rollouts.apply_records(ServiceName(str(fields["service"])))
        if name == "upstream-registered":
            self._rollouts.apply_registrations(ServiceName(str(fields["service"])))
        elif name in {"upstream-removed", "upstream-lapsed"}:
            self._remove_upstream(UpstreamId(str(fields["upstream"])))
            self._rollouts.apply_removal()

    def _remove_upstream(self, upstream_id: UpstreamId) -> None:
        """Remove all state of an upstream that is no longer registered."""
        self._health.remove(upstream_id)
        self._cold_limiter.remove(upstream_id)
        self._limiter.forget(upstream_id)
        if self._spread is not None:
            self._spread.forget(upstream_id)
        self.pool.drop(upstream_id)

    def _create_store_tasks(self) -> None:
        settings = self._settings
        self._records = FleetRecords(daemon_id=settings.daemon_id)
        self._store = PlatformStore(
            address=settings.store,
            on_era_change=lambda change: self.store_watch.begin_era(change),
            on_unreadable_era=lambda value: self._events.warning(
                "store-era-unreadable", value=value.text
            ),
        )
        self.store_watch = StoreWatch(
            store=self._store,
            view=self.view,
            records=self._records,
            apply_within_s=min(
                settings.bounds.drain_limit_s, settings.bounds.config_apply_limit_s
            ),
            on_older_copy=self._report_again,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )
        self.registration = Registration(
            store=self._store,
            records=self._records,
            daemon_id=settings.daemon_id,
            peer=_own_peer(settings),
            on_failure=self.store_watch.restart_watch,
            events=self._events,
        )

    def _report_again(self) -> None:
        """Write again what this fleet had reported and the store has lost."""
        self._crashes.report_again()
        self._limit_reporter.report_again()

    def _create_upstreams(self) -> None:
        settings = self._settings
        self._health = HealthTracker()
        self._answer_memory = AnswerMemory(
            limit_bytes=int(_ANSWER_MEMORY_SHARE * settings.memory_bytes)
        )
        self.pool = ConnectionPool(memory=self._answer_memory)
        self._rates = UpstreamRates(daemon_id=settings.daemon_id, random=Random())
        self._limiter = UpstreamLimiter(
            rates=self._rates,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )
        self._limiter.on_answer = LoadReports(
            health=self._health,
            spread=self._spread,
            metrics=self._metrics,
            clock=self._clock,
        ).record_answer
        self._exchanger = Exchanger(
            pool=self.pool, limiter=self._limiter, clock=self._clock
        )
        self._cold_limiter = ColdUpstreamLimiter(
            daemon_id=settings.daemon_id,
            health=self._health,
            limit_factor=settings.bounds.cold_factor,
            extra_per_s=settings.bounds.cold_extra,
            started_at_s=self._clock(),
        )

    def _create_rollouts(self) -> None:
        self.view.rollouts.enabled = self._settings.rollout_bounds is not None
        self._rollouts = Rollouts(
            view=self.view,
            is_cold=lambda each: self._cold_limiter.is_cold(each, now_s=self._clock()),
            is_loaded=self.store_watch.loaded.is_set,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )

    def _create_rollout_task(self) -> RolloutTask | None:
        """Create what carries out rollouts, if the settings enable them."""
        bounds = self._settings.rollout_bounds
        if bounds is None:
            return None
        task = RolloutTask(
            daemon_id=self._settings.daemon_id,
            view=self.view,
            rollouts=self._rollouts,
            store=self._store,
            bounds=bounds,
            open_link=self._stage_client.open_link,
            open_requests=lambda upstream_id: (
                self._health.record_of(upstream_id).in_flight
                + self._scheduler.upstreams.open_work(upstream_id, now_s=self._clock())
            ),
            events=self._events,
            metrics=self._metrics,
            random=Random(),
            clock=self._clock,
        )
        self._stage_client.on_rollout_directive = task.receive_directive
        self.stage_server.on_rollout_report = task.receive_report
        return task

    def _create_stages(self, drain_period: Callable[[], DrainPeriod | None]) -> None:
        pressure = PRESSURE_CONTRACT in self._settings.contracts
        self._scheduler = StageScheduler(
            view=self.view,
            exchanger=self._exchanger,
            limiter=self._limiter,
            rollouts=self._rollouts.calls,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
            pressure=pressure,
        )
        self._stage_client = StageClient(
            daemon_id=self._settings.daemon_id,
            view=self.view,
            scheduler=self._scheduler,
            events=self._events,
            latencies=self._latencies,
            isolate=self.supervisor.isolate,
            clock=self._clock,
            keeps_lapsed=pressure,
        )
        self._room_service = StageRoomService(
            view=self.view,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )
        self.stage_server = StageServer(
            scheduler=self._scheduler,
            rooms=self._room_service,
            clock=self._clock,
            declines=lambda: pressure and drain_period() is not None,
        )

    def _create_reporters(self) -> None:
        self._writer = RecordWriter(
            store=self._store,
            records=self._records,
            events=self._events,
            random=Random(),
            clock=self._clock,
        )
        self._limit_reporter = LimitReporter(
            daemon_id=self._settings.daemon_id,
            view=self.view,
            limiter=self._limiter,
            writer=self._writer,
            clock=self._clock,
        )
        self._crashes = CrashGuard(
            daemon_id=self._settings.daemon_id,
            view=self.view,
            reporter=self._writer,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )

    def _create_relay(self, drain_period: Callable[[], DrainPeriod | None]) -> Relay:
        settings = self._settings
        return Relay(
            view=self.view,
            router=Router(
                daemon_id=settings.daemon_id,
                failure_domain=settings.failure_domain,
                health=self._health,
                cold=self._cold_limiter,
                limiter=self._limiter,
                random=Random(),
                spread=self._spread,
            ),
            exchanger=self._exchanger,
            stages=self._stage_client,
            budgets=RetryBudgets(
                bounds=settings.bounds, daemon_count=lambda: self.view.daemon_count
            ),
            latencies=self._latencies,
            crashes=self._crashes,
            drain_admission=DrainAdmission(drain_period=drain_period),
            answer_memory=self._answer_memory,
            rollouts=self._rollouts.requests,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
            rooms=self._create_rooms(),
            hedge_share=settings.hedging.share,
        )

    def _create_rooms(self) -> StageRooms | None:
        if PRESSURE_CONTRACT not in self._settings.contracts:
            return None
        return StageRooms(
            client=self._stage_client,
            service=self._room_service,
            events=self._events,
            metrics=self._metrics,
            clock=self._clock,
        )


def _new_spread(settings: PlatformSettings) -> RequestSpread | None:
    if PRESSURE_CONTRACT not in settings.contracts:
        return None
    return RequestSpread(failure_domain=settings.failure_domain, random=Random())


def _own_peer(settings: PlatformSettings) -> PeerAddress:
    """Return what is registered of this daemon."""
    shows_domain = PRESSURE_CONTRACT in settings.contracts
    return PeerAddress(
        address=settings.peers,
        capacity=_peer_capacity(settings),
        failure_domain=settings.failure_domain if shows_domain else None,
    )


def _peer_capacity(settings: PlatformSettings) -> float:
    """Return this instance's capacity for work of its peers, in cores."""
    return min(settings.cores, settings.link_mbps / _LINK_MBPS_PER_CORE)
