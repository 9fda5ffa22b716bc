"""Exceptions of reading and writing captures, with their details as attributes."""

from __future__ import annotations

from gatebank.errors import GatebankError


class CaptureError(GatebankError):
    """Base class of errors in captures and in requests to read or write captures."""


class CaptureFormatError(CaptureError):
    """A capture file is unreadable from some offset on; everything read before that offset remains valid.

    Attributes:
        reason: The fault as shown to users; also the text of the exception.
        offset: Offset of the unreadable block in bytes of the uncompressed file; None if unknown.
        file: The file's name; empty if the data was fed without a name.
    """

    def __init__(self, reason: str, offset: int | None = None, file: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.offset = offset
        self.file = file


class TimestampError(CaptureError, ValueError):
    """A time that a user entered is in no known format.

    Attributes:
        value: The text that the user entered.
    """

    def __init__(self, value: str) -> None:
        super().__init__(
            f"{value!r} is not a time: enter seconds of Unix time, or for example 2026-11-24T14:00:00"
        )
        self.value = value


class IpVersionMismatchError(CaptureError, ValueError):
    """The two addresses of a connection to be written are of different IP versions."""

    def __init__(self) -> None:
        super().__init__("both addresses of a connection must be of the same IP version")
