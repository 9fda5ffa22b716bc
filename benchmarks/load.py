"""Load on a marshal, in a process of its own: `python -m benchmarks.load HOST LINES SECONDS RATE`.

RATE 0 is a closed loop, in which each connection asks again at once; else so many a second, open loop, where
the time of an answer counts from when its invocation was due. Prints one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque

import uvloop
from hdrh.histogram import HdrHistogram

from gatebank.fakes.clients import invocation
from gatebank.proxy.resp2 import codec as resp


class Line(asyncio.Protocol):
    """One connection; knows only how many answers are due, and of which lengths they are."""

    def __init__(self, load: Load) -> None:
        self.load, self.data, self.due, self.closed = load, b"", deque[float](), False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, trouble: Exception | None) -> None:
        self.closed = True  # a marshal ends what is idle for long; what was due on it shows in the counts

    def ask(self, due: float) -> None:
        self.due.append(due)
        self.transport.write(resp.command(invocation(self.load.chance)))

    def data_received(self, data: bytes) -> None:
        inbox = resp.Inbox.over(self.data + data)
        for reply in inbox.replies():
            self.load.answered(self, reply.mark, self.due.popleft())
        self.data = bytes(inbox.data[inbox.start :])


class Load:
    def __init__(self, lines: int, rate: float) -> None:
        self.chance, self.rate = random.Random(7), rate
        self.times = HdrHistogram(1, 60_000_000, 3)
        self.counts = {"satisfied": 0, "other": 0}
        self.lines = [Line(self) for _ in range(lines)]
        self.idle: list[Line] = []
        self.began = 0.0
        self.rows: list[tuple[float, bool, float]] = []  # of an open loop: due, satisfied or not, took
        self.going = True

    def answered(self, line: Line, mark: str, due: float) -> None:
        now = time.perf_counter()
        self.counts["satisfied" if mark == "$" else "other"] += 1
        if self.rate:
            self.rows.append((due - self.began, mark == "$", now - due))
        self.times.record_value(max(1, int((now - due) * 1e6)))
        if not self.rate and self.going:
            line.ask(now)
        elif not line.due:
            self.idle.append(line)

    async def run(self, host: str, seconds: float) -> dict[str, float]:
        loop = asyncio.get_running_loop()
        for line in [] if self.rate else self.lines:
            await loop.create_connection(lambda line=line: line, host, 6379)
        start = self.began = time.perf_counter()
        at = time.time()
        if self.rate:
            for number in range(int(seconds * self.rate)):
                due = start + number / self.rate
                if (left := due - time.perf_counter()) > 0:
                    await asyncio.sleep(left)
                while self.idle and self.idle[-1].closed:
                    self.idle.pop()
                if self.idle:
                    self.idle.pop().ask(due)
                else:
                    _, line = await loop.create_connection(lambda: Line(self), host, 6379)
                    line.ask(due)
        else:
            for line in self.lines:
                line.ask(time.perf_counter())
            await asyncio.sleep(seconds)
        took = time.perf_counter() - start
        done = dict(self.counts)
        self.going = False
        await asyncio.sleep(0.5)
        quantiles = {f"p{q:g}": self.times.get_value_at_percentile(q) / 1000 for q in (50, 99)}
        return {
            "rate": done["satisfied"] / took,
            "other": done["other"],
            "at": at,
            "rows": self.rows,
            **quantiles,
        }


if __name__ == "__main__":
    host, lines, seconds, rate = sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])
    print(json.dumps(uvloop.run(Load(lines, rate).run(host, seconds))))
