"""Effect of spreading prompt prefixes, with the product's router in virtual time.

The routers of all daemons choose upstreams for streams with prompt prefixes. Upstreams
have slots and a queue, and read a prefix again that they have not had for some time.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate
from random import Random

import click

from galenashift.gateway._request_spread import RequestSpread
from galenashift.gateway._router import Choice, Router
from galenashift.gateway._upstream_registry import KnownUpstream
from galenashift.model import (
    DaemonId,
    FailureDomainName,
    InstanceState,
    RegisteredUpstream,
    ServiceName,
    UpstreamId,
    UpstreamLoad,
)
from galenashift.platform import Address, PeerAddress

from ._gateway_router import new_router

_SERVICE = ServiceName("pool")
_DOMAINS = [FailureDomainName(each) for each in "abc"]
_PREFIXES = 200
#: Duration of a stream, in seconds, and its bounds relative to it.
_DURATION_S = 2.0
_DURATION_RANGE = (0.3, 1.7)
#: Time to the first event, and the time to read a prefix, in seconds.
_FIRST_EVENT_S = 0.1
_PREFIX_READ_S = 0.03
#: Time for which an upstream keeps a prefix without requests, and a daemon an idle
#: connection, in seconds.
_KEPT_S = 10.0
_WARM_UP_S = 60.0
_MEASURED_S = 60.0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A deployment and its traffic."""

    daemons: int
    upstreams: int
    slots: int
    rate_per_s: float
    #: Share of the hottest prefix; the others have the same rate.
    hot_share: float
    #: Whether it becomes hot only when the measurement begins.
    rises: bool = False


@dataclass(kw_only=True)
class _Upstream:
    known: KnownUpstream
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    used_at_s: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class Figures:
    """What a run has measured."""

    requests: int = 0
    waited: int = 0
    wait_s: float = 0.0
    reread: int = 0
    between_domains: int = 0
    connections: int = 0
    peak: int = 0


class _Simulation:
    def __init__(self, scenario: Scenario, *, spreads: bool, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now_s = 0.0
        self.figures = Figures()
        self.upstreams = {
            each.registration.upstream_id: _Upstream(known=each)
            for each in map(self._known, range(scenario.upstreams))
        }
        self.candidates = tuple(each.known for each in self.upstreams.values())
        self.routers = [
            self._router(number, spreads=spreads) for number in range(scenario.daemons)
        ]
        rest = (1 - scenario.hot_share) / (_PREFIXES - 1)
        weights = [scenario.hot_share] + [rest] * (_PREFIXES - 1)
        self._cumulative = list(accumulate(weights))
        self._used_at_s: dict[tuple[int, UpstreamId], float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def _known(self, number: int) -> KnownUpstream:
        registration = RegisteredUpstream(
            upstream_id=UpstreamId(f"u{number}"),
            service=_SERVICE,
            host="127.0.0.1",
            port=1,
            failure_domain=_DOMAINS[number % len(_DOMAINS)],
            state=InstanceState.READY,
            slots=self.scenario.slots,
            cold_left_s=0.0,
        )
        return KnownUpstream(
            registration=registration, received_at_s=0.0, cold_until_s=0.0
        )

    def _router(self, number: int, *, spreads: bool) -> Router:
        daemon_id = DaemonId(f"d{number}")
        domain = _DOMAINS[number % len(_DOMAINS)]
        spread = None
        if spreads:
            spread = RequestSpread(failure_domain=domain, random=self.random)
            spread.set_daemons(
                PeerAddress(
                    address=Address(host="127.0.0.1", port=1),
                    capacity=1.0,
                    failure_domain=_DOMAINS[each % len(_DOMAINS)],
                )
                for each in range(self.scenario.daemons)
            )
        return new_router(
            daemon_id=daemon_id,
            failure_domain=domain,
            spread=spread,
            random=self.random,
            limits_random=self.random,
            clock=lambda: self.now_s,
        )

    def run(self) -> Figures:
        self._after(0.0, self._arrive)
        while self.now_s < _WARM_UP_S + _MEASURED_S:
            self.now_s, _, action = heappop(self._events)
            action()
        return self.figures

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heappush(self._events, (self.now_s + delay_s, self._number, action))

    def _arrive(self) -> None:
        rate_per_s = self.scenario.rate_per_s
        self._after(self.random.expovariate(rate_per_s), self._arrive)
        hot = not self.scenario.rises or self.now_s >= _WARM_UP_S
        (number,) = self.random.choices(
            range(_PREFIXES), cum_weights=self._cumulative if hot else None
        )
        daemon = self.random.randrange(self.scenario.daemons)
        self._send(daemon, f"p{number}", self.now_s)

    def _send(self, daemon: int, key: str, arrived_s: float) -> None:
        router = self.routers[daemon]
        choice = router.choose(
            candidates=self.candidates,
            excluded=(),
            prefix_key=key,
            daemon_count=self.scenario.daemons,
            now_s=self.now_s,
        )
        if choice is None:
            self._after(0.02, partial(self._send, daemon, key, arrived_s))
            return
        upstream_id = choice.upstream.registration.upstream_id
        router.health.record_of(upstream_id).in_flight += 1
        router.begin_request(choice, now_s=self.now_s)
        self._count_send(daemon, router, choice)
        start = partial(self._start, daemon, key, choice, self.now_s, arrived_s)
        upstream = self.upstreams[upstream_id]
        if upstream.running < self.scenario.slots:
            start()
        else:
            upstream.queue.append(start)

    def _start(
        self, daemon: int, key: str, choice: Choice, sent_s: float, arrived_s: float
    ) -> None:
        upstream = self.upstreams[choice.upstream.registration.upstream_id]
        upstream.running += 1
        used_at_s = upstream.used_at_s.get(key)
        reread = used_at_s is None or self.now_s - used_at_s > _KEPT_S
        upstream.used_at_s[key] = self.now_s
        self._count_start(upstream, arrived_s, reread=reread)
        first_s = _FIRST_EVENT_S + _PREFIX_READ_S * reread
        duration_s = _DURATION_S * self.random.uniform(*_DURATION_RANGE)
        self._after(first_s, partial(self._head, daemon, choice))
        latency_s = self.now_s + first_s - sent_s
        self._after(
            first_s + duration_s, partial(self._end, daemon, choice, sent_s, latency_s)
        )

    def _head(self, daemon: int, choice: Choice) -> None:
        spread = self.routers[daemon].spread
        registration = choice.upstream.registration
        upstream = self.upstreams[registration.upstream_id]
        if spread is not None:
            load = UpstreamLoad(
                running=upstream.running,
                waiting=len(upstream.queue),
                slots=self.scenario.slots,
            )
            spread.record_load(registration, load, now_s=self.now_s)

    def _end(
        self, daemon: int, choice: Choice, sent_s: float, latency_s: float
    ) -> None:
        router = self.routers[daemon]
        upstream_id = choice.upstream.registration.upstream_id
        router.health.record_of(upstream_id).in_flight -= 1
        router.end_request(choice, duration_s=self.now_s - sent_s)
        router.health.record_answer(upstream_id, latency_s=latency_s, now_s=self.now_s)
        self._used_at_s[daemon, upstream_id] = self.now_s
        upstream = self.upstreams[upstream_id]
        upstream.running -= 1
        if upstream.queue:
            upstream.queue.popleft()()

    def _count_send(self, daemon: int, router: Router, choice: Choice) -> None:
        registration = choice.upstream.registration
        used_at_s = self._used_at_s.get((daemon, registration.upstream_id))
        if self.now_s < _WARM_UP_S:
            return
        self.figures.between_domains += (
            registration.failure_domain != router.failure_domain
        )
        # Requests that overlap at the same upstream count as one connection.
        self.figures.connections += (
            used_at_s is None or self.now_s - used_at_s > _KEPT_S
        )

    def _count_start(
        self, upstream: _Upstream, arrived_s: float, *, reread: bool
    ) -> None:
        if self.now_s < _WARM_UP_S:
            return
        figures = self.figures
        wait_s = self.now_s - arrived_s
        figures.requests += 1
        figures.waited += wait_s > 0
        figures.wait_s += wait_s
        figures.reread += reread
        figures.peak = max(figures.peak, upstream.running + len(upstream.queue))


def simulate(scenario: Scenario, *, spreads: bool, seed: int) -> Figures:
    """Run one scenario with the fixed rule, or with spreading."""
    return _Simulation(scenario, spreads=spreads, seed=seed).run()


_SCENARIOS = {
    "1, even": Scenario(
        daemons=77, upstreams=30, slots=64, rate_per_s=42.0, hot_share=0.005
    ),
    "1, burst, half hot": Scenario(
        daemons=77, upstreams=30, slots=64, rate_per_s=105.0, hot_share=0.5
    ),
    "2, even": Scenario(
        daemons=79, upstreams=45, slots=32, rate_per_s=159.0, hot_share=0.005
    ),
    "2, a fifth hot": Scenario(
        daemons=79, upstreams=45, slots=32, rate_per_s=159.0, hot_share=0.2
    ),
    "2, burst, even": Scenario(
        daemons=79, upstreams=45, slots=32, rate_per_s=396.0, hot_share=0.005
    ),
    "2, burst, half hot": Scenario(
        daemons=79, upstreams=45, slots=32, rate_per_s=396.0, hot_share=0.5
    ),
}

_SCENARIOS["1, burst, rising"] = replace(_SCENARIOS["1, burst, half hot"], rises=True)
_SCENARIOS["2, burst, rising"] = replace(_SCENARIOS["2, burst, half hot"], rises=True)


@click.command()
@click.option("--scenario", "names", multiple=True, help="Only these scenarios.")
@click.option("--seed", default=1, help="Seed of the random numbers.")
def main(names: tuple[str, ...], seed: int) -> None:
    """Print waits, rereads, requests between domains and connections."""
    for name in names or _SCENARIOS:
        scenario = _SCENARIOS[name]
        for spreads in (False, True):
            figures = simulate(scenario, spreads=spreads, seed=seed)
            count = figures.requests
            click.echo(
                f"scenario={name!r} spreads={spreads} requests={count} "
                f"waited={figures.waited / count:.3f} "
                f"mean_wait_ms={1000 * figures.wait_s / count:.0f} "
                f"reread={figures.reread / count:.3f} "
                f"between_domains={figures.between_domains / count:.3f} "
                f"connections={figures.connections / count:.3f} "
                f"peak={figures.peak}"
            )


if __name__ == "__main__":
    main()
