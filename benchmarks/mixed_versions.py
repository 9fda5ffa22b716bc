"""Checks that instances of this revision and of another one work together.

    python -m benchmarks.mixed_versions [REVISION]

Four instances serve one deployment on loopback, two of each revision. Each instance but the first receives
state from an instance of the other revision when it starts. Then a canary is published whose endpoint fails
every request. The check passes if all four instances vote to roll the canary back, each receives peer
messages and drops none as unreadable, every transfer of state succeeds, and clients get a reply to each
request.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

from benchmarks.harness import BASE_REVISION, ROOT, other_revision
from gatebank.fakes.clients import send_requests
from gatebank.fakes.world import World

HOST = "127.9.52.1"
BASE_BUILD = 41
CANARY_BUILD = 42
CANARY_CAP = 0.25
ENDPOINTS = 4
INSTANCES = 4
SOURCES = {1: 0, 2: 1, 3: 0}  # each instance's source of state, which runs the other revision
WARM_UP_REQUESTS = 150  # to each running instance before the canary is published
CANARY_REQUESTS = 400  # to each instance while the canary is listed
CLIENT_PORT = 6379
PEER_PORT = 7946
TRANSFER_PORT = 7950
POLL_S = 0.05
READY_TIMEOUT_S = 20.0
VOTES_TIMEOUT_S = 20.0
STANDING_S = 2.0  # wait after the last vote: instances log their counters every second
ROLLBACK_NOTE = f"vote BACK build {CANARY_BUILD}"


@dataclass(frozen=True, slots=True)
class RunningInstance:
    """An instance and its log file.

    Attributes:
        number: Its number in the settings.
        address: The IP address that it listens on.
        revision: ``this`` or ``other``: the revision that it runs.
        log: The file that it logs to.
    """

    number: int
    address: str
    revision: str
    log: Path

    def has_logged(self, text: str) -> bool:
        """Whether its log contains a text."""
        return text in self.log.read_text()

    def counter(self, key: str) -> int:
        """The latest value of a counter in its ``event=standing`` lines."""
        return int(re.findall(rf"event=standing .*\b{key}=(\d+)", self.log.read_text())[-1])


async def wait_until(condition: Callable[[], bool], seconds: float) -> None:
    """Wait until a condition on log files holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - a log file wakes nobody
            await asyncio.sleep(POLL_S)


def instance_address(number: int) -> str:
    """The IP address of an instance."""
    network, _, last = HOST.rpartition(".")
    return f"{network}.{int(last) + 1 + number}"


def write_files(folder: Path, number: int, world: World) -> tuple[Path, Path]:
    """Write the configuration and the operators' file of an instance, and return their paths."""
    given = json.loads((ROOT / "examples/marshal.json").read_text())
    address = instance_address(number)
    given |= {
        "name": f"marshal-{number}",
        "listen": f"{address}:{CLIENT_PORT}",
        "peer_listen": f"{address}:{PEER_PORT}",
        "peers": [f"{instance_address(each)}:{PEER_PORT}" for each in range(INSTANCES)],
        "discovery": f"{HOST}:{world.discovery.port}",
        "platform": {"address": f"{HOST}:{world.releases.port}", "news": world.releases.state},
        "known": world.discovery.endpoint_list(None),
    }
    given["settings"] |= {"me": number, "balancers": INSTANCES}
    given["settings"]["domain"] |= {"back-votes": INSTANCES, "ayes-needed": INSTANCES}
    configuration = folder / f"{number}.json"
    configuration.write_text(json.dumps(given))
    source = SOURCES.get(number)
    sources = "" if source is None else f'"{instance_address(source)}:{TRANSFER_PORT}"'
    operators_file = folder / f"{number}.star"
    operators_file.write_text(
        f'learning(listen = "{address}:{TRANSFER_PORT}", donors = [{sources}], plain = True)\n'
    )
    return configuration, operators_file


@asynccontextmanager
async def instance(folder: Path, number: int, world: World, root: Path) -> AsyncIterator[RunningInstance]:
    """Run an instance of the revision checked out in ``root`` while the body runs.

    Raises:
        TimeoutError: It was not ready in time.
    """
    configuration, operators_file = write_files(folder, number, world)
    log = folder / f"{number}.log"
    command = (sys.executable, "-P", "-m", "gatebank", "serve", str(configuration))
    options = ("--orders", str(operators_file), "--log-level", "debug")
    environment = os.environ | {"PYTHONPATH": str(root)}
    with log.open("w") as file:
        process = await asyncio.create_subprocess_exec(
            *command, *options, cwd=root, env=environment, stderr=file
        )
    running = RunningInstance(number, instance_address(number), "this" if root == ROOT else "other", log)
    try:
        await wait_until(lambda: running.has_logged("event=ready"), READY_TIMEOUT_S)
        yield running
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.wait()


async def send_to_all(instances: list[RunningInstance], count: int) -> Counter[str]:
    """Send requests to each instance at the same time, and count the replies by their result."""
    sent = [send_requests(each.address, CLIENT_PORT, count, seed=each.number) for each in instances]
    results: Counter[str] = Counter()
    for replies in await asyncio.gather(*sent):
        for reply, number in replies.items():
            results[reply.partition(":")[0]] += number
    return results


async def wait_for_votes(instances: list[RunningInstance]) -> None:
    """Wait until each instance has voted to roll the canary back, or the time limit is over."""
    with suppress(TimeoutError):  # `faults_of` names the instances that have not voted
        await wait_until(lambda: all(each.has_logged(ROLLBACK_NOTE) for each in instances), VOTES_TIMEOUT_S)


def faults_of(each: RunningInstance) -> list[str]:
    """Return a line for each requirement that an instance did not meet."""
    source = SOURCES.get(each.number)
    checks = {
        "does not vote to roll the canary back": each.has_logged(ROLLBACK_NOTE),
        "receives no state": source is None or each.has_logged("event=learnt "),
        "receives no peer messages": each.counter("words_heard") > 0,
        "drops peer messages": each.counter("words_dropped") == 0,
        "refuses or fails a transfer of state": not re.search(
            r"event=(donor_failed|donor_busy|learner_failed|peer_refused|\w*fault)", each.log.read_text()
        ),
        "votes to promote the canary": not each.has_logged("vote ON"),
    }
    return [
        f"instance {each.number} ({each.revision}): {fault}" for fault, holds in checks.items() if not holds
    ]


async def play(other: Path) -> list[str]:
    """Run the deployment once, print each instance's message counters, and return the faults."""
    world = World(HOST)
    world.failing_endpoints = {"new"}
    await world.start()
    for number in range(ENDPOINTS):
        await world.add_endpoint(f"node-{number}", BASE_BUILD)
    with tempfile.TemporaryDirectory() as name:
        async with AsyncExitStack() as stack:
            instances: list[RunningInstance] = []
            for number in range(INSTANCES):
                root = ROOT if number % 2 else other
                running = await stack.enter_async_context(instance(Path(name), number, world, root))
                instances.append(running)
                await send_to_all(instances, WARM_UP_REQUESTS)
            await world.add_endpoint("new", CANARY_BUILD)
            world.releases.publish(CANARY_BUILD, 0, "trial", CANARY_CAP)
            replies = await send_to_all(instances, CANARY_REQUESTS)
            await wait_for_votes(instances)
            await asyncio.sleep(STANDING_S)
            faults = [fault for each in instances for fault in faults_of(each)]
            for each in instances:
                counters = {key: each.counter(key) for key in ("words_told", "words_heard", "words_dropped")}
                print(f"instance {each.number} ({each.revision}): {counters}")
    await world.stop()
    print(f"replies while the canary was there: {dict(replies)}")
    if replies.total() != INSTANCES * CANARY_REQUESTS:
        faults.append(f"{replies.total()} replies to {INSTANCES * CANARY_REQUESTS} requests")
    return faults


def main() -> int:
    """Run the check once; the exit status is 1 if it failed."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("revision", nargs="?", default=BASE_REVISION)
    arguments = parser.parse_args()
    with other_revision(arguments.revision) as other:
        faults = asyncio.run(play(other))
    print("\n".join(faults) or "the two revisions work together")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
