"""Fakes of discovery and of the release service, over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

from gatebank.fakes.wire import http_response

if TYPE_CHECKING:
    from gatebank.fakes.endpoint import FakeEndpoint

KEEP_ALIVE_INTERVAL_S = 1.0  # s between the comments on a stream without news
PROGRESS_BY_PHASE = {
    "trial": "IN_PROGRESS",
    "back": "ROLLING_BACK",
    "released": "COMPLETE",
    "withdrawn": "ROLLED_BACK",
}  # by what tests call the phases of a release
STREAM_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
ENTITY_DOCUMENT = '<!DOCTYPE a [<!ENTITY b "42">]><Response>&b;</Response>'  # which must not be read


class Availability(Enum):
    """How a service treats those that call it."""

    UP = auto()
    SILENT = auto()  # reads, and does not answer before it is up again
    REFUSING = auto()  # closes each connection at its next call


class ChangeNotifier:
    """Wakes all that wait for something to happen."""

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wake all that wait."""
        self.event.set()
        self.event = asyncio.Event()

    async def wait_for(self, condition: Callable[[], object], seconds: float) -> None:
        """Wait until ``condition()`` holds; it is looked at whenever something has happened.

        Raises:
            TimeoutError: It did not hold for so many seconds.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                await self.event.wait()


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """The parts of a request that the fakes look at."""

    method: str
    path: str
    query: Mapping[str, str]
    body: str


async def read_request(reader: asyncio.StreamReader) -> HttpRequest:
    """Read the next HTTP request.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    return HttpRequest(method, parts.path, dict(parse_qsl(parts.query)), body.decode())


class FakeDiscovery:
    """Discovery: the endpoint list, and long polls for changes of it.

    Attributes:
        generation: Of the endpoint list; grows with each change.
        polls: Requests, by the generation that they ask for changes after; 0 for whole lists.
        bad_listing: Sent once in place of the next list.
        noise: Sent behind each response.
        availability: Whether it answers; `set_availability` changes it.
        delay: Seconds that each answer takes.
        on_listed: Hears of each listing that is written.
        last_listing: The whole list as of the last answer.
    """

    def __init__(
        self, host: str, port: int, endpoints: Mapping[str, FakeEndpoint], changed: ChangeNotifier
    ) -> None:
        """Listen nowhere yet; a port of 0 is any free one."""
        self.host = host
        self.port = port
        self.endpoints = endpoints
        self.changed = changed
        self.server: asyncio.Server | None = None
        self.generation = 1
        self.generations: dict[str, int] = {}  # in which each endpoint changed last
        self.polls: Counter[int] = Counter()
        self.malformed_list: bytes | None = None
        self.trailing_bytes = b""
        self.availability = Availability.UP
        self.delay = 0.0
        self.on_list_sent: Callable[[dict[str, Any]], None] | None = None
        self.last_list: dict[str, Any] = self.endpoint_list(None)
        self.connections_accepted = 0
        self.silenced_connections = 0  # so many of the first never hear anything again

    def set_availability(self, availability: Availability) -> None:
        """Answer from now on as told; who waits for an answer has it once the service is up."""
        self.availability = availability
        self.changed.notify()

    def silence_open_connections(self) -> None:
        """Never answer again on the connections that are open; they stay open."""
        self.silenced_connections = self.connections_accepted

    async def start(self) -> asyncio.Server:
        """Listen at the port, or at any free one."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def mark_changed(self, name: str) -> None:
        """Put an endpoint, as it is now, into a new generation of the list."""
        self.generation += 1
        self.generations[name] = self.generation
        self.changed.notify()

    def endpoint_list(self, after: int | None) -> dict[str, Any]:
        """Return the changes after a generation, or the whole list for None, by discovery's names."""
        known = [each for each in self.endpoints.values() if each.name in self.generations]
        if after is None:
            listed = [each for each in known if each.lifecycle != "DELETED"]
        else:
            listed = [each for each in known if self.generations[each.name] > after]
        return {
            "generation": self.generation,
            "reset": after is None,
            "instances": [endpoint_entry(endpoint) for endpoint in listed],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.connections_accepted += 1
        number = self.connections_accepted
        with suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            while True:
                request = await read_request(reader)
                if self.availability is Availability.REFUSING:
                    break
                await self.wait_until_response_due(request.query)
                if number <= self.silenced_connections:
                    await reader.read()
                    break
                if writer.is_closing():
                    break
                writer.write(self.response(request.query))
        writer.close()

    async def wait_until_response_due(self, query: Mapping[str, str]) -> None:
        """Return once there is news for a poll or its time is over, and the service is up."""
        after = int(query["after"]) if "after" in query else None
        self.polls[after or 0] += 1
        self.changed.notify()
        if after is not None:
            seconds = int(query.get("wait_ms", 0)) / 1000
            with suppress(TimeoutError):
                await self.changed.wait_for(lambda: self.has_changes(after), seconds)
        await asyncio.sleep(self.delay)
        while self.availability is Availability.SILENT:
            await self.changed.event.wait()

    def response(self, query: Mapping[str, str]) -> bytes:
        """Return the response to a poll as things stand."""
        listing = self.endpoint_list(int(query["after"]) if "after" in query else None)
        body = self.malformed_list or json.dumps(listing).encode()
        if self.on_list_sent and not self.malformed_list:
            self.on_list_sent(listing)
        self.malformed_list = None
        self.last_list = self.endpoint_list(None)
        return http_response("200 OK", "application/json", body) + self.trailing_bytes

    def has_changes(self, after: int) -> bool:
        """Tell whether a poll after a generation gets a response at once."""
        return self.generation > after or self.malformed_list is not None


def endpoint_entry(endpoint: FakeEndpoint) -> dict[str, Any]:
    """Return an endpoint's entry of the list, by discovery's names."""
    return {
        "instanceId": endpoint.name,
        "hostPort": endpoint.address,
        "zone": "here",
        "machineType": "toy",
        "cell": 0,
        "lifecycle": endpoint.lifecycle,
        "weight": 1.0,
        "startedAtMs": endpoint.started_ms,
        "version_no": endpoint.build,
    }


class FakeReleaseService:
    """The release service: a stream of release states, and votes.

    Attributes:
        state: The release, by the service's names.
        votes: All that came, in order, by the service's names.
        vote_plan: What is done with the next votes: ``count``, ``entity``, or an error code.
        streams: Those that are open and get news.
        availability: Whether it answers; `set_availability` changes it.
        on_news: Hears of each state that is written to somebody.
    """

    def __init__(self, host: str, port: int, changed: ChangeNotifier) -> None:
        """Listen nowhere yet; a port of 0 is any free one."""
        self.host = host
        self.port = port
        self.changed = changed
        self.server: asyncio.Server | None = None
        self.state: dict[str, Any] = {
            "image": 41,
            "ring": 2,
            "progress": "COMPLETE",
            "ceiling": 1.0,
            "lag_ms": 0,
        }
        self.votes: list[dict[str, str]] = []
        self.planned_vote_responses: deque[str] = deque()
        self.streams: set[asyncio.StreamWriter] = set()
        self.availability = Availability.UP
        self.on_state_sent: Callable[[Mapping[str, Any]], None] | None = None

    def set_availability(self, availability: Availability) -> None:
        """Answer from now on as told; once it is up, who waits is answered and streams tell the state."""
        self.availability = availability
        self.changed.notify()
        if availability is Availability.UP:
            self.send_text(self.state_event())
            if self.streams:
                self.report_state_sent()

    def silence_streams(self) -> None:
        """Never send anything again on the streams that are open; they stay open."""
        self.streams.clear()

    async def start(self) -> asyncio.Server:
        """Listen at the port, or at any free one."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def publish(self, build: int, stage: int, phase: str, cap: float) -> None:
        """Send a new state of the release; ``phase`` is a key of PROGRESS, ``cap`` the canary's share."""
        self.state = {
            "image": build,
            "ring": stage,
            "progress": PROGRESS_BY_PHASE[phase],
            "ceiling": cap,
            "lag_ms": 0,
        }
        self.send_text(self.state_event())
        if self.streams and self.availability is Availability.UP:
            self.report_state_sent()

    def report_state_sent(self) -> None:
        """The state has been written to somebody."""
        if self.on_state_sent:
            self.on_state_sent(self.state)

    def send_text(self, text: str, as_chunk: bool = True) -> None:
        """Send any text on all streams, as a chunk or, to break the encoding, as it is."""
        data = encode_chunk(text) if as_chunk else text.encode()
        if self.availability is not Availability.UP:
            return
        for writer in self.streams:
            if not writer.is_closing():
                writer.write(data)

    def state_event(self) -> str:
        """Return the state as an event of the stream."""
        fields = "&".join(f"{name}={value}" for name, value in self.state.items())
        return f"event: ROLLOUT\ndata: {fields}\n\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        with suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            while True:
                request = await read_request(reader)
                if self.availability is Availability.REFUSING:
                    break
                while self.availability is Availability.SILENT:
                    await self.changed.event.wait()
                if request.method == "GET" and request.path.endswith("/stream"):
                    await self.stream(writer)
                    return
                writer.write(self.handle_vote(dict(parse_qsl(request.body))))
        writer.close()

    def handle_vote(self, vote: dict[str, str]) -> bytes:
        """Keep a vote and return the response that the plan has for it."""
        plan = self.planned_vote_responses.popleft() if self.planned_vote_responses else "count"
        self.votes.append(vote)
        self.changed.notify()
        status = "200 OK"
        if plan == "count":
            self.report_state_sent()
            fields = "".join(f"<{name}>{value}</{name}>" for name, value in self.state.items())
            document = f"<Response><groups><item>{fields}</item></groups></Response>"
        elif plan == "entity":
            document = ENTITY_DOCUMENT
        else:
            status = "400 Bad Request"
            document = f"<Error><Code>{plan}</Code></Error>"
        return http_response(status, "application/xml", document.encode())

    async def stream(self, writer: asyncio.StreamWriter) -> None:
        """Send the state, and whatever is published, until the connection ends."""
        writer.write(STREAM_RESPONSE_HEAD)
        self.streams.add(writer)
        try:
            writer.write(encode_chunk(self.state_event()))
            self.report_state_sent()
            while not writer.is_closing():
                await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)
                may_write = self.availability is Availability.UP and not writer.is_closing()
                if writer in self.streams and may_write:
                    writer.write(encode_chunk(":\n\n"))
                    await writer.drain()
        finally:
            self.streams.discard(writer)


def encode_chunk(text: str) -> bytes:
    r"""Return a chunk of HTTP's chunked encoding.

    >>> encode_chunk("news")
    b'4\r\nnews\r\n'
    """
    data = text.encode()
    return b"%x\r\n%b\r\n" % (len(data), data)
