"""`target(...)`: where a replay may send, and what."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar

import msgspec

from gatebank.operator_config.sections import Section
from gatebank.proxy.configuration import ConfigurationError, address


class Target(Section, kw_only=True, frozen=True):
    """One address that a replay may reach. What no such section names is never sent to."""

    section: ClassVar[str] = "target"

    # A marshal's; for a replay inside, discovery's, whose roll names the nodes.
    address: str
    # Nothing that counts runs there: exclusive and ticketed invocations may go, once each.
    rehearsal: bool = False
    # Its nodes may know recorded tickets; else each gets a new one.
    keeps_tickets: bool = False
    # Rerunnable ones may go even where the capture shows this address in service.
    live_rerunnable: bool = False
    # Invocations a second at the most; what is beyond it is not offered.
    most_per_second: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 10_000.0

    def check(self) -> Iterator[tuple[str, str]]:
        try:
            address(self.address, "address")
        except ConfigurationError as trouble:
            yield "address", trouble.reason
        if self.keeps_tickets and not self.rehearsal:
            yield "keeps_tickets", "only a rehearsal target gets ticketed invocations: rehearsal is not set"
        if self.rehearsal and self.live_rerunnable:
            yield "live_rerunnable", "an address in service is no rehearsal target"
