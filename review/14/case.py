"""Daemons restart while the store answers late; later, engines name their limits."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit_3 as kit

_DAEMONS = 8
#: Daemons that are killed at once; the pages allow many or all.
_KILLED = 5
#: Time until the platform starts a killed process again, in seconds.
_RESTART_S = 0.5
#: Time for which answers of the store are lost, in seconds.
_LOST_S = 4.5
#: Calm time between the trouble and the limit, in seconds.
_CALM_S = 10.0
#: Requests per second of all clients.
_USUAL_PER_S = 26.0
#: Requests per second that each engine in need takes from all machines together.
_STATED_PER_S = 4.0
_WINDOW_S = 4.0
_ALLOWED = 1.5 * _STATED_PER_S * _WINDOW_S + 5
#: `contact_ms`, in seconds.
_CONTACT_S = 3.0
#: Time after which a machine that has passed on the limit is bound, in seconds.
_TOLD_S = 0.5


async def scenario(case: kit.Case) -> int:
    """Kill some daemons while the store loses answers, and count requests later."""
    store = case.store
    engines = [kit.PlainEngine(work_s=0.02) for _ in range(2)]
    store.put_json(
        "op/config",
        kit.config(
            3,
            routes=[
                {
                    "name": "confirm",
                    "prefix": "/confirm/",
                    "kind": "non_idempotent",
                    "service": "book",
                    "timeout_ms": 3000,
                    "goal_ms": 400,
                }
            ],
            services=[{"name": "book"}],
            tenants=[{"name": kit.TENANT, "api_keys": [kit.KEY], "priority": 1}],
        ),
    )
    for engine, zone in zip(engines, "ab", strict=True):
        await engine.up()
        record = kit.server_record("book", engine.address, zone, born=engine.born)
        store.put_json(f"servers/{engine.engine_id}", record)
    for index in range(_DAEMONS):
        case.add_daemon(index, zone="abc"[index % 3]).start()
    if not await case.wait_ready():
        return kit.NOT_RUN
    tasks: list[asyncio.Task[kit.Result]] = []
    daemon_by_task: list[str] = []

    async def send_steadily(for_s: float) -> None:
        ends = time.monotonic() + for_s
        while time.monotonic() < ends:
            running = [
                each
                for each in case.daemons
                if each.process is not None and each.process.poll() is None
            ]
            daemon = running[len(tasks) % len(running)]
            coroutine = kit.send(daemon.front, "/confirm/x", deadline_ms=3000)
            tasks.append(asyncio.create_task(coroutine))
            daemon_by_task.append(daemon.name)
            await asyncio.sleep(1 / _USUAL_PER_S)

    await send_steadily(2.0)
    calm_before = time.monotonic() - 0.5
    if kit.TROUBLE:
        await _kill_and_lose(case)
    ready = [await each.is_ready() for each in case.daemons]
    await send_steadily(_CALM_S)
    registered = sorted(
        each.removeprefix("daemons/") for each in store.keys("daemons/")
    )
    case.note(f"{sum(ready)} daemons are ready; registered: {' '.join(registered)}")
    for engine in engines:
        engine.stated_limit = _STATED_PER_S
        case.note(f"{engine.engine_id} names a limit of {_STATED_PER_S:g} a second")
    named_at = time.monotonic()
    await send_steadily(12.0)
    results = await asyncio.gather(*tasks)

    daemon_by_attempt = {
        result.attempt: name
        for result, name in zip(results, daemon_by_task, strict=True)
    }
    most = 0
    for engine in engines:
        counted = _count(case, engine, results, daemon_by_attempt, named_at)
        most = max(most, counted)
        case.note(
            f"{engine.engine_id} got at most {counted} requests in {_WINDOW_S:g} s from"
            f" machines that it had told; {_ALLOWED:g} are allowed"
        )
    before = [each for each in results if each.sent_at < calm_before]
    served = sum(result.status == 200 for result in before)
    case.note(f"{len(results)} requests; {served} of {len(before)} before the trouble")
    if served < len(before) * 0.9:
        return kit.NOT_RUN
    return kit.BROKEN if most > _ALLOWED else kit.HELD


def _count(
    case: kit.Case,
    engine: kit.PlainEngine,
    results: list[kit.Result],
    daemon_by_attempt: dict[str, str],
    named_at: float,
) -> int:
    """Return the most requests in a window from machines that an engine had told."""
    own = {attempt for _, attempt, _, _ in engine.runs}
    told_at: dict[str, float] = {}
    for result in results:
        limits = [name for name, _ in result.headers if name == "server-limit"]
        if limits and result.attempt in own:
            daemon = daemon_by_attempt[result.attempt]
            told_at[daemon] = min(told_at.get(daemon, 1e99), result.ended_at)
    counted = []
    for at, attempt, _, _ in engine.runs:
        if at < named_at:
            continue
        daemon = daemon_by_attempt.get(attempt, "?")
        bound = at >= told_at.get(daemon, 1e99) + _TOLD_S
        if bound and at >= named_at + _CONTACT_S:
            counted.append(at)
        case.note(
            f"run at {engine.engine_id} {at - named_at:+.3f} {attempt} from {daemon}"
            + ("" if bound else " (not told yet)")
        )
    return max(
        (sum(1 for each in counted if t <= each < t + _WINDOW_S) for t in counted),
        default=0,
    )


async def _kill_and_lose(case: kit.Case) -> None:
    """Kill daemons, and lose the answer to the first registration of each."""
    store = case.store
    killed = {each.name for each in case.daemons[:_KILLED]}
    writes: list[str] = []
    lost: list[str] = []

    def loses(name: str, body: dict[str, Any]) -> bool:
        keys = [each["key"] for each in body.get("puts") or ()]
        what = f"{name} {' '.join(keys)}".strip()
        writes.append(what)
        daemon = keys[0].removeprefix("daemons/") if keys else ""
        if daemon not in killed or what in lost:
            return False
        lost.append(what)
        case.note(f"the answer to {what} is lost; it is done {store.late_s} s later")
        return True

    store.loses = loses
    for daemon in case.daemons[:_KILLED]:
        daemon.signal(kit.signal.SIGKILL)
    case.note(f"{_KILLED} daemons are killed")
    await asyncio.sleep(_RESTART_S)
    for daemon in case.daemons[:_KILLED]:
        daemon.start()
    await asyncio.sleep(_LOST_S - _RESTART_S)
    store.loses = lambda name, body: False
    share = len(lost) / max(1, len(writes))
    case.note(f"{len(lost)} of {len(writes)} writes lost their answer: {share:.2f}")
    await asyncio.sleep(1.0)


if __name__ == "__main__":
    sys.exit(kit.run_case(Path(__file__).resolve().parent, scenario))
