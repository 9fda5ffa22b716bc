"""Passes requests to an instance in this process: the service's dispatcher and policy, but no client sockets.

The instance consists of the service's own components except the listener. It sends no messages to peers,
because it is not one of the fleet's instances. Endpoints that the capture shows in service are removed from
its endpoint list.
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

SWEEP_INTERVAL = 1.0  # Seconds between checks for expired idle connections, as in the service.
READY_POLL = 0.01  # Seconds between checks for the first endpoint.


class ResponseSlot:
    """Receives the final response to one request from the dispatcher, in place of a client's response slot.

    Args:
        transport: The owner of the slot.
        request: The replayed request.

    Attributes:
        request: The dispatcher's request; None until the dispatcher has created it.
    """

    __slots__ = ("_replayed", "_transport", "request")

    def __init__(self, transport: InProcessTransport, request: ReplayedRequest) -> None:
        self.request: RequestInFlight | None = None
        self._transport = transport
        self._replayed = request

    @property
    def source(self) -> int:
        """See `ReplySink`."""
        return 0

    def is_pipelined(self) -> bool:
        """See `ReplySink`."""
        return False

    def client_has_gone(self) -> bool:
        """See `ReplySink`; the player withdraws a request by `InProcessTransport.give_up`."""
        return False

    def close_may_be_hidden(self) -> bool:
        """See `ReplySink`."""
        return False

    def serve(self, value: memoryview) -> None:
        """Report that the request was served."""
        self._transport.finish(self._replayed, ReplayOutcome.SERVED)

    def reject(self, retry_after: float | None) -> None:
        """Report that the request was rejected; ``retry_after`` is the delay before a retry in seconds."""
        self._transport.finish(self._replayed, ReplayOutcome.REJECTED, retry_after)

    def fail(self, reason: str) -> None:
        """Report that the request failed."""
        self._transport.finish(self._replayed, ReplayOutcome.FAILED)


class RehearsalDispatcher(Dispatcher):
    """Dispatcher that removes endpoints in service from each endpoint list.

    Attributes:
        live: Addresses that served requests in the capture.
        left_out: Number of endpoints removed, summed over all endpoint lists.
    """

    live: Collection[str] = ()
    left_out = 0

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        """Process an endpoint list without the endpoints in service; see `Dispatcher.on_endpoint_list`."""
        addresses = self.registry.addresses
        allowed = [
            endpoint for endpoint in endpoints if address_text(addresses[endpoint.index]) not in self.live
        ]
        if len(allowed) < len(endpoints):
            left_out = len(endpoints) - len(allowed)
            self.left_out += left_out
            log_kv("live_nodes_left_out", nodes=left_out)
        super().on_endpoint_list(allowed, is_complete)


class InProcessTransport:
    """Owns the instance's components until `close`; see `RequestTransport`.

    Args:
        player: The player.
        configuration: The instance's configuration.
        live: Addresses that served requests in the capture.
    """

    def __init__(self, player: Player, configuration: Configuration, live: Collection[str]) -> None:
        self._player = player
        self._slots: dict[ReplayedRequest, ResponseSlot] = {}  # An entry is removed at its request's outcome.
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
        """Wait until a permitted endpoint is known; return False after ``patience`` seconds without one."""
        for _ in range(round(patience / READY_POLL)):  # The dispatcher has no event for the first endpoint.
            if self._dispatcher.fleet.endpoints:
                return True
            await asyncio.sleep(READY_POLL)
        return bool(self._dispatcher.fleet.endpoints)

    def refusal(self, _: Exchange) -> str:
        """See `RequestTransport.refusal`; this transport never refuses a request."""
        return ""

    def send(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.send`."""
        arguments = [memoryview(argument) for argument in request.arguments]
        try:
            client_request = parse_request(arguments, self._request_classes, self._tenants)
        except CommandError as error:
            self._player.report.counts["senseless"] += 1
            log_kv("senseless", why=error)
            self._player.finish(request, ReplayOutcome.NEVER_SENT)
            return
        slot = ResponseSlot(self, request)
        self._slots[request] = slot
        try:
            self._dispatcher.start_request(client_request, slot)
        except CommandError:  # The id is already in flight, which cannot happen with the player's unique ids.
            self.finish(request, ReplayOutcome.NEVER_SENT)

    def finish(
        self, request: ReplayedRequest, outcome: ReplayOutcome, retry_after: float | None = None
    ) -> None:
        """Pass a request's outcome to the player."""
        self._slots.pop(request, None)
        self._player.finish(request, outcome, retry_after)

    def give_up(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.give_up`; the effect is that of a client closing its connection."""
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
