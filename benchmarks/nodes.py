"""`python -m benchmarks.nodes HOST [NAME=FAULT ...]`: stand-in nodes, discovery and desk, in one process.

Four nodes of build 41, and where a fault is told for `new`, one of build 42 on trial with a cap of 0.25.
SIGUSR1 prints what they counted since the last time, with when each command came (Unix time).
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time

import uvloop

from gatebank.fakes.world import World


async def main(host: str, *faults: str) -> None:
    world = World(host, 8500, 6400)
    world.faults = dict(each.split("=", 1) for each in faults)
    await world.start()
    for number in range(4):
        await world.add(f"node-{number}", 41, 7000 + number)
    if "new" in world.faults:
        await world.add("new", 42, 7010)
        world.releases.publish(42, 0, "trial", 0.25)
    came: list[tuple[float, str]] = []
    take = world.counts.take

    def timed(address: str, words: list[bytes]) -> None:
        take(address, words)
        came.append((time.time(), address.rpartition(":")[2]))

    world.counts.take = timed  # type: ignore[method-assign]

    def tell() -> None:
        counts, rows = world.counts, (words for _, words in world.received)
        ran = {name.decode(): number for name, number in counts.ran_by_workload.items()}
        order = [[w[1].decode(), w[3].decode(), len(w[4]) if w[4:] else 0] for w in rows]
        twice = [name.decode() for name in counts.twice()]
        told = {"received": counts.received, "by_workload": ran, "twice": twice, "order": order, "came": came}
        print(json.dumps(told), flush=True)
        for table in (counts.ran_by_workload, counts.ran_by_id, counts.ran_by_ticket, counts.received_by_id):
            table.clear()
        counts.received = 0
        world.received.clear()
        came.clear()

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, tell)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(*sys.argv[1:]))
