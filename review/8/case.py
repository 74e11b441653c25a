"""SIGTERM; then requests on kept connections that last longer than those before."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit_2 import (  # noqa: E402
    GRACE_S,
    ZONES,
    Client,
    Daemon,
    Engine,
    Fleet,
    Record,
    Reply,
    Request,
    Send,
    main,
    make_config,
    make_events,
    make_route,
    send_stream,
    stream_headers,
)

#: Clients with a kept connection to the daemon that is stopped.
CLIENTS = 4
#: Time between two events of a stream, in seconds.
PAUSE_S = 0.06
#: Events of the requests before, and of the late ones, for `nudge-phrase`. The site
#: has 28.7 in the mean and 100 at most.
USUAL, LONG = 29, 95
#: Events of a request for `weekly-coach`; the site has 79.8 at most.
COACH_EVENTS = 70
COACH_S = COACH_EVENTS * PAUSE_S
#: Time of SIGTERM before the end of the `weekly-coach` streams, in seconds.
LEAD_S = 3.3
NUDGE_DEADLINE_MS, COACH_DEADLINE_MS = 8000, 10_000


async def work(engine: Engine, request: Request, send: Send) -> None:
    """Generate as many events as the body says."""
    attempt = request.headers["galenashift-attempt-id"]
    events = make_events(attempt, int(request.body), 60)
    await send_stream(engine, request, send, events=events, pause_s=PAUSE_S)


@dataclass(kw_only=True)
class Late:
    """A request that was sent more than three seconds after SIGTERM."""

    attempt: str
    sent_at_s: float
    ended_at_s: float
    reply: Reply


async def ask(
    fleet: Fleet, client: Client, route: str, events: int, deadline_ms: int
) -> tuple[str, float, Reply]:
    """Send a request on a connection that is open, and read its answer."""
    attempt = fleet.next_attempt()
    fleet.record.write(f"client sends {attempt} ({route}, {events} events)")
    sent_at_s = time.monotonic()
    headers = stream_headers(attempt, deadline_ms)
    await client.send("POST", f"/{route}/2f", headers, str(events).encode())
    reply = await client.receive()
    fleet.record.write(
        f"client gets {reply.status} for {attempt}, whole: {reply.complete}"
        f" {reply.detail}"
    )
    return attempt, sent_at_s, reply


async def use(fleet: Fleet, daemon: Daemon, delay_s: float) -> Late | None:
    """Use one connection: a usual request, a long one, and then the late one."""
    client = Client(daemon)
    await client.connect()
    await ask(fleet, client, "nudge-phrase", USUAL, NUDGE_DEADLINE_MS)
    await asyncio.sleep(delay_s)
    _, _, reply = await ask(
        fleet, client, "weekly-coach", COACH_EVENTS, COACH_DEADLINE_MS
    )
    if not reply.complete or reply.closes:
        fleet.record.write("the connection is not kept")
        client.close()
        return None
    attempt, sent_at_s, late = await ask(
        fleet, client, "nudge-phrase", LONG, NUDGE_DEADLINE_MS
    )
    client.close()
    return Late(
        attempt=attempt, sent_at_s=sent_at_s, ended_at_s=time.monotonic(), reply=late
    )


async def scenario(record: Record, trouble: bool) -> bool:
    """Stop one daemon of three, and follow the requests that it had accepted."""
    routes = [
        make_route(
            "nudge-phrase", "logos-pool", "streaming", timeout_ms=8000, goal_ms=920
        ),
        make_route(
            "weekly-coach", "logos-pool", "streaming", timeout_ms=10_000, goal_ms=1700
        ),
    ]
    fleet = Fleet(record, make_config(3, routes, ["logos-pool"]))
    for index in range(3):
        engine = Engine(
            engine_id=f"i-{index}",
            service="logos-pool",
            zone=ZONES[index],
            work=work,
            record=record,
            slots=128,
        )
        fleet.engines.append(engine)
    try:
        await fleet.start(daemons=3)
        daemon = fleet.daemons[0]
        uses = [
            asyncio.create_task(use(fleet, daemon, 0.1 * index))
            for index in range(CLIENTS)
        ]
        # The first request, and most of the second one.
        await asyncio.sleep(USUAL * PAUSE_S + COACH_S - LEAD_S)
        terminated_at_s = time.monotonic()
        if trouble:
            daemon.signal(signal.SIGTERM)
            record.write(f"SIGTERM to {daemon.name}")
        late = [each for each in [await task for task in uses] if each is not None]
    finally:
        fleet.end()
    return judge(record, fleet, late, terminated_at_s)


def judge(
    record: Record, fleet: Fleet, late: list[Late], terminated_at_s: float
) -> bool:
    """Tell whether all requests that were passed on were answered whole."""
    ran = {run.attempt_id for engine in fleet.engines for run in engine.runs}
    lost = 0
    for each in late:
        sent_s = each.sent_at_s - terminated_at_s
        ended_s = each.ended_at_s - terminated_at_s
        passed_on = each.attempt in ran
        cut = passed_on and not each.reply.complete
        # Excused: sent at most 3 s after SIGTERM, or ended by its deadline or timeout.
        counts = sent_s > 3.0 and each.ended_at_s - each.sent_at_s < 7.5
        lost += cut and counts and ended_s < GRACE_S + 1
        record.say(
            f"{each.attempt}: sent {sent_s:.2f} s after SIGTERM, run: {passed_on},"
            f" answered {each.reply.status}, whole: {each.reply.complete},"
            f" ended {ended_s:.2f} s after SIGTERM"
        )
    record.say(f"accepted requests that were cut off: {lost} of {len(late)}")
    if not late:
        raise RuntimeError("no connection was kept")
    return lost == 0


if __name__ == "__main__":
    main(scenario, FOLDER)
