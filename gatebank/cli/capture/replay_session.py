"""Replays a capture to its target: a thread reads ahead, the event loop sends each request when it is due."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass
from queue import Full, Queue
from typing import Any

from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.records import Exchange
from gatebank.cli.capture.options import ReplayOptions
from gatebank.cli.capture.source import CaptureSource
from gatebank.proxy.configuration import Address, Configuration
from gatebank.replay.guard import Guard
from gatebank.replay.ledger import Ledger
from gatebank.replay.player import Player, PlayerOptions
from gatebank.replay.schedule import ExchangeSorter

MAX_QUEUED = 4096  # Maximum number of exchanges that the reader queues ahead of time.
# Maximum memory of the exchanges that wait to be sorted by the time of their requests.
MAX_REORDERED_BYTES = 64 << 20
# Seconds of the capture's time after a request within which the capture reader reports its exchange.
REORDER_HORIZON = 121.0
# Seconds for which the reader thread may hold the interpreter lock while a request is due.
READER_SWITCH_INTERVAL = 0.0005
# Interval in seconds at which a reader that waits for room in the queue checks whether to stop.
QUEUE_TIMEOUT = 0.2
# Interval in seconds between updates of the progress bar.
PROGRESS_INTERVAL = 0.25
RUN_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class ReplayPlan:
    """Checked input of a replay: the capture, the target and the options.

    Attributes:
        source: The capture.
        selection: Filter of the exchanges to replay.
        side: The side whose requests are replayed; None replays all chosen exchanges.
        options: The options of the command line.
        guard: Decides which requests may be sent.
        ledger: The open ledger that records the requests that were sent; None if there is no ledger.
        address: Address of the target instance; for an instance in this process, that of its discovery.
        configuration: Configuration of the instance in this process; None if the target runs elsewhere.
        live: Addresses of the servers that the capture shows in service.
        exchanges: Number of chosen exchanges, for the progress bar.
    """

    source: CaptureSource
    selection: ExchangeFilter
    side: str | None
    options: ReplayOptions
    guard: Guard
    ledger: Ledger | None
    address: Address
    configuration: Configuration | None
    live: Collection[str]
    exchanges: int


class ReaderThread(threading.Thread):
    """Reads the capture ahead of time and queues its exchanges in the order of their requests.

    Attributes:
        source: The capture.
        selection: Filter of the exchanges to replay.
        side: The side whose requests are replayed; None replays all chosen exchanges.
        queue: The exchanges, followed by None at the end.
        order: Sorts the exchanges by the time of their requests.
        stopping: Set by the event loop when it needs no more exchanges.
        error: Why the reading ended early; empty if it read the whole capture.
        other_side_count: Number of exchanges left out because only requests of the other side are replayed.
        without_request_count: Number of exchanges left out because their request was not captured.
    """

    def __init__(self, source: CaptureSource, selection: ExchangeFilter, side: str | None) -> None:
        """Prepare the thread; reading begins with ``start``."""
        super().__init__(name="reader", daemon=True)
        self.source = source
        self.selection = selection
        self.side = side
        self.queue: Queue[Exchange | None] = Queue(MAX_QUEUED)
        self.order = ExchangeSorter(int(REORDER_HORIZON * 1e9), MAX_REORDERED_BYTES)
        self.stopping = False
        self.error = ""
        self.other_side_count = 0
        self.without_request_count = 0

    def run(self) -> None:
        """Read the capture; an error that ends the reading is kept in ``error`` for the report."""
        try:
            self.read()
        except Exception as error:  # Any error must end the queue, because the player waits for its end.
            self.error = repr(error)
        finally:
            self.enqueue(None)

    def read(self) -> None:
        """Queue the chosen exchanges until the end of the capture, or until ``stopping`` is set."""
        for exchange in self.source.exchanges(progress=False):
            if self.selection(exchange):
                self.accept(exchange)
                if self.stopping:
                    return
        for ready in self.order.end():
            self.enqueue(ready)

    def accept(self, exchange: Exchange) -> None:
        """Count an exchange that is left out; otherwise sort it and queue the exchanges that are in order."""
        if self.side and exchange.side != self.side:
            self.other_side_count += 1
        elif exchange.asked_at is None:
            self.without_request_count += 1
        else:
            for ready in self.order.add(exchange, self.source.reading.last_at):
                self.enqueue(ready)

    def enqueue(self, exchange: Exchange | None) -> None:
        """Wait for room in the queue and add an exchange; do nothing if ``stopping`` is set."""
        while not self.stopping:
            try:
                self.queue.put(exchange, timeout=QUEUE_TIMEOUT)
            except Full:
                continue
            return


async def play(plan: ReplayPlan) -> dict[str, Any]:
    """Replay the capture and return the report, with the names of the ``--json`` output."""
    reader = ReaderThread(plan.source, plan.selection, plan.side)
    options = plan.options
    player = Player(
        reader.queue,
        plan.guard,
        plan.ledger,
        PlayerOptions(
            speed=options.pace,
            max_in_flight=options.most_in_hand,
            retry_rejected=options.patient,
            run_key=os.urandom(RUN_ID_BYTES),
        ),
    )
    await open_transport(player, plan)
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        player.loop.add_signal_handler(signal_number, player.stop, "interrupted")
    sys.setswitchinterval(READER_SWITCH_INTERVAL)
    reader.start()
    async with progress_shown(player, plan.exchanges):
        try:
            await player.play()
        finally:
            reader.stopping = True
            player.transport.close()
            await asyncio.sleep(0)  # Lets the event loop process the closed connections.
            if plan.ledger:
                await plan.ledger.finish()
    return build_report(player, reader, plan.ledger)


async def open_transport(player: Player, plan: ReplayPlan) -> None:
    """Give the player a transport: an instance in this process, or connections to an instance elsewhere."""
    options = plan.options
    if plan.configuration is None:
        from gatebank.replay.sockets import SocketTransport  # Imported here: a replay needs one transport.

        player.transport = SocketTransport(
            player, plan.address, options.lines == "pooled", options.most_lines
        )
        return
    from gatebank.replay.inside import InProcessTransport

    instance = InProcessTransport(player, plan.configuration, plan.live)
    player.transport = instance
    if not await instance.ready():
        player.stop("discovery tells of no node that may be sent to")


def build_report(player: Player, reader: ReaderThread, ledger: Ledger | None) -> dict[str, Any]:
    """Return the report of the replay, with the names of the ``--json`` output."""
    report = player.report.summary()
    report["stopped"] = player.stopped
    report["left_out_other_side"] = reader.other_side_count
    report["not_whole"] = reader.without_request_count
    report["out_of_order"] = reader.order.late_count
    report["reader_trouble"] = reader.error
    report["ledger_trouble"] = str(ledger.broken or "") if ledger else ""
    report["ledger_syncs"] = ledger.syncs if ledger else 0
    return report


@asynccontextmanager
async def progress_shown(player: Player, exchanges: int) -> AsyncIterator[None]:
    """Show a progress bar on standard error, if standard error is a terminal, while the body runs."""
    if not sys.stderr.isatty():
        yield
        return
    task = asyncio.ensure_future(show_progress(player, exchanges))
    try:
        yield
    finally:
        task.cancel()


async def show_progress(player: Player, exchanges: int) -> None:
    """Update a progress bar until the task is cancelled."""
    from rich.console import Console  # Imported here because the import is slow and rarely needed.
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("replaying", total=exchanges)
        while True:
            progress.update(task, completed=player.report.counts["read"])
            await asyncio.sleep(PROGRESS_INTERVAL)
