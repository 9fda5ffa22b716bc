"""A fake endpoint, which replies to every command with its own name unless its world sets another behaviour.

Behaviours, as strings:

    value           reply with the endpoint's name; value:N repeats the name N times
    late:S, slow:S  reply after S seconds
    hang            execute the command and do not reply, until the peer closes the connection
    half            send a part of a reply and close the connection
    stops           send a part of a reply and keep the connection open
    cut             close the connection without a reply; cut:N closes it after N bytes of the reply
    reset           execute the command and reset the connection
    error, busy     reply with an error, or with BUSY without executing the command
    garbage, null, plus
                    reply with bytes that are not RESP2, with null values, or with a simple string
    broken_report   reply with a value and a malformed load report
    unasked, twice, noise
                    reply, and send further bytes after the reply: a simple string, the reply again, or bytes
                    that are not RESP2
    twice_late:S    reply again after S seconds; without the second reply if this process is late by S seconds
    refuse          reset each new connection (in `World.faults` only)
"""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gatebank.fakes.command_counts import command_fields
from gatebank.fakes.wire import read_command
from gatebank.proxy.sockets import seconds_since_received

if TYPE_CHECKING:
    from gatebank.fakes.world import AttemptObserver, World

PARTIAL_REPLY = b"*3\r\n$100\r\nonly so much"
LOAD_REPORT = b"inflight=1,util=0.5"
# Replies by behaviour. All other behaviours reply with a value.
REPLIES = {
    "error": b"-ERR failed inflight=1,util=0.5\r\n",
    "busy": b"-BUSY\r\n",
    "garbage": b"!what is this\r\n",
    "null": b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    "plus": b"+OK\r\n",
    "half": PARTIAL_REPLY,
    "stops": PARTIAL_REPLY,
}
# Behaviours after which the endpoint closes the connection.
CLOSING_BEHAVIOURS = ("half", "cut")


def use_default_delay(writer: asyncio.StreamWriter) -> None:
    """Let the system delay small segments as it does by default (Nagle's algorithm), unlike asyncio."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)


@dataclass
class FakeEndpoint:
    """An endpoint of a world.

    Attributes:
        connections: The open connections.
        connections_accepted: Number of connections accepted so far.
        idempotency_keys: The event loop's time at which each idempotency key was last received. No key is
            ever removed.
        started_ms: The start time in the endpoint list, in milliseconds of Unix time; 0 for long ago.
        running: Cleared while the endpoint is paused. A paused endpoint receives commands, and executes them
            once it is resumed.
        idle_timeout: Seconds without a command after which the endpoint closes a connection; None for never.
        command_age: Seconds for which the newest command had been at this machine when it was handled.
    """

    world: World
    name: str
    build: int
    host: str
    port: int = 0
    lifecycle: str = "SERVING"
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    connections_accepted: int = 0
    idempotency_keys: dict[bytes, float] = field(default_factory=dict)
    started_ms: int = 0
    running: asyncio.Event = field(default_factory=asyncio.Event)
    idle_timeout: float | None = None
    command_age: float = 0.0

    def __post_init__(self) -> None:
        """Set the endpoint running."""
        self.running.set()

    @property
    def address(self) -> str:
        """The endpoint's host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen at the port, or at a free port, which replaces a port of 0."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Reset all connections and refuse new ones, as if the process had been killed."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.connections.add(writer)
        self.connections_accepted += 1
        use_default_delay(writer)
        fault = self.world.faults.get(self.name, "")
        if fault == "refuse":
            writer.transport.abort()
        try:
            while await self.serve_command(reader, writer, fault):
                pass
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            ValueError,
            TimeoutError,
        ):
            # The peer closed the connection, sent bytes that are not RESP2, or sent nothing in time.
            pass
        finally:
            self.connections.discard(writer)
            writer.close()
            self.world.notify()

    async def serve_command(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fault: str
    ) -> bool:
        """Serve the next command of a connection.

        Args:
            reader: The connection's reader.
            writer: The connection's writer.
            fault: The behaviour if the world has planned none for this command; empty for the world's choice.

        Returns:
            False if the connection must be closed.
        """
        async with asyncio.timeout(self.idle_timeout):
            arguments = await read_command(reader)
        if arguments[0] == b"PING":
            await self.running.wait()
            if not writer.is_closing():
                writer.write(b"+PONG\r\n")
            return not writer.is_closing()
        self.world.received.append((self.name, arguments))
        self.world.counts.count_received(self.address, arguments)
        self.world.notify()
        behaviour = self.world.next_behaviour(self.name, fault)
        self.command_age = seconds_since_received(writer.get_extra_info("socket"))
        attempt = self.world.on_attempt(self, arguments) if self.world.on_attempt else None
        await self.running.wait()
        if behaviour != "busy":
            self.execute(arguments, attempt)
        if behaviour == "hang":
            # The peer ends this wait when it closes the connection.
            await reader.read()
            return False
        is_open = await self.reply(behaviour, writer, arguments)
        if attempt and is_open and not behaviour:
            attempt.answered()
        return is_open

    def execute(self, arguments: list[bytes], attempt: AttemptObserver | None) -> None:
        """Execute a command unless its idempotency key was received within the world's `key_memory_s`."""
        if attempt:
            attempt.executed()
        key = command_fields(arguments).get(b"k")
        now = asyncio.get_running_loop().time()
        memory = self.world.key_memory_s
        if key and memory:
            last_received = self.idempotency_keys.get(key)
            self.idempotency_keys[key] = now
            if last_received is not None and now - last_received < memory:
                return
        self.world.counts.count_executed(arguments)

    async def reply(self, behaviour: str, writer: asyncio.StreamWriter, arguments: list[bytes]) -> bool:
        """Reply to a command according to a behaviour.

        Returns:
            False if the connection must be closed.
        """
        kind, _, amount = behaviour.partition(":")
        if kind == "reset":
            writer.transport.abort()
            return False
        await asyncio.sleep(self.world.mean_reply_time * random.uniform(0.5, 1.5))
        if kind in ("slow", "late"):
            await asyncio.sleep(float(amount))
        if writer.is_closing():
            return False
        writer.write(self.encoded_reply(kind, amount, arguments))
        await writer.drain()
        if kind == "twice_late":
            await self.reply_again(float(amount), writer, arguments)
        return kind not in CLOSING_BEHAVIOURS

    async def reply_again(self, delay: float, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
        """Reply a second time after ``delay`` seconds.

        No reply is sent if this process was so busy that the delay took twice as long.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + delay
        await asyncio.sleep(delay)
        if loop.time() - due < delay and not writer.is_closing():
            writer.write(self.encoded_reply("value", "", arguments))

    def encoded_reply(self, kind: str, amount: str, arguments: list[bytes]) -> bytes:
        """Return the bytes of a reply to a command.

        Args:
            kind: The behaviour's name, without the colon and the amount.
            amount: The text after the colon of the behaviour; empty if it has none.
            arguments: The command's arguments.
        """
        value = self.name.encode()
        if self.world.values_include_request_id and len(arguments) > 2:
            value += b" " + arguments[2] + b" "
        if kind == "value" and amount:
            value *= int(amount)
        load_report = b"inflight=?" if kind == "broken_report" else LOAD_REPORT
        complete = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (
            len(value),
            value,
            len(load_report),
            load_report,
        )
        if kind == "cut":
            return complete[: int(amount or 0)]
        suffixes = {"unasked": b"+unasked\r\n", "twice": complete, "noise": b"\x00\xff*"}
        return REPLIES.get(kind, complete) + suffixes.get(kind, b"")
