"""An engine runs a request and fails it with 503 that does not say it has not run."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit_2 import (  # noqa: E402
    ZONES,
    Client,
    Engine,
    Fleet,
    Record,
    Reply,
    Request,
    Send,
    Work,
    encode_answer,
    main,
    make_config,
    make_route,
    plain_work,
    request_headers,
)

#: Engines of the service; one of them is grey, a share of 0.125.
ENGINES = 8
#: Largest share of its requests that the grey engine fails after it has run them.
FAILED_SHARE = 0.4
#: Time for which it is grey, from its first request on, in seconds.
GREY_S = 6.0
REQUESTS = 150
DEADLINE_MS = 1500


def grey_work() -> Work:
    """Return work of which a share fails after it was done, for some time."""
    sound = plain_work(0.015)
    began_at_s: list[float] = []
    #: Requests so far, and those that failed.
    counts = {"all": 0, "failed": 0}

    async def work(engine: Engine, request: Request, send: Send) -> None:
        now_s = time.monotonic()
        began_at_s.append(now_s)
        counts["all"] += 1
        may_fail = counts["failed"] + 1 <= FAILED_SHARE * counts["all"]
        if not may_fail or now_s > began_at_s[0] + GREY_S:
            await sound(engine, request, send)
            return
        counts["failed"] += 1
        await asyncio.sleep(0.015)
        attempt = request.headers["galenashift-attempt-id"]
        engine.record.write(f"{engine.engine_id} fails {attempt} after its work: 503")
        # No Galenashift-Not-Executed: it has run.
        await send(encode_answer(503, engine.signed(request), b"ledger unavailable"))

    return work


async def commit(fleet: Fleet, number: int) -> list[tuple[str, Reply]]:
    """Log one habit, as a client does: again after a promise that it has not run."""
    tries: list[tuple[str, Reply]] = []
    for daemon in random.sample(fleet.daemons, 2):
        attempt = fleet.next_attempt()
        client = Client(daemon)
        await client.connect()
        body = f"habit {number}".encode()
        headers = request_headers(attempt, DEADLINE_MS)
        fleet.record.write(f"client sends {attempt} for habit {number}")
        await client.send("POST", "/habit-commit/2f", headers, body)
        reply = await client.receive()
        client.close()
        fleet.record.write(f"client gets {reply.status} for {attempt}")
        tries.append((attempt, reply))
        if reply.status not in (408, 421, 429, 503):
            break
    return tries


async def scenario(record: Record, trouble: bool) -> bool:
    """Send requests that may run once at most; compare answers with what has run."""
    route = make_route(
        "habit-commit", "sync-core", "non_idempotent", timeout_ms=800, goal_ms=100
    )
    fleet = Fleet(record, make_config(3, [route], ["sync-core"]))
    for index in range(ENGINES):
        grey = trouble and index == 0
        engine = Engine(
            engine_id=f"i-{index}",
            service="sync-core",
            zone=ZONES[index % len(ZONES)],
            work=grey_work() if grey else plain_work(0.015),
            record=record,
        )
        fleet.engines.append(engine)
    try:
        await fleet.start(daemons=3)
        commits = []
        for number in range(REQUESTS):
            commits.append(asyncio.create_task(commit(fleet, number)))
            await asyncio.sleep(0.05)
        tries = [await each for each in commits]
    finally:
        fleet.end()
    ran = {run.attempt_id for engine in fleet.engines for run in engine.runs}
    false = [
        attempt
        for each in tries
        for attempt, reply in each
        if reply.status in (408, 421, 429, 503) and attempt in ran
    ]
    doubled = [each for each in tries if sum(attempt in ran for attempt, _ in each) > 1]
    served = sum(each[-1][1].status == 200 for each in tries)
    record.say(f"{REQUESTS} habits, {served} answered with 200")
    record.say(f"answers that promise 'not run' for a request that has run: {false}")
    record.say(f"habits that ran twice, as the client trusted it: {len(doubled)}")
    if served < REQUESTS // 2:
        raise RuntimeError("hardly any request was served")
    return not false


if __name__ == "__main__":
    main(scenario, FOLDER)
