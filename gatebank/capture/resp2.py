"""Decoder of RESP2 on one connection: finds the client, and parses and pairs commands and responses. No I/O.

The connection is between a client and an instance, or between an instance and an endpoint.
"""

from __future__ import annotations

import re

from gatebank.capture.connections import UNKNOWN, Connection, EndReason
from gatebank.capture.pairing import Pairing
from gatebank.capture.records import Exchange
from gatebank.capture.transactions import ExchangeCollector
from gatebank.proxy.resp2 import codec as resp

COMMAND_START = re.compile(rb"\*[1-9]\d?\r\n\$\d{1,2}\r\n(?:Q\.(?:ASK|DO)|PING)\r\n", re.IGNORECASE)
MAX_COMMAND_START = 32  # Largest size of COMMAND_START in bytes, which may span two segments.
MAX_FOREIGN_BYTES = 64 * 1024  # A connection with more bytes without a command uses another protocol.
REQUEST_COMMANDS = (b"Q.ASK", b"Q.DO")
MIN_REQUEST_ARGUMENTS = 3  # The command, a key and an id.


class MessageBuffer:
    """The bytes of an incomplete message in one direction.

    Attributes:
        parts: The held bytes, in the pieces in which they were read.
        size: Number of held bytes that count towards the limit of all messages.
        needed: Smallest size of the whole message according to its length fields. Parsing is not repeated
            before this many bytes are held.
        is_at_message: Whether a message begins at the first held byte.
        first_packet: Number of the packet with the first held byte.
    """

    __slots__ = ("first_packet", "is_at_message", "needed", "parts", "size")

    def __init__(self, is_at_message: bool) -> None:
        self.parts: list[bytes] = []
        self.size = 0
        self.needed = 0
        self.is_at_message = is_at_message
        self.first_packet = 0

    def append(self, data: bytes) -> None:
        """Add bytes that do not complete the message."""
        self.parts.append(data)
        self.size += len(data)

    def take_all(self) -> bytes:
        """Return all held bytes, and empty the buffer."""
        data = b"".join(self.parts)
        self.parts = []
        self.size = 0
        self.needed = 0
        return data


class Resp2Decoder:
    """Decodes one connection; see `ConnectionDecoder`.

    Args:
        collector: Receives the exchanges.
        connection: The connection to decode.
    """

    __slots__ = (
        "_bytes_without_command", "_client_side", "_collector", "_connection", "_counts", "_directions",
        "_pairing",
    )  # fmt: skip

    def __init__(self, collector: ExchangeCollector, connection: Connection) -> None:
        self._collector = collector
        self._connection = connection
        self._counts = collector.counts
        self._client_side = UNKNOWN
        begins_in_capture = connection.begins_in_capture
        self._directions = (MessageBuffer(begins_in_capture), MessageBuffer(begins_in_capture))
        self._pairing = Pairing(collector, begins_in_capture)
        self._bytes_without_command = 0
        if connection.client_side != UNKNOWN:
            self._set_client(connection.client_side)

    def on_data(self, side: int, at: int, data: bytes) -> None:
        """See `ConnectionDecoder.on_data`."""
        if self._client_side == UNKNOWN and not self._find_client(side, data):
            return
        buffer = self._directions[side]
        if not buffer.size:
            buffer.first_packet = self._connection.packet
        elif buffer.size + len(data) < buffer.needed:
            buffer.append(data)
            self._collector.held_bytes += len(data)
            if self._collector.held_bytes > self._collector.limits.max_total_message_bytes:
                self._give_up_message(side, at)
            return
        if buffer.parts:
            data = self._take_all(buffer) + data
        buffer.needed = 0
        if side == self._client_side:
            self._read_commands(buffer, at, data)
        else:
            self._read_responses(buffer, at, data)

    def on_gap(self, side: int, at: int, size: int) -> None:
        """See `ConnectionDecoder.on_gap`."""
        buffer = self._directions[side]
        if self._client_side == UNKNOWN:
            buffer.take_all()
            return
        rest = self._take_all(buffer)
        if side != self._client_side:
            self._pairing.on_response_gap(at)
            return
        if buffer.is_at_message and rest:
            self._report_partial_command(buffer, rest)
        buffer.is_at_message = False
        self._pairing.on_command_gap(at)

    def on_end(self, at: int, reason: EndReason) -> None:
        """See `ConnectionDecoder.on_end`."""
        if self._client_side == UNKNOWN:
            return
        commands = self._directions[self._client_side]
        responses = self._directions[1 - self._client_side]
        self._pairing.on_end(at, reason.is_in_capture, responses.size > 0)
        rest = self._take_all(commands)
        if commands.is_at_message and rest:
            self._report_partial_command(commands, rest)
        self._take_all(responses)

    # Held bytes.

    def _take_all(self, buffer: MessageBuffer) -> bytes:
        self._collector.held_bytes -= buffer.size
        return buffer.take_all()

    def _hold(self, side: int, at: int, rest: bytes, needed: int) -> None:
        """Hold the bytes of an incomplete message, whose size is at least ``needed``."""
        if not rest:
            return
        buffer = self._directions[side]
        buffer.append(rest)
        buffer.needed = needed
        buffer.first_packet = buffer.first_packet or self._connection.packet
        collector = self._collector
        collector.held_bytes += len(rest)
        is_too_large = max(len(rest), needed) > collector.limits.max_message_bytes
        if is_too_large or collector.held_bytes > collector.limits.max_total_message_bytes:
            self._give_up_message(side, at)

    def _give_up_message(self, side: int, at: int) -> None:
        self._counts.given_up_message += 1
        self.on_gap(side, at, 0)

    # The client.

    def _set_client(self, side: int) -> None:
        self._client_side = side
        self._pairing.server = self._connection.addresses[1 - side]

    def _find_client(self, side: int, data: bytes) -> bool:
        """Detect the client of a connection that began before the capture: the side that sends a command."""
        buffer = self._directions[side]
        received = b"".join(buffer.parts) + data
        if COMMAND_START.search(received):
            self._set_client(side)
            self._take_all(self._directions[1 - side])
            return True
        # These bytes are not counted as held, since each connection holds so few of them.
        buffer.parts = [received[-MAX_COMMAND_START:]]
        self._bytes_without_command += len(data)
        self._counts.bytes_passed += len(data)
        if self._bytes_without_command > MAX_FOREIGN_BYTES:
            self._ignore_connection()
        return False

    def _ignore_connection(self) -> None:
        """Stop decoding the connection, because it uses another protocol."""
        self._counts.foreign += 1
        for buffer in self._directions:
            self._take_all(buffer)
        self._connection.decoder = IGNORED

    # Commands.

    def _read_commands(self, buffer: MessageBuffer, at: int, data: bytes) -> None:
        search_from = 0  # Offset from which a command may begin.
        while True:
            if not buffer.is_at_message:
                start = self._find_command(data, search_from, at)
                if start == UNKNOWN:
                    return
                data = data[start:]
                buffer.is_at_message = True
                buffer.first_packet = self._connection.packet
            inbox = resp.Resp2Buffer.from_bytes(data, self._collector.limits.max_message_bytes)
            try:
                for arguments in inbox.commands():
                    self._add_command([bytes(argument) for argument in arguments], at, buffer)
                    buffer.first_packet = self._connection.packet
            except resp.ProtocolError:
                data = data[inbox.start :]
                search_from = 1
                self._counts.unreadable += 1
                self._report_partial_command(buffer, data)
                self._pairing.on_unreadable_command(at)
                buffer.is_at_message = False
                continue
            self._hold(self._client_side, at, data[inbox.start :], inbox.bytes_needed)
            return

    def _find_command(self, data: bytes, search_from: int, at: int) -> int:
        """Return the next command's offset, or UNKNOWN after holding what may be the start of a command."""
        found = COMMAND_START.search(data, search_from)
        end = found.start() if found else len(data)
        self._counts.bytes_passed += max(0, end - search_from)
        if found:
            return end
        self._bytes_without_command += len(data)
        if self._bytes_without_command > MAX_FOREIGN_BYTES and not self._pairing.pending_count:
            self._ignore_connection()
        else:
            rest = data[max(search_from, len(data) - MAX_COMMAND_START) :]
            self._hold(self._client_side, at, rest, 0)
        return UNKNOWN

    def _add_command(self, arguments: list[bytes], at: int, buffer: MessageBuffer) -> None:
        self._bytes_without_command = 0
        pairing = self._pairing
        if pairing.before_command(at):
            self._take_all(self._directions[1 - self._client_side])
        if len(arguments) < MIN_REQUEST_ARGUMENTS or arguments[0].upper() not in REQUEST_COMMANDS:
            self._counts.other_commands += 1
            pairing.add_other_command()
            return
        pairing.add_request(self._exchange(at, arguments, buffer), at)
        if pairing.pending_count > self._collector.limits.max_pipelined_commands:
            self._counts.given_up_in_hand += 1
            self._report_pending_incomplete(at)

    def _exchange(self, asked_at: int | None, arguments: list[bytes], buffer: MessageBuffer) -> Exchange:
        """Create the exchange of a command; ``asked_at`` is None if the capture lacks the command's end."""
        connection = self._connection
        is_complete = asked_at is not None
        side = (connection.recorded_side or "") if is_complete else ""
        exchange = Exchange(
            asked_at, connection.addresses[self._client_side], self._pairing.server, side, arguments,
            is_complete, connection.number, buffer.first_packet or connection.packet,
        )  # fmt: skip
        exchange.last_packet = connection.packet
        exchange.parse_parameters()
        return exchange

    def _report_partial_command(self, buffer: MessageBuffer, rest: bytes) -> None:
        """Report an incomplete command with its known arguments."""
        inbox = resp.Resp2Buffer.from_bytes(rest, self._collector.limits.max_message_bytes)
        try:
            arguments = inbox.partial_command_values()
        except resp.ProtocolError:
            return
        if arguments and arguments[0].upper() in REQUEST_COMMANDS:
            self._collector.report(self._exchange(None, arguments, buffer))

    # Responses.

    def _read_responses(self, buffer: MessageBuffer, at: int, data: bytes) -> None:
        pairing = self._pairing
        if not pairing.state.is_in_sync and not pairing.pending_count:
            self._counts.answers_not_paired += 1
            return
        inbox = resp.Resp2Buffer.from_bytes(data, self._collector.limits.max_message_bytes)
        try:
            for reply in inbox.replies():
                pairing.add_response(reply, at, self._connection.packet)
        except resp.ProtocolError:
            self._counts.unreadable += 1
            self._report_pending_incomplete(at)
            return
        self._hold(1 - self._client_side, at, data[inbox.start :], inbox.bytes_needed)

    def _report_pending_incomplete(self, at: int) -> None:
        self._pairing.report_pending_incomplete(at)
        self._take_all(self._directions[1 - self._client_side])


class IgnoringDecoder:
    """Ignores the data of a connection that uses another protocol."""

    def on_data(self, side: int, at: int, data: bytes) -> None:
        """See `ConnectionDecoder.on_data`."""

    def on_gap(self, side: int, at: int, size: int) -> None:
        """See `ConnectionDecoder.on_gap`."""

    def on_end(self, at: int, reason: EndReason) -> None:
        """See `ConnectionDecoder.on_end`."""


IGNORED = IgnoringDecoder()
