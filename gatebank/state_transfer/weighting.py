"""Weights and merges received items. No I/O: items with ages in, merged state out.

The weight of an item is 2^(-age / half-life) * outcomes / (outcomes + HALF_WEIGHT_OUTCOMES of its kind).
Items with the same subject from several sources are merged by weight, and count for less if they disagree.
Good reports of an endpoint lose weight faster than bad reports, because an outlier that is taken for healthy
costs clients' requests, while a healthy endpoint that is taken for an outlier costs only health checks.
docs/learning.md has the complete table.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from gatebank.events import Phase
from gatebank.state_transfer.items import (
    AdmittedRequest,
    BaselineFailures,
    EndpointHealth,
    Item,
    ReleaseReport,
    SentAttempt,
    SequentialTestSums,
    SlowStartRate,
    StateItem,
    UsualLatency,
    newest,
)

# Number of outcomes with which an item has half of its full weight, by kind; other kinds always have their
# full weight. The balancer itself judges an endpoint by about 5 outcomes, and a request class's latency or
# failures by about 10.
HALF_WEIGHT_OUTCOMES: dict[type[Item], int] = {
    EndpointHealth: 5,
    UsualLatency: 10,
    BaselineFailures: 10,
}
# Items with a lower weight are not used: 0.02 of an endpoint's failure rate changes no routing decision.
MIN_WEIGHT = 0.02
# Sources disagree about an endpoint if its failure rates in their reports differ by more than this.
MAX_AGREEING_DIFFERENCE = 0.25
# Factor on the weight of an endpoint's merged reports if the sources disagree.
DISAGREEMENT_FACTOR = 0.5
# A latency report is ignored if it differs by more than this factor from the report with most outcomes.
LATENCY_OUTLIER_FACTOR = 3.0
# Maximum age of an item in seconds, whatever its half-life: after an hour the fleet has changed.
MAX_AGE = 3600.0
# Failure rate from which a report of an endpoint counts as bad and has the half-life of bad reports.
MIN_FAILING_RATE = 0.2
# Minimum outcomes of a good report that cancels an older ejection reported by another source.
MIN_RECOVERY_OUTCOMES = 5
# Exposure windows after which a slow-start rate is ignored, because the counted attempts have ended by then.
SLOW_START_WINDOWS = 2
ROLLED_BACK_PHASES = (Phase.ROLLING_BACK, Phase.ROLLED_BACK)
OPEN_PHASES = (Phase.CANARY, Phase.RELEASED)


@dataclass(slots=True, frozen=True)
class HalfLives:
    """Half-lives of the weights of items, in seconds; the operators' file may set them.

    Attributes:
        healthy_endpoint: Of good reports of an endpoint. The square error in `benchmarks/lives.py` is
            smallest at 4 to 8 s; the lower end is used, because a wrong good report costs clients' requests.
        failing_endpoint: Of bad reports of an endpoint. The square error in the same benchmark is smallest at
            8 to 16 s; the upper end is used, because a wrong bad report costs two health checks and no
            requests.
        latency_ratio: Of an endpoint's latency ratios. Between the two above: the faults are the same, and
            errors in both directions cost the same.
        usual_latency: Of usual latencies, which change with builds and load. Matches the decay of the
            balancer's own table.
        baseline_failures: Of the baseline's failures, which cover some minutes of outcomes. Matches the decay
            of the balancer's own table.
        test_sums: Of sums of a sequential test: a stage of a canary lasts seconds to minutes.
    """

    healthy_endpoint: float = 4.0
    failing_endpoint: float = 16.0
    latency_ratio: float = 8.0
    usual_latency: float = 256.0
    baseline_failures: float = 128.0
    test_sums: float = 64.0


class EndpointProcess(NamedTuple):
    """The process at the endpoint ``name``; ``started`` is its start in Unix time, None if unknown."""

    name: str
    build: int
    started: float | None


@dataclass(slots=True)
class MergedEndpoint:
    """The merged reports of one endpoint.

    Attributes:
        latency_ratio: The endpoint's latencies divided by the usual latencies.
        failure_rate: Fraction of failed attempts, already multiplied by the weight.
        weight: Total weight of the reports, from 0 to 1.
        ejected: Whether the endpoint needs successful health checks before it is used.
        ejection_time: Duration of the longest reported ejection in seconds.
        slow_start_rate: Attempts per second that other instances send to the endpoint during its slow start.
    """

    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    weight: float = 0.0
    ejected: bool = False
    ejection_time: float = 0.0
    slow_start_rate: float = 0.0


class MergedBaseline(NamedTuple):
    """How often the baseline build fails by one statistic, already weighted; see `items.BaselineFailures`."""

    weighted_failures: float
    weighted_total: float
    recent_rate: float


class LatencyKey(NamedTuple):
    """The subject of a usual latency; the machine kind is empty if the latency is that of all endpoints."""

    request_class: str
    machine_kind: str


class MergedLatency(NamedTuple):
    """A merged usual latency in seconds, and the number of outcomes that the latency stands for."""

    latency: float
    outcomes: int


@dataclass(slots=True)
class MergedState:
    """All merged items, by names; `inherited_knowledge.py` converts the names to the balancer's indices.

    Attributes:
        endpoints: Merged reports by endpoint name.
        sums: Sums of sequential tests.
        baseline: Failures of the baseline build by name of the statistic.
        latencies: Usual latencies.
        release: The newest release report; `stricter_report` decides whether it is used.
        sent: Attempts of this instance's earlier starts within the exposure window.
        admitted: Requests that this instance's earlier starts admitted within the exposure window.
        window_known: Whether `sent` and `admitted` are complete, from a snapshot written at shutdown.
    """

    endpoints: dict[str, MergedEndpoint] = field(default_factory=dict)
    sums: list[SequentialTestSums] = field(default_factory=list)
    baseline: dict[str, MergedBaseline] = field(default_factory=dict)
    latencies: dict[LatencyKey, MergedLatency] = field(default_factory=dict)
    release: ReleaseReport | None = None
    sent: list[SentAttempt] = field(default_factory=list)
    admitted: list[AdmittedRequest] = field(default_factory=list)
    window_known: bool = False


@dataclass(slots=True)
class ReportsBySubject:
    """Items of the kinds that are merged, by subject."""

    health: dict[str, list[EndpointHealth]] = field(default_factory=dict)
    latencies: dict[LatencyKey, list[UsualLatency]] = field(default_factory=dict)
    baseline: dict[str, list[BaselineFailures]] = field(default_factory=dict)

    def add(self, item: StateItem) -> bool:
        """Adds an item if its kind is merged; returns whether the item was added."""
        match item:
            case EndpointHealth():
                self.health.setdefault(item.endpoint, []).append(item)
            case BaselineFailures():
                self.baseline.setdefault(item.ratio, []).append(item)
            case UsualLatency():
                key = LatencyKey(item.request_class, item.machine_kind)
                self.latencies.setdefault(key, []).append(item)
            case _:
                return False
        return True


def weight(item: StateItem, half_life: float) -> float:
    """Returns the weight of an item, from 0 to 1.

    >>> latency = UsualLatency(origin="m", age=256.0, outcomes=10, request_class="r", latency=1.0)
    >>> round(weight(latency, half_life=256.0), 3)
    0.25
    """
    if item.age > MAX_AGE:
        return 0.0
    age_weight: float = 0.5 ** (item.age / half_life)
    half_weight = HALF_WEIGHT_OUTCOMES.get(type(item), 0)
    if not half_weight:
        return age_weight
    return age_weight * (item.outcomes / (item.outcomes + half_weight))


def merge_items(
    items: Iterable[StateItem],
    processes: Mapping[str, EndpointProcess],
    name: str,
    window: float,
    half_lives: HalfLives,
) -> MergedState:
    """Merges items from any sources.

    Args:
        items: Items of any kinds and ages; of several items with equal identity, the youngest is used.
        processes: The process at each endpoint according to the receiver's own endpoint list. Reports of
            another process with the same endpoint name are dropped.
        name: The receiver's own name.
        window: Duration of the exposure window in seconds.
        half_lives: Half-lives of the kinds of items.
    """
    merged = MergedState()
    reports = ReportsBySubject()
    for item in newest(items):
        if isinstance(item, EndpointHealth | SlowStartRate) and not is_running(item, processes):
            continue
        if not reports.add(item):
            add_unmerged(merged, item, name, window, half_lives)
    for endpoint, health in reports.health.items():
        merge_health(merged.endpoints.setdefault(endpoint, MergedEndpoint()), health, half_lives)
    for key, latencies in reports.latencies.items():
        if latency := merge_latencies(latencies, half_lives.usual_latency):
            merged.latencies[key] = latency
    for ratio, failures in reports.baseline.items():
        if baseline := best_baseline(failures, half_lives.baseline_failures):
            merged.baseline[ratio] = baseline
    return merged


def add_unmerged(
    merged: MergedState, item: StateItem, name: str, window: float, half_lives: HalfLives
) -> None:
    """Adds an item of a kind that is not merged, if the item is recent enough and useful to this instance."""
    match item:
        case SlowStartRate() if item.origin != name and item.age < SLOW_START_WINDOWS * window:
            endpoint = merged.endpoints.setdefault(item.endpoint, MergedEndpoint())
            # Each instance reports its own rate, so the endpoint receives the sum of the rates.
            endpoint.slow_start_rate += item.rate
        case SequentialTestSums() if weight(item, half_lives.test_sums) >= MIN_WEIGHT:
            merged.sums.append(item)
        case ReleaseReport() if item.age <= MAX_AGE:
            merged.release = newer_release(merged.release, item)
        case SentAttempt() if item.origin == name and item.age <= window:
            merged.sent.append(item)
        case AdmittedRequest() if item.origin == name and item.age <= window:
            merged.admitted.append(item)


def is_running(item: EndpointHealth | SlowStartRate, processes: Mapping[str, EndpointProcess]) -> bool:
    """Returns whether the item is about the process that currently runs at its endpoint."""
    process = processes.get(item.endpoint)
    return process is not None and process.build == item.build and process.started == item.started


def is_bad(report: EndpointHealth) -> bool:
    """Returns whether a report of an endpoint is bad; bad reports lose weight more slowly than good ones."""
    return report.ejected or report.failure_rate >= MIN_FAILING_RATE


def health_half_life(report: EndpointHealth, half_lives: HalfLives) -> float:
    """Returns the half-life of a report's failure rate in seconds."""
    return half_lives.failing_endpoint if is_bad(report) else half_lives.healthy_endpoint


def merge_health(endpoint: MergedEndpoint, reports: list[EndpointHealth], half_lives: HalfLives) -> None:
    """Merges the reports of one endpoint into ``endpoint``."""
    weighted = [(report, weight(report, health_half_life(report, half_lives))) for report in reports]
    good = [row for row in weighted if not is_bad(row[0])]
    bad = [row for row in weighted if is_bad(row[0])]
    total = sum(factor for _, factor in good + bad)
    if total < MIN_WEIGHT:
        return
    rates = [report.failure_rate for report in reports]
    endpoint.weight = min(1.0, total)
    if max(rates) - min(rates) > MAX_AGREEING_DIFFERENCE:
        endpoint.weight *= DISAGREEMENT_FACTOR
    endpoint.failure_rate = sum(report.failure_rate * factor for report, factor in good + bad) / total
    endpoint.failure_rate *= endpoint.weight
    if bad:
        worst = max(report.failure_rate * factor for report, factor in bad)
        endpoint.failure_rate = max(endpoint.failure_rate, worst)
    endpoint.latency_ratio = merge_latency_ratios(reports, half_lives.latency_ratio)
    merge_ejections(endpoint, good, bad)


def merge_latency_ratios(reports: list[EndpointHealth], half_life: float) -> float:
    """Returns the weighted mean of latency ratios, shrunk towards 1 if the reports have little weight."""
    weighted = [(report.latency_ratio, weight(report, half_life)) for report in reports]
    total = sum(factor for _, factor in weighted)
    if total < MIN_WEIGHT:
        return 1.0
    mean = sum(ratio * factor for ratio, factor in weighted) / total
    return 1.0 + (mean - 1.0) * min(1.0, total)


def merge_ejections(
    endpoint: MergedEndpoint,
    good: list[tuple[EndpointHealth, float]],
    bad: list[tuple[EndpointHealth, float]],
) -> None:
    """Sets an endpoint as ejected if any source recently ejected it, unless a younger report is good.

    Args:
        endpoint: Merged endpoint that receives the result.
        good: Good reports with their weights.
        bad: Bad reports with their weights.
    """
    ejections = [report for report, factor in bad if report.ejected and factor >= MIN_WEIGHT]
    latest = min((report.age for report in ejections), default=0.0)
    recovered = any(report.age < latest and report.outcomes >= MIN_RECOVERY_OUTCOMES for report, _ in good)
    endpoint.ejected = bool(ejections) and not recovered
    endpoint.ejection_time = max((report.ejection_time for report in ejections), default=0.0)


def merge_latencies(reports: list[UsualLatency], half_life: float) -> MergedLatency | None:
    """Returns the mean latency, weighted by weight and outcomes, without outlying reports.

    A report is outlying if its latency is far from the latency of the report with most weighted outcomes.
    Agreeing reports do not add up: the mean counts at most for the outcomes of the report with most outcomes.
    """
    weighted = [(report, weight(report, half_life)) for report in reports]
    weighted = [
        (report, factor) for report, factor in weighted if factor >= MIN_WEIGHT and report.latency > 0
    ]
    if not weighted:
        return None
    leading, _ = max(weighted, key=lambda row: row[0].outcomes * row[1])
    lowest = leading.latency / LATENCY_OUTLIER_FACTOR
    highest = leading.latency * LATENCY_OUTLIER_FACTOR
    weighted = [(report, factor) for report, factor in weighted if lowest <= report.latency <= highest]
    total = sum(factor * report.outcomes for report, factor in weighted)
    if not total:
        return None
    mean = sum(report.latency * factor * report.outcomes for report, factor in weighted) / total
    return MergedLatency(mean, int(min(total, max(report.outcomes for report, _ in weighted))))


def best_baseline(reports: list[BaselineFailures], half_life: float) -> MergedBaseline | None:
    """Returns only the report with most weighted outcomes, because the sources observed the same minutes."""
    weighted = [(report, weight(report, half_life)) for report in reports]
    best, factor = max(weighted, key=lambda row: row[1] * row[0].weighted_total)
    if factor < MIN_WEIGHT:
        return None
    return MergedBaseline(best.weighted_failures * factor, best.weighted_total * factor, best.recent_rate)


def newer_release(earlier: ReleaseReport | None, other: ReleaseReport) -> ReleaseReport:
    """Returns the report of the newer build, or the younger report if both are of the same build.

    >>> young = ReleaseReport(origin="m", age=1.0, build=4, stage=0, phase=0, cap=0.3)
    >>> old = ReleaseReport(origin="m", age=9.0, build=4, stage=0, phase=0, cap=0.9)
    >>> newer_release(old, young) is newer_release(young, old) is young
    True
    """
    if earlier is None or other.build > earlier.build:
        return other
    if other.build < earlier.build:
        return earlier
    return other if other.age < earlier.age else earlier


class OwnRelease(NamedTuple):
    """The release status that this instance received from the release service itself."""

    build: int
    phase: int
    cap: float | None


def stricter_report(report: ReleaseReport | None, own: OwnRelease | None) -> ReleaseReport | None:
    """Returns the report if it allows less than this instance's own release status, otherwise None.

    Until the release service has answered, this instance treats a newer build as in its first stage anyway
    (rule 5 of docs/design.md). Therefore only a rollback, or a lower cap of the same build, is used.

    >>> back = ReleaseReport(origin="m", age=1.0, build=4, stage=1, phase=1, cap=0.0)
    >>> on = ReleaseReport(origin="m", age=1.0, build=4, stage=2, phase=0, cap=0.6)
    >>> stricter_report(back, OwnRelease(4, 0, 0.2)) is back
    True
    >>> stricter_report(on, OwnRelease(4, 0, 0.2)), stricter_report(on, OwnRelease(3, 2, 1.0))
    (None, None)
    """
    if report is None:
        return None
    rolls_back = report.phase in ROLLED_BACK_PHASES
    if own is None or report.build > own.build:
        return report if rolls_back else None
    if report.build < own.build:
        return None
    if rolls_back and own.phase not in ROLLED_BACK_PHASES:
        return report
    if report.phase != Phase.CANARY or report.cap is None or own.phase not in OPEN_PHASES:
        return None
    return report if own.cap is None or report.cap < own.cap else None
