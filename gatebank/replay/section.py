"""The `target(...)` section of the operators' file: a permitted target of replays and its restrictions."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar

import msgspec

from gatebank.operator_config.sections import Section
from gatebank.proxy.configuration import ConfigurationError, parse_address


class Target(Section, kw_only=True, frozen=True):
    """An address that a replay may send to; nothing is sent to addresses without such a section.

    Attributes:
        address: The address of an instance; for a replay with `--inside`, the address of the discovery
            service whose endpoint list is used.
        rehearsal: Whether effects at the target do not matter; requests with an effect may then be sent, each
            at most once.
        keeps_tickets: Whether recorded idempotency keys are sent; otherwise each is replaced by a new key.
        live_rerunnable: Whether idempotent requests may be sent if the capture shows the address in service.
        most_per_second: Maximum requests per second; further requests are not offered.
    """

    section: ClassVar[str] = "target"

    address: str
    rehearsal: bool = False
    keeps_tickets: bool = False
    live_rerunnable: bool = False
    most_per_second: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 10_000.0

    def check(self) -> Iterator[tuple[str, str]]:
        """Yield each invalid field, or field inconsistent with another field, with the reason."""
        try:
            parse_address(self.address, "address")
        except ConfigurationError as error:
            yield "address", error.reason
        if self.keeps_tickets and not self.rehearsal:
            yield (
                "keeps_tickets",
                "only a rehearsal target gets requests with idempotency keys: rehearsal is not set",
            )
        if self.rehearsal and self.live_rerunnable:
            yield "live_rerunnable", "a rehearsal target cannot be an address in service"
