"""State transfer beside the same program without it, in one run.

python -m benchmarks.learning restart [ROUNDS]  first 1, 5 and 15 s of an instance that restarts under load
python -m benchmarks.learning donor [ROUNDS]    a source's latencies while 1, 10 and 40 receivers ask at once
python -m benchmarks.learning size              state of many endpoints: bytes, time to pack, longest slice
"""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from benchmarks.fleet import EndpointCounts, Fleet, LoadResult
from benchmarks.harness import Spread
from gatebank.proxy.configuration import Address, load_configuration
from gatebank.state_transfer import protocol
from gatebank.state_transfer.index_names import IndexNames, Origin
from gatebank.state_transfer.items import EndpointHealth, by_priority, split_into_parts
from gatebank.state_transfer.protocol import Ask, Conversation, FrameKind, Hello, Refusal, encode_frame
from gatebank.state_transfer.state_export import ENDPOINTS_PER_SLICE, StateExport
from tests.support.transfer_fixtures import START_TIME, make_balancer

RATE = 300.0  # requests a second
CONNECTIONS = 40
WARM_UP_SECONDS = 6.0
SPANS = (1.0, 5.0, 15.0)  # s after the start of the instance that restarts
DEFAULT_ROUNDS = 4
RECEIVERS = (0, 1, 10, 40)
TRANSFER_SECONDS = 12.0
TRANSFER_PORT = 7950
SIZES = (10, 100, 1_000, 10_000)  # endpoints
FAILING_PORT = 7000  # of endpoint 0; that of the others follows
CANARY_PORT = "7010"
OPERATORS_FILE = 'learning(listen = "{own}:7950", donors = ["{other}:7950"], plain = True)'


def operators_file(fleet: Fleet, number: int) -> str:
    """Return the operators' file with which an instance learns from the other."""
    return OPERATORS_FILE.format(own=fleet.address(number), other=fleet.address(1 - number))


def measure_restarts(rounds: int) -> None:
    """One instance runs on while the other restarts under load.

    One endpoint fails all, one is slow, and a canary fails; with state transfer and without, in turn, with
    the same seed for both.
    """
    found: dict[bool, list[dict[str, float]]] = {True: [], False: []}
    for number in range(rounds):
        failing, slow = random.Random(number).sample(range(4), 2)
        for transfer in (True, False) if number % 2 else (False, True):
            found[transfer].append(restart(failing, slow, transfer))
    for name in found[True][0]:
        with_transfer = [row[name] for row in found[True]]
        without = [row[name] for row in found[False]]
        more_is_better = name.startswith("served")
        worse = sum(
            (value < other) if more_is_better else (value > other)
            for value, other in zip(with_transfer, without, strict=True)
        )
        print(
            f"{name}: with transfer {Spread.of(with_transfer):.4g}, without {statistics.median(without):.4g};"
            f" worse in {worse} of {rounds}"
        )


def restart(failing: int, slow: int, transfer: bool) -> dict[str, float]:
    """Restart an instance under load, and return the figures of its first seconds by name."""
    with Fleet(f"node-{failing}=error", f"node-{slow}=late:0.15", "new=error") as fleet:
        files = [operators_file(fleet, number) if transfer else "" for number in (0, 1)]
        with fleet.instance(0, files[0]):
            fleet.load(0, CONNECTIONS, WARM_UP_SECONDS, RATE)
            fleet.counts()
            began = time.time()
            with fleet.instance(1, files[1]):
                ready_after = time.time() - began
                load = fleet.load(1, CONNECTIONS, SPANS[-1], RATE)
            counts = fleet.counts()
    return {"seconds to ready": ready_after} | first_seconds(load, counts, str(FAILING_PORT + failing))


def first_seconds(load: LoadResult, counts: EndpointCounts, failing_port: str) -> dict[str, float]:
    """Return the share served and the attempts at bad endpoints, for each span."""
    figures: dict[str, float] = {}
    for span in SPANS:
        served = [was_served for due, was_served, _ in load.rows if due < span]
        figures[f"served in {span:g} s, share"] = sum(served) / max(1, len(served))
        for name, port in (("the failing endpoint", failing_port), ("the bad build", CANARY_PORT)):
            attempts = sum(0 <= at - load.at < span and to == port for at, to in counts.arrivals)
            figures[f"attempts at {name} in {span:g} s"] = attempts
    return figures


@dataclass(frozen=True, slots=True)
class Transfer:
    """How a receiver fared: its attempts, and the bytes that it got; 0 if it got no state in time."""

    attempts: int
    size: int


async def receive(address: Address, deployment: str, until: float) -> Transfer:
    """Ask for state, and again when told to, until it is received or the time is over."""
    attempts = 0
    while time.monotonic() < until:
        attempts += 1
        reader, writer = await asyncio.open_connection(*address)
        conversation = Conversation(Hello(name="bench", deployment=deployment))
        size = 0
        retry_after = 0.0
        writer.write(conversation.hello() + encode_frame(FrameKind.ASK, Ask()))
        while not conversation.ended and (data := await reader.read(65536)):
            size += len(data)
            for message in conversation.feed(data):
                if isinstance(message, Refusal):
                    retry_after = message.retry_after
        writer.close()
        if conversation.ended:
            return Transfer(attempts, size)
        await asyncio.sleep(retry_after)
    return Transfer(attempts, 0)


async def receive_many(fleet: Fleet, receivers: int) -> list[Transfer]:
    """Have so many receivers ask the first instance at once."""
    configuration = load_configuration({"ROUTER_CONFIG": str(fleet.configuration(0))})
    deployment = protocol.deployment_id(configuration.settings)
    address = (fleet.address(0), TRANSFER_PORT)
    until = time.monotonic() + TRANSFER_SECONDS
    return await asyncio.gather(*(receive(address, deployment, until) for _ in range(receivers)))


def transfer_under_load(fleet: Fleet, receivers: int) -> tuple[LoadResult, list[Transfer]]:
    """Put load on a source of state while so many receivers ask it."""
    with fleet.instance(0, operators_file(fleet, 0)), ThreadPoolExecutor(1) as executor:
        fleet.load(0, CONNECTIONS, 2.0, RATE)
        load = executor.submit(fleet.load, 0, CONNECTIONS, TRANSFER_SECONDS, RATE)
        time.sleep(1.0)
        transfers = asyncio.run(receive_many(fleet, receivers))
        return load.result(), transfers


def measure_sources(rounds: int) -> None:
    """Print a source's latencies while receivers ask it, beside those without any."""
    loads: dict[int, list[LoadResult]] = {receivers: [] for receivers in RECEIVERS}
    transfers: dict[int, list[list[Transfer]]] = {receivers: [] for receivers in RECEIVERS}
    with Fleet() as fleet:
        for number in range(rounds):
            for receivers in RECEIVERS if number % 2 else reversed(RECEIVERS):
                load, found = transfer_under_load(fleet, receivers)
                loads[receivers].append(load)
                transfers[receivers].append(found)
    base = [load.p99 for load in loads[0]]
    for receivers, results in loads.items():
        p99 = [load.p99 for load in results]
        received = [sum(transfer.size > 0 for transfer in found) for found in transfers[receivers]]
        attempts = [sum(transfer.attempts for transfer in found) for found in transfers[receivers]]
        sizes = [max((transfer.size for transfer in found), default=0) for found in transfers[receivers]]
        print(
            f"{receivers} receivers at once: p50 {statistics.median(load.p50 for load in results):.2f} ms,"
            f" p99 {statistics.median(p99):.2f} ms, {Spread.of_ratios(p99, base):.3f} of that with none;"
            f" received {received} in {attempts} attempts, {statistics.median(sizes):.0f} bytes each"
        )


def measure_sizes() -> None:
    """Print how large the state of many endpoints is, and how long packing and reading it takes."""
    for endpoints in SIZES:
        measure_size(endpoints)


def measure_size(endpoints: int) -> None:
    """Pack and read the state of so many endpoints."""
    balancer, _ = make_balancer(endpoint_count=endpoints)
    for node in balancer.state.endpoints.by_index.values():
        node.result_count = 40
        node.last_result_at = START_TIME
    names = IndexNames(balancer.state.settings, [f"node-{number:05d}" for number in range(endpoints + 1)])
    slices = []
    items = []
    start = time.perf_counter()
    export = StateExport(balancer.state, names, Origin("m", 1), START_TIME)
    for some in export.slices():
        items += [item.older(0.25) for item in some]
        slices.append(time.perf_counter() - start)
        start = time.perf_counter()
    frames = [
        encode_frame(FrameKind.PART, part)
        for part in split_into_parts(by_priority(items), protocol.PART_BYTES)
    ]
    packing = time.perf_counter() - start
    start = time.perf_counter()
    conversation = Conversation(Hello(name="l", deployment="x"))
    read_items = 0
    for message in conversation.feed(
        encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x")) + b"".join(frames)
    ):
        read_items += len(message) if isinstance(message, list) else 0
    reading = time.perf_counter() - start
    assert read_items == len(items)
    assert sum(isinstance(item, EndpointHealth) for item in items) == endpoints + 1
    print(
        f"{endpoints:,} endpoints: {sum(map(len, frames)):,} bytes in {len(frames)} parts; longest slice of"
        f" {ENDPOINTS_PER_SLICE} endpoints {max(slices) * 1e3:.2f} ms, packing {packing * 1e3:.1f} ms in all,"
        f" reading {reading * 1e3:.1f} ms"
    )


def main() -> None:
    """Run the measurement that the command line names."""
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_ROUNDS
    match sys.argv[1:2]:
        case ["restart"]:
            measure_restarts(rounds)
        case ["donor"]:
            measure_sources(rounds)
        case _:
            measure_sizes()


if __name__ == "__main__":
    main()
