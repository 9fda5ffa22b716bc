"""`learning(...)`: whom a marshal teaches, from whom it learns, and within which bounds."""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import ip_address
from typing import Annotated, ClassVar

import msgspec

from gatebank.operator_config.sections import Section
from gatebank.proxy.configuration import ConfigurationError, address

Positive = Annotated[float, msgspec.Meta(gt=0, le=86400)]


class LearningOrders(Section, kw_only=True, frozen=True):
    """Off without it. Times in seconds; relative paths begin at the operators' file's own folder."""

    section: ClassVar[str] = "learning"
    once: ClassVar[bool] = True

    # Where it teaches; a listener of its own. Without it, it only learns.
    listen: str | None = None
    # Whom it asks, and the names in their certificates; itself may stand among them.
    donors: Annotated[list[str], msgspec.Meta(max_length=1024)] = msgspec.field(default_factory=list)
    may_teach: Annotated[list[str], msgspec.Meta(max_length=1024)] = msgspec.field(default_factory=list)
    # Names in certificates of those that it teaches.
    may_learn: Annotated[list[str], msgspec.Meta(max_length=1024)] = msgspec.field(default_factory=list)
    # Without TLS; on loopback addresses only.
    plain: bool = False
    # How long a start waits for donors before it serves; what comes later is merged under way.
    patience: Annotated[float, msgspec.Meta(ge=0, le=30)] = 0.5
    # Attempts at donors, all together.
    attempts: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 12
    # What a donor gives: learners at once and a second, bytes a second.
    at_once: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    a_second: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 8.0
    bytes_a_second: Annotated[float, msgspec.Meta(ge=10_000, le=1e9)] = 4e6
    # Where what is known is kept too, how often it is written, and how old it may be to be believed.
    snapshots: str | None = None
    snapshot_every: Annotated[float, msgspec.Meta(ge=0.2, le=3600)] = 5.0
    snapshot_age: Positive = 600.0
    # Half-lives; learning/weighing.py says what of.
    half_life_well: Positive = 4.0
    half_life_sick: Positive = 16.0
    half_life_slow: Positive = 8.0
    half_life_times: Positive = 256.0
    half_life_past: Positive = 128.0
    half_life_sums: Positive = 64.0

    def check(self) -> Iterator[tuple[str, str]]:
        for name, told in [("listen", [self.listen] if self.listen else []), ("donors", self.donors)]:
            for each in told:
                try:
                    host, _ = address(each, name)
                except ConfigurationError as trouble:
                    yield name, trouble.reason
                    continue
                if self.plain and not ip_address(host).is_loopback:
                    yield "plain", f"{each} is no loopback address: only there a link goes without TLS"
        if len(set(self.donors)) < len(self.donors):
            yield "donors", "names one twice"
        if not self.plain and self.donors and not self.may_teach:
            yield "may_teach", "names in the donors' certificates are needed"
        if not self.plain and self.listen and not self.may_learn:
            yield "may_learn", "names in the learners' certificates are needed"
        if not (self.listen or self.donors or self.snapshots):
            yield "donors", "nothing to learn from, nobody to teach and no snapshots"
        if self.half_life_well > self.half_life_sick:
            yield "half_life_well", f"good news ages faster than bad: at most {self.half_life_sick:g}"
