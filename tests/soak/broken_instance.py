"""Instances that each break one rule, to prove that the soak detects the violation.

``python -m tests.soak.broken_instance NAME`` runs `serve` with one function of gatebank replaced.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

sys.argv = ["gatebank", "serve", *sys.argv[1:]]  # gatebank/signal_mask.py reads the arguments on import.

import gatebank.__main__ as program
from gatebank import peer_messages
from gatebank.core.sticky_keys import StickyKeys
from gatebank.events import Condition, RetrySafety
from gatebank.proxy import discovery
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.listener import Downstream
from gatebank.proxy.downstream.replies import PendingReply
from gatebank.proxy.recent_ids import RecentRequestIds
from gatebank.proxy.requests import RequestInFlight
from gatebank.proxy.resp2.codec import Resp2Buffer
from gatebank.proxy.resp2.commands import Resp2Request
from gatebank.proxy.service import Service
from gatebank.proxy.started_attempt import StartedAttempt
from gatebank.proxy.upstream import Upstream

CALLS_PER_FAULT = 100  # One call in this many goes wrong.
EXTRA_DELAY_S = 1.0  # Delay of a late answer beyond its client's timeout.
CRASH_AFTER_S = 2.0
START_DELAY_S = 11.0
LEAKED_BYTES = 130 << 20
CRASH_STATUS = 3
SKIP_S = 2e-5  # Some times what gatebank needed, so that the fault shows however slow the flood is.

call_numbers = count(1)


def is_rare() -> bool:
    """Return true once in CALLS_PER_FAULT calls."""
    return next(call_numbers) % CALLS_PER_FAULT == 0


def lose_answers() -> None:
    """Never send one answer in a hundred."""
    send = PendingReply.send

    def send_unless_rare(reply: PendingReply, parts: Any) -> None:
        if reply.request_id is not None and is_rare():
            reply.parts = ()
            reply.connection.flush()
        else:
            send(reply, parts)

    PendingReply.send = send_unless_rare  # type: ignore[method-assign]


def answer_twice() -> None:
    """Send one answer in a hundred twice."""
    send = PendingReply.send

    def send_sometimes_twice(reply: PendingReply, parts: Any) -> None:
        send(reply, [*parts, *parts] if is_rare() else parts)

    PendingReply.send = send_sometimes_twice  # type: ignore[method-assign]


def give_answer_of_other_request() -> None:
    """Answer one request in a hundred with the value of the request served before it."""
    serve = PendingReply.serve
    last = [b""]

    def serve_or_reject(reply: PendingReply, value: memoryview) -> None:
        own = bytes(value)
        serve(reply, memoryview(last[0]) if last[0] and is_rare() else value)
        last[0] = own

    PendingReply.serve = serve_or_reject  # type: ignore[method-assign]


def answer_late() -> None:
    """Delay one answer in a hundred beyond its client's timeout."""
    send = PendingReply.send

    def send_sometimes_late(reply: PendingReply, parts: Any) -> None:
        if reply.request_id is None or not is_rare():
            send(reply, parts)
            return
        wait = reply.request.client_request.timeout + EXTRA_DELAY_S if reply.request else EXTRA_DELAY_S
        asyncio.get_running_loop().call_later(wait, send, reply, [bytes(part) for part in parts])

    PendingReply.send = send_sometimes_late  # type: ignore[method-assign]


def send_after_close() -> None:
    """Start each request some time after its arrival, even if its client has disconnected meanwhile."""
    start_request = Dispatcher.start_request

    def start_after_delay(dispatcher: Dispatcher, request: Any, reply: Any) -> None:
        asyncio.get_running_loop().call_later(0.3, start_request, dispatcher, request, reply)

    Dispatcher.start_request = start_after_delay  # type: ignore[method-assign]
    send_for_departed_clients()


def ignore_client_disconnects() -> None:
    """Continue to work on requests whose client has disconnected."""

    def ignore_disconnect(dispatcher: Dispatcher, reply: Any) -> None:
        del dispatcher, reply

    Dispatcher.on_client_disconnect = ignore_disconnect  # type: ignore[method-assign]
    send_for_departed_clients()


def send_for_departed_clients() -> None:
    """Leave out the check, just before an attempt is sent, of whether the client has gone."""

    def never_gone(reply: PendingReply) -> bool:
        del reply
        return False

    PendingReply.client_has_gone = never_gone  # type: ignore[method-assign]
    PendingReply.close_may_be_hidden = never_gone  # type: ignore[method-assign]


def forget_ids() -> None:
    """Remember no id of a request that may have run."""

    def remember_nothing(*_: object) -> None:
        return

    RecentRequestIds.add = remember_nothing  # type: ignore[method-assign]


def send_twice() -> None:
    """Send one in ten attempts of non-idempotent requests on a second connection too."""
    send = Upstream.send

    def send_sometimes_twice(
        upstream: Upstream, key: Any, name: str, payload: Any, on_result: Any, **rest: Any
    ) -> Any:
        attempt = send(upstream, key, name, payload, on_result, **rest)
        started = getattr(on_result, "__self__", None)
        if (
            isinstance(started, StartedAttempt)
            and is_non_idempotent(started)
            and next(call_numbers) % 10 == 0
        ):
            send(upstream, key, name, payload, lambda _: None, **rest)
        return attempt

    Upstream.send = send_sometimes_twice  # type: ignore[method-assign]


def is_non_idempotent(started: StartedAttempt) -> bool:
    """Return whether the attempt's request must be executed at most once."""
    classes = started.dispatcher.settings.request_classes
    return classes[started.request.client_request.request_class].retry_safety is RetrySafety.NON_IDEMPOTENT


def reject_served() -> None:
    """Answer one in ten served requests that have an effect as rejected."""
    serve = PendingReply.serve

    def serve_or_reject(reply: PendingReply, value: memoryview) -> None:
        if reply.request and reply.request.client_request.request_class and next(call_numbers) % 10 == 0:
            reply.reject(None)
        else:
            serve(reply, value)

    PendingReply.serve = serve_or_reject  # type: ignore[method-assign]


def ignore_drains() -> None:
    """Treat endpoints that are draining or deleted as ready."""
    for lifecycle in ("DRAINING", "DELETED"):
        discovery.CONDITION_BY_LIFECYCLE[lifecycle] = Condition.READY


def prefer_endpoints(choose: Callable[[Dispatcher], list[int]]) -> None:
    """Send all attempts to the first endpoint that ``choose`` returns, if it returns any."""
    start_attempt = Dispatcher.start_attempt

    def start_at_preferred(
        dispatcher: Dispatcher, request: RequestInFlight, endpoint: int, until: float | None
    ) -> None:
        preferred = choose(dispatcher)
        start_attempt(dispatcher, request, preferred[0] if preferred else endpoint, until)

    Dispatcher.start_attempt = start_at_preferred  # type: ignore[method-assign]


def flood_cold_endpoints() -> None:
    """Send all attempts to an endpoint that started less than 2 s ago."""
    prefer_endpoints(
        lambda dispatcher: [
            index
            for index, endpoint in dispatcher.fleet.endpoints.items()
            if endpoint.started_at and dispatcher.clock() - endpoint.started_at < 2.0
        ]
    )


def exceed_cap() -> None:
    """Send all attempts to the canary's build."""
    prefer_endpoints(
        lambda dispatcher: [
            index for index, endpoint in dispatcher.fleet.endpoints.items() if endpoint.build == 42
        ]
    )


def send_too_long_timeouts() -> None:
    """Send endpoints a timeout that is 1 s longer than the request's remaining time."""
    command = Resp2Request.command
    Resp2Request.command = lambda request, timeout: command(request, timeout + 1.0)  # type: ignore[method-assign]


def change_bodies() -> None:
    """Change the last byte of one command in a hundred."""
    command = Resp2Request.command

    def command_or_changed(request: Resp2Request, timeout: float) -> bytes:
        data = command(request, timeout)
        return data[:-3] + b"?\r\n" if is_rare() else data

    Resp2Request.command = command_or_changed  # type: ignore[method-assign]


def send_long_datagrams() -> None:
    """Send messages to peers that are longer than allowed."""
    encode = peer_messages.encode
    peer_messages.MAX_MESSAGE_BYTES = 1000
    peer_messages.encode = lambda message: encode(message) + bytes(300)


def crash() -> None:
    """End the process with CRASH_STATUS some time after it starts to listen."""
    listen = Service.listen

    def listen_until_crash(service: Service) -> None:
        listen(service)
        asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, CRASH_STATUS)

    Service.listen = listen_until_crash  # type: ignore[method-assign]


def start_slowly() -> None:
    """Delay the start of the process beyond the time limit for readiness."""
    time.sleep(START_DELAY_S)


def leak_descriptors() -> None:
    """Leak one descriptor for each client connection."""
    add_connection = Downstream.add_connection

    def add_connection_and_leak(downstream: Downstream, sock: Any) -> Any:
        os.dup(sock.fileno())
        return add_connection(downstream, sock)

    Downstream.add_connection = add_connection_and_leak  # type: ignore[method-assign]


def leak_memory() -> None:
    """Allocate more than half of the memory limit and never free it."""
    global leaked
    leaked = bytearray(LEAKED_BYTES)


def ignore_partial_commands() -> None:
    """Raise the timeouts of clients that stop within a command to 60 s."""
    limits.COMMAND_IDLE_TIMEOUT_S = 60.0
    limits.COMMAND_TIMEOUT_S = 60.0


def close_at_sigterm() -> None:
    """Close all connections at SIGTERM, even if requests are in flight on them."""

    async def close_immediately(downstream: Downstream) -> None:
        downstream.close()

    Downstream.shut_down = close_immediately  # type: ignore[method-assign]


def fall_silent_at_sigterm() -> None:
    """Send no answers after SIGTERM."""
    send = PendingReply.send

    def send_before_sigterm(reply: PendingReply, parts: Any) -> None:
        if reply.connection.downstream.terminated_at is None:
            send(reply, parts)

    PendingReply.send = send_before_sigterm  # type: ignore[method-assign]


def forget_keys() -> None:
    """Bind no key to the build that answered it."""

    def bind_nothing(keys: StickyKeys, key: int, build: int) -> None:
        del keys, key, build

    StickyKeys.bind = bind_nothing  # type: ignore[method-assign]


def skip_empty_commands() -> None:
    """Skip empty commands without an answer and without an end of the turn, each in SKIP_S at least."""
    commands = Resp2Buffer.commands

    def commands_with_arguments(buffer: Resp2Buffer) -> Iterator[list[memoryview]]:
        for command in commands(buffer):
            if command:
                yield command
            until = time.perf_counter() + SKIP_S
            while not command and time.perf_counter() < until:
                pass

    Resp2Buffer.commands = commands_with_arguments  # type: ignore[method-assign]


leaked = bytearray()
FAULTS: dict[str, Callable[[], None]] = {
    break_rule.__name__: break_rule
    for break_rule in (
        lose_answers, answer_twice, give_answer_of_other_request, answer_late, send_after_close, send_twice,
        ignore_client_disconnects, reject_served, ignore_drains, flood_cold_endpoints, exceed_cap,
        send_too_long_timeouts, crash, change_bodies, send_long_datagrams, start_slowly, leak_descriptors,
        leak_memory, forget_ids, ignore_partial_commands, close_at_sigterm, fall_silent_at_sigterm,
        forget_keys, skip_empty_commands,
    )
}  # fmt: skip

if __name__ == "__main__":
    FAULTS[sys.argv.pop(2)]()
    program.main()
