"""Cold-start permits from the gatekeeper of each upstream, elected via the store."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from galenashift.membership import SessionLease
from galenashift.model import (
    Absent,
    DaemonId,
    Entry,
    Failure,
    Fleet,
    KeyValueStore,
    LoadReport,
    PeerCalls,
    Permit,
    Reason,
    Recorded,
    Upstream,
    UpstreamId,
    Written,
    not_run,
)

from ._permits import PermitLedger

_KEY_PREFIX = "/gates/"
#: Time for which the gatekeeper read from the store is cached, in seconds.
_GATEKEEPER_CACHE_S = 5.0
#: Minimum time between two attempts to become gatekeeper of an upstream, in seconds.
_CLAIM_INTERVAL_S = 1.0
#: Time without a permit request after which a gatekeeper resigns, in seconds.
_UNUSED_TIMEOUT_S = 30.0
_SWEEP_INTERVAL_S = 5.0


@dataclass(kw_only=True)
class _GatekeeperRole:
    ledger: PermitLedger
    revision: int
    used_at_s: float


class ColdPermitSource:
    """Implements `PermitSource`, and answers peers as a gatekeeper.

    A daemon is the gatekeeper of an upstream while it holds the upstream's key in the
    store under its session lease.

    :param fleet: Tells which daemon should become gatekeeper if there is none.
    :param store: The key-value service.
    :param calls: Calls to peers.
    :param session: Lease under which this daemon holds its gatekeeper keys.
    :param report_of: Last load report of an upstream, on this daemon's clock.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        store: KeyValueStore,
        calls: PeerCalls,
        session: SessionLease,
        report_of: Callable[[UpstreamId], LoadReport | None],
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._calls = calls
        self._session = session
        self._report_of = report_of
        self._clock = clock
        self._roles_by_id: dict[UpstreamId, _GatekeeperRole] = {}
        self._gatekeepers_by_id: dict[UpstreamId, tuple[DaemonId, float]] = {}
        self._claimed_at_s_by_id: dict[UpstreamId, float] = {}

    async def acquire(self, *, upstream: Upstream) -> Permit | Failure:
        """Obtain a permit for one call, or reason ``NO_PERMIT``."""
        upstream_id = upstream.upstream_id
        if self._is_gatekeeper(upstream_id):
            return self._issue(upstream_id)
        gatekeeper = await self._find_gatekeeper(upstream_id)
        if isinstance(gatekeeper, Failure):
            return gatekeeper
        if gatekeeper == self._fleet.self_id:
            return await self.acquire_permit(caller=gatekeeper, upstream_id=upstream_id)
        answer = await self._calls.acquire_permit(
            daemon=gatekeeper, upstream_id=upstream_id
        )
        if isinstance(answer, Failure):
            if answer.reason is not Reason.NO_PERMIT:
                self._gatekeepers_by_id.pop(upstream_id, None)
            return _no_permit(upstream_id, answer.detail)
        return answer

    async def release(self, *, permit: Permit) -> None:
        """Return a permit at the end of its call.

        A permit whose return is lost stops counting once a load report shows that the
        upstream runs nothing.
        """
        if permit.gatekeeper == self._fleet.self_id:
            await self.return_permit(caller=permit.gatekeeper, permit=permit)
        else:
            await self._calls.return_permit(daemon=permit.gatekeeper, permit=permit)

    async def acquire_permit(
        self, *, caller: DaemonId, upstream_id: UpstreamId
    ) -> Permit | Failure:
        """Issue a permit as gatekeeper, claiming that role first if it is vacant.

        :param caller: Daemon that requests the permit.
        :param upstream_id: Cold upstream.
        """
        if not self._is_gatekeeper(upstream_id):
            failure = await self._claim_role(upstream_id)
            if failure is not None:
                return failure
        return self._issue(upstream_id)

    async def return_permit(self, *, caller: DaemonId, permit: Permit) -> Recorded:
        """Record the return of a permit as gatekeeper.

        :param caller: Daemon whose call has ended.
        :param permit: The permit.
        """
        role = self._roles_by_id.get(permit.upstream_id)
        if role is not None:
            role.ledger.record_return(permit_id=permit.permit_id)
        return Recorded()

    async def run(self) -> None:
        """Resign unused gatekeeper roles periodically, until cancelled."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            await self.resign_unused()

    async def resign_unused(self) -> None:
        """Resign gatekeeper roles without a permit request in the last 30 s."""
        now_s = self._clock()
        for upstream_id, role in list(self._roles_by_id.items()):
            if role.ledger.is_idle and now_s - role.used_at_s > _UNUSED_TIMEOUT_S:
                del self._roles_by_id[upstream_id]
                key = _KEY_PREFIX + upstream_id
                self._session.remove(key=key)
                await self._store.delete(key=key, expected_revision=role.revision)
        self._gatekeepers_by_id = {
            upstream_id: (gatekeeper, read_at_s)
            for upstream_id, (gatekeeper, read_at_s) in self._gatekeepers_by_id.items()
            if now_s - read_at_s <= _GATEKEEPER_CACHE_S
        }
        self._claimed_at_s_by_id = {
            upstream_id: at_s
            for upstream_id, at_s in self._claimed_at_s_by_id.items()
            if now_s - at_s <= _CLAIM_INTERVAL_S
        }

    def _is_gatekeeper(self, upstream_id: UpstreamId) -> bool:
        if upstream_id not in self._roles_by_id:
            return False
        if self._session.holds(_KEY_PREFIX + upstream_id):
            return True
        del self._roles_by_id[upstream_id]
        return False

    def _issue(self, upstream_id: UpstreamId) -> Permit | Failure:
        """Issue a permit, with no await between the lease check and the issue."""
        now_s = self._clock()
        role = self._roles_by_id[upstream_id]
        role.used_at_s = now_s
        if not self._session.is_safe(now_s):
            return _no_permit(
                upstream_id, "the gatekeeper lease was not renewed in time"
            )
        report = self._report_of(upstream_id)
        issued = role.ledger.issue(report=report, now_s=now_s)
        return _no_permit(upstream_id, issued) if isinstance(issued, str) else issued

    async def _find_gatekeeper(self, upstream_id: UpstreamId) -> DaemonId | Failure:
        now_s = self._clock()
        gatekeeper, read_at_s = self._gatekeepers_by_id.get(upstream_id, (None, 0.0))
        if gatekeeper is not None and now_s - read_at_s <= _GATEKEEPER_CACHE_S:
            return gatekeeper
        match await self._store.get(key=_KEY_PREFIX + upstream_id):
            case Entry(value=value):
                name, _, _ = value.decode(errors="replace").partition(" ")
                gatekeeper = DaemonId(name)
            case Absent():
                gatekeeper = self._fleet.owner_of(
                    key=_KEY_PREFIX + upstream_id, now_s=now_s
                )
            case Failure(detail=detail):
                return _no_permit(upstream_id, detail)
        self._gatekeepers_by_id[upstream_id] = (gatekeeper, now_s)
        return gatekeeper

    async def _claim_role(self, upstream_id: UpstreamId) -> Failure | None:
        now_s = self._clock()
        claimed_at_s = self._claimed_at_s_by_id.get(upstream_id)
        if claimed_at_s is not None and now_s - claimed_at_s < _CLAIM_INTERVAL_S:
            return _no_permit(upstream_id, "the gatekeeper role could not be claimed")
        self._claimed_at_s_by_id[upstream_id] = now_s
        lease = await self._session.ensure_lease()
        if isinstance(lease, Failure):
            return _no_permit(upstream_id, lease.detail)
        key = _KEY_PREFIX + upstream_id
        # The lease id distinguishes this write from an earlier one of this daemon,
        # whose key expires although the present lease is renewed.
        value = f"{self._fleet.self_id} {lease.lease_id}".encode()
        written = await self._store.put(
            key=key,
            value=value,
            expected_revision=0,
            lease_id=lease.lease_id,
        )
        if isinstance(written, Failure) and written.reason is Reason.STORE_AMBIGUOUS:
            written = await self._verify_write(key, value, written)
        if isinstance(written, Failure):
            self._gatekeepers_by_id.pop(upstream_id, None)
            return _no_permit(upstream_id, written.detail)
        if not self._session.add(key=key, lease_id=lease.lease_id):
            return _no_permit(upstream_id, "the gatekeeper lease was lost")
        gatekeeper_since_s = self._clock()
        ledger = PermitLedger(
            upstream_id=upstream_id,
            gatekeeper=self._fleet.self_id,
            gatekeeper_since_s=gatekeeper_since_s,
        )
        self._roles_by_id[upstream_id] = _GatekeeperRole(
            ledger=ledger, revision=written.revision, used_at_s=gatekeeper_since_s
        )
        return None

    async def _verify_write(
        self, key: str, value: bytes, failure: Failure
    ) -> Written | Failure:
        """Read back whether a write whose answer was lost took effect."""
        entry = await self._store.get(key=key)
        if isinstance(entry, Entry) and entry.value == value:
            return Written(revision=entry.revision)
        return failure


def _no_permit(upstream_id: UpstreamId, detail: str) -> Failure:
    return not_run(
        reason=Reason.NO_PERMIT,
        detail=f"no cold-start permit for upstream {upstream_id}: {detail}",
    )
