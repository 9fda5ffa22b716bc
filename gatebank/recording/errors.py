"""Errors of recordings."""

from __future__ import annotations

from pathlib import Path

from gatebank.errors import GatebankError


class RecordingError(GatebankError):
    """A recording cannot start as configured in the operators' file.

    Attributes:
        field: The field of the operators' file that names the path.
        path: The file or folder with the problem.
        reason: A description of the problem.
    """

    def __init__(self, field: str, path: Path, reason: str) -> None:
        super().__init__(f"recording: {field} {path}: {reason}")
        self.field = field
        self.path = path
        self.reason = reason
