"""Errors of replays: each means that nothing may be sent."""

from __future__ import annotations

from pathlib import Path

from gatebank.errors import GatebankError


class ReplayError(GatebankError):
    """Base class of errors for which nothing may be sent."""


class TargetRefusedError(ReplayError):
    """Nothing at all may be sent to this target.

    Attributes:
        target: Its address.
        reason: Why not, in the words that users see; also the text of the error.
    """

    def __init__(self, target: str, reason: str) -> None:
        super().__init__(reason)
        self.target = target
        self.reason = reason


class LedgerDamagedError(ReplayError):
    """A ledger's bytes can't be relied on.

    Attributes:
        reason: What is wrong with them, and where.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class LedgerError(ReplayError):
    """A ledger can't be read or written.

    Attributes:
        path: The ledger's folder, or its file.
        reason: Why not.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"ledger {path}: {reason}")
        self.path = path
        self.reason = reason
