"""Whether a request may leave the program. No I/O, no memory of its own beside the ledger's book.

Nothing goes to a target that no section names. A request with an effect goes only to a rehearsal target that
the capture does not show in service, only whole, and only if the ledger holds none of its names.
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
    """Why a request is not sent; the values stand in reports."""

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
    """What the guard asks of a ledger."""

    def state_of(self, name: bytes) -> NameState | None:
        """What the ledger holds of a name; None if it may be sent."""
        ...


class EmptyLedger:
    """Stands for a ledger where there is none."""

    def state_of(self, name: bytes) -> NameState | None:
        """See `LedgerView.state_of`."""
        return None


@dataclass(slots=True, frozen=True)
class Verdict:
    """What the guard says of a request.

    Attributes:
        withheld: Why it is not sent; None if it may be.
        names: Names that must be in the ledger before the first byte is sent.
    """

    withheld: WithheldReason | None = None
    names: tuple[bytes, ...] = ()


def normalize_address(text: str) -> str:
    """An address as captures write it.

    >>> normalize_address("127.0.0.1:6379"), normalize_address("[0:0::1]:80")
    ('127.0.0.1:6379', '[::1]:80')
    """
    return address_text(parse_address(text, "address"))


def address_text(host_and_port: Address) -> str:
    """A parsed address as captures write it.

    >>> address_text(("127.0.0.1", 80)), address_text(("::1", 80))
    ('127.0.0.1:80', '[::1]:80')
    """
    host, port = host_and_port
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Guard:
    """Decides for one target.

    Args:
        targets: All targets that the operators' file names.
        target: The address to send to.
        live: Addresses that the capture shows in service, as servers.

    Attributes:
        target: The section that names the address.

    Raises:
        TargetRefusedError: Nothing may be sent there at all.
    """

    def __init__(self, targets: Collection[Target], target: str, live: Collection[str]) -> None:
        address_to_reach = normalize_address(target)
        matching = (each for each in targets if normalize_address(each.address) == address_to_reach)
        section = next(matching, None)
        if section is None:
            named = ", ".join(sorted(each.address for each in targets)) or "none"
            reason = f"{target} is not named as a target in the operators' file (named: {named})"
            raise TargetRefusedError(target, reason)
        self.target = section
        self._is_live = address_to_reach in live
        if self._is_live and not section.live_rerunnable:
            reason = (
                f"the capture shows live traffic to {target}: nothing is sent there, unless its target says"
                " live_rerunnable = True, for rerunnable invocations"
            )
            raise TargetRefusedError(target, reason)

    def verdict(self, exchange: Exchange, ledger: LedgerView) -> Verdict:
        """Whether a recorded request may be sent."""
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
        """Why a request with an effect is not sent, whatever the ledger holds."""
        if not self.target.rehearsal:
            return WithheldReason.NO_REHEARSAL_TARGET
        if self._is_live:
            return WithheldReason.LIVE_TARGET
        if exchange.body is None:
            return WithheldReason.NO_BODY
        return None
