"""Client of the discovery service: watches the endpoint list and parses its entries.

A watch owns one connection to discovery at a time. `EndpointRegistry` maps endpoint names to small indices.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Container, Mapping
from random import Random
from typing import Any, NamedTuple, Protocol

import orjson

from gatebank.errors import GatebankError
from gatebank.events import Condition, Endpoint
from gatebank.peer_messages import name_hash
from gatebank.proxy.configuration import MAX_LIST_BYTES, Address, ConfigurationError, parse_address
from gatebank.proxy.http import HttpClient, NoReplyError
from gatebank.proxy.log import log_kv
from gatebank.proxy.sockets import WatchLease
from gatebank.proxy.start_times import StartTimes
from gatebank.settings import Settings

WATCH_PATH = "/discovery/hosts"
# Time for which discovery may hold a watch call open. The protocol allows 60 s; a short wait detects an
# outage within this time.
WATCH_WAIT_S = 2.0
# Time that a reply may take beyond WATCH_WAIT_S before the connection is considered dead.
REPLY_GRACE_S = 1.0
# Time for a reply, also to a call for the complete list: a slow discovery answers it as late as a watch. A
# connection that falls silent is still replaced in time for the 4 s after SIGHUP and the 6 s elsewhere.
REPLY_TIMEOUT_S = WATCH_WAIT_S + REPLY_GRACE_S
SLOW_WATCH_WAIT_S = 1.0  # The wait after an unanswered call, which leaves a slow discovery more of the time.
MIN_RETRY_DELAY_S = 0.1  # Delay before a retry; below the 0.2 s within which a watch has to continue.
MAX_REPLY_DELAY_S = 0.1  # Longest delay before the call after a reply, within the same 0.2 s.
EARLY_REPLY_S = WATCH_WAIT_S / 2  # A reply without news that comes sooner was not held open.
# Target rate of calls per second from all instances together, when each call puts load on discovery. When 40
# instances retried after 0.1 s (240 calls per second), discovery answered 15 and refused 25 until the end of
# the run. With an initial delay of 2 s it answered all of them within 5 s, and with 0.5 s within 13 s
# (scenario herd+vast, one run each).
FLEET_CALLS_PER_S = 20
# Random jitter extends the delay by up to half. According to the protocol an instance counts as informed of a
# list's contents 6 s after the list was published.
MAX_RETRY_DELAY_S = 4.0
DELAY_GROWTH = 1.5  # Factor from one retry delay to the next.
# Number of free indices to keep before one is reused: more than a list changes while an attempt is
# outstanding.
MIN_FREE_INDICES = 256
NUMBER_LIMIT = 1e15  # Exclusive upper bound; beyond it a float no longer represents whole numbers exactly.
CONDITION_BY_LIFECYCLE = {
    "SERVING": Condition.READY,
    "DRAINING": Condition.DRAINING,
    "DELETED": Condition.GONE,
}
NO_ADDRESS: Address = ("", 0)


class EndpointListError(GatebankError):
    """A listing from discovery cannot be parsed; none of its entries was applied."""


class DiscoveryRefusedError(GatebankError):
    """Discovery answered with an error status."""


class EndpointList(NamedTuple):
    """A parsed listing from discovery.

    Attributes:
        is_complete: True for the complete list, False for the changes since the previous version.
    """

    endpoints: list[Endpoint]
    is_complete: bool
    version: int


class ListEntry(NamedTuple):
    """One validated entry of a listing that has no endpoint index yet.

    Attributes:
        address: None for an endpoint that is gone.
        started: Start time of the endpoint in Unix seconds; None if not listed.
    """

    name: str
    address: Address | None
    machine_kind: int
    zone: int
    cell: int
    build: int
    started: float | None
    condition: Condition
    weight: float


class EndpointRegistry:
    """Maps endpoint names to small indices and addresses.

    `retain` removes endpoints that have left the list. A freed index is reused only after MIN_FREE_INDICES
    others were freed, when no attempt or message refers to the old endpoint any more.

    >>> registry = EndpointRegistry(Settings())
    >>> for name in range(2 * MIN_FREE_INDICES):
    ...     registry.retain({registry.index_of("stays"), registry.index_of(str(name))})
    >>> len(registry.names) <= MIN_FREE_INDICES + 3, registry.index_of("stays"), len(registry.indices)
    (True, 0, 2)

    Args:
        settings: The instance's settings.
        start_times: Converts the listed start times; None to take them as they are listed.
    """

    def __init__(self, settings: Settings, start_times: StartTimes | None = None) -> None:
        self.start_times = start_times
        self.indices: dict[str, int] = {}  # Indices by endpoint name.
        self.names: list[str] = []  # Names and addresses are lists by index.
        self.addresses: list[Address] = []
        self.free_indices: deque[int] = deque()  # The index that has been free longest comes first.
        self.machine_kinds: dict[str | None, int] = {name: index for index, name in enumerate(settings.kinds)}
        self.zones: dict[str | None, int] = {name: index for index, name in enumerate(settings.zones)}

    def index_of(self, name: str) -> int:
        """Return the endpoint's index, assigning one to an unknown name."""
        if name not in self.indices:
            if len(self.free_indices) <= MIN_FREE_INDICES:
                self.free_indices.appendleft(len(self.names))
                self.names.append("")
                self.addresses.append(NO_ADDRESS)
            index = self.free_indices.popleft()
            self.indices[name] = index
            self.names[index] = name
            self.addresses[index] = NO_ADDRESS
        return self.indices[name]

    def retain(self, listed: Container[int]) -> None:
        """Free the indices of all endpoints that are not in ``listed``."""
        for name, index in list(self.indices.items()):
            if index not in listed:
                del self.indices[name]
                self.free_indices.append(index)
        if self.start_times:
            self.start_times.retain(self.indices)

    def parse_list(self, listing: Mapping[str, Any]) -> EndpointList:
        """Parse a listing; all its entries are validated before the registry changes.

        Raises:
            EndpointListError: The listing cannot be parsed.
        """
        try:
            is_complete = bool(listing.get("reset"))
            version = parse_version(listing["generation"])
            entries = [self.parse_entry(instance) for instance in listing["instances"]]
        except (KeyError, TypeError, ValueError, AttributeError, ConfigurationError) as error:
            raise EndpointListError(
                f"the listing cannot be parsed: {type(error).__name__} {error}"
            ) from error
        return EndpointList([self.register(entry) for entry in entries], is_complete, version)

    def parse_entry(self, instance: Mapping[str, Any]) -> ListEntry:
        """Validate one entry of a listing without changing the registry."""
        name = instance["instanceId"]
        condition = CONDITION_BY_LIFECYCLE[instance["lifecycle"]]
        started_ms = instance.get("startedAtMs") or 0
        weight = instance.get("weight", 1.0)
        cell = instance.get("cell") or 0
        build = instance.get("version_no") or 0
        are_whole = all(type(number) is int and number >= 0 for number in (cell, build))
        if not isinstance(name, str) or not name or not are_whole:
            raise ValueError(f"{name!r}: instanceId is empty, or cell or version_no is invalid")
        if not (is_valid_number(started_ms) and is_valid_number(weight)):
            raise ValueError(f"{name!r}: startedAtMs or weight is not a valid number")
        is_gone = condition is Condition.GONE and not instance.get("hostPort")
        return ListEntry(
            name=name,
            address=None if is_gone else parse_address(instance["hostPort"], "hostPort"),
            machine_kind=self.machine_kinds.get(instance.get("machineType"), 0),
            zone=self.zones.get(instance.get("zone"), 0),
            cell=cell,
            build=build,
            started=started_ms / 1000 or None,
            condition=condition,
            weight=float(weight),
        )

    def register(self, entry: ListEntry) -> Endpoint:
        """Assign an index to an entry, and store its address."""
        index = self.index_of(entry.name)
        self.addresses[index] = entry.address or self.addresses[index]
        started = entry.started
        if self.start_times:
            started = self.start_times.convert(entry.name, started)
        return Endpoint(
            index,
            name_hash(entry.name),
            entry.machine_kind,
            entry.zone,
            entry.cell,
            entry.build,
            started,
            entry.condition,
            entry.weight,
        )


def parse_version(value: object) -> int:
    """Return the version of a listing.

    Raises:
        ValueError: The version is not an integer.
    """
    if type(value) is not int:
        raise ValueError(f"generation {value!r} is not an integer")
    return value


def is_valid_number(value: object) -> bool:
    """Return whether a JSON value is a number from 0 up to NUMBER_LIMIT."""
    return type(value) in (int, float) and 0 <= value < NUMBER_LIMIT  # type: ignore[operator]


class PollBackoff:
    """Computes the delay before the next call to discovery.

    Calls to a discovery agent on the instance's own machine are cheap, so the delay is always the same short
    time. A discovery service that all instances share may refuse many of them at once. The configured
    instances together therefore start at FLEET_CALLS_PER_S calls per second and slow down with each failure,
    with random jitter. After a call without a reply the first retry comes soon, because only this watch may
    be affected. If many instances are configured and few run, the running ones wait longer than necessary,
    but 6 s at most.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self.is_shared = settings.polls_endpoints
        self.random = random
        self.min_refused_delay = min(
            MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, settings.instance_count / FLEET_CALLS_PER_S)
        )
        self.delay = MIN_RETRY_DELAY_S

    def first_delay(self) -> float:
        """Return the seconds before the first call.

        The delay is random, because instances that were killed together also start together.
        """
        return self.random.uniform(0.0, self.min_refused_delay / 2) if self.is_shared else 0.0

    def delay_after_failure(self, refused: bool) -> float:
        """Return the seconds before the next call after a failed one.

        Args:
            refused: True if discovery answered with an error, False if there was no usable reply.
        """
        if not self.is_shared:
            return MIN_RETRY_DELAY_S
        delay = max(self.delay, self.min_refused_delay if refused else MIN_RETRY_DELAY_S)
        self.delay = min(MAX_RETRY_DELAY_S, delay * DELAY_GROWTH)
        return delay * self.random.uniform(0.5, 1.5)

    def reset(self) -> None:
        """Reset the delay after a successful call."""
        self.delay = MIN_RETRY_DELAY_S


def delay_after_reply(has_news: bool, waited: float, handling_time: float) -> float:
    """Return the seconds before the next call after a successful one.

    Usually discovery holds a call until there is news. One that answers at once, again and again, must not
    take the instance's time from its requests: without news the next call waits a little, and otherwise as
    long as the list took to handle.

    >>> delay_after_reply(False, 0.01, 0.0), delay_after_reply(False, WATCH_WAIT_S, 0.0)
    (0.1, 0.0)
    >>> delay_after_reply(True, 0.01, 0.02), delay_after_reply(True, 0.01, 3.0)
    (0.02, 0.1)

    Args:
        has_news: Whether the reply had endpoints and a new version.
        waited: Seconds between the call and its reply.
        handling_time: Seconds that it took to apply the reply.
    """
    if not has_news and waited < EARLY_REPLY_S:
        return MAX_REPLY_DELAY_S
    return min(MAX_REPLY_DELAY_S, handling_time)


class EndpointListener(Protocol):
    """Receives endpoint lists; implemented by the dispatcher."""

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        """Handle a complete list or a change to the list."""

    def on_watch_failed(self) -> None:
        """Handle the first failed call after a successful one."""

    def count(self, name: str) -> None:
        """Increment the counter of a kind of call or failure."""


class EndpointWatch:
    """Polls discovery for changes since ``version``; the last list stays valid while no reply arrives.

    Args:
        address: Address of discovery.
        registry: Parses the listings.
        listener: Receives the parsed listings.
        version: Version of the endpoint list that is known already; None requests the complete list.
        backoff: Determines the delays between failed calls.
        max_list_bytes: Limit for a listing; a longer one counts as a failed call.
        lease: Once the lease is superseded, the watch ends with its connection.
    """

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        listener: EndpointListener,
        *,
        version: int | None,
        backoff: PollBackoff,
        lease: WatchLease,
        max_list_bytes: int = MAX_LIST_BYTES,
    ) -> None:
        self.registry = registry
        self.listener = listener
        self.version = version
        self.backoff = backoff
        self.lease = lease
        self.client = HttpClient(address, max_list_bytes)
        self.is_failing = False
        self.watch_wait = WATCH_WAIT_S  # Seconds for which discovery is asked to hold the next call open.

    async def run(self) -> None:
        """Watch until the connection fails after the lease was superseded."""
        try:
            await asyncio.sleep(self.backoff.first_delay())
            while True:
                asked_at = time.monotonic()
                try:
                    listing = await self.poll()
                except (NoReplyError, DiscoveryRefusedError, EndpointListError, ValueError) as error:
                    if self.lease.is_superseded:
                        return
                    refused = isinstance(error, DiscoveryRefusedError)
                    if not refused:
                        self.watch_wait = SLOW_WATCH_WAIT_S
                    self.record_failure(error, refused)
                    self.client.close()
                    await asyncio.sleep(self.backoff.delay_after_failure(refused))
                else:
                    answered_at = time.monotonic()
                    has_news = bool(listing.endpoints) and listing.version != self.version
                    if answered_at - asked_at < self.watch_wait + REPLY_GRACE_S / 2 and not has_news:
                        self.watch_wait = WATCH_WAIT_S
                    self.apply(listing)
                    handling_time = time.monotonic() - answered_at
                    await asyncio.sleep(delay_after_reply(has_news, answered_at - asked_at, handling_time))
        finally:
            self.client.close()

    async def poll(self) -> EndpointList:
        """Make one call to discovery.

        Raises:
            NoReplyError: There was no complete reply in time.
            DiscoveryRefusedError: Discovery answered with an error status.
            EndpointListError: The reply cannot be parsed.
            ValueError: The reply is not valid JSON.
        """
        target = WATCH_PATH
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={self.watch_wait * 1000:.0f}"
        self.listener.count("roll calls")
        reply = await self.client.call("GET", target, REPLY_TIMEOUT_S)
        if reply.status != 200:
            raise DiscoveryRefusedError(f"discovery answered {reply.status}")
        return self.registry.parse_list(orjson.loads(reply.body))

    def record_failure(self, error: Exception, refused: bool) -> None:
        """Log the first of consecutive failures, and count each failed call."""
        if not self.is_failing:
            log_kv("roll_lost", logging.WARNING, why=error)
            self.listener.on_watch_failed()
        self.is_failing = True
        self.listener.count("roll refused" if refused else "roll unanswered")

    def apply(self, listing: EndpointList) -> None:
        """Pass a listing to the listener, and reset the failure state."""
        self.version = listing.version
        self.backoff.reset()
        if self.registry.start_times:
            self.registry.start_times.on_listing()
        self.lease.on_first_message()
        if self.is_failing:
            log_kv("roll_back", version=listing.version)
        self.is_failing = False
        if listing.endpoints or listing.is_complete:
            log_kv("roll", version=listing.version, whole=listing.is_complete, entries=len(listing.endpoints))
            self.listener.on_endpoint_list(listing.endpoints, listing.is_complete)
