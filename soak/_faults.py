"""Injection of overlapping faults, chosen by a seed."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from random import Random

import trio

from standins._platform_upstream import Kind

from ._deployment import CRASHING_PART, DOMAINS, Deployment

#: Longest duration of one fault, in seconds.
_MAX_FAULT_DURATION_S = 4.0
#: Longest pause between the starts of two faults, in seconds.
_MAX_PAUSE_S = 2.5
#: Least and most requests per second in the limits that upstreams state.
_LIMITS_PER_S = (0.5, 3.0)
#: Shortest and longest time for which an upstream states a limit, in seconds.
_LIMIT_DURATION_S = (6.0, 12.0)
#: Longest time from SIGTERM until a daemon has exited, in seconds.
_TERMINATION_LIMIT_S = 9.0


@dataclass(frozen=True, kw_only=True)
class FaultRecord:
    """A fault with its target and duration."""

    name: str
    target: str
    from_s: float
    to_s: float


@dataclass(frozen=True, kw_only=True)
class LimitRecord:
    """A limit that an upstream stated for some time."""

    upstream: str
    per_s: float
    from_s: float
    to_s: float


class FaultInjector:
    """Injects faults until ``stopped`` is set, and reverts each.

    :param limit_random: Chooses limits. It is a source of its own, so that the other
        faults of a seed stay the same.
    :param clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        random: Random,
        limit_random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._deployment = deployment
        self._random = random
        self._limit_random = limit_random
        self._clock = clock
        self.stopped = False
        self._nursery: trio.Nursery | None = None
        self.records: list[FaultRecord] = []
        self.limits: list[LimitRecord] = []
        #: Violated guarantees that showed when a fault was reverted.
        self.violations: list[str] = []

    async def run(self) -> None:
        """Start faults at random intervals, so that they overlap."""
        faults: list[Callable[[], Awaitable[str]]] = [
            self._kill,
            self._freeze,
            self._terminate,
            self._cut_from_store,
            self._silence_store,
            self._store_busy,
            self._store_loses,
            self._store_slow,
            self._store_forgets,
            self._cut_upstream,
            self._silence_upstream,
            self._slow_upstream,
            self._grey_upstream,
            self._lossy_upstream,
            self._drain_upstream,
            self._evacuate,
            self._configure,
            self._spoil_record,
            self._crashing_part,
        ]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._state_limits)
            while not self.stopped:
                nursery.start_soon(self._inject, self._random.choice(faults))
                await trio.sleep(self._random.uniform(0.2, _MAX_PAUSE_S))

    async def _state_limits(self) -> None:
        """Let one upstream after the other state a limit in its answers."""
        upstreams = [
            each for each in self._deployment.upstreams if each.kind is not Kind.STREAM
        ]
        while not self.stopped:
            upstream = self._limit_random.choice(upstreams)
            per_s = round(self._limit_random.uniform(*_LIMITS_PER_S), 2)
            from_s = self._clock()
            to_s = from_s + self._limit_random.uniform(*_LIMIT_DURATION_S)
            upstream.stated_limit = f"{per_s}"
            while self._clock() < to_s and not self.stopped:
                await trio.sleep(0.1)
            upstream.stated_limit = None
            self.limits.append(
                LimitRecord(
                    upstream=upstream.name,
                    per_s=per_s,
                    from_s=from_s,
                    to_s=self._clock(),
                )
            )

    async def _inject(self, kind: Callable[[], Awaitable[str]]) -> None:
        from_s = self._clock()
        target = await kind()
        self.records.append(
            FaultRecord(
                name=getattr(kind, "__name__", "").removeprefix("_"),
                target=target,
                from_s=from_s,
                to_s=self._clock(),
            )
        )

    async def _wait_fault_duration(self) -> None:
        await trio.sleep(self._random.uniform(0.3, _MAX_FAULT_DURATION_S))

    async def _kill(self) -> str:
        daemon = self._random.choice(self._deployment.daemons)
        daemon.send_signal(signal.SIGKILL)
        await trio.sleep(self._random.uniform(0.1, 1.0))
        daemon.start()
        return daemon.name

    async def _freeze(self) -> str:
        daemon = self._random.choice(self._deployment.daemons)
        daemon.send_signal(signal.SIGSTOP)
        await self._wait_fault_duration()
        daemon.send_signal(signal.SIGCONT)
        return daemon.name

    async def _terminate(self) -> str:
        daemon = self._random.choice(self._deployment.daemons)
        process = daemon.process
        daemon.send_signal(signal.SIGTERM)
        daemon.send_signal(signal.SIGCONT)
        with trio.move_on_after(_TERMINATION_LIMIT_S):
            while process is not None and process.poll() is None:
                await trio.sleep(0.05)
        if process is not None and process.poll() is None:
            daemon.send_signal(signal.SIGKILL)
        elif process is not None and process.returncode not in {0, -9, -15}:
            self.violations.append(
                f"{daemon.name} ended with {process.returncode} after SIGTERM"
            )
        daemon.start()
        return daemon.name

    async def _cut_from_store(self) -> str:
        daemon = self._random.choice(self._deployment.daemons)
        daemon.store_forwarder.cut()
        await self._wait_fault_duration()
        daemon.store_forwarder.restore()
        return daemon.name

    async def _silence_store(self) -> str:
        daemon = self._random.choice(self._deployment.daemons)
        daemon.store_forwarder.silence()
        await self._wait_fault_duration()
        daemon.store_forwarder.restore()
        return daemon.name

    async def _store_busy(self) -> str:
        self._deployment.store.unavailable = True
        await self._wait_fault_duration()
        self._deployment.store.unavailable = False
        return "store"

    async def _store_loses(self) -> str:
        self._deployment.store.lose_write_answers = True
        await self._wait_fault_duration()
        self._deployment.store.lose_write_answers = False
        return "store"

    async def _store_slow(self) -> str:
        self._deployment.store.delay_s = 0.2
        await self._wait_fault_duration()
        self._deployment.store.delay_s = 0.0
        return "store"

    async def _store_forgets(self) -> str:
        self._deployment.store.compact_history()
        return "store"

    async def _cut_upstream(self) -> str:
        name, forwarder = self._random.choice(
            [*self._deployment.forwarders_by_upstream.items()]
        )
        forwarder.cut()
        await self._wait_fault_duration()
        forwarder.restore()
        return name

    async def _silence_upstream(self) -> str:
        name, forwarder = self._random.choice(
            [*self._deployment.forwarders_by_upstream.items()]
        )
        forwarder.silence_open()
        return name

    async def _slow_upstream(self) -> str:
        upstream = self._random.choice(self._deployment.upstreams)
        upstream.slow_factor = 6.0
        await self._wait_fault_duration()
        upstream.slow_factor = 1.0
        return upstream.name

    async def _grey_upstream(self) -> str:
        upstream = self._random.choice(self._deployment.upstreams)
        upstream.failure_probability = 0.4
        await self._wait_fault_duration()
        upstream.failure_probability = 0.0
        return upstream.name

    async def _lossy_upstream(self) -> str:
        upstream = self._random.choice(self._deployment.upstreams)
        upstream.answer_loss_probability = upstream.stream_break_probability = 0.3
        await self._wait_fault_duration()
        upstream.answer_loss_probability = upstream.stream_break_probability = 0.0
        return upstream.name

    async def _drain_upstream(self) -> str:
        upstream = self._random.choice(self._deployment.upstreams)
        self._deployment.register(upstream, state="draining")
        await self._wait_fault_duration()
        self._deployment.store.delete(f"servers/{upstream.name}")
        await self._wait_fault_duration()
        self._deployment.register(upstream)
        return upstream.name

    async def _evacuate(self) -> str:
        domain = self._random.choice(DOMAINS)
        self._deployment.store.put(f"op/evacuate/{domain}", {})
        await self._wait_fault_duration()
        self._deployment.store.delete(f"op/evacuate/{domain}")
        return domain

    async def _configure(self) -> str:
        for _ in range(self._random.randint(1, 4)):
            self._deployment.write_config()
        return "config"

    async def _spoil_record(self) -> str:
        self._deployment.store.put("servers/unreadable", {"service": 7})
        await self._wait_fault_duration()
        self._deployment.store.delete("servers/unreadable")
        return "store"

    async def _crashing_part(self) -> str:
        """Let one prompt part crash the model upstreams."""
        assert self._nursery is not None
        deployment = self._deployment
        models = [each for each in deployment.upstreams if each.kind is Kind.STREAM]
        for upstream in models:
            upstream.crashing_part = CRASHING_PART
            upstream.on_crash = partial(
                self._nursery.start_soon, deployment.restart, upstream
            )
        await self._wait_fault_duration()
        for upstream in models:
            upstream.crashing_part = None
        return CRASHING_PART
