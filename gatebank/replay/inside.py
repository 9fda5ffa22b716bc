"""Invocations into a marshal of this process, without customers' sockets: the same exchange, the same brain.

The marshal is made of the service's own parts, but for the listener, and it sends no words to peers: it is
not one of the fleet's marshals. Nodes that the capture shows in service are left out of the roll.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Collection

from gatebank.events import Endpoint
from gatebank.proxy.configuration import Configuration
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Clock, Dispatcher, RequestInFlight
from gatebank.proxy.downstream import ClientRequest, CommandError
from gatebank.proxy.log import say
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.service import ALSO, ControlPlaneWatches, at_start, kept
from gatebank.proxy.upstream import Nodes
from gatebank.replay.guard import written
from gatebank.replay.player import Play, Player

SWEEP = 1.0  # s between looks for idle connections, as the service does


class Place:
    """Stands where a customer's slot does: takes the one final answer."""

    __slots__ = ("front", "held", "play")

    def __init__(self, front: Inside, play: Play) -> None:
        self.front, self.play = front, play
        self.held: RequestInFlight | None = None

    def satisfied(self, value: memoryview) -> None:
        self.front.answered(self.play, "satisfied")

    def rejected(self, back_in: float | None) -> None:
        self.front.answered(self.play, "rejected", back_in)

    def broken_off(self, why: str) -> None:
        self.front.answered(self.play, "broken_off")


class Rehearsing(Dispatcher):
    """The exchange, but for nodes in service: these it never hears of."""

    live: Collection[str] = ()
    left_out = 0

    def rolled(self, entries: list[Endpoint], whole: bool) -> None:
        def serves(entry: Endpoint) -> bool:
            return written(self.register.addresses[entry.index]) in self.live

        fit = [entry for entry in entries if not serves(entry)]
        if len(fit) < len(entries):
            self.left_out += len(entries) - len(fit)
            say("live_nodes_left_out", nodes=len(entries) - len(fit))
        super().rolled(fit, whole)


class Inside:
    """The front: owns the marshal's parts, and gives them back in `close`."""

    def __init__(self, player: Player, posting: Configuration, live: Collection[str]) -> None:
        self.player = player
        self.places: dict[Play, Place] = {}  # each goes with its answer
        settings, clock = posting.settings, Clock()
        register = EndpointRegistry(settings)
        self.exchange = exchange = Rehearsing(
            settings, posting.seed, clock, register, posting.bounds.commands
        )
        exchange.live = live
        self.nodes = exchange.nodes = Nodes(
            settings, (posting.descriptors - ALSO) // 2, posting.bounds.buffers
        )
        self.workloads = {
            each.name: (i, each.retry_safety) for i, each in enumerate(settings.request_classes)
        }
        self.customers = {each.name: i for i, each in enumerate(settings.tenants)}
        kinds = {name: index for name, (index, _) in self.workloads.items()}
        patience = settings.release.vote_timeout
        self.desk = exchange.desk = ReleaseService(
            posting.desk, register, patience, clock, exchange.told, kinds
        )
        known, version, news = at_start(posting, register)
        exchange.start(known, news)
        self.following = ControlPlaneWatches(exchange, register, self.desk)
        self.following.move(posting, version)
        self.sweeper = asyncio.ensure_future(kept("sweep", self.sweep))

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.nodes.sweep()

    async def ready(self, patience: float = 10.0) -> bool:
        """Once it knows a node that it may send to."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience):
                while not self.exchange.entries:
                    await asyncio.sleep(0.01)
        return bool(self.exchange.entries)

    def send(self, play: Play) -> None:
        place = Place(self, play)
        try:
            asked = ClientRequest([memoryview(word) for word in play.words], self.workloads, self.customers)
        except CommandError as trouble:
            self.player.report.counts["senseless"] += 1
            say("senseless", why=trouble)
            self.player.ended(play, "never_sent")
            return
        self.places[play] = place
        try:
            self.exchange.invoked(asked, place)  # type: ignore[arg-type]
        except CommandError:  # the id is in hand, which ours never are
            self.places.pop(play, None)
            self.player.ended(play, "never_sent")

    def answered(self, play: Play, how: str, back_in: float | None = None) -> None:
        self.places.pop(play, None)
        self.player.ended(play, how, back_in)

    def give_up(self, play: Play) -> None:
        """As a customer that closes its connection."""
        place = self.places.pop(play, None)
        if place and place.held and not place.held.answered:
            self.exchange.forget(place.held, "left")

    def close(self) -> None:
        self.sweeper.cancel()
        self.following.close()
        self.nodes.close()
        self.desk.close()
