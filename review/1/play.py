"""Case 1: a client is served with the value of another client's request.

Some answers of the nodes come twice, the second copy 3 ms behind the first. The nodes' sockets are as the
system makes them. Clients send one request after another, each on a connection of its own.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from standins.fleet import Fleet, Node
from standins.instance import Instance
from standins.play import CannotRunError, Stage, end_usual_clients, play
from standins.resp import encode_command, read_answer

NODES = 11  # The site: 10 to 13.
WORK_S = 0.18  # The site: 130 to 340 ms.
CLIENTS = 45
# Range of a client's pause between two requests; together some 225 requests a second.
PAUSE_S = (0.005, 0.03)
COPIED_SHARE = 0.05  # The pages name no share: "some answers".
LOAD_S = 20.0
# Class, command and time limit in ms, in the shares of a site: 53%, 27%, 20%.
MIX = [("read", b"Q.ASK", 3000)] * 8 + [("sign", b"Q.DO", 6000)] * 4 + [("pay", b"Q.DO", 4000)] * 3


class Clients:
    """The clients, and the answers that were not made for their requests."""

    def __init__(self, stage: Stage, instance: Instance) -> None:
        self.record = stage.record
        self.instance = instance
        self.answers: Counter[str] = Counter()
        self.foreign: list[str] = []

    async def client(self, number: int) -> None:
        """Send one request after another on one connection; the value must be the request's id."""
        generator = random.Random(number)
        reader, writer = await self.instance.connect()
        count = 0
        while True:
            name, command, limit_ms = generator.choice(MIX)
            id_ = b"%02x%014x" % (number, count)
            ticket = f",k={id_.decode()}" if name == "sign" else ""
            body = [b"body"] if command == b"Q.DO" else []
            fields = f"c={name},t=all,d={limit_ms}{ticket}".encode()
            self.record.note(f"sent {id_.decode()} {fields.decode()}")
            writer.write(encode_command(command, b"key-%d" % count, id_, fields, *body))
            answer = await read_answer(reader)
            self.record.note(f"answered {id_.decode()} {answer.kind} {answer.text.decode()}")
            self.answers[answer.kind] += 1
            if answer.kind == "ended":
                raise CannotRunError("a client's connection ended")
            if answer.kind == "served" and answer.text != id_:
                self.foreign.append(f"{name} {id_.decode()} was served with {answer.text.decode()}")
            count += 1
            await asyncio.sleep(generator.uniform(*PAUSE_S))


async def case(stage: Stage) -> bool:
    """Play the case; return whether a client was served with a value that was not made for its request."""
    record = stage.record
    generator = random.Random(1)

    def on_command(node: Node, words: list[bytes]) -> None:
        record.note(f"run {words[2].decode()} at {node.name}")

    def is_copied(_: list[bytes]) -> bool:
        return stage.trouble and generator.random() < COPIED_SHARE

    fleet = Fleet(NODES, WORK_S, record.note, on_command)
    for node in fleet.nodes.values():
        node.sends_at_once = False
        node.is_copied = is_copied
    async with fleet, Instance(stage.folder, fleet) as instance:
        clients = Clients(stage, instance)
        began = time.monotonic()
        tasks = [asyncio.ensure_future(clients.client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(LOAD_S)
        end_usual_clients(tasks)
        rate = clients.answers.total() / (time.monotonic() - began)
    copies = [copy for node in fleet.nodes.values() for copy in node.copies]
    for id_, late_s in copies:
        record.note(f"second copy of {id_.decode()} {1000 * late_s:.1f} ms behind the first")
    latest = max((late_s for _, late_s in copies), default=0.0)
    record.say(f"{rate:.0f} requests a second, {dict(clients.answers)}")
    record.say(f"{len(copies)} second copies, at most {1000 * latest:.1f} ms behind the first")
    for text in clients.foreign[:5]:
        record.say(text)
    record.say(f"{len(clients.foreign)} served with the value of another request")
    return bool(clients.foreign)


if __name__ == "__main__":
    play(case, __file__)
