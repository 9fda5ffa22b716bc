"""Nodes, discovery and a release desk in one process, on loopback.

A node answers every command with its own name; `plan`, `sick` and `faults` make it do otherwise:

    late:S      answers after S seconds        hang      never answers, until the other side ends
    half        a part of an answer, then ends  stops    a part of an answer, and no more
    cut         ends without an answer          cut:N    ends after N bytes of its answer
    reset       resets the connection           busy, error, garbage, null, plus, value:N, ...
    refuse      it resets each new connection, too (`faults` only)
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from gatebank.fakes.counts import Counts, names
from gatebank.fakes.wire import command, page

PHASES = ("trial", "back", "released", "withdrawn")
PROGRESS = dict(zip(PHASES, ("IN_PROGRESS", "ROLLING_BACK", "COMPLETE", "ROLLED_BACK"), strict=True))


@dataclass
class Node:
    """A toy node. What it does with its next commands is taken from the world's plan, else it answers."""

    world: World
    name: str
    build: int
    host: str
    port: int = 0
    lifecycle: str = "SERVING"
    server: asyncio.Server | None = None
    open: set[asyncio.StreamWriter] = field(default_factory=set)
    tickets: dict[bytes, float] = field(default_factory=dict)  # when last seen; as many as were sent

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        fault = self.world.faults.get(self.name, "")
        if fault == "refuse":
            writer.transport.abort()
        try:
            while True:
                words = await command(reader)
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                self.world.shots.append((self.name, words))
                self.world.counts.take(f"{self.host}:{self.port}", words)
                self.world.stir()
                act = self.world.plan.popleft() if self.world.plan else fault or "value"
                act = "error" if self.name in self.world.sick else act
                if act != "busy":
                    self.run(words)
                if act == "hang":
                    await reader.read()  # until the other side has had enough
                    return
                if not await self.carry_out(act, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()
            self.world.stir()

    def run(self, words: list[bytes]) -> None:
        """It runs, unless its ticket is remembered."""
        ticket, now = names(words).get(b"k"), asyncio.get_running_loop().time()
        if ticket and self.world.remembers:
            seen, self.tickets[ticket] = self.tickets.get(ticket), now
            if seen is not None and now - seen < self.world.remembers:
                return
        self.world.counts.ran(words)

    async def carry_out(self, act: str, writer: asyncio.StreamWriter) -> bool:
        """False if the connection ends with it."""
        act, _, size = act.partition(":")
        if act == "reset":
            writer.transport.abort()
            return False
        await asyncio.sleep(self.world.pace * random.uniform(0.5, 1.5))
        if act in ("slow", "late"):
            await asyncio.sleep(float(size))
        value = self.name.encode() * int(size) if act == "value" and size else self.name.encode()
        part = b"*3\r\n$100\r\nonly so much"
        said = {
            "error": b"-ERR failed inflight=1,util=0.5\r\n",
            "busy": b"-BUSY\r\n",
            "garbage": b"!what is this\r\n",
            "null": b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            "plus": b"+OK\r\n",
            "half": part,
            "stops": part,
        }
        report = b"inflight=?" if act == "broken_report" else b"inflight=1,util=0.5"
        whole = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)
        behind = {"unasked": b"+unasked\r\n", "twice": whole, "noise": b"\x00\xff*"}
        if act == "cut":
            said["cut"] = whole[: int(size or 0)]
        writer.write(said.get(act, whole) + behind.get(act, b""))
        await writer.drain()
        return act not in ("half", "cut")

    async def stop(self) -> None:
        """As if its process died: connections are reset, new ones refused."""
        if self.server:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class World:
    """Toy nodes, discovery and desk; `changed` wakes whoever waits for something to have happened."""

    def __init__(self, host: str = "127.0.0.1", discovery: int = 0, desk: int = 0) -> None:
        self.host, self.discovery_port, self.desk_port = host, discovery, desk
        self.nodes: dict[str, Node] = {}
        self.plan: deque[str] = deque()
        self.sick: set[str] = set()
        self.faults: dict[str, str] = {}  # what a node does with all its commands, by name
        self.counts = Counts()
        self.remembers = 0.0  # s for which a node drops the repeat of a ticket; 0: it runs each
        self.pace = 0.0  # s that an answer takes, on average
        self.shots: deque[tuple[str, list[bytes]]] = deque(maxlen=200_000)  # the newest
        self.votes: list[dict[str, str]] = []
        self.vote_plan: deque[str] = deque()
        self.generation, self.changes = 1, dict[str, int]()
        self.asked_after: Counter[int] = Counter()
        self.state = {"image": 41, "ring": 2, "progress": "COMPLETE", "ceiling": 1.0, "lag_ms": 0}
        self.streams: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        self.bad_listing: bytes | None = None
        self.noise = b""

    def stir(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def until(self, what: Any, patience: float = 10.0) -> None:
        """Wait until ``what()`` holds, looking again whenever something has happened."""
        async with asyncio.timeout(patience):
            while not what():
                await self.changed.wait()

    async def start(self) -> None:
        for serve, port in ((self.serve_discovery, "discovery_port"), (self.serve_desk, "desk_port")):
            server = await asyncio.start_server(serve, self.host, getattr(self, port))
            setattr(self, port, server.sockets[0].getsockname()[1])
            self.servers.append(server)

    async def move(self) -> None:
        """Discovery and desk go to other ports; the old take no connection and soon close the open ones."""
        old, self.servers, self.discovery_port, self.desk_port = self.servers, [], 0, 0
        streams = list(self.streams)
        await self.start()
        for server in old:
            server.close()
        for writer in streams:
            asyncio.get_running_loop().call_later(1.5, writer.transport.abort)

    async def stop(self) -> None:
        for server in self.servers:
            server.close()
        for node in self.nodes.values():
            await node.stop()
        for writer in list(self.streams):
            writer.transport.abort()

    async def add(self, name: str, build: int, port: int = 0) -> None:
        node = self.nodes[name] = Node(self, name, build, self.host, port)
        await node.start()
        self.list_anew(name)

    def list_anew(self, name: str, lifecycle: str | None = None) -> None:
        self.nodes[name].lifecycle = lifecycle or self.nodes[name].lifecycle
        self.generation += 1
        self.changes[name] = self.generation
        self.stir()

    def listing(self, after: int | None) -> dict[str, Any]:
        nodes = [n for n in self.nodes.values() if after is None or self.changes[n.name] > after]
        if after is None:
            nodes = [n for n in nodes if n.lifecycle != "DELETED"]
        rows = [
            {
                "instanceId": n.name, "hostPort": f"{n.host}:{n.port}", "zone": "here", "machineType": "toy",
                "cell": 0, "lifecycle": n.lifecycle, "weight": 1.0, "startedAtMs": 0, "version_no": n.build,
            }
            for n in nodes
        ]  # fmt: skip
        return {"generation": self.generation, "reset": after is None, "instances": rows}

    async def request(self, reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], str]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split("\r\n")[0].split(" ")
        names = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        body = (await reader.readexactly(int(names.get("content-length", 0)))).decode()
        return method, urlsplit(target).path, dict(parse_qsl(urlsplit(target).query)), body

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            while True:
                _, _, query, _ = await self.request(reader)
                after = int(query["after"]) if "after" in query else None
                self.asked_after[after or 0] += 1
                self.stir()
                with suppress(TimeoutError):
                    if after is not None:
                        wait = int(query.get("wait_ms", 0)) / 1000
                        await self.until(lambda after=after: self.newer(after), wait)
                body = self.bad_listing or json.dumps(self.listing(after)).encode()
                self.bad_listing = None
                writer.write(page("200 OK", "application/json", body) + self.noise)
        writer.close()

    def newer(self, after: int) -> bool:
        return self.generation > after or self.bad_listing is not None

    async def serve_desk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            while True:
                method, path, _, body = await self.request(reader)
                if method == "GET" and path.endswith("/stream"):
                    await self.stream(writer)
                    return
                vote = dict(parse_qsl(body))
                how = self.vote_plan.popleft() if self.vote_plan else "count"
                self.votes.append(vote)
                self.stir()
                fields = "".join(f"<{name}>{value}</{name}>" for name, value in self.state.items())
                told = f"<Response><groups><item>{fields}</item></groups></Response>"
                status = "200 OK"
                if how == "entity":
                    told = '<!DOCTYPE a [<!ENTITY b "42">]><Response>&b;</Response>'
                elif how != "count":
                    status, told = "400 Bad Request", f"<Error><Code>{how}</Code></Error>"
                writer.write(page(status, "application/xml", told.encode()))
        writer.close()

    async def stream(self, writer: asyncio.StreamWriter) -> None:
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        self.streams.add(writer)
        try:
            self.tell(writer, self.event())
            while True:
                await asyncio.sleep(1.0)
                self.tell(writer, ":\n\n")
                await writer.drain()
        finally:
            self.streams.discard(writer)

    def say(self, text: str, whole: bool = True) -> None:
        """Any text on the streams, as a chunk or as it is."""
        for writer in self.streams:
            self.tell(writer, text) if whole else writer.write(text.encode())

    def event(self) -> str:
        return "event: ROLLOUT\ndata: " + "&".join(f"{k}={v}" for k, v in self.state.items()) + "\n\n"

    def tell(self, writer: asyncio.StreamWriter, text: str) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(text.encode()), text.encode()))

    def news(self, build: int, stage: int, phase: str, cap: float) -> None:
        self.state = {
            "image": build, "ring": stage, "progress": PROGRESS[phase], "ceiling": cap, "lag_ms": 0,
        }  # fmt: skip
        self.say(self.event())
