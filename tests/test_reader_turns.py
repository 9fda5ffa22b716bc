"""Readers of others' bytes: however fast the bytes come, a turn of the loop has a bounded share of work.

The bytes come from a process of its own, so that each read finds some.
"""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import subprocess
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing, suppress
from dataclasses import dataclass
from random import Random
from typing import Any, cast

import pytest

from gatebank.events import Endpoint, ReleaseStatus
from gatebank.fakes.wire import encode_command, http_response
from gatebank.proxy.discovery import EndpointRegistry, EndpointWatch, PollBackoff
from gatebank.proxy.downstream import limits
from gatebank.proxy.http import HttpClient, NoReplyError
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.resp2.codec import CLIENT_BUFFER_BYTES
from gatebank.proxy.sockets import WatchLease
from gatebank.settings import Settings
from tests.support.connections import Client, DownstreamHarness, UpstreamHarness, wait_until

pytestmark = pytest.mark.uvloop

FLOOD_BYTES = 16 << 20
MAX_TURN_S = 0.05  # Processor time: 0.2 s at a quarter of a core, of the 0.5 s that an answer may be late.
SEND_BYTES = 1 << 20
READ_REST_S = 0.5  # Time to read what the system holds when the sender has closed.
# A PING that fills the receive buffer of a client, so that each read has exactly one command.
WHOLE_READ = encode_command(b"PING", b"x" * (CLIENT_BUFFER_BYTES - 27))
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Encode a chunk of HTTP's chunked encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class Turns:
    """The processor time of this thread between two turns of a task that always wants one.

    Attributes:
        longest: The highest so far, in seconds.
    """

    longest: float = 0.0


@asynccontextmanager
async def measure_turns() -> AsyncIterator[Turns]:
    """Measure the turns that a task gets beside the others."""
    turns = Turns()

    async def run() -> None:
        last = time.thread_time()
        while True:
            await asyncio.sleep(0)
            now = time.thread_time()
            turns.longest = max(turns.longest, now - last)
            last = now

    # A collection of all that the tests before have left takes 0.1 s, and says nothing of the reader.
    gc.collect()
    gc.freeze()
    task = asyncio.ensure_future(run())
    try:
        yield turns
    finally:
        task.cancel()
        gc.unfreeze()


# Sends the bytes of the second argument again and again, a number of times, on the socket at its input. It is
# a process of its own, as the reader has to find bytes at each read.
SENDER = """
import socket, sys
batch = bytes.fromhex(sys.argv[1]) * int(sys.argv[2])
with socket.socket(fileno=0) as sock:
    sock.setblocking(True)
    for _ in range(int(sys.argv[3])):
        sock.sendall(batch)
"""


def flood(sock: socket.socket, data: bytes, size: int = FLOOD_BYTES) -> subprocess.Popen[bytes]:
    """Have a process send at least ``size`` bytes, repeating ``data`` at full speed, then close."""
    repeats = SEND_BYTES // len(data)
    words = (data.hex(), str(repeats), str(-(-size // SEND_BYTES)))
    sender = subprocess.Popen([sys.executable, "-c", SENDER, *words], stdin=sock, stderr=subprocess.DEVNULL)
    sock.close()
    return sender


MALFORMED_CLIENTS = 60
MALFORMED = b"\0" * 150_000  # More than two reads of input that is dropped.
MOST_PER_TURN = 16  # Reads or closes: about 0.25 ms of processor time each.


class CountingLoop:
    """An event loop that counts the reads it has made."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.read_count = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def sock_recv_into(self, sock: socket.socket, buffer: memoryview) -> int:
        size = await self.loop.sock_recv_into(sock, buffer)
        self.read_count += 1
        return size


async def highest_per_turn(count: Callable[[], int], until: Callable[[], bool]) -> int:
    """Return by how much a count rose in one turn at most, until a condition holds."""
    highest = 0
    last = count()
    while not until():
        await asyncio.sleep(0)
        highest = max(highest, count() - last)
        last = count()
    return highest


async def test_crowd_with_malformed_input_has_few_reads_and_closes_in_a_turn() -> None:
    """Guards against turns in which all clients' input is dropped, and many are closed (0.02 s of work)."""
    with closing(DownstreamHarness(2 * MALFORMED_CLIENTS)) as harness:
        downstream = harness.downstream
        loop = CountingLoop(asyncio.get_running_loop())
        downstream.loop = cast(asyncio.AbstractEventLoop, loop)
        clients = [Client(harness.address) for _ in range(MALFORMED_CLIENTS)]
        for client in clients:
            client.sock.send(MALFORMED)
        await wait_until(lambda: downstream.protocol_error_count == MALFORMED_CLIENTS)
        reads_before = loop.read_count
        most_reads = await highest_per_turn(
            lambda: loop.read_count, lambda: loop.read_count >= reads_before + MALFORMED_CLIENTS
        )
        for connection in downstream.connections:
            connection.timeout_start -= limits.CLOSING_TIMEOUT_S
        checks = asyncio.ensure_future(downstream.check_all_timeouts())
        most_closes = await highest_per_turn(lambda: -len(downstream.connections), checks.done)
        assert not downstream.connections
        for client in clients:
            client.sock.close()
    assert most_reads <= MOST_PER_TURN
    assert most_closes <= MOST_PER_TURN


async def test_commands_that_fill_one_read_each() -> None:
    with closing(DownstreamHarness()) as harness:
        client, connection = await harness.connect_client()
        async with measure_turns() as turns:
            sender = flood(client.sock, WHOLE_READ)
            await wait_until(lambda: connection.closed)
        sender.wait()
    assert turns.longest <= MAX_TURN_S


async def read_flood(
    head: bytes, data: bytes, read: Callable[[tuple[str, int]], Awaitable[None]], size: int = FLOOD_BYTES
) -> Turns:
    """Have a client read a flood of one server; return the turns that another task got meanwhile."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)

        async def serve() -> None:
            sock, _ = await loop.sock_accept(listener)
            await loop.sock_recv(sock, 4096)  # The request; a socket closed with unread bytes is reset.
            sock.send(head)
            sender = flood(sock, data, size)
            await loop.run_in_executor(None, sender.wait)

        server = asyncio.ensure_future(serve())
        async with measure_turns() as turns:
            reader = asyncio.ensure_future(read(listener.getsockname()))
            await server
            await asyncio.wait({reader}, timeout=READ_REST_S)
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)
        return turns


ROLLOUT = b"event: ROLLOUT\ndata: image=42&ring=1&progress=IN_PROGRESS&ceiling=0.28&lag_ms=310\n\n"


async def watch_releases(address: tuple[str, int]) -> None:
    """Watch the release service at an address."""
    statuses: list[ReleaseStatus] = []
    registry = EndpointRegistry(Settings())
    service = ReleaseService(address, registry, 1.0, time.monotonic, statuses.append, request_classes={})
    await service.watch(address, WatchLease())


@pytest.mark.parametrize("data", [b":\n\n", b"data:\n", ROLLOUT])
async def test_release_stream_that_never_pauses(data: bytes) -> None:
    """Guards against empty lines `data:`, which were kept without a bound and summed again at each part."""
    turns = await read_flood(STREAM_HEAD, chunk(data), watch_releases, 4 << 20)
    assert turns.longest <= MAX_TURN_S


@pytest.mark.parametrize("data", [b"event: X\ndata: 1\n\n", b"event: DISPUTE\ndata: host=s&type=t\n\n"])
async def test_release_events_without_meaning(data: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a line of the log for each event of the release service that has no meaning."""
    began = time.monotonic()
    turns = await read_flood(STREAM_HEAD, chunk(data), watch_releases, 4 << 20)
    assert turns.longest <= MAX_TURN_S
    assert len(caplog.records) <= 2 + time.monotonic() - began  # One of each kind a second.


async def call_once(address: tuple[str, int]) -> None:
    """Make one call to an address, whose reply may be up to 16 MB long."""
    with suppress(NoReplyError):
        await HttpClient(address, FLOOD_BYTES).call("GET", "/", 5.0)


async def test_reply_whose_headers_never_end() -> None:
    turns = await read_flood(b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n", call_once)
    assert turns.longest <= MAX_TURN_S


async def test_value_of_an_endpoint_that_never_ends() -> None:
    harness = UpstreamHarness()
    with closing(harness):
        harness.send_attempt("a")
        sock = await harness.endpoint.accept()
        async with measure_turns() as turns:
            sock.send(b"*3\r\n$%d\r\n" % harness.upstream.max_value)
            sender = flood(sock, b"x", harness.upstream.max_value * 2)
            await wait_until(lambda: harness.results)
        sender.wait()
    assert turns.longest <= MAX_TURN_S


async def test_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes() -> None:
    """Guards against a body kept in parts as they came, which take twenty times their size."""
    size = 4 << 20
    tracemalloc.start()
    try:
        await read_flood(STREAM_HEAD, chunk(b"{}"), call_once, size)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak <= 2 * size, peak


async def test_stream_without_a_body_is_silent() -> None:
    """Guards against a stream that sends headers without end and never ended as silent."""
    reasons: list[str] = []

    async def read(address: tuple[str, int]) -> None:
        try:
            async for _ in HttpClient(address).stream("/", 0.2):
                pass
        except NoReplyError as error:
            reasons.append(str(error))

    await read_flood(b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n", read, 256 << 20)
    assert reasons == ["the stream was silent, without even a keep-alive"]


LISTS_S = 1.0  # Time for which a discovery answers at once.
HANDLING_S = 0.02  # Time that a list takes to handle.


@pytest.mark.parametrize(("body", "most_calls"), [("same", 13), ("empty", 13), ("new", 33)])
async def test_discovery_that_answers_at_once(body: str, most_calls: int) -> None:
    """Guards against calls without a pause, which a discovery that holds no call open could demand.

    Calls without news come every 0.1 s; those with news wait for as long as the list took to handle.
    """
    calls = 0
    entry = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING", "version_no": 1}

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        with suppress(asyncio.IncompleteReadError, ConnectionError), closing(writer):
            while await reader.readuntil(b"\r\n\r\n"):
                calls += 1
                generation = calls if body == "new" else 1
                entries = [] if body == "empty" else [entry]
                listing = {"generation": generation, "reset": body != "empty", "instances": entries}
                writer.write(http_response("200 OK", "application/json", json.dumps(listing).encode()))

    class Listener:
        def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
            time.sleep(HANDLING_S)

        def on_watch_failed(self) -> None: ...
        def count(self, name: str) -> None: ...

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    settings = Settings()
    watch = EndpointWatch(
        server.sockets[0].getsockname(),
        EndpointRegistry(settings),
        Listener(),
        version=None,
        backoff=PollBackoff(settings, Random(1)),
        lease=WatchLease(),
    )
    task = asyncio.ensure_future(watch.run())
    await asyncio.sleep(LISTS_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    server.close()
    assert 2 <= calls <= most_calls
