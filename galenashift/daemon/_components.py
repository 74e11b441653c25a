"""Creates the components of a daemon and connects them."""

from random import Random

import trio

from galenashift.config import DaemonSettings, VersionedConfiguration
from galenashift.limits import ColdPermitSource, FleetLimitGuard, GrantIssuer
from galenashift.membership import (
    DaemonRegistration,
    FleetView,
    GossipLoop,
    Registration,
    SessionLease,
)
from galenashift.model import (
    Authority,
    DaemonId,
    Failure,
    FailureDomainName,
    FleetEvent,
    Incarnation,
    LoadReport,
    PoolName,
    Upstream,
    UpstreamId,
    UpstreamStatus,
    boot_time_s,
    wall_time_s,
)
from galenashift.peers import PeerClient, PeerIdentity, PeerServer
from galenashift.recovery import PlacementLeader
from galenashift.retries import FleetCrashGuard
from galenashift.serving import PipelineExecutor
from galenashift.state import ActionLogService
from galenashift.store import HttpKeyValueStore, InstanceListClient
from galenashift.telemetry import EventLog, Metrics
from galenashift.upstreams import (
    Directory,
    EngineControl,
    FleetEventEmitter,
    Poller,
    UpstreamClient,
)

from ._configuration import ConfigurationHolder
from ._events import EventRecorder
from ._instrumented_store import InstrumentedStore
from ._peer_service import PeerService

#: Model loads that may read from the weight store at the same time.
_MAX_CONCURRENT_LOADS = 4
_ORDER_TIMEOUT_S = 2.0
#: Daemons that compete for the placement leadership. With more than one, the loss of
#: the leader delays placement only until its lease expires.
_PLACEMENT_CANDIDATES = 2
_PLACEMENT_KEY = "placement"
#: Daemons that poll the load of an upstream.
_POLLERS_PER_UPSTREAM = 2


class Components:
    """All components of one daemon.

    :param settings: Validated settings.
    :param nursery: Runs requests for limit grants.
    :param events: Event log of the daemon.
    """

    def __init__(
        self, *, settings: DaemonSettings, nursery: trio.Nursery, events: EventLog
    ) -> None:
        self.settings = settings
        self.events = events
        self.metrics = Metrics()
        self.random = Random()
        self.recorder = EventRecorder(
            events=events, metrics=self.metrics, clock=boot_time_s
        )
        self._create_fleet()
        self._create_upstreams()
        self._create_gossip()
        self._create_limits(nursery)
        self._create_guards()
        self._create_placement()
        self.executor = self._create_executor()
        self.peer_service = PeerService(
            gossip=self.gossip,
            configuration=self.configuration,
            actions=self.actions,
            permits=self.permits,
            grant_issuer=self.grant_issuer,
            log=events,
        )

    def _create_fleet(self) -> None:
        settings = self.settings
        now_s = wall_time_s()
        self.own_registration = DaemonRegistration(
            daemon_id=DaemonId(settings.daemon_id),
            incarnation=Incarnation(int(now_s * 1000)),
            host=settings.peer_address.host,
            port=settings.peer_address.port,
            failure_domain=FailureDomainName(settings.failure_domain),
            registered_at_s=now_s,
        )
        self.view = FleetView(
            own_registration=self.own_registration, started_at_s=boot_time_s()
        )
        self.configuration = ConfigurationHolder(
            view=self.view, on_adopted=self._log_adopted
        )
        self.store = InstrumentedStore(
            store=HttpKeyValueStore(settings.store_url),
            metrics=self.metrics,
            clock=boot_time_s,
        )
        fleet_key = settings.fleet_key.get_secret_value().encode()
        self.peers = PeerClient(
            identity=PeerIdentity(
                daemon_id=self.own_registration.daemon_id,
                incarnation=self.own_registration.incarnation,
            ),
            fleet_key=fleet_key,
            address_of=self.view.address_of,
        )
        self.peer_server = PeerServer(
            fleet_key=fleet_key, on_refusal=self._log_peer_refusal
        )
        self.registration = Registration(
            own_registration=self.own_registration,
            store=self.store,
            view=self.view,
            clock=boot_time_s,
        )
        self.session = SessionLease(store=self.store, clock=boot_time_s)

    def _create_upstreams(self) -> None:
        self.directory = Directory()
        source = FleetEventEmitter(
            daemon_id=self.own_registration.daemon_id,
            incarnation=self.own_registration.incarnation,
            on_event=self._on_local_event,
        )
        self.instance_list = InstanceListClient(self.settings.instance_list_url)
        self.upstreams = UpstreamClient(
            observer=self.directory,
            events=source,
            on_crash=self._on_crash,
            may_send=self._may_send,
        )
        self.poller = Poller(
            directory=self.directory,
            transport=self.upstreams.transport,
            events=source,
            fetch_list=self._fetch_list,
            is_assigned=self._polls_upstream,
            on_list_changed=self._on_list_changed,
            on_report=self.view.reports.add,
        )

    def _create_gossip(self) -> None:
        self.gossip = GossipLoop(
            view=self.view,
            calls=self.peers,
            config=self.configuration,
            on_event=self._on_peer_event,
            on_report=self._on_report,
            random=self.random,
            clock=boot_time_s,
        )

    def _create_limits(self, nursery: trio.Nursery) -> None:
        self.grant_issuer = GrantIssuer(
            fleet=self.view,
            limits_of=self.configuration.limits_of,
            clock=boot_time_s,
        )
        self.limits = FleetLimitGuard(
            fleet=self.view,
            calls=self.peers,
            grant_issuer=self.grant_issuer,
            limits_of=self.configuration.limits_of,
            sharing_count=lambda: self.view.sharing_count,
            nursery=nursery,
            clock=boot_time_s,
        )
        self.permits = ColdPermitSource(
            fleet=self.view,
            store=self.store,
            calls=self.peers,
            session=self.session,
            report_of=self.view.reports.report_of,
            clock=boot_time_s,
        )

    def _create_guards(self) -> None:
        self.crashes = FleetCrashGuard(
            fleet=self.view,
            peers=self.peers,
            store=self.store,
            incarnation_of=self._incarnation_of,
            on_event=self._publish_event,
        )
        self.actions = ActionLogService(
            store=self.store, fleet=self.view, peers=self.peers
        )

    def _create_placement(self) -> None:
        engine_control = EngineControl(
            calls=self.upstreams,
            transport=self.upstreams.transport,
            order_timeout_s=_ORDER_TIMEOUT_S,
            random=self.random,
        )
        self.placement = PlacementLeader(
            daemon_id=self.own_registration.daemon_id,
            store=self.store,
            configuration=self.configuration.document,
            statuses_of=self._statuses_of,
            read_model=engine_control.read_model,
            send_order=engine_control.send_order,
            is_candidate=self._is_placement_candidate,
            max_concurrent_loads=_MAX_CONCURRENT_LOADS,
            on_decision=self._log_placement,
        )

    def _create_executor(self) -> PipelineExecutor:
        return PipelineExecutor(
            configuration=self.configuration.current,
            calls=self.upstreams,
            directory=self.directory,
            actions=self.actions,
            permits=self.permits,
            limits=self.limits,
            crashes=self.crashes,
            fleet=self.view,
            own_domain=self.own_registration.failure_domain,
            random=self.random,
            clock=boot_time_s,
            wall_clock=wall_time_s,
            log_event=self.recorder.record_executor_event,
        )

    async def _fetch_list(self) -> tuple[Upstream, ...] | Failure | None:
        listing = await self.instance_list.poll()
        if isinstance(listing, Failure):
            self.events.warning("instance-list-failed", detail=listing.detail)
            return listing
        return listing.upstreams if listing.changed else None

    async def _on_list_changed(self, upstreams: tuple[Upstream, ...]) -> None:
        self.events.info("instance-list", upstreams=len(upstreams))
        await self.upstreams.retain(upstreams=upstreams)

    def _may_send(self) -> bool:
        authority = self.view.authority(now_s=boot_time_s())
        return authority is not Authority.ISOLATED

    async def _on_crash(self, upstream: Upstream) -> None:
        await self.crashes.report_crash(upstream=upstream)

    def _on_local_event(self, event: FleetEvent) -> None:
        self.crashes.apply_event(event=event)
        self._publish_event(event)

    def _publish_event(self, event: FleetEvent) -> None:
        """Apply an event of this daemon to the directory and send it by gossip."""
        now_s = boot_time_s()
        self.directory.apply_event(event=event, now_s=now_s)
        self.view.record_event(event=event, as_of_s=now_s)
        self.recorder.record_fleet_event(event)

    def _on_peer_event(self, event: FleetEvent) -> None:
        self.directory.apply_event(event=event, now_s=boot_time_s())
        self.crashes.apply_event(event=event)
        self.recorder.record_fleet_event(event)

    def _on_report(self, report: LoadReport) -> None:
        self.directory.apply_report(report=report)

    def _polls_upstream(self, upstream_id: UpstreamId) -> bool:
        ranked = self.view.ranked_for(
            key=f"load/{upstream_id}", count=_POLLERS_PER_UPSTREAM, now_s=boot_time_s()
        )
        return self.own_registration.daemon_id in ranked

    def _is_placement_candidate(self) -> bool:
        ranked = self.view.ranked_for(
            key=_PLACEMENT_KEY, count=_PLACEMENT_CANDIDATES, now_s=boot_time_s()
        )
        return self.own_registration.daemon_id in ranked

    def _incarnation_of(self, upstream_id: UpstreamId) -> Incarnation:
        return self.directory.incarnation_of(upstream_id=upstream_id)

    def _statuses_of(self, pool: PoolName) -> tuple[UpstreamStatus, ...]:
        return self.directory.statuses(pool=pool, now_s=boot_time_s())

    def _log_adopted(self, adopted: VersionedConfiguration) -> None:
        self.events.info(
            "configuration-adopted",
            version=adopted.version,
            plan_id=adopted.plan_id,
            digest=adopted.digest,
        )

    def _log_peer_refusal(self, remote: str, reason: str) -> None:
        self.events.warning("peer-refused", remote=remote, reason=reason)

    def _log_placement(self, decision: object) -> None:
        self.events.info("placement-decision", decision=decision)
