"""The last tenant is removed from the configuration, with all its keys."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit_3 as kit

#: `config_apply_ms`, in seconds.
_APPLY_S = 2.0
_UNKNOWN_KEY = "nobody-ever-had-this"


async def scenario(case: kit.Case) -> int:
    """Send requests with a key that was taken away, and with one that never was."""
    store = case.store
    engines = [kit.PlainEngine(work_s=0.02) for _ in range(2)]
    routes = [
        {
            "name": "confirm",
            "prefix": "/confirm/",
            "kind": "non_idempotent",
            "service": "book",
            "timeout_ms": 3000,
        }
    ]
    services = [{"name": "book"}]
    first = [{"name": kit.TENANT, "api_keys": [kit.KEY], "priority": 1}]
    store.put_json(
        "op/config", kit.config(3, routes=routes, services=services, tenants=first)
    )
    for engine, zone in zip(engines, "ab", strict=True):
        await engine.up()
        record = kit.server_record("book", engine.address, zone, born=engine.born)
        store.put_json(f"servers/{engine.engine_id}", record)
    for index, zone in enumerate("abc"):
        case.add_daemon(index, zone=zone).start()
    if not await case.wait_ready():
        return kit.NOT_RUN

    sent: list[tuple[str, str, kit.Result]] = []

    async def send_all(when: str) -> None:
        for key in (kit.KEY, _UNKNOWN_KEY, None):
            for daemon in case.daemons:
                result = await kit.send(
                    daemon.front, "/confirm/x", key=key, deadline_ms=3000
                )
                sent.append((when, key or "no key", result))

    await send_all("before")
    # Without the trouble, the tenant keeps its entry, and only its keys are taken away.
    left: list[dict[str, object]] = []
    if not kit.TROUBLE:
        left = [{"name": kit.TENANT, "api_keys": [], "priority": 1}]
    store.put_json(
        "op/config", kit.config(7, routes=routes, services=services, tenants=left)
    )
    changed_at = time.monotonic()
    case.note(f"version 7 is acknowledged, with tenants = {left}")
    await asyncio.sleep(_APPLY_S + 0.5)
    await send_all("after")
    tenant_by_attempt = {
        attempt: tenant for engine in engines for _, attempt, tenant, _ in engine.runs
    }
    broken = False
    for when, key, result in sent:
        ran = result.attempt in tenant_by_attempt
        wrong = ran and (key != kit.KEY or when == "after")
        broken = broken or wrong
        case.note(
            f"{result.attempt} {when} key={key}"
            f" sent={result.sent_at - changed_at:+.2f} s status={result.status}"
            f" ran={ran}"
            + (f" tenant={tenant_by_attempt[result.attempt]}" if ran else "")
            + (" WRONG" if wrong else "")
        )
    if not all(
        result.status == 200
        for when, key, result in sent
        if when == "before" and key == kit.KEY
    ):
        return kit.NOT_RUN
    return kit.BROKEN if broken else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.run_case(Path(__file__).resolve().parent, scenario))
