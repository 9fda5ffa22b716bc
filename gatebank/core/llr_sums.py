"""The log-likelihood ratios (LLRs) of one build at one stage: own, not yet sent, and fused over all.

The design (Yilmaz and Wang, section III): each instance tells the fusers its LLR only when it moved by Δ,
with the overshoot rounded to one of a few levels at random so that its mean holds; fusers add these up.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from gatebank.peer_messages import InstanceReport, LlrDelta, LlrSum, short_build

NO_SUM = LlrSum(0.0, 0)


class Statistic:
    """Which LLR.

    ERRORS is the design's own, over all request classes. The others hold a build or roll it back and never
    promote it, so that nothing is lost in the sum of all.
    """

    ERRORS = 0
    LATE_VERSUS_BASELINE = 1  # beside the baseline
    LATE_VERSUS_BEFORE_CANARY = 2  # beside the time before the canary came
    CONNECTIONS_LOST = 3  # on links to any build: a few by chance must not add up to errors
    FIRST_CLASS = 4  # and one for the errors of each request class

    @staticmethod
    def oldest_errors(class_count: int) -> int:
        """Of errors at the endpoints of the build that started first: behind those of the classes."""
        return Statistic.FIRST_CLASS + class_count


class Odds(NamedTuple):
    """A bad build's share of bad outcomes, p1 = factor x p0 + extra, and p0 while it is unknown."""

    factor: float
    extra: float
    default_p0: float


class Quantization(NamedTuple):
    """How an LLR's movement becomes a level: Δ, and the size and number of levels above it."""

    threshold: float
    level_size: float
    level_count: int


class PeerIncarnation(NamedTuple):
    """One start of one instance."""

    instance: int
    incarnation: int


class LlrSums:
    """Sums by statistic (0 is the design's own); dropped with the stage, but for the lasting one.

    Attributes:
        build, stage, incarnation: what the sums are of, and this instance's start.
        own: this instance's.
        unsent: what no message has told yet.
        fused: of all instances heard, held at ``floors``.
        outcomes: of all, in statistic 0.
        by_peer: sums that others told.
        evidence: for each statistic, what raised the fused sum, by endpoint hash; of the lasting one since it
            stood at its floor.
        lasting: the last statistic, that of the oldest endpoints: it goes on over the build's stages.
    """

    def __init__(
        self, build: int, stage: int, incarnation: int, floors: Sequence[float], quantization: Quantization
    ) -> None:
        self.build = build
        self.stage = stage
        self.incarnation = incarnation
        self.floors = floors
        self.quantization = quantization
        self.cross_stage_statistic = len(floors) - 1
        self.own = [NO_SUM] * len(floors)
        self.unsent = [NO_SUM] * len(floors)
        self.fused = [0.0] * len(floors)
        self.outcomes = 0
        self.sums_by_peer: dict[PeerIncarnation, dict[int, LlrSum]] = {}
        self.evidence_by_endpoint: list[dict[int, float]] = [{} for _ in floors]

    def add_evidence(self, statistic: int, step: float, outcomes: int, endpoint_hash: int | None) -> None:
        """Into the fused sum, held at its floor: what turns bad is not covered by its past."""
        floor = self.floors[statistic]
        self.fused[statistic] = max(floor, self.fused[statistic] + step)
        if statistic == 0:
            self.outcomes += outcomes
        by_endpoint = self.evidence_by_endpoint[statistic]
        if statistic == self.cross_stage_statistic and self.fused[statistic] <= floor:
            by_endpoint.clear()
        elif endpoint_hash is not None and step > 0:
            by_endpoint[endpoint_hash] = by_endpoint.get(endpoint_hash, 0.0) + step

    def add_own_outcome(
        self, statistic: int, step: float, endpoint_hash: int, random: Callable[[], float]
    ) -> LlrDelta | None:
        """Add an outcome of this instance's own; past Δ, the message to tell."""
        self.add_evidence(statistic, step, 1, endpoint_hash)
        value, outcomes = self.own[statistic]
        self.own[statistic] = LlrSum(value + step, outcomes + 1)
        value, outcomes = self.unsent[statistic]
        unsent = LlrSum(value + step, outcomes + 1)
        size = abs(unsent.value)
        threshold, level_size, level_count = self.quantization
        if size < threshold:
            self.unsent[statistic] = unsent
            return None
        self.unsent[statistic] = NO_SUM
        level = min(level_count, int((size - threshold) / level_size + random())) + 1
        signed = level if unsent.value > 0 else -level
        return LlrDelta(
            self.incarnation, self.build, self.stage, statistic, signed, unsent.outcomes, endpoint_hash
        )

    def continue_from(self, former: LlrSums) -> None:
        """Go on with the lasting fused sum of the build's former stage, and with what raised it.

        What instances tell begins anew: a fuser that restarts knows what its stage shows.
        """
        self.fused[self.cross_stage_statistic] = former.fused[self.cross_stage_statistic]
        self.evidence_by_endpoint[self.cross_stage_statistic] = former.evidence_by_endpoint[
            self.cross_stage_statistic
        ]

    def reset_unsent(self) -> None:
        """A report told the whole sums: nothing is left to tell."""
        self.unsent = [NO_SUM] * len(self.unsent)

    def merge_peer_message(self, peer: int, message: LlrDelta | InstanceReport) -> None:
        """Take in what a peer tells of this build and stage; anything else is passed over."""
        if (message.build, message.stage) != (short_build(self.build), self.stage):
            return
        peer_sums = self.sums_by_peer.setdefault(PeerIncarnation(peer, message.incarnation), {})
        if isinstance(message, LlrDelta):
            sums: Mapping[int, LlrSum] = {message.statistic: self._sum_after_delta(peer_sums, message)}
            endpoint_hash: int | None = message.endpoint_hash
        else:  # whole sums: they heal lost, late and repeated deltas
            sums = message.sums
            endpoint_hash = None
        for statistic, new in sums.items():
            if statistic < len(self.fused):
                old = peer_sums.get(statistic, NO_SUM)
                peer_sums[statistic] = new
                self.add_evidence(
                    statistic, new.value - old.value, new.outcomes - old.outcomes, endpoint_hash
                )

    def _sum_after_delta(self, peer_sums: Mapping[int, LlrSum], delta: LlrDelta) -> LlrSum:
        threshold, level_size, _ = self.quantization
        value, outcomes = peer_sums.get(delta.statistic, NO_SUM)
        size = threshold + (abs(delta.level) - 1) * level_size
        return LlrSum(value + (size if delta.level > 0 else -size), outcomes + delta.outcomes)
