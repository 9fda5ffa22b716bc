"""Clients of a play: their requests, disconnections and retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random
from time import monotonic

from gatebank.fakes.wire import encode_command
from tests.soak.client_connection import ClientConnection, Target
from tests.soak.records import AnswerKind, ConnectionEnd, Crowd, Records, RequestRecord, without_timeout
from tests.soak.schedule import ClientBehaviour

ANSWER_GRACE_S = 4.0  # Time after a request's deadline for which a client still waits for the answer.
# Time within which a client that stops within a command receives an error, or its connection ends (PROTOCOL).
PARTIAL_COMMAND_TIMEOUT_S = 3.0
SHORT_TIMEOUTS_MS = (5, 20, 50)
TIMEOUTS_MS = (300, 600, 1000, 2000, 2000)
LARGE_BODY_BYTES = 40_000
CLASSES = ("read", "read", "read", "sign", "pay")


class ClientPool:
    """All clients of a play.

    Args:
        targets: The instances.
        behaviour: How clients behave.
        records: Receives the records of all requests.
        key_window: Seconds within which a request may be repeated with the same idempotency key.
        generator: Source of all random choices of clients.
    """

    def __init__(
        self,
        targets: list[Target],
        behaviour: ClientBehaviour,
        records: Records,
        key_window: float,
        generator: Random,
    ) -> None:
        self.targets = targets
        self.behaviour = behaviour
        self.records = records
        self.key_window = key_window
        self.generator = generator
        self.numbers = count(1)
        self.stopping = False
        self.connections: set[ClientConnection] = set()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        for target in self.targets:
            for _ in range(self.behaviour.per_instance):
                self.tasks.append(asyncio.create_task(self.run(target)))

    async def stop(self) -> None:
        """Send no new requests, wait for the outstanding ones, and close all connections."""
        self.stopping = True
        await asyncio.gather(*self.tasks)
        for connection in list(self.connections):
            connection.close()

    async def run(self, home: Target) -> None:
        """Run one client, which keeps a connection to its instance or, while that is away, to another."""
        connection: ClientConnection | None = None
        while not self.stopping:
            target = home
            if not home.accepts and not (connection and connection.is_usable()):
                target = await self.choose_target(home)
            if connection is None or not connection.is_usable() or connection.target is not target:
                connection = await self.connect(target)
            if connection:
                await self.exchange(connection)
            await asyncio.sleep(self.generator.expovariate(1 / self.behaviour.mean_pause))
        if connection:
            connection.close()

    async def choose_target(self, home: Target) -> Target:
        """Return another instance that accepts connections, or wait up to 0.5 s for the client's own."""
        others = [target for target in self.targets if target.accepts]
        if others and self.generator.random() < 0.5:
            return self.generator.choice(others)
        assert home.accepting
        with suppress(TimeoutError):
            await asyncio.wait_for(home.accepting.wait(), 0.5)
        return home

    async def connect(self, target: Target) -> ClientConnection | None:
        """Open a connection; return None if the instance does not accept any."""
        if not target.accepts:
            return None
        connection = ClientConnection(target, self.records)
        try:
            async with asyncio.timeout(ANSWER_GRACE_S):
                await connection.open()
        except (OSError, TimeoutError):
            self.records.connections_refused += 1
            return None
        self.connections.add(connection)
        return connection

    async def exchange(self, connection: ClientConnection) -> None:
        """Send one request, or several pipelined ones, wait for the answers, and retry where allowed."""
        behaviour = self.behaviour
        if self.generator.random() < behaviour.partial_commands:
            await self.send_partial_command(connection)
            return
        number = self.generator.randint(2, 4) if self.generator.random() < behaviour.pipelined else 1
        sent = []
        commands = []
        for _ in range(number):
            request, pieces = self.draw_request(connection)
            if not await connection.send(request, pieces, lambda: self.generator.uniform(0.001, 0.02)):
                break
            sent.append(request)
            commands.append(pieces)
        if not sent:
            return
        if self.generator.random() < behaviour.disconnecting:
            await asyncio.sleep(self.generator.uniform(0.0, 0.1))
            connection.close()
            if self.generator.random() < behaviour.returning:
                await self.send_again(connection.target, sent[0], commands[0])
            return
        longest = max(request.timeout for request in sent)
        await connection.wait_until_settled(monotonic() + longest * number + ANSWER_GRACE_S)
        for request in sent:
            await self.retry(connection, request)
        if connection.pending:  # An answer is missing.
            connection.close()
        if connection.closed:
            self.connections.discard(connection)

    async def send_again(self, target: Target, request: RequestRecord, pieces: list[bytes]) -> None:
        """Send a request that its client gave up again, with the same id, on another connection.

        It gets one final answer, and its effect happens once, whether or not the first one ran.
        """
        if request.answers or request.sent_at is None:
            return
        await asyncio.sleep(self.generator.choice((0.0, 0.0, 0.005, 0.02, 0.3)))
        connection = await self.connect(target)
        if connection is None:
            return
        request.client_closed_at = None
        request.end = None
        request.ended_at = None
        request.incarnation = connection.incarnation
        self.records.ids_sent_again += 1
        if await connection.send(request, pieces, lambda: 0.0):
            await connection.wait_until_settled(monotonic() + request.timeout + ANSWER_GRACE_S)
        connection.close()
        self.connections.discard(connection)

    async def retry(self, connection: ClientConnection, request: RequestRecord) -> None:
        """Repeat a request that an idle connection's end left unread, or one that was not served."""
        if self.stopping or not (self.was_unread(request) or self.should_retry(request)):
            return
        other = connection
        if not connection.is_usable():
            found = await self.connect(connection.target)
            if found is None:
                return
            other = found
        repeat, pieces = self.draw_request(other, request)
        if await other.send(repeat, pieces, lambda: 0.0):
            await other.wait_until_settled(monotonic() + repeat.timeout + ANSWER_GRACE_S)
        if other is not connection:
            other.close()
            self.connections.discard(other)

    @staticmethod
    def was_unread(request: RequestRecord) -> bool:
        """Return whether an idle connection ended before the request was read, so that a repeat is safe."""
        return request.end is ConnectionEnd.REQUEST_UNREAD

    def should_retry(self, request: RequestRecord) -> bool:
        """Return whether to repeat a request that was not served, as far as its request class allows."""
        kinds = {answer.kind for answer in request.answers}
        if not kinds or AnswerKind.SERVED in kinds or request.sent_at is None:
            return False
        if request.request_class == "pay" and AnswerKind.FAILED in kinds:
            return False
        over = monotonic() + max(TIMEOUTS_MS) / 1000 - request.sent_at
        if request.request_class == "sign" and over > self.key_window:
            return False
        return self.generator.random() < 0.5

    async def send_partial_command(self, connection: ClientConnection) -> None:
        """Send the first bytes of a command, and wait for the error or the end, which is due within 3 s."""
        _, pieces = self.draw_request(connection)
        data = b"".join(pieces)
        began = monotonic()
        with suppress(OSError):
            await connection.loop.sock_sendall(
                connection.sock, data[: self.generator.randrange(1, len(data))]
            )
        placeholder = RequestRecord(
            b"", connection.target.instance, connection.incarnation, "", PARTIAL_COMMAND_TIMEOUT_S, b"", True
        )
        connection.pending.append(placeholder)
        await connection.wait_until_settled(began + PARTIAL_COMMAND_TIMEOUT_S + ANSWER_GRACE_S)
        over = monotonic() - began
        if over > PARTIAL_COMMAND_TIMEOUT_S:
            self.records.unanswered_partial_commands.append((over, connection.target.instance))
        connection.close()
        self.connections.discard(connection)

    def draw_request(
        self, connection: ClientConnection, original: RequestRecord | None = None
    ) -> tuple[RequestRecord, list[bytes]]:
        """Draw a request.

        Args:
            connection: The connection on which the request will be sent.
            original: A request to repeat with the same effect; None for a new request.

        Returns:
            The request's record, and the pieces in which its command is written.
        """
        generator = self.generator
        number = next(self.numbers)
        request_id = b"%032x" % number
        request_class = original.request_class if original else generator.choice(CLASSES)
        timeout_ms = generator.choice(TIMEOUTS_MS)
        if generator.random() < self.behaviour.short_timeouts:
            timeout_ms = generator.choice(SHORT_TIMEOUTS_MS)
        effect = b""
        fields = f"c={request_class},t=all,d={timeout_ms}"
        if request_class == "sign":
            effect = original.effect if original else b"%016x" % generator.getrandbits(64)
            fields += f",k={effect.decode()}"
        if original:
            fields += ",r=1"
        words = [b"Q.ASK" if request_class == "read" else b"Q.DO", b"key-%d" % generator.randrange(200)]
        words += [request_id, fields.encode()]
        if request_class != "read":
            body = b"body %d " % number
            if request_class == "pay":
                effect = original.effect if original else body
                body = effect
            if generator.random() < self.behaviour.large_bodies:
                body += b"x" * LARGE_BODY_BYTES
            words.append(body)
        record = RequestRecord(
            request_id,
            connection.target.instance,
            connection.incarnation,
            request_class,
            timeout_ms / 1000,
            effect,
            connection_was_used=False,
            command=without_timeout(words),
        )
        return record, self.split_command(encode_command(*words))

    def split_command(self, data: bytes) -> list[bytes]:
        """Return the pieces in which a command is written; most commands are written whole."""
        if self.generator.random() >= self.behaviour.split_writes:
            return [data]
        cuts = sorted(self.generator.sample(range(1, min(len(data), 200)), self.generator.randint(1, 3)))
        return [data[begin:end] for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True)]

    async def run_crowd(self, target: Target, number: int) -> None:
        """Run ``number`` clients that connect at the same time and send one request each."""
        began = monotonic()
        sent = asyncio.Event()
        waiting = count(number - 1, -1)
        clients = [
            self.run_single_request(target, lambda: next(waiting) or sent.set()) for _ in range(number)
        ]
        requests = asyncio.gather(*clients)
        await sent.wait()
        self.records.crowds.append(Crowd(target.instance, began, monotonic(), number))
        await requests

    async def run_single_request(self, target: Target, on_sent: Callable[[], object]) -> None:
        """Run one client that sends one request, and disconnects up to 2 s after its answer."""
        connection = await self.connect(target)
        if connection is None:
            on_sent()
            return
        request, pieces = self.draw_request(connection)
        was_sent = await connection.send(request, pieces, lambda: 0.0)
        on_sent()
        if was_sent:
            await connection.wait_until_settled(monotonic() + request.timeout + ANSWER_GRACE_S)
        await asyncio.sleep(self.generator.uniform(0.0, 2.0))
        connection.close()
        self.connections.discard(connection)
