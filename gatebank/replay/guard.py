"""May this invocation leave the program? No I/O, no memory of its own beside the ledger's book.

Nothing goes to a target that no section names. One with an effect goes only to a rehearsal target that the
capture does not show in service, only whole, and only if no name of it stands in the ledger.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from gatebank.capture.records import Exchange
from gatebank.events import RetrySafety
from gatebank.proxy.configuration import Address, address
from gatebank.replay.identity import names
from gatebank.replay.section import Target


class Book(Protocol):
    """What the guard asks of a ledger."""

    def holds(self, name: bytes) -> str | None: ...


def normal(told: str) -> str:
    """An address as captures write it.

    >>> normal("127.0.0.1:6379"), normal("[0:0::1]:80")
    ('127.0.0.1:6379', '[::1]:80')
    """
    return written(address(told, "address"))


def written(where: Address) -> str:
    """
    >>> written(("127.0.0.1", 80)), written(("::1", 80))
    ('127.0.0.1:80', '[::1]:80')
    """
    host, port = where
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Refused(Exception):
    """Nothing may be sent there at all; the text says why."""


@dataclass(slots=True, frozen=True)
class Verdict:
    """``withheld`` says why not; ``names`` must be entered before the first byte is sent."""

    withheld: str = ""
    names: tuple[bytes, ...] = ()


class Guard:
    """``live``: addresses that the capture shows in service, as servers."""

    def __init__(self, targets: Collection[Target], where: str, live: Collection[str]) -> None:
        self.target = next((each for each in targets if normal(each.address) == normal(where)), None)
        if self.target is None:
            named = ", ".join(sorted(each.address for each in targets)) or "none"
            raise Refused(f"{where} is not named as a target in the operators' file (named: {named})")
        self.live = normal(where) in live
        if self.live and not self.target.live_rerunnable:
            raise Refused(
                f"the capture shows live traffic to {where}: nothing is sent there, unless its target says"
                " live_rerunnable = True, for rerunnable invocations"
            )

    def verdict(self, exchange: Exchange, book: Book) -> Verdict:
        if not exchange.command_is_complete or len(exchange.arguments) < 4:
            return Verdict("not_whole")
        if exchange.retry_safety is RetrySafety.IDEMPOTENT:
            return Verdict()
        if not self.target.rehearsal:
            return Verdict("no_rehearsal_target")
        if self.live:
            return Verdict("live_target")
        if exchange.body is None:
            return Verdict("no_body")
        found = tuple(names(exchange))
        for name in found:
            if how := book.holds(name):
                return Verdict(f"ledger_{how}")
        return Verdict(names=found)
