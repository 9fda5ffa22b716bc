"""Fake endpoints and their control plane in one process.

    python -m benchmarks.endpoints HOST [NAME=FAULT]

Any number of faults may be given. There are four endpoints with build 41 and, if a fault is given for
``new``, one endpoint with build 42 as a canary with a cap of 0.25. At SIGUSR1, the process prints the
endpoints' counts since the previous signal as JSON, with the Unix time of each command's arrival.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from typing import Any

import uvloop

from gatebank.fakes.command_counts import CommandCounts
from gatebank.fakes.world import World

ENDPOINTS = 4
BASE_BUILD = 41
CANARY_BUILD = 42
CANARY_CAP = 0.25
FIRST_PORT = 7000
CANARY_PORT = 7010
DISCOVERY_PORT = 8500
RELEASE_SERVICE_PORT = 6400


class TimedCounts(CommandCounts):
    """Counts that also hold the time of each command's arrival and the endpoint's port."""

    def __init__(self) -> None:
        super().__init__()
        self.arrivals: list[tuple[float, str]] = []

    def count_received(self, address: str, words: list[bytes]) -> None:
        """Count a command, and store its time and port."""
        super().count_received(address, words)
        self.arrivals.append((time.time(), address.rpartition(":")[2]))

    def clear(self) -> None:
        """Reset all counts."""
        super().clear()
        self.arrivals.clear()


def summary(world: World, counts: TimedCounts) -> dict[str, Any]:
    """Return the counts by the field names of EndpointCounts in benchmarks/fleet.py."""
    requests = [
        [words[1].decode(), words[3].decode(), len(words[4]) if words[4:] else 0]
        for _, words in world.received
    ]
    return {
        "received": counts.received,
        "by_class": {name.decode(): number for name, number in counts.executed_by_class.items()},
        "executed_twice": [name.decode() for name in counts.executed_twice()],
        "requests": requests,
        "arrivals": counts.arrivals,
        "connections_accepted": sum(endpoint.connections_accepted for endpoint in world.endpoints.values()),
    }


async def main(host: str, *faults: str) -> None:
    """Run the endpoints until the process is ended."""
    world = World(host, DISCOVERY_PORT, RELEASE_SERVICE_PORT)
    counts = TimedCounts()
    world.counts = counts
    world.faults = dict(fault.split("=", 1) for fault in faults)
    await world.start()
    for number in range(ENDPOINTS):
        await world.add_endpoint(f"node-{number}", BASE_BUILD, FIRST_PORT + number)
    if "new" in world.faults:
        await world.add_endpoint("new", CANARY_BUILD, CANARY_PORT)
        world.releases.publish(CANARY_BUILD, 0, "trial", CANARY_CAP)

    def print_counts() -> None:
        print(json.dumps(summary(world, counts)), flush=True)
        counts.clear()
        world.received.clear()

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, print_counts)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(*sys.argv[1:]))
