"""Discovery: follows the node roll by a watch that goes on, and reads its entries.

Owns one connection to discovery, at a time; the tables from names to small indices are the Register's.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Container, Mapping
from random import Random
from typing import Any

import orjson

from gatebank.events import Condition, Endpoint
from gatebank.peer_messages import name_hash
from gatebank.proxy.configuration import Address, ConfigurationError, address
from gatebank.proxy.http import Caller, NoReplyError
from gatebank.proxy.log import say
from gatebank.proxy.sockets import Turn
from gatebank.settings import Settings

WAIT = 2.0  # s a watch may wait: an outage shows this soon; PROTOCOL allows 60
LATE = 1.0  # s an answer may come after that wait before the connection is held dead
PAUSE = 0.1  # s before a new try: within the 0.2 s in which a watch goes on
# Tries a second of all marshals together where calls cost discovery. When 40 marshals tried again after
# 0.1 s, it answered 15 and refused 25, at 240 calls a second, to the end of the day; where they began with
# 2 s it answered all within 5 s, with 0.5 s within 13 s (herd+vast, a play each).
TRIES = 20
MOST_PAUSE = 4.0  # s, half as much again by chance: what a list tells counts as told 6 s later (PROTOCOL)
GROWTH = 1.5  # from one pause to the next
RESTS = 256  # indices free before one is used again: more than a roll changes while a shot is out
CONDITIONS = {"SERVING": Condition.READY, "DRAINING": Condition.DRAINING, "DELETED": Condition.GONE}


class EndpointRegistry:
    """Small indices for nodes' names, and where each stands. Emptied by `keep` as nodes leave the roll; an
    index is used again only after many others, when nothing speaks of the old node any more.

    >>> register = EndpointRegistry(Settings())
    >>> for name in range(2 * RESTS):
    ...     register.keep({register.node("stays"), register.node(str(name))})
    >>> len(register.names) <= RESTS + 3, register.node("stays"), len(register.index)
    (True, 0, 2)
    """

    def __init__(self, settings: Settings) -> None:
        self.index: dict[str, int] = {}
        self.names: list[str] = []
        self.addresses: list[Address] = []
        self.free: deque[int] = deque()  # the longest free first
        self.kinds = {name: i for i, name in enumerate(settings.kinds)}
        self.zones = {name: i for i, name in enumerate(settings.zones)}

    def node(self, name: str) -> int:
        if name not in self.index:
            if len(self.free) <= RESTS:
                self.free.appendleft(len(self.names))
                self.names.append("")
                self.addresses.append(("", 0))
            index = self.index[name] = self.free.popleft()
            self.names[index], self.addresses[index] = name, ("", 0)
        return self.index[name]

    def keep(self, listed: Container[int]) -> None:
        for name, index in list(self.index.items()):
            if index not in listed:
                del self.index[name]
                self.free.append(index)

    def read(self, each: Mapping[str, Any]) -> tuple[str, Address | None, tuple[Any, ...]]:
        """An entry's name, its address and the rest of its line, checked; nothing is changed by it yet."""
        name, condition = each["instanceId"], CONDITIONS[each["lifecycle"]]
        numbers = [each.get("startedAtMs") or 0, each.get("weight", 1.0)]
        whole = [each.get("cell") or 0, each.get("version_no") or 0]
        if not isinstance(name, str) or not name or any(type(each) is not int or each < 0 for each in whole):
            raise ValueError(f"{name!r} has no name, or a number that is none")
        if not all(type(each) in (int, float) and 0 <= each < 1e15 for each in numbers):
            raise ValueError(f"{name!r} has a number that is none")
        gone = condition is Condition.GONE and not each.get("hostPort")
        kind, zone = self.kinds.get(each.get("machineType"), 0), self.zones.get(each.get("zone"), 0)
        started, weight = numbers[0] / 1000 or None, float(numbers[1])
        where = None if gone else address(each["hostPort"], "hostPort")
        return name, where, (kind, zone, *whole, started, condition, weight)

    def entry(self, name: str, where: Address | None, rest: tuple[Any, ...]) -> Endpoint:
        node = self.node(name)
        self.addresses[node] = where or self.addresses[node]
        return Endpoint(node, name_hash(name), *rest)

    def entries(self, listing: Mapping[str, Any]) -> tuple[list[Endpoint], bool, int]:
        """The entries, whether they are the whole list, and its version; ValueError if it can't be read, and
        then nothing of it is taken."""
        try:
            whole, version = bool(listing.get("reset")), listing["generation"]
            if type(version) is not int:
                raise ValueError(f"version {version!r}")
            found = [self.read(each) for each in listing["instances"]]
        except (KeyError, TypeError, ValueError, AttributeError, ConfigurationError) as trouble:
            raise ValueError(f"a listing can't be read: {type(trouble).__name__} {trouble}") from trouble
        return [self.entry(*each) for each in found], whole, version


class Refused(Exception):
    """Discovery answered that it does not answer."""


class PollBackoff:
    """How long a marshal waits before it calls again. An agent on its own machine costs nothing, so it waits
    the same short time always. Discovery itself is every marshal's, and who is refused by it is one of many:
    all configured together begin with so many tries a second, and fewer with each that fails, spread by
    chance. After silence the first try comes soon: what broke may be this watch alone. Harmful where many are
    configured and few run: these then wait longer than they need, 6 s at most."""

    def __init__(self, settings: Settings, chance: Random) -> None:
        self.shared, self.chance = settings.polls_endpoints, chance
        self.least = min(MOST_PAUSE, max(PAUSE, settings.instance_count / TRIES))
        self.pause = PAUSE

    def first(self) -> float:
        """Before the first call: those that were killed together start together."""
        return self.chance.uniform(0.0, self.least / 2) if self.shared else 0.0

    def failed(self, refused: bool) -> float:
        if not self.shared:
            return PAUSE
        self.pause = max(self.pause, self.least if refused else PAUSE)
        pause, self.pause = self.pause, min(MOST_PAUSE, self.pause * GROWTH)
        return pause * self.chance.uniform(0.5, 1.5)

    def answered(self) -> None:
        self.pause = PAUSE


async def follow(
    where: Address,
    register: EndpointRegistry,
    version: int | None,
    rolled: Callable[[list[Endpoint], bool], None],
    failed: Callable[[], None],
    tries: PollBackoff,
    count: Callable[[str], None],
    turn: Turn,
) -> None:
    """Ask for what is newer than ``version``, for ever; once another takes over, only while this lasts."""
    caller, silent = Caller(where), False
    try:
        await asyncio.sleep(tries.first())
        while True:
            target = "/discovery/hosts"
            if version is not None:
                target += f"?after={version}&wait_ms={WAIT * 1000:.0f}"
            try:
                limit = LATE if version is None else WAIT + LATE
                count("roll calls")
                status, body = await caller.call("GET", target, limit)
                if status != 200:
                    raise Refused(f"discovery answered {status}")
                entries, whole, version = register.entries(orjson.loads(body))
            except (NoReplyError, Refused, ValueError) as trouble:  # the last list stands
                if turn.over:
                    return
                if not silent:
                    say("roll_lost", logging.WARNING, why=trouble)
                    failed()
                silent = True
                count("roll refused" if isinstance(trouble, Refused) else "roll unanswered")
                caller.close()
                await asyncio.sleep(tries.failed(isinstance(trouble, Refused)))
                continue
            tries.answered()
            turn.begins()
            if silent:
                say("roll_back", version=version)
            silent = False
            if entries or whole:
                say("roll", version=version, whole=whole, entries=len(entries))
                rolled(entries, whole)
    finally:
        caller.close()
