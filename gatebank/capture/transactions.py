"""Exchanges of all connections, collected as it becomes known what became of them. No I/O.

`ExchangeCollector` hears of connections from the TCP reassembly and gives each a decoder of its protocol,
which makes exchanges of what it reads. RESP2 is the first protocol; another one is a class with the methods
of `ConnectionDecoder`.
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
DEFAULT_TIMEOUT_NS = 60_000_000_000  # of a command that names none
MAX_TIMEOUT_NS = 10 * DEFAULT_TIMEOUT_NS  # longer ones are not believed
MAX_KNOWN_SERVERS = 65536  # addresses of which it is remembered whether they are endpoints or instances
WAITING_PER_CONNECTION = 8  # exchanges without a response that are held, for each connection allowed

DecoderFactory = Callable[["ExchangeCollector", Connection], ConnectionDecoder]


@dataclass(slots=True)
class TransactionCounts:
    """Counters of one reading, by the names that `capture check` prints."""

    exchanges: int = 0
    not_whole: int = 0
    other_commands: int = 0  # commands that are no requests
    unasked: int = 0  # responses to nothing
    unreadable: int = 0  # bytes that break the protocol
    foreign: int = 0  # connections of another protocol
    answers_not_paired: int = 0
    given_up_message: int = 0
    given_up_in_hand: int = 0
    given_up_patience: int = 0
    bytes_passed: int = 0  # bytes in which no command was found


class ExchangeCollector:
    """Gives each connection a decoder, and collects what these report.

    Args:
        limits: The limits of this reading.
        make_decoder: Makes the decoder of a connection.
        endpoints: Server addresses that the user knows to be endpoints.
        instances: Server addresses that the user knows to be instances.

    Attributes:
        limits: The limits of this reading.
        counts: What was seen and given up.
        held_bytes: Memory that messages take which are not complete; the decoders keep it.
        reported: Exchanges whose outcome is known, in that order; whoever reads them empties it.
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
        self._waiting: OrderedDict[Exchange, None] = OrderedDict()  # without a response, the oldest first

    @property
    def waiting_count(self) -> int:
        """Exchanges that wait for their response."""
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
        """Hands an exchange on as it stands; once only."""
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
        """Holds an exchange until its response comes.

        What has waited for too long is reported as it stands, so that whoever sorts by the time of asking
        knows how long to wait.

        Args:
            exchange: The exchange, just asked.
            now: ns of the capture's clock.
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
        """Remembers that a server's responses showed which side of an instance it is."""
        if server not in self._side_of_server and len(self._side_of_server) < MAX_KNOWN_SERVERS:
            self._side_of_server[server] = side

    def end(self) -> None:
        """Tells that the capture has ended: what waits is reported as it stands."""
        while self._waiting:
            self.report(next(iter(self._waiting)))

    def _is_overdue(self, exchange: Exchange, now: int) -> bool:
        waited = now - (exchange.asked_at or now)
        grace = self.limits.response_grace * NS_PER_SECOND
        return waited >= min(timeout_ns(exchange), DEFAULT_TIMEOUT_NS) + grace


def timeout_ns(exchange: Exchange) -> int:
    """The client's timeout in ns; a default where the command names none."""
    if exchange.timeout_ms is None:
        return DEFAULT_TIMEOUT_NS
    return min(int(exchange.timeout_ms * NS_PER_MILLISECOND), MAX_TIMEOUT_NS)
