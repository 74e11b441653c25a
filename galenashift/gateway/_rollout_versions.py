"""The version of a service that is in force where no rollout says so."""

from collections import Counter
from dataclasses import dataclass, replace

from galenashift.model import InstanceState, RolloutOrder, ServiceName, VersionName
from galenashift.rollouts import AllowedVersions

from ._view import PlatformView

#: Time from which a service is known to have the version of an order, in seconds.
#: Before, the upstreams of that version may just have registered.
_SETTLED_S = 3.0
#: Part of the upstreams of an assumed version below which it is being replaced without
#: an order. A single crash of two or more upstreams does not come below it.
_MIN_REMAINING_RATIO = 0.5


@dataclass(frozen=True, kw_only=True)
class _Assumed:
    """The version of a service that no order and no configuration names."""

    version: VersionName | None
    #: Boot-time clock from which it has been assumed, in seconds.
    since_s: float
    #: Most upstreams of it that accepted requests at one time, since there are others.
    most_ready: int
    #: Whether upstreams of other versions are registered.
    has_others: bool


class VersionsInForce:
    """Versions by the records, the configuration and the registrations."""

    def __init__(self, *, view: PlatformView) -> None:
        self._view = view
        self._assumed_by_service: dict[ServiceName, _Assumed] = {}

    def update(self, service: ServiceName, *, is_loaded: bool, now_s: float) -> None:
        """Update the assumed version of a service after registrations.

        It stays the same while an upstream has it, as others may be registered before
        their order arrives.
        :param is_loaded: Whether the store has been read completely.
        :param now_s: Boot-time clock, in seconds.
        """
        known = self._assumed_by_service.get(service)
        versions = self._registered(service)
        if not versions:
            return
        version = _most_common(versions)
        if known is not None and is_loaded and known.version in versions:
            version = known.version
        assumed = _Assumed(
            version=version,
            since_s=now_s,
            most_ready=self._ready(service)[version],
            has_others=len(versions) > 1,
        )
        if known is not None and known.version == version:
            assumed = _continue(known, assumed)
        self._assumed_by_service[service] = assumed

    def before(self, order: RolloutOrder, *, now_s: float) -> VersionName | None:
        """Return the version in force before an order.

        :param now_s: Boot-time clock, in seconds.
        """
        stored = self._view.rollouts.records_by_service.get(order.service)
        if stored is not None:
            if stored.record.order_revision == order.revision:
                return stored.record.from_version
            return stored.record.version_in_force
        configured = self._configured(order.service)
        if configured is not None:
            return configured
        assumed = self._assumed(order.service)
        if assumed is not None and (
            assumed.version != order.to or now_s - assumed.since_s > _SETTLED_S
        ):
            return assumed.version
        versions = self._registered(order.service)
        others = Counter(
            {each: versions[each] for each in versions if each != order.to}
        )
        return _most_common(others or versions)

    def allowed_without_order(self, service: ServiceName) -> AllowedVersions | None:
        """Return the versions that may get requests; None for all.

        Without an order, a service is not refused for want of a version, and does not
        lose its upstreams as others replace them one after the other.
        """
        ready = self._ready(service)
        version = self._configured(service)
        if version is None:
            assumed = self._assumed(service)
            version = None if assumed is None else assumed.version
        if version is None or ready.keys() <= {version} or not ready[version]:
            return None
        return AllowedVersions(only=(version,))

    def _assumed(self, service: ServiceName) -> _Assumed | None:
        """Return the assumed version, unless others are replacing its upstreams."""
        assumed = self._assumed_by_service.get(service)
        if assumed is None:
            return None
        remaining = self._ready(service)[assumed.version]
        is_replaced = remaining < _MIN_REMAINING_RATIO * assumed.most_ready
        return None if is_replaced else assumed

    def _ready(self, service: ServiceName) -> Counter[VersionName | None]:
        """Count the upstreams that accept requests by version."""
        return Counter(
            each.version
            for each in self._view.registrations(service)
            if each.state is InstanceState.READY
        )

    def _registered(self, service: ServiceName) -> Counter[VersionName | None]:
        return Counter(each.version for each in self._view.registrations(service))

    def _configured(self, service: ServiceName) -> VersionName | None:
        config = self._view.config
        details = None if config is None else config.services_by_name.get(service)
        return None if details is None else details.version


def _continue(known: _Assumed, update: _Assumed) -> _Assumed:
    """Return an update of an assumption that stays the same.

    A service that loses upstreams while there are no others is not being replaced.
    """
    before = known.most_ready if known.has_others else 0
    most_ready = max(before, update.most_ready)
    return replace(update, since_s=known.since_s, most_ready=most_ready)


def _most_common(versions: Counter[VersionName | None]) -> VersionName | None:
    """Return the version of most upstreams, and of several the first one by name."""
    return min(versions, key=lambda each: (-versions[each], each or ""), default=None)
