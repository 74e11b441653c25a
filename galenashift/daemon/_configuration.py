"""The configuration in force on this daemon."""

from collections.abc import Callable

from pydantic import ValidationError

from galenashift.config import (
    Configuration,
    LimitsConfig,
    VersionedConfiguration,
    configuration_digest,
)
from galenashift.membership import FleetView
from galenashift.model import ConfigVersion, OrganisationId


class ConfigurationHolder:
    """Holds the version in force; a lower version never replaces a higher one.

    :param view: Membership view; records each adopted version.
    :param on_adopted: Called with each newly adopted version.
    """

    def __init__(
        self, *, view: FleetView, on_adopted: Callable[[VersionedConfiguration], None]
    ) -> None:
        self._view = view
        self._on_adopted = on_adopted
        self._current: VersionedConfiguration | None = None

    def current(self) -> VersionedConfiguration | None:
        """Return the version in force, None before the first."""
        return self._current

    def document(self) -> Configuration | None:
        """Return the document in force, None before the first."""
        return self._current.document if self._current is not None else None

    def limits_of(self, organisation: OrganisationId) -> LimitsConfig | None:
        """Return the configured limits of an organisation, None if it is unknown."""
        document = self.document()
        if document is None:
            return None
        found = document.organisations.get(organisation)
        return found.limits if found is not None else None

    def adopt(self, offered: VersionedConfiguration) -> bool:
        """Adopt a version if it is higher than the one in force.

        :param offered: Version read from the store or from a peer.
        :returns: Whether it was adopted.
        """
        if self._current is not None and offered.version <= self._current.version:
            return False
        self._current = offered
        self._view.adopt(version=ConfigVersion(offered.version))
        self._on_adopted(offered)
        return True

    def adopt_json(self, text: bytes) -> bool:
        """Validate a versioned configuration in JSON, and adopt it if it is newer.

        :param text: JSON text that a peer sent.
        :returns: Whether the text is valid; a valid version that is not higher than
            the one in force is ignored.
        """
        try:
            offered = VersionedConfiguration.model_validate_json(text)
        except ValidationError:
            return False
        if configuration_digest(offered.document) != offered.digest:
            return False
        self.adopt(offered)
        return True

    def to_json(self) -> bytes | None:
        """Return the version in force as JSON for a peer, None before the first."""
        if self._current is None:
            return None
        return self._current.model_dump_json().encode()
