"""TCP reassembly: turns segments into the ordered bytes of each direction, and reports gaps. No I/O.

Retransmitted bytes are dropped, early segments wait, and sequence numbers wrap (RFC 9293). Order is kept
across both directions too: a segment that acknowledges bytes that have not been read yet was sent after those
bytes, so it waits for them. Otherwise two packets that a capture swapped could pair a response with the wrong
command.

A gap is reported once it is certain: the receiver acknowledged bytes that did not appear in the capture
within MAX_LATENESS_NS, a limit on waiting bytes is reached, the snap length cut the packet, or the connection
has ended. Bytes that the receiver has not acknowledged may still be retransmitted, so the reassembly waits
for them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from gatebank.capture.connections import (
    HALF_SEQUENCE_SPACE,
    SEQUENCE_MASK,
    UNKNOWN,
    Connection,
    DirectionState,
    EndReason,
    WaitingSegment,
    precedes,
)
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.segments import ACK, FIN, RST, SYN, Segment

NS_PER_SECOND = 1e9
# Time in ns of the capture's clock by which an acknowledged byte may appear late, because packets of two taps
# are merged out of order.
MAX_LATENESS_NS = 200_000_000
# Time in ns for which an ended connection is remembered, so that late copies of its packets do not open a new
# connection.
ENDED_CONNECTION_RETENTION_NS = 60_000_000_000
# A segment that is further ahead, in bytes, than the largest usual windows belongs to another connection.
MAX_AHEAD_BYTES = 1 << 24


# The addresses and ports of a connection, with the lower address and port first, so that both directions have
# the same key. It is a plain tuple because it is created for each packet, and creating a named tuple takes
# three times as long.
ConnectionKey = tuple[int | bytes, int, int | bytes, int]


class ConnectionListener(Protocol):
    """Receives the connections and their data.

    Times are in ns of the capture's clock; ``side`` is the sending side, as in `Connection`.
    """

    def on_open(self, connection: Connection, at: int) -> None:
        """Process the start of tracking a connection."""
        ...

    def on_data(self, connection: Connection, side: int, at: int, data: bytes) -> None:
        """Process the next bytes of one direction."""
        ...

    def on_gap(self, connection: Connection, side: int, at: int, size: int) -> None:
        """Process a gap: the next ``size`` bytes of one direction are not in the capture."""
        ...

    def on_end(self, connection: Connection, at: int, reason: EndReason) -> None:
        """Process the end of the connection, after which no data follows."""
        ...


@dataclass(slots=True)
class ReassemblyCounts:
    """Counters of the reassembly, by the names that `capture check` prints."""

    streams: int = 0
    begun_before: int = 0  # Connections whose SYN the capture lacks.
    sent_again: int = 0
    out_of_order: int = 0
    held_for_order: int = 0  # Segments that waited for bytes of the other direction.
    holes: int = 0
    hole_bytes: int = 0
    given_up_room: int = 0
    given_up_idle: int = 0
    given_up_gap: int = 0
    ends_without_data: int = 0  # Segments without payload of connections that are not tracked.


class TcpReassembler:
    """Tracks all connections of a capture.

    Args:
        limits: Limits of the reading.
        listener: Receives the connections and their data.

    Attributes:
        counts: Counters of the reassembly.
        held_bytes: Memory in bytes that all waiting segments take.
    """

    def __init__(self, limits: ReadingLimits, listener: ConnectionListener) -> None:
        self.counts = ReassemblyCounts()
        self.held_bytes = 0
        self._limits = limits
        self._listener = listener
        self._max_clock_step_ns = limits.max_clock_step * NS_PER_SECOND
        # Least recently active connection first. A connection is removed some time after its end, after the
        # idle timeout, or when the number of connections reaches its limit.
        self._connections: OrderedDict[ConnectionKey, Connection] = OrderedDict()
        self._last_number = 0
        self._now = 0  # Time in ns of the capture's clock; never decreases.

    @property
    def connection_count(self) -> int:
        """Number of connections that are remembered, including ended connections."""
        return len(self._connections)

    def add(
        self, segment: Segment, at: int, packet: int = 0, recorded_side: str | None = None
    ) -> Connection | None:
        """Process one segment.

        Args:
            segment: The segment.
            at: Time of the segment in ns of the capture's clock.
            packet: Number of the segment's packet.
            recorded_side: "customer" or "node" if the capture names the side.

        Returns:
            The segment's connection; None if the connection is not tracked.
        """
        source, source_port, target, target_port = segment[:4]
        key = (source, source_port, target, target_port)
        if (source, source_port) > (target, target_port):
            key = (target, target_port, source, source_port)
        if at > self._now and (not self._now or at - self._now < self._max_clock_step_ns):
            self._now = at
        connection = self._find_or_open(key, segment, at)
        if connection is None:
            return None
        connection.last_seen = max(connection.last_seen, at)
        connection.packet = packet
        connection.recorded_side = recorded_side or connection.recorded_side
        if connection.end_reason is None:
            self._process_segment(connection, connection.side_of(segment), segment, at)
        elif segment.payload:
            self.counts.sent_again += 1
        if (
            self._connections
            and self._now - next(iter(self._connections.values())).last_seen > ENDED_CONNECTION_RETENTION_NS
        ):
            self._remove_idle()
        return connection

    def end(self) -> None:
        """Report the end of the capture, which ends all open connections."""
        for connection in self._connections.values():
            if connection.end_reason is None:
                self._end(connection, self._now, EndReason.CAPTURE_ENDED)
        self._connections.clear()

    # Opening and removing connections.

    def _find_or_open(self, key: ConnectionKey, segment: Segment, at: int) -> Connection | None:
        """Return the segment's connection, marked as most recently active; None if it is not tracked."""
        connection = self._connections.get(key)
        if connection is not None and segment.flags & SYN and self._opens_another(connection, segment):
            self._end(connection, at, EndReason.PORTS_REUSED)
            del self._connections[key]
            connection = None
        if connection is not None:
            self._connections.move_to_end(key)
            return connection
        if segment.payload or segment.missing_bytes or segment.flags & SYN:
            return self._open(key, segment, at)
        self.counts.ends_without_data += 1  # Belongs to the end of a connection that is no longer tracked.
        return None

    @staticmethod
    def _opens_another(connection: Connection, segment: Segment) -> bool:
        """Return whether a SYN opens another connection on the same ports and is not a retransmission."""
        if segment.flags & ACK:
            return False
        direction = connection.directions[connection.side_of(segment)]
        if connection.end_reason is not None or direction.syn_sequence != UNKNOWN:
            return direction.syn_sequence != segment.sequence
        return direction.next_sequence != (segment.sequence + 1) & SEQUENCE_MASK

    def _open(self, key: ConnectionKey, segment: Segment, at: int) -> Connection:
        while len(self._connections) >= self._limits.max_connections:
            _, oldest = self._connections.popitem(last=False)
            if oldest.end_reason is None:
                self.counts.given_up_room += 1
                self._end(oldest, at, EndReason.TOO_MANY_CONNECTIONS)
        self._last_number += 1
        self.counts.streams += 1
        connection = Connection(self._last_number, segment, at)
        self._connections[key] = connection
        if segment.flags & SYN:
            connection.begins_in_capture = True
            connection.client_side = 1 if segment.flags & ACK else 0
        else:
            self.counts.begun_before += 1
        self._listener.on_open(connection, at)
        return connection

    def _remove_idle(self) -> None:
        """Remove connections that ended some time ago or were idle for too long, oldest activity first."""
        idle_ns = int(self._limits.idle_timeout * NS_PER_SECOND)
        for key, connection in list(self._connections.items()):
            silence = self._now - connection.last_seen
            if silence <= min(ENDED_CONNECTION_RETENTION_NS, idle_ns):
                return
            if all(direction.fin_sequence != UNKNOWN for direction in connection.directions):
                self._end(connection, self._now, EndReason.CLOSED)
            if connection.end_reason is not None:
                del self._connections[key]
            elif silence > idle_ns:
                del self._connections[key]
                self.counts.given_up_idle += 1
                self._end(connection, self._now, EndReason.IDLE)

    def _end(self, connection: Connection, at: int, reason: EndReason) -> None:
        if connection.end_reason is not None:
            return
        while connection.waiting:
            self._force_oldest(connection)
        for side, direction in enumerate(connection.directions):
            if direction.state is DirectionState.FIN_SEEN:
                size = direction.distance(direction.fin_sequence)
                if size < HALF_SEQUENCE_SPACE:
                    self._skip(connection, side, at, size)
        connection.end_reason = reason
        self._listener.on_end(connection, at, reason)
        connection.decoder = None

    # One segment of an open connection.

    def _process_segment(self, connection: Connection, side: int, segment: Segment, at: int) -> None:
        direction = connection.directions[side]
        other = connection.directions[1 - side]
        flags = segment.flags
        sequence = segment.sequence
        if flags & SYN:
            sequence = direction.record_syn(sequence)
        ack = segment.ack if flags & ACK else UNKNOWN
        arrived = WaitingSegment(
            side, sequence, segment.payload, segment.missing_bytes, ack, at, connection.packet
        )
        has_bytes = bool(segment.payload) or segment.missing_bytes > 0
        if UNKNOWN in (direction.next_sequence, other.next_sequence):
            connection.infer_initial_sequences(arrived, has_bytes or bool(flags & FIN))
        if ack != UNKNOWN:
            other.acked_sequence = ack
        if flags & RST:
            self._end(connection, at, EndReason.RESET)
            return
        if has_bytes:
            self._process_payload(connection, arrived)
        elif connection.waiting:
            self._deliver_waiting(connection, at)
        if flags & FIN:
            direction.fin_sequence = (sequence + len(segment.payload) + segment.missing_bytes) & SEQUENCE_MASK
        if UNKNOWN not in (direction.fin_sequence, other.fin_sequence):
            self._end_if_complete(connection, at)

    def _process_payload(self, connection: Connection, segment: WaitingSegment) -> None:
        """Deliver the payload if it is next in order; otherwise let the segment wait."""
        side = segment.side
        if not connection.waiting and segment.sequence == connection.directions[side].next_sequence:
            acknowledged_next = connection.directions[1 - side].next_sequence
            if segment.ack in (UNKNOWN, acknowledged_next) or precedes(segment.ack, acknowledged_next):
                self._deliver(connection, side, segment.at, segment.payload, segment.missing_bytes)
                return
        self._wait(connection, segment)

    def _end_if_complete(self, connection: Connection, at: int) -> None:
        """End a connection whose two FINs were seen once all bytes before the FINs have been delivered."""
        if connection.waiting:
            return
        if all(direction.state is DirectionState.COMPLETE for direction in connection.directions):
            self._end(connection, at, EndReason.CLOSED)

    # Delivery.

    def _deliver(self, connection: Connection, side: int, at: int, payload: bytes, missing: int) -> None:
        direction = connection.directions[side]
        direction.next_sequence = (direction.next_sequence + len(payload) + missing) & SEQUENCE_MASK
        if payload:
            self._listener.on_data(connection, side, at, payload)
        if missing:
            self._report_gap(connection, side, at, missing)

    def _skip(self, connection: Connection, side: int, at: int, size: int) -> None:
        connection.directions[side].advance(size)
        self._report_gap(connection, side, at, size)

    def _report_gap(self, connection: Connection, side: int, at: int, size: int) -> None:
        self.counts.holes += 1
        self.counts.hole_bytes += size
        self._listener.on_gap(connection, side, at, size)

    # Waiting segments.

    def _wait(self, connection: Connection, segment: WaitingSegment) -> None:
        direction = connection.directions[segment.side]
        ahead = direction.missing_bytes_before(segment.sequence)
        if direction.has_delivered(segment):
            self.counts.sent_again += 1
            return
        if ahead > MAX_AHEAD_BYTES:
            self.counts.given_up_gap += 1
            return
        for other in connection.waiting:
            is_same = other.side == segment.side and other.sequence == segment.sequence
            if is_same and len(other.payload) >= len(segment.payload):
                self.counts.sent_again += 1
                return
        if ahead:
            self.counts.out_of_order += 1
        else:
            self.counts.held_for_order += 1
        connection.waiting.append(segment)
        connection.waiting_bytes += segment.held_bytes
        self.held_bytes += segment.held_bytes
        self._deliver_waiting(connection, segment.at)

    def _deliver_waiting(self, connection: Connection, at: int) -> None:
        """Deliver segments whose turn has come; force the oldest after a long wait or above a size limit."""
        while connection.waiting:
            deliverable = next((s for s in connection.waiting if connection.can_be_delivered(s)), None)
            if deliverable is not None:
                self._deliver_from_waiting(connection, deliverable)
                continue
            oldest = connection.waiting[0]
            if self._holds_too_much(connection):
                self.counts.given_up_gap += 1
            elif at - oldest.at < MAX_LATENESS_NS or not connection.awaits_lost_bytes(oldest):
                return
            self._force_oldest(connection)

    def _holds_too_much(self, connection: Connection) -> bool:
        if connection.waiting_bytes > self._limits.max_gap_bytes:
            return True
        return self.held_bytes > self._limits.max_total_gap_bytes

    def _force_oldest(self, connection: Connection) -> None:
        """Skip the gap before the oldest waiting segment, keeping the order in which the data was sent."""
        segment = connection.first_to_deliver_by_force()
        if size := connection.missing_acknowledged_bytes(segment):
            self._skip(connection, 1 - segment.side, segment.at, size)
        if ahead := connection.directions[segment.side].missing_bytes_before(segment.sequence):
            self._skip(connection, segment.side, segment.at, ahead)
        self._deliver_from_waiting(connection, segment)

    def _deliver_from_waiting(self, connection: Connection, segment: WaitingSegment) -> None:
        """Deliver the new bytes of a waiting segment, with the segment's own time and packet number."""
        connection.waiting.remove(segment)
        connection.waiting_bytes -= segment.held_bytes
        self.held_bytes -= segment.held_bytes
        connection.infer_initial_sequences(segment, has_bytes=True)
        direction = connection.directions[segment.side]
        seen = (direction.next_sequence - segment.sequence) & SEQUENCE_MASK
        size = len(segment.payload)
        packet_at_hand = connection.packet
        connection.packet = segment.packet
        if seen < size:
            self._deliver(connection, segment.side, segment.at, segment.payload[seen:], segment.missing_bytes)
        elif seen < size + segment.missing_bytes:
            self._deliver(connection, segment.side, segment.at, b"", size + segment.missing_bytes - seen)
        else:
            self.counts.sent_again += 1
        connection.packet = packet_at_hand
