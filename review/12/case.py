"""All engines of a service crash and come back, and later all daemons are killed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit_3 as kit

_ENGINES = 6
_DAEMONS = 4
_STREAMS_PER_S = 20.0
#: Time for which the engines are down, in seconds.
_DOWN_S = 4.5
#: Three heartbeats of silence, after which an entry is removed, in seconds.
_SILENCE_S = 3.6
#: Time for which all processes are down, in seconds.
_KILLED_S = 0.64
#: `recover_s`, in seconds.
_RECOVER_S = 12.0
#: Part of the prompt that all requests of the route share: its system prompt.
_SHARED = "5c1e07a2"


async def scenario(case: kit.Case) -> int:
    """Send streams while the engines crash and return, and after the final fault."""
    store = case.store
    engines = [kit.StreamEngine(work_s=0.0) for _ in range(_ENGINES)]
    store.put_json(
        "op/config",
        kit.config(
            3,
            routes=[
                {
                    "name": "audit",
                    "prefix": "/audit/",
                    "kind": "streaming",
                    "service": "pool",
                    "sticky": True,
                    "gap_target_ms": 400,
                }
            ],
            services=[{"name": "pool"}],
            tenants=[{"name": kit.TENANT, "api_keys": [kit.KEY], "priority": 1}],
        ),
    )

    async def start_engines() -> None:
        for index, engine in enumerate(engines):
            await engine.up()
            record = kit.server_record(
                "pool", engine.address, "abc"[index % 3], born=engine.born
            )
            store.put_json(f"servers/{engine.engine_id}", record)

    await start_engines()
    for index in range(_DAEMONS):
        case.add_daemon(index, zone="abc"[index % 3]).start()
    if not await case.wait_ready():
        return kit.NOT_RUN
    tasks: list[asyncio.Task[kit.Result]] = []

    async def send_steadily(for_s: float) -> None:
        ends = time.monotonic() + for_s
        while time.monotonic() < ends:
            number = len(tasks)
            daemon = case.daemons[number % _DAEMONS]
            own = kit.new_attempt()
            headers = [
                ("Galenashift-Model", "m"),
                ("Galenashift-Token-Usage", "1110,80"),
                (
                    "Galenashift-Prefix-Hash",
                    f"{_SHARED}:800,{0xA0 + number % 20:x}:200,{own[:8]}:110",
                ),
            ]
            coroutine = kit.send(
                daemon.front, "/audit/x", body=own.encode(), headers=headers
            )
            tasks.append(asyncio.create_task(coroutine))
            await asyncio.sleep(1 / _STREAMS_PER_S)

    await send_steadily(8.0)
    if kit.TROUBLE:
        old_ids = [engine.engine_id for engine in engines]
        for engine in engines:
            await engine.down()
        crashed_at = time.monotonic()
        case.note(f"all {_ENGINES} engines crash")
        await send_steadily(_SILENCE_S)
        for old_id in old_ids:
            store.delete(f"servers/{old_id}")
        await send_steadily(_DOWN_S - _SILENCE_S)
        await start_engines()
        case.note(f"all engines are back after {time.monotonic() - crashed_at:.1f} s")
    else:
        await send_steadily(_DOWN_S)
    await send_steadily(4.0)
    fault_at = time.monotonic()
    for daemon in case.daemons:
        daemon.signal(kit.signal.SIGKILL)
    case.note("final fault: all daemons are killed")
    await asyncio.sleep(_KILLED_S)
    for daemon in case.daemons:
        daemon.start()
    if not await case.wait_ready():
        return kit.NOT_RUN
    back_at = time.monotonic()
    case.note("all daemons are back")
    await send_steadily(_RECOVER_S + 6.0)
    results = await asyncio.gather(*tasks)
    for result in results:
        case.note(
            f"{result.attempt} sent={result.sent_at - back_at:+.2f} s"
            f" status={result.status} complete={result.complete}"
        )

    def served(some: list[kit.Result]) -> float:
        whole = sum(each.status == 200 and each.complete for each in some)
        return whole / max(1, len(some))

    before = served([each for each in results if each.sent_at < fault_at])
    after = served([each for each in results if each.sent_at > back_at + _RECOVER_S])
    case.note(
        f"served before the final fault: {before:.2f}; later than {_RECOVER_S:g} s"
        f" after the machines were back: {after:.2f}"
    )
    if before < 0.25:
        return kit.NOT_RUN
    return kit.BROKEN if after < 0.25 else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.run_case(Path(__file__).resolve().parent, scenario))
