"""Fake clients: they send requests in PROTOCOL's form and count the replies."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterator

from gatebank.errors import GatebankError
from gatebank.fakes.wire import encode_command, read_reply

MAX_CONNECTIONS = 10
PAUSE_S = 0.02  # s between a reply and the next request of a connection
REQUEST_CLASSES = ("read", "sign", "pay")  # idempotent, with an idempotency key, not idempotent
KEY_COUNT = 1000
DEFAULT_TIMEOUT_MS = 2000


class InstanceUnavailableError(GatebankError):
    """An instance did not reply to what it was sent.

    Attributes:
        reason: What happened, and what it means.
    """

    def __init__(self, reason: str) -> None:
        """Keep the reason, which is the text too."""
        self.reason = reason
        super().__init__(reason)


def random_request(
    generator: random.Random, request_class: str | None = None, timeout_ms: int = DEFAULT_TIMEOUT_MS
) -> list[bytes]:
    """Return the words of a command.

    Args:
        generator: Draws the key, the id and whatever else the command needs.
        request_class: Drawn too if it is None.
        timeout_ms: The client's.
    """
    which = request_class or generator.choice(REQUEST_CLASSES)
    fields = f"c={which},t=all,d={timeout_ms}"
    if which == "sign":
        fields += f",k={generator.getrandbits(64):016x}"
    name = b"Q.ASK" if which == "read" else b"Q.DO"
    key = b"key-%d" % generator.randrange(KEY_COUNT)
    request_id = b"%032x" % generator.getrandbits(128)
    arguments = [name, key, request_id, fields.encode()]
    if which != "read":
        arguments.append(b"%s for %064x" % (which.encode(), generator.getrandbits(256)))
    return arguments


async def send_requests(host: str, port: int, count: int, seed: int = 1) -> Counter[str]:
    """Send ``count`` requests over some connections.

    Returns:
        How many replies there were of each result and text, such as "satisfied: toy-1".

    Raises:
        UnservedError: A connection could not be opened or ended early; the others finished first.
    """
    replies: Counter[str] = Counter()
    remaining = iter(range(count))
    generator = random.Random(seed)
    connections = [
        send_over_connection(host, port, remaining, generator, replies)
        for _ in range(min(MAX_CONNECTIONS, count))
    ]
    for result in await asyncio.gather(*connections, return_exceptions=True):
        if isinstance(result, BaseException):
            raise result
    return replies


async def send_over_connection(
    host: str, port: int, remaining: Iterator[int], generator: random.Random, replies: Counter[str]
) -> None:
    """Send requests over one connection, one after the other, until none remains for any connection.

    Raises:
        UnservedError: The connection could not be opened or ended early.
    """
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError as error:
        raise InstanceUnavailableError(f"nobody listens at {host}:{port} ({error.strerror})") from None
    try:
        for _ in remaining:
            writer.write(encode_command(*random_request(generator)))
            result, text = await read_reply(reader)
            if result == "ended":
                raise InstanceUnavailableError(
                    f"the marshal closed the connection after {replies.total()} answers: it is leaving, or"
                    " can't make sense of what it was sent; its log says which (event=client_broken)"
                )
            replies[f"{result}: {text.decode(errors='replace')}"] += 1
            await asyncio.sleep(PAUSE_S)
    except (ConnectionError, asyncio.IncompleteReadError):
        raise InstanceUnavailableError(f"the connection was reset after {replies.total()} answers") from None
    finally:
        writer.close()
