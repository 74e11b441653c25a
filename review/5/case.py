"""A prompt part crashes engines after the first event of the answer (BUDGET)."""

import sys
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.kit import (
    CONTACT_S,
    TROUBLE,
    ZONES,
    Attempt,
    Crash,
    Engine,
    EngineRequest,
    Record,
    World,
    prompt,
    run_case,
    stream_config,
)

#: Shared parts, one of which begins each prompt.
SHARED = tuple(f"5a{number:06x}" for number in range(12))
#: Prompt part that crashes each engine that begins to write an answer on it.
BAD = "bad0bad0"
#: Time from the arrival of a request to the first event of its answer, in seconds.
FIRST_EVENT_S = 0.8
EVENT_S = 0.04
EVENTS = 12
#: Time from a crash until the engine is back, in seconds.
DOWN_S = 3.0
DEADLINE_S = 8.0
#: Times of the case, in seconds from its start.
CALM_S = 10.0
LENGTH_S = 48.0
#: Crashes after which daemons may send only a few more requests, and how many.
CRASHES = 5
ALLOWED = 3
ENGINES = 4
#: Time between two sound requests, and between two requests with the bad part.
SOUND_PAUSE_S = 0.05
BAD_PAUSE_S = 2.0


async def answer(engine: Engine, request: EngineRequest) -> AsyncIterator[bytes]:
    """Write an answer; on the bad part, crash after the first event."""
    await trio.sleep(FIRST_EVENT_S)
    bad = BAD in request.headers.get("galenashift-prefix-hash", "")
    for number in range(1, EVENTS + 1):
        yield f"id: {number}\ndata: {request.attempt_id} {number}\n\n".encode()
        await trio.sleep(EVENT_S)
        if bad:
            raise Crash(f"{request.attempt_id} has the bad part")


def build(record: Record) -> World:
    """Return three daemons and four engines."""
    world = World(record, daemons=3)
    for index in range(ENGINES):
        engine = Engine(
            name=f"i-{index}",
            ip=world.ip(100 + index),
            zone=ZONES[index % len(ZONES)],
            service="model",
            store=world.store,
            record=record,
            script=answer,
            down_s=DOWN_S,
        )
        world.engines.append(engine)
    return world


class Case:
    """Sound requests throughout, and requests with the bad part after a calm time."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sound: list[Attempt] = []
        self.bad: list[Attempt] = []
        self.numbers = iter(range(1, 1_000_000))

    async def send(self, bad: bool, firsts: list[Attempt]) -> None:
        """Send one request, and keep its first attempt."""
        number = next(self.numbers)
        parts = (SHARED[number % len(SHARED)], BAD)[: 1 + bad]
        attempts = await self.world.request(
            path="/stream/x",
            headers=prompt(*parts, own=f"{number:08x}"),
            deadline_s=DEADLINE_S,
        )
        firsts.append(attempts[0])

    async def steadily(
        self,
        nursery: trio.Nursery,
        bad: bool,
        firsts: list[Attempt],
        pause_s: float,
    ) -> None:
        """Send requests one after the other until the end of the case."""
        while self.world.record.now_s < self.end_s:
            nursery.start_soon(self.send, bad, firsts)
            await trio.sleep(pause_s)

    async def run(self) -> bool:
        """Play the case, and tell whether the rule was kept."""
        record = self.world.record
        self.calm_from_s = record.now_s
        calm_until_s = self.calm_from_s + CALM_S
        self.end_s = self.calm_from_s + LENGTH_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(self.steadily, nursery, False, self.sound),
                SOUND_PAUSE_S,
            )
            await trio.sleep(CALM_S)
            if TROUBLE:
                await self.steadily(nursery, True, self.bad, BAD_PAUSE_S)
        return self.judge(calm_until_s)

    def judge(self, calm_until_s: float) -> bool:
        """Count the requests with the bad part after the fifth crash."""
        world = self.world
        record = world.record
        crashed_at_s = world.crashed_at_s
        record.conclude(
            f"crashes of engines: {len(crashed_at_s)};"
            f" requests with the bad part that clients sent: {len(self.bad)}"
        )
        late = 0
        if len(crashed_at_s) >= CRASHES:
            late_s = crashed_at_s[CRASHES - 1] + CONTACT_S
            late = sum(at_s > late_s for at_s in world.arrivals(BAD))
        later = [each for each in self.sound if each.sent_at_s > calm_until_s]
        cut = sum(each.status == 200 and not each.complete for each in later)
        refused = sum(each.status == 503 for each in later)
        record.conclude(
            f"sound requests meanwhile: {len(later)}; streams broken off: {cut};"
            f" refused: {refused}"
        )
        record.conclude(
            "requests with the bad part that reached engines later than 3 s after the"
            f" fifth crash: {late} (allowed: {ALLOWED})"
        )
        kept = late <= ALLOWED
        record.conclude("BUDGET was kept" if kept else "BUDGET was broken")
        return kept


async def play(world: World) -> bool:
    """Start the deployment and play the case."""
    async with trio.open_nursery() as nursery:
        await world.start(nursery, stream_config(goal_ms=1500, timeout_ms=8000))
        await trio.sleep(CONTACT_S)
        kept = await Case(world).run()
        nursery.cancel_scope.cancel()
    return kept


run_case(Path(__file__).resolve().parent, play, world=build)
