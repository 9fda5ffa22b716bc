"""A key that the new build answered after its client had left goes to the earlier build.

The settings forbid cancelling (`limits.cancel` false), so an attempt whose client has left goes on, and the
marshal receives its answer. Without the disruption no client leaves before its answer.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from rig import CannotRunError, Client, Discovery, Marshal, Node, Platform, Record, has_trouble, main

OLD = 42
NEW = 43
CLIENTS = 24
LOAD_S = 20.0
LEAST_KEYS = 10  # Keys that the new build has to answer; with fewer, the rule was not tried.
WORK_S = 0.5
ON_TIME_S = 1.2
LEAVES = 0.6  # Share of first tries whose client leaves early; the operators' page names 45 to 82%.
PATIENCE = (0.33, 0.39)  # Wait of such a client, as a share of the target time; the page names 33 to 75%.
ANSWERED_GRACE_S = 0.3  # From the new build's answer to the first attempt of its key that counts.


async def use_keys(record: Record, marshal: Marshal, number: int, until: float) -> None:
    """Ask for a new key, and for the same key some seconds later, as one client after the other."""
    random = Random(number)
    count = 0
    while record.now() < until:
        count += 1
        key = f"key-{number}-{count}".encode()
        for attempt in range(4):
            client = Client(record, marshal.address)
            leaves = has_trouble() and attempt == 0 and random.random() < LEAVES
            wait_s = ON_TIME_S * random.uniform(*PATIENCE) if leaves else 3.0
            request_id = f"{number:02x}{count:04x}{attempt:02x}".encode()
            retry = b",r=1" if attempt else b""
            await client.ask([b"Q.ASK", key, request_id, b"c=read,d=2400" + retry], wait_s)
            client.close()
            if not leaves:  # A client that left tries again at once.
                await asyncio.sleep(random.uniform(0.5, 0.9))


def find_breaks(nodes: list[Node]) -> list[str]:
    """Return each attempt at the earlier build of a key that the new build had answered before."""
    first_answer: dict[str, float] = {}
    attempts = sorted((attempt for node in nodes for attempt in node.attempts), key=lambda found: found.at)
    for attempt in attempts:
        if attempt.build == NEW and attempt.answered_at is not None and not attempt.may_have_been_given_up:
            answered_at = first_answer.get(attempt.key, attempt.answered_at)
            first_answer[attempt.key] = min(answered_at, attempt.answered_at)
    breaks = []
    for attempt in attempts:
        since = first_answer.get(attempt.key)
        if attempt.build == OLD and since is not None and attempt.at > since + ANSWERED_GRACE_S:
            breaks.append(
                f"{attempt.id} key {attempt.key} at {attempt.node.name} build {OLD} at {attempt.at:.3f},"
                f" build {NEW} answered it at {since:.3f}"
            )
    return breaks


async def play(record: Record, folder: Path) -> list[str]:
    """Play the case."""
    old = [Node(f"old-{number}", OLD, record, work_s=WORK_S) for number in range(4)]
    new = [Node(f"new-{number}", NEW, record, work_s=WORK_S) for number in range(2)]
    discovery = Discovery(record)
    marshal = Marshal(record, folder)
    domain = marshal.config["settings"]["domain"]
    platform = Platform(record, NEW, "IN_PROGRESS", domain["caps"][0])
    for part in (*old, *new, discovery, platform):
        await part.start()
    discovery.tell(*old, *new)
    domain["keys-stay"] = True
    marshal.config["settings"]["limits"]["cancel"] = False
    marshal.config |= {
        "discovery": discovery.address,
        "platform": {"address": platform.address, "news": platform.fields()},
        "known": discovery.listing(None),
    }
    try:
        await marshal.start()
        until = record.now() + LOAD_S
        await asyncio.gather(*(use_keys(record, marshal, number, until) for number in range(CLIENTS)))
    finally:
        await marshal.stop()
    answered = {attempt.key for node in new for attempt in node.attempts if attempt.answered_at}
    if len(answered) < LEAST_KEYS:
        raise CannotRunError(f"the new build answered {len(answered)} keys")
    return find_breaks(old + new)


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
