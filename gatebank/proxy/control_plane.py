"""What an instance follows: discovery, the release service, and its own configuration file."""

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

# Names of the watches, as they stand in log lines of faults.
DISCOVERY_WATCH = "roll"
RELEASE_WATCH = "desk"
# Before a configuration that could not be read is read again: it may be half written.
MIN_RELOAD_DELAY_S = 0.1
MAX_RELOAD_DELAY_S = 2.0


class InitialKnowledge(NamedTuple):
    """What a configuration says of the control plane as it was last known; None: nothing.

    Attributes:
        version: Of the endpoint list.
    """

    endpoints: list[Endpoint] | None
    version: int | None
    status: ReleaseStatus | None


def read_initial_knowledge(configuration: Configuration, registry: EndpointRegistry) -> InitialKnowledge:
    """Read the endpoint list, its version and the newest build's state from the configuration.

    Raises:
        ConfigurationError: One of them can't be read.
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
    """Watches discovery and the release service; owns both tasks.

    `move` begins them anew at the addresses given: another discovery may count its versions otherwise, so it
    tells the whole list. What was watched so far ends with the first message from there, or with its
    connection.
    """

    def __init__(
        self, dispatcher: Dispatcher, registry: EndpointRegistry, release_service: ReleaseService
    ) -> None:
        self.dispatcher = dispatcher
        self.registry = registry
        self.release_service = release_service
        self.turns: dict[str, WatchLease] = {}  # by the watch's name: two rows at most

    def update_addresses(self, configuration: Configuration, version: int | None = None) -> None:
        """Watch at the configuration's addresses; ``version`` is that of the endpoint list known already."""
        if configuration.discovery:
            self.watch_discovery(configuration, version)
        else:
            self.end(DISCOVERY_WATCH)
        where = configuration.release_service
        self.release_service.address = where  # votes that are out end where they were cast
        if where:
            self.start(RELEASE_WATCH, lambda turn: self.release_service.watch(where, turn))
        else:
            self.end(RELEASE_WATCH)

    def watch_discovery(self, configuration: Configuration, version: int | None) -> None:
        """Begin the watch of the endpoint list; one that failed by a fault begins with the same version."""
        where = configuration.discovery
        assert where
        backoff = PollBackoff(self.dispatcher.settings, Random(f"{configuration.seed} roll"))

        def watch(turn: WatchLease) -> Awaitable[None]:
            endpoint_watch = EndpointWatch(
                where, self.registry, self.dispatcher, version=version, backoff=backoff, turn=turn
            )
            return endpoint_watch.run()

        self.start(DISCOVERY_WATCH, watch)

    def start(self, name: str, work: Callable[[WatchLease], Awaitable[None]]) -> None:
        """Begin a watch; the one before goes on until this has received something."""
        turn = WatchLease(self.turns.get(name))
        self.turns[name] = turn
        turn.task = asyncio.ensure_future(run_forever(name, lambda: work(turn)))

    def end(self, name: str) -> None:
        """End a watch and those before it."""
        if turn := self.turns.pop(name, None):
            turn.close()

    def close(self) -> None:
        """End all watches."""
        for name in list(self.turns):
            self.end(name)


class Reloader:
    """Reads the configuration file again after each SIGHUP, and moves the watches where it says.

    The file is read and checked whole; until it can be, what was configured before stands.

    Args:
        environment: As `load_configuration` takes it.
        watches: What moves.
        on_reload: Called at each look, before the file is read.

    Attributes:
        requested: Set by the signal's handler.
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
        """Reload for ever."""
        delay = MIN_RELOAD_DELAY_S
        reason = ""  # of the last failure: the same is logged once
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
        """Move the watches."""
        self.watches.update_addresses(configuration)
        addresses = {"discovery": configuration.discovery, "desk": configuration.release_service}
        log_event("reloaded", {name: f"{at[0]}:{at[1]}" if at else "none" for name, at in addresses.items()})
