"""Case 3: an exclusive request is sent to a node 0.7 s after its client has closed.

Bad clients send seven commands of a class that does not exist and one payout behind them, all at once, read
the seven error lines, and close. Usual clients keep the instance and its connections to the nodes in use.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from standins.fleet import Fleet, Node
from standins.instance import Instance
from standins.play import CannotRunError, Stage, end_usual_clients, play
from standins.resp import encode_command, fields_of, read_answer

NODES = 4
WORK_S = 0.02
USUAL_CLIENTS = 8
PAUSE_S = 0.05  # Pause of a usual client between two requests.
BAD_CLIENTS = 5
BAD_COMMANDS = 7  # The pages: hundreds of commands at once, and classes that do not exist.
PAYOUT_LIMIT_MS = 2000
USUAL_ALONE_S = 2.0  # Time of the usual clients alone, in which connections to the nodes come up.
WATCHED_S = 2.0  # Time after a close for which the nodes are watched.
# The pages: an attempt that begins more than 0.1 s after the close is a break; each limit is 50 ms longer.
ALLOWED_S = 0.1 + 0.05


class Clients:
    """The usual and the bad clients, and when the nodes got the bad clients' payouts."""

    def __init__(self, stage: Stage, instance: Instance) -> None:
        self.record = stage.record
        self.instance = instance
        self.bad_commands = BAD_COMMANDS if stage.trouble else 0
        self.closed_at: dict[bytes, float] = {}
        self.usual: Counter[str] = Counter()

    async def usual_client(self, number: int) -> None:
        """Send one request after another, and read each answer."""
        reader, writer = await self.instance.connect()
        count = 0
        while True:
            id_ = b"%02x%014x" % (number, count)
            writer.write(encode_command(b"Q.ASK", b"key-%d" % count, id_, b"c=read,t=all,d=3000"))
            answer = await read_answer(reader)
            self.usual[answer.kind] += 1
            if answer.kind == "ended" or (answer.kind == "served" and answer.text != id_):
                raise CannotRunError(f"a usual client got {answer}")
            count += 1
            await asyncio.sleep(PAUSE_S)

    async def bad_client(self, number: int) -> None:
        """Send commands that name no class and a payout, read the error lines, and close."""
        reader, writer = await self.instance.connect()
        bad = [
            encode_command(b"Q.DO", b"key", b"ba%02x%012x" % (number, count), b"c=nosuch,t=all,d=2000", b"x")
            for count in range(self.bad_commands)
        ]
        payout = b"fa%02x%012x" % (number, 0)
        fields = f"c=pay,t=all,d={PAYOUT_LIMIT_MS}".encode()
        writer.write(b"".join(bad) + encode_command(b"Q.DO", b"key", payout, fields, b"payout"))
        await writer.drain()
        sent_at = time.monotonic()
        self.record.note(f"sent {len(bad)} commands without a class and payout {payout.decode()}")
        for _ in bad:
            answer = await read_answer(reader)
            self.record.note(f"answered {answer.kind} {answer.text.decode()}")
            if answer.kind != "failed":
                raise CannotRunError(f"a command without a class got {answer}")
        writer.close()
        self.closed_at[payout] = time.monotonic()
        self.record.note(f"closed {payout.decode()} {time.monotonic() - sent_at:.3f} s after it was sent")


def count_late(clients: Clients, begun: dict[bytes, float]) -> int:
    """Return how many payouts began too long after their client's close."""
    late = 0
    for payout, closed_at in clients.closed_at.items():
        if payout in begun:
            after = begun[payout] - closed_at
            late += after > ALLOWED_S
            clients.record.say(f"payout {payout.decode()} began {after:.3f} s after its client's close")
        else:
            clients.record.say(f"payout {payout.decode()} was never sent to a node")
    return late


async def case(stage: Stage) -> bool:
    """Play the case; return whether a payout began too long after its client's close."""
    record = stage.record
    begun: dict[bytes, float] = {}

    def on_command(node: Node, words: list[bytes]) -> None:
        if fields_of(words)[b"c"] == b"pay":
            begun[words[2]] = time.monotonic()
            record.note(f"run {words[2].decode()} at {node.name}: {words[3].decode()}")

    fleet = Fleet(NODES, WORK_S, record.note, on_command)
    async with fleet, Instance(stage.folder, fleet) as instance:
        clients = Clients(stage, instance)
        usual = [asyncio.ensure_future(clients.usual_client(number)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(USUAL_ALONE_S)
        for number in range(BAD_CLIENTS):
            await clients.bad_client(number)
            await asyncio.sleep(WATCHED_S)
        end_usual_clients(usual)
        record.say(f"usual clients: {dict(clients.usual)}")
        return count_late(clients, begun) > 0


if __name__ == "__main__":
    play(case, __file__)
