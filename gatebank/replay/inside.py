"""Requests into an instance in this process, without clients' sockets: the same dispatcher, the same policy.

The instance is made of the service's own parts, but for the listener, and it sends no messages to peers: it
is not one of the fleet's instances. Endpoints that the capture shows in service are left out of its endpoint
list.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from gatebank.capture.records import Exchange
from gatebank.events import Endpoint
from gatebank.proxy.configuration import Configuration
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Clock, Dispatcher, RequestInFlight
from gatebank.proxy.downstream import ClientRequest, CommandError
from gatebank.proxy.log import say
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.service import ALSO, ControlPlaneWatches, at_start, kept
from gatebank.proxy.upstream import Nodes
from gatebank.replay.guard import address_text
from gatebank.replay.player import Player
from gatebank.replay.requests import ReplayedRequest, ReplayOutcome

SWEEP_INTERVAL = 1.0  # s between looks for idle connections, as in the service
READY_POLL = 0.01  # s between looks for the first endpoint


class ResponseSlot:
    """Stands where a client's slot does: takes the one final response. The dispatcher calls its methods.

    Args:
        transport: Its owner.
        request: The request that it is for.

    Attributes:
        held: The dispatcher's request; None before there is one.
    """

    __slots__ = ("_request", "_transport", "held")

    def __init__(self, transport: InProcessTransport, request: ReplayedRequest) -> None:
        self.held: RequestInFlight | None = None
        self._transport = transport
        self._request = request

    def satisfied(self, value: memoryview) -> None:
        """The request was served."""
        self._transport.finish(self._request, ReplayOutcome.SERVED)

    def rejected(self, back_in: float | None) -> None:
        """The request was rejected; ``back_in``: in how many s to try again."""
        self._transport.finish(self._request, ReplayOutcome.REJECTED, back_in)

    def broken_off(self, why: str) -> None:
        """The request failed."""
        self._transport.finish(self._request, ReplayOutcome.FAILED)


class RehearsalDispatcher(Dispatcher):
    """The dispatcher, but endpoints in service are left out of what it hears.

    Attributes:
        live: Addresses that the capture shows in service.
        left_out: Endpoints that were left out.
    """

    live: Collection[str] = ()
    left_out = 0

    def rolled(self, entries: list[Endpoint], whole: bool) -> None:
        """Takes an endpoint list; see `Dispatcher.rolled`."""
        addresses = self.register.addresses
        allowed = [entry for entry in entries if address_text(addresses[entry.index]) not in self.live]
        if len(allowed) < len(entries):
            left_out = len(entries) - len(allowed)
            self.left_out += left_out
            say("live_nodes_left_out", nodes=left_out)
        super().rolled(allowed, whole)


class InProcessTransport:
    """Owns the instance's parts, given back in `close`; see `RequestTransport`.

    Args:
        player: The player.
        configuration: The instance's.
        live: Addresses that the capture shows in service.
    """

    def __init__(self, player: Player, configuration: Configuration, live: Collection[str]) -> None:
        self._player = player
        self._slots: dict[ReplayedRequest, ResponseSlot] = {}  # each goes with its response
        settings = configuration.settings
        clock = Clock()
        register = EndpointRegistry(settings)
        dispatcher = RehearsalDispatcher(
            settings, configuration.seed, clock, register, configuration.bounds.commands
        )
        dispatcher.live = live
        self._dispatcher = dispatcher
        max_connections = (configuration.descriptors - ALSO) // 2
        self._nodes = Nodes(settings, max_connections, configuration.bounds.buffers)
        dispatcher.nodes = self._nodes
        self._request_classes = {
            each.name: (index, each.retry_safety) for index, each in enumerate(settings.request_classes)
        }
        self._tenants = {each.name: index for index, each in enumerate(settings.tenants)}
        kinds = {name: index for name, (index, _) in self._request_classes.items()}
        patience = settings.release.vote_timeout
        self._release_service = ReleaseService(
            configuration.desk, register, patience, clock, dispatcher.told, kinds
        )
        dispatcher.desk = self._release_service
        endpoints, version, news = at_start(configuration, register)
        dispatcher.start(endpoints, news)
        self._watches = ControlPlaneWatches(dispatcher, register, self._release_service)
        self._watches.move(configuration, version)
        self._sweeper = asyncio.ensure_future(kept("sweep", self._sweep))

    async def ready(self, patience: float = 10.0) -> bool:
        """Waits until it knows an endpoint that it may send to; False after ``patience`` s without one."""
        for _ in range(round(patience / READY_POLL)):  # the dispatcher has no event for it
            if self._dispatcher.entries:
                return True
            await asyncio.sleep(READY_POLL)
        return bool(self._dispatcher.entries)

    def refusal(self, _: Exchange) -> str:
        """See `RequestTransport.refusal`; there is always room."""
        return ""

    def send(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.send`."""
        words = [memoryview(argument) for argument in request.arguments]
        try:
            client_request = ClientRequest(words, self._request_classes, self._tenants)
        except CommandError as error:
            self._player.report.counts["senseless"] += 1
            say("senseless", why=error)
            self._player.finish(request, ReplayOutcome.NEVER_SENT)
            return
        slot = ResponseSlot(self, request)
        self._slots[request] = slot
        try:
            self._dispatcher.invoked(client_request, slot)  # type: ignore[arg-type]
        except CommandError:  # the id is in flight, which ours never are
            self.finish(request, ReplayOutcome.NEVER_SENT)

    def finish(
        self, request: ReplayedRequest, outcome: ReplayOutcome, retry_after: float | None = None
    ) -> None:
        """Passes a request's outcome on to the player."""
        self._slots.pop(request, None)
        self._player.finish(request, outcome, retry_after)

    def give_up(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.give_up`: as a client that closes its connection."""
        slot = self._slots.pop(request, None)
        if slot and slot.held and not slot.held.answered:
            self._dispatcher.forget(slot.held, "left")

    def close(self) -> None:
        """See `RequestTransport.close`."""
        self._sweeper.cancel()
        self._watches.close()
        self._nodes.close()
        self._release_service.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self._nodes.sweep()
