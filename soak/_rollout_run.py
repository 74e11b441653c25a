"""Runs the rollouts of one seed, and checks them."""

import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random

import trio

from standins._platform_upstream import Arrival

from ._callers import Attempt, CallerPool
from ._checks import check_attempts
from ._deployment import Deployment
from ._report import SeedOutcome
from ._rollout_checks import SentToVersion, check_rollouts
from ._rollout_driver import RolloutDriver
from ._rollout_plan import ROUTES_BY_SERVICE, plan_rollouts
from ._run import find_crashes, wait_recovered, wait_registered
from ._send_times import Send, match_sends, read_send_times

#: Concurrent callers, and those where the requests have stages.
_CALLERS = 10
_STAGED_CALLERS = 5
#: Time for which callers send before versions are started, in seconds.
_WARM_UP_S = 1.0


def run_rollout_seed(
    seed: int, *, daemons: int, folder: Path | None = None
) -> SeedOutcome:
    """Run the rollouts of a seed.

    :param daemons: Number of daemon processes.
    :param folder: Folder for settings and logs; temporary by default.
    """
    if folder is None:
        with tempfile.TemporaryDirectory(prefix="galenashift-soak-") as temporary:
            return trio.run(_run, seed, daemons, Path(temporary))
    folder.mkdir(parents=True, exist_ok=True)
    return trio.run(_run, seed, daemons, folder)


async def _run(seed: int, daemons: int, folder: Path) -> SeedOutcome:
    plan = plan_rollouts(seed)
    random = Random(seed)
    start_s = time.monotonic()
    started_at = time.time()

    def clock() -> float:
        return time.monotonic() - start_s

    deployment = Deployment(folder=folder, random=random, clock=clock, rollouts=True)
    pool = CallerPool(
        daemons=deployment.daemons,
        random=random,
        clock=clock,
        routes=ROUTES_BY_SERVICE[plan.service],
    )
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery, daemons=daemons)
            await wait_registered(deployment, daemons)
            driver = RolloutDriver(
                deployment=deployment, plan=plan, nursery=nursery, clock=clock
            )
            callers = _STAGED_CALLERS if plan.service == "stage" else _CALLERS
            async with trio.open_nursery() as caller_nursery:
                for _ in range(callers):
                    caller_nursery.start_soon(pool.run)
                await trio.sleep(_WARM_UP_S)
                await driver.run()
                recovered = await wait_recovered(pool)
                pool.stopped = True
            nursery.cancel_scope.cancel()
    finally:
        deployment.end()
    violations = check_attempts(pool.attempts, deployment.upstreams)
    sends = read_send_times(folder.glob("*.log"), clock_started_s=started_at)
    sent = _find_sent(deployment, plan.service, pool.attempts, sends)
    violations += check_rollouts(
        driver.results,
        sent,
        driver.contact_losses,
        first_version="v1",
        is_undisturbed=not plan.faults and len(plan.orders) == 1,
    )
    violations += [] if recovered else ["service has not recovered after the orders"]
    violations += find_crashes(folder)
    versions = {each.version.name: each.version.quality for each in plan.orders}
    return SeedOutcome(
        seed=seed,
        seconds=clock(),
        attempts=pool.attempts,
        faults=driver.records,
        violations=violations,
        notes=[
            f"{plan.service} {each.version} ({versions[each.version].value}):"
            f" {each.state.value if each.state else 'no status'}"
            f"{' and replaced' if each.replaced_at_s else ''},"
            f" {sum(one.version == each.version for one in sent)} of {len(sent)}"
            f" requests, {len(each.bad_at_s)} bad"
            for each in driver.results
        ],
    )


def _find_sent(
    deployment: Deployment,
    service: str,
    attempts: Sequence[Attempt],
    sends: Mapping[tuple[frozenset[str], str], Sequence[Send]],
) -> list[SentToVersion]:
    """Return all requests that reached a service, in no order.

    Results of a version that was rolled back are still freed.
    """
    daemon_by_attempt = {each.attempt_id: each.daemon for each in attempts}
    found = []
    for upstream in deployment.upstreams:
        if upstream.service != service:
            continue
        arrivals_by_attempts: dict[frozenset[str], list[Arrival]] = {}
        for arrival in upstream.arrivals:
            if not arrival.is_free_call:
                ids = frozenset(arrival.piece_ids or (arrival.attempt_id or "",))
                arrivals_by_attempts.setdefault(ids, []).append(arrival)
        for ids, arrivals in arrivals_by_attempts.items():
            matched = match_sends(
                [each.at_s for each in arrivals], sends.get((ids, upstream.name), ())
            )
            for arrival, send in zip(arrivals, matched, strict=True):
                caller_daemon = daemon_by_attempt.get(arrival.attempt_id or "")
                found.append(
                    SentToVersion(
                        version=upstream.version,
                        arrived_at_s=arrival.at_s,
                        sent_at_s=arrival.at_s if send is None else send.at_s,
                        daemon=caller_daemon if send is None else send.daemon,
                    )
                )
    return found
