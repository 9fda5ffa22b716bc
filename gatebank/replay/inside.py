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
from gatebank.proxy.clock import Clock
from gatebank.proxy.configuration import Configuration
from gatebank.proxy.control_plane import ControlPlaneWatches, read_initial_knowledge
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.log import log_kv
from gatebank.proxy.messages import CommandError, request_classes_by_name, tenants_by_name
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.requests import RequestInFlight
from gatebank.proxy.resp2.commands import parse_request
from gatebank.proxy.service import RESERVED_DESCRIPTORS
from gatebank.proxy.supervisor import run_forever
from gatebank.proxy.upstream import Upstream
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
        request: The dispatcher's; None before there is one.
    """

    __slots__ = ("_replayed", "_transport", "request")

    def __init__(self, transport: InProcessTransport, request: ReplayedRequest) -> None:
        self.request: RequestInFlight | None = None
        self._transport = transport
        self._replayed = request

    def serve(self, value: memoryview) -> None:
        """The request was served."""
        self._transport.finish(self._replayed, ReplayOutcome.SERVED)

    def reject(self, retry_after: float | None) -> None:
        """The request was rejected; ``retry_after``: in how many s to try again."""
        self._transport.finish(self._replayed, ReplayOutcome.REJECTED, retry_after)

    def fail(self, reason: str) -> None:
        """The request failed."""
        self._transport.finish(self._replayed, ReplayOutcome.FAILED)


class RehearsalDispatcher(Dispatcher):
    """The dispatcher, but endpoints in service are left out of what it hears.

    Attributes:
        live: Addresses that the capture shows in service.
        left_out: Endpoints that were left out.
    """

    live: Collection[str] = ()
    left_out = 0

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        """Takes an endpoint list; see `Dispatcher.on_endpoint_list`."""
        addresses = self.registry.addresses
        allowed = [each for each in endpoints if address_text(addresses[each.index]) not in self.live]
        if len(allowed) < len(endpoints):
            left_out = len(endpoints) - len(allowed)
            self.left_out += left_out
            log_kv("live_nodes_left_out", nodes=left_out)
        super().on_endpoint_list(allowed, is_complete)


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
        registry = EndpointRegistry(settings)
        dispatcher = RehearsalDispatcher(
            settings, configuration.seed, clock, registry, configuration.bounds.request_bytes
        )
        dispatcher.live = live
        self._dispatcher = dispatcher
        max_connections = (configuration.descriptors - RESERVED_DESCRIPTORS) // 2
        self._upstream = Upstream(settings, max_connections, configuration.bounds.buffer_growth_bytes)
        dispatcher.upstream = self._upstream
        self._request_classes = request_classes_by_name(settings)
        self._tenants = tenants_by_name(settings)
        self._release_service = ReleaseService(
            configuration.release_service,
            registry,
            settings.release.vote_timeout,
            clock,
            dispatcher.on_release_status,
            request_classes=self._request_classes,
        )
        dispatcher.release_service = self._release_service
        endpoints, version, status = read_initial_knowledge(configuration, registry)
        dispatcher.apply_initial_knowledge(endpoints, status)
        self._watches = ControlPlaneWatches(dispatcher, registry, self._release_service)
        self._watches.update_addresses(configuration, version)
        self._sweeper = asyncio.ensure_future(run_forever("sweep", self._sweep))

    async def ready(self, patience: float = 10.0) -> bool:
        """Waits until it knows an endpoint that it may send to; False after ``patience`` s without one."""
        for _ in range(round(patience / READY_POLL)):  # the dispatcher has no event for it
            if self._dispatcher.fleet.endpoints:
                return True
            await asyncio.sleep(READY_POLL)
        return bool(self._dispatcher.fleet.endpoints)

    def refusal(self, _: Exchange) -> str:
        """See `RequestTransport.refusal`; there is always room."""
        return ""

    def send(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.send`."""
        words = [memoryview(argument) for argument in request.arguments]
        try:
            client_request = parse_request(words, self._request_classes, self._tenants)
        except CommandError as error:
            self._player.report.counts["senseless"] += 1
            log_kv("senseless", why=error)
            self._player.finish(request, ReplayOutcome.NEVER_SENT)
            return
        slot = ResponseSlot(self, request)
        self._slots[request] = slot
        try:
            self._dispatcher.start_request(client_request, slot)
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
        if slot and slot.request and not slot.request.answered:
            self._dispatcher.drop_request(slot.request, "left")

    def close(self) -> None:
        """See `RequestTransport.close`."""
        self._sweeper.cancel()
        self._watches.close()
        self._upstream.close()
        self._release_service.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self._upstream.close_expired_idle()
