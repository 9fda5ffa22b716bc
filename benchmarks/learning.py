"""Learning beside the same program without it, in one run.

python -m benchmarks.learning restart [ROUNDS]   the first 1, 5 and 15 s of a marshal that restarts under a
surge python -m benchmarks.learning donor [ROUNDS]     a donor's customers while 1, 10, 40 learn at once
python -m benchmarks.learning size               knowledge of many nodes: bytes, time to pack, longest slice
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import subprocess
import sys
import time
from typing import Any

from benchmarks.fleet import ROOT, Fleet
from gatebank.proxy.configuration import Address, load_configuration
from gatebank.state_transfer import protocol
from gatebank.state_transfer.items import EndpointHealth, by_value, split_into_parts
from gatebank.state_transfer.protocol import Ask, Conversation, FrameKind, Hello, Refusal, encode_frame

RATE, SPANS = 300.0, (1.0, 5.0, 15.0)
TEACHES = 'learning(listen = "{me}:7950", donors = ["{other}:7950"], plain = True{more})'


def restart(rounds: int) -> None:
    """One marshal lives, the other restarts into a surge: one node fails all, one is slow, and a build on
    trial fails; with learning and without, in turn, with the same seed for both."""
    found: dict[bool, list[dict[str, float]]] = {True: [], False: []}
    for turn in range(rounds):
        chance = random.Random(turn)
        sick, slow = chance.sample(range(4), 2)
        for learns in (True, False) if turn % 2 else (False, True):
            found[learns].append(
                once(f"node-{sick}=error", f"node-{slow}=late:0.15", "new=error", learns=learns)
            )
    for name in found[True][0]:
        rows = [
            (with_[name], without[name]) for with_, without in zip(found[True], found[False], strict=True)
        ]
        a, b = (statistics.median(each) for each in zip(*rows, strict=True))
        worse = sum((x < y) if name.startswith("satisfied") else (x > y) for x, y in rows)
        spread = f"{min(x for x, _ in rows):.4g} to {max(x for x, _ in rows):.4g}"
        print(f"{name}: learning {a:.4g} ({spread}), without {b:.4g}; worse in {worse} of {len(rows)}")


def once(*faults: str, learns: bool) -> dict[str, float]:
    fleet = Fleet(*faults)
    try:
        orders = ["", ""]
        if learns:
            where = [fleet.address(0), fleet.address(1)]
            orders = [TEACHES.format(me=where[i], other=where[1 - i], more="") for i in (0, 1)]
        with fleet.marshal(0, orders[0]):
            fleet.load(0, 40, 6.0, RATE)
            fleet.counts()
            began = time.time()
            with fleet.marshal(1, orders[1]):
                ready = time.time() - began
                told = fleet.load(1, 40, SPANS[-1], RATE)
            came = fleet.counts()["came"]
        sick = next(str(7000 + int(f[5])) for f in faults if f.endswith("=error") and f.startswith("node"))
        result = {"seconds to ready": ready}
        for span in SPANS:
            rows = [row for row in told["rows"] if row[0] < span]
            result[f"satisfied in {span:g} s, share"] = sum(ok for _, ok, _ in rows) / max(1, len(rows))
            for what, port in (("the sick node", sick), ("the bad build", "7010")):
                shots = sum(0 <= at - told["at"] < span and where == port for at, where in came)
                result[f"shots to {what} in {span:g} s"] = shots
        return result
    finally:
        fleet.close()


async def learner(where: Address, deployment: str, until: float) -> tuple[int, int]:
    """One learner's way: asks, comes back when told to, until it is taught. Its attempts, and bytes."""
    tries = 0
    while time.monotonic() < until:
        tries += 1
        reader, writer = await asyncio.open_connection(*where)
        talk, total, back_in = Conversation(Hello(name="bench", deployment=deployment)), 0, 0.0
        writer.write(talk.hello() + encode_frame(FrameKind.ASK, Ask()))
        while not talk.ended and (data := await reader.read(65536)):
            total += len(data)
            for word in talk.feed(data):
                back_in = word.retry_after if isinstance(word, Refusal) else back_in
        writer.close()
        if talk.ended:
            return tries, total
        await asyncio.sleep(back_in)
    return tries, 0


async def crowd(fleet: Fleet, many: int) -> list[tuple[int, int]]:
    posting = load_configuration({"ROUTER_CONFIG": str(fleet.configuration(0))})
    deployment = protocol.deployment_id(posting.settings)
    where = (fleet.address(0), 7950)
    return await asyncio.gather(*(learner(where, deployment, time.monotonic() + 12) for _ in range(many)))


def donor(rounds: int) -> None:
    found: dict[int, list[dict[str, Any]]] = {0: [], 1: [], 10: [], 40: []}
    fleet = Fleet()
    try:
        orders = TEACHES.format(me=fleet.address(0), other=fleet.address(1), more="")
        for turn in range(rounds):
            for many in list(found) if turn % 2 else list(found)[::-1]:
                with fleet.marshal(0, orders):
                    fleet.load(0, 40, 2.0, RATE)
                    command = [
                        sys.executable,
                        "-m",
                        "benchmarks.load",
                        fleet.address(0),
                        "40",
                        "12",
                        str(RATE),
                    ]
                    load = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
                    time.sleep(1.0)
                    rows = asyncio.run(crowd(fleet, many))
                    out, _ = load.communicate()
                told = json.loads(out)
                told |= {"taught": sum(b > 0 for _, b in rows), "tries": sum(t for t, _ in rows)}
                told["bytes"] = max((b for _, b in rows), default=0)
                found[many].append(told)
    finally:
        fleet.close()
    for many, rows in found.items():
        against = [row["p99"] / base["p99"] for row, base in zip(rows, found[0], strict=True)]
        median = {key: statistics.median(row[key] for row in rows) for key in ("p50", "p99", "bytes")}
        print(
            f"{many} learners at once: p50 {median['p50']:.2f} ms, p99 {median['p99']:.2f} ms"
            f" ({statistics.median(against):.3f} of none; {min(against):.2f} to {max(against):.2f});"
            f" taught {[row['taught'] for row in rows]} in {[row['tries'] for row in rows]} attempts,"
            f" {median['bytes']:.0f} bytes a donation"
        )


def size() -> None:
    from gatebank.state_transfer.index_names import IndexNames, Origin
    from gatebank.state_transfer.state_export import SLICE, StateExport
    from tests.support.learners import START, brain

    for nodes in (10, 100, 1_000, 10_000):
        marshal, _ = brain(nodes=nodes)
        for node in marshal.state.endpoints.by_index.values():
            node.results, node.last_result_at = 40, START
        names = IndexNames(marshal.state.settings, [f"node-{number:05d}" for number in range(nodes + 1)])
        slices, items, start = [], [], time.perf_counter()
        export = StateExport(marshal.state, names, Origin("m", 1), START)
        for some in export.slices():
            items += [each.older(0.25) for each in some]
            slices.append(time.perf_counter() - start)
            start = time.perf_counter()
        frames = [
            encode_frame(FrameKind.PART, each)
            for each in split_into_parts(by_value(items), protocol.PART_BYTES)
        ]
        took = time.perf_counter() - start
        start = time.perf_counter()
        talk, back = Conversation(Hello(name="l", deployment="x")), 0
        for word in talk.feed(
            encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x")) + b"".join(frames)
        ):
            back += len(word) if isinstance(word, list) else 0
        read = time.perf_counter() - start
        assert back == len(items) and sum(isinstance(each, EndpointHealth) for each in items) == nodes + 1
        print(
            f"{nodes:,} nodes: {sum(map(len, frames)):,} bytes in {len(frames)} parts; longest slice of"
            f" {SLICE} nodes {max(slices) * 1e3:.2f} ms, packing {took * 1e3:.1f} ms in all, reading"
            f" {read * 1e3:.1f} ms"
        )


if __name__ == "__main__":
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 4
    match sys.argv[1:2]:
        case ["restart"]:
            restart(rounds)
        case ["donor"]:
            donor(rounds)
        case _:
            size()
