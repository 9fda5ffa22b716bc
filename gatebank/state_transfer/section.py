"""The `learning(...)` section of the operators' file: sources, receivers, snapshots and limits."""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import ip_address
from typing import Annotated, ClassVar

import msgspec
from msgspec import field

from gatebank.operator_config.sections import Section
from gatebank.proxy.configuration import ConfigurationError, parse_address
from gatebank.state_transfer.weighting import HalfLives

# Seconds, up to one day.
HalfLife = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Addresses = Annotated[list[str], msgspec.Meta(max_length=1024)]
CertificateNames = Annotated[list[str], msgspec.Meta(max_length=1024)]


class StateTransferSection(Section, kw_only=True, frozen=True):
    """The settings of state transfer; without this section, state transfer is off.

    Relative paths begin at the folder of the operators' file. The file uses the setting names of
    docs/learning-oncall.md; `msgspec.field(name=...)` maps them to attributes with other names.

    Attributes:
        listen: Address at which the instance listens as a source; None if the instance is only a receiver.
        sources: Addresses of the sources to ask; the instance's own address may be among them.
        source_names: Accepted names in the certificates of sources.
        receiver_names: Accepted names in the certificates of receivers.
        plain: Whether connections have no TLS; allowed on loopback addresses only.
        patience: Maximum seconds for which a starting instance waits for sources before it serves clients.
            Items that arrive later are merged while it serves.
        max_attempts: Maximum number of attempts at all sources together.
        max_receivers: Maximum number of receivers that a source serves at the same time.
        receivers_per_second: Maximum rate of new receivers that a source serves.
        bytes_per_second: Maximum rate at which a source sends to all receivers together.
        snapshot_folder: Folder of the snapshots; None to write no snapshots.
        snapshot_interval: Seconds between two snapshots.
        max_snapshot_age: Seconds after which a snapshot is not used.
        half_life_healthy: Half-life in seconds, like the following settings; see `weighting.HalfLives`.
    """

    section: ClassVar[str] = "learning"
    once: ClassVar[bool] = True

    listen: str | None = None
    sources: Addresses = field(default_factory=list, name="donors")
    source_names: CertificateNames = field(default_factory=list, name="may_teach")
    receiver_names: CertificateNames = field(default_factory=list, name="may_learn")
    plain: bool = False
    patience: Annotated[float, msgspec.Meta(ge=0, le=30)] = 0.5
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=1000)] = field(default=12, name="attempts")
    max_receivers: Annotated[int, msgspec.Meta(ge=1, le=64)] = field(default=4, name="at_once")
    receivers_per_second: Annotated[float, msgspec.Meta(gt=0, le=1000)] = field(default=8.0, name="a_second")
    bytes_per_second: Annotated[float, msgspec.Meta(ge=10_000, le=1e9)] = field(
        default=4e6, name="bytes_a_second"
    )
    snapshot_folder: str | None = field(default=None, name="snapshots")
    snapshot_interval: Annotated[float, msgspec.Meta(ge=0.2, le=3600)] = field(
        default=5.0, name="snapshot_every"
    )
    max_snapshot_age: HalfLife = field(default=600.0, name="snapshot_age")
    half_life_healthy: HalfLife = field(default=HalfLives().healthy_endpoint, name="half_life_well")
    half_life_failing: HalfLife = field(default=HalfLives().failing_endpoint, name="half_life_sick")
    half_life_latency_ratio: HalfLife = field(default=HalfLives().latency_ratio, name="half_life_slow")
    half_life_usual_latency: HalfLife = field(default=HalfLives().usual_latency, name="half_life_times")
    half_life_baseline: HalfLife = field(default=HalfLives().baseline_failures, name="half_life_past")
    half_life_sums: HalfLife = HalfLives().test_sums

    @property
    def half_lives(self) -> HalfLives:
        """The half-lives of all kinds of items."""
        return HalfLives(
            healthy_endpoint=self.half_life_healthy,
            failing_endpoint=self.half_life_failing,
            latency_ratio=self.half_life_latency_ratio,
            usual_latency=self.half_life_usual_latency,
            baseline_failures=self.half_life_baseline,
            test_sums=self.half_life_sums,
        )

    def check(self) -> Iterator[tuple[str, str]]:
        """Yields the errors as pairs of the setting's name in the file and the reason."""
        yield from self.check_addresses("listen", [self.listen] if self.listen else [])
        yield from self.check_addresses("donors", self.sources)
        if len(set(self.sources)) < len(self.sources):
            yield "donors", "contains an address twice"
        if not self.plain and self.sources and not self.source_names:
            yield "may_teach", "names in the donors' certificates are needed"
        if not self.plain and self.listen and not self.receiver_names:
            yield "may_learn", "names in the learners' certificates are needed"
        if not (self.listen or self.sources or self.snapshot_folder):
            yield "donors", "nothing to learn from, nobody to teach and no snapshots"
        if self.half_life_healthy > self.half_life_failing:
            yield "half_life_well", f"good news ages faster than bad: at most {self.half_life_failing:g}"

    def check_addresses(self, name: str, addresses: list[str]) -> Iterator[tuple[str, str]]:
        """Yields errors for the addresses of a setting that are invalid, or not allowed without TLS."""
        for text in addresses:
            try:
                host, _ = parse_address(text, name)
            except ConfigurationError as error:
                yield name, error.reason
                continue
            if self.plain and not ip_address(host).is_loopback:
                yield (
                    "plain",
                    f"{text} is not a loopback address; connections without TLS are allowed only on loopback",
                )
