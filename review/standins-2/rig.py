"""Small stand-ins for one case: nodes, discovery, the release service, clients, and marshals as processes.

Everything listens on loopback addresses and free ports. The stand-ins follow PROTOCOL: a node begins a
command once its last byte has come, discovery answers watches, and the release service sends its state
unasked. What was sent, answered and run is kept in `Record`, which a case writes to ``record.txt``.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
READY_TIMEOUT_S = 30.0  # DEPLOY: clients come once all marshals are ready, or after 30 s.
STOP_TIMEOUT_S = 8.0
KEEP_ALIVE_S = 1.0  # PROTOCOL: a sign of life comes every second.
LONGEST_CASE_S = 110.0
BAD_PROCESSES = 3  # Processes among which bad clients are shared out.
STALL_STEP_S = 0.01

Command = list[bytes]


class CannotRunError(Exception):
    """The case could not be played; the script ends with status 2."""


class Record:
    """What happened, in the order of time; written to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def has_trouble() -> bool:
    """Return whether the case plays its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def bulk(value: bytes) -> bytes:
    """Return a RESP2 bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode(arguments: Iterable[bytes]) -> bytes:
    """Return a RESP2 command."""
    values = list(arguments)
    return b"*%d\r\n" % len(values) + b"".join(map(bulk, values))


async def read_command(reader: asyncio.StreamReader) -> Command:
    """Read a RESP2 command.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
    """
    count = int((await reader.readuntil(b"\r\n"))[1:])
    arguments = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


def fields_of(command: Command) -> dict[str, str]:
    """Return the names and values of a request."""
    return dict(pair.partition("=")[::2] for pair in command[3].decode().split(","))


@dataclass
class Attempt:
    """A command that a node has received whole.

    Attributes:
        at: When its last byte had come.
        answered_at: When its whole answer was written; None without one.
        may_have_been_given_up: Whether the marshal's connection had ended when the answer was written.
    """

    node: Node
    build: int
    command: Command
    at: float
    answered_at: float | None = None
    may_have_been_given_up: bool = False

    @property
    def key(self) -> str:
        """The request's key."""
        return self.command[1].decode()

    @property
    def id(self) -> str:
        """The request's id."""
        return self.command[2].decode()


@dataclass(eq=False)
class Node:
    """A node: serves each command after ``work_s`` seconds with a value that names the node and the request.

    Attributes:
        behaviour: Called with each attempt once its work is done; returns the bytes of the answer, or None to
            end the connection. By default the answer is the value.
        started_ms: Start in Unix milliseconds as discovery tells it; 0 for long ago.
    """

    name: str
    build: int
    record: Record
    host: str = "127.0.0.1"
    zone: str = "a"
    cell: int = 0
    work_s: float = 0.02
    lifecycle: str = "SERVING"
    started_ms: int = 0
    port: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    on_attempt: Callable[[Attempt], None] | None = None
    behaviour: Callable[[Attempt], Awaitable[bytes | None]] | None = None
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 18)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End as a process that is killed: connections are reset and new ones refused."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
        self.writers.add(writer)
        try:
            while True:
                command = await read_command(reader)
                if command[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                elif not await self.serve_request(command, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_request(self, command: Command, writer: asyncio.StreamWriter) -> bool:
        """Run one request and answer it; return False if the connection must end."""
        attempt = Attempt(self, self.build, command, self.record.now())
        self.attempts.append(attempt)
        self.record.add(f"attempt {attempt.id} key {attempt.key} at {self.name} build {self.build}")
        if self.on_attempt:
            self.on_attempt(attempt)
        await asyncio.sleep(self.work_s)
        answer: bytes | None = self.value(attempt)
        if self.behaviour:
            answer = await self.behaviour(attempt)
        if answer is None:
            return False
        attempt.may_have_been_given_up = writer.is_closing() or has_ended(writer)
        writer.write(answer)
        await writer.drain()
        attempt.answered_at = self.record.now()
        self.record.add(f"answer {attempt.id} from {self.name} given_up {attempt.may_have_been_given_up}")
        return True

    def value(self, attempt: Attempt) -> bytes:
        """Return the answer with the value that this node made for the request."""
        return (
            b"*3\r\n" + bulk(f"{self.name} {attempt.id}".encode()) + b"$-1\r\n" + bulk(b"inflight=1,util=0.3")
        )

    def entry(self) -> dict[str, Any]:
        """Return the node's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.host}:{self.port}",
            "zone": self.zone,
            "machineType": "m",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
            "version_no": self.build,
        }


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has ended its sending on a connection, as far as this machine knows."""
    sock = writer.get_extra_info("socket")
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return bool(state != 1)  # 1 is ESTABLISHED.


@dataclass
class HttpCall:
    """One call of HTTP."""

    method: str
    path: str
    query: dict[str, str]
    form: dict[str, str]


async def read_call(reader: asyncio.StreamReader) -> HttpCall:
    """Read a call.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = head[0].split(" ")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:])}
    body = (await reader.readexactly(int(headers.get("content-length", 0)))).decode()
    parts = urlsplit(target)
    return HttpCall(method, parts.path, dict(parse_qsl(parts.query)), dict(parse_qsl(body)))


def http_answer(status: str, kind: str, body: bytes) -> bytes:
    """Return a whole HTTP answer."""
    head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class HttpServer:
    """A server of HTTP on a free port; subclasses answer the calls."""

    def __init__(self, record: Record, host: str = "127.0.0.1") -> None:
        self.record = record
        self.host = host
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def stop_listening(self) -> None:
        """Take no new connection."""
        if self.server:
            self.server.close()

    def end_connections(self) -> None:
        """Close the open connections."""
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                await self.answer(await read_call(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, call: HttpCall, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        raise NotImplementedError


class Discovery(HttpServer):
    """Discovery: the list of nodes, whole or as changes, and watches that wait.

    Attributes:
        answer_s: Time that each answer takes in addition to its wait.
    """

    def __init__(self, record: Record, name: str = "discovery") -> None:
        super().__init__(record)
        self.name = name
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.answer_s = 0.0
        self.answers = 0

    def tell(self, *nodes: Node) -> None:
        """List nodes as they are now, in one new generation."""
        self.generation += 1
        for node in nodes:
            self.entries[node.name] = node.entry()
            self.changed_in[node.name] = self.generation
            self.record.add(f"{self.name} lists {node.name} {node.lifecycle} build {node.build}")
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, after: int | None) -> dict[str, Any]:
        """Return the whole list, or the changes after a generation."""
        entries = [
            entry
            for name, entry in self.entries.items()
            if (entry["lifecycle"] != "DELETED" if after is None else self.changed_in[name] > after)
        ]
        return {"generation": self.generation, "reset": after is None, "instances": entries}

    async def answer(self, call: HttpCall, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the list; a watch waits for a change."""
        after = int(call.query["after"]) if "after" in call.query else None
        if after is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(call.query.get("wait_ms", "0")) / 1000):
                    while self.generation <= after:
                        await self.changed.wait()
        await asyncio.sleep(self.answer_s)
        listing = self.listing(after)
        self.record.add(f"{self.name} answers after={after} with {len(listing['instances'])} entries")
        if not writer.is_closing():
            writer.write(http_answer("200 OK", "application/json", json.dumps(listing).encode()))
            self.answers += 1


class Platform(HttpServer):
    """The release service: keeps a state, tells it on streams and as the answer to votes."""

    def __init__(self, record: Record, build: int, progress: str = "COMPLETE", ceiling: float = 1.0) -> None:
        super().__init__(record)
        self.state: dict[str, Any] = {"image": build, "ring": 0, "progress": progress, "ceiling": ceiling}
        self.since = time.monotonic()
        self.streams: set[asyncio.StreamWriter] = set()
        self.told_at: float | None = None

    def fields(self) -> dict[str, Any]:
        """Return the state with its age."""
        return {**self.state, "lag_ms": int((time.monotonic() - self.since) * 1000)}

    def publish(self, build: int, ring: int, progress: str, ceiling: float) -> None:
        """Change the state and tell it on all streams."""
        self.state = {"image": build, "ring": ring, "progress": progress, "ceiling": ceiling}
        self.since = time.monotonic()
        for writer in self.streams:
            writer.write(self.event())
        self.told_at = self.record.now()
        self.record.add(f"platform tells build {build} ring {ring} {progress} ceiling {ceiling}")

    def event(self) -> bytes:
        """Return the state as a chunk of the stream."""
        data = "&".join(f"{name}={value}" for name, value in self.fields().items())
        return chunk(f"event: ROLLOUT\ndata: {data}\n\n")

    async def answer(self, call: HttpCall, writer: asyncio.StreamWriter) -> None:
        """Answer a vote with the state, or begin a stream."""
        if call.path.endswith("/stream"):
            await self.stream(writer)
            return
        self.record.add(f"vote {call.form}")
        item = "".join(f"<{name}>{value}</{name}>" for name, value in self.fields().items())
        body = f'<?xml version="1.0"?>\n<Response><groups><item>{item}</item></groups></Response>'
        writer.write(http_answer("200 OK", "application/xml", body.encode()))

    async def stream(self, writer: asyncio.StreamWriter) -> None:
        """Tell the state and its changes until the connection ends."""
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode() + self.event())
        self.streams.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(KEEP_ALIVE_S)
                writer.write(chunk(":\n\n"))
                await writer.drain()
        finally:
            self.streams.discard(writer)


def chunk(text: str) -> bytes:
    """Return a chunk of HTTP's chunked encoding."""
    return b"%x\r\n%b\r\n" % (len(text.encode()), text.encode())


class Client:
    """A client with one connection, which it keeps between requests."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record = record
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, command: Command, wait_s: float) -> str:
        """Send a request; return its answer, ``left`` after ``wait_s`` seconds, or ``closed``."""
        request_id = command[2].decode()
        try:
            if not self.writer or self.writer.is_closing() or not self.reader or self.reader.at_eof():
                self.reader, self.writer = await asyncio.open_connection(*self.address)
            assert self.reader
            self.writer.write(encode(command))
            self.record.add(
                f"sent {request_id} {command[0].decode()} key {command[1].decode()} {command[3].decode()}"
            )
            async with asyncio.timeout(wait_s):
                answer = await self.read_answer()
        except TimeoutError:
            self.close()
            answer = "left"
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            answer = f"closed {type(error).__name__}"
        self.record.add(f"got {request_id} {answer}")
        return answer

    async def read_answer(self) -> str:
        """Read one answer."""
        assert self.reader
        line = await self.reader.readuntil(b"\r\n")
        if line[:1] != b"$":
            return line.decode().strip()
        return "value " + (await self.reader.readexactly(int(line[1:]) + 2))[:-2].decode()

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.writer = None


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment, with figures from the operators' first pages."""
    return {
        "me": 0, "balancers": 1, "zone": 0, "zones": ["a", "b"], "kinds": ["m"], "round-ms": 5,
        "registry-mode": "push", "weight-source": "off", "value-by": "request",
        "classes": [
            {"name": "read", "semantics": "free", "on-time-ms": 1200, "deadline-ms": 3000, "worth": 1,
             "late-worth": 0, "group": "all", "window-ms": 3000},
            {"name": "sign", "semantics": "guarded", "on-time-ms": 2500, "deadline-ms": 6000, "worth": 3,
             "late-worth": 0, "group": "zone", "window-ms": 6000},
            {"name": "pay", "semantics": "single_shot", "on-time-ms": 1500, "deadline-ms": 4000, "worth": 5,
             "late-worth": 0, "group": "all", "window-ms": 4000},
        ],
        "accounts": [], "clients": {"marks-retry": True},
        "report": {"source": "inline", "fields": ["concurrent", "load_share"]},
        "limits": {
            "cancel": True, "max-attempts": 5, "may-duplicate": True, "peers": True, "probes": True,
            "retry-after": False, "max-retry-after-ms": 500, "connect-timeout-ms": 250, "conn-idle-ms": 15000,
            "streams-per-conn": 32,
        },
        "invariants": {
            "answer-slack-ms": 50, "drain-grace-ms": 2000, "fall-multiple": 3, "start-capacity": 0.34,
            "tip-after-ms": 1500, "warm-up-ms": 5000,
        },
        "domain": {
            "caps": [0.25, 0.6, 1.0], "rings": [0.1, 0.35, 1.0], "control": "single", "counted-by": "all",
            "spare-tries": 3, "exposure-window-ms": 2000, "vote-ttl-ms": 6000, "call-timeout-ms": 2000,
            "api-rate": 30, "bake-ms": 60000, "ayes-needed": 1, "back-votes": 1, "keys-stay": False,
            "shielded": 0,
        },
    }  # fmt: skip


class Marshal:
    """One instance: a process that the ``run`` line of the deploy file starts."""

    def __init__(self, record: Record, folder: Path, number: int = 0) -> None:
        self.record = record
        self.number = number
        self.folder = folder
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(),
        }
        self.process: asyncio.subprocess.Process | None = None
        self.returncode: int | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        return "127.0.0.1", self.port

    @property
    def config_path(self) -> Path:
        """The configuration file."""
        return self.folder / f"marshal-{self.number}.json"

    def write_config(self) -> None:
        """Replace the configuration file at once."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.config_path)

    async def start(self, log_level: str = "") -> None:
        """Start the process and wait until it answers PING.

        Raises:
            CannotRunError: It was not ready in time.
        """
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if log_level:
            command += f" --log-level {log_level}"
        environment = {
            **os.environ,
            "ROUTER_NAME": self.config["name"],
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_CONFIG": str(self.config_path),
        }
        with (self.folder / f"marshal-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.answers_ping():
            if time.monotonic() > give_up_at or self.process.returncode is not None:
                raise CannotRunError(f"marshal {self.number} is not ready: {self.log()[-2000:]}")
            await asyncio.sleep(0.05)
        self.record.add(f"marshal {self.number} ready")

    async def answers_ping(self) -> bool:
        """Return whether the marshal answers PING."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(encode([b"PING"]))
            async with asyncio.timeout(1.0):
                return await reader.readline() == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process
        self.record.add(f"{number.name} to marshal {self.number}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if not self.process:
            return
        if self.process.returncode is None:
            self.process.kill()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            self.returncode = await self.process.wait()

    def log(self) -> str:
        """Return what the process wrote."""
        path = self.folder / f"marshal-{self.number}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Stalls:
    """The times at which this process itself was held up; they are not held against the marshal."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.held_up: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Record stalls until cancelled."""
        while True:
            before = self.record.now()
            await asyncio.sleep(STALL_STEP_S)
            over = self.record.now() - before - STALL_STEP_S
            if over > STALL_STEP_S:
                self.held_up.append((before, over))

    def between(self, begin: float, end: float) -> float:
        """Return the seconds of stalls that began in a time."""
        return sum(over for at, over in self.held_up if begin - 1 <= at <= end)


async def start_bad_clients(
    marshal: Marshal, count: int, seconds: float, kind: str
) -> list[asyncio.subprocess.Process]:
    """Start processes of bad clients, which end by themselves."""
    host, port = marshal.address
    words = [str(port), str(count // BAD_PROCESSES), str(seconds), kind]
    program = str(ROOT / "review" / "standins-2" / "bad_clients.py")
    return [
        await asyncio.create_subprocess_exec(
            sys.executable, program, host, *words, stdout=asyncio.subprocess.PIPE
        )
        for _ in range(BAD_PROCESSES)
    ]


Play = Callable[[Record, Path], Awaitable[list[str]]]


def main(folder: str, play: Play) -> None:
    """Play a case and exit with its status.

    Args:
        folder: The folder of the case, for ``record.txt``.
        play: Plays the case with a record and a temporary folder; returns a line for each break of the rule.
    """
    record = Record(Path(folder))

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(LONGEST_CASE_S):
                return await play(record, Path(temporary))

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # Ends as SIGINT does, with all processes.
    try:
        breaks = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:  # No error of a case counts as a broken rule.
        record.add(f"could not run: {type(error).__name__} {error}")
        with suppress(OSError):
            record.write()
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(NOT_RUN)
    for line in breaks:
        record.add(f"BROKEN {line}")
    verdict = f"broken {len(breaks)} times" if breaks else "held"
    record.add(f"rule {verdict}, trouble {int(has_trouble())}")
    try:
        record.write()
    except OSError as error:
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(NOT_RUN)
    print(verdict, *breaks[:3], sep="\n  ")
    sys.exit(BROKEN if breaks else HELD)
