"""One seed from start to verdict."""

import tempfile
import time
from pathlib import Path
from random import Random

import trio

from ._callers import Callers, Ended
from ._checks import check_attempts
from ._deployment import Deployment
from ._faults import Faults
from ._report import Outcome

_START_TIMEOUT_S = 15.0
#: Time after the last fault until service must be whole again, in seconds.
_RECOVERY_S = 12.0
#: Attempts that are looked at after the recovery, and the part that must be answered.
_RECOVERED_ATTEMPTS = 40
_RECOVERED_PART = 0.9


def run_seed(
    seed: int, *, seconds: float, daemons: int, callers: int, folder: Path | None = None
) -> Outcome:
    """Run one seed.

    :param seconds: Time with faults.
    :param daemons: Daemon processes.
    :param callers: Callers at once.
    :param folder: Keeps settings and logs; a temporary one by default.
    """
    if folder is None:
        with tempfile.TemporaryDirectory(prefix="galenashift-soak-") as temporary:
            path = Path(temporary)
            return trio.run(_run, seed, seconds, daemons, callers, path)
    folder.mkdir(parents=True, exist_ok=True)
    return trio.run(_run, seed, seconds, daemons, callers, folder)


async def _run(
    seed: int, seconds: float, daemons: int, callers: int, folder: Path
) -> Outcome:
    random = Random(seed)
    start_s = time.monotonic()

    def clock() -> float:
        return time.monotonic() - start_s

    deployment = Deployment(folder=folder, random=random, clock=clock)
    crowd = Callers(daemons=deployment.daemons, random=random, clock=clock)
    faults = Faults(deployment=deployment, random=random, clock=clock)
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery, daemons=daemons)
            await _wait_registered(deployment, daemons)
            async with trio.open_nursery() as work:
                for _ in range(callers):
                    work.start_soon(crowd.run)
                async with trio.open_nursery() as trouble:
                    trouble.start_soon(faults.run)
                    await trio.sleep(seconds)
                    faults.stopped = True
                recovered = await _recovered(crowd)
                crowd.stopped = True
            nursery.cancel_scope.cancel()
    finally:
        deployment.end()
    violations = check_attempts(crowd.attempts, deployment.upstreams)
    violations += faults.violations
    violations += [] if recovered else ["service is not whole again after the faults"]
    violations += _crashes(folder)
    return Outcome(
        seed=seed,
        seconds=clock(),
        attempts=crowd.attempts,
        faults=faults.records,
        violations=violations,
    )


async def _wait_registered(deployment: Deployment, daemons: int) -> None:
    with trio.fail_after(_START_TIMEOUT_S):
        while len(deployment.store.keys("daemons/")) < daemons:
            await trio.sleep(0.05)


async def _recovered(crowd: Callers) -> bool:
    """Wait until nearly all of the last attempts were answered."""
    with trio.move_on_after(_RECOVERY_S):
        while True:
            seen = len(crowd.attempts)
            while len(crowd.attempts) < seen + _RECOVERED_ATTEMPTS:
                await trio.sleep(0.05)
            last = crowd.attempts[-_RECOVERED_ATTEMPTS:]
            answered = sum(1 for each in last if each.ended is Ended.ANSWERED)
            if answered >= _RECOVERED_PART * _RECOVERED_ATTEMPTS:
                return True
    return False


def _crashes(folder: Path) -> list[str]:
    """List what daemons logged of faults in their own code."""
    found = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text("utf-8", errors="replace").splitlines():
            if "connection-crashed" in line or line.startswith("Traceback"):
                found.append(f"{path.stem}: {line[:300]}")
    return found
