"""A load generator for an instance, and a comparison of gatebank's throughput with another revision's.

    python -m benchmarks.load HOST CONNECTIONS SECONDS RATE
    python -m benchmarks.load beside [REVISION] [--rounds N] [--seconds S] [--rate R]

A rate of 0 is a closed loop, in which each connection sends its next request after the reply to the previous
one. Any other rate is an open loop with that many requests a second, in which a request's latency counts from
the time when it was due.

The first form prints one JSON object, a LoadResult of benchmarks/fleet.py. The second form runs instances of
both revisions alternately with the same endpoints, and prints the medians and the ratios of the present
revision to the other: of throughput and latencies, of the processor time a request, and of the connections
opened to endpoints.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass, fields
from functools import partial
from pathlib import Path
from typing import cast

import uvloop
from hdrh.histogram import HdrHistogram

from benchmarks.fleet import Fleet, LoadResult
from benchmarks.harness import (
    BASE_REVISION,
    ROOT,
    Spread,
    interleave,
    other_revision,
    processor_seconds,
)
from gatebank.fakes.clients import random_request
from gatebank.proxy.resp2 import codec as resp

PORT = 6379
SEED = 7
MAX_LATENCY_US = 60_000_000
DRAIN_SECONDS = 0.5  # Time at the end for replies to the last requests.
# Defaults of the comparison.
CONNECTIONS = 40
SECONDS = 4.0
ROUNDS = 3


class Connection(asyncio.Protocol):
    """One connection of a load.

    Attributes:
        due: When the unanswered requests were due, in seconds of the performance counter.
    """

    def __init__(self, load: Load) -> None:
        self.load = load
        self.data = b""
        self.due = deque[float]()
        self.closed = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass.

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as closed.

        An instance closes connections that are idle for long. Missing replies show in the counts.
        """
        self.closed = True

    def send(self, due: float) -> None:
        """Send a request that is due at this time, in seconds of the performance counter."""
        self.due.append(due)
        self.transport.write(resp.encode_command(random_request(self.load.generator)))

    def data_received(self, data: bytes) -> None:
        """Report all complete replies to the load."""
        inbox = resp.Resp2Buffer.from_bytes(self.data + data)
        for reply in inbox.replies():
            self.load.on_reply(self, reply.type_byte == "$", self.due.popleft())
        self.data = bytes(inbox.data[inbox.start :])


class Load:
    """Requests to one instance and their results.

    Attributes:
        generator: Source of the random requests.
        other: Number of replies that are not values.
        rows: The same as in LoadResult.
    """

    def __init__(self, host: str, connections: int, rate: float) -> None:
        self.host = host
        self.rate = rate
        self.generator = random.Random(SEED)
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.served = 0
        self.other = 0
        self.connections = [Connection(self) for _ in range(connections)]
        self.idle: list[Connection] = []
        self.start = 0.0
        self.rows: list[tuple[float, bool, float]] = []
        self.sending = True

    def on_reply(self, connection: Connection, served: bool, due: float) -> None:
        """Count a reply and, in a closed loop, send the connection's next request."""
        now = time.perf_counter()
        if served:
            self.served += 1
        else:
            self.other += 1
        if self.rate:
            self.rows.append((due - self.start, served, now - due))
        self.latencies.record_value(max(1, int((now - due) * 1e6)))
        if not self.rate and self.sending:
            connection.send(now)
        elif not connection.due:
            self.idle.append(connection)

    async def run(self, seconds: float) -> LoadResult:
        """Send requests for a number of seconds, and return the measurements."""
        if not self.rate:
            await self.connect_all()
        self.start = time.perf_counter()
        started_at = time.time()
        if self.rate:
            await self.send_at_rate(seconds)
        else:
            for connection in self.connections:
                connection.send(time.perf_counter())
            await asyncio.sleep(seconds)
        took = time.perf_counter() - self.start
        served = self.served
        other = self.other
        self.sending = False
        await asyncio.sleep(DRAIN_SECONDS)
        return LoadResult(
            rate=served / took,
            other=other,
            at=started_at,
            rows=self.rows,
            p50=self.latencies.get_value_at_percentile(50) / 1000,
            p99=self.latencies.get_value_at_percentile(99) / 1000,
        )

    async def connect_all(self) -> None:
        """Open all connections of a closed loop."""
        loop = asyncio.get_running_loop()
        for connection in self.connections:
            await loop.create_connection(partial(existing_connection, connection), self.host, PORT)

    async def send_at_rate(self, seconds: float) -> None:
        """Send each request when it is due, on an idle or a new connection."""
        loop = asyncio.get_running_loop()
        for number in range(int(seconds * self.rate)):
            due = self.start + number / self.rate
            delay = due - time.perf_counter()
            if delay > 0:
                await asyncio.sleep(delay)
            while self.idle and self.idle[-1].closed:
                self.idle.pop()
            if self.idle:
                connection = self.idle.pop()
            else:
                _, connection = await loop.create_connection(lambda: Connection(self), self.host, PORT)
            connection.send(due)


def existing_connection(connection: Connection) -> Connection:
    """Return an existing connection, for use as a protocol factory."""
    return connection


@dataclass(frozen=True, slots=True)
class Cost:
    """What a load cost the instance.

    Attributes:
        rate: Served requests a second.
        p50: The median latency in ms.
        p99: The 99th percentile in ms.
        processor_us: Processor time of the instance for a command that endpoints received, in microseconds.
        connections: Connections opened to endpoints for a thousand of these commands.
    """

    rate: float
    p50: float
    p99: float
    processor_us: float
    connections: float


def measure_cost(fleet: Fleet, root: Path, seconds: float, rate: float) -> Cost:
    """Put load on an instance that runs from a source tree, and return what it cost."""
    accepted_before = fleet.counts().connections_accepted
    with fleet.instance(0, root=root) as process:
        spent_before = processor_seconds(process.pid)
        result = fleet.load(0, CONNECTIONS, seconds, rate)
        spent = processor_seconds(process.pid) - spent_before
        counts = fleet.counts()
    opened = counts.connections_accepted - accepted_before
    return Cost(
        rate=result.rate,
        p50=result.p50,
        p99=result.p99,
        processor_us=1e6 * spent / counts.received,
        connections=1000 * opened / counts.received,
    )


def compare_revisions(other: Path, rounds: int, seconds: float, rate: float) -> None:
    """Put the same load on both revisions alternately, and print the results."""
    costs: dict[Path, list[Cost]] = {other: [], ROOT: []}
    with Fleet() as fleet:
        for root in interleave(list(costs), rounds):
            costs[root].append(measure_cost(fleet, root, seconds, rate))
    for field in fields(Cost):
        theirs, ours = ([getattr(cost, field.name) for cost in costs[root]] for root in (other, ROOT))
        ratio = Spread.of_ratios(ours, theirs)
        print(
            f"{field.name}: other {Spread.of(theirs):.1f}, present {Spread.of(ours):.1f};"
            f" present/other {ratio:.2f}"
        )


def run_comparison(command_line: list[str]) -> None:
    """Compare with the revision that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.load beside")
    parser.add_argument("revision", nargs="?", default=BASE_REVISION)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--seconds", type=float, default=SECONDS, help="duration of the load in each round")
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0 is a closed loop")
    arguments = parser.parse_args(command_line)
    with other_revision(arguments.revision) as other:
        compare_revisions(other, arguments.rounds, arguments.seconds, arguments.rate)


def main() -> None:
    """Run the comparison, or the load generator that benchmarks/fleet.py starts."""
    if sys.argv[1:2] == ["beside"]:
        run_comparison(sys.argv[2:])
        return
    host, connections, seconds, rate = sys.argv[1:]
    result = uvloop.run(Load(host, int(connections), float(rate)).run(float(seconds)))
    print(json.dumps(asdict(result)))


if __name__ == "__main__":
    main()
