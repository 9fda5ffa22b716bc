"""What connections carried as pcapng blocks. No I/O.

Bytes stand in the file as they were, or as `redaction.py` writes them where something is hidden.
"""

from __future__ import annotations

from hashlib import blake2b

from gatebank.capture.segments import ACK
from gatebank.capture.writing import Conversation, interface_block, packet_block, section_block
from gatebank.recording.redaction import RedactedDirection, Redaction

INTERFACES = {"customer": 0, "node": 1}  # by an instance's side, in the order that `file_header` gives them
LEFT_OUT_COMMENT = "left out from here on: it can't be read, and may hold what is to be hidden"
SEQUENCE_MASK = 0xFFFFFFFF

ConnectionEnds = tuple[tuple[str, int], tuple[str, int]]  # address and port of who opened it, of who accepted


class ConnectionWriter:
    """A connection in a recording.

    Its methods append blocks to ``blocks``: generators cost as much again, for each of thousands a second.
    Times are ns of Unix time; side 0 is who opened the connection, side 1 who accepted it.

    Args:
        ends: Who opened the connection, and who accepted it.
        number: A number that no other connection of the recording has.
        side: The instance's side: "customer" or "node".
        redaction: What is hidden.
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
        """The connection was opened."""
        self._write(blocks, at, self._conversation.open())

    def write_data(self, blocks: list[bytes], side: int, at: int, data: bytes, comment: str) -> None:
        """One side sent these bytes."""
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
        """So many bytes of each direction were not recorded: numbers go on as if they had been."""
        sequences = self._conversation.sequences
        for side, size in enumerate(missing):
            if not size:
                continue
            sequences[side] = (sequences[side] + size) & SEQUENCE_MASK
            if self._redacted is not None:
                self._redacted[side].leave_out()
            self._write_comment(blocks, side, at, f"{size} bytes before this were not recorded")

    def write_close(self, blocks: list[bytes], side: int, at: int, abrupt: bool, comment: str) -> None:
        """One side ended the connection."""
        self._write(blocks, at, self._conversation.close(side, abrupt), comment)

    def _write(self, blocks: list[bytes], at: int, packets: list[bytes], comment: str = "") -> None:
        """Packets of one moment; the comment stands on the last."""
        for packet in packets[:-1]:
            blocks.append(packet_block(self._interface, at, packet))
        blocks.append(packet_block(self._interface, at, packets[-1], None, comment))

    def _write_comment(self, blocks: list[bytes], side: int, at: int, comment: str) -> None:
        """A comment on an acknowledgement that carries nothing."""
        self._write(blocks, at, [self._conversation.segment(side, ACK)], comment)


def file_header(name: str) -> bytes:
    """A file's first blocks: one interface for each side, by whose name reading knows it."""
    return section_block(f"marshal {name}") + interface_block("customers") + interface_block("nodes")
