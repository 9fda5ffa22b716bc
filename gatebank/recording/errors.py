"""Errors of recordings."""

from __future__ import annotations

from pathlib import Path

from gatebank.errors import GatebankError


class RecordingError(GatebankError):
    """A recording can't begin as the operators' file asks.

    Attributes:
        field: The field of the operators' file that names the path.
        path: The file or folder that is at fault.
        reason: What is wrong with it.
    """

    def __init__(self, field: str, path: Path, reason: str) -> None:
        super().__init__(f"recording: {field} {path}: {reason}")
        self.field = field
        self.path = path
        self.reason = reason
