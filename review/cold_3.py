"""A service whose engines come back cold, for case 15."""

import asyncio
import time
from dataclasses import dataclass, field

import kit_3 as kit

DAEMONS = 8
COLD_PER_S = 5.9
COLD_S = 3.0
#: Requests to a cold engine in one second that the rule allows: `cold_per_s` times
#: `cold_factor` plus `cold_extra`.
LIMIT = COLD_PER_S * 1.5 + 5
#: Requests per second of all clients, and those of a burst of 2.5 times as many.
USUAL_PER_S = 26.0
BURST_PER_S = 65.0
#: Time for which the engines are down, in seconds.
DOWN_S = 2.0


def most_in_one_second(times: list[float]) -> int:
    """Return the most requests that began within one second."""
    return max(
        (sum(1 for each in times if t <= each < t + 1.0) for t in times), default=0
    )


@dataclass
class ColdPool:
    """Three engines in one zone, and eight daemons before them.

    A cold engine crashes above the rate that the rule allows, about twice what it says
    that it tolerates.
    """

    case: kit.Case
    engines: list[kit.PlainEngine] = field(default_factory=list)
    tasks: list[asyncio.Task[kit.Result]] = field(default_factory=list)
    cold_from: float = 0.0
    _beating: asyncio.Task[None] | None = None

    async def start(self) -> bool:
        """Start the engines and the daemons; return whether all are ready."""
        store = self.case.store
        route = {
            "name": "confirm",
            "prefix": "/confirm/",
            "kind": "non_idempotent",
            "service": "pool",
            "max_attempts": 2,
            "timeout_ms": 3000,
            "goal_ms": 400,
        }
        service = {"name": "pool", "cold_s": COLD_S, "cold_per_s": COLD_PER_S}
        tenant = {"name": kit.TENANT, "api_keys": [kit.KEY], "priority": 1}
        store.put_json(
            "op/config",
            kit.config(3, routes=[route], services=[service], tenants=[tenant]),
        )
        for _ in range(3):
            engine = kit.PlainEngine(work_s=0.09, crash_above=LIMIT)
            self.engines.append(engine)
            await engine.up()
            self._register(engine, cold_left_s=0.0, seq=1)
        for index in range(DAEMONS):
            self.case.add_daemon(index, zone="abc"[index % 3]).start()
        return await self.case.wait_ready()

    def _register(
        self, engine: kit.PlainEngine, *, cold_left_s: float, seq: int
    ) -> None:
        record = kit.server_record(
            "pool",
            engine.address,
            "a",
            cold_left_ms=int(cold_left_s * 1000),
            seq=seq,
            born=engine.born,
        )
        self.case.store.put_json(f"servers/{engine.engine_id}", record)

    async def send_steadily(self, for_s: float, per_s: float) -> None:
        """Send requests to all running daemons in turn."""
        ends = time.monotonic() + for_s
        while time.monotonic() < ends:
            running = [
                each
                for each in self.case.daemons
                if each.process is not None and each.process.poll() is None
            ]
            daemon = running[len(self.tasks) % len(running)]
            coroutine = kit.send(daemon.front, "/confirm/x", deadline_ms=3000)
            self.tasks.append(asyncio.create_task(coroutine))
            await asyncio.sleep(1 / per_s)

    async def go_down(self) -> None:
        """Let the engines crash."""
        for engine in self.engines:
            await engine.down()
            self.case.store.delete(f"servers/{engine.engine_id}")
        self.case.note("the engines of zone a are down")

    async def come_back(self) -> None:
        """Let new incarnations of the engines register as cold."""
        for engine in self.engines:
            await engine.up()
        self.cold_from = time.monotonic()
        for engine in self.engines:
            engine.cold_until = self.cold_from + COLD_S
            self._register(engine, cold_left_s=COLD_S, seq=1)
        self.case.note(f"the engines are back, and cold for {COLD_S} s")
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        seq = 1
        while True:
            await asyncio.sleep(1.2)
            seq += 1
            left_s = max(0.0, self.cold_from + COLD_S - time.monotonic())
            for engine in self.engines:
                if not engine.crashed:
                    self._register(engine, cold_left_s=left_s, seq=seq)

    async def verdict(self, *, calm_before: float) -> int:
        """Wait for all answers, and return the exit code of the case.

        :param calm_before: Clock before which requests have to be served.
        """
        case = self.case
        results = await asyncio.gather(*self.tasks)
        if self._beating is not None:
            self._beating.cancel()
        for result in results:
            case.note(
                f"{result.attempt} sent={result.sent_at - self.cold_from:+.3f}"
                f" status={result.status}"
            )
        broken = False
        for engine in self.engines:
            times = [
                at
                for at, _, _, engine_id in engine.runs
                if engine_id == engine.engine_id
                and self.cold_from <= at < self.cold_from + COLD_S
            ]
            for at in times:
                case.note(f"run at {engine.engine_id} {at - self.cold_from:+.3f}")
            most = most_in_one_second(times)
            broken = broken or most > LIMIT
            case.note(
                f"cold engine {engine.engine_id}: {len(times)} requests in {COLD_S} s,"
                f" at most {most} in one second; {LIMIT:g} are allowed"
                + ("; it crashed" if engine.crashed else "")
            )
        before = [each for each in results if each.sent_at < calm_before]
        served = sum(each.status == 200 for each in before)
        ran = {attempt for engine in self.engines for _, attempt, _, _ in engine.runs}
        lost = [
            each
            for each in results
            if each.sent_at >= self.cold_from
            and each.status != 200
            and each.attempt in ran
        ]
        case.note(
            f"{len(results)} requests; {served} of {len(before)} before the trouble"
            f" served; {len(lost)} were accepted by a cold engine and have no answer"
            " of it"
        )
        if served < len(before) * 0.9:
            return kit.NOT_RUN
        return kit.BROKEN if broken else kit.HELD
