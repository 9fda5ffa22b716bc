"""Encodes the bytes of connections as pcapng blocks. No I/O.

The file contains the bytes as transmitted or, if the recording hides values, as rewritten by `redaction.py`.
"""

from __future__ import annotations

from hashlib import blake2b

from gatebank.capture.segments import ACK
from gatebank.capture.writing import Conversation, interface_block, packet_block, section_block
from gatebank.recording.redaction import RedactedDirection, Redaction

INTERFACES = {"customer": 0, "node": 1}  # Interface number by side; in the order of `file_header`.
LEFT_OUT_COMMENT = "left out from here on: it can't be read, and may hold what is to be hidden"
SEQUENCE_MASK = 0xFFFFFFFF

# Address and port of the side that opened the connection, then of the side that accepted it.
ConnectionEnds = tuple[tuple[str, int], tuple[str, int]]


class ConnectionWriter:
    """Encodes one connection of a recording.

    The methods append blocks to ``blocks``: generators would double the cost, with thousands of calls per
    second. Times are nanoseconds of Unix time; side 0 opened the connection, side 1 accepted it.

    Args:
        ends: Addresses of the side that opened the connection and of the side that accepted it.
        number: The connection's number, unique within the recording.
        side: "customer" for a client's connection, "node" for a connection to an endpoint.
        redaction: Which values are hidden.
    """

    def __init__(self, ends: ConnectionEnds, number: int, side: str, redaction: Redaction) -> None:
        seed = blake2b(repr((ends, number)).encode(), digest_size=8).digest()
        first_sequences = (int.from_bytes(seed[:4], "big"), int.from_bytes(seed[4:], "big"))
        self._conversation = Conversation(ends, first_sequences)
        self._interface = INTERFACES[side]
        self._redacted: tuple[RedactedDirection, RedactedDirection] | None = None
        if not redaction.hides_nothing:
            self._redacted = (RedactedDirection(redaction, True), RedactedDirection(redaction, False))

    def write_open(self, blocks: list[bytes], at: int) -> None:
        """Append the opening of the connection."""
        self._write(blocks, at, self._conversation.open())

    def write_data(self, blocks: list[bytes], side: int, at: int, data: bytes, comment: str) -> None:
        """Append the bytes that ``side`` sent; the comment is attached to the last packet."""
        if self._redacted is not None:
            direction = self._redacted[side]
            was_left_out = direction.is_left_out
            data = direction.redact(data)
            if direction.is_left_out and not was_left_out:
                self._write_comment(blocks, side, at, LEFT_OUT_COMMENT)
        if data:
            self._write(blocks, at, self._conversation.send(side, data), comment)
        elif comment:
            self._write_comment(blocks, side, at, comment)

    def write_gap(self, blocks: list[bytes], missing: tuple[int, int], at: int) -> None:
        """Note the number of unrecorded bytes of each direction and advance the sequence numbers by it."""
        sequences = self._conversation.sequences
        for side, size in enumerate(missing):
            if not size:
                continue
            sequences[side] = (sequences[side] + size) & SEQUENCE_MASK
            if self._redacted is not None:
                self._redacted[side].leave_out()
            self._write_comment(blocks, side, at, f"{size} bytes before this were not recorded")

    def write_close(self, blocks: list[bytes], side: int, at: int, abrupt: bool, comment: str) -> None:
        """Append the end of the connection by ``side``; ``abrupt`` means by a reset."""
        self._write(blocks, at, self._conversation.close(side, abrupt), comment)

    def _write(self, blocks: list[bytes], at: int, packets: list[bytes], comment: str = "") -> None:
        """Append packets with the same timestamp; the comment is attached to the last packet."""
        for packet in packets[:-1]:
            blocks.append(packet_block(self._interface, at, packet))
        blocks.append(packet_block(self._interface, at, packets[-1], None, comment))

    def _write_comment(self, blocks: list[bytes], side: int, at: int, comment: str) -> None:
        """Append a comment, attached to an acknowledgement without data."""
        self._write(blocks, at, [self._conversation.segment(side, ACK)], comment)


def file_header(name: str) -> bytes:
    """Return the first blocks of a file: one interface per side; readers identify the side by its name."""
    return section_block(f"marshal {name}") + interface_block("customers") + interface_block("nodes")
