"""Requests are answered more than half a second after their time while bad clients send empty commands.

The marshal has CORES of a core, as its configuration says: it is stopped for the rest of each PERIOD_S, as
the system's limit on processor time does. Bad clients send ``*0`` without end. Without the disruption there
are no bad clients; the limit is the same.
"""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from pathlib import Path
from random import Random

from rig import (
    CannotRunError,
    Client,
    Discovery,
    Marshal,
    Node,
    Platform,
    Record,
    Stalls,
    has_trouble,
    main,
    start_bad_clients,
)

BUILD = 42
NODES = 10
CLIENTS = 40
CORES = 0.25  # The first deployment gives an instance 250 ms of processor time a second.
PERIOD_S = 0.1
BAD_CLIENTS = 300  # Of 1,024 descriptors that the marshal may hold.
BAD_FROM_S = 2.0
BAD_FOR_S = 15.0
LOAD_S = 20.0
EARNS_NOTHING_S = 0.5  # An answer up to this long after the request's time only earns nothing.
SOCKET_SLACK_S = 0.05  # On sockets, every time limit is so much longer.
GIVE_UP_S = 5.0  # A client waits so much longer than its time, to see when the answer comes.
LEAST_REQUESTS = 100
TIMES_MS = (200, 400, 900, 2400)


async def limit_processor(marshal: Marshal) -> None:
    """Let the marshal run for its share of each period, until cancelled."""
    assert marshal.process
    pid = marshal.process
    try:
        while pid.returncode is None:
            await asyncio.sleep(PERIOD_S * CORES)
            pid.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PERIOD_S * (1 - CORES))
            pid.send_signal(signal.SIGCONT)
    finally:
        with suppress(ProcessLookupError):
            pid.send_signal(signal.SIGCONT)


async def ask(marshal: Marshal, number: int, until: float, found: list[str], stalls: Stalls) -> int:
    """Send requests as one client; note each that got no answer in time. Returns the number of requests."""
    record = marshal.record
    random = Random(number)
    client = Client(record, marshal.address)
    count = 0
    while record.now() < until:
        count += 1
        time_ms = random.choice(TIMES_MS)
        request_id = f"{number:02x}{count:06x}"
        sent_at = record.now()
        command = [b"Q.ASK", b"key-%d" % count, request_id.encode(), b"c=read,d=%d" % time_ms]
        answer = await client.ask(command, time_ms / 1000 + GIVE_UP_S)
        late = record.now() - sent_at - time_ms / 1000
        late -= stalls.between(sent_at, record.now())
        if not answer.startswith("closed") and late > EARNS_NOTHING_S + SOCKET_SLACK_S:
            found.append(
                f"{request_id} sent at {sent_at:.3f}, d={time_ms}: {answer!r} {late:.3f} s after its time"
            )
        await asyncio.sleep(random.uniform(0.05, 0.2))
    client.close()
    return count


async def play(record: Record, folder: Path) -> list[str]:
    """Play the case."""
    nodes = [Node(f"node-{number}", BUILD, record) for number in range(NODES)]
    discovery = Discovery(record)
    platform = Platform(record, BUILD)
    for part in (*nodes, discovery, platform):
        await part.start()
    discovery.tell(*nodes)
    marshal = Marshal(record, folder)
    marshal.config["limits"]["cores"] = CORES
    marshal.config |= {
        "discovery": discovery.address,
        "platform": {"address": platform.address, "news": platform.fields()},
        "known": discovery.listing(None),
    }
    found: list[str] = []
    stalls = Stalls(record)
    bad: list[asyncio.subprocess.Process] = []
    tasks = [asyncio.create_task(stalls.watch())]
    try:
        await marshal.start()
        tasks.append(asyncio.create_task(limit_processor(marshal)))
        until = record.now() + LOAD_S
        clients = [
            asyncio.create_task(ask(marshal, number, until, found, stalls)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(BAD_FROM_S)
        if has_trouble():
            record.add(f"{BAD_CLIENTS} bad clients begin")
            bad = await start_bad_clients(marshal, BAD_CLIENTS, BAD_FOR_S, "empty")
        requests = sum(await asyncio.gather(*clients))
        for process in bad:
            output, _ = await process.communicate()
            record.add(f"bad clients: {output.decode().strip()}")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for process in bad:
            if process.returncode is None:
                process.kill()
        await marshal.stop()
    record.add(f"{requests} requests, {time.process_time():.1f} s of processor time in this process")
    if requests < LEAST_REQUESTS:
        raise CannotRunError(f"only {requests} requests")
    return found


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
