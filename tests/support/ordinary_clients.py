"""Ordinary clients beside a flood, in a process of their own, so that the fakes' load does not delay them.

python -m tests.support.ordinary_clients ADDRESS [anew] [TIMEOUT_MS ...]

It runs until its input ends, then prints JSON. Each request has one of the timeouts, 2 s by default, and with
"anew" a connection of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from itertools import count, cycle
from math import inf
from time import monotonic

import uvloop

from gatebank.fakes.wire import encode_command, read_reply

PORT = 6379
CLIENTS = 8
PAUSE_S = 0.05
TIMEOUT_S = 2.0
DEFAULT_TIMEOUT_MS = 2000


@dataclass(slots=True)
class OrdinaryAnswers:
    """What ordinary clients saw.

    Attributes:
        waits: Seconds that each request waited for its answer.
        max_lateness: Highest number of seconds between a request's deadline and its answer, which is negative
            if all answers came in time.
        answers: Number of answers by their kind; ``none`` counts requests without an answer until 2 s after
            their time, and ``ended`` connections that ended as a request was sent.
        ended_ids: Ids of the requests that crossed the end of their connection.
    """

    waits: list[float] = field(default_factory=list)
    max_lateness: float = -inf
    answers: dict[str, int] = field(default_factory=dict)
    ended_ids: list[str] = field(default_factory=list)

    def count(self, result: str) -> None:
        """Count an answer."""
        self.answers[result] = self.answers.get(result, 0) + 1


class OrdinaryClients:
    """Clients that send a request, wait for its answer, and pause."""

    def __init__(self, address: str, timeouts_ms: list[int], connects_anew: bool) -> None:
        self.address = address
        self.timeouts_ms = cycle(timeouts_ms)
        self.connects_anew = connects_anew
        self.numbers = count(1)
        self.seen = OrdinaryAnswers()

    async def run(self) -> None:
        """Run one client until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.address, PORT)
            except OSError:
                self.seen.count("refused connection")
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                while await self.exchange(reader, writer) and not self.connects_anew:
                    await asyncio.sleep(PAUSE_S)
            finally:
                writer.close()

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request and record its answer; return False if the connection has ended."""
        request_id = b"o%07x%08x" % (os.getpid(), next(self.numbers))
        timeout_ms = next(self.timeouts_ms)
        timeout = timeout_ms / 1000
        fields = b"c=read,t=all,d=%d" % timeout_ms
        began = monotonic()
        try:
            writer.write(encode_command(b"Q.ASK", b"ordinary", request_id, fields))
            async with asyncio.timeout(timeout + TIMEOUT_S):
                result, _ = await read_reply(reader)
        except TimeoutError:
            result = "none"
        except (OSError, asyncio.IncompleteReadError):
            result = "ended"
        if result == "ended":
            self.seen.ended_ids.append(request_id.decode())
        else:
            wait = monotonic() - began
            self.seen.waits.append(wait)
            self.seen.max_lateness = max(self.seen.max_lateness, wait - timeout)
        self.seen.count(result)
        return result in ("satisfied", "rejected", "broken off")


async def main(address: str, words: list[str]) -> None:
    """Run the clients until the process's input ends, and print what they saw."""
    timeouts_ms = [int(word) for word in words if word.isdigit()]
    clients = OrdinaryClients(address, timeouts_ms or [DEFAULT_TIMEOUT_MS], "anew" in words)
    tasks = [asyncio.create_task(clients.run()) for _ in range(CLIENTS)]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for task in tasks:
        task.cancel()
    with suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks, return_exceptions=True)
    print(json.dumps(asdict(clients.seen)))


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2:]))
