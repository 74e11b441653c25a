"""Applies configuration versions from the store while the daemon runs."""

from galenashift.config import ConfigWatcher, VersionedConfiguration
from galenashift.model import ConfigVersion, Failure

from ._components import Components


async def watch_configuration(parts: Components) -> None:
    """Watch the configuration in the store and adopt new versions until cancelled.

    :param parts: Components of this daemon.
    """

    def on_evidence(version: VersionedConfiguration | None, as_of_s: float) -> None:
        if version is None:
            return
        parts.configuration.adopt(version)
        parts.view.record_evidence(
            version=ConfigVersion(version.version), as_of_s=as_of_s
        )

    def on_failure(failure: Failure) -> None:
        parts.events.warning(
            "configuration-watch-failed", reason=failure.reason, detail=failure.detail
        )

    watcher = ConfigWatcher(
        store=parts.store, on_evidence=on_evidence, on_failure=on_failure
    )
    await watcher.run()
