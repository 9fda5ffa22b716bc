"""Pairing of one connection's commands with their responses by order, since responses carry no id. No I/O.

After a gap, commands and responses are not paired by guessing. Pending commands are reported as not whole,
and pairing restarts at a command for which no response to an earlier command can still arrive. The first
pairs after a restart are on probation: they are held until the next command or the connection's end shows
that no surplus response exists.

    IN_SYNC                   gap, or unreadable command                        -> OUT_OF_SYNC
    OUT_OF_SYNC               command while no older response can be due        -> ON_PROBATION
    ON_PROBATION              command, without a surplus response before        -> IN_SYNC
    ON_PROBATION              surplus response, or gap in one direction only    -> OUT_OF_SYNC
    ON_PROBATION              gap while no command is pending                   -> OUT_OF_SYNC_ON_PROBATION
    OUT_OF_SYNC_ON_PROBATION  command, or surplus response                      -> OUT_OF_SYNC
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from gatebank.capture.records import Exchange
from gatebank.capture.responses import PairedResponse, record_response
from gatebank.capture.transactions import DEFAULT_TIMEOUT_NS, ExchangeCollector, timeout_ns
from gatebank.proxy.resp2 import codec as resp

# Time in ns after a command's deadline during which its response can still arrive, because of network delays
# and differences between clocks.
RESPONSE_SLACK_NS = 2_000_000_000
# Largest number of pairs held on probation: the number of commands that an instance lets a client have in
# flight.
MAX_HELD_PAIRS = 64


class PairingState(Enum):
    """Whether the order of the responses shows which command each response belongs to.

    Attributes:
        is_in_sync: Whether commands are paired with responses by order.
        is_on_probation: Whether pairs may be held until it is known that no surplus response exists.
    """

    def __init__(self, is_in_sync: bool, is_on_probation: bool) -> None:
        self.is_in_sync = is_in_sync
        self.is_on_probation = is_on_probation

    IN_SYNC = (True, False)
    ON_PROBATION = (True, True)
    OUT_OF_SYNC = (False, False)  # Responses to unseen commands may follow those to pending commands.
    OUT_OF_SYNC_ON_PROBATION = (False, True)


class Pairing:
    """The pending commands of a connection, and the state of pairing.

    Args:
        collector: Receives the exchanges.
        begins_in_capture: Whether the connection's first bytes are in the capture.

    Attributes:
        state: Whether commands and responses can be paired by order.
        server: Address and port of the side that receives the commands.
    """

    __slots__ = (
        "_collector", "_gap_in_commands", "_gap_in_responses", "_held", "_is_pipelined", "_pending",
        "_stale_until", "server", "state",
    )  # fmt: skip

    def __init__(self, collector: ExchangeCollector, begins_in_capture: bool) -> None:
        self.state = PairingState.IN_SYNC if begins_in_capture else PairingState.OUT_OF_SYNC
        self.server = ""
        self._collector = collector
        self._pending: deque[Exchange | None] = deque()  # None stands for a command that is not a request.
        # Whether the client has sent a command before it had the response to the previous command.
        self._is_pipelined = False
        # Time in ns until which responses to older commands may arrive at a pipelining client.
        self._stale_until = 0
        self._gap_in_commands = False  # Both gap flags cover the time since pairing restarted.
        self._gap_in_responses = False
        self._held: list[PairedResponse] = []  # Pairs on probation.

    @property
    def pending_count(self) -> int:
        """Number of commands that have no response yet."""
        return len(self._pending)

    # Commands.

    def before_command(self, at: int) -> bool:
        """Prepare for a command: end the probation, and restart pairing if no older response can be due.

        Returns:
            Whether pairing has restarted, so that held bytes of an older response must be discarded.
        """
        if self._pending:
            self._is_pipelined = True
            return False
        if self.state.is_on_probation:
            self._end_probation()
        if self.state.is_in_sync or (self._is_pipelined and at <= self._stale_until):
            return False
        self.state = PairingState.ON_PROBATION
        self._gap_in_commands = False
        self._gap_in_responses = False
        return True

    def add_other_command(self) -> None:
        """Add a command that is not a request; its response counts in the order of responses."""
        if self.state.is_in_sync:
            self._pending.append(None)

    def add_request(self, exchange: Exchange, at: int) -> None:
        """Add a request; report it at once while out of sync, as its response cannot be identified."""
        if not self.state.is_in_sync:
            self._extend_stale_period(at, exchange)
            self._collector.report(exchange)
            return
        self._pending.append(exchange)
        self._collector.await_response(exchange, at)

    # Responses.

    def add_response(self, reply: resp.Reply, at: int, packet: int) -> None:
        """Add the next response, which ended in packet number ``packet``."""
        if not self._pending:
            self._count_unexpected()
            if self.state.is_on_probation:  # One of the held responses must belong to an older command.
                self._reject_held()
            return
        exchange = self._pending.popleft()
        if exchange is None:
            return
        if not self.state.is_on_probation or exchange.is_reported:
            self._complete(PairedResponse(exchange, reply, at, packet))
            return
        values = [value if value is None else memoryview(bytes(value)) for value in reply.values]
        self._held.append(PairedResponse(exchange, resp.Reply(reply.type_byte, values), at, packet))
        if len(self._held) > MAX_HELD_PAIRS:
            self._reject_held()

    def _count_unexpected(self) -> None:
        if self.state.is_in_sync:
            self._collector.counts.unasked += 1
        else:
            self._collector.counts.answers_not_paired += 1

    def _complete(self, paired: PairedResponse) -> None:
        exchange = paired.exchange
        side = record_response(exchange, paired.reply, paired.at, paired.packet)
        if side is not None:
            self._collector.record_server_side(self.server, side)
        if exchange.is_reported:
            # The exchange had been given up before its response arrived.
            self._collector.counts.answers_not_paired += 1
        else:
            self._collector.report(exchange)

    # Gaps.

    def on_command_gap(self, at: int) -> None:
        """Handle missing command bytes: responses to lost commands may follow those to pending commands."""
        self._gap_in_commands = True
        if self.state.is_on_probation and self._pending:
            self._reject_held(is_pipelined=False)
        self._leave_sync()
        self._stale_until = max(self._stale_until, at + DEFAULT_TIMEOUT_NS)

    def on_unreadable_command(self, at: int) -> None:
        """Handle an unreadable command: its response is unknown, so order no longer pairs later commands."""
        if self.state.is_on_probation:
            self._reject_held()
        self._leave_sync()
        self._stale_until = max(self._stale_until, at + DEFAULT_TIMEOUT_NS)

    def on_response_gap(self, at: int) -> None:
        """Handle missing bytes of responses, whose commands are unknown."""
        self._gap_in_responses = True
        self.report_pending_incomplete(at)

    def report_pending_incomplete(self, at: int) -> None:
        """Report all pending exchanges as not whole, and stop pairing by order."""
        if self.state.is_on_probation and self._pending:
            self._reject_held(is_pipelined=False)
        self._leave_sync()
        for exchange in self._pending:
            if exchange is not None:
                self._extend_stale_period(at, exchange)
                self._collector.report(exchange)
        if len(self._pending) > 1:
            self._is_pipelined = True
        self._pending.clear()

    def _leave_sync(self) -> None:
        if self.state.is_on_probation:
            self.state = PairingState.OUT_OF_SYNC_ON_PROBATION
        else:
            self.state = PairingState.OUT_OF_SYNC

    def _extend_stale_period(self, at: int, exchange: Exchange) -> None:
        """Extend the time in which a late response to this exchange may arrive, until after its deadline."""
        asked_at = exchange.asked_at or at
        self._stale_until = max(self._stale_until, asked_at + timeout_ns(exchange) + RESPONSE_SLACK_NS)

    # Probation.

    def _end_probation(self) -> None:
        """End the probation when no command is pending and no surplus response has been seen.

        If bytes are missing in one direction only, a surplus response may be among the missing bytes, so the
        held pairs are rejected. If bytes are missing in both directions, whole exchanges are missing.
        """
        if self._gap_in_commands != self._gap_in_responses:
            self._reject_held(is_pipelined=False)
        else:
            self._accept_held()

    def _accept_held(self) -> None:
        """Report the held pairs: the client got one response per command, so the pairs are right."""
        self.state = PairingState.IN_SYNC if self.state.is_in_sync else PairingState.OUT_OF_SYNC
        held = self._held
        self._held = []
        for paired in held:
            self._complete(paired)

    def _reject_held(self, is_pipelined: bool = True) -> None:
        """Report the held exchanges as not whole, since their responses are uncertain, and leave sync.

        Args:
            is_pipelined: Whether the rejection shows that the client sends commands before it has all
                responses.
        """
        self.state = PairingState.OUT_OF_SYNC
        held = self._held
        self._held = []
        for paired in held:
            self._collector.report(paired.exchange)
            self._extend_stale_period(0, paired.exchange)
        if is_pipelined:
            self._is_pipelined = True

    # End of the connection.

    def on_end(self, at: int, is_end_captured: bool, has_partial_response: bool) -> None:
        """Report all remaining exchanges at the connection's end.

        Args:
            at: Time of the end in ns of the capture's clock.
            is_end_captured: Whether the capture shows the connection's end, so that pending commands have no
                response.
            has_partial_response: Whether the capture holds a part of the next response.
        """
        if self.state.is_on_probation:
            last = max((paired.at for paired in self._held), default=at)
            # A surplus response would have arrived by now.
            is_quiet = is_end_captured or at - last >= RESPONSE_SLACK_NS
            if is_quiet and not self._pending:
                self._end_probation()
            else:
                self._reject_held()
        is_whole = is_end_captured and self.state.is_in_sync and not has_partial_response
        for exchange in self._pending:
            if exchange is not None and not exchange.is_reported:
                exchange.whole = is_whole
                self._collector.report(exchange)
        self._pending.clear()
