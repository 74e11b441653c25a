"""Stand-in of the key-value service, by HTTP/JSON (docs/PROTOCOLS.md)."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import trio

from galenashift.model import (
    Absent,
    Changes,
    Entry,
    Failure,
    Listing,
    Reason,
    Written,
    boot_time_s,
)

from ._control import Request, Response, decode_bytes, encode_bytes
from ._key_values import KeyValues

_READS = frozenset({"get", "list", "watch"})
_LEASE_WRITES = frozenset({"lease-grant", "lease-renew", "lease-revoke"})
_WRITES = frozenset({"put", "delete"}) | _LEASE_WRITES

_STATUS_BY_REASON = {Reason.STORE_CONFLICT: 409, Reason.TOO_LARGE: 413}


@dataclass
class _TokenBucket:
    """A token bucket with the capacity of one second."""

    per_s: float
    available: float
    refilled_at_s: float

    def take(self, now_s: float) -> bool:
        self.available = min(
            self.per_s, self.available + (now_s - self.refilled_at_s) * self.per_s
        )
        self.refilled_at_s = now_s
        if self.available < 1:
            return False
        self.available -= 1
        return True


class Store:
    """Handler of the key-value service, with rate limits for reads and writes."""

    def __init__(self, *, reads_per_s: float, writes_per_s: float) -> None:
        self._values = KeyValues()
        self._changed = trio.Event()
        self._set_rates(reads_per_s, writes_per_s)

    def configure(self, options: Mapping[str, Any]) -> None:
        """Apply the options ``reads_per_s``, ``writes_per_s`` and ``keep_values``."""
        reads_per_s = options.get("reads_per_s", self._reads.per_s)
        self._set_rates(reads_per_s, options.get("writes_per_s", self._writes.per_s))
        self._values.keep_values = options.get("keep_values", self._values.keep_values)

    def record(self) -> Mapping[str, Any]:
        """Return all writes by key and the number of calls by kind."""
        return self._values.record()

    async def handle(self, request: Request) -> Response:
        """Answer a call."""
        kind = request.path.removeprefix("/v1/")
        if kind not in _READS | _WRITES or request.method != "POST":
            return Response(status=404, body={"error": f"unknown call {request.path}"})
        self._values.calls[kind] += 1
        rate = self._reads if kind in _READS else self._writes
        if not rate.take(boot_time_s()):
            headers = {"retry-after": "1"}
            return Response(status=429, body={"error": "rate limit"}, headers=headers)
        if kind == "watch":
            return _respond(await self._watch(request.json()))
        revision = self._values.revision
        response = _respond(self._call(kind, request.json()), write=kind in _WRITES)
        if self._values.revision != revision:
            self._changed.set()
            self._changed = trio.Event()
        return response

    def _set_rates(self, reads_per_s: float, writes_per_s: float) -> None:
        now_s = boot_time_s()
        self._reads = _TokenBucket(reads_per_s, reads_per_s, now_s)
        self._writes = _TokenBucket(writes_per_s, writes_per_s, now_s)

    def _call(self, kind: str, body: dict[str, Any]) -> Any:
        values, now_s = self._values, boot_time_s()
        match kind:
            case "get":
                return values.get(key=body["key"], now_s=now_s)
            case "list":
                return values.list(
                    prefix=body["prefix"],
                    before=body.get("before"),
                    limit=body.get("limit"),
                    now_s=now_s,
                )
            case "put":
                return values.put(
                    key=body["key"],
                    value=decode_bytes(body["value"]),
                    expected_revision=body["expected_revision"],
                    lease_id=body["lease_id"],
                    now_s=now_s,
                )
            case "delete":
                return values.delete(
                    key=body["key"],
                    expected_revision=body["expected_revision"],
                    now_s=now_s,
                )
            case "lease-grant":
                return values.grant_lease(ttl_s=float(body["ttl_s"]), now_s=now_s)
            case "lease-renew":
                return values.renew_lease(lease_id=body["lease_id"], now_s=now_s)
            case _:
                return values.revoke_lease(lease_id=body["lease_id"], now_s=now_s)

    async def _watch(self, body: dict[str, Any]) -> Changes:
        end_s = boot_time_s() + float(body["wait_s"])
        while True:
            changed, now_s = self._changed, boot_time_s()
            changes = self._values.changes(
                prefix=body["prefix"],
                after_revision=body["after_revision"],
                now_s=now_s,
            )
            if changes.entries_by_key or changes.deleted_keys or now_s >= end_s:
                return changes
            with trio.move_on_after(min(end_s, self._values.next_expiry_s()) - now_s):
                await changed.wait()


def _respond(result: Any, *, write: bool = False) -> Response:
    match result:
        case Failure(reason=reason, detail=detail):
            return Response(status=_STATUS_BY_REASON[reason], body={"error": detail})
        case Absent():
            return Response(status=404, body={"error": "absent"})
        case Entry():
            return Response(body=_entry_as_json(result))
        case Written(revision=revision):
            return Response(body={"revision": revision}, can_be_lost=write)
        case Listing(entries_by_key=entries_by_key, revision=revision):
            entries = [_entry_as_json(each) for each in entries_by_key.values()]
            return Response(body={"entries": entries, "revision": revision})
        case Changes():
            entries = [_entry_as_json(each) for each in result.entries_by_key.values()]
            body = {"entries": entries, "deleted": result.deleted_keys}
            return Response(body={**body, "revision": result.revision})
        case _:
            return Response(body={"lease_id": result}, can_be_lost=write)


def _entry_as_json(entry: Entry) -> dict[str, Any]:
    value = encode_bytes(entry.value)
    return {"key": entry.key, "value": value, "revision": entry.revision}
