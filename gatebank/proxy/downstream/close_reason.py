"""Why a client connection was closed, for the log and the counters of the status line."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Reason of a close; the values are the words of ``event=client_closed`` and of the counters."""

    DISCONNECTED = "disconnected"  # The client ended the connection.
    IDLE = "idle"  # No command for the idle timeout.
    SURPLUS = "surplus"  # One of the least recently used beyond a third of the allowed connections.
    MAKE_ROOM = "make_room"  # A new connection needed the descriptor.
    ERROR_SENT = "error_sent"  # The error line that ends the connection was sent.
    WRITE_FAILED = "write_failed"  # The system reported an error for a write.
    WRITE_STALLED = "write_stalled"  # The client accepted no byte of its replies in time.
    UNWRITTEN_BYTES = "unwritten_bytes"  # Too many reply bytes were not taken by clients.
    NOT_READ = "not_read"  # Reading ended, as SIGKILL may come soon.
    SHUTDOWN = "shutdown"  # Graceful shutdown, or the end of the process.
