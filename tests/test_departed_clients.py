"""Clients that leave: nothing is sent for them later on, and an id that comes again does not run twice."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from itertools import count
from time import monotonic

import pytest

from gatebank.fakes.endpoint import FakeEndpoint
from gatebank.fakes.wire import encode_command, read_reply
from tests.support.flooded_instance import FloodedInstance

pytestmark = pytest.mark.uvloop

PORT = 6379
# Longest time after a client's close at which an attempt may begin (STANDING), and PROTOCOL's 50 ms.
MAX_ATTEMPT_AFTER_CLOSE_S = 0.15
AT_ONCE_S = 0.25
NUMBERS = count(1)


class ObservedAttempts:
    """The attempts at the fake endpoints: when each began, and how often each id was executed."""

    def __init__(self, instance: FloodedInstance) -> None:
        self.begun: list[tuple[float, bytes]] = []
        self.executions = Counter[bytes]()
        self.current = b""
        instance.scenario.world.on_attempt = self.on_attempt

    def on_attempt(self, endpoint: FakeEndpoint, arguments: list[bytes]) -> ObservedExecution:
        """Record an attempt; see `World.on_attempt`."""
        self.begun.append((monotonic() - endpoint.command_age, arguments[2]))
        return ObservedExecution(self.executions, arguments[2])


class ObservedExecution:
    """Counts the execution of one attempt; see `AttemptObserver`."""

    def __init__(self, executions: Counter[bytes], request_id: bytes) -> None:
        self.executions = executions
        self.request_id = request_id

    def executed(self) -> None:
        """Count the execution."""
        self.executions[self.request_id] += 1

    def answered(self) -> None: ...


def new_id() -> bytes:
    """Return an id that was not used before."""
    return b"%032x" % next(NUMBERS)


def encode_pay(request_id: bytes, timeout_ms: int = 2000, body: bytes = b"body") -> bytes:
    """Return a request of a class that must not run twice."""
    return encode_command(b"Q.DO", b"key", request_id, b"c=pay,t=all,d=%d" % timeout_ms, body)


async def send_and_leave(address: str, data: bytes, stay_s: float) -> None:
    """Send bytes, stay for a time, and close the connection."""
    _, writer = await asyncio.open_connection(address, PORT)
    writer.write(data)
    await asyncio.sleep(stay_s)
    writer.close()


async def ask(address: str, data: bytes) -> tuple[str, float]:
    """Send a request on a new connection; return the kind of its answer and the time it took."""
    reader, writer = await asyncio.open_connection(address, PORT)
    began = monotonic()
    writer.write(data)
    try:
        async with asyncio.timeout(5.0):
            result, _ = await read_reply(reader)
    finally:
        writer.close()
    return result, monotonic() - began


@pytest.mark.parametrize("again_after_s", [0.0, 0.005, 0.02, 0.2, 1.2])
async def test_id_that_comes_again_after_its_client_left_runs_once(again_after_s: float) -> None:
    async with FloodedInstance(64) as instance:
        attempts = ObservedAttempts(instance)
        address = instance.process.address

        async def leave_and_come_again(stay_s: float) -> tuple[str, float]:
            command = encode_pay(new_id())
            await send_and_leave(address, command, stay_s)
            await asyncio.sleep(again_after_s)
            return await ask(address, command)

        answers = []
        for _ in range(4):
            answers += await asyncio.gather(*(leave_and_come_again(0.001 * n) for n in range(12)))
        twice = [number for number in attempts.executions.values() if number > 1]
        assert not twice, f"{len(twice)} of {len(attempts.executions)} ids ran twice"
        assert all(result in ("satisfied", "broken off") for result, _ in answers), answers
        waits = [wait for result, wait in answers if result == "broken off"]
        assert max(waits, default=0.0) < AT_ONCE_S, waits


async def test_id_that_comes_again_after_its_answer_runs_once() -> None:
    async with FloodedInstance(64) as instance:
        attempts = ObservedAttempts(instance)
        commands = [encode_pay(new_id()) for _ in range(20)]
        first = [await ask(instance.process.address, command) for command in commands]
        second = [await ask(instance.process.address, command) for command in commands]
        assert {result for result, _ in first} == {"satisfied"}, first
        assert {result for result, _ in second} == {"broken off"}, second
        assert set(attempts.executions.values()) == {1}, attempts.executions


async def test_id_that_never_reached_an_endpoint_runs_when_it_comes_again() -> None:
    async with FloodedInstance(64) as instance:
        attempts = ObservedAttempts(instance)
        instance.behaviour = "busy"
        command = encode_pay(new_id())
        first, _ = await ask(instance.process.address, command)
        instance.behaviour = ""
        await asyncio.sleep(1.5)
        second, _ = await ask(instance.process.address, command)
        assert (first, second) == ("rejected", "satisfied")
        assert set(attempts.executions.values()) == {1}, attempts.executions


@pytest.mark.parametrize("behaviour", ["value", "late:0.3", "busy"])
@pytest.mark.parametrize("requests", [200, 5000])
async def test_requests_unread_at_the_close_are_not_sent_afterwards(behaviour: str, requests: int) -> None:
    async with FloodedInstance(64) as instance:
        attempts = ObservedAttempts(instance)
        instance.behaviour = behaviour
        closed: dict[bytes, float] = {}

        async def leave(stay_s: float) -> None:
            ids = [new_id() for _ in range(requests)]
            _, writer = await asyncio.open_connection(instance.process.address, PORT)
            writer.write(b"".join(map(encode_pay, ids)))
            await asyncio.sleep(stay_s)
            writer.transport.abort()
            with suppress(OSError):
                await writer.wait_closed()
            closed.update(dict.fromkeys(ids, monotonic()))

        for _ in range(5):
            await asyncio.gather(*(leave(0.02 * number) for number in range(6)))
            await asyncio.sleep(0.6)
        late = [at - closed[request_id] for at, request_id in attempts.begun if request_id in closed]
        assert max(late, default=0.0) <= MAX_ATTEMPT_AFTER_CLOSE_S, f"{len(late)}: {sorted(late)[-5:]}"


async def test_id_that_may_have_run_is_not_rejected_when_it_comes_again_too_late() -> None:
    """A rejection promises that nothing has happened; the deadline of the second one has passed unread."""
    async with FloodedInstance(64) as instance:
        attempts = ObservedAttempts(instance)
        address = instance.process.address
        command = encode_pay(new_id(), timeout_ms=300)
        await send_and_leave(address, command, 0.05)
        reader, writer = await asyncio.open_connection(address, PORT)
        unknown = encode_command(b"NOPE")
        writer.write(unknown * 3 + command)  # The pauses behind unknown commands last 0.6 s.
        results = [(await read_reply(reader))[0] for _ in range(4)]
        writer.close()
        assert set(attempts.executions.values()) == {1}, attempts.executions
        assert results == ["broken off"] * 4, results
