"""Errors of reading captures. Each has its facts as attributes; the text is made here."""

from __future__ import annotations

from gatebank.errors import GatebankError


class CaptureError(GatebankError):
    """Base class of errors in captures and in what is asked of them."""


class CaptureFormatError(CaptureError):
    """A capture file can't be read on from some point; what came before it stands.

    Attributes:
        reason: What is wrong, in the words that users see; also the text of the error.
        offset: Where the block begins that could not be read, in bytes of the uncompressed file; None if that
            is not known.
        file: The file's name; empty where bytes were fed without one.
    """

    def __init__(self, reason: str, offset: int | None = None, file: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.offset = offset
        self.file = file


class TimestampError(CaptureError, ValueError):
    """A time that a user gave is in no known form.

    Attributes:
        value: The text that was given.
    """

    def __init__(self, value: str) -> None:
        super().__init__(f"{value!r} is no time: give seconds of Unix time, or 2026-11-24T14:00:00")
        self.value = value


class IpVersionMismatchError(CaptureError, ValueError):
    """The two ends of a conversation to be written have addresses of different IP versions."""

    def __init__(self) -> None:
        super().__init__("both ends of a conversation speak one version of IP")
