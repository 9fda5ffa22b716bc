"""Limits on the memory and the waiting times of reading a capture."""

from __future__ import annotations

from dataclasses import dataclass

MIB = 1 << 20  # Bytes in a mebibyte.


@dataclass(slots=True, frozen=True)
class ReadingLimits:
    """Limits of reading one capture. Sizes are in bytes, times in seconds of the capture's clock.

    Attributes:
        max_block_bytes: Size of one block or packet of the file. The largest snap lengths in use are 256 KiB.
        max_connections: Number of connections tracked at once. Beyond this number the least recently active
            connection is given up.
        max_gap_bytes: Bytes of one connection that wait for missing earlier bytes; the size of a TCP window.
        max_total_gap_bytes: Bytes of all connections together that wait for missing earlier bytes.
        idle_timeout: Time without packets after which a connection is given up.
        response_grace: Time after a command's deadline during which its response is still awaited.
        max_message_bytes: Size of one command or response. The protocol allows values of 64 KiB; larger
            values occur.
        max_total_message_bytes: Size of all incomplete messages together.
        max_fragment_bytes: Size of all fragments of incomplete IP datagrams together.
        max_pipelined_commands: Number of commands of one connection that have no response yet.
        max_clock_step: A packet that is later than all earlier packets by this time or more does not advance
            the clock by which connections become idle, since its timestamp may be wrong.
    """

    max_block_bytes: int = 16 * MIB
    max_connections: int = 10_000
    max_gap_bytes: int = 1 * MIB
    max_total_gap_bytes: int = 32 * MIB
    idle_timeout: float = 300.0
    response_grace: float = 60.0
    max_message_bytes: int = 8 * MIB
    max_total_message_bytes: int = 48 * MIB
    max_fragment_bytes: int = 4 * MIB
    max_pipelined_commands: int = 4096
    max_clock_step: float = 3600.0
