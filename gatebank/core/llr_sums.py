"""The log-likelihood ratios (LLRs) of one build at one stage: own, not yet sent, and fused over all.

The design (Yilmaz and Wang, section III): each instance sends its LLR to the fusers only after the LLR has
moved by Δ. The overshoot is rounded at random to one of a few levels, so that its mean is preserved. The
fusers add up the levels.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from gatebank.peer_messages import InstanceReport, LlrDelta, LlrSum, short_build

NO_SUM = LlrSum(0.0, 0)


class Statistic:
    """The numbers of the statistics, each with an LLR of its own.

    ERRORS is the statistic of the design, over all request classes. The other statistics can hold a build or
    roll it back but never promote it, so that a fault visible in one of them is not lost in the sum over all
    classes.
    """

    ERRORS = 0
    LATE_VERSUS_BASELINE = 1  # Answers late in comparison with the baseline.
    LATE_VERSUS_BEFORE_CANARY = 2  # Answers late in comparison with the time before the canary.
    # Connections lost on links. Links to any build lose some, so that a few lost by chance must not add up to
    # errors of the canary.
    CONNECTIONS_LOST = 3
    FIRST_CLASS = 4  # Errors of the first request class; the statistics of the other classes follow.

    @staticmethod
    def oldest_errors(class_count: int) -> int:
        """Return the statistic of errors at the build's oldest endpoints, the last one after the classes."""
        return Statistic.FIRST_CLASS + class_count


class Odds(NamedTuple):
    """Odds of bad outcomes: p1 = factor x p0 + extra for a bad build, and the default of p0 while unknown."""

    factor: float
    extra: float
    default_p0: float


class Quantization(NamedTuple):
    """How the change of an LLR is quantized: the threshold Δ, and the size and number of levels above Δ."""

    threshold: float
    level_size: float
    level_count: int


class PeerIncarnation(NamedTuple):
    """One incarnation of one peer instance."""

    instance: int
    incarnation: int


class LlrSums:
    """LLR sums by statistic; all but the cross-stage sum are dropped at the end of the stage.

    Attributes:
        build, stage, incarnation: the build and stage of the sums, and this instance's incarnation.
        own: the sums of this instance's outcomes.
        unsent: the part of ``own`` that no message has reported yet.
        fused: the sums over all reporting instances; a sum never falls below its value in ``floors``.
        outcomes: the number of outcomes of all instances in statistic 0, that of the design.
        sums_by_peer: the sums that other instances reported.
        evidence_by_endpoint: for each statistic, the increases of the fused sum by endpoint hash; for the
            cross-stage statistic only those since the sum was last at its floor.
        cross_stage_statistic: the last statistic, errors at the oldest endpoints, whose fused sum is carried
            over through the build's stages.
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
        """Add a step to a fused sum, limited by its floor.

        The floor keeps a long good past of a build from hiding that the build has turned bad.
        """
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
        """Add an outcome of this instance; once the unsent sum has reached Δ, return the message to send."""
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

    def continue_from(self, previous: LlrSums) -> None:
        """Carry over the cross-stage fused sum and its evidence from the build's previous stage.

        The sums that instances send restart at zero with each stage, so that a restarted fuser learns from
        them what its stage has shown.
        """
        self.fused[self.cross_stage_statistic] = previous.fused[self.cross_stage_statistic]
        self.evidence_by_endpoint[self.cross_stage_statistic] = previous.evidence_by_endpoint[
            self.cross_stage_statistic
        ]

    def reset_unsent(self) -> None:
        """Clear the unsent sums after a report has sent the whole sums."""
        self.unsent = [NO_SUM] * len(self.unsent)

    def merge_peer_message(self, peer: int, message: LlrDelta | InstanceReport) -> None:
        """Add a peer's message to the fused sums; messages on another build or stage are ignored."""
        if (message.build, message.stage) != (short_build(self.build), self.stage):
            return
        peer_sums = self.sums_by_peer.setdefault(PeerIncarnation(peer, message.incarnation), {})
        if isinstance(message, LlrDelta):
            sums: Mapping[int, LlrSum] = {message.statistic: self._sum_after_delta(peer_sums, message)}
            endpoint_hash: int | None = message.endpoint_hash
        else:  # Whole sums correct for lost, late and repeated deltas.
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
