"""Instances that break one rule each, to prove that the soak finds it.

``python -m tests.soak.broken_instance NAME`` runs `serve` with one function of the product replaced.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Callable
from itertools import count
from typing import Any

sys.argv = ["gatebank", "serve", *sys.argv[1:]]  # what gatebank/signal_mask.py looks at as it is imported

import gatebank.__main__ as program
from gatebank import peer_messages
from gatebank.events import Condition, RetrySafety
from gatebank.proxy import discovery
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.listener import Downstream
from gatebank.proxy.downstream.replies import PendingReply
from gatebank.proxy.requests import RequestInFlight
from gatebank.proxy.resp2.commands import Resp2Request
from gatebank.proxy.service import Service
from gatebank.proxy.started_attempt import StartedAttempt
from gatebank.proxy.upstream import Upstream

RARELY = 100  # one in so many is wrong
LATE_S = 1.0
CRASH_AFTER_S = 2.0
NOT_READY_S = 11.0
LEAKED_BYTES = 130 << 20
CRASH_STATUS = 3

numbers = count(1)


def is_rare() -> bool:
    """True once in so many calls."""
    return next(numbers) % RARELY == 0


def lose_answers() -> None:
    """One answer in a hundred never goes out."""
    send = PendingReply.send

    def send_most(reply: PendingReply, parts: Any) -> None:
        if reply.request_id is not None and is_rare():
            reply.parts = ()
            reply.connection.flush()
        else:
            send(reply, parts)

    PendingReply.send = send_most  # type: ignore[method-assign]


def answer_twice() -> None:
    """One answer in a hundred goes out twice."""
    send = PendingReply.send

    def send_some_twice(reply: PendingReply, parts: Any) -> None:
        send(reply, [*parts, *parts] if is_rare() else parts)

    PendingReply.send = send_some_twice  # type: ignore[method-assign]


def give_anothers_answer() -> None:
    """One value in a hundred is that of the request served before."""
    serve = PendingReply.serve
    last = [b""]

    def serve_mostly(reply: PendingReply, value: memoryview) -> None:
        own = bytes(value)
        serve(reply, memoryview(last[0]) if last[0] and is_rare() else value)
        last[0] = own

    PendingReply.serve = serve_mostly  # type: ignore[method-assign]


def answer_late() -> None:
    """One answer in a hundred waits for longer than its client."""
    send = PendingReply.send

    def send_late(reply: PendingReply, parts: Any) -> None:
        if reply.request_id is None or not is_rare():
            send(reply, parts)
            return
        wait = reply.request.client_request.timeout + LATE_S if reply.request else LATE_S
        asyncio.get_running_loop().call_later(wait, send, reply, [bytes(part) for part in parts])

    PendingReply.send = send_late  # type: ignore[method-assign]


def send_after_close() -> None:
    """Each request is begun a while after it came, whether or not its client is still there."""
    start_request = Dispatcher.start_request

    def start_later(dispatcher: Dispatcher, request: Any, reply: Any) -> None:
        asyncio.get_running_loop().call_later(0.3, start_request, dispatcher, request, reply)

    Dispatcher.start_request = start_later  # type: ignore[method-assign]


def ignore_clients_going() -> None:
    """A client that has gone is still worked for."""

    def go_on(dispatcher: Dispatcher, reply: Any) -> None:
        del dispatcher, reply

    Dispatcher.on_client_disconnect = go_on  # type: ignore[method-assign]


def send_twice() -> None:
    """One attempt in ten of what must not run twice is sent on a second connection too."""
    send = Upstream.send

    def send_some_twice(
        upstream: Upstream, key: Any, name: str, payload: Any, on_result: Any, **rest: Any
    ) -> Any:
        attempt = send(upstream, key, name, payload, on_result, **rest)
        started = getattr(on_result, "__self__", None)
        if isinstance(started, StartedAttempt) and is_non_idempotent(started) and next(numbers) % 10 == 0:
            send(upstream, key, name, payload, lambda _: None, **rest)
        return attempt

    Upstream.send = send_some_twice  # type: ignore[method-assign]


def is_non_idempotent(started: StartedAttempt) -> bool:
    """The attempt's request must run once at most."""
    classes = started.dispatcher.settings.request_classes
    return classes[started.request.client_request.request_class].retry_safety is RetrySafety.NON_IDEMPOTENT


def reject_served() -> None:
    """Some requests with an effect that were served are answered as rejected."""
    serve = PendingReply.serve

    def serve_mostly(reply: PendingReply, value: memoryview) -> None:
        if reply.request and reply.request.client_request.request_class and next(numbers) % 10 == 0:
            reply.reject(None)
        else:
            serve(reply, value)

    PendingReply.serve = serve_mostly  # type: ignore[method-assign]


def ignore_drains() -> None:
    """Endpoints that drain, or are gone, count as ready."""
    for lifecycle in ("DRAINING", "DELETED"):
        discovery.CONDITION_BY_LIFECYCLE[lifecycle] = Condition.READY


def prefer(choose: Callable[[Dispatcher], list[int]]) -> None:
    """All attempts go to one of these endpoints, where there are any."""
    start_attempt = Dispatcher.start_attempt

    def start_there(
        dispatcher: Dispatcher, request: RequestInFlight, endpoint: int, until: float | None
    ) -> None:
        preferred = choose(dispatcher)
        start_attempt(dispatcher, request, preferred[0] if preferred else endpoint, until)

    Dispatcher.start_attempt = start_there  # type: ignore[method-assign]


def flood_cold_endpoints() -> None:
    """Whatever has just started gets everything."""
    prefer(
        lambda dispatcher: [
            index
            for index, endpoint in dispatcher.fleet.endpoints.items()
            if endpoint.started_at and dispatcher.clock() - endpoint.started_at < 2.0
        ]
    )


def exceed_cap() -> None:
    """The newest build gets everything."""
    prefer(
        lambda dispatcher: [
            index for index, endpoint in dispatcher.fleet.endpoints.items() if endpoint.build == 42
        ]
    )


def tell_too_long_a_time() -> None:
    """Endpoints are told of a second more than is left."""
    command = Resp2Request.command
    Resp2Request.command = lambda request, timeout: command(request, timeout + 1.0)  # type: ignore[method-assign]


def change_bodies() -> None:
    """One command in a hundred reaches its endpoint with another last byte."""
    command = Resp2Request.command

    def command_mostly(request: Resp2Request, timeout: float) -> bytes:
        data = command(request, timeout)
        return data[:-3] + b"?\r\n" if is_rare() else data

    Resp2Request.command = command_mostly  # type: ignore[method-assign]


def send_long_datagrams() -> None:
    """Messages to peers are longer than allowed."""
    encode = peer_messages.encode
    peer_messages.MAX_MESSAGE_BYTES = 1000
    peer_messages.encode = lambda message: encode(message) + bytes(300)


def crash() -> None:
    """The process ends by itself."""
    listen = Service.listen

    def listen_for_a_while(service: Service) -> None:
        listen(service)
        asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, CRASH_STATUS)

    Service.listen = listen_for_a_while  # type: ignore[method-assign]


def start_slowly() -> None:
    """The process takes long to be ready."""
    time.sleep(NOT_READY_S)


def leak_descriptors() -> None:
    """Each client's connection leaves a descriptor behind."""
    welcome = Downstream.add_connection

    def welcome_and_keep(downstream: Downstream, sock: Any) -> Any:
        os.dup(sock.fileno())
        return welcome(downstream, sock)

    Downstream.add_connection = welcome_and_keep  # type: ignore[method-assign]


def leak_memory() -> None:
    """Over half of the memory limit is taken and kept."""
    global leaked
    leaked = bytearray(LEAKED_BYTES)


def ignore_partial_commands() -> None:
    """Nobody looks after clients that stop within a command."""
    limits.COMMAND_IDLE_TIMEOUT_S = 60.0
    limits.COMMAND_TIMEOUT_S = 60.0


def close_at_sigterm() -> None:
    """SIGTERM closes all connections, whatever is in flight on them."""

    async def leave(downstream: Downstream) -> None:
        downstream.close()

    Downstream.shut_down = leave  # type: ignore[method-assign]


def fall_silent_at_sigterm() -> None:
    """After SIGTERM nothing is answered any more."""
    send = PendingReply.send

    def send_before(reply: PendingReply, parts: Any) -> None:
        if reply.connection.downstream.terminated_at is None:
            send(reply, parts)

    PendingReply.send = send_before  # type: ignore[method-assign]


leaked = bytearray()
FAULTS: dict[str, Callable[[], None]] = {
    each.__name__: each
    for each in (
        lose_answers, answer_twice, give_anothers_answer, answer_late, send_after_close, send_twice,
        ignore_clients_going, reject_served, ignore_drains, flood_cold_endpoints, exceed_cap,
        tell_too_long_a_time, crash, change_bodies, send_long_datagrams, start_slowly, leak_descriptors,
        leak_memory, ignore_partial_commands, close_at_sigterm, fall_silent_at_sigterm,
    )
}  # fmt: skip

if __name__ == "__main__":
    FAULTS[sys.argv.pop(2)]()
    program.main()
