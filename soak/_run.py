"""Runs one seed: start, faults, recovery and checks."""

import tempfile
import time
from pathlib import Path
from random import Random

import trio

from ._callers import AttemptResult, CallerPool
from ._checks import check_attempts, check_limits
from ._deployment import Deployment
from ._faults import FaultInjector
from ._report import SeedOutcome

#: Longest time until all daemons are registered, in seconds.
_START_TIMEOUT_S = 15.0
#: Longest time from the last fault until service has recovered, in seconds.
_RECOVERY_LIMIT_S = 12.0
#: Service has recovered if this fraction of so many consecutive attempts is answered.
_RECOVERED_ATTEMPTS = 40
_RECOVERED_FRACTION = 0.9


def run_seed(
    seed: int, *, seconds: float, daemons: int, callers: int, folder: Path | None = None
) -> SeedOutcome:
    """Run one seed.

    :param seconds: Duration of the fault injection.
    :param daemons: Number of daemon processes.
    :param callers: Number of concurrent callers.
    :param folder: Folder for settings and logs; temporary by default.
    """
    if folder is None:
        with tempfile.TemporaryDirectory(prefix="galenashift-soak-") as temporary:
            path = Path(temporary)
            return trio.run(_run, seed, seconds, daemons, callers, path)
    folder.mkdir(parents=True, exist_ok=True)
    return trio.run(_run, seed, seconds, daemons, callers, folder)


async def _run(
    seed: int, seconds: float, daemons: int, callers: int, folder: Path
) -> SeedOutcome:
    random = Random(seed)
    start_s = time.monotonic()

    def clock() -> float:
        return time.monotonic() - start_s

    deployment = Deployment(folder=folder, random=random, clock=clock)
    caller_pool = CallerPool(daemons=deployment.daemons, random=random, clock=clock)
    faults = FaultInjector(
        deployment=deployment,
        random=random,
        limit_random=Random(f"limits of {seed}"),
        clock=clock,
    )
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery, daemons=daemons)
            await wait_registered(deployment, daemons)
            async with trio.open_nursery() as caller_nursery:
                for _ in range(callers):
                    caller_nursery.start_soon(caller_pool.run)
                async with trio.open_nursery() as fault_nursery:
                    fault_nursery.start_soon(faults.run)
                    await trio.sleep(seconds)
                    faults.stopped = True
                recovered = await wait_recovered(caller_pool)
                caller_pool.stopped = True
            nursery.cancel_scope.cancel()
    finally:
        deployment.end()
    violations = check_attempts(caller_pool.attempts, deployment.upstreams)
    violations += check_limits(faults.limits, deployment.upstreams, faults.records)
    violations += faults.violations
    violations += [] if recovered else ["service has not recovered after the faults"]
    violations += find_crashes(folder)
    return SeedOutcome(
        seed=seed,
        seconds=clock(),
        attempts=caller_pool.attempts,
        faults=faults.records,
        violations=violations,
    )


async def wait_registered(deployment: Deployment, daemons: int) -> None:
    """Wait until all daemons are registered."""
    with trio.fail_after(_START_TIMEOUT_S):
        while len(deployment.store.keys("daemons/")) < daemons:
            await trio.sleep(0.05)


async def wait_recovered(caller_pool: CallerPool) -> bool:
    """Wait until most attempts are answered again.

    :returns: Whether service recovered within the limit.
    """
    with trio.move_on_after(_RECOVERY_LIMIT_S):
        while True:
            start_count = len(caller_pool.attempts)
            while len(caller_pool.attempts) < start_count + _RECOVERED_ATTEMPTS:
                await trio.sleep(0.05)
            last_attempts = caller_pool.attempts[-_RECOVERED_ATTEMPTS:]
            answered = sum(
                1 for each in last_attempts if each.ended is AttemptResult.ANSWERED
            )
            if answered >= _RECOVERED_FRACTION * _RECOVERED_ATTEMPTS:
                return True
    return False


def find_crashes(folder: Path) -> list[str]:
    """Return the log lines of daemons that show errors in their own code."""
    crashes = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text("utf-8", errors="replace").splitlines():
            if "connection-crashed" in line or line.startswith("Traceback"):
                crashes.append(f"{path.stem}: {line[:300]}")
    return crashes
