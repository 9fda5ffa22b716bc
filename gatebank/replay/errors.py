"""Errors of replays; after any of them nothing may be sent."""

from __future__ import annotations

from pathlib import Path

from gatebank.errors import GatebankError


class ReplayError(GatebankError):
    """Base class of errors after which nothing may be sent."""


class TargetRefusedError(ReplayError):
    """No request may be sent to this target.

    Attributes:
        target: The target's address.
        reason: The reason shown to users; also the text of the error.
    """

    def __init__(self, target: str, reason: str) -> None:
        super().__init__(reason)
        self.target = target
        self.reason = reason


class LedgerDamagedError(ReplayError):
    """The bytes of a ledger are damaged.

    Attributes:
        reason: The kind and position of the damage.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class LedgerError(ReplayError):
    """A ledger cannot be read or written.

    Attributes:
        path: The ledger's folder or file.
        reason: The cause of the error.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"ledger {path}: {reason}")
        self.path = path
        self.reason = reason
