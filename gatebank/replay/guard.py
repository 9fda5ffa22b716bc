"""Decides whether a request may be sent. No I/O, and no state except the ledger's contents.

Nothing is sent to a target without a `target(...)` section. A request with an effect is sent only to a
rehearsal target that the capture does not show in service, only if the request was captured completely, and
only if the ledger contains none of its names.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from gatebank.capture.records import BODY, Exchange
from gatebank.events import RetrySafety
from gatebank.proxy.configuration import Address, parse_address
from gatebank.replay.entries import NameState
from gatebank.replay.errors import TargetRefusedError
from gatebank.replay.identity import request_names
from gatebank.replay.section import Target


class WithheldReason(StrEnum):
    """Reason why a request is not sent; the values appear in reports."""

    NOT_WHOLE = "not_whole"
    NO_REHEARSAL_TARGET = "no_rehearsal_target"
    LIVE_TARGET = "live_target"
    NO_BODY = "no_body"
    NO_LEDGER = "no_ledger"
    LEDGER_REPLAYED = "ledger_replayed"
    LEDGER_UNSURE = "ledger_unsure"


LEDGER_REASONS = {
    NameState.REPLAYED: WithheldReason.LEDGER_REPLAYED,
    NameState.UNSURE: WithheldReason.LEDGER_UNSURE,
}


class LedgerView(Protocol):
    """The ledger as the guard uses it."""

    def state_of(self, name: bytes) -> NameState | None:
        """Return the ledger state of a name; None if its request may be sent."""
        ...


class EmptyLedger:
    """Ledger view without entries, used if there is no ledger."""

    def state_of(self, name: bytes) -> NameState | None:
        """See `LedgerView.state_of`."""
        return None


@dataclass(slots=True, frozen=True)
class Verdict:
    """Decision of the guard on a request.

    Attributes:
        withheld: The reason why the request is not sent; None if it may be sent.
        names: Names that must be in the ledger before the first byte is sent.
    """

    withheld: WithheldReason | None = None
    names: tuple[bytes, ...] = ()


def normalize_address(text: str) -> str:
    """Parse an address and return it in the form used in captures.

    >>> normalize_address("127.0.0.1:6379"), normalize_address("[0:0::1]:80")
    ('127.0.0.1:6379', '[::1]:80')
    """
    return address_text(parse_address(text, "address"))


def address_text(host_and_port: Address) -> str:
    """Format a parsed address as in captures.

    >>> address_text(("127.0.0.1", 80)), address_text(("::1", 80))
    ('127.0.0.1:80', '[::1]:80')
    """
    host, port = host_and_port
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Guard:
    """Decides which requests may be sent to one target.

    Args:
        targets: All `target(...)` sections of the operators' file.
        target: The address to send to.
        live: Addresses that served requests in the capture.

    Attributes:
        target: The `target(...)` section of the address.

    Raises:
        TargetRefusedError: No request may be sent to this address.
    """

    def __init__(self, targets: Collection[Target], target: str, live: Collection[str]) -> None:
        address_to_reach = normalize_address(target)
        matching = (entry for entry in targets if normalize_address(entry.address) == address_to_reach)
        section = next(matching, None)
        if section is None:
            named = ", ".join(sorted(entry.address for entry in targets)) or "none"
            reason = f"{target} is not named as a target in the operators' file (named: {named})"
            raise TargetRefusedError(target, reason)
        self.target = section
        self._is_live = address_to_reach in live
        if self._is_live and not section.live_rerunnable:
            reason = (
                f"the capture shows live traffic to {target}: nothing is sent there, unless its target says"
                " live_rerunnable = True, for idempotent requests"
            )
            raise TargetRefusedError(target, reason)

    def verdict(self, exchange: Exchange, ledger: LedgerView) -> Verdict:
        """Decide whether a recorded request may be sent."""
        if not exchange.command_is_complete or len(exchange.arguments) < BODY:
            return Verdict(WithheldReason.NOT_WHOLE)
        if exchange.retry_safety is RetrySafety.IDEMPOTENT:
            return Verdict()
        if reason := self._reason_against_effects(exchange):
            return Verdict(reason)
        names = tuple(request_names(exchange))
        for name in names:
            if state := ledger.state_of(name):
                return Verdict(LEDGER_REASONS[state])
        return Verdict(names=names)

    def _reason_against_effects(self, exchange: Exchange) -> WithheldReason | None:
        """Return why a request with an effect is withheld regardless of the ledger; None if it is not."""
        if not self.target.rehearsal:
            return WithheldReason.NO_REHEARSAL_TARGET
        if self._is_live:
            return WithheldReason.LIVE_TARGET
        if exchange.body is None:
            return WithheldReason.NO_BODY
        return None
