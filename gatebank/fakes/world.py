"""Fake endpoints, discovery and release service for instances, in one process on loopback."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from gatebank.fakes.command_counts import CommandCounts
from gatebank.fakes.control_plane import ChangeNotifier, FakeDiscovery, FakeReleaseService
from gatebank.fakes.endpoint import FakeEndpoint

# Number of received commands that are kept; the oldest are dropped first.
MAX_RECEIVED_COMMANDS = 200_000
# Time for which an open stream survives the move of its server to another port.
OLD_STREAM_LIFETIME_S = 1.5


class AttemptObserver(Protocol):
    """Observer of a command that reached an endpoint."""

    def executed(self) -> None:
        """Called when the endpoint executes the command."""

    def answered(self) -> None:
        """Called when a whole value has been written to a connection that was open."""


class World:
    """Fake endpoints, discovery and release service; `wait_for` waits until they reach some state.

    Attributes:
        endpoints: All endpoints that were added, by name.
        discoveries: All discovery services that list the endpoints; the first is `discovery`.
        planned_behaviours: Behaviours for the next commands, in order, at whichever endpoints they arrive.
        failing_endpoints: Names of the endpoints that reply to every command with an error.
        faults: Behaviours by endpoint name, for commands without a planned behaviour.
        counts: Counts of the commands at all endpoints.
        received: Received commands, each with the name of its endpoint, the newest last.
        key_memory_s: Seconds for which an endpoint does not execute a repeated idempotency key again; 0 to
            execute every command.
        mean_reply_time: Mean reply time of the endpoints, in seconds.
        on_attempt: Called with the endpoint and the arguments of each received command.
        choose_behaviour: Returns the behaviour for a command at an endpoint, by its name, if no other
            behaviour is set; empty for a value.
        values_include_request_id: Whether a value consists of the endpoint's name and the request's id.
    """

    def __init__(
        self, host: str = "127.0.0.1", discovery_port: int = 0, release_service_port: int = 0
    ) -> None:
        """Initialize the fakes, which listen after `start`; a port of 0 stands for any free port."""
        self.host = host
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.planned_behaviours: deque[str] = deque()
        self.failing_endpoints: set[str] = set()
        self.faults: dict[str, str] = {}
        self.counts = CommandCounts()
        self.received: deque[tuple[str, list[bytes]]] = deque(maxlen=MAX_RECEIVED_COMMANDS)
        self.key_memory_s = 0.0
        self.mean_reply_time = 0.0
        self.on_attempt: Callable[[FakeEndpoint, list[bytes]], AttemptObserver] | None = None
        self.choose_behaviour: Callable[[str], str] | None = None
        self.values_include_request_id = False
        self.changed = ChangeNotifier()
        self.discovery = FakeDiscovery(host, discovery_port, self.endpoints, self.changed)
        self.discoveries = [self.discovery]
        self.releases = FakeReleaseService(host, release_service_port, self.changed)

    def notify(self) -> None:
        """Have all waiting tasks check their conditions again."""
        self.changed.notify()

    async def wait_for(self, condition: Callable[[], object], seconds: float = 10.0) -> None:
        """Wait until ``condition()`` holds; it is checked after every change.

        Raises:
            TimeoutError: The condition did not hold within ``seconds``.
        """
        await self.changed.wait_for(condition, seconds)

    async def start(self) -> None:
        """Start discovery and the release service."""
        await self.discovery.start()
        await self.releases.start()

    async def move_control_plane(self) -> None:
        """Move discovery and the release service to other ports."""
        await move_services(self.discovery, self.releases)

    async def stop(self) -> None:
        """Stop all fakes and close their connections."""
        for service in (self.discovery, self.releases):
            if service.server:
                service.server.close()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        for writer in list(self.releases.streams):
            writer.transport.abort()

    async def add_endpoint(self, name: str, build: int, port: int = 0, started_ms: int = 0) -> None:
        """Start an endpoint and list it.

        Args:
            name: The endpoint's name.
            build: The endpoint's build.
            port: The port, or 0 for any free port.
            started_ms: The listed start time in milliseconds of Unix time; 0 for long ago.
        """
        endpoint = FakeEndpoint(self, name, build, self.host, port, started_ms=started_ms)
        self.endpoints[name] = endpoint
        await endpoint.start()
        self.mark_changed(name)

    def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """List an endpoint with another lifecycle, in discovery's terms, such as "DRAINING"."""
        self.endpoints[name].lifecycle = lifecycle
        self.mark_changed(name)

    def mark_changed(self, name: str) -> None:
        """Start a new generation of each endpoint list, with the present state of an endpoint."""
        for discovery in self.discoveries:
            discovery.mark_changed(name)

    def next_behaviour(self, name: str, fault: str) -> str:
        """Return the behaviour of an endpoint for the command that it just received."""
        planned = self.planned_behaviours.popleft() if self.planned_behaviours else ""
        if name in self.failing_endpoints:
            return "error"
        chosen = self.choose_behaviour(name) if self.choose_behaviour else ""
        return planned or fault or chosen or "value"


async def move_services(*services: FakeDiscovery | FakeReleaseService) -> None:
    """Move services to other ports.

    The old ports accept no more connections, and open streams end after `OLD_STREAM_LIFETIME_S`.
    """
    old_servers = [service.server for service in services if service.server]
    old_streams = [
        stream
        for service in services
        if isinstance(service, FakeReleaseService)
        for stream in service.streams
    ]
    for service in services:
        service.port = 0
        await service.start()
    for server in old_servers:
        server.close()
    for writer in old_streams:
        asyncio.get_running_loop().call_later(OLD_STREAM_LIFETIME_S, writer.transport.abort)
