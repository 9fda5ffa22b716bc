"""Pairs the commands of one connection with their responses, by order: responses carry no id. No I/O.

After a gap nothing is guessed. What was pending is reported as not whole, and pairing starts again at a
command behind which no older response can be due. The first pairs made so are on probation: they are held
until the next command, or the connection's end, shows that no response was left over.

    IN_SYNC                   a gap, or an unreadable command                -> OUT_OF_SYNC
    OUT_OF_SYNC               a command, and no older response can be due    -> ON_PROBATION
    ON_PROBATION              a command, and no response was left over       -> IN_SYNC
    ON_PROBATION              a response too many, a gap on one side only    -> OUT_OF_SYNC
    ON_PROBATION              a gap while nothing is pending                 -> OUT_OF_SYNC_ON_PROBATION
    OUT_OF_SYNC_ON_PROBATION  a command, or a response too many              -> OUT_OF_SYNC
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from gatebank.capture.records import Exchange
from gatebank.capture.responses import PairedResponse, record_response
from gatebank.capture.transactions import DEFAULT_TIMEOUT_NS, ExchangeCollector, timeout_ns
from gatebank.proxy.resp2 import codec as resp

# ns behind its deadline in which a response still comes: delays, and differences between clocks.
RESPONSE_SLACK_NS = 2_000_000_000
# Pairs held on probation: as many commands as an instance lets a client have in flight.
MAX_HELD_PAIRS = 64


class PairingState(Enum):
    """Whether the order of responses tells which command each belongs to.

    Attributes:
        is_in_sync: Commands are paired with responses by order.
        is_on_probation: There may be pairs that are held until no response is left over.
    """

    def __init__(self, is_in_sync: bool, is_on_probation: bool) -> None:
        self.is_in_sync = is_in_sync
        self.is_on_probation = is_on_probation

    IN_SYNC = (True, False)
    ON_PROBATION = (True, True)
    OUT_OF_SYNC = (False, False)  # behind those to pending commands, responses to unseen ones may come
    OUT_OF_SYNC_ON_PROBATION = (False, True)


class Pairing:
    """The pending commands of a connection, and the state of pairing.

    Args:
        collector: Where exchanges are reported.
        begins_in_capture: The connection's first bytes are in the capture.

    Attributes:
        state: Whether the order of responses can be trusted.
        server: Address and port of who is asked.
    """

    __slots__ = (
        "_collector", "_gap_in_commands", "_gap_in_responses", "_held", "_is_pipelined", "_pending",
        "_stale_until", "server", "state",
    )  # fmt: skip

    def __init__(self, collector: ExchangeCollector, begins_in_capture: bool) -> None:
        self.state = PairingState.IN_SYNC if begins_in_capture else PairingState.OUT_OF_SYNC
        self.server = ""
        self._collector = collector
        self._pending: deque[Exchange | None] = deque()  # None: a command that is no request
        self._is_pipelined = False  # the client was seen to send a command before it had the last response
        self._stale_until = 0  # ns: until then responses to older commands may come, if it is pipelined
        self._gap_in_commands = False  # since pairing started again
        self._gap_in_responses = False
        self._held: list[PairedResponse] = []  # on probation

    @property
    def pending_count(self) -> int:
        """Commands without their response."""
        return len(self._pending)

    # Commands.

    def before_command(self, at: int) -> bool:
        """Settles what the next command settles, and starts pairing again if nothing older can be due.

        Returns:
            Whether pairing has started again: bytes of an older response are of no use any more.
        """
        if self._pending:
            self._is_pipelined = True
            return False
        if self.state.is_on_probation:
            self._settle()
        if self.state.is_in_sync or (self._is_pipelined and at <= self._stale_until):
            return False
        self.state = PairingState.ON_PROBATION
        self._gap_in_commands = False
        self._gap_in_responses = False
        return True

    def add_other_command(self) -> None:
        """A command that is no request: its response takes a place in the order."""
        if self.state.is_in_sync:
            self._pending.append(None)

    def add_request(self, exchange: Exchange, at: int) -> None:
        """A request; it is reported at once if its response could not be told from others."""
        if not self.state.is_in_sync:
            self._expect_stale(at, exchange)
            self._collector.report(exchange)
            return
        self._pending.append(exchange)
        self._collector.await_response(exchange, at)

    # Responses.

    def add_response(self, reply: resp.Reply, at: int, packet: int) -> None:
        """The next response, as of packet number ``packet``."""
        if not self._pending:
            self._count_unexpected()
            if self.state.is_on_probation:  # a held one belonged to an older command, then
                self._reject_held()
            return
        exchange = self._pending.popleft()
        if exchange is None:
            return
        if not self.state.is_on_probation or exchange.is_reported:
            self._complete(PairedResponse(exchange, reply, at, packet))
            return
        values = [word if word is None else memoryview(bytes(word)) for word in reply.values]
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
            self._collector.counts.answers_not_paired += 1  # it came after it was given up
        else:
            self._collector.report(exchange)

    # Gaps.

    def on_command_gap(self, at: int) -> None:
        """Bytes of commands are missing: a command in them is answered behind those that are pending."""
        self._gap_in_commands = True
        if self.state.is_on_probation and self._pending:
            self._reject_held(is_pipelined=False)
        self._leave_sync()
        self._stale_until = max(self._stale_until, at + DEFAULT_TIMEOUT_NS)

    def on_unreadable_command(self, at: int) -> None:
        """How a command is answered is not known: nothing behind it is paired by order alone."""
        if self.state.is_on_probation:
            self._reject_held()
        self._leave_sync()
        self._stale_until = max(self._stale_until, at + DEFAULT_TIMEOUT_NS)

    def on_response_gap(self, at: int) -> None:
        """Bytes of responses are missing: which commands they answered is not known."""
        self._gap_in_responses = True
        self.report_pending_incomplete(at)

    def report_pending_incomplete(self, at: int) -> None:
        """Reports what is pending as not whole; order alone pairs nothing any more."""
        if self.state.is_on_probation and self._pending:
            self._reject_held(is_pipelined=False)
        self._leave_sync()
        for exchange in self._pending:
            if exchange is not None:
                self._expect_stale(at, exchange)
                self._collector.report(exchange)
        if len(self._pending) > 1:
            self._is_pipelined = True
        self._pending.clear()

    def _leave_sync(self) -> None:
        if self.state.is_on_probation:
            self.state = PairingState.OUT_OF_SYNC_ON_PROBATION
        else:
            self.state = PairingState.OUT_OF_SYNC

    def _expect_stale(self, at: int, exchange: Exchange) -> None:
        """A response to this exchange may come until its deadline has passed, and goes to no other."""
        asked_at = exchange.asked_at or at
        self._stale_until = max(self._stale_until, asked_at + timeout_ns(exchange) + RESPONSE_SLACK_NS)

    # Probation.

    def _settle(self) -> None:
        """Ends the probation where nothing is pending and no response was left over.

        Where bytes are missing in one direction only, the response that was left over may be among them; in
        both, complete exchanges are missing.
        """
        if self._gap_in_commands != self._gap_in_responses:
            self._reject_held(is_pipelined=False)
        else:
            self._accept_held()

    def _accept_held(self) -> None:
        """The client had as many responses as it had asked for, and asks on: the held pairs are right."""
        self.state = PairingState.IN_SYNC if self.state.is_in_sync else PairingState.OUT_OF_SYNC
        held = self._held
        self._held = []
        for paired in held:
            self._complete(paired)

    def _reject_held(self, is_pipelined: bool = True) -> None:
        """Which held response was whose is not known: reported as not whole, and pairing starts again later.

        Args:
            is_pipelined: What happened shows that the client sends commands before it has its responses.
        """
        self.state = PairingState.OUT_OF_SYNC
        held = self._held
        self._held = []
        for paired in held:
            self._collector.report(paired.exchange)
            self._expect_stale(0, paired.exchange)
        if is_pipelined:
            self._is_pipelined = True

    # The end.

    def on_end(self, at: int, is_seen_on_wire: bool, has_partial_response: bool) -> None:
        """Reports all that is left.

        Args:
            at: ns of the capture's clock.
            is_seen_on_wire: The capture shows the connection's end, so what is pending has no response.
            has_partial_response: A response had begun.
        """
        if self.state.is_on_probation:
            last = max((paired.at for paired in self._held), default=at)
            # A response that was left over would have come by now.
            is_quiet = is_seen_on_wire or at - last >= RESPONSE_SLACK_NS
            if is_quiet and not self._pending:
                self._settle()
            else:
                self._reject_held()
        is_whole = is_seen_on_wire and self.state.is_in_sync and not has_partial_response
        for exchange in self._pending:
            if exchange is not None and not exchange.is_reported:
                exchange.whole = is_whole
                self._collector.report(exchange)
        self._pending.clear()
