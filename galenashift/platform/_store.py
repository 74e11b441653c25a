"""Client of the platform's store."""

import base64
import binascii
import json
import urllib.parse
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from galenashift.model import UnreadableValue
from galenashift.store import HttpAnswer, JsonHttpClient, NoAnswer

from ._decoding import DECODING_ERRORS, to_integer
from ._settings import Address
from ._store_era import EraChange, EraTracker, StoreEra
from ._store_records import (
    ChangeSet,
    Deletion,
    Item,
    Lease,
    LeaseId,
    Snapshot,
    StoreFailure,
    StoreProblem,
    StoreRevision,
    WatchPosition,
)

#: Timeout of calls other than watches, in seconds.
CALL_TIMEOUT_S = 1.0
#: Time in addition to the wait of a watch after which it times out, in seconds.
WATCH_MARGIN_S = 0.6
#: Most entries of one write: records that it writes, and those that it depends on.
MAX_ENTRIES_PER_WRITE = 32

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """A successful answer."""

    body: Mapping[str, Any]
    era: StoreEra | None
    transfer_s: float


def _ignore(_: EraChange | UnreadableValue) -> None:
    """Take no notice of an era."""


class PlatformStore:
    """Client of the store. Every call has a timeout, and failed calls are not retried.

    A call with a lease or a position of a past era fails with `StoreProblem.PAST_ERA`,
    and so does one whose answer comes from another era.

    :param address: Address of the store.
    :param on_era_change: Called when the store has come back from an older copy.
    :param on_unreadable_era: Called once for each value that is no era.
    """

    def __init__(
        self,
        *,
        address: Address,
        on_era_change: Callable[[EraChange], None] = _ignore,
        on_unreadable_era: Callable[[UnreadableValue], None] = _ignore,
    ) -> None:
        url = f"http://{address.host}:{address.port}"
        self._client = JsonHttpClient(url)
        self._watch_client = JsonHttpClient(url)
        self._eras = EraTracker(
            on_change=on_era_change, on_unreadable=on_unreadable_era
        )

    async def list_prefix(self, prefix: str) -> Snapshot | StoreFailure:
        """Read all records under a prefix.

        The pages of a listing may show different revisions. The result has the
        revision of the first page, so that a watch from there misses no change.

        :param prefix: Common prefix of the keys.
        """
        items: list[Item] = []
        revision: StoreRevision | None = None
        era: StoreEra | None = None
        after: str | None = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            answer = await self._get("/galenashift/kv-range", query, era=era)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                page = [_parse_item(each) for each in answer.body["items"]]
                revision = revision or StoreRevision(
                    to_integer(answer.body["store_revision"])
                )
                has_more_pages = bool(answer.body.get("more_pages"))
            except DECODING_ERRORS as error:
                return _malformed_answer(error)
            items += page
            era = answer.era
            if not has_more_pages or not page:
                return Snapshot(items=tuple(items), revision=revision, era=era)
            after = page[-1].key

    async def watch(
        self, *, prefix: str, position: WatchPosition, wait_s: float
    ) -> ChangeSet | StoreFailure:
        """Wait for changes under a prefix.

        :param prefix: Common prefix of the keys.
        :param position: Where the watch continues.
        :param wait_s: Maximum time to wait for a change, in seconds.
        """
        query = {
            "prefix": prefix,
            "after": str(position.after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            self._watch_client,
            method="GET",
            path="/galenashift/kv-watch?" + urllib.parse.urlencode(query),
            timeout_s=wait_s + WATCH_MARGIN_S,
            era=position.era,
        )
        if isinstance(answer, StoreFailure):
            return answer
        try:
            return ChangeSet(
                changes=tuple(_parse_change(each) for each in answer.body["events"]),
                revision=StoreRevision(to_integer(answer.body["store_revision"])),
                era=answer.era,
                transfer_s=answer.transfer_s,
            )
        except DECODING_ERRORS as error:
            return _malformed_answer(error)

    async def put(
        self, *, key: str, value: bytes, lease: Lease
    ) -> StoreRevision | StoreFailure:
        """Write a record that is deleted when its lease ends.

        :returns: Revision of the write.
        """
        return await self.put_all({key: value}, lease=lease)

    async def put_all(
        self,
        value_by_key: Mapping[str, bytes],
        *,
        lease: Lease,
        revision_by_key: Mapping[str, int] | None = None,
    ) -> StoreRevision | StoreFailure:
        """Write records, all or none, that are deleted when their lease ends.

        :param value_by_key: Records; with those of `revision_by_key`, at most
            `MAX_ENTRIES_PER_WRITE` entries.
        :param revision_by_key: Revisions that records must have; 0 for a record that
            must not exist.
        :returns: Revision of the write; a failure with `StoreProblem.CONFLICT` if a
            record has another revision.
        """
        return await self._write(
            value_by_key, lease=lease, revision_by_key=revision_by_key or {}
        )

    async def compare_and_put(
        self,
        value_by_key: Mapping[str, bytes],
        *,
        revision_by_key: Mapping[str, int],
    ) -> StoreRevision | StoreFailure:
        """Write lasting records, all or none, if other records have not changed.

        :param value_by_key: Records; with those of `revision_by_key`, at most
            `MAX_ENTRIES_PER_WRITE` entries.
        :param revision_by_key: Revisions that records must have; 0 for a record that
            must not exist.
        :returns: Revision of the write; a failure with `StoreProblem.CONFLICT` if a
            record has another revision.
        """
        return await self._write(
            value_by_key, lease=None, revision_by_key=revision_by_key
        )

    async def _write(
        self,
        value_by_key: Mapping[str, bytes],
        *,
        lease: Lease | None,
        revision_by_key: Mapping[str, int],
    ) -> StoreRevision | StoreFailure:
        ends_with = {} if lease is None else {"lease": lease.lease_id}
        body = {
            "expected": [
                {"key": key, "rev": revision}
                for key, revision in revision_by_key.items()
            ],
            "puts": [
                {"key": key, "value": base64.b64encode(value).decode(), **ends_with}
                for key, value in value_by_key.items()
            ],
        }
        era = None if lease is None else lease.era
        answer = await self._post("kv-txn", body, era=era)
        if isinstance(answer, StoreFailure):
            return answer
        number = _parse_integer(answer.body, "rev")
        return number if isinstance(number, StoreFailure) else StoreRevision(number)

    async def grant_lease(self, *, lifetime_s: float) -> Lease | StoreFailure:
        """Create a lease.

        :param lifetime_s: Time without a renewal after which the lease expires.
        """
        body = {"ttl_ms": int(lifetime_s * 1000)}
        answer = await self._post("kv-lease", body)
        if isinstance(answer, StoreFailure):
            return answer
        number = _parse_integer(answer.body, "lease")
        if isinstance(number, StoreFailure):
            return number
        return Lease(lease_id=LeaseId(number), era=answer.era)

    async def renew_lease(self, lease: Lease) -> StoreFailure | None:
        """Renew a lease; fails with `StoreProblem.NOT_FOUND` if it has expired."""
        answer = await self._post(f"kv-keep/{lease.lease_id}", None, era=lease.era)
        return answer if isinstance(answer, StoreFailure) else None

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        """Revoke a lease, which deletes its records."""
        answer = await self._call(
            self._client,
            method="DELETE",
            path=f"/galenashift/kv-lease-end/{lease.lease_id}",
            timeout_s=CALL_TIMEOUT_S,
            era=lease.era,
        )
        return answer if isinstance(answer, StoreFailure) else None

    async def _get(
        self, path: str, query: Mapping[str, str], *, era: StoreEra | None
    ) -> _Answer | StoreFailure:
        return await self._call(
            self._client,
            method="GET",
            path=f"{path}?{urllib.parse.urlencode(query)}",
            timeout_s=CALL_TIMEOUT_S,
            era=era,
        )

    async def _post(
        self,
        name: str,
        body: Mapping[str, Any] | None,
        *,
        era: StoreEra | None = None,
    ) -> _Answer | StoreFailure:
        return await self._call(
            self._client,
            method="POST",
            path=f"/galenashift/{name}",
            timeout_s=CALL_TIMEOUT_S,
            body=body,
            headers={"Content-Type": "application/json"},
            era=era,
        )

    async def _call(
        self,
        client: JsonHttpClient,
        *,
        method: str,
        path: str,
        timeout_s: float,
        era: StoreEra | None,
        body: Mapping[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> _Answer | StoreFailure:
        """Make a call.

        :param era: Era to which the numbers in the call belong; None for any.
        """
        if self._eras.is_past(era):
            return _past_era(may_have_run=False)
        known = self._eras.current
        result = await client.call(
            method=method, path=path, timeout_s=timeout_s, body=body, headers=headers
        )
        if isinstance(result, NoAnswer):
            return _unreachable(result)
        stated = self._eras.observe(result.headers, known=known)
        if self._eras.is_past(stated) or (era is not None and stated != era):
            return _past_era(may_have_run=True)
        body_or_failure = _parse_answer(result)
        if isinstance(body_or_failure, StoreFailure):
            return body_or_failure
        return _Answer(body=body_or_failure, era=stated, transfer_s=result.transfer_s)


def _parse_answer(answer: HttpAnswer) -> Mapping[str, Any] | StoreFailure:
    if answer.status == _OK:
        return answer.body
    return StoreFailure(
        problem=_PROBLEM_BY_STATUS.get(answer.status, StoreProblem.REFUSED),
        detail=f"HTTP status {answer.status}",
        may_have_run=False,
    )


def _unreachable(result: NoAnswer) -> StoreFailure:
    return StoreFailure(
        problem=StoreProblem.UNREACHABLE,
        detail=result.detail,
        may_have_run=result.sent,
    )


def _past_era(*, may_have_run: bool) -> StoreFailure:
    return StoreFailure(
        problem=StoreProblem.PAST_ERA,
        detail="the store has come back from an older copy",
        may_have_run=may_have_run,
    )


_PROBLEM_BY_STATUS = {
    _NOT_FOUND: StoreProblem.NOT_FOUND,
    _GONE: StoreProblem.HISTORY_GONE,
    _CONFLICT: StoreProblem.CONFLICT,
}


def _malformed_answer(error: Exception) -> StoreFailure:
    return StoreFailure(
        problem=StoreProblem.MALFORMED,
        detail=f"malformed answer of the store: {error!r:.300}",
        may_have_run=True,
    )


def _parse_integer(answer: Mapping[str, Any], name: str) -> int | StoreFailure:
    try:
        return to_integer(answer[name])
    except DECODING_ERRORS as error:
        return _malformed_answer(error)


def _parse_item(data: Mapping[str, Any]) -> Item:
    try:
        value = base64.b64decode(data["value"], validate=True)
    except (binascii.Error, TypeError, ValueError):
        # The key shows that the record exists. The decoder of the record rejects the
        # empty value and reports it.
        value = b""
    return Item(
        key=str(data["key"]),
        value=value,
        # The revision of the last change; "created_rev" is that of the creation.
        revision=StoreRevision(to_integer(data["rev"])),
        lease_id=_parse_lease(data.get("lease")),
    )


def _parse_lease(value: object) -> LeaseId | None:
    """Return the lease of a record; without a readable one, the record still counts."""
    try:
        return LeaseId(to_integer(value))
    except ValueError:
        return None


def _parse_change(data: Mapping[str, Any]) -> Item | Deletion:
    if data.get("tombstone"):
        revision = StoreRevision(to_integer(data["rev"]))
        return Deletion(key=str(data["key"]), revision=revision)
    return _parse_item(data)


def encode_json(body: Mapping[str, Any]) -> bytes:
    """Encode the JSON body of a call."""
    return json.dumps(body, separators=(",", ":")).encode()
