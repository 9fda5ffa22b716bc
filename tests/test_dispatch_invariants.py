"""What the dispatcher and the upstream side promise at all times; each test bears its invariant's name.

The module docstring of gatebank/proxy/dispatcher.py names the place that keeps each.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import closing
from functools import partial
from itertools import count, permutations
from typing import Any

import pytest

from gatebank.actions import FailRequest, RejectRequest
from gatebank.events import Outcome, RetrySafety
from gatebank.proxy.clock import Clock
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.messages import ClientRequest, RequestClassRef
from gatebank.proxy.requests import RequestInFlight
from gatebank.proxy.resp2.commands import parse_request
from gatebank.proxy.upstream import Attempt, EndpointReply, Upstream
from tests.support.connections import SETTINGS, Back, Said, until, value
from tests.support.settings_factory import make_settings

pytestmark = pytest.mark.uvloop
IDS = count()


class SilentBalancer:
    """Decides nothing; keeps what it is told."""

    def __init__(self) -> None:
        self.now = 0.0
        self.actions: list[Any] = []
        self.told: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        if not name.startswith("on_"):
            raise AttributeError(name)
        return lambda *arguments: self.told.append((name, arguments))


def dispatcher_alone() -> tuple[Dispatcher, SilentBalancer]:
    """A dispatcher whose balancer decides nothing."""
    settings = make_settings(SETTINGS)
    dispatcher = Dispatcher(settings, 1, Clock(), EndpointRegistry(settings), 1 << 20)
    dispatcher.upstream = Upstream(settings, 8)
    balancer = SilentBalancer()
    dispatcher.balancer = balancer  # type: ignore[assignment]
    dispatcher.events.balancer = balancer  # type: ignore[assignment]
    return dispatcher, balancer


def client_request() -> ClientRequest:
    words = (b"Q.DO", b"k", b"%d" % next(IDS), b"c=sign,d=4000,k=ticket", b"body")
    classes = {"sign": RequestClassRef(0, RetrySafety.KEYED)}
    return parse_request([memoryview(word) for word in words], classes, {})


def begin(dispatcher: Dispatcher) -> tuple[RequestInFlight, Said]:
    """A request in flight, with one attempt out."""
    said = Said()
    dispatcher.start_request(client_request(), said)
    request = said.request
    assert isinstance(request, RequestInFlight)
    request.attempts.append(None)
    request.undelivered_results += 1
    return request, said


def result(dispatcher: Dispatcher, request: RequestInFlight, outcome: Outcome) -> None:
    payload = memoryview(b"v") if outcome is Outcome.SUCCESS else None
    dispatcher.on_attempt_result(request, 0, 0, dispatcher.clock(), EndpointReply(outcome, payload))


Ending = Callable[[Dispatcher, RequestInFlight], None]
ENDINGS: dict[str, Ending] = {
    "success": lambda dispatcher, request: result(dispatcher, request, Outcome.SUCCESS),
    "deadline": lambda dispatcher, request: dispatcher.on_deadline(request),
    "connection must end": lambda dispatcher, request: dispatcher.fail_reply(request.reply),
    "client gone": lambda dispatcher, request: dispatcher.on_client_disconnect(request.reply),
    "rejected": lambda dispatcher, request: dispatcher.carry_out(RejectRequest(request.number, None)),
    "failed": lambda dispatcher, request: dispatcher.carry_out(FailRequest(request.number)),
}


@pytest.mark.parametrize("names", list(permutations(ENDINGS, 3)), ids=", then ".join)
async def test_each_request_has_exactly_one_final_answer(names: tuple[str, ...]) -> None:
    """Whatever ends a request, and whatever comes behind: one answer, or none where its client had gone."""
    dispatcher, balancer = dispatcher_alone()
    request, said = begin(dispatcher)
    for name in names:
        ENDINGS[name](dispatcher, request)
    assert len(said.said) == (0 if names[0] == "client gone" else 1), said.said
    if "success" not in names:  # the attempt that is out still holds the row
        assert dispatcher.requests.get(request.number) is request
        result(dispatcher, request, Outcome.TIMED_OUT)
    assert not len(dispatcher.requests) and not dispatcher.requests.ids
    assert not dispatcher.requests.size_bytes and said.request is None
    assert len(said.said) <= 1
    assert sum(name == "on_attempt_result" for name, _ in balancer.told) == 1


async def test_a_number_is_not_used_again_before_its_request_is_settled() -> None:
    """Answered, but an attempt is out, or its result waits for its turn: the number is nobody else's."""
    dispatcher, balancer = dispatcher_alone()
    request, _ = begin(dispatcher)
    dispatcher.on_client_disconnect(request.reply)
    other, _ = begin(dispatcher)
    assert other.number != request.number

    numbers: list[int] = []

    def amid_an_event() -> None:
        result(dispatcher, request, Outcome.TIMED_OUT)  # its result is queued behind this event
        numbers.append(begin(dispatcher)[0].number)

    dispatcher.dispatch(amid_an_event)
    assert request.number not in numbers
    told = [arguments[0] for name, arguments in balancer.told if name == "on_attempt_result"]
    assert told == [request.number]
    assert begin(dispatcher)[0].number == request.number, "settled: it is free again"


def attempt_endings(back: Back, attempt: Attempt, sock: Any) -> Iterator[Callable[[], object]]:
    """What may end an attempt, by either side."""
    connection = attempt.connection
    assert connection
    yield lambda: sock.send(value(b"v"))
    yield partial(attempt.give_up, Outcome.CANCELLED)
    yield partial(attempt.give_up, Outcome.TIMED_OUT)
    yield connection.close
    yield sock.close
    yield back.nodes.close


ANSWERS = 0  # of `attempt_endings`
CLOSED_BY_ENDPOINT = 4
ORDERS = [order for order in permutations(range(6), 2) if order != (CLOSED_BY_ENDPOINT, ANSWERS)]


@pytest.mark.parametrize("order", ORDERS, ids=str)
async def test_each_attempt_has_exactly_one_result(order: tuple[int, ...]) -> None:
    """Two endings of one attempt in one turn of the loop, in each order: one result."""
    with closing(Back()) as back:
        results: list[Outcome] = []
        note: Callable[[EndpointReply], None] = lambda reply: results.append(reply.outcome)  # noqa: E731
        attempt = back.nodes.send(back.key, "toy", lambda: b"x", note)
        sock = await back.toy.accepted()
        await back.toy.asked(sock, b"x")
        endings = list(attempt_endings(back, attempt, sock))
        for index in order:
            endings[index]()
        await until(lambda: results)
        for ending in endings[1:4]:
            ending()
        await asyncio.sleep(0.01)  # what is still on its way may come
        assert len(results) == 1, results
        assert attempt.done
