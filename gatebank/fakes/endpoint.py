"""A fake endpoint: it replies to every command with its own name, unless its world says otherwise.

What else it can be told to do:

late:S      replies after S seconds         hang      never replies, until the other side ends
half        a part of a reply, then ends    stops     a part of a reply, and no more
cut         ends without a reply            cut:N     ends after N bytes of its reply
twice_late:S  replies again after S seconds, or not at all where it is late by as much
reset       resets the connection           busy, error, garbage, null, plus, value:N, ...
refuse      also resets each new connection (`World.faults` only)
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gatebank.fakes.command_counts import command_fields
from gatebank.fakes.wire import read_command

if TYPE_CHECKING:
    from gatebank.fakes.world import AttemptObserver, World

PARTIAL_REPLY = b"*3\r\n$100\r\nonly so much"
LOAD_REPORT = b"inflight=1,util=0.5"
REPLIES = {
    "error": b"-ERR failed inflight=1,util=0.5\r\n",
    "busy": b"-BUSY\r\n",
    "garbage": b"!what is this\r\n",
    "null": b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    "plus": b"+OK\r\n",
    "half": PARTIAL_REPLY,
    "stops": PARTIAL_REPLY,
}  # by what the endpoint is to do; all else replies with a value
CLOSING_BEHAVIOURS = ("half", "cut")  # after these the endpoint ends the connection


@dataclass
class FakeEndpoint:
    """One endpoint of a world.

    Attributes:
        connections: Those that are open.
        idempotency_keys: When each was last seen, in the loop's time; as many as were sent.
        started_ms: Unix time in milliseconds at which it started, as listed; 0: long ago.
        running: Cleared while it is paused: commands are received, and executed only once it goes on.
        idle_timeout: Seconds after which it closes a connection on which no command comes; None: never.
    """

    world: World
    name: str
    build: int
    host: str
    port: int = 0
    lifecycle: str = "SERVING"
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    idempotency_keys: dict[bytes, float] = field(default_factory=dict)
    started_ms: int = 0
    running: asyncio.Event = field(default_factory=asyncio.Event)
    idle_timeout: float | None = None

    def __post_init__(self) -> None:
        """Begin running."""
        self.running.set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by a free one."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Do as if the process died: connections are reset, new ones refused."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.connections.add(writer)
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
            pass  # the other side ended, sent what is not RESP2, or nothing for too long
        finally:
            self.connections.discard(writer)
            writer.close()
            self.world.notify()

    async def serve_command(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fault: str
    ) -> bool:
        """Serve the next command of a connection.

        Args:
            reader: The connection's.
            writer: The connection's.
            fault: What is done where the world plans nothing else; empty to reply with a value.

        Returns:
            False if the connection is to be closed.
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
        attempt = self.world.on_attempt(self, arguments) if self.world.on_attempt else None
        await self.running.wait()
        if behaviour != "busy":
            self.execute(arguments, attempt)
        if behaviour == "hang":
            await reader.read()  # until the other side gives up
            return False
        return await self.reply(behaviour, writer, arguments)

    def execute(self, arguments: list[bytes], attempt: AttemptObserver | None) -> None:
        """Execute a command, unless its idempotency key was seen within the world's `key_memory`."""
        if attempt:
            attempt.executed()
        key = command_fields(arguments).get(b"k")
        now = asyncio.get_running_loop().time()
        memory = self.world.key_memory_s
        if key and memory:
            last_seen = self.idempotency_keys.get(key)
            self.idempotency_keys[key] = now
            if last_seen is not None and now - last_seen < memory:
                return
        self.world.counts.count_executed(arguments)

    async def reply(self, behaviour: str, writer: asyncio.StreamWriter, arguments: list[bytes]) -> bool:
        """Reply to a command as the behaviour says; False if the connection is to be closed."""
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
        """Reply a second time after ``delay`` seconds; not at all where this process missed the moment."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay
        await asyncio.sleep(delay)
        if loop.time() - due < delay and not writer.is_closing():
            writer.write(self.encoded_reply("value", "", arguments))

    def encoded_reply(self, kind: str, amount: str, arguments: list[bytes]) -> bytes:
        """Return the bytes of a reply to a command.

        Args:
            kind: What the behaviour says, up to its colon.
            amount: What followed the colon.
            arguments: The command's.
        """
        value = self.name.encode()
        if self.world.values_include_request_id and len(arguments) > 2:
            value += b" " + arguments[2] + b" "
        if kind == "value" and amount:
            value *= int(amount)
        load_report = b"inflight=?" if kind == "broken_report" else LOAD_REPORT
        whole = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (
            len(value),
            value,
            len(load_report),
            load_report,
        )
        if kind == "cut":
            return whole[: int(amount or 0)]
        behind = {"unasked": b"+unasked\r\n", "twice": whole, "noise": b"\x00\xff*"}
        return REPLIES.get(kind, whole) + behind.get(kind, b"")
