"""Latest state from the control plane: the endpoint list and the release status of the newest build."""

from __future__ import annotations

from collections.abc import Iterable

from gatebank.events import Condition, Endpoint, Phase, ReleaseStatus
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.upstream import EndpointKey


class ControlPlaneView:
    """The endpoints and the release status as last received.

    Attributes:
        endpoints: Endpoints by index, without those that are gone.
        keys: Keys that identify the process of each endpoint, by index.
        release_status: None until the first status is received.
    """

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.endpoints: dict[int, Endpoint] = {}
        self.keys: dict[int, EndpointKey] = {}
        self.release_status: ReleaseStatus | None = None

    def update(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """Apply a complete endpoint list or a change to it."""
        current = {} if is_complete else dict(self.endpoints)
        for endpoint in endpoints:
            current[endpoint.index] = endpoint
        self.endpoints = {
            index: endpoint for index, endpoint in current.items() if endpoint.condition is not Condition.GONE
        }
        self.keys = {index: self.key(endpoint) for index, endpoint in self.endpoints.items()}

    def key(self, endpoint: Endpoint) -> EndpointKey:
        """Return the key that identifies the process of a listed endpoint."""
        address = self.registry.addresses[endpoint.index]
        return EndpointKey(endpoint.index, address, endpoint.build, endpoint.started_at)

    def cap(self, build: int) -> float:
        """Return the share of traffic a build may receive; below 1 for the newest build until release."""
        status = self.release_status
        if status and status.build == build and status.phase is not Phase.RELEASED:
            return status.cap or 0.0
        return 1.0
