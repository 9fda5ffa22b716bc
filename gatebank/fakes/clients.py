"""Fake clients that send requests over RESP2 and count the replies."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterator

from gatebank.errors import GatebankError
from gatebank.fakes.wire import encode_command, read_reply

MAX_CONNECTIONS = 10
# Time between a reply and the next request of the same connection.
PAUSE_S = 0.02
# Request classes: idempotent, with an idempotency key, and not idempotent.
REQUEST_CLASSES = ("read", "sign", "pay")
KEY_COUNT = 1000
DEFAULT_TIMEOUT_MS = 2000


class InstanceUnavailableError(GatebankError):
    """Error that an instance could not be reached, or closed a connection before its reply.

    Attributes:
        reason: The cause in words; also the error's message.
    """

    def __init__(self, reason: str) -> None:
        """Initialize the error with its message."""
        self.reason = reason
        super().__init__(reason)


def random_request(
    generator: random.Random, request_class: str | None = None, timeout_ms: int = DEFAULT_TIMEOUT_MS
) -> list[bytes]:
    """Return the arguments of a random request's command.

    Args:
        generator: The source of the random key, request id, idempotency key and body.
        request_class: The class of the request, or None for a random class.
        timeout_ms: The client's timeout.
    """
    chosen_class = request_class or generator.choice(REQUEST_CLASSES)
    fields = f"c={chosen_class},t=all,d={timeout_ms}"
    if chosen_class == "sign":
        fields += f",k={generator.getrandbits(64):016x}"
    name = b"Q.ASK" if chosen_class == "read" else b"Q.DO"
    key = b"key-%d" % generator.randrange(KEY_COUNT)
    request_id = b"%032x" % generator.getrandbits(128)
    arguments = [name, key, request_id, fields.encode()]
    if chosen_class != "read":
        arguments.append(b"%s for %064x" % (chosen_class.encode(), generator.getrandbits(256)))
    return arguments


async def send_requests(host: str, port: int, count: int, seed: int = 1) -> Counter[str]:
    """Send ``count`` requests over up to ``MAX_CONNECTIONS`` connections.

    Returns:
        The number of replies by result and text, such as "satisfied: toy-1".

    Raises:
        InstanceUnavailableError: A connection could not be opened or ended early. The other connections have
            finished by then.
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
    """Send requests one after another over one connection, until all connections have used up ``remaining``.

    Raises:
        InstanceUnavailableError: The connection could not be opened or ended early.
    """
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError as error:
        raise InstanceUnavailableError(f"connection to {host}:{port} failed ({error.strerror})") from None
    try:
        for _ in remaining:
            writer.write(encode_command(*random_request(generator)))
            result, text = await read_reply(reader)
            if result == "ended":
                raise InstanceUnavailableError(
                    f"the instance closed the connection after {replies.total()} replies: it is shutting"
                    " down, or it could not parse a command (see event=client_broken in its log)"
                )
            replies[f"{result}: {text.decode(errors='replace')}"] += 1
            await asyncio.sleep(PAUSE_S)
    except (ConnectionError, asyncio.IncompleteReadError):
        raise InstanceUnavailableError(f"the connection was reset after {replies.total()} replies") from None
    finally:
        writer.close()
