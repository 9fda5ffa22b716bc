"""`target(...)` in the operators' file, whose field names it has: where a replay may send, and what."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar

import msgspec

from gatebank.operator_config.sections import Section
from gatebank.proxy.configuration import ConfigurationError, parse_address


class Target(Section, kw_only=True, frozen=True):
    """One address that a replay may reach. What no such section names is never sent to.

    Attributes:
        address: An instance's; for a replay inside, that of discovery, whose endpoint list is used.
        rehearsal: Nothing that counts runs there: requests with an effect may go, once each.
        keeps_tickets: Its endpoints may see recorded idempotency keys; otherwise each gets a new one.
        live_rerunnable: Idempotent requests may go even where the capture shows this address in service.
        most_per_second: Requests a second; what is beyond it is not offered.
    """

    section: ClassVar[str] = "target"

    address: str
    rehearsal: bool = False
    keeps_tickets: bool = False
    live_rerunnable: bool = False
    most_per_second: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 10_000.0

    def check(self) -> Iterator[tuple[str, str]]:
        """Fields that do not go together, and why."""
        try:
            parse_address(self.address, "address")
        except ConfigurationError as error:
            yield "address", error.reason
        if self.keeps_tickets and not self.rehearsal:
            yield "keeps_tickets", "only a rehearsal target gets ticketed invocations: rehearsal is not set"
        if self.rehearsal and self.live_rerunnable:
            yield "live_rerunnable", "an address in service is no rehearsal target"
