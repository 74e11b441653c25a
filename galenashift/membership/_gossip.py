"""Gossip task: exchanges with peers, and answers to their gossip."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Protocol

import trio

from galenashift.model import (
    DaemonId,
    Failure,
    FleetEvent,
    GossipMessage,
    LoadReport,
    PeerCalls,
)

from ._view import FleetView

#: Time between the starts of two exchanges, in seconds.
GOSSIP_INTERVAL_S = 0.5
#: One in this many exchanges is with a daemon of another failure domain.
_OTHER_DOMAIN_EVERY = 4
#: One in this many exchanges is with any known daemon, dead ones included, so that
#: the two sides of a partition reconnect when it ends.
_ANY_KNOWN_EVERY = 8
#: Expired members, events and reports are removed once in this many exchanges.
_CLEANUP_EVERY = 20


class ConfigSink(Protocol):
    """Receiver of configurations fetched from peers."""

    def adopt_json(self, text: bytes) -> bool:
        """Validate and adopt a versioned configuration given as JSON text.

        Implementations also call `FleetView.adopt`.

        :returns: Whether the text was valid; a lower version is valid but ignored.
        """


class GossipLoop:
    """Exchanges one message with a peer every 0.5 s.

    :param view: This daemon's view of the fleet.
    :param calls: Calls to peers.
    :param config: Receives a newer configuration fetched from a peer.
    :param on_event: Called once for each new event.
    :param on_report: Called for each load report that a peer forwards, with
        ``as_of_s`` on this daemon's clock.
    :param random: Random source for the choice of peers.
    :param clock: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        calls: PeerCalls,
        config: ConfigSink,
        on_event: Callable[[FleetEvent], None],
        on_report: Callable[[LoadReport], object],
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._calls = calls
        self._config = config
        self._on_event = on_event
        self._on_report = on_report
        self._random = random
        self._clock = clock
        self._round = 0

    async def run(self) -> None:
        """Gossip until cancelled.

        An exchange with an unresponsive peer does not delay the next one. The call
        timeout bounds how many exchanges run concurrently.
        """
        async with trio.open_nursery() as nursery:
            while True:
                self._view.record_round(now_s=self._clock())
                nursery.start_soon(self.exchange)
                await trio.sleep(GOSSIP_INTERVAL_S)

    async def exchange(self) -> None:
        """Exchange one message with a peer."""
        peer = self._choose_peer()
        if peer is None:
            return
        sent_at_s = self._clock()
        message = self._view.build_message(now_s=sent_at_s)
        answer = await self._calls.gossip(daemon=peer, message=message)
        if isinstance(answer, Failure):
            return
        if answer.config_version > self._view.config_version:
            text = await self._calls.fetch_config(daemon=peer)
            if not isinstance(text, Failure):
                self._config.adopt_json(text)
        self._merge(answer, as_of_s=sent_at_s, is_answer=True)

    async def answer(
        self, *, caller: DaemonId, message: GossipMessage
    ) -> GossipMessage:
        """Merge a peer's gossip message and return this daemon's message.

        :param caller: Authenticated identity of the peer.
        :param message: The peer's message.
        """
        now_s = self._clock()
        self._merge(message, as_of_s=now_s, is_answer=False)
        return self._view.build_message(now_s=now_s)

    def receive_event(self, *, event: FleetEvent) -> None:
        """Handle an event pushed by a peer, unless it was received before.

        :param event: Event with its age.
        """
        if self._view.record_event(event=event, as_of_s=self._clock()):
            self._on_event(event)

    def _merge(
        self, message: GossipMessage, *, as_of_s: float, is_answer: bool
    ) -> None:
        events = self._view.merge_message(
            message=message, as_of_s=as_of_s, is_answer=is_answer
        )
        for event in events:
            self._on_event(event)
        for report in message.reports:
            self._on_report(replace(report, as_of_s=as_of_s - report.as_of_s))

    def _choose_peer(self) -> DaemonId | None:
        self._round += 1
        now_s = self._clock()
        if self._round % _CLEANUP_EVERY == 0:
            self._view.remove_expired(now_s=now_s)
        self_id = self._view.self_id
        alive = [each for each in self._view.alive(now_s=now_s) if each != self_id]
        candidates = alive
        if not alive or self._round % _ANY_KNOWN_EVERY == 1:
            known = [each for each in self._view.registrations_by_id if each != self_id]
            candidates = known or alive
        elif self._round % _OTHER_DOMAIN_EVERY == 0:
            own = self._view.failure_domain
            others = [
                each for each in alive if self._view.failure_domain_of(each) != own
            ]
            candidates = others or alive
        return self._random.choice(candidates) if candidates else None
