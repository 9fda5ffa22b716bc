"""TCP connections as a capture shows them: what is known of each direction, and what waits. No I/O."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple, Protocol

from gatebank.capture.segments import Segment, address_name

UNKNOWN = -1  # a sequence number or a side that the capture has not shown
SEQUENCE_MASK = (1 << 32) - 1
HALF_SEQUENCE_SPACE = 1 << 31  # a distance beyond it counts as one backwards (RFC 9293)
WAITING_OVERHEAD = 160  # bytes that a waiting segment takes besides its payload


class EndReason(Enum):
    """Why a connection is followed no longer."""

    CLOSED = "closed"
    RESET = "reset"
    PORTS_REUSED = "its ports were used again"
    TOO_MANY_CONNECTIONS = "given up: too many connections"
    IDLE = "given up: silent for too long"
    CAPTURE_ENDED = "the capture ends"

    @property
    def is_in_capture(self) -> bool:
        """Whether the capture shows the connection's end: nothing can come behind it."""
        return self in (EndReason.CLOSED, EndReason.RESET)


class DirectionState(Enum):
    """How far one direction of a connection has come."""

    UNSEEN = auto()  # no sequence number is known
    OPEN = auto()
    FIN_SEEN = auto()  # its end is known, bytes before it are missing
    COMPLETE = auto()  # all bytes up to its FIN have been delivered


class Direction:
    """One direction of a connection. Sequence numbers are UNKNOWN until the capture shows them.

    Attributes:
        next_sequence: The number of the next byte to deliver.
        syn_sequence: The number of the SYN.
        acked_sequence: The last acknowledgement that the receiver sent.
        fin_sequence: The number of the FIN: that behind the last byte.
    """

    __slots__ = ("acked_sequence", "fin_sequence", "next_sequence", "syn_sequence")

    def __init__(self) -> None:
        self.next_sequence = UNKNOWN
        self.syn_sequence = UNKNOWN
        self.acked_sequence = UNKNOWN
        self.fin_sequence = UNKNOWN

    @property
    def state(self) -> DirectionState:
        """How far this direction has come."""
        if self.fin_sequence == UNKNOWN:
            return DirectionState.UNSEEN if self.next_sequence == UNKNOWN else DirectionState.OPEN
        if self.next_sequence in (UNKNOWN, self.fin_sequence):
            return DirectionState.COMPLETE
        return DirectionState.FIN_SEEN

    def record_syn(self, sequence: int) -> int:
        """Enters the number of a SYN; returns that of the first byte behind it."""
        first = (sequence + 1) & SEQUENCE_MASK
        if self.next_sequence == UNKNOWN:
            self.syn_sequence = sequence
            self.next_sequence = first
        return first

    def distance(self, sequence: int) -> int:
        """Bytes from the next byte to deliver on to that number, modulo 2^32."""
        return (sequence - self.next_sequence) & SEQUENCE_MASK

    def missing_bytes_before(self, sequence: int) -> int:
        """Bytes before that number that are still to be delivered; 0 while no number is known."""
        if self.next_sequence == UNKNOWN:
            return 0
        ahead = self.distance(sequence)
        return ahead if ahead < HALF_SEQUENCE_SPACE else 0

    def has_delivered(self, segment: WaitingSegment) -> bool:
        """Whether all bytes of a segment have been delivered, or given up."""
        if self.next_sequence == UNKNOWN:
            return False
        seen = (self.next_sequence - segment.sequence) & SEQUENCE_MASK
        return len(segment.payload) + segment.missing_bytes <= seen <= HALF_SEQUENCE_SPACE

    def advance(self, size: int) -> None:
        """Moves on over so many bytes, delivered or given up."""
        self.next_sequence = (self.next_sequence + size) & SEQUENCE_MASK


class WaitingSegment(NamedTuple):
    """A segment that waits: for bytes before it, or for those that it acknowledges.

    Attributes:
        side: Who sent it.
        sequence: The number of its first byte.
        payload: Its bytes.
        missing: Bytes at its end that the snap length cut off.
        ack: Its acknowledgement number; UNKNOWN if it has none.
        at: ns of the capture's clock.
        packet: The number of its packet in the capture.
    """

    side: int
    sequence: int
    payload: bytes
    missing_bytes: int
    ack: int
    at: int
    packet: int

    @property
    def held_bytes(self) -> int:
        """Memory that it takes."""
        return len(self.payload) + WAITING_OVERHEAD


class ConnectionDecoder(Protocol):
    """Decodes what both sides of one connection say, in one protocol.

    Times are ns of the capture's clock; ``side`` is who sent, as in `Connection`.
    """

    def on_data(self, side: int, at: int, data: bytes) -> None:
        """The next bytes of one direction."""
        ...

    def on_gap(self, side: int, at: int, size: int) -> None:
        """The next ``size`` bytes of one direction are not in the capture."""
        ...

    def on_end(self, at: int, reason: EndReason) -> None:
        """Nothing more comes of this connection."""
        ...


class Connection:
    """A TCP connection. Side 0 is who sent the first segment that the capture has of it, side 1 the other.

    Attributes:
        number: Its number in the capture, from 1 on.
        last_seen: ns of the capture's clock of its newest segment.
        names: Address and port of each side, as text.
        directions: What each side sent.
        waiting: Segments that wait, as they came; emptied as they fit, by force, or at the end.
        waiting_bytes: Memory that these take.
        client_side: Who opened it; UNKNOWN if the SYN was not seen.
        begins_in_capture: The SYN was seen.
        end_reason: Why it is followed no longer; None while it is open.
        recorded_side: "customer" or "node" where a recording of gatebank says which; else None.
        packet: The number of the packet at hand.
        decoder: Who decodes its bytes; None once it has ended.
    """

    __slots__ = (
        "_first_sender",
        "addresses",
        "begins_in_capture",
        "client_side",
        "decoder",
        "directions",
        "end_reason",
        "last_seen",
        "number",
        "packet",
        "recorded_side",
        "waiting",
        "waiting_bytes",
    )  # fmt: skip

    def __init__(self, number: int, segment: Segment, at: int) -> None:
        self.number = number
        self.last_seen = at
        self.addresses = (
            address_name(segment.source, segment.source_port),
            address_name(segment.target, segment.target_port),
        )
        self.directions = (Direction(), Direction())
        self.waiting: list[WaitingSegment] = []
        self.waiting_bytes = 0
        self.client_side = UNKNOWN
        self.begins_in_capture = False
        self.end_reason: EndReason | None = None
        self.recorded_side: str | None = None
        self.packet = 0
        self.decoder: ConnectionDecoder | None = None
        self._first_sender = (segment.source, segment.source_port)

    def side_of(self, segment: Segment) -> int:
        """The side that sent this segment of the connection."""
        return 0 if self._first_sender == (segment.source, segment.source_port) else 1

    def missing_acknowledged_bytes(self, segment: WaitingSegment) -> int:
        """How many bytes of the other direction it acknowledges that have not been delivered."""
        if segment.ack == UNKNOWN:
            return 0
        return self.directions[1 - segment.side].missing_bytes_before(segment.ack)

    def infer_initial_sequences(self, segment: WaitingSegment, has_bytes: bool) -> None:
        """Learns from a segment where directions begin whose SYN was not seen.

        Only one in order tells it. One from further ahead, such as a copy that the capture has too early,
        acknowledges bytes that are still to come, and says nothing of where these begin.

        Args:
            segment: What came, at its own time or from those that wait.
            has_bytes: It has payload, or a FIN, so its number is that of bytes to deliver.
        """
        direction = self.directions[segment.side]
        other = self.directions[1 - segment.side]
        if has_bytes and direction.next_sequence == UNKNOWN and not self.missing_acknowledged_bytes(segment):
            direction.next_sequence = segment.sequence
        if other.next_sequence == UNKNOWN and direction.next_sequence in (UNKNOWN, segment.sequence):
            other.next_sequence = segment.ack  # the receiver has all before this: it is never sent again

    def can_be_delivered(self, segment: WaitingSegment) -> bool:
        """Whether nothing is missing any more that this segment waits for."""
        direction = self.directions[segment.side]
        if direction.next_sequence == UNKNOWN and self._has_earlier(segment):
            return False
        if direction.missing_bytes_before(segment.sequence):
            return False
        return not self.missing_acknowledged_bytes(segment)

    def _has_earlier(self, segment: WaitingSegment) -> bool:
        """Whether another waiting segment of the same side begins before this one."""
        return any(
            other.side == segment.side and precedes(other.sequence, segment.sequence)
            for other in self.waiting
        )

    def awaits_lost_bytes(self, segment: WaitingSegment) -> bool:
        """Whether what the segment waits for was received, and so is lacking in the capture."""
        direction = self.directions[segment.side]
        if direction.acked_sequence != UNKNOWN and direction.missing_bytes_before(direction.acked_sequence):
            return True
        return self.missing_acknowledged_bytes(segment) > 0

    def first_to_deliver_by_force(self) -> WaitingSegment:
        """The segment to deliver first if the oldest that waits is to wait no longer.

        What the oldest acknowledges, then what lies before it, goes first, where that waits too: segments are
        delivered in the order in which they were sent.
        """
        chosen = self.waiting[0]
        for _ in range(len(self.waiting)):
            earlier = self._waits_before(1 - chosen.side, chosen.ack)
            if earlier is None:
                earlier = self._waits_before(chosen.side, chosen.sequence)
            if earlier is None:
                break
            chosen = earlier
        return chosen

    def _waits_before(self, side: int, end: int) -> WaitingSegment | None:
        """The first segment that waits in this direction with bytes before the number ``end``."""
        if end == UNKNOWN:
            return None
        direction = self.directions[side]
        limit = direction.missing_bytes_before(end)
        for segment in self.waiting:
            if segment.side == side and direction.distance(segment.sequence) < limit:
                return segment
        return None


def precedes(sequence: int, other: int) -> bool:
    """Whether a sequence number is before another one."""
    return (sequence - other) & SEQUENCE_MASK >= HALF_SEQUENCE_SPACE
