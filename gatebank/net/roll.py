"""Discovery: follows the node roll by a watch that goes on, and reads its entries.

Owns one connection to discovery, at a time; the tables from names to small indices are the Register's.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from gatebank.interface import Condition, RollEntry
from gatebank.net.http import Caller, Unanswered
from gatebank.net.launch import Address, Unfit, address
from gatebank.net.log import say
from gatebank.peers import mark

WAIT = 2.0  # s a watch may wait: an outage shows this soon; PROTOCOL allows 60
LATE = 1.0  # s an answer may come after that wait before the connection is held dead
PAUSE = 0.1  # s before a new try: within the 0.2 s in which a watch goes on
CONDITIONS = {"SERVING": Condition.READY, "DRAINING": Condition.DRAINING, "DELETED": Condition.GONE}


class Register:
    """Small indices for nodes' names, and where each stands. As many rows as machines were ever listed
    under a name; emptied with the process."""

    def __init__(self, orders: Mapping[str, Any]) -> None:
        self.index: dict[str, int] = {}
        self.names: list[str] = []
        self.addresses: list[Address] = []
        self.kinds = {name: i for i, name in enumerate(orders.get("kinds", ()))}
        self.zones = {name: i for i, name in enumerate(orders.get("zones", ()))}

    def node(self, name: str) -> int:
        if name not in self.index:
            self.index[name] = len(self.names)
            self.names.append(name)
            self.addresses.append(("", 0))
        return self.index[name]

    def entry(self, each: Mapping[str, Any]) -> RollEntry:
        name, started = each["instanceId"], float(each.get("startedAtMs") or 0)
        node, condition = self.node(name), CONDITIONS[each["lifecycle"]]
        if condition is not Condition.GONE or each.get("hostPort"):
            self.addresses[node] = address(each["hostPort"], "hostPort")
        return RollEntry(
            node,
            mark(name),
            self.kinds.get(each.get("machineType"), 0),
            self.zones.get(each.get("zone"), 0),
            int(each.get("cell") or 0),
            int(each.get("version_no") or 0),
            started / 1000 if started else None,
            condition,
            float(each.get("weight", 1.0)),
        )

    def entries(self, listing: Mapping[str, Any]) -> tuple[list[RollEntry], bool, int]:
        """The entries, whether they are the whole list, and its version; ValueError if it can't be read."""
        try:
            whole, version = bool(listing.get("reset")), int(listing["generation"])
            return [self.entry(each) for each in listing["instances"]], whole, version
        except (KeyError, TypeError, AttributeError, Unfit) as trouble:
            raise ValueError(f"a listing can't be read: {type(trouble).__name__} {trouble}") from trouble


async def follow(
    where: Address,
    register: Register,
    version: int | None,
    rolled: Callable[[list[RollEntry], bool], None],
    failed: Callable[[], None],
) -> None:
    """Ask for what is newer than ``version``, for ever."""
    caller, silent = Caller(where), False
    try:
        while True:
            target = "/discovery/hosts"
            if version is not None:
                target += f"?after={version}&wait_ms={WAIT * 1000:.0f}"
            try:
                status, body = await caller.call("GET", target, WAIT + LATE)
                if status != 200:
                    raise ValueError(f"discovery answered {status}")
                entries, whole, version = register.entries(orjson.loads(body))
            except (Unanswered, ValueError) as trouble:  # the last list stands
                if not silent:
                    say("roll_lost", logging.WARNING, why=trouble)
                    failed()
                silent = True
                caller.close()
                await asyncio.sleep(PAUSE)
                continue
            if silent:
                say("roll_back", version=version)
            silent = False
            if entries or whole:
                say("roll", version=version, whole=whole, entries=len(entries))
                rolled(entries, whole)
    finally:
        caller.close()
