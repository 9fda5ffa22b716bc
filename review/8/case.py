"""A key that the new build answered before the platform's late news of that build goes to the earlier build.

The platform offers build 43. Its news comes NEWS_LATE_S later than usual, after discovery has listed the new
nodes; without the disruption the news comes first, as usual. Clients ask for the same keys again and again,
and each waits for its answer.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from random import Random

from rig import CannotRunError, Client, Discovery, Marshal, Node, Platform, Record, has_trouble, main

OLD = 42
NEW = 43
KEYS = 40
CLIENTS = 8
NEWS_USUAL_S = 0.6  # From the offer to the news; the operators' page names 0.28 to 0.79 s.
NEWS_LATE_S = 6.5  # The page names news that is 4 to 7.9 s later than usual.
LISTED_S = 2.5  # From the offer to the first listing of the new nodes, which have to start first.
LEAST_KEYS = 10  # Keys that the new build has to answer; with fewer, the rule was not tried.
LOAD_S = 16.0
TOLD_GRACE_S = 0.5  # From the news to the first attempt that counts: more than any grace of the pages.
ANSWERED_GRACE_S = 0.3  # From the new build's answer to the first attempt of its key that counts.


async def ask_for_keys(record: Record, marshal: Marshal, number: int, until: float) -> None:
    """Ask for keys at random, one request after the other, as one client."""
    client = Client(record, marshal.address)
    random = Random(number)
    count = 0
    while record.now() < until:
        count += 1
        key = f"key-{random.randrange(KEYS)}".encode()
        request_id = f"{number:02x}{count:06x}".encode()
        await client.ask([b"Q.ASK", key, request_id, b"c=read,d=2400"], 3.0)
        await asyncio.sleep(random.uniform(0.05, 0.15))
    client.close()


def find_breaks(nodes: list[Node], told_at: float) -> list[str]:
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
        told = attempt.at > told_at + TOLD_GRACE_S
        if attempt.build == OLD and told and since is not None and attempt.at > since + ANSWERED_GRACE_S:
            breaks.append(
                f"{attempt.id} key {attempt.key} at {attempt.node.name} build {OLD} at {attempt.at:.3f},"
                f" build {NEW} answered it at {since:.3f} and was told on trial at {told_at:.3f}"
            )
    return breaks


async def tell(platform: Platform, delay: float, cap: float) -> None:
    """Tell that the new build is on trial."""
    await asyncio.sleep(delay)
    platform.publish(NEW, 0, "IN_PROGRESS", cap)


async def play(record: Record, folder: Path) -> list[str]:
    """Play the case."""
    old = [Node(f"old-{number}", OLD, record) for number in range(4)]
    new = [Node(f"new-{number}", NEW, record) for number in range(2)]
    discovery = Discovery(record)
    platform = Platform(record, OLD)
    for part in (*old, *new, discovery, platform):
        await part.start()
    discovery.tell(*old)
    marshal = Marshal(record, folder)
    domain = marshal.config["settings"]["domain"]
    domain["keys-stay"] = True
    marshal.config |= {
        "discovery": discovery.address,
        "platform": {"address": platform.address, "news": platform.fields()},
        "known": discovery.listing(None),
    }
    try:
        await marshal.start()
        until = record.now() + LOAD_S
        clients = [
            asyncio.create_task(ask_for_keys(record, marshal, number, until)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(2.0)
        record.add(f"platform offers build {NEW}")
        told = asyncio.create_task(
            tell(platform, NEWS_USUAL_S + NEWS_LATE_S * has_trouble(), domain["caps"][0])
        )
        await asyncio.sleep(LISTED_S)
        for node in new:
            node.started_ms = int(time.time() * 1000)
        discovery.tell(*new)
        await told
        await asyncio.gather(*clients)
    finally:
        await marshal.stop()
    answered = {attempt.key for node in new for attempt in node.attempts if attempt.answered_at}
    if platform.told_at is None or len(answered) < LEAST_KEYS:
        raise CannotRunError(f"the new build answered {len(answered)} keys")
    return find_breaks(old + new, platform.told_at)


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
