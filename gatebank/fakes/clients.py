"""Customers: invocations in PROTOCOL's form, and what became of them."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from gatebank.fakes.wire import answered, packed

LINES = 10  # connections at once
PAUSE = 0.02  # s between an answer and the next invocation of a connection


class Unserved(Exception):
    """The marshal did not do its part; the text says what that means."""


def invocation(chance: random.Random, workload: str | None = None, limit: int = 2000) -> list[bytes]:
    """One command: rerunnable ones are asked for; the others carry a body, ticketed ones a ticket."""
    which = workload or chance.choice(["read", "sign", "pay"])
    names = f"c={which},t=all,d={limit}"
    if which == "sign":
        names += f",k={chance.getrandbits(64):016x}"
    words = [b"Q.ASK" if which == "read" else b"Q.DO", b"key-%d" % chance.randrange(1000)]
    words += [b"%032x" % chance.getrandbits(128), names.encode()]
    return words if which == "read" else [*words, b"%s for %064x" % (which.encode(), chance.getrandbits(256))]


async def ask(host: str, port: int, count: int, seed: int = 1) -> Counter[str]:
    """``count`` invocations over some connections; what became of them, by ending and value."""
    found: Counter[str] = Counter()
    left = iter(range(count))
    chance = random.Random(seed)

    async def line() -> None:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError as trouble:
            raise Unserved(f"nobody listens at {host}:{port} ({trouble.strerror})") from None
        try:
            for _ in left:
                writer.write(packed(*invocation(chance)))
                ending, text = await answered(reader)
                if ending == "ended":
                    raise Unserved(
                        f"the marshal closed the connection after {found.total()} answers: it is leaving, or"
                        " can't make sense of what it was sent; its log says which (event=client_broken)"
                    )
                found[f"{ending}: {text.decode(errors='replace')}"] += 1
                await asyncio.sleep(PAUSE)
        except (ConnectionError, asyncio.IncompleteReadError):
            raise Unserved(f"the connection was reset after {found.total()} answers") from None
        finally:
            writer.close()

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(quietly(line())) for _ in range(min(LINES, count))]
    if trouble := next((task.result() for task in tasks if task.result()), None):
        raise trouble
    return found


async def quietly(work) -> Unserved | None:
    """Its trouble as a value, so that the other connections finish."""
    try:
        await work
    except Unserved as trouble:
        return trouble
    return None
