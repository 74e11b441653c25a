"""Restarted daemons refuse sound requests beside a part that crashes engines (LOST)."""

import signal
import sys
from collections.abc import AsyncIterator
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

#: First prompt part of some requests; it crashes each engine that begins to write an
#: answer on it.
BAD = "bad0bad0"
#: First parts of sound requests.
FIRST = tuple(f"5a{number:06x}" for number in range(6))
#: Second part of all requests, sound or not.
SECOND = "d0c0d0c0"
FIRST_EVENT_S = 0.3
EVENT_S = 0.03
EVENTS = 12
DOWN_S = 3.0
DEADLINE_S = 8.0
ENGINES = 4
#: Times of the case, in seconds from its start.
CALM_S = 10.0
ROLL_S = 30.0
#: Time after the last restart, in seconds.
AFTER_S = 30.0
SOUND_PAUSE_S = 0.1
#: Time between two requests with the bad part, until three engines have crashed and
#: after that, in seconds.
BAD_PAUSE_S = 4.0
LATER_BAD_PAUSE_S = 1.0


async def answer(engine: Engine, request: EngineRequest) -> AsyncIterator[bytes]:
    """Write an answer; on the bad part, crash within its first event."""
    await trio.sleep(FIRST_EVENT_S)
    if BAD in request.headers.get("galenashift-prefix-hash", ""):
        yield f"id: 1\ndata: {request.attempt_id}".encode()
        raise Crash(f"{request.attempt_id} has the bad part")
    for number in range(1, EVENTS + 1):
        yield f"id: {number}\ndata: {request.attempt_id} {number}\n\n".encode()
        await trio.sleep(EVENT_S)


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
    """Sound requests and, after a calm time, some with the bad part; then restarts."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sound: list[Attempt] = []
        self.bad: list[Attempt] = []
        self.numbers = iter(range(1, 1_000_000))
        self.ended = False

    async def send(self, bad: bool, firsts: list[Attempt]) -> None:
        """Send one request, and keep its first attempt."""
        number = next(self.numbers)
        first = BAD if bad else FIRST[number % len(FIRST)]
        attempts = await self.world.request(
            path="/stream/x",
            headers=prompt(first, SECOND, own=f"{number:08x}"),
            deadline_s=DEADLINE_S,
        )
        firsts.append(attempts[0])

    async def send_sound(self, nursery: trio.Nursery) -> None:
        """Send sound requests until the end of the case."""
        while not self.ended:
            nursery.start_soon(self.send, False, self.sound)
            await trio.sleep(SOUND_PAUSE_S)

    async def send_bad(self, nursery: trio.Nursery) -> None:
        """Send requests with the bad part until the end of the case."""
        while not self.ended:
            nursery.start_soon(self.send, True, self.bad)
            has_crashed = len(self.world.crashed_at_s) >= 3
            await trio.sleep(LATER_BAD_PAUSE_S if has_crashed else BAD_PAUSE_S)

    async def run(self) -> bool:
        """Play the case, and tell whether the rule was kept."""
        record = self.world.record
        began_at_s = record.now_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_sound, nursery)
            await trio.sleep(CALM_S)
            calm_until_s = record.now_s
            if TROUBLE:
                nursery.start_soon(self.send_bad, nursery)
            await trio.sleep(began_at_s + ROLL_S - record.now_s)
            roll_at_s = record.now_s
            for daemon in self.world.daemons:
                await daemon.restart(signal.SIGTERM, down_s=0.3)
                while not daemon.ready:
                    await trio.sleep(0.1)
            rolled_at_s = record.now_s
            await trio.sleep(AFTER_S)
            self.ended = True
        return self.judge(calm_until_s, roll_at_s, rolled_at_s)

    def judge(self, calm_until_s: float, roll_at_s: float, rolled_at_s: float) -> bool:
        """Compare the sound requests before and after the last crash."""
        world = self.world
        record = world.record
        crashed_at_s = world.crashed_at_s
        after_s = calm_until_s
        if crashed_at_s:
            after_s = crashed_at_s[min(len(crashed_at_s), 5) - 1] + 2 * CONTACT_S
        later = [
            each
            for each in self.sound
            if each.sent_at_s > after_s and each.daemon.in_touch(each.sent_at_s)
        ]
        calm = [each for each in self.sound if each.sent_at_s < calm_until_s - 1.0]
        before = self.share(calm)
        after = self.share(later)
        kept = len(later) < 20 or after >= before / 2
        record.conclude(
            f"crashes of engines: {len(crashed_at_s)}, the last at"
            f" {max(crashed_at_s, default=0.0):.1f} s; restarts from {roll_at_s:.1f} s"
            f" to {rolled_at_s:.1f} s"
        )
        rolled = [each for each in later if each.sent_at_s > rolled_at_s]
        unrolled = [each for each in later if each.sent_at_s < roll_at_s]
        record.conclude(
            "sound requests that began at the first attempt:"
            f" {before:.2f} of {len(calm)} in the calm time,"
            f" {after:.2f} of {len(later)} from 6 s after the last crash on"
            f" ({self.share(unrolled):.2f} of {len(unrolled)} before the restarts,"
            f" {self.share(rolled):.2f} of {len(rolled)} after them)"
        )
        record.conclude("LOST was kept" if kept else "LOST was broken")
        return kept

    def share(self, attempts: list[Attempt]) -> float:
        """Return the share of attempts that an engine began to run."""
        return sum(map(self.world.begun, attempts)) / max(1, len(attempts))


async def play(world: World) -> bool:
    """Start the deployment and play the case."""
    async with trio.open_nursery() as nursery:
        await world.start(nursery, stream_config(goal_ms=1500, timeout_ms=8000))
        await trio.sleep(CONTACT_S)
        kept = await Case(world).run()
        nursery.cancel_scope.cancel()
    return kept


run_case(Path(__file__).resolve().parent, play, world=build)
