"""The design's sequential probability ratio test (SPRT) of one build at one stage: thresholds and verdict."""

from math import log

from gatebank.core.endpoint_table import EndpointCounts
from gatebank.core.llr_sums import LlrSums, Odds, Quantization, Statistic
from gatebank.events import Phase, ReleaseStatus, Verdict
from gatebank.statistics.endpoint_groups import EndpointGroups, OldestEndpoints

# The threshold A = log(1/α), at which a build is rolled back. α is small, as a wrong rollback is final.
UPPER = log(1 / 0.005)
# The threshold B = log(1/β): a build is promoted when its LLR falls to -B. β is larger, as a bad build that
# is promoted can still be rolled back at a later stage.
LOWER = log(1 / 0.25)
# Δ = 1 is the design's. The 16 levels span the largest change of an LLR by one outcome.
QUANTIZATION = Quantization(1.0, 0.25, 16)
# Outcomes that the design requires before a build is promoted.
MINIMUM_OUTCOMES = 10
# After this time the design promotes a build with no evidence against it.
FALLBACK_S = 5.0
# Odds by statistic: ERRORS, LATE_VERSUS_BASELINE, LATE_VERSUS_BEFORE_CANARY, CONNECTIONS_LOST, errors of any
# request class.
ODDS = (Odds(3, 0.06, 0.01), Odds(5, 0.03, 0.05), Odds(5, 0.03, 0.05), Odds(3, 0.2, 0.01), Odds(3, 0.2, 0.01))
# Statistics whose bad outcomes come in clusters. Their floor is lower, so that good outcomes can offset a
# cluster.
CLUSTERED = (Statistic.LATE_VERSUS_BASELINE, Statistic.CONNECTIONS_LOST)
# Minimum number of endpoints that count as a build's oldest. A first stage may have one endpoint; the next
# stage's endpoints then count too.
MIN_OLDEST_ENDPOINTS = 3
# Endpoints that started within this time of each other are of the same age.
SAME_AGE_S = 2.0


def odds_of(statistic: int) -> Odds:
    """Return the odds of a statistic."""
    return ODDS[min(statistic, Statistic.FIRST_CLASS)]


def llr_step(statistic: int, bad: bool, p0: float) -> float:
    """Return the amount that one outcome adds to a statistic's LLR.

    Args:
        statistic: The statistic.
        bad: Whether the outcome is a bad one.
        p0: The baseline's share of bad outcomes.
    """
    factor, extra, _ = odds_of(statistic)
    p1 = min(0.95, factor * p0 + extra)
    return log(p1 / p0) if bad else log((1 - p1) / (1 - p0))


class SequentialTest:
    """The test of one build at one stage.

    Attributes:
        build: The build under test.
        released: Whether the build is released; it can then only be rolled back.
        oldest_statistic: The statistic of errors at the build's oldest endpoints.
        odds_aliases: Statistics that have the odds and the baseline's share of bad outcomes of another one.
        sums: The LLRs.
        judged_since: Time of the first call of `verdict` with an outcome; 0 before.
        passed: Whether the build has once met the condition to be promoted.
    """

    def __init__(self, release: ReleaseStatus, class_count: int, incarnation: int) -> None:
        self.build = release.build or 0
        self.released = release.phase is Phase.RELEASED
        stage = (release.stage or 0) + self.released
        self.oldest_statistic = Statistic.oldest_errors(class_count)
        self.odds_aliases = {
            Statistic.LATE_VERSUS_BEFORE_CANARY: Statistic.LATE_VERSUS_BASELINE,
            self.oldest_statistic: Statistic.ERRORS,
        }
        floors = [
            -(UPPER if self.released or statistic in CLUSTERED else LOWER)
            for statistic in range(self.oldest_statistic + 1)
        ]
        self.sums = LlrSums(self.build, stage, incarnation, floors, QUANTIZATION)
        self.judged_since = 0.0
        self.passed = False

    def oldest_endpoints(self, groups: EndpointGroups) -> OldestEndpoints:
        """Return the build's endpoints that started first: faults that come with age show there first."""
        return groups.oldest(self.build, MIN_OLDEST_ENDPOINTS, SAME_AGE_S)

    def verdict(self, now: float, endpoints: EndpointCounts) -> Verdict:
        """Return the verdict: roll back at A, promote at -B or after the fallback time."""
        sums = self.sums
        adjusted = [self._adjusted(statistic, endpoints) for statistic in range(len(sums.fused))]
        self.judged_since = self.judged_since or (now if sums.outcomes else 0.0)
        if max(adjusted) >= UPPER:
            return Verdict.ROLL_BACK
        adjusted[Statistic.LATE_VERSUS_BASELINE] -= UPPER / 4
        if self.released or sums.outcomes < MINIMUM_OUTCOMES or max(adjusted) >= UPPER / 2:
            return Verdict.NONE
        waited = now - self.judged_since >= FALLBACK_S
        self.passed = self.passed or sums.fused[Statistic.ERRORS] <= -LOWER or waited
        return Verdict.PROMOTE if self.passed else Verdict.NONE

    def _adjusted(self, statistic: int, endpoints: EndpointCounts) -> float:
        """Return a fused sum without the part that faulty machines may have raised.

        A few faulty machines are no evidence of a bad build. The adjustment does harm where a bad build fails
        at few of its endpoints, because their evidence is discounted too.

        The evidence of the worst third of the endpoints counts only up to the evidence of the rest plus
        A/3. The third is taken of the build's endpoints; for LATE_VERSUS_BASELINE of its warm endpoints, for
        LATE_VERSUS_BEFORE_CANARY of all listed endpoints. For LATE_VERSUS_BASELINE, two endpoints are
        discounted even if they are more than a third, but then by no more than A. Of the oldest endpoints,
        half may be faulty, since a fault that comes with age spares few of them.
        """
        total = self.sums.fused[statistic]
        if total < UPPER / 2:
            return total
        judged = {
            Statistic.LATE_VERSUS_BASELINE: endpoints.warm,
            Statistic.LATE_VERSUS_BEFORE_CANARY: endpoints.listed,
        }
        third = (judged.get(statistic, endpoints.of_build) + 1) // 3
        may_be_faulty = (endpoints.oldest + 1) // 2 if statistic == self.oldest_statistic else third
        worst = max(may_be_faulty, 2 * (statistic == Statistic.LATE_VERSUS_BASELINE))
        evidence = sorted(self.sums.evidence_by_endpoint[statistic].values(), reverse=True)
        excess = sum(evidence[:worst]) - sum(evidence[worst:]) - UPPER / 3
        if statistic in (Statistic.LATE_VERSUS_BEFORE_CANARY, self.oldest_statistic):
            # Good outcomes at all the other endpoints have lowered these sums, so that the excess is scaled
            # to the part of the evidence that is left in the sum.
            excess *= total / max(total, sum(evidence))
        return total - max(0.0, excess if worst == may_be_faulty else min(UPPER, excess))
