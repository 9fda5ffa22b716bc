"""State of a captured TCP connection: sequence numbers of each direction, and waiting segments. No I/O."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple, Protocol

from gatebank.capture.segments import Segment, address_name

UNKNOWN = -1  # A sequence number or a side that the capture has not shown yet.
SEQUENCE_MASK = (1 << 32) - 1
HALF_SEQUENCE_SPACE = 1 << 31  # Distances from this on count as negative (RFC 9293).
WAITING_OVERHEAD = 160  # Bytes of memory that a waiting segment takes in addition to its payload.


class EndReason(Enum):
    """Why a connection is no longer tracked."""

    CLOSED = "closed"
    RESET = "reset"
    PORTS_REUSED = "ports reused"
    TOO_MANY_CONNECTIONS = "given up: too many connections"
    IDLE = "given up: idle for too long"
    CAPTURE_ENDED = "end of the capture"

    @property
    def is_in_capture(self) -> bool:
        """Whether the capture shows the connection's end, so that no further data can follow."""
        return self in (EndReason.CLOSED, EndReason.RESET)


class DirectionState(Enum):
    """Progress of one direction of a connection."""

    UNSEEN = auto()  # No sequence number is known.
    OPEN = auto()
    FIN_SEEN = auto()  # The FIN was seen, but bytes before the FIN are missing.
    COMPLETE = auto()  # All bytes up to the FIN have been delivered.


class Direction:
    """One direction of a connection. Sequence numbers are UNKNOWN until the capture shows them.

    Attributes:
        next_sequence: Sequence number of the next byte to deliver.
        syn_sequence: Sequence number of the SYN.
        acked_sequence: Last acknowledgement number that the receiver sent.
        fin_sequence: Sequence number of the FIN, which follows the last byte.
    """

    __slots__ = ("acked_sequence", "fin_sequence", "next_sequence", "syn_sequence")

    def __init__(self) -> None:
        self.next_sequence = UNKNOWN
        self.syn_sequence = UNKNOWN
        self.acked_sequence = UNKNOWN
        self.fin_sequence = UNKNOWN

    @property
    def state(self) -> DirectionState:
        """Progress of this direction."""
        if self.fin_sequence == UNKNOWN:
            return DirectionState.UNSEEN if self.next_sequence == UNKNOWN else DirectionState.OPEN
        if self.next_sequence in (UNKNOWN, self.fin_sequence):
            return DirectionState.COMPLETE
        return DirectionState.FIN_SEEN

    def record_syn(self, sequence: int) -> int:
        """Store the sequence number of a SYN, and return that of the first byte after the SYN."""
        first = (sequence + 1) & SEQUENCE_MASK
        if self.next_sequence == UNKNOWN:
            self.syn_sequence = sequence
            self.next_sequence = first
        return first

    def distance(self, sequence: int) -> int:
        """Return the number of bytes from the next byte to deliver to ``sequence``, modulo 2^32."""
        return (sequence - self.next_sequence) & SEQUENCE_MASK

    def missing_bytes_before(self, sequence: int) -> int:
        """Return the number of undelivered bytes before ``sequence``; 0 while no sequence number is known."""
        if self.next_sequence == UNKNOWN:
            return 0
        ahead = self.distance(sequence)
        return ahead if ahead < HALF_SEQUENCE_SPACE else 0

    def has_delivered(self, segment: WaitingSegment) -> bool:
        """Return whether all bytes of a segment have been delivered or skipped as a gap."""
        if self.next_sequence == UNKNOWN:
            return False
        seen = (self.next_sequence - segment.sequence) & SEQUENCE_MASK
        return len(segment.payload) + segment.missing_bytes <= seen <= HALF_SEQUENCE_SPACE

    def advance(self, size: int) -> None:
        """Advance the next byte to deliver by ``size`` bytes that were delivered or skipped."""
        self.next_sequence = (self.next_sequence + size) & SEQUENCE_MASK


class WaitingSegment(NamedTuple):
    """A segment that waits for earlier bytes of its direction, or for the bytes that it acknowledges.

    Attributes:
        side: The side that sent the segment, 0 or 1.
        sequence: Sequence number of the first byte.
        payload: The captured bytes of the payload.
        missing_bytes: Number of bytes at the payload's end that the snap length cut off.
        ack: The acknowledgement number; UNKNOWN if the segment has none.
        at: Time of the segment in ns of the capture's clock.
        packet: Number of the segment's packet in the capture.
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
        """Memory in bytes that the segment takes."""
        return len(self.payload) + WAITING_OVERHEAD


class ConnectionDecoder(Protocol):
    """Decodes the data of both directions of one connection, in one protocol.

    Times are in ns of the capture's clock; ``side`` is the sending side, as in `Connection`.
    """

    def on_data(self, side: int, at: int, data: bytes) -> None:
        """Process the next bytes of one direction."""
        ...

    def on_gap(self, side: int, at: int, size: int) -> None:
        """Process a gap: the next ``size`` bytes of one direction are not in the capture."""
        ...

    def on_end(self, at: int, reason: EndReason) -> None:
        """Process the end of the connection, after which no data follows."""
        ...


class Connection:
    """A TCP connection. Side 0 sent the first segment of the connection in the capture; side 1 is its peer.

    Attributes:
        number: Number of the connection in the capture, counted from 1.
        last_seen: Time of the newest segment in ns of the capture's clock.
        addresses: Address and port of each side, as text.
        directions: State of the data that each side sent.
        waiting: Waiting segments in the order of the capture. A segment leaves the list when its turn comes,
            when its delivery is forced, or at the connection's end.
        waiting_bytes: Memory in bytes that the waiting segments take.
        client_side: The side that opened the connection; UNKNOWN if the SYN was not seen.
        begins_in_capture: Whether the SYN was seen.
        end_reason: Why the connection is no longer tracked; None while it is open.
        recorded_side: "customer" or "node" if the capture is a recording of gatebank that names the side;
            else None.
        packet: Number of the packet that is being processed.
        decoder: Decodes the connection's data; None after the connection's end.
    """

    __slots__ = (
        "_first_sender", "addresses", "begins_in_capture", "client_side", "decoder", "directions",
        "end_reason", "last_seen", "number", "packet", "recorded_side", "waiting", "waiting_bytes",
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
        """Return the side that sent this segment of the connection."""
        return 0 if self._first_sender == (segment.source, segment.source_port) else 1

    def missing_acknowledged_bytes(self, segment: WaitingSegment) -> int:
        """Return how many undelivered bytes of the other direction the segment acknowledges."""
        if segment.ack == UNKNOWN:
            return 0
        return self.directions[1 - segment.side].missing_bytes_before(segment.ack)

    def infer_initial_sequences(self, segment: WaitingSegment, has_bytes: bool) -> None:
        """Infer from a segment where each direction whose SYN was not seen begins.

        Only a segment in order shows the beginning. A segment from further ahead, such as a copy that the
        capture holds too early, acknowledges bytes that still follow, and does not show where those bytes
        begin.

        Args:
            segment: The segment, either just read or taken from the waiting segments.
            has_bytes: Whether the segment has payload or a FIN, so that its sequence number is that of bytes
                to deliver.
        """
        direction = self.directions[segment.side]
        other = self.directions[1 - segment.side]
        if has_bytes and direction.next_sequence == UNKNOWN and not self.missing_acknowledged_bytes(segment):
            direction.next_sequence = segment.sequence
        if other.next_sequence == UNKNOWN and direction.next_sequence in (UNKNOWN, segment.sequence):
            # The receiver has all earlier bytes, so they are never retransmitted.
            other.next_sequence = segment.ack

    def can_be_delivered(self, segment: WaitingSegment) -> bool:
        """Return whether all bytes that the segment waits for have been delivered or skipped."""
        direction = self.directions[segment.side]
        if direction.next_sequence == UNKNOWN and self._has_earlier(segment):
            return False
        if direction.missing_bytes_before(segment.sequence):
            return False
        return not self.missing_acknowledged_bytes(segment)

    def _has_earlier(self, segment: WaitingSegment) -> bool:
        """Return whether another waiting segment of the same side begins before this segment."""
        return any(
            other.side == segment.side and precedes(other.sequence, segment.sequence)
            for other in self.waiting
        )

    def awaits_lost_bytes(self, segment: WaitingSegment) -> bool:
        """Return whether the bytes that the segment waits for reached the receiver but not the capture."""
        direction = self.directions[segment.side]
        if direction.acked_sequence != UNKNOWN and direction.missing_bytes_before(direction.acked_sequence):
            return True
        return self.missing_acknowledged_bytes(segment) > 0

    def first_to_deliver_by_force(self) -> WaitingSegment:
        """Return the segment to deliver first when the oldest waiting segment must not wait any longer.

        Waiting segments that the oldest acknowledges are delivered first, then waiting segments with earlier
        bytes of its direction, so that segments are delivered in the order in which they were sent.
        """
        chosen = self.waiting[0]
        for _ in range(len(self.waiting)):
            earlier = self._first_waiting_before(1 - chosen.side, chosen.ack)
            if earlier is None:
                earlier = self._first_waiting_before(chosen.side, chosen.sequence)
            if earlier is None:
                break
            chosen = earlier
        return chosen

    def _first_waiting_before(self, side: int, end: int) -> WaitingSegment | None:
        """Return the first waiting segment of ``side`` with undelivered bytes before the number ``end``."""
        if end == UNKNOWN:
            return None
        direction = self.directions[side]
        limit = direction.missing_bytes_before(end)
        for segment in self.waiting:
            if segment.side == side and direction.distance(segment.sequence) < limit:
                return segment
        return None


def precedes(sequence: int, other: int) -> bool:
    """Return whether ``sequence`` is before ``other``, modulo 2^32."""
    return (sequence - other) & SEQUENCE_MASK >= HALF_SEQUENCE_SPACE
