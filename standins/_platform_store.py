"""Stand-in of the platform's store, with records, leases and watches in memory."""

import base64
import json
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import trio

from ._platform_http import Reply, Request, Reset

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_UNAVAILABLE = 503
_FIRST_REVISION = 10
_FIRST_ERA = 3
_LEASE_SWEEP_INTERVAL_S = 0.05


@dataclass(kw_only=True)
class _Record:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(kw_only=True)
class _Lease:
    lifetime_s: float
    ends_at_s: float


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """Records, leases and history of the store at some time."""

    records: dict[str, _Record]
    leases: dict[int, _Lease]
    history: tuple[tuple[int, str], ...]
    revision: int
    granted_leases: int
    compacted_revision: int


class PlatformStore:
    """The store; records are kept until they are deleted or their lease ends.

    :param clock: Monotonic clock, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[tuple[int, str]] = []
        self._revision = _FIRST_REVISION
        self._granted_leases = 0
        self._compacted_revision = _FIRST_REVISION
        self._changed = trio.Event()
        #: Rises whenever the store comes back from a copy; stated in each answer.
        self.era = _FIRST_ERA
        #: Number of calls so far.
        self.calls = 0
        #: Whether all calls are answered 503.
        self.unavailable = False
        #: Whether writes take effect but their answers are lost.
        self.lose_write_answers = False
        #: Delays of the next write of some keys, in seconds. It gets no answer, and is
        #: executed after its delay if its conditions hold then.
        self.late_s_by_key: dict[str, float] = {}
        #: Delay of each call, in seconds.
        self.delay_s = 0.0

    async def run(self) -> None:
        """End expired leases until cancelled."""
        while True:
            await trio.sleep(_LEASE_SWEEP_INTERVAL_S)
            now_s = self._clock()
            for lease, state in list(self._leases.items()):
                if now_s >= state.ends_at_s:
                    self._end_lease(lease)

    def put(self, key: str, record: dict[str, Any], *, lease: int = 0) -> None:
        """Write a record, as an operator or an upstream does by HTTP."""
        self._write(key, json.dumps(record).encode(), lease)

    def delete(self, key: str) -> None:
        """Delete a record."""
        if self._records.pop(key, None) is not None:
            self._record_change(key)

    def record(self, key: str) -> dict[str, Any] | None:
        """Return a record, as an operator reads it; None if there is none."""
        found = self._records.get(key)
        return None if found is None else dict(json.loads(found.value))

    def keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix."""
        return sorted(key for key in self._records if key.startswith(prefix))

    def copy(self) -> StoreCopy:
        """Return a copy, from which the store can come back later."""
        return StoreCopy(
            records={key: replace(each) for key, each in self._records.items()},
            leases={number: replace(each) for number, each in self._leases.items()},
            history=tuple(self._history),
            revision=self._revision,
            granted_leases=self._granted_leases,
            compacted_revision=self._compacted_revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later writes and leases are gone.

        Revisions and leases are given out again, and waiting watches are cut.
        """
        self._records = {key: replace(each) for key, each in copy.records.items()}
        self._leases = {number: replace(each) for number, each in copy.leases.items()}
        for lease in self._leases.values():
            lease.ends_at_s = self._clock() + lease.lifetime_s
        self._history = list(copy.history)
        self._revision = copy.revision
        self._granted_leases = copy.granted_leases
        self._compacted_revision = copy.compacted_revision
        self.era += 1
        self._notify()

    def compact_history(self) -> None:
        """Drop the history, so that watches from an earlier revision get 410."""
        self._compacted_revision = self._revision
        self._notify()

    async def answer(self, request: Request) -> Reply:
        """Answer an HTTP request."""
        reply = await self._answer(request)
        reply.headers["store-era"] = str(self.era)
        return reply

    async def _answer(self, request: Request) -> Reply:
        self.calls += 1
        if self.delay_s:
            await trio.sleep(self.delay_s)
        if self.unavailable:
            return Reply(status=_UNAVAILABLE)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/galenashift/")
        body = json.loads(request.body) if request.body else {}
        match (request.method, name.split("/")):
            case ("GET", ["kv-key"]):
                return self._get(query["key"])
            case ("GET", ["kv-range"]):
                return self._list(query.get("prefix", ""))
            case ("GET", ["kv-watch"]):
                return await self._watch(query)
            case ("POST", ["kv-txn"]):
                self._check_late(body)
                reply = self._apply_transaction(body)
            case ("POST", ["kv-lease"]):
                reply = self._grant_lease(body)
            case ("POST", ["kv-keep", lease]):
                reply = self._renew_lease(int(lease))
            case ("DELETE", ["kv-lease-end", lease]):
                self._end_lease(int(lease))
                reply = _json(_OK, {})
            case _:
                return Reply(status=_NOT_FOUND)
        if self.lose_write_answers:
            raise Reset
        return reply

    def _get(self, key: str) -> Reply:
        if key not in self._records:
            return Reply(status=_NOT_FOUND)
        return _json(_OK, self._item(key) | {"store_revision": self._revision})

    def _list(self, prefix: str) -> Reply:
        items = [self._item(key) for key in self.keys(prefix)]
        answer = {
            "items": items,
            "more_pages": False,
            "store_revision": self._revision,
        }
        return _json(_OK, answer)

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query.get("prefix", ""), int(query["after"])
        era = self.era
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while not self._events(prefix, after) and self._has_history(after):
                await self._changed.wait()
                if self.era != era:
                    raise Reset
        if not self._has_history(after):
            return Reply(status=_GONE)
        events = self._events(prefix, after)
        return _json(_OK, {"events": events, "store_revision": self._revision})

    def _has_history(self, after: int) -> bool:
        return self._compacted_revision <= after <= self._revision

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        keys = dict.fromkeys(
            key
            for revision, key in self._history
            if revision > after and key.startswith(prefix)
        )
        return [self._event(key) for key in keys]

    def _event(self, key: str) -> dict[str, Any]:
        if key in self._records:
            return self._item(key)
        revision = max(rev for rev, name in self._history if name == key)
        return {"key": key, "rev": revision, "tombstone": True}

    def _check_late(self, body: dict[str, Any]) -> None:
        """Execute a transaction later if one of its keys says so.

        :raises Reset: If it is executed later.
        """
        for put in body.get("puts", ()):
            late_s = self.late_s_by_key.pop(put["key"], None)
            if late_s is not None:
                trio.lowlevel.spawn_system_task(self._apply_later, late_s, body)
                raise Reset

    async def _apply_later(self, late_s: float, body: dict[str, Any]) -> None:
        await trio.sleep(late_s)
        self._apply_transaction(body)

    def _apply_transaction(self, body: dict[str, Any]) -> Reply:
        for row in body.get("expected", ()):
            record = self._records.get(row["key"])
            if (record.revision if record else 0) != row["rev"]:
                return _json(_CONFLICT, {"items": []})
        for put in body.get("puts", ()):
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return Reply(status=_NOT_FOUND)
            self._write(put["key"], base64.b64decode(put["value"]), lease)
        for key in body.get("deletes", ()):
            self.delete(key)
        return _json(_OK, {"rev": self._revision})

    def _grant_lease(self, body: dict[str, Any]) -> Reply:
        self._granted_leases += 1
        lease = self._granted_leases
        lifetime_s = body["ttl_ms"] / 1000
        ends_at_s = self._clock() + lifetime_s
        self._leases[lease] = _Lease(lifetime_s=lifetime_s, ends_at_s=ends_at_s)
        return _json(_OK, {"lease": lease, "ttl_ms": body["ttl_ms"]})

    def _renew_lease(self, lease: int) -> Reply:
        state = self._leases.get(lease)
        if state is None:
            return Reply(status=_NOT_FOUND)
        state.ends_at_s = self._clock() + state.lifetime_s
        return _json(_OK, {"ttl_ms": int(state.lifetime_s * 1000)})

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, record in list(self._records.items()):
            if record.lease == lease:
                self.delete(key)

    def _write(self, key: str, value: bytes, lease: int) -> None:
        created = self._records[key].created if key in self._records else 0
        self._record_change(key)
        self._records[key] = _Record(
            value=value,
            revision=self._revision,
            created=created or self._revision,
            lease=lease,
        )

    def _record_change(self, key: str) -> None:
        self._revision += 1
        self._history.append((self._revision, key))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        record = self._records[key]
        return {
            "key": key,
            "value": base64.b64encode(record.value).decode(),
            "rev": record.revision,
            "created_rev": record.created,
            "lease": record.lease,
        }


def _json(status: int, body: dict[str, Any]) -> Reply:
    headers = {"content-type": "application/json"}
    return Reply(status=status, headers=headers, body=json.dumps(body).encode())
