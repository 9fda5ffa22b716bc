"""The marshal raises: its customers have their answer all the same."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from gatebank.events import RetrySafety
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Clock, Dispatcher
from gatebank.proxy.downstream import ClientRequest
from gatebank.proxy.upstream import Nodes
from gatebank.settings import read_settings
from tests.support.stand import PATIENCE, ROOT


class Place:
    """Stands for a customer's slot."""

    def __init__(self) -> None:
        self.held, self.said = None, list[str]()

    def broken_off(self, why: str) -> None:
        self.said.append("broken off")

    rejected = satisfied = broken_off


async def test_fault_in_the_marshal_is_answered_and_leaves_no_row() -> None:
    """Faults are answered.

    The marshal raises, at once or later: the customer has its answer all the same, and no row stays.
    """
    orders = read_settings(json.loads((ROOT / "examples/marshal.json").read_text())["settings"])
    workloads, customers = {"read": (0, RetrySafety.IDEMPOTENT)}, {"all": 0}
    for method in ("on_invocation", "on_wake"):
        exchange = Dispatcher(orders, 1, Clock(), EndpointRegistry(orders), 1 << 20)
        exchange.nodes = Nodes(orders, 4)

        def fail(*_: Any) -> None:
            raise RuntimeError("told to")

        setattr(exchange.marshal, method, fail)
        words = [memoryview(word) for word in (b"Q.ASK", b"k", b"i", b"c=read,t=all,d=150")]
        place = Place()
        exchange.invoked(ClientRequest(words, workloads, customers), place)
        async with asyncio.timeout(PATIENCE):
            while not place.said:
                await asyncio.sleep(0.01)
        assert place.said == ["broken off"] and not exchange.held, (place.said, exchange.held)
