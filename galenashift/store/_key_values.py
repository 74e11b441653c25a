"""Client of the key-value service over HTTP/JSON (docs/PROTOCOLS.md)."""

import base64
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, TypeVar

from galenashift.model import (
    Absent,
    Changes,
    Entry,
    Failure,
    Lease,
    Listing,
    Reason,
    Written,
    boot_time_s,
    not_run,
)

from ._http import HttpAnswer, JsonHttpClient, NoAnswer

#: Timeout of one call, in seconds. The store answers in milliseconds, so a call that
#: takes longer has been lost.
CALL_TIMEOUT_S = 1.0

_JsonObject = Mapping[str, Any]
_T = TypeVar("_T")


class HttpKeyValueStore:
    """Implements `galenashift.model.KeyValueStore`.

    :param url: Base URL of the service.
    :param timeout_s: Timeout of each call, in seconds; a watch adds its wait to it.
    """

    def __init__(self, url: str, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._http = JsonHttpClient(url)
        self._timeout_s = timeout_s

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(self, *, key: str) -> Entry | Absent | Failure:
        """Read one key."""
        answer = await self._read("get", {"key": key})
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Absent(key=key)
        return _decode(answer, _entry, reason_if_lost=Reason.STORE_UNAVAILABLE)

    async def list(
        self, *, prefix: str, before: str | None = None, limit: int | None = None
    ) -> Listing | Failure:
        """Read all keys with a prefix, or the last ones of them."""
        body = {"prefix": prefix, "before": before, "limit": limit}
        answer = await self._read("list", body)
        return _decode(answer, _listing, reason_if_lost=Reason.STORE_UNAVAILABLE)

    async def put(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int | None,
        lease_id: int | None = None,
    ) -> Written | Failure:
        """Write one key by compare-and-swap."""
        body = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "expected_revision": expected_revision,
            "lease_id": lease_id,
        }
        return await self._write("put", body, _written)

    async def delete(
        self, *, key: str, expected_revision: int | None
    ) -> Written | Failure:
        """Delete one key by compare-and-swap."""
        body = {"key": key, "expected_revision": expected_revision}
        return await self._write("delete", body, _written)

    async def grant_lease(self, *, ttl_s: float) -> Lease | Failure:
        """Create a lease."""
        sent_at_s = boot_time_s()

        def lease(body: _JsonObject) -> Lease:
            lease_id = int(body["lease_id"])
            return Lease(lease_id=lease_id, ttl_s=ttl_s, renewed_at_s=sent_at_s)

        return await self._write("lease-grant", {"ttl_s": ttl_s}, lease)

    async def renew_lease(self, *, lease: Lease) -> Lease | Failure:
        """Renew a lease."""
        sent_at_s = boot_time_s()

        def renewed(body: _JsonObject) -> Lease:
            return replace(lease, renewed_at_s=sent_at_s)

        return await self._write("lease-renew", {"lease_id": lease.lease_id}, renewed)

    async def revoke_lease(self, *, lease: Lease) -> Written | Failure:
        """Revoke a lease and delete its keys."""
        return await self._write("lease-revoke", {"lease_id": lease.lease_id}, _written)

    async def watch(
        self, *, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | Failure:
        """Wait for changes of keys with a prefix."""
        body = {"prefix": prefix, "after_revision": after_revision, "wait_s": wait_s}
        answer = await self._call("watch", body, self._timeout_s + wait_s)
        return _decode(answer, _changes, reason_if_lost=Reason.STORE_UNAVAILABLE)

    async def _read(self, kind: str, body: _JsonObject) -> HttpAnswer | NoAnswer:
        return await self._call(kind, body, self._timeout_s)

    async def _write(
        self, kind: str, body: _JsonObject, decode: Callable[[_JsonObject], _T]
    ) -> _T | Failure:
        answer = await self._call(kind, body, self._timeout_s)
        return _decode(answer, decode, reason_if_lost=Reason.STORE_AMBIGUOUS)

    async def _call(
        self, kind: str, body: _JsonObject, timeout_s: float
    ) -> HttpAnswer | NoAnswer:
        return await self._http.call(
            method="POST", path=f"/v1/{kind}", body=body, timeout_s=timeout_s
        )


def _decode(
    answer: HttpAnswer | NoAnswer,
    decode: Callable[[_JsonObject], _T],
    *,
    reason_if_lost: Reason,
) -> _T | Failure:
    """Decode a response, or convert it into a failure.

    :param reason_if_lost: Reason if it is unknown whether the call took effect.
    """
    if isinstance(answer, NoAnswer):
        reason = reason_if_lost if answer.sent else Reason.STORE_UNAVAILABLE
        return not_run(reason=reason, detail=answer.detail)
    if answer.status == 200:
        try:
            return decode(answer.body)
        except (KeyError, TypeError, ValueError) as error:
            detail = f"cannot decode the response of the store: {error!r}"
            return not_run(reason=reason_if_lost, detail=detail)
    detail = f"store returned status {answer.status}: {answer.body.get('error', '')}"
    match answer.status:
        case 409:
            return not_run(reason=Reason.STORE_CONFLICT, detail=detail)
        case 413:
            return not_run(reason=Reason.TOO_LARGE, detail=detail)
        case 429 | 503:
            return not_run(
                reason=Reason.STORE_UNAVAILABLE,
                detail=detail,
                retry_after_s=_retry_after_s(answer),
            )
        case 400 | 404:
            return not_run(reason=Reason.INTERNAL, detail=detail)
        case _:
            return not_run(reason=reason_if_lost, detail=detail)


def _retry_after_s(answer: HttpAnswer) -> float | None:
    try:
        return float(answer.headers["retry-after"])
    except (KeyError, ValueError):
        return None


def _entry(body: _JsonObject) -> Entry:
    return Entry(
        key=body["key"],
        value=base64.b64decode(body["value"], validate=True),
        revision=int(body["revision"]),
    )


def _entries_by_key(body: _JsonObject) -> dict[str, Entry]:
    return {each["key"]: _entry(each) for each in body["entries"]}


def _listing(body: _JsonObject) -> Listing:
    return Listing(entries_by_key=_entries_by_key(body), revision=int(body["revision"]))


def _written(body: _JsonObject) -> Written:
    return Written(revision=int(body["revision"]))


def _changes(body: _JsonObject) -> Changes:
    return Changes(
        entries_by_key=_entries_by_key(body),
        deleted_keys=tuple(body["deleted"]),
        revision=int(body["revision"]),
    )
