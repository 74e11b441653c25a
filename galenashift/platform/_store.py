"""Calls of the platform's store."""

import base64
import binascii
import json
import urllib.parse
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, NewType

from galenashift.store import HttpAnswer, JsonHttpClient, NoAnswer

from ._settings import Address

LeaseId = NewType("LeaseId", int)
StoreRevision = NewType("StoreRevision", int)

#: Time for a call that the store answers at once, in seconds.
CALL_TIMEOUT_S = 1.0
#: Time beyond a watch's own wait after which its connection counts as silent.
WATCH_MARGIN_S = 0.6

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412


class StoreProblem(Enum):
    """Why a call has no result."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_GONE = "history-gone"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    MALFORMED = "malformed"


@dataclass(frozen=True, kw_only=True)
class StoreFailure:
    """A call without a result."""

    problem: StoreProblem
    #: What happened, in one line.
    detail: str
    #: Whether the store may have carried out the call, or may do so later.
    may_have_run: bool


@dataclass(frozen=True, kw_only=True)
class Item:
    """A record in the store."""

    key: str
    value: bytes
    #: Revision of the last change.
    revision: StoreRevision


@dataclass(frozen=True, kw_only=True)
class Deletion:
    """A record that was deleted or whose lease ended."""

    key: str
    revision: StoreRevision


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """All records under a prefix."""

    items: tuple[Item, ...]
    #: Revision from which a watch continues.
    revision: StoreRevision


@dataclass(frozen=True, kw_only=True)
class ChangeSet:
    """Changes under a prefix, oldest first."""

    changes: tuple[Item | Deletion, ...]
    #: Revision from which the watch continues.
    revision: StoreRevision


class PlatformStore:
    """Client of the store; every call is bounded in time and nothing is repeated.

    :param address: Address of the store.
    """

    def __init__(self, *, address: Address) -> None:
        url = f"http://{address.host}:{address.port}"
        self._calls = JsonHttpClient(url)
        self._watches = JsonHttpClient(url)

    async def list_prefix(self, prefix: str) -> Snapshot | StoreFailure:
        """Read all records under a prefix.

        Pages are not a snapshot, so the revision is the one of the first page.

        :param prefix: Start of the keys.
        """
        items: list[Item] = []
        revision: StoreRevision | None = None
        after: str | None = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            answer = await self._get("/galenashift/kv-range", query)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                page = [_item(each) for each in answer["items"]]
                revision = revision or StoreRevision(int(answer["store_revision"]))
                more = bool(answer.get("more_pages"))
            except (KeyError, TypeError, ValueError) as error:
                return _malformed(error)
            items += page
            if not more or not page:
                return Snapshot(items=tuple(items), revision=revision)
            after = page[-1].key

    async def watch(
        self, *, prefix: str, after: StoreRevision, wait_s: float
    ) -> ChangeSet | StoreFailure:
        """Wait for changes under a prefix.

        :param prefix: Start of the keys.
        :param after: Last revision that is known.
        :param wait_s: Longest wait for a change, in seconds.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        result = await self._watches.call(
            method="GET",
            path="/galenashift/kv-watch?" + urllib.parse.urlencode(query),
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        answer = _checked(result)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            changes = tuple(_change(each) for each in answer["events"])
            revision = StoreRevision(int(answer["store_revision"]))
        except (KeyError, TypeError, ValueError) as error:
            return _malformed(error)
        return ChangeSet(changes=changes, revision=revision)

    async def put(
        self, *, key: str, value: bytes, lease: LeaseId
    ) -> StoreRevision | StoreFailure:
        """Write a record that lives as long as a lease.

        :returns: Revision of the change.
        """
        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        answer = await self._post("kv-txn", {"expected": [], "puts": [put]})
        if isinstance(answer, StoreFailure):
            return answer
        number = _number(answer, "rev")
        return number if isinstance(number, StoreFailure) else StoreRevision(number)

    async def grant_lease(self, *, lifetime_s: float) -> LeaseId | StoreFailure:
        """Create a lease.

        :param lifetime_s: Time without a renewal after which the lease ends.
        """
        body = {"ttl_ms": int(lifetime_s * 1000)}
        answer = await self._post("kv-lease", body)
        if isinstance(answer, StoreFailure):
            return answer
        number = _number(answer, "lease")
        return number if isinstance(number, StoreFailure) else LeaseId(number)

    async def renew_lease(self, lease: LeaseId) -> StoreFailure | None:
        """Renew a lease; `StoreProblem.NOT_FOUND` if it has ended."""
        answer = await self._post(f"kv-keep/{lease}", None)
        return answer if isinstance(answer, StoreFailure) else None

    async def end_lease(self, lease: LeaseId) -> StoreFailure | None:
        """End a lease and delete its records."""
        result = await self._calls.call(
            method="DELETE",
            path=f"/galenashift/kv-lease-end/{lease}",
            timeout_s=CALL_TIMEOUT_S,
        )
        answer = _checked(result)
        return answer if isinstance(answer, StoreFailure) else None

    async def _get(
        self, path: str, query: Mapping[str, str]
    ) -> Mapping[str, Any] | StoreFailure:
        result = await self._calls.call(
            method="GET",
            path=f"{path}?{urllib.parse.urlencode(query)}",
            timeout_s=CALL_TIMEOUT_S,
        )
        return _checked(result)

    async def _post(
        self, name: str, body: Mapping[str, Any] | None
    ) -> Mapping[str, Any] | StoreFailure:
        result = await self._calls.call(
            method="POST",
            path=f"/galenashift/{name}",
            body=body,
            timeout_s=CALL_TIMEOUT_S,
            headers={"Content-Type": "application/json"},
        )
        return _checked(result)


def _checked(result: HttpAnswer | NoAnswer) -> Mapping[str, Any] | StoreFailure:
    match result:
        case NoAnswer(sent=sent, detail=detail):
            return StoreFailure(
                problem=StoreProblem.UNREACHABLE, detail=detail, may_have_run=sent
            )
        case HttpAnswer(status=status, body=body) if status == _OK:
            return body
        case HttpAnswer(status=status):
            return StoreFailure(
                problem=_PROBLEM_BY_STATUS.get(status, StoreProblem.REFUSED),
                detail=f"status {status}",
                may_have_run=False,
            )


_PROBLEM_BY_STATUS = {
    _NOT_FOUND: StoreProblem.NOT_FOUND,
    _GONE: StoreProblem.HISTORY_GONE,
    _CONFLICT: StoreProblem.CONFLICT,
}


def _malformed(error: Exception) -> StoreFailure:
    return StoreFailure(
        problem=StoreProblem.MALFORMED,
        detail=f"the store's answer cannot be read: {error!r}",
        may_have_run=True,
    )


def _number(answer: Mapping[str, Any], name: str) -> int | StoreFailure:
    try:
        return int(answer[name])
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(error)


def _item(data: Mapping[str, Any]) -> Item:
    try:
        value = base64.b64decode(data["value"], validate=True)
    except (binascii.Error, TypeError):
        # The key still tells that a record exists; its decoder reports the value.
        value = b""
    return Item(
        key=str(data["key"]),
        value=value,
        # Set by the last change, unlike "created_rev".
        revision=StoreRevision(int(data["rev"])),
    )


def _change(data: Mapping[str, Any]) -> Item | Deletion:
    if data.get("tombstone"):
        revision = StoreRevision(int(data["rev"]))
        return Deletion(key=str(data["key"]), revision=revision)
    return _item(data)


def encode_json(body: Mapping[str, Any]) -> bytes:
    """Encode the body of a call."""
    return json.dumps(body, separators=(",", ":")).encode()
