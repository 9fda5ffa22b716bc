"""The receiver: connects to sources, and merges their items as they arrive."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import ssl
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gatebank.proxy.configuration import parse_address
from gatebank.proxy.log import log_kv
from gatebank.state_transfer.background_tasks import BackgroundTasks
from gatebank.state_transfer.connection import Connection
from gatebank.state_transfer.items import InvalidItemError
from gatebank.state_transfer.local_state import LocalState
from gatebank.state_transfer.protocol import (
    Ask,
    Conversation,
    FrameKind,
    Refusal,
    TransferProtocolError,
    encode_frame,
)
from gatebank.state_transfer.section import StateTransferSection
from gatebank.state_transfer.source_selection import ConnectToSource, SourceSelector

if TYPE_CHECKING:
    from gatebank.state_transfer.peer_keys import PeerKeys

# Timeout in seconds without a received byte: a source encodes a part in a millisecond.
SILENCE_TIMEOUT = 2.0
# Timeout in seconds for one transfer, including the connection: the 2 MB of 10,000 endpoints take 0.5 s at a
# source's default rate, and 2 s if the source serves three other receivers at the same time.
TRANSFER_TIMEOUT = 15.0


@dataclass(slots=True, frozen=True)
class TransferResult:
    """The result of a transfer that did not fail.

    Attributes:
        new_items: Number of received items that were new.
        retry_after: Seconds after which to ask the source again; None if the transfer is complete.
    """

    new_items: int = 0
    retry_after: float | None = None


class StateReceiver:
    """Asks sources until the selector requires no further transfers.

    Attributes:
        may_serve: Set once the instance need not wait for sources any longer.
        completed: Number of complete transfers.
        failed: Number of failed attempts; refusals by busy sources do not count.
    """

    def __init__(
        self, section: StateTransferSection, state: LocalState, keys: PeerKeys | None, tasks: BackgroundTasks
    ) -> None:
        """Prepares the receiver without making a connection.

        Args:
            section: Sources, their names and limits. This instance's own address is left out.
            state: Stores and merges the received items.
            keys: TLS keys; None for plain connections.
            tasks: Runs the attempts.
        """
        self.source_names = section.source_names
        self.state = state
        self.keys = keys
        self.tasks = tasks
        self.loop = asyncio.get_running_loop()
        self.patience = section.patience
        sources = [source for source in section.sources if source != section.listen]
        self.selector = SourceSelector(
            state.name, sources, section.patience, section.max_attempts, state.seed
        )
        self.may_serve = asyncio.Event()
        self.completed = 0
        self.failed = 0

    def begin(self) -> None:
        """Starts the first attempts."""
        self.connect(self.selector.begin(self.loop.time()))

    async def wait_until_may_serve(self) -> None:
        """Waits for transfers from sources, for at most ``patience`` seconds."""
        if not self.selector.sources:
            return
        try:
            async with asyncio.timeout(self.patience):
                await self.may_serve.wait()
        except TimeoutError:
            log_kv("learning_late", logging.WARNING, waited=self.patience)

    def connect(self, connections: list[ConnectToSource]) -> None:
        """Starts the attempts that the selector chose."""
        for connection in connections:
            self.tasks.start(self.attempt_transfer(connection))
        if self.selector.may_serve(self.loop.time()):
            self.may_serve.set()

    async def attempt_transfer(self, connection: ConnectToSource) -> None:
        """Makes one attempt at one source, then starts the attempts that the selector chooses next."""
        source = connection.source
        await asyncio.sleep(max(0.0, connection.at - self.loop.time()))
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT):
                result = await self.transfer(source)
        except (TransferProtocolError, InvalidItemError) as error:
            self.log_failure(source, str(error))
            self.connect(self.selector.on_invalid(source, self.loop.time()))
        except OSError as error:
            self.log_failure(source, failure_text(error))
            self.connect(self.selector.on_failed(source, self.loop.time()))
        else:
            self.finish(source, result)

    def finish(self, source: str, result: TransferResult) -> None:
        """Handles the result of a transfer that did not fail: complete, or refused by the source."""
        now = self.loop.time()
        if result.retry_after is not None:
            log_kv("donor_busy", donor=source, back_in=result.retry_after)
            self.connect(self.selector.on_failed(source, now, result.retry_after))
            return
        self.completed += 1
        log_kv("learnt", donor=source, items=result.new_items)
        self.connect(self.selector.on_received(source, now))

    def log_failure(self, source: str, reason: str) -> None:
        """Counts and logs a failed attempt."""
        self.failed += 1
        log_kv("donor_failed", logging.WARNING, donor=source, why=reason)

    async def transfer(self, source: str) -> TransferResult:
        """Receives a source's state; each part is merged as it arrives, even if the transfer fails later.

        Raises:
            TransferProtocolError: The source violated the protocol, or its certificate was rejected. The
                source must not be asked again.
            InvalidItemError: The source sent invalid items. The source must not be asked again.
            OSError: The transfer failed. TimeoutError and ssl.SSLError are subclasses.
        """
        source_address = parse_address(source, "donor")
        tls = self.keys.tls(is_server=False) if self.keys else None
        new_items = 0
        with contextlib.closing(Connection.for_address(source_address, tls)) as connection:
            await connection.connect(source_address)
            if self.keys and tls and (reason := self.keys.rejection(tls, self.source_names)):
                raise TransferProtocolError(f"the source's certificate is {reason}")
            conversation = Conversation(self.state.hello())
            await connection.send(conversation.hello() + encode_frame(FrameKind.ASK, Ask()))
            while not conversation.ended:
                async with asyncio.timeout(SILENCE_TIMEOUT):
                    data = await connection.read()
                if not data:
                    raise ConnectionError("the source closed the connection during the transfer")
                for message in conversation.feed(data):
                    if isinstance(message, Refusal):
                        return TransferResult(retry_after=message.retry_after)
                    if isinstance(message, list):
                        new_items += self.state.receive(message)
                        self.state.merge()
        return TransferResult(new_items)


def failure_text(error: OSError) -> str:
    """Returns the reason for a failed connection, as text for the log."""
    if isinstance(error, ssl.SSLError):
        return f"TLS: {error.reason or error}"
    if isinstance(error, TimeoutError):
        return "no answer in time"
    return error.strerror or str(error) or type(error).__name__
