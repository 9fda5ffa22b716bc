"""Control plane inputs of an instance: discovery, the release service and the configuration file."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import NamedTuple

from gatebank.events import Endpoint, ReleaseStatus
from gatebank.proxy.configuration import Configuration, ConfigurationError, load_configuration
from gatebank.proxy.discovery import EndpointListError, EndpointRegistry, EndpointWatch, PollBackoff
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.log import log_event, log_kv
from gatebank.proxy.release_messages import ReleaseStatusError, parse_status
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.sockets import WatchLease
from gatebank.proxy.supervisor import run_forever

# Names of the watches as they appear in the log lines of faults (``in=``).
DISCOVERY_WATCH = "roll"
RELEASE_WATCH = "desk"
# Delay before an unreadable configuration file is read again; the file may be only partly written.
MIN_RELOAD_DELAY_S = 0.1
MAX_RELOAD_DELAY_S = 2.0


class InitialKnowledge(NamedTuple):
    """Last known control plane state from the configuration file; a value that the file lacks is None.

    Attributes:
        version: Version of the endpoint list.
    """

    endpoints: list[Endpoint] | None
    version: int | None
    status: ReleaseStatus | None


def read_initial_knowledge(configuration: Configuration, registry: EndpointRegistry) -> InitialKnowledge:
    """Parse the endpoint list, its version and the newest build's state from the configuration.

    Raises:
        ConfigurationError: The endpoint list or the state cannot be parsed.
    """
    endpoints = None
    version = None
    status = None
    try:
        if configuration.initial_endpoints:
            endpoints, _, version = registry.parse_list(configuration.initial_endpoints)
        if configuration.initial_status:
            status = parse_status(dict(configuration.initial_status))
    except (TypeError, ValueError, EndpointListError, ReleaseStatusError) as error:
        raise ConfigurationError(str(error)) from error
    return InitialKnowledge(endpoints, version, status)


class ControlPlaneWatches:
    """Watches discovery and the release service; owns the tasks of both watches.

    `update_addresses` restarts the watches at the configured addresses. A different discovery service may
    number its versions differently, so the new watch requests the complete list. The previous watch ends with
    the first message from the new address, or when its own connection ends.
    """

    def __init__(
        self, dispatcher: Dispatcher, registry: EndpointRegistry, release_service: ReleaseService
    ) -> None:
        self.dispatcher = dispatcher
        self.registry = registry
        self.release_service = release_service
        self.leases: dict[str, WatchLease] = {}  # Latest lease by the name of the watch; two entries at most.

    def update_addresses(self, configuration: Configuration, version: int | None = None) -> None:
        """Start watching the configured addresses.

        Args:
            configuration: Names the addresses; a service without an address is not watched.
            version: Version of the endpoint list that is known already; None requests the complete list.
        """
        if configuration.discovery:
            self.watch_discovery(configuration, version)
        else:
            self.end(DISCOVERY_WATCH)
        address = configuration.release_service
        self.release_service.address = address  # Outstanding votes still use the address they were sent to.
        if address:
            self.start(RELEASE_WATCH, lambda lease: self.release_service.watch(address, lease))
        else:
            self.end(RELEASE_WATCH)

    def watch_discovery(self, configuration: Configuration, version: int | None) -> None:
        """Start watching the endpoint list; after a fault the watch restarts with the same version."""
        address = configuration.discovery
        assert address
        backoff = PollBackoff(self.dispatcher.settings, Random(f"{configuration.seed} roll"))

        def watch(lease: WatchLease) -> Awaitable[None]:
            endpoint_watch = EndpointWatch(
                address,
                self.registry,
                self.dispatcher,
                version=version,
                backoff=backoff,
                lease=lease,
                max_list_bytes=configuration.bounds.list_bytes,
            )
            return endpoint_watch.run()

        self.start(DISCOVERY_WATCH, watch)

    def start(self, name: str, work: Callable[[WatchLease], Awaitable[None]]) -> None:
        """Start a watch; the previous one continues until the new one has received a message."""
        lease = WatchLease(self.leases.get(name))
        self.leases[name] = lease
        lease.task = asyncio.ensure_future(run_forever(name, lambda: work(lease)))

    def end(self, name: str) -> None:
        """End a watch and its predecessors."""
        if lease := self.leases.pop(name, None):
            lease.close()

    def close(self) -> None:
        """End all watches."""
        for name in list(self.leases):
            self.end(name)


class Reloader:
    """Reloads the configuration file after each SIGHUP, and updates the addresses of the watches.

    The file is read and validated completely; until that succeeds, the previous addresses stay in use.

    Args:
        environment: Environment variables for `load_configuration`.
        watches: The watches whose addresses are updated.
        on_reload: Called on each attempt to reload, before the file is read.

    Attributes:
        requested: Set by the signal handler.
    """

    def __init__(
        self,
        environment: Mapping[str, str],
        watches: ControlPlaneWatches,
        on_reload: Callable[[], None] | None = None,
    ) -> None:
        self.environment = environment
        self.watches = watches
        self.on_reload = on_reload
        self.requested = asyncio.Event()

    async def run(self) -> None:
        """Wait for reload requests and handle them, until cancelled."""
        delay = MIN_RELOAD_DELAY_S
        reason = ""  # Reason of the last failure; a repeated reason is not logged again.
        while True:
            await self.requested.wait()
            if self.on_reload:
                self.on_reload()
            try:
                configuration = load_configuration(self.environment)
                read_initial_knowledge(configuration, EndpointRegistry(configuration.settings))
            except ConfigurationError as error:
                if str(error) != reason:
                    log_kv("reload_failed", logging.ERROR, why=error)
                reason = str(error)
                await asyncio.sleep(delay)
                delay = min(2 * delay, MAX_RELOAD_DELAY_S)
            else:
                self.requested.clear()
                delay = MIN_RELOAD_DELAY_S
                reason = ""
                self.apply(configuration)

    def apply(self, configuration: Configuration) -> None:
        """Update the addresses of the watches, and log them."""
        self.watches.update_addresses(configuration)
        addresses = {"discovery": configuration.discovery, "desk": configuration.release_service}
        log_event("reloaded", {name: f"{at[0]}:{at[1]}" if at else "none" for name, at in addresses.items()})
