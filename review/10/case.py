"""After a new configuration, a discovery that takes ANSWER_S for an answer is never heard; a drain is missed.

Discovery is asked (`registry-mode` is ask). SIGHUP names another address of it, as at any move. Without the
disruption that discovery answers at once.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from rig import Client, Discovery, Marshal, Node, Platform, Record, has_trouble, main

BUILD = 42
NODES = 6
CLIENTS = 6
ANSWER_S = 1.5
OLD_CLOSES_AFTER_S = 1.5  # The pages: the old addresses close the open connections after 1.5 s.
TOLD_AFTER_HANGUP_S = 4.0
TOLD_AFTER_CHANGE_S = 6.0
SOCKET_SLACK_S = 0.05
LOAD_S = 30.0


async def ask(record: Record, marshal: Marshal, number: int, until: float) -> None:
    """Send requests one after the other as one client."""
    client = Client(record, marshal.address)
    count = 0
    while record.now() < until:
        count += 1
        request_id = f"{number:02x}{count:06x}".encode()
        await client.ask([b"Q.ASK", b"key-%d" % count, request_id, b"c=read,d=2400"], 3.0)
        await asyncio.sleep(0.1)
    client.close()


async def play(record: Record, folder: Path) -> list[str]:
    """Play the case."""
    nodes = [Node(f"node-{number}", BUILD, record) for number in range(NODES)]
    old = Discovery(record, "old discovery")
    new = Discovery(record, "new discovery")
    platform = Platform(record, BUILD)
    for part in (*nodes, old, new, platform):
        await part.start()
    old.tell(*nodes)
    new.tell(*nodes)
    if has_trouble():
        new.answer_s = ANSWER_S
    marshal = Marshal(record, folder)
    settings = marshal.config["settings"]
    settings["registry-mode"] = "ask"
    settings["invariants"]["ask-within-ms"] = 6000
    marshal.config |= {
        "discovery": old.address,
        "platform": {"address": platform.address, "news": platform.fields()},
        "known": old.listing(None),
    }
    leaving = nodes[0]
    try:
        await marshal.start()
        until = record.now() + LOAD_S
        clients = [asyncio.create_task(ask(record, marshal, number, until)) for number in range(CLIENTS)]
        await asyncio.sleep(2.0)
        marshal.config["discovery"] = new.address
        marshal.write_config()
        await old.stop_listening()
        hangup_at = record.now()
        marshal.send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_CLOSES_AFTER_S)
        old.end_connections()
        await asyncio.sleep(1.0)
        leaving.lifecycle = "DRAINING"
        new.tell(leaving)
        changed_at = record.now()
        await asyncio.gather(*clients)
    finally:
        await marshal.stop()
    grace = settings["invariants"]["drain-grace-ms"] / 1000
    told_at = max(hangup_at + TOLD_AFTER_HANGUP_S, changed_at + TOLD_AFTER_CHANGE_S)
    limit = told_at + grace + SOCKET_SLACK_S
    return [
        f"{attempt.id} at {leaving.name} at {attempt.at:.3f}, which drains since {changed_at:.3f},"
        f" told at {told_at:.3f}, allowed until {limit:.3f}"
        for attempt in leaving.attempts
        if attempt.at > limit
    ]


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
