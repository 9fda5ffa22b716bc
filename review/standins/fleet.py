"""Stand-ins for nodes, discovery and the platform, as PROTOCOL describes them, on loopback."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import parse_qsl, urlsplit

from standins.resp import READ_LIMIT, read_command

HOST = "127.0.0.1"
BACKLOG = 256
SILENT_BACKLOG = (
    0  # The kernel holds one connection or two of a node that accepts nothing; others never come up.
)
STATE = {"image": "41", "ring": "2", "progress": "COMPLETE", "ceiling": "1.0", "lag_ms": "0"}
SIGN_OF_LIFE_S = 1.0
COPY_AFTER_S = 0.003  # The pages: some milliseconds.
MAX_COPY_AFTER_S = 0.01
ZONES = ("first", "second")
FIRST_GENERATION = 41
ENDED = (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError)


class Node:
    """A node: begins a command at its last byte, and answers with the request's id after its work.

    Args:
        name: The node's id in discovery's lists.
        zone: Its zone.
        work_s: Seconds that a request takes.
        value_bytes: Size of a value.
        on_command: Called with the node and the words of each command at its last byte.

    Attributes:
        sends_at_once: Whether its sockets have TCP_NODELAY; without it they are as the system makes them.
        is_copied: Whether an answer is sent a second time, by the words of its command; None for never.
        speaks: Cleared while the node is silent: it reads, accepts and answers nothing.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        work_s: float,
        value_bytes: int,
        on_command: Callable[[Node, list[bytes]], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.value_bytes = value_bytes
        self.on_command = on_command
        self.lifecycle = "SERVING"
        self.sends_at_once = True
        self.is_copied: Callable[[list[bytes]], bool] | None = None
        self.speaks = asyncio.Event()
        self.speaks.set()
        self.copies: list[tuple[bytes, float]] = []  # Request and lateness of each second copy.
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = socket.create_server((HOST, 0), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"

    def start(self) -> None:
        """Begin to accept connections."""
        self.keep(asyncio.ensure_future(self.accept()))

    def keep(self, task: asyncio.Task[None]) -> None:
        """Hold a task until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def fall_silent(self) -> None:
        """Answer nothing and take no new connection; open ones stay open."""
        self.speaks.clear()
        self.listener.listen(SILENT_BACKLOG)

    def come_back(self) -> None:
        """Go on after a silence."""
        self.listener.listen(BACKLOG)
        self.speaks.set()

    async def accept(self) -> None:
        """Accept connections until the node is stopped."""
        loop = asyncio.get_running_loop()
        while True:
            await self.speaks.wait()
            sock, _ = await loop.sock_accept(self.listener)
            self.keep(asyncio.ensure_future(self.serve(sock)))

    async def serve(self, sock: socket.socket) -> None:
        """Serve the commands of a connection in order."""
        reader, writer = await asyncio.open_connection(sock=sock, limit=READ_LIMIT)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, self.sends_at_once)
        with suppress(*ENDED):
            while True:
                words = await read_command(reader)
                await self.speaks.wait()
                if words[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                self.on_command(self, words)
                await asyncio.sleep(self.work_s)
                await self.speaks.wait()
                value = words[2].ljust(self.value_bytes, b".")
                answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
                writer.write(answer)
                await writer.drain()
                if self.is_copied and self.is_copied(words):
                    await self.send_copy(writer, answer, words)
        writer.close()

    async def send_copy(self, writer: asyncio.StreamWriter, answer: bytes, words: list[bytes]) -> None:
        """Send an answer a second time, some milliseconds behind the first."""
        first_at = time.monotonic()
        await asyncio.sleep(COPY_AFTER_S)
        late_s = time.monotonic() - first_at
        if late_s <= MAX_COPY_AFTER_S:  # Else this process was held up: no copy is sent.
            writer.write(answer)
            self.copies.append((words[2], late_s))

    def entry(self) -> dict[str, Any]:
        """Return the node's entry in discovery's lists."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "full-2c",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            "version_no": 41,
        }

    def stop(self) -> None:
        """End all connections and tasks."""
        for task in list(self.tasks):
            task.cancel()
        self.listener.close()


class Call(NamedTuple):
    """A call, and the reader by which its caller's end is seen."""

    path: str
    query: dict[str, str]
    reader: asyncio.StreamReader


class HttpService:
    """What discovery and the platform have in common: HTTP/1.1 calls on connections that stay open."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=BACKLOG)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def refuse_new(self) -> None:
        """Take no new connection; open ones stay."""
        if self.server:
            self.server.close()

    def close_open(self) -> None:
        """Close the open connections."""
        for writer in list(self.writers):
            writer.close()

    def stop(self) -> None:
        """End the service."""
        self.refuse_new()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of a connection in order."""
        self.writers.add(writer)
        with suppress(*ENDED):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                target = urlsplit(lines[0].split(" ")[1])
                heads = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
                await reader.readexactly(int(heads.get("content-length", 0)))
                call = Call(target.path, dict(parse_qsl(target.query)), reader)
                await self.handle(call, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def handle(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        raise NotImplementedError


def respond(writer: asyncio.StreamWriter, kind: str, body: bytes) -> None:
    """Write a whole answer with status 200."""
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


class Discovery(HttpService):
    """Discovery: the whole list, and watches for what changed.

    Args:
        nodes: The listed nodes by name.
        generation: The list's first version.
        note: Called with a line for each call and each answer.
        slowness: Seconds that each answer takes beyond the wait that the call asks for.
    """

    def __init__(
        self, nodes: dict[str, Node], generation: int, note: Callable[[str], None], slowness: float = 0.0
    ) -> None:
        super().__init__()
        self.nodes = nodes
        self.generation = generation
        self.note = note
        self.slowness = slowness
        self.changed_at = dict.fromkeys(nodes, generation)
        self.told: dict[
            str, float
        ] = {}  # Time of the first whole answer with a node's present state, by name.
        self.news = asyncio.Event()

    def mark_changed(self, name: str) -> None:
        """Begin a new version, in which one node's entry has changed."""
        self.generation += 1
        self.changed_at[name] = self.generation
        self.told.pop(name, None)
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the list, at once or when something newer is there or the wait is over."""
        query = call.query
        after = int(query["after"]) if "after" in query else None
        self.note(f"discovery {self.address} asked after={after}")
        if after is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                    while self.generation <= after:
                        await self.news.wait()
        await asyncio.sleep(self.slowness)
        if call.reader.at_eof() or writer.is_closing():
            self.note(f"discovery {self.address} not answered after={after}: the caller has closed")
            return
        names = [name for name, version in self.changed_at.items() if after is None or version > after]
        listing = {
            "generation": self.generation,
            "reset": after is None,
            "instances": [self.nodes[name].entry() for name in names],
        }
        respond(writer, "application/json", json.dumps(listing).encode())
        states = ",".join(f"{name}:{self.nodes[name].lifecycle}" for name in names)
        self.note(f"discovery {self.address} answered after={after} generation={self.generation} {states}")
        for name in names:
            self.told.setdefault(name, time.monotonic())


class Platform(HttpService):
    """The platform: a stream of the newest build's state, which is released, and votes that count."""

    async def handle(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer a vote with the state, or keep a stream open."""
        if not call.path.endswith("/stream"):
            fields = "".join(f"<{name}>{value}</{name}>" for name, value in STATE.items())
            document = f"<?xml version='1.0'?><Response><groups><item>{fields}</item></groups></Response>"
            respond(writer, "application/xml", document.encode())
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        fields = "&".join(f"{name}={value}" for name, value in STATE.items())
        text = f"event: ROLLOUT\ndata: {fields}\n\n"
        while not writer.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(text), text.encode()))
            await writer.drain()
            text = ":\n\n"
            await asyncio.sleep(SIGN_OF_LIFE_S)


class Fleet:
    """Nodes in two zones, discovery and the platform; all of them run inside ``async with``.

    Args:
        count: Number of nodes, named s-0, s-1 and so on.
        work_s: See `Node`.
        note: Called with a line for each call of discovery.
        on_command: See `Node`.
        value_bytes: See `Node`.

    Attributes:
        services: The services that stop with the fleet; a case may add some.
        known: The list of nodes as an instance had it last.
    """

    def __init__(
        self,
        count: int,
        work_s: float,
        note: Callable[[str], None],
        on_command: Callable[[Node, list[bytes]], None],
        value_bytes: int = 0,
    ) -> None:
        self.nodes: dict[str, Node] = {}
        for number in range(count):
            name = f"s-{number}"
            self.nodes[name] = Node(name, ZONES[number % len(ZONES)], work_s, value_bytes, on_command)
        self.discovery = Discovery(self.nodes, FIRST_GENERATION, note)
        self.platform = Platform()
        self.services: list[HttpService] = [self.discovery, self.platform]
        entries = [node.entry() for node in self.nodes.values()]
        self.known = {"generation": FIRST_GENERATION, "reset": True, "instances": entries}

    async def __aenter__(self) -> Self:
        for node in self.nodes.values():
            node.start()
        for service in self.services:
            await service.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for node in self.nodes.values():
            node.stop()
        for service in self.services:
            service.stop()
