"""All that an instance talks to, in one process on loopback: endpoints, discovery and a release service."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from gatebank.fakes.command_counts import CommandCounts
from gatebank.fakes.control_plane import ChangeNotifier, FakeDiscovery, FakeReleaseService
from gatebank.fakes.endpoint import FakeEndpoint

MAX_RECEIVED_COMMANDS = 200_000  # commands that are kept; the oldest go first
OLD_STREAM_LIFETIME_S = 1.5  # for which a stream lives on after its server has moved


class AttemptObserver(Protocol):
    """Who hears of what becomes of a command that reached an endpoint."""

    def executed(self) -> None:
        """The endpoint executes it."""


class World:
    """Fake endpoints, discovery and release service; `wait_for` waits for something to happen to them.

    Attributes:
        endpoints: All that were added, by name.
        discoveries: All that list them; the first is `discovery`.
        plan: What the endpoints do with the next commands, whoever gets them.
        failing: Names of the endpoints that reply to each command with an error.
        faults: What an endpoint does with all commands that nothing is planned for, by its name.
        counts: What reached the endpoints.
        received: Commands with the name of the endpoint that they reached, the newest last.
        key_memory: Seconds for which an endpoint drops a repeated idempotency key; 0: it executes each.
        reply_time: Seconds that a reply takes, on average.
        on_attempt: Hears of each command as it reached an endpoint.
        choose_behaviour: What an endpoint does, by its name, with a command that nothing is planned for.
        values_name_request: Values hold the request's id behind the endpoint's name.
    """

    def __init__(
        self, host: str = "127.0.0.1", discovery_port: int = 0, release_service_port: int = 0
    ) -> None:
        """Listen nowhere yet; a port of 0 is any free one."""
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
        """Have all that wait look again."""
        self.changed.notify()

    async def wait_for(self, condition: Callable[[], object], seconds: float = 10.0) -> None:
        """Wait until ``condition()`` holds, looking again whenever something has happened.

        Raises:
            TimeoutError: It did not hold for so many seconds.
        """
        await self.changed.wait_for(condition, seconds)

    async def start(self) -> None:
        """Have discovery and the release service listen."""
        await self.discovery.start()
        await self.releases.start()

    async def move_control_plane(self) -> None:
        """Have discovery and the release service listen at other ports."""
        await move_services(self.discovery, self.releases)

    async def stop(self) -> None:
        """Close everything."""
        for service in (self.discovery, self.releases):
            if service.server:
                service.server.close()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        for writer in list(self.releases.streams):
            writer.transport.abort()

    async def add_endpoint(self, name: str, build: int, port: int = 0, started_ms: int = 0) -> None:
        """Start an endpoint and list it; ``started_ms`` is the Unix time at which it started, 0: long ago."""
        endpoint = FakeEndpoint(self, name, build, self.host, port, started_ms=started_ms)
        self.endpoints[name] = endpoint
        await endpoint.start()
        self.mark_changed(name)

    def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """List an endpoint with another lifecycle, by discovery's names."""
        self.endpoints[name].lifecycle = lifecycle
        self.mark_changed(name)

    def mark_changed(self, name: str) -> None:
        """Put an endpoint, as it is now, into a new generation of each discovery's list."""
        for discovery in self.discoveries:
            discovery.mark_changed(name)

    def next_behaviour(self, name: str, fault: str) -> str:
        """Return what an endpoint does with the command that it just received."""
        planned = self.planned_behaviours.popleft() if self.planned_behaviours else ""
        if name in self.failing_endpoints:
            return "error"
        chosen = self.choose_behaviour(name) if self.choose_behaviour else ""
        return planned or fault or chosen or "value"


async def move_services(*services: FakeDiscovery | FakeReleaseService) -> None:
    """Have services listen at other ports.

    The old ports take no connection any more, and streams that are open soon end.
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
