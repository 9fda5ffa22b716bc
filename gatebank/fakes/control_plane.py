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

# Interval of the comments that keep a stream alive.
KEEP_ALIVE_INTERVAL_S = 1.0
# Progress as the release service names it, by the phase of a release.
PROGRESS_BY_PHASE = {
    "trial": "IN_PROGRESS",
    "back": "ROLLING_BACK",
    "released": "COMPLETE",
    "withdrawn": "ROLLED_BACK",
}
STREAM_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# A document with an entity, which clients must refuse.
ENTITY_DOCUMENT = '<!DOCTYPE a [<!ENTITY b "42">]><Response>&b;</Response>'


class Availability(Enum):
    """How a service treats requests.

    Attributes:
        UP: The service responds.
        SILENT: The service reads requests, and responds once it is up again.
        REFUSING: The service closes a connection at its next request.
    """

    UP = auto()
    SILENT = auto()
    REFUSING = auto()


class ChangeNotifier:
    """Wakes the tasks that wait for a change."""

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self.event.set()
        self.event = asyncio.Event()

    async def wait_for(self, condition: Callable[[], object], seconds: float) -> None:
        """Wait until ``condition()`` holds; it is checked after every change.

        Raises:
            TimeoutError: The condition did not hold within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                await self.event.wait()


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """The parts of an HTTP request that the fakes use."""

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
    """Fake discovery, which serves the endpoint list and long polls for its changes.

    Attributes:
        generation: The generation of the endpoint list, which grows with each change.
        polls: Number of requests by the generation whose later changes they ask for; 0 for complete lists.
        malformed_list: The body of the next response, in place of the list; used once.
        trailing_bytes: Bytes that follow each response.
        availability: How the service treats requests; `set_availability` changes it.
        delay: Seconds by which each response is delayed.
        on_list_sent: Called with each list that is sent.
        last_list: The complete list at the time of the last response.
        connections_accepted: Number of connections accepted so far.
        silenced_connections: Number of connections, counted from the first, that receive no more responses.
    """

    def __init__(
        self, host: str, port: int, endpoints: Mapping[str, FakeEndpoint], changed: ChangeNotifier
    ) -> None:
        """Initialize the service, which listens after `start`; a port of 0 stands for any free port."""
        self.host = host
        self.port = port
        self.endpoints = endpoints
        self.changed = changed
        self.server: asyncio.Server | None = None
        self.generation = 1
        # The generation of the last change of each endpoint.
        self.generations: dict[str, int] = {}
        self.polls: Counter[int] = Counter()
        self.malformed_list: bytes | None = None
        self.trailing_bytes = b""
        self.availability = Availability.UP
        self.delay = 0.0
        self.on_list_sent: Callable[[dict[str, Any]], None] | None = None
        self.last_list: dict[str, Any] = self.endpoint_list(None)
        self.connections_accepted = 0
        self.silenced_connections = 0

    def set_availability(self, availability: Availability) -> None:
        """Change how requests are treated; requests that wait are responded to once the service is up."""
        self.availability = availability
        self.changed.notify()

    def silence_open_connections(self) -> None:
        """Send no more responses on the connections that are open now, and keep these connections open."""
        self.silenced_connections = self.connections_accepted

    async def start(self) -> asyncio.Server:
        """Listen at the port, or at a free port, which replaces a port of 0."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def mark_changed(self, name: str) -> None:
        """Start a new generation of the list, with the present state of an endpoint."""
        self.generation += 1
        self.generations[name] = self.generation
        self.changed.notify()

    def endpoint_list(self, after: int | None) -> dict[str, Any]:
        """Return the list as discovery's JSON.

        Args:
            after: The generation whose later changes are returned, or None for the complete list.
        """
        known = [endpoint for endpoint in self.endpoints.values() if endpoint.name in self.generations]
        if after is None:
            listed = [endpoint for endpoint in known if endpoint.lifecycle != "DELETED"]
        else:
            listed = [endpoint for endpoint in known if self.generations[endpoint.name] > after]
        return {
            "generation": self.generation,
            "reset": after is None,
            "instances": [endpoint_entry(endpoint) for endpoint in listed],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
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
        """Wait until a poll has changes to return or its time is over, and the service is up."""
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
        """Return the response to a request, with the present list."""
        endpoint_list = self.endpoint_list(int(query["after"]) if "after" in query else None)
        body = self.malformed_list or json.dumps(endpoint_list).encode()
        if self.on_list_sent and not self.malformed_list:
            self.on_list_sent(endpoint_list)
        self.malformed_list = None
        self.last_list = self.endpoint_list(None)
        return http_response("200 OK", "application/json", body) + self.trailing_bytes

    def has_changes(self, after: int) -> bool:
        """Return whether a poll for changes after a generation is responded to at once."""
        return self.generation > after or self.malformed_list is not None


def endpoint_entry(endpoint: FakeEndpoint) -> dict[str, Any]:
    """Return an endpoint's entry of the list as discovery's JSON."""
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
    """Fake release service, which serves a stream of release statuses and accepts votes.

    Attributes:
        state: The release status, by the field names of the service.
        votes: All votes received, in order, by the field names of the service.
        planned_vote_responses: Responses to the next votes, in order: ``count``, ``entity`` (a document with
            an entity), or an error code. Without a plan, a vote is counted.
        streams: The open streams that receive statuses.
        availability: How the service treats requests; `set_availability` changes it.
        on_state_sent: Called with each status that is sent to a client.
    """

    def __init__(self, host: str, port: int, changed: ChangeNotifier) -> None:
        """Initialize the service, which listens after `start`; a port of 0 stands for any free port."""
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
        """Change how requests are treated.

        Once the service is up, it responds to waiting requests and sends the status on all streams.
        """
        self.availability = availability
        self.changed.notify()
        if availability is Availability.UP:
            self.send_text(self.state_event())
            if self.streams:
                self.report_state_sent()

    def silence_streams(self) -> None:
        """Send nothing more on the streams that are open now, and keep these streams open."""
        self.streams.clear()

    async def start(self) -> asyncio.Server:
        """Listen at the port, or at a free port, which replaces a port of 0."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def publish(self, build: int, stage: int, phase: str, cap: float) -> None:
        """Set and send a new status of the release.

        Args:
            build: The release's build.
            stage: The release's stage.
            phase: A key of `PROGRESS_BY_PHASE`.
            cap: The cap on the canary's share of requests.
        """
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
        """Call `on_state_sent` after the status was sent."""
        if self.on_state_sent:
            self.on_state_sent(self.state)

    def send_text(self, text: str, as_chunk: bool = True) -> None:
        """Send a text on all streams, as a chunk or, to break the chunked encoding, without framing."""
        data = encode_chunk(text) if as_chunk else text.encode()
        if self.availability is not Availability.UP:
            return
        for writer in self.streams:
            if not writer.is_closing():
                writer.write(data)

    def state_event(self) -> str:
        """Return the status as an event of the stream."""
        fields = "&".join(f"{name}={value}" for name, value in self.state.items())
        return f"event: ROLLOUT\ndata: {fields}\n\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
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
        """Record a vote and return its planned response."""
        planned = self.planned_vote_responses.popleft() if self.planned_vote_responses else "count"
        self.votes.append(vote)
        self.changed.notify()
        status = "200 OK"
        if planned == "count":
            self.report_state_sent()
            fields = "".join(f"<{name}>{value}</{name}>" for name, value in self.state.items())
            document = f"<Response><groups><item>{fields}</item></groups></Response>"
        elif planned == "entity":
            document = ENTITY_DOCUMENT
        else:
            status = "400 Bad Request"
            document = f"<Error><Code>{planned}</Code></Error>"
        return http_response(status, "application/xml", document.encode())

    async def stream(self, writer: asyncio.StreamWriter) -> None:
        """Send the status and all later statuses until the connection ends."""
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

    >>> encode_chunk("text")
    b'4\r\ntext\r\n'
    """
    data = text.encode()
    return b"%x\r\n%b\r\n" % (len(data), data)
