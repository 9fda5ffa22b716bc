"""Discovery: watches the endpoint list, and reads its entries.

A watch owns one connection to discovery at a time; the tables from names to small indices are the
`EndpointRegistry`'s.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Container, Mapping
from random import Random
from typing import Any, NamedTuple, Protocol

import orjson

from gatebank.errors import GatebankError
from gatebank.events import Condition, Endpoint
from gatebank.peer_messages import name_hash
from gatebank.proxy.configuration import Address, ConfigurationError, parse_address
from gatebank.proxy.http import HttpClient, NoReplyError
from gatebank.proxy.log import log_kv
from gatebank.proxy.sockets import WatchLease
from gatebank.settings import Settings

WATCH_PATH = "/discovery/hosts"
WATCH_WAIT_S = 2.0  # that a watch may wait: an outage shows this soon; PROTOCOL allows 60
ANSWER_LATE_S = 1.0  # that an answer may come after that wait before the connection is held dead
MIN_RETRY_DELAY_S = 0.1  # before a new try: within the 0.2 s in which a watch goes on
# Calls a second of all instances together where calls cost discovery. When 40 instances tried again after
# 0.1 s, it answered 15 and refused 25, at 240 calls a second, to the end of the day; where they began with
# 2 s it answered all within 5 s, with 0.5 s within 13 s (herd+vast, a play each).
FLEET_CALLS_PER_S = 20
MAX_RETRY_DELAY_S = 4.0  # half as much again by chance: what a list says counts as told 6 s later (PROTOCOL)
DELAY_GROWTH = 1.5  # from one delay to the next
MIN_FREE_INDICES = 256  # free before one is used again: more than a list changes while an attempt is out
MAX_NUMBER = 1e15  # exclusive; above it a float is no whole number any more
CONDITIONS = {"SERVING": Condition.READY, "DRAINING": Condition.DRAINING, "DELETED": Condition.GONE}
NO_ADDRESS: Address = ("", 0)


class EndpointListError(GatebankError):
    """A listing of discovery can't be read; nothing of it was taken."""


class DiscoveryRefusedError(GatebankError):
    """Discovery answered that it does not answer."""


class EndpointList(NamedTuple):
    """A listing of discovery.

    Attributes:
        is_complete: It is the whole list; else what has changed since the version before.
    """

    endpoints: list[Endpoint]
    is_complete: bool
    version: int


class ListEntry(NamedTuple):
    """One checked line of a listing, before it is given an index.

    Attributes:
        address: None for an endpoint that is gone.
        started: Unix time in seconds; None if not listed.
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
    """Small indices for endpoints' names, and where each stands.

    Emptied by `retain` as endpoints leave the list; an index is used again only after many others, when
    nothing speaks of the old endpoint any more.

    >>> registry = EndpointRegistry(Settings())
    >>> for name in range(2 * MIN_FREE_INDICES):
    ...     registry.retain({registry.index_of("stays"), registry.index_of(str(name))})
    >>> len(registry.names) <= MIN_FREE_INDICES + 3, registry.index_of("stays"), len(registry.indices)
    (True, 0, 2)
    """

    def __init__(self, settings: Settings) -> None:
        self.indices: dict[str, int] = {}  # by name
        self.names: list[str] = []  # by index, likewise the addresses
        self.addresses: list[Address] = []
        self.free_indices: deque[int] = deque()  # the longest free first
        self.machine_kinds: dict[str | None, int] = {name: index for index, name in enumerate(settings.kinds)}
        self.zones: dict[str | None, int] = {name: index for index, name in enumerate(settings.zones)}

    def index_of(self, name: str) -> int:
        """The endpoint's index; a new one for a name that has none."""
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
        """Free the indices of all endpoints that are not listed."""
        for name, index in list(self.indices.items()):
            if index not in listed:
                del self.indices[name]
                self.free_indices.append(index)

    def parse_list(self, listing: Mapping[str, Any]) -> EndpointList:
        """Read a listing, checked whole before anything is changed by it.

        Raises:
            EndpointListError: It can't be read.
        """
        try:
            is_complete = bool(listing.get("reset"))
            version = parse_version(listing["generation"])
            entries = [self.parse_entry(instance) for instance in listing["instances"]]
        except (KeyError, TypeError, ValueError, AttributeError, ConfigurationError) as error:
            raise EndpointListError(f"a listing can't be read: {type(error).__name__} {error}") from error
        return EndpointList([self.register(entry) for entry in entries], is_complete, version)

    def parse_entry(self, instance: Mapping[str, Any]) -> ListEntry:
        """Check one line of a listing; nothing is changed by it yet."""
        name = instance["instanceId"]
        condition = CONDITIONS[instance["lifecycle"]]
        started_ms = instance.get("startedAtMs") or 0
        weight = instance.get("weight", 1.0)
        cell = instance.get("cell") or 0
        build = instance.get("version_no") or 0
        whole = all(type(number) is int and number >= 0 for number in (cell, build))
        if not isinstance(name, str) or not name or not whole:
            raise ValueError(f"{name!r} has no name, or a number that is none")
        if not (is_number(started_ms) and is_number(weight)):
            raise ValueError(f"{name!r} has a number that is none")
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
        """Give an entry its index, and note its address."""
        index = self.index_of(entry.name)
        self.addresses[index] = entry.address or self.addresses[index]
        return Endpoint(
            index,
            name_hash(entry.name),
            entry.machine_kind,
            entry.zone,
            entry.cell,
            entry.build,
            entry.started,
            entry.condition,
            entry.weight,
        )


def parse_version(value: object) -> int:
    """The version of a listing.

    Raises:
        ValueError: It is no whole number.
    """
    if type(value) is not int:
        raise ValueError(f"version {value!r}")
    return value


def is_number(value: object) -> bool:
    """A number of JSON, neither negative nor beyond reason."""
    return type(value) in (int, float) and 0 <= value < MAX_NUMBER  # type: ignore[operator]


class PollBackoff:
    """How long an instance waits before it calls discovery again.

    An agent on its own machine costs nothing, so it waits the same short time always. Discovery itself is
    every instance's, and who is refused by it is one of many: all configured together begin with so many
    calls a second, and fewer with each that fails, spread by chance. After silence the first try comes soon:
    what broke may be this watch alone. Harmful where many are configured and few run: these then wait longer
    than they need, 6 s at most.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self.is_shared = settings.polls_endpoints
        self.random = random
        self.min_refused_delay = min(
            MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, settings.instance_count / FLEET_CALLS_PER_S)
        )
        self.delay = MIN_RETRY_DELAY_S

    def first_delay(self) -> float:
        """Seconds before the first call: those that were killed together start together."""
        return self.random.uniform(0.0, self.min_refused_delay / 2) if self.is_shared else 0.0

    def delay_after_failure(self, refused: bool) -> float:
        """Seconds before the next call, after one that failed."""
        if not self.is_shared:
            return MIN_RETRY_DELAY_S
        delay = max(self.delay, self.min_refused_delay if refused else MIN_RETRY_DELAY_S)
        self.delay = min(MAX_RETRY_DELAY_S, delay * DELAY_GROWTH)
        return delay * self.random.uniform(0.5, 1.5)

    def reset(self) -> None:
        """A call was answered: the next that fails is the first again."""
        self.delay = MIN_RETRY_DELAY_S


class EndpointListener(Protocol):
    """Who is told of the endpoint list: the dispatcher."""

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        """The list, or what has changed of it."""

    def on_watch_failed(self) -> None:
        """Discovery does not answer."""

    def count(self, what: str) -> None:
        """Count a call, or how it failed."""


class EndpointWatch:
    """Asks for what is newer than ``version``, for ever; the last list stands while nothing comes.

    Args:
        where: Discovery's address.
        registry: Reads the listings.
        listener: Is told of them.
        version: Of the list that is known already; None: the whole list is asked for.
        backoff: Delays between calls that fail.
        turn: Once another takes over, this lasts only as long as its connection.
    """

    def __init__(
        self,
        where: Address,
        registry: EndpointRegistry,
        listener: EndpointListener,
        *,
        version: int | None,
        backoff: PollBackoff,
        turn: WatchLease,
    ) -> None:
        self.registry = registry
        self.listener = listener
        self.version = version
        self.backoff = backoff
        self.turn = turn
        self.caller = HttpClient(where)
        self.is_failing = False

    async def run(self) -> None:
        """Watch until the turn is over."""
        try:
            await asyncio.sleep(self.backoff.first_delay())
            while True:
                try:
                    listing = await self.poll()
                except (NoReplyError, DiscoveryRefusedError, EndpointListError, ValueError) as error:
                    if self.turn.is_superseded:
                        return
                    refused = isinstance(error, DiscoveryRefusedError)
                    self.note_failure(error, refused)
                    self.caller.close()
                    await asyncio.sleep(self.backoff.delay_after_failure(refused))
                else:
                    self.take(listing)
        finally:
            self.caller.close()

    async def poll(self) -> EndpointList:
        """One call.

        Raises:
            NoReplyError: There was no whole answer in time.
            DiscoveryRefusedError: It was refused.
            EndpointListError: The answer can't be read.
            ValueError: The answer is no JSON.
        """
        target = WATCH_PATH
        limit = ANSWER_LATE_S
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={WATCH_WAIT_S * 1000:.0f}"
            limit += WATCH_WAIT_S
        self.listener.count("roll calls")
        reply = await self.caller.call("GET", target, limit)
        if reply.status != 200:
            raise DiscoveryRefusedError(f"discovery answered {reply.status}")
        return self.registry.parse_list(orjson.loads(reply.body))

    def note_failure(self, error: Exception, refused: bool) -> None:
        """Say once that discovery is lost, and count each call that failed."""
        if not self.is_failing:
            log_kv("roll_lost", logging.WARNING, why=error)
            self.listener.on_watch_failed()
        self.is_failing = True
        self.listener.count("roll refused" if refused else "roll unanswered")

    def take(self, listing: EndpointList) -> None:
        """Pass a listing on."""
        self.version = listing.version
        self.backoff.reset()
        self.turn.on_first_message()
        if self.is_failing:
            log_kv("roll_back", version=listing.version)
        self.is_failing = False
        if listing.endpoints or listing.is_complete:
            log_kv("roll", version=listing.version, whole=listing.is_complete, entries=len(listing.endpoints))
            self.listener.on_endpoint_list(listing.endpoints, listing.is_complete)
