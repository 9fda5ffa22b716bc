"""Limits on what reading a capture holds in memory and waits for."""

from __future__ import annotations

from dataclasses import dataclass

MIB = 1 << 20  # bytes


@dataclass(slots=True, frozen=True)
class ReadingLimits:
    """Limits of one reading. Sizes are in bytes, times in seconds of the capture's own clock.

    Attributes:
        max_block_bytes: One block or packet of the file. The largest snap lengths in use are 256 KiB.
        max_connections: Connections followed at once. Beyond it the least recently active is given up.
        max_gap_bytes: Bytes of one connection that wait while bytes before them are missing; a TCP window.
        max_total_gap_bytes: The same, of all connections together.
        idle_timeout: A connection without packets for so long is given up.
        response_grace: How long beyond its deadline a response is waited for.
        max_message_bytes: One command or response. The protocol allows values of 64 KiB; larger ones occur.
        max_total_message_bytes: All messages that are not complete yet, together.
        max_fragment_bytes: Fragments of IP datagrams that are not complete yet, together.
        max_pipelined_commands: Commands of one connection without their response.
        max_clock_step: A packet that is so much later than all before it does not move the clock by which
            connections become idle: its timestamp may be wrong.
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
