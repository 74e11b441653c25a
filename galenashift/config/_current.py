"""The versioned configuration in the key-value store."""

from collections.abc import Awaitable, Callable

import trio
from pydantic import ValidationError

from galenashift.model import (
    Absent,
    Changes,
    Entry,
    Failure,
    KeyValueStore,
    Reason,
    Written,
    boot_time_s,
    may_have_run,
    not_run,
)

from ._digest import configuration_digest
from ._plan import Plan, apply_plan
from ._schema import VersionedConfiguration

CURRENT_KEY = "/config/current"

#: Time for which one watch waits. Its answer shows that the configuration was current
#: when the watch was sent. This wait and one timeout must sum to less than the 6 s
#: after which a configuration counts as stale.
WATCH_WAIT_S = 2.0

BeforeWrite = Callable[[VersionedConfiguration], Awaitable[Failure | None]]

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0

#: Attempts are repeated after lost answers of the store. After a conflict, the next
#: attempt finds the version of another operator, which ends the confirmation.
_MAX_CONFIRM_ATTEMPTS = 4


def encode_current(version: VersionedConfiguration) -> bytes:
    """Encode a version for the store."""
    return version.model_dump_json().encode()


def decode_current(value: bytes) -> VersionedConfiguration | Failure:
    """Decode a stored version and check its digest."""
    try:
        version = VersionedConfiguration.model_validate_json(value)
    except ValidationError as error:
        detail = f"{CURRENT_KEY}: {error.error_count()} errors in the stored value"
        return not_run(reason=Reason.INVALID_CONFIGURATION, detail=detail)
    if configuration_digest(version.document) != version.digest:
        detail = f"{CURRENT_KEY}: digest of version {version.version} does not match"
        return not_run(reason=Reason.INVALID_CONFIGURATION, detail=detail)
    return version


def newer_version(
    current: VersionedConfiguration | None, offered: VersionedConfiguration
) -> VersionedConfiguration:
    """Return the newer version; a daemon never goes back to an older one.

    :param current: The version that is active, None if there is none yet.
    :param offered: A version received from the store or from a peer.
    """
    if current is not None and offered.version <= current.version:
        return current
    return offered


async def _allow_write(version: VersionedConfiguration) -> Failure | None:
    return None


async def confirm(
    *, store: KeyValueStore, plan: Plan, before_write: BeforeWrite = _allow_write
) -> VersionedConfiguration | Failure:
    """Activate a plan by a compare-and-swap of the current version.

    Confirming a plan that is already active has no effect.

    :param store: The key-value store.
    :param plan: The plan to confirm.
    :param before_write: Called before each write with the version to be written. If
        it returns a failure, the confirmation stops.
    :returns: The new version; ``STALE_PLAN`` if the active version is not the one
        that the plan was made for; ``STORE_AMBIGUOUS`` if the plan may be active.
    """
    is_ambiguous = False
    unconfirmed = "the store did not answer the write; confirm the same plan again"
    for _ in range(_MAX_CONFIRM_ATTEMPTS):
        found = await _read_current(store)
        if isinstance(found, Failure):
            return _ambiguous_failure(plan, unconfirmed) if is_ambiguous else found
        base, revision = found
        if base is not None and base.plan_id == plan.plan_id:
            return base
        if is_ambiguous and base is not None and base.version > plan.base_version + 1:
            # One of the versions in between may have been made by this plan.
            detail = (
                f"version {base.version} is in force and may have replaced the plan"
            )
            return _ambiguous_failure(plan, detail)
        updated = apply_plan(plan=plan, base=base)
        if isinstance(updated, Failure):
            return updated
        refused = await before_write(updated)
        if refused is not None:
            return _ambiguous_failure(plan, refused.detail) if is_ambiguous else refused
        result = await store.put(
            key=CURRENT_KEY, value=encode_current(updated), expected_revision=revision
        )
        if isinstance(result, Written):
            return updated
        if result.reason is Reason.STORE_AMBIGUOUS:
            is_ambiguous = True
        elif result.reason is not Reason.STORE_CONFLICT:
            return _ambiguous_failure(plan, unconfirmed) if is_ambiguous else result
    if is_ambiguous:
        return _ambiguous_failure(plan, unconfirmed)
    detail = f"plan {plan.plan_id}: repeated conflicts in writes to {CURRENT_KEY}"
    return not_run(reason=Reason.STORE_CONFLICT, detail=detail)


async def _read_current(
    store: KeyValueStore,
) -> tuple[VersionedConfiguration | None, int] | Failure:
    found = await store.get(key=CURRENT_KEY)
    match found:
        case Failure():
            return found
        case Absent():
            return None, 0
        case Entry(value=value, revision=revision):
            version = decode_current(value)
            return version if isinstance(version, Failure) else (version, revision)


def _ambiguous_failure(plan: Plan, detail: str) -> Failure:
    return may_have_run(
        reason=Reason.STORE_AMBIGUOUS, detail=f"plan {plan.plan_id}: {detail}"
    )


class ConfigWatcher:
    """Follows the current version in the store with a long-polling watch.

    :param store: The key-value store.
    :param on_evidence: Called after each answer of the store with the version that
        it showed (None while there is none) and the boot-time clock in seconds
        before the call was sent. An answer with a lower version than the adopted one
        does not show that the adopted one is current.
    :param on_failure: Called after each failed call.
    :param clock: Boot-time clock in seconds.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        on_evidence: Callable[[VersionedConfiguration | None, float], None],
        on_failure: Callable[[Failure], None] = lambda failure: None,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._store = store
        self._on_evidence = on_evidence
        self._on_failure = on_failure
        self._clock = clock
        self._version: VersionedConfiguration | None = None
        #: Revision after which to watch, None if the key must be read first.
        self._revision: int | None = None

    async def run(self) -> None:
        """Follow the version until cancelled."""
        backoff_s = 0.0
        while True:
            sent_at_s = self._clock()
            failure = await self._read_or_watch()
            if failure is None:
                backoff_s = 0.0
                self._on_evidence(self._version, sent_at_s)
                continue
            self._on_failure(failure)
            # A failed watch may have missed a change, so the key is read again. The
            # first read has no backoff: a watch that timed out has used up most of the
            # time after which the configuration counts as stale.
            self._revision = None
            await trio.sleep(backoff_s)
            backoff_s = min(max(2 * backoff_s, _INITIAL_BACKOFF_S), _MAX_BACKOFF_S)

    async def _read_or_watch(self) -> Failure | None:
        """Make one call to the store; keep the version and revision it returns."""
        if self._revision is None:
            found = await _read_current(self._store)
            if isinstance(found, Failure):
                return found
            self._version, self._revision = found
            return None
        changes = await self._store.watch(
            prefix=CURRENT_KEY, after_revision=self._revision, wait_s=WATCH_WAIT_S
        )
        match changes:
            case Failure():
                return changes
            case Changes(entries_by_key=entries_by_key):
                if CURRENT_KEY in entries_by_key:
                    version = decode_current(entries_by_key[CURRENT_KEY].value)
                    if isinstance(version, Failure):
                        return version
                    self._version = version
                elif CURRENT_KEY in changes.deleted_keys:
                    self._version = None
                self._revision = changes.revision
                return None
