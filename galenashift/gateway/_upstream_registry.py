"""Registered upstreams, and those that may come back after an outage of the store."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from galenashift.model import (
    FailureDomainName,
    InstanceState,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
)

#: Grace period after an outage of the store in which registrations that expired during
#: it may be renewed, in seconds.
LAPSE_GRACE_S = 1.9
#: Size of results from which transfers between failure domains are avoided, in bytes.
LARGE_RESULT_BYTES = 500_000
#: Most upstreams that are remembered after they have left; the oldest is dropped.
_MAX_DEPARTED = 4_096

#: Reports a change of the view: an event name and its fields.
Report = Callable[[str, Mapping[str, object]], None]


@dataclass(frozen=True, kw_only=True)
class KnownUpstream:
    """A registration and the time at which this daemon received it."""

    registration: RegisteredUpstream
    #: Boot-time clock at which the record arrived, in seconds.
    received_at_s: float
    #: Boot-time clock until which the upstream is cold, in seconds.
    cold_until_s: float


class UpstreamRegistry:
    """The registrations of upstreams by their ids.

    :param report: Receives each change.
    :param is_accepting: Tells whether a registered upstream may get requests.
    """

    def __init__(
        self, *, report: Report, is_accepting: Callable[[RegisteredUpstream], bool]
    ) -> None:
        self._report = report
        self._is_accepting = is_accepting
        self._upstreams_by_id: dict[UpstreamId, KnownUpstream] = {}
        self._ids_by_service: dict[ServiceName, set[UpstreamId]] = {}
        #: Upstreams that accept requests, until a record changes.
        self._available_by_service: dict[ServiceName, tuple[KnownUpstream, ...]] = {}
        self._lapses_at_s: dict[UpstreamId, float] = {}
        self._grace_until_s = 0.0
        #: Last registrations of upstreams that have left.
        self._departed_by_id: dict[UpstreamId, RegisteredUpstream] = {}

    @property
    def ids(self) -> tuple[UpstreamId, ...]:
        """Ids of all registered upstreams."""
        return tuple(self._upstreams_by_id)

    def find(self, upstream_id: UpstreamId) -> KnownUpstream | None:
        """Return a registered upstream."""
        return self._upstreams_by_id.get(upstream_id)

    def registrations(self, service: ServiceName) -> list[RegisteredUpstream]:
        """List all registered upstreams of a service."""
        return [
            self._upstreams_by_id[each].registration
            for each in sorted(self._ids_by_service.get(service, ()))
        ]

    def all_registrations(self) -> list[RegisteredUpstream]:
        """List all registered upstreams."""
        return [known.registration for known in self._upstreams_by_id.values()]

    def find_by_address(self, address: str) -> KnownUpstream | None:
        """Return the upstream at an address such as ``10.0.0.1:80``."""
        for known in self._upstreams_by_id.values():
            registration = known.registration
            if address == f"{registration.host}:{registration.port}":
                return known
        return None

    def available(
        self, service: ServiceName, *, now_s: float
    ) -> tuple[KnownUpstream, ...]:
        """List the upstreams of a service that accept requests.

        It is the same tuple until one of them changes.

        :param now_s: Boot-time clock, in seconds.
        """
        self._drop_lapsed(now_s)
        available = self._available_by_service.get(service)
        if available is None:
            available = self._list_available(service)
            self._available_by_service[service] = available
        return available

    def _list_available(self, service: ServiceName) -> tuple[KnownUpstream, ...]:
        known = (
            self._upstreams_by_id[each]
            for each in sorted(self._ids_by_service.get(service, ()))
        )
        return tuple(each for each in known if self._is_accepting(each.registration))

    def accepts_requests(
        self, registration: RegisteredUpstream, *, now_s: float
    ) -> bool:
        """Tell whether an upstream that was selected before still accepts requests.

        :param now_s: Boot-time clock, in seconds.
        """
        self._drop_lapsed(now_s)
        known = self._upstreams_by_id.get(registration.upstream_id)
        return known is not None and self._is_accepting(known.registration)

    def forget_available(self, service: ServiceName | None = None) -> None:
        """Ask again which upstreams accept requests.

        :param service: Only those of a service; None for all.
        """
        if service is None:
            self._available_by_service.clear()
        else:
            self._available_by_service.pop(service, None)

    def domain_with_most_bytes(
        self, bytes_by_address: Mapping[str, int]
    ) -> FailureDomainName | None:
        """Return the failure domain that stores the most bytes of some results.

        :param bytes_by_address: Stored bytes by the address of the upstream.
        :returns: None if no domain stores at least `LARGE_RESULT_BYTES`.
        """
        bytes_by_domain: dict[FailureDomainName, int] = {}
        for known in self._upstreams_by_id.values():
            registration = known.registration
            address = f"{registration.host}:{registration.port}"
            size = bytes_by_address.get(address, 0)
            domain = registration.failure_domain
            bytes_by_domain[domain] = bytes_by_domain.get(domain, 0) + size
        largest_domain = max(
            bytes_by_domain, key=bytes_by_domain.__getitem__, default=None
        )
        if (
            largest_domain is None
            or bytes_by_domain[largest_domain] < LARGE_RESULT_BYTES
        ):
            return None
        return largest_domain

    def begin_lapse_grace(self, *, now_s: float) -> None:
        """Keep registrations for a grace period after an outage of the store.

        Those that expired during the outage are expected to be renewed.

        :param now_s: Boot-time clock, in seconds.
        """
        self._grace_until_s = now_s + LAPSE_GRACE_S

    def is_outdated(self, registration: RegisteredUpstream) -> bool:
        """Tell whether an older copy shows an upstream that has left since.

        :param registration: Registration in a listing of an older copy.
        """
        upstream_id = registration.upstream_id
        departed = self._departed_by_id.get(upstream_id)
        if departed is not None:
            return not _is_restarted(registration, since=departed)
        known = self._upstreams_by_id.get(upstream_id)
        if known is None or known.registration.state is not InstanceState.DRAINING:
            return False
        return not _is_restarted(registration, since=known.registration)

    def put(self, registration: RegisteredUpstream, *, now_s: float) -> None:
        """Add or replace a registration.

        :param now_s: Boot-time clock, in seconds.
        """
        upstream_id = registration.upstream_id
        self._lapses_at_s.pop(upstream_id, None)
        self._departed_by_id.pop(upstream_id, None)
        before = self._upstreams_by_id.get(upstream_id)
        if before is not None and before.registration == registration:
            return
        self._delete(upstream_id)
        self._available_by_service.pop(registration.service, None)
        self._upstreams_by_id[upstream_id] = KnownUpstream(
            registration=registration,
            received_at_s=now_s,
            cold_until_s=now_s + registration.cold_left_s,
        )
        self._ids_by_service.setdefault(registration.service, set()).add(upstream_id)
        fields = {
            "upstream": upstream_id,
            "service": registration.service,
            "state": registration.state.value,
            "domain": registration.failure_domain,
            "cold_left_s": registration.cold_left_s,
            "version": registration.version,
        }
        self._report("upstream-registered", fields)

    def discard(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream whose new record cannot be decoded."""
        self._delete(upstream_id)

    def remove(self, upstream_id: UpstreamId, *, now_s: float) -> None:
        """Remove an upstream, at once or after the grace period.

        :param now_s: Boot-time clock, in seconds.
        """
        known = self._upstreams_by_id.get(upstream_id)
        if known is None:
            return
        draining = known.registration.state is InstanceState.DRAINING
        if now_s < self._grace_until_s and not draining:
            self._lapses_at_s.setdefault(upstream_id, self._grace_until_s)
            return
        self._depart(known.registration)
        self._report("upstream-removed", {"upstream": upstream_id})

    def _drop_lapsed(self, now_s: float) -> None:
        for upstream_id, lapses_at_s in list(self._lapses_at_s.items()):
            if now_s >= lapses_at_s:
                self._depart(self._upstreams_by_id[upstream_id].registration)
                self._report("upstream-lapsed", {"upstream": upstream_id})

    def _depart(self, registration: RegisteredUpstream) -> None:
        self._delete(registration.upstream_id)
        self._departed_by_id[registration.upstream_id] = registration
        if len(self._departed_by_id) > _MAX_DEPARTED:
            del self._departed_by_id[next(iter(self._departed_by_id))]

    def _delete(self, upstream_id: UpstreamId) -> None:
        self._lapses_at_s.pop(upstream_id, None)
        known = self._upstreams_by_id.pop(upstream_id, None)
        if known is not None:
            self._ids_by_service[known.registration.service].discard(upstream_id)
            self._available_by_service.pop(known.registration.service, None)


def _is_restarted(
    registration: RegisteredUpstream, *, since: RegisteredUpstream
) -> bool:
    """Tell whether an upstream has started again since another registration of it."""
    started_at_ms, before_ms = registration.started_at_ms, since.started_at_ms
    return (
        started_at_ms is not None
        and before_ms is not None
        and started_at_ms > before_ms
    )
