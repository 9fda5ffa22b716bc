"""Tests that clients get an answer even if the balancer raises an exception."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from gatebank.events import RetrySafety
from gatebank.proxy.clock import Clock
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.messages import RequestClassRef
from gatebank.proxy.resp2.commands import parse_request
from gatebank.proxy.upstream import Upstream
from gatebank.settings import read_settings
from tests.support.socket_scenarios import ROOT, TIMEOUT_S


class FakeResponseSlot:
    """A fake of the client connection's response slot; records the calls that end the request."""

    def __init__(self) -> None:
        self.request, self.answers = None, list[str]()

    def fail(self, reason: str) -> None:
        self.answers.append("failed")

    reject = serve = fail
    source = 1

    def is_pipelined(self) -> bool:
        return False

    client_has_gone = close_may_be_hidden = is_pipelined


async def test_balancer_exception_is_answered_and_leaves_no_request_behind() -> None:
    """A request fails if the balancer raises an exception, at its arrival or at a later timer.

    The client gets its answer, and the dispatcher keeps no state of the request.
    """
    settings = read_settings(json.loads((ROOT / "examples/marshal.json").read_text())["settings"])
    request_classes, tenants = {"read": RequestClassRef(0, RetrySafety.IDEMPOTENT)}, {"all": 0}
    for method in ("on_request", "on_timer"):
        dispatcher = Dispatcher(settings, 1, Clock(), EndpointRegistry(settings), 1 << 20)
        dispatcher.upstream = Upstream(settings, 4)

        def fail(*_: Any) -> None:
            raise RuntimeError("raised by the test")

        setattr(dispatcher.balancer, method, fail)
        arguments = [memoryview(argument) for argument in (b"Q.ASK", b"k", b"i", b"c=read,t=all,d=150")]
        slot = FakeResponseSlot()
        dispatcher.start_request(parse_request(arguments, request_classes, tenants), slot)
        async with asyncio.timeout(TIMEOUT_S):
            while not slot.answers:
                await asyncio.sleep(0.01)
        assert slot.answers == ["failed"] and not dispatcher.requests, (slot.answers, dispatcher.requests)
