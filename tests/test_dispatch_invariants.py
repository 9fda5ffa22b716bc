"""Invariants of the dispatcher and the upstream side; each test is named after its invariant.

The module docstring of gatebank/proxy/dispatcher.py names the code that enforces each invariant.
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
from tests.support.connections import SETTINGS, AnswerRecorder, UpstreamHarness, encode_success, wait_until
from tests.support.settings_factory import make_settings

pytestmark = pytest.mark.uvloop
IDS = count()


class SilentBalancer:
    """Decides nothing, and stores the events that it receives."""

    def __init__(self) -> None:
        self.now = 0.0
        self.actions: list[Any] = []
        self.events: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        if not name.startswith("on_"):
            raise AttributeError(name)
        return lambda *arguments: self.events.append((name, arguments))


def make_dispatcher() -> tuple[Dispatcher, SilentBalancer]:
    """Return a dispatcher with a balancer that decides nothing."""
    settings = make_settings(SETTINGS)
    dispatcher = Dispatcher(settings, 1, Clock(), EndpointRegistry(settings), 1 << 20)
    dispatcher.upstream = Upstream(settings, 8)
    balancer = SilentBalancer()
    dispatcher.balancer = balancer  # type: ignore[assignment]
    dispatcher.events.balancer = balancer  # type: ignore[assignment]
    return dispatcher, balancer


def client_request() -> ClientRequest:
    arguments = (b"Q.DO", b"k", b"%d" % next(IDS), b"c=sign,d=4000,k=ticket", b"body")
    classes = {"sign": RequestClassRef(0, RetrySafety.KEYED)}
    return parse_request([memoryview(argument) for argument in arguments], classes, {})


def start_request(dispatcher: Dispatcher) -> tuple[RequestInFlight, AnswerRecorder]:
    """Start a request with one outstanding attempt; returns the request and the sink of its answers."""
    sink = AnswerRecorder()
    dispatcher.start_request(client_request(), sink)
    request = sink.request
    assert isinstance(request, RequestInFlight)
    request.attempts.append(None)
    request.undelivered_results += 1
    return request, sink


def end_attempt(dispatcher: Dispatcher, request: RequestInFlight, outcome: Outcome) -> None:
    payload = memoryview(b"v") if outcome is Outcome.SUCCESS else None
    dispatcher.on_attempt_result(request, 0, 0, dispatcher.clock(), EndpointReply(outcome, payload))


Ending = Callable[[Dispatcher, RequestInFlight], None]
ENDINGS: dict[str, Ending] = {
    "success": lambda dispatcher, request: end_attempt(dispatcher, request, Outcome.SUCCESS),
    "deadline": lambda dispatcher, request: dispatcher.on_deadline(request),
    "connection must close": lambda dispatcher, request: dispatcher.fail_reply(request.reply),
    "client disconnected": lambda dispatcher, request: dispatcher.on_client_disconnect(request.reply),
    "rejected": lambda dispatcher, request: dispatcher.carry_out(RejectRequest(request.number, None)),
    "failed": lambda dispatcher, request: dispatcher.carry_out(FailRequest(request.number)),
}


@pytest.mark.parametrize("names", list(permutations(ENDINGS, 3)), ids=", then ".join)
async def test_each_request_has_exactly_one_final_answer(names: tuple[str, ...]) -> None:
    """Three endings in any order give one final answer, or none if the client disconnected first."""
    dispatcher, balancer = make_dispatcher()
    request, sink = start_request(dispatcher)
    for name in names:
        ENDINGS[name](dispatcher, request)
    assert len(sink.answers) == (0 if names[0] == "client disconnected" else 1), sink.answers
    if "success" not in names:  # The outstanding attempt still keeps the row in the table.
        assert dispatcher.requests.get(request.number) is request
        end_attempt(dispatcher, request, Outcome.TIMED_OUT)
    assert not len(dispatcher.requests) and not dispatcher.requests.ids
    assert not dispatcher.requests.size_bytes and sink.request is None
    assert len(sink.answers) <= 1
    assert sum(name == "on_attempt_result" for name, _ in balancer.events) == 1


async def test_number_is_not_reused_before_its_request_is_settled() -> None:
    """A number stays in use while an attempt is outstanding or its result is still queued."""
    dispatcher, balancer = make_dispatcher()
    request, _ = start_request(dispatcher)
    dispatcher.on_client_disconnect(request.reply)
    other, _ = start_request(dispatcher)
    assert other.number != request.number

    numbers: list[int] = []

    def event() -> None:
        end_attempt(dispatcher, request, Outcome.TIMED_OUT)  # The result is queued behind this event.
        numbers.append(start_request(dispatcher)[0].number)

    dispatcher.dispatch(event)
    assert request.number not in numbers
    result_numbers = [arguments[0] for name, arguments in balancer.events if name == "on_attempt_result"]
    assert result_numbers == [request.number]
    assert start_request(dispatcher)[0].number == request.number, "a settled request's number is free again"


def attempt_endings(back: UpstreamHarness, attempt: Attempt, sock: Any) -> Iterator[Callable[[], object]]:
    """Yield functions that end an attempt, each in a different way, from either side of the connection."""
    connection = attempt.connection
    assert connection
    yield lambda: sock.send(encode_success(b"v"))
    yield partial(attempt.abort, Outcome.CANCELLED)
    yield partial(attempt.abort, Outcome.TIMED_OUT)
    yield lambda: connection.close("closed by the test")
    yield sock.close
    yield back.upstream.close


# Indices in the order of `attempt_endings`. An endpoint that has closed its connection cannot reply any more.
REPLY = 0
CLOSED_BY_ENDPOINT = 4
ORDERS = [order for order in permutations(range(6), 2) if order != (CLOSED_BY_ENDPOINT, REPLY)]


@pytest.mark.parametrize("order", ORDERS, ids=str)
async def test_each_attempt_has_exactly_one_result(order: tuple[int, ...]) -> None:
    """Two endings of one attempt in the same iteration of the event loop, in any order, give one result."""
    with closing(UpstreamHarness()) as back:
        results: list[Outcome] = []
        on_result: Callable[[EndpointReply], None] = lambda reply: results.append(reply.outcome)  # noqa: E731
        attempt = back.upstream.send(back.key, "endpoint", lambda: b"x", on_result)
        sock = await back.endpoint.accept()
        await back.endpoint.expect(sock, b"x")
        endings = list(attempt_endings(back, attempt, sock))
        for index in order:
            endings[index]()
        await wait_until(lambda: results)
        for ending in endings[1:4]:
            ending()
        await asyncio.sleep(0.01)  # Time for a second result that would be an error.
        assert len(results) == 1, results
        assert attempt.done
