"""Serves the remote procedure calls of other daemons."""

from galenashift.limits import ColdPermitSource, GrantIssuer
from galenashift.membership import GossipLoop
from galenashift.model import (
    ActionRecord,
    DaemonId,
    Existing,
    Failure,
    FleetEvent,
    GossipMessage,
    Granted,
    LimitDemand,
    LimitGrant,
    Permit,
    Reason,
    Recorded,
    RequestEvents,
    RequestId,
    UpstreamId,
    not_run,
)
from galenashift.state import ActionLogService
from galenashift.telemetry import EventLog

from ._configuration import ConfigurationHolder
from ._explanation import recorded_events


class PeerService:
    """Implements `galenashift.peers.PeerHandlers` with this daemon's components."""

    def __init__(
        self,
        *,
        gossip: GossipLoop,
        configuration: ConfigurationHolder,
        actions: ActionLogService,
        permits: ColdPermitSource,
        grant_issuer: GrantIssuer,
        log: EventLog,
    ) -> None:
        self._gossip = gossip
        self._configuration = configuration
        self._actions = actions
        self._permits = permits
        self._grant_issuer = grant_issuer
        self._log = log

    async def gossip(
        self, *, caller: DaemonId, message: GossipMessage
    ) -> GossipMessage | Failure:
        """Merge the gossip of the calling daemon and return this daemon's gossip."""
        return await self._gossip.answer(caller=caller, message=message)

    async def fetch_config(self, *, caller: DaemonId) -> bytes | Failure:
        """Return this daemon's versioned configuration as JSON text."""
        text = self._configuration.to_json()
        if text is None:
            return not_run(
                reason=Reason.ISOLATED, detail="this daemon has no configuration yet"
            )
        return text

    async def reserve(
        self, *, caller: DaemonId, record: ActionRecord
    ) -> Granted | Existing | Failure:
        """Reserve an attempt of an action in the log for the calling daemon."""
        return await self._actions.serve_reserve(record=record)

    async def finish(
        self, *, caller: DaemonId, record: ActionRecord
    ) -> Recorded | Failure:
        """Record the outcome of an action in the log for the calling daemon."""
        return await self._actions.serve_finish(record=record)

    async def acquire_permit(
        self, *, caller: DaemonId, upstream_id: UpstreamId
    ) -> Permit | Failure:
        """Issue a cold-start permit to the calling daemon."""
        return await self._permits.acquire_permit(
            caller=caller, upstream_id=upstream_id
        )

    async def return_permit(
        self, *, caller: DaemonId, permit: Permit
    ) -> Recorded | Failure:
        """Release a cold-start permit of the calling daemon."""
        return await self._permits.return_permit(caller=caller, permit=permit)

    async def request_grant(
        self, *, caller: DaemonId, demand: LimitDemand
    ) -> LimitGrant | Failure:
        """Grant the calling daemon a share of an organisation's limits."""
        return self._grant_issuer.request_grant(caller=caller, demand=demand)

    async def push_event(
        self, *, caller: DaemonId, event: FleetEvent
    ) -> Recorded | Failure:
        """Apply a fleet event from the calling daemon."""
        self._gossip.receive_event(event=event)
        return Recorded()

    async def fetch_events(
        self, *, caller: DaemonId, request_id: RequestId
    ) -> RequestEvents | Failure:
        """Return the events that this daemon recorded for a request."""
        return recorded_events(log=self._log, request_id=request_id)
