"""The source: has a listener of its own, and serves receivers within the source's limits."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import TYPE_CHECKING

from gatebank.proxy.configuration import ConfigurationError, parse_address
from gatebank.proxy.log import log_kv
from gatebank.proxy.sockets import open_socket
from gatebank.state_transfer.background_tasks import BackgroundTasks
from gatebank.state_transfer.connection import Connection
from gatebank.state_transfer.items import InvalidItemError, split_into_parts
from gatebank.state_transfer.local_state import REUSE_TIME, LocalState
from gatebank.state_transfer.protocol import (
    PART_BYTES,
    Ask,
    Conversation,
    End,
    FrameKind,
    Refusal,
    TransferProtocolError,
    encode_frame,
)
from gatebank.state_transfer.receiver import SILENCE_TIMEOUT, TRANSFER_TIMEOUT
from gatebank.state_transfer.section import StateTransferSection
from gatebank.state_transfer.source_limits import SourceLimiter, SourceLimits

if TYPE_CHECKING:
    from gatebank.state_transfer.peer_keys import PeerKeys

# Maximum number of connections that the system queues for the listener.
LISTEN_BACKLOG = 64
# Pause in seconds after a failed accept, which occurs for example if the process has no descriptors left.
ACCEPT_PAUSE = 0.05
# The maximum number of tasks is TASKS_PER_RECEIVER for each receiver that may be served, plus EXTRA_TASKS.
# Almost every task has a connection. Connections beyond the maximum are closed at once, because a handshake
# takes a core for a millisecond.
TASKS_PER_RECEIVER = 8
EXTRA_TASKS = 64


class StateSource:
    """Sends this instance's state to receivers.

    Every connection ends within a bounded time, and a misbehaving receiver does not affect other receivers.
    """

    def __init__(
        self, section: StateTransferSection, state: LocalState, keys: PeerKeys | None, tasks: BackgroundTasks
    ) -> None:
        """Prepares the source without opening the listener.

        Args:
            section: Address to listen at, names of receivers and limits.
            state: Exports the items.
            keys: TLS keys; None for plain connections.
            tasks: Runs the listener and the connections.
        """
        self.listen_address = section.listen
        self.receiver_names = section.receiver_names
        self.state = state
        self.keys = keys
        self.tasks = tasks
        self.loop = asyncio.get_running_loop()
        limits = SourceLimits(section.max_receivers, section.receivers_per_second, section.bytes_per_second)
        self.limiter = SourceLimiter(limits, state.seed)
        self.max_tasks = TASKS_PER_RECEIVER * section.max_receivers + EXTRA_TASKS
        self.listener: socket.socket | None = None
        self.frames: list[bytes] = []
        self.frames_at = float("-inf")

    def listen(self) -> None:
        """Opens the listener if the section has an address to listen at.

        Raises:
            ConfigurationError: The address cannot be used.
        """
        if not self.listen_address:
            return
        listen_address = parse_address(self.listen_address, "learning: listen")
        self.listener = open_socket(listen_address)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind(listen_address)
        except OSError as error:
            reason = f"learning: listen {self.listen_address}: {error.strerror}"
            raise ConfigurationError(reason) from error
        self.listener.listen(LISTEN_BACKLOG)

    def begin(self) -> None:
        """Starts accepting connections if there is a listener."""
        if self.listener:
            self.tasks.start(self.accept(self.listener))

    def close(self) -> None:
        """Closes the listener; connections are closed as their tasks end."""
        if self.listener:
            self.listener.close()

    async def accept(self, listener: socket.socket) -> None:
        """Accepts connections until the task is cancelled."""
        while True:
            try:
                sock, _ = await self.loop.sock_accept(listener)
            except OSError as error:
                log_kv("accept_failed", logging.WARNING, why=error)
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            sock.setblocking(False)
            if len(self.tasks) > self.max_tasks:
                sock.close()
                continue
            self.tasks.start(self.serve(sock))

    async def serve(self, sock: socket.socket) -> None:
        """Serves one connection, then closes the connection."""
        tls = self.keys.tls(is_server=True) if self.keys else None
        try:
            with contextlib.closing(Connection(sock, tls)) as connection:
                await connection.handshake()
                if self.keys and tls and self.keys.rejection(tls, self.receiver_names):
                    return
                async with asyncio.timeout(TRANSFER_TIMEOUT):
                    await self.answer(connection)
        except (OSError, TransferProtocolError, InvalidItemError) as error:
            log_kv("learner_failed", why=str(error) or type(error).__name__)

    async def answer(self, connection: Connection) -> None:
        """Waits for the receiver's request, and sends the state or a refusal."""
        conversation = Conversation(self.state.hello())
        ask = None
        while ask is None:
            async with asyncio.timeout(SILENCE_TIMEOUT):
                data = await connection.read()
            if not data:
                return
            messages = conversation.feed(data)
            ask = next((message for message in messages if isinstance(message, Ask)), None)
        retry_after = self.limiter.admit(self.loop.time(), self.state.dispatcher.max_timer_lag)
        if retry_after is not None:
            refusal = encode_frame(FrameKind.REFUSE, Refusal(retry_after=retry_after))
            await connection.send(conversation.hello() + refusal)
            return
        completed = False
        try:
            await self.send_state(connection, conversation, ask.max_bytes)
            completed = True
        finally:
            self.limiter.release(completed)

    async def send_state(self, connection: Connection, conversation: Conversation, max_bytes: int) -> None:
        """Sends the hello, at most ``max_bytes`` bytes of parts, and the end, at the limited rate."""
        sent_bytes = 0
        part_count = 0
        await connection.send(conversation.hello())
        for frame in await self.encoded_parts():
            if sent_bytes + len(frame) > max_bytes:
                break
            delay = self.limiter.send_delay(self.loop.time(), len(frame))
            if delay > 0:
                await asyncio.sleep(delay)
            async with asyncio.timeout(SILENCE_TIMEOUT):
                await connection.send(frame)
            sent_bytes += len(frame)
            part_count += 1
        await connection.send(encode_frame(FrameKind.END, End(part_count=part_count)))
        peer = conversation.peer
        log_kv("taught", learner=peer.name if peer else "?", parts=part_count, bytes=sent_bytes)

    async def encoded_parts(self) -> list[bytes]:
        """Returns all items encoded as frames; the event loop can serve clients between the parts."""
        if self.loop.time() - self.frames_at < REUSE_TIME:
            return self.frames
        frames: list[bytes] = []
        for part in split_into_parts(await self.state.items(), PART_BYTES):
            frames.append(encode_frame(FrameKind.PART, part))
            await asyncio.sleep(0)
        self.frames = frames
        self.frames_at = self.loop.time()
        return frames
