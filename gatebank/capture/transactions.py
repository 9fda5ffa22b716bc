"""Collection of the exchanges of all connections, in the order in which their outcomes become known. No I/O.

`ExchangeCollector` receives the connections from the TCP reassembly and creates a protocol decoder for each
connection. The decoder creates the exchanges. RESP2 is the first supported protocol; a decoder of another
protocol is a class with the methods of `ConnectionDecoder`.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gatebank.capture.connections import Connection, ConnectionDecoder, EndReason
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.records import Exchange

NS_PER_SECOND = 1e9
NS_PER_MILLISECOND = 1e6
DEFAULT_TIMEOUT_NS = 60_000_000_000  # Timeout assumed for a command without a timeout.
MAX_TIMEOUT_NS = 10 * DEFAULT_TIMEOUT_NS  # Longer timeouts are considered wrong and are reduced to this.
MAX_KNOWN_SERVERS = 65536  # Number of servers remembered as endpoints or instances.
# Exchanges without a response that are held, per connection of the limit on connections.
WAITING_PER_CONNECTION = 8

DecoderFactory = Callable[["ExchangeCollector", Connection], ConnectionDecoder]


@dataclass(slots=True)
class TransactionCounts:
    """Counters of the collector, by the names that `capture check` prints."""

    exchanges: int = 0
    not_whole: int = 0
    other_commands: int = 0  # Commands that are not requests.
    unasked: int = 0  # Responses without a command.
    unreadable: int = 0  # Violations of the protocol.
    foreign: int = 0  # Connections of another protocol.
    answers_not_paired: int = 0
    given_up_message: int = 0
    given_up_in_hand: int = 0
    given_up_patience: int = 0
    bytes_passed: int = 0  # Bytes in which no command was found.


class ExchangeCollector:
    """Creates a decoder for each connection, and collects the exchanges that the decoders report.

    Args:
        limits: Limits of the reading.
        make_decoder: Creates the decoder of a connection.
        endpoints: Server addresses that the user declared to be endpoints.
        instances: Server addresses that the user declared to be instances.

    Attributes:
        limits: Limits of the reading.
        counts: Counters of the collector.
        held_bytes: Memory in bytes that incomplete messages take; the decoders update this value.
        reported: Reported exchanges in the order in which their outcomes became known. The consumer removes
            them.
    """

    def __init__(
        self,
        limits: ReadingLimits,
        make_decoder: DecoderFactory,
        endpoints: Iterable[str] = (),
        instances: Iterable[str] = (),
    ) -> None:
        self.limits = limits
        self.counts = TransactionCounts()
        self.held_bytes = 0
        self.reported: deque[Exchange] = deque()
        self._make_decoder = make_decoder
        self._side_of_server = dict.fromkeys(endpoints, "node") | dict.fromkeys(instances, "customer")
        self._waiting: OrderedDict[Exchange, None] = OrderedDict()  # Without a response; oldest first.

    @property
    def waiting_exchange_count(self) -> int:
        """Number of exchanges that wait for their response."""
        return len(self._waiting)

    def on_open(self, connection: Connection, at: int) -> None:
        """See `ConnectionListener.on_open`."""
        connection.decoder = self._make_decoder(self, connection)

    def on_data(self, connection: Connection, side: int, at: int, data: bytes) -> None:
        """See `ConnectionListener.on_data`."""
        if connection.decoder is not None:
            connection.decoder.on_data(side, at, data)

    def on_gap(self, connection: Connection, side: int, at: int, size: int) -> None:
        """See `ConnectionListener.on_gap`."""
        if connection.decoder is not None:
            connection.decoder.on_gap(side, at, size)

    def on_end(self, connection: Connection, at: int, reason: EndReason) -> None:
        """See `ConnectionListener.on_end`."""
        if connection.decoder is not None:
            connection.decoder.on_end(at, reason)

    def report(self, exchange: Exchange) -> None:
        """Report an exchange in its present state; has no effect on an exchange that was reported before."""
        if exchange.is_reported:
            return
        exchange.is_reported = True
        self._waiting.pop(exchange, None)
        self.counts.exchanges += 1
        if not exchange.whole:
            self.counts.not_whole += 1
        exchange.side = exchange.side or self._side_of_server.get(exchange.server, "customer")
        self.reported.append(exchange)

    def await_response(self, exchange: Exchange, now: int) -> None:
        """Hold an exchange until its response arrives.

        Exchanges that have waited for too long are reported in their present state. This bounds the time that
        a consumer must wait to sort exchanges by the time of their command.

        Args:
            exchange: The exchange, whose command has just been read.
            now: Time in ns of the capture's clock.
        """
        self._waiting[exchange] = None
        max_waiting = self.limits.max_connections * WAITING_PER_CONNECTION
        while self._waiting:
            oldest = next(iter(self._waiting))
            if not self._is_overdue(oldest, now) and len(self._waiting) <= max_waiting:
                return
            self.counts.given_up_patience += 1
            self.report(oldest)

    def record_server_side(self, server: str, side: str) -> None:
        """Remember the side of a server that the form of its responses showed."""
        if server not in self._side_of_server and len(self._side_of_server) < MAX_KNOWN_SERVERS:
            self._side_of_server[server] = side

    def end(self) -> None:
        """Report the end of the capture: all waiting exchanges are reported in their present state."""
        while self._waiting:
            self.report(next(iter(self._waiting)))

    def _is_overdue(self, exchange: Exchange, now: int) -> bool:
        waited = now - (exchange.asked_at or now)
        grace = self.limits.response_grace * NS_PER_SECOND
        return waited >= min(timeout_ns(exchange), DEFAULT_TIMEOUT_NS) + grace


def timeout_ns(exchange: Exchange) -> int:
    """Return the client's timeout in ns, or a default if the command has no timeout."""
    if exchange.timeout_ms is None:
        return DEFAULT_TIMEOUT_NS
    return min(int(exchange.timeout_ms * NS_PER_MILLISECOND), MAX_TIMEOUT_NS)
