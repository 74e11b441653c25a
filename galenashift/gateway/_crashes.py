"""Requests that crash each upstream that runs them, known to all daemons."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

import trio

from galenashift.model import Fingerprint, OrganisationId, RegisteredUpstream
from galenashift.platform import (
    CrashReport,
    LeaseId,
    StoreFailure,
    StoreRevision,
    crash_key,
    encode_crash,
)
from galenashift.telemetry import EventLog

from ._connection import ConnectFailed, open_socket

#: Crashes with one request in flight after which it is not sent any more.
MAX_CRASHES = 3
#: Time for which a crash counts, in seconds.
_LIFETIME_S = 60.0
#: Time between a broken connection and the look at its upstream, in seconds.
_LOOK_DELAY_S = 0.05
#: Reports that wait to be written; more are dropped and logged.
_MAX_PENDING = 100


class CrashStore(Protocol):
    """Keeps reports for all daemons."""

    async def grant_lease(self, *, lifetime_s: float) -> LeaseId | StoreFailure:
        """Create a lease."""

    async def put(
        self, *, key: str, value: bytes, lease: LeaseId
    ) -> StoreRevision | StoreFailure:
        """Write a record that lives as long as a lease."""


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """A request that was in flight when its upstream broke off."""

    fingerprint: Fingerprint
    attempt_id: str
    upstream: RegisteredUpstream


def fingerprint(
    *, organisation_id: OrganisationId | None, host: str, target: str, body: bytes
) -> Fingerprint:
    """Return what all attempts at one request have in common.

    :param host: Value of the Host header.
    :param target: Path and query.
    """
    digest = blake2b(digest_size=12)
    for part in (organisation_id or "", host, target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class CrashGuard:
    """Reports crashes, and tells which requests have caused too many.

    A broken connection alone proves nothing: its upstream must also refuse a new one.

    :param reports: Returns the crashes that all daemons have reported, by request.
    """

    def __init__(
        self,
        *,
        store: CrashStore,
        reports: Callable[[], Mapping[Fingerprint, set[str]]],
        events: EventLog,
    ) -> None:
        self._store = store
        self._reports = reports
        self._events = events
        self._own: dict[Fingerprint, set[str]] = {}
        self._send, self._receive = trio.open_memory_channel[Suspicion](_MAX_PENDING)

    @property
    def idle(self) -> bool:
        """Whether no request has caused a crash lately."""
        return not self._own and not self._reports()

    def is_quarantined(self, request: Fingerprint) -> bool:
        """Tell whether a request has crashed too many upstreams."""
        reported = self._reports().get(request, set())
        return len(reported | self._own.get(request, set())) >= MAX_CRASHES

    def suspect(self, suspicion: Suspicion) -> None:
        """Look at the upstream of a request whose connection broke."""
        try:
            self._send.send_nowait(suspicion)
        except trio.WouldBlock:
            self._events.warning(
                "crash-not-examined", upstream=suspicion.upstream.upstream_id
            )

    async def run(self) -> None:
        """Examine suspicions until cancelled."""
        async with trio.open_nursery() as nursery:
            async for suspicion in self._receive:
                nursery.start_soon(self._examine, suspicion)

    async def _examine(self, suspicion: Suspicion) -> None:
        await trio.sleep(_LOOK_DELAY_S)
        if not await _is_down(suspicion.upstream):
            return
        request = suspicion.fingerprint
        self._events.warning(
            "upstream-crashed",
            upstream=suspicion.upstream.upstream_id,
            fingerprint=request,
            request_id=None,
            attempt=suspicion.attempt_id,
        )
        self._own.setdefault(request, set()).add(suspicion.attempt_id)
        await self._report(suspicion)
        await trio.sleep(_LIFETIME_S)
        self._own.pop(request, None)

    async def _report(self, suspicion: Suspicion) -> None:
        lease = await self._store.grant_lease(lifetime_s=_LIFETIME_S)
        if isinstance(lease, StoreFailure):
            self._events.warning("crash-not-reported", detail=lease.detail)
            return
        report = CrashReport(
            fingerprint=suspicion.fingerprint, attempt_id=suspicion.attempt_id
        )
        written = await self._store.put(
            key=crash_key(report), value=encode_crash(), lease=lease
        )
        if isinstance(written, StoreFailure):
            self._events.warning("crash-not-reported", detail=written.detail)


async def _is_down(upstream: RegisteredUpstream) -> bool:
    try:
        sock = await open_socket(host=upstream.host, port=upstream.port)
    except ConnectFailed:
        # That is the answer to the question.
        return True
    sock.close()
    return False
