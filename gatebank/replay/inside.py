"""Invocations into a marshal of this process, without customers' sockets: the same exchange, the same brain.

The marshal is made of the service's own parts, but for the listener, and it sends no words to peers: it is
not one of the fleet's marshals. Nodes that the capture shows in service are left out of the roll.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Collection

from gatebank.events import Endpoint
from gatebank.proxy.clock import Clock
from gatebank.proxy.configuration import Configuration
from gatebank.proxy.control_plane import ControlPlaneWatches, read_initial_knowledge
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.log import say
from gatebank.proxy.messages import CommandError, request_classes_by_name, tenants_by_name
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.requests import RequestInFlight
from gatebank.proxy.resp2.commands import parse_request
from gatebank.proxy.service import RESERVED_DESCRIPTORS
from gatebank.proxy.supervisor import run_forever
from gatebank.proxy.upstream import Upstream
from gatebank.replay.guard import written
from gatebank.replay.player import Play, Player

SWEEP = 1.0  # s between looks for idle connections, as the service does


class Place:
    """Stands where a customer's slot does: takes the one final answer."""

    __slots__ = ("front", "play", "request")

    def __init__(self, front: Inside, play: Play) -> None:
        self.front, self.play = front, play
        self.request: RequestInFlight | None = None

    def serve(self, value: memoryview) -> None:
        self.front.answered(self.play, "satisfied")

    def reject(self, retry_after: float | None) -> None:
        self.front.answered(self.play, "rejected", retry_after)

    def fail(self, reason: str) -> None:
        self.front.answered(self.play, "broken_off")


class Rehearsing(Dispatcher):
    """The exchange, but for nodes in service: these it never hears of."""

    live: Collection[str] = ()
    left_out = 0

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        def serves(entry: Endpoint) -> bool:
            return written(self.registry.addresses[entry.index]) in self.live

        fit = [entry for entry in endpoints if not serves(entry)]
        if len(fit) < len(endpoints):
            self.left_out += len(endpoints) - len(fit)
            say("live_nodes_left_out", nodes=len(endpoints) - len(fit))
        super().on_endpoint_list(fit, is_complete)


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
        self.nodes = exchange.upstream = Upstream(
            settings, (posting.descriptors - RESERVED_DESCRIPTORS) // 2, posting.bounds.buffers
        )
        self.workloads = request_classes_by_name(settings)
        self.customers = tenants_by_name(settings)
        patience = settings.release.vote_timeout
        self.desk = exchange.release_service = ReleaseService(
            posting.release_service,
            register,
            patience,
            clock,
            exchange.on_release_status,
            request_classes=self.workloads,
        )
        known, version, news = read_initial_knowledge(posting, register)
        exchange.start(known, news)
        self.following = ControlPlaneWatches(exchange, register, self.desk)
        self.following.move(posting, version)
        self.sweeper = asyncio.ensure_future(run_forever("sweep", self.sweep))

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.nodes.sweep()

    async def ready(self, patience: float = 10.0) -> bool:
        """Once it knows a node that it may send to."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience):
                while not self.exchange.fleet.endpoints:
                    await asyncio.sleep(0.01)
        return bool(self.exchange.fleet.endpoints)

    def send(self, play: Play) -> None:
        place = Place(self, play)
        try:
            asked = parse_request([memoryview(word) for word in play.words], self.workloads, self.customers)
        except CommandError as trouble:
            self.player.report.counts["senseless"] += 1
            say("senseless", why=trouble)
            self.player.ended(play, "never_sent")
            return
        self.places[play] = place
        try:
            self.exchange.start_request(asked, place)
        except CommandError:  # the id is in hand, which ours never are
            self.places.pop(play, None)
            self.player.ended(play, "never_sent")

    def answered(self, play: Play, how: str, back_in: float | None = None) -> None:
        self.places.pop(play, None)
        self.player.ended(play, how, back_in)

    def give_up(self, play: Play) -> None:
        """As a customer that closes its connection."""
        place = self.places.pop(play, None)
        if place and place.request and not place.request.answered:
            self.exchange.forget(place.request, "left")

    def close(self) -> None:
        self.sweeper.cancel()
        self.following.close()
        self.nodes.close()
        self.desk.close()
