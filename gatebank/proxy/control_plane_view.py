"""What the control plane said last: the endpoint list, and how far the newest build may go."""

from __future__ import annotations

from collections.abc import Iterable

from gatebank.events import Condition, Endpoint, Phase, ReleaseStatus
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.upstream import EndpointKey


class ControlPlaneView:
    """The endpoints and the release status as told last.

    Attributes:
        endpoints: By index; none that is gone.
        keys: Which process each of them is, by index.
        release_status: None before the first.
    """

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.endpoints: dict[int, Endpoint] = {}
        self.keys: dict[int, EndpointKey] = {}
        self.release_status: ReleaseStatus | None = None

    def update(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """Take the endpoint list, or what has changed of it."""
        current = {} if is_complete else dict(self.endpoints)
        for endpoint in endpoints:
            current[endpoint.index] = endpoint
        self.endpoints = {
            index: endpoint for index, endpoint in current.items() if endpoint.condition is not Condition.GONE
        }
        self.keys = {index: self.key(endpoint) for index, endpoint in self.endpoints.items()}

    def key(self, endpoint: Endpoint) -> EndpointKey:
        """Which process a listed endpoint is."""
        address = self.registry.addresses[endpoint.index]
        return EndpointKey(endpoint.index, address, endpoint.build, endpoint.started_at)

    def cap(self, build: int) -> float:
        """The share of traffic that a build may take: below 1 for the newest before it is released."""
        status = self.release_status
        if status and status.build == build and status.phase is not Phase.RELEASED:
            return status.cap or 0.0
        return 1.0
