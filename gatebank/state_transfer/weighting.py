"""What a receiver believes of the items that it was sent. No I/O: items with ages in, merged state out.

An item weighs 2^(-age / half-life) times outcomes / (outcomes + the outcomes of half weight). The items that
several sources sent of one thing are merged by weight, and count for less where they disagree. Good reports
of an endpoint age faster than bad ones: an outlier taken for healthy costs clients' requests, a healthy
endpoint taken for an outlier costs health checks. docs/learning.md has the whole table.
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

# Outcomes from which an item counts for half, by its kind; other kinds count in full. The balancer itself
# judges an endpoint by about 5 outcomes, and a request class's latency or failures by about 10.
HALF_WEIGHT_OUTCOMES: dict[type[Item], int] = {
    EndpointHealth: 5,
    UsualLatency: 10,
    BaselineFailures: 10,
}
# Below this weight an item is not used: 0.02 of an endpoint's failure rate changes no choice.
MIN_WEIGHT = 0.02
# Difference of two sources' failure rates of an endpoint beyond which they disagree.
MAX_AGREEING_DIFFERENCE = 0.25
# Factor on what is merged of an endpoint on which sources disagree.
DISAGREEMENT_FACTOR = 0.5
# A latency that is so many times higher or lower than that of most outcomes is left out.
LATENCY_OUTLIER_FACTOR = 3.0
# Seconds: nothing older is used, whatever its half-life; an hour-old view of a fleet is of another fleet.
MAX_AGE = 3600.0
# Failure rate from which a report of an endpoint counts as a bad one, and ages as such.
MIN_FAILING_RATE = 0.2
# Outcomes of a good report after which it lifts an older ejection that another source reported.
MIN_RECOVERY_OUTCOMES = 5
# Exposure windows after which a slow-start rate says nothing: by then the attempts it counted have ended.
SLOW_START_WINDOWS = 2
ROLLED_BACK_PHASES = (Phase.ROLLING_BACK, Phase.ROLLED_BACK)
OPEN_PHASES = (Phase.CANARY, Phase.RELEASED)


@dataclass(slots=True, frozen=True)
class HalfLives:
    """Seconds after which an item counts for half; the operators' file may set them.

    Attributes:
        healthy_endpoint: of good reports of an endpoint. `benchmarks/lives.py` finds the least square error
            at 4 to 8 s; the shorter, since a wrong good report costs clients' requests.
        failing_endpoint: of bad reports of an endpoint. The same benchmark finds 8 to 16 s; the longer, since
            a wrong bad report costs two health checks and no requests.
        latency_ratio: of an endpoint's latencies. Between both: the same troubles, with equal costs.
        usual_latency: as the balancer's own table fades, not measured: moves with builds and load.
        baseline_failures: as the balancer's own table fades, not measured: some minutes of outcomes.
        test_sums: not measured: a stage of a canary lasts seconds to minutes.
    """

    healthy_endpoint: float = 4.0
    failing_endpoint: float = 16.0
    latency_ratio: float = 8.0
    usual_latency: float = 256.0
    baseline_failures: float = 128.0
    test_sums: float = 64.0


class EndpointProcess(NamedTuple):
    """Which process runs at an endpoint; `started` is Unix time, None if it is not known."""

    name: str
    build: int
    started: float | None


@dataclass(slots=True)
class MergedEndpoint:
    """What is believed of an endpoint.

    Attributes:
        latency_ratio: its latencies over the usual ones.
        failure_rate: fraction of failed attempts, already weighted.
        weight: from 0 to 1, what the reports of it weigh together.
        ejected: it needs successful health checks before it is used.
        ejection_time: seconds of the longest reported ejection.
        slow_start_rate: attempts a second that other instances send to it while it warms up.
    """

    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    weight: float = 0.0
    ejected: bool = False
    ejection_time: float = 0.0
    slow_start_rate: float = 0.0


class MergedBaseline(NamedTuple):
    """How often the baseline build fails by one ratio, already weighted; see `items.BaselineFailures`."""

    weighted_failures: float
    weighted_total: float
    recent_rate: float


class LatencyKey(NamedTuple):
    """Of what a usual latency is; the machine kind is empty where it is of all endpoints."""

    request_class: str
    machine_kind: str


class MergedLatency(NamedTuple):
    """A usual latency in seconds, and for how many outcomes it counts."""

    latency: float
    outcomes: int


@dataclass(slots=True)
class MergedState:
    """What is believed of everything, by names; `inherited_knowledge.py` brings it to the balancer's numbers.

    Attributes:
        release: the strictest status; see `strictly_tighter` for when it is used.
        sent, admitted: of earlier starts under this instance's own name, within the exposure window.
        window_known: those two are complete, from a snapshot that was written at shutdown.
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
    """Items that are merged, by what they are of."""

    health: dict[str, list[EndpointHealth]] = field(default_factory=dict)
    latencies: dict[LatencyKey, list[UsualLatency]] = field(default_factory=dict)
    baseline: dict[str, list[BaselineFailures]] = field(default_factory=dict)

    def add(self, item: StateItem) -> bool:
        """Returns whether the item is of a kind that is merged; if it is, it has been added."""
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
    """Returns what an item weighs, from 0 to 1.

    >>> latency = UsualLatency(origin="m", age=256.0, outcomes=10, request_class="r", latency=1.0)
    >>> round(weight(latency, half_life=256.0), 3)
    0.25
    """
    if item.age > MAX_AGE:
        return 0.0
    by_age: float = 0.5 ** (item.age / half_life)
    half_weight = HALF_WEIGHT_OUTCOMES.get(type(item), 0)
    if not half_weight:
        return by_age
    return by_age * (item.outcomes / (item.outcomes + half_weight))


def merge_items(
    items: Iterable[StateItem],
    processes: Mapping[str, EndpointProcess],
    name: str,
    window: float,
    half_lives: HalfLives,
) -> MergedState:
    """Returns what is to be believed of items from any sources.

    Args:
        items: of any kinds and ages; of equal subject and origin the youngest is used.
        processes: what runs at each endpoint now, by the receiver's own endpoint list. Reports of another
            process under the same name are dropped.
        name: the receiver's own name.
        window: seconds of the exposure window.
        half_lives: of each kind.
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
    """Adds an item of a kind that is used as it is, if it is young enough and of use to this instance."""
    match item:
        case SlowStartRate() if item.origin != name and item.age < SLOW_START_WINDOWS * window:
            belief = merged.endpoints.setdefault(item.endpoint, MergedEndpoint())
            belief.slow_start_rate += item.rate  # each sender's own, so the endpoint gets their sum
        case SequentialTestSums() if weight(item, half_lives.test_sums) >= MIN_WEIGHT:
            merged.sums.append(item)
        case ReleaseReport() if item.age <= MAX_AGE:
            merged.release = newer_release(merged.release, item)
        case SentAttempt() if item.origin == name and item.age <= window:
            merged.sent.append(item)
        case AdmittedRequest() if item.origin == name and item.age <= window:
            merged.admitted.append(item)


def is_running(item: EndpointHealth | SlowStartRate, processes: Mapping[str, EndpointProcess]) -> bool:
    """Returns whether the item is of the process that runs at its endpoint now."""
    process = processes.get(item.endpoint)
    return process is not None and process.build == item.build and process.started == item.started


def is_bad(report: EndpointHealth) -> bool:
    """Returns whether a report of an endpoint is a bad one, which ages more slowly than a good one."""
    return report.ejected or report.failure_rate >= MIN_FAILING_RATE


def health_half_life(report: EndpointHealth, half_lives: HalfLives) -> float:
    """Returns the half-life of a report's failure rate, in seconds."""
    return half_lives.failing_endpoint if is_bad(report) else half_lives.healthy_endpoint


def merge_health(belief: MergedEndpoint, reports: list[EndpointHealth], half_lives: HalfLives) -> None:
    """Merges the reports of one endpoint into a belief of it."""
    weighted = [(report, weight(report, health_half_life(report, half_lives))) for report in reports]
    good = [row for row in weighted if not is_bad(row[0])]
    bad = [row for row in weighted if is_bad(row[0])]
    total = sum(share for _, share in good + bad)
    if total < MIN_WEIGHT:
        return
    rates = [report.failure_rate for report in reports]
    belief.weight = min(1.0, total)
    if max(rates) - min(rates) > MAX_AGREEING_DIFFERENCE:
        belief.weight *= DISAGREEMENT_FACTOR
    belief.failure_rate = sum(report.failure_rate * share for report, share in good + bad) / total
    belief.failure_rate *= belief.weight
    if bad:
        worst = max(report.failure_rate * share for report, share in bad)
        belief.failure_rate = max(belief.failure_rate, worst)
    belief.latency_ratio = merge_latency_ratios(reports, half_lives.latency_ratio)
    merge_ejections(belief, good, bad)


def merge_latency_ratios(reports: list[EndpointHealth], half_life: float) -> float:
    """Returns the weighted mean of latency ratios, drawn towards 1 where the reports weigh little."""
    weighted = [(report.latency_ratio, weight(report, half_life)) for report in reports]
    total = sum(share for _, share in weighted)
    if total < MIN_WEIGHT:
        return 1.0
    mean = sum(ratio * share for ratio, share in weighted) / total
    return 1.0 + (mean - 1.0) * min(1.0, total)


def merge_ejections(
    belief: MergedEndpoint,
    good: list[tuple[EndpointHealth, float]],
    bad: list[tuple[EndpointHealth, float]],
) -> None:
    """An endpoint that any source has ejected lately is ejected, unless another saw it well since.

    Args:
        belief: gets the result.
        good: good reports with their weights.
        bad: bad reports with their weights.
    """
    ejections = [report for report, share in bad if report.ejected and share >= MIN_WEIGHT]
    latest = min((report.age for report in ejections), default=0.0)
    recovered = any(report.age < latest and report.outcomes >= MIN_RECOVERY_OUTCOMES for report, _ in good)
    belief.ejected = bool(ejections) and not recovered
    belief.ejection_time = max((report.ejection_time for report in ejections), default=0.0)


def merge_latencies(reports: list[UsualLatency], half_life: float) -> MergedLatency | None:
    """Returns the mean by weight and outcomes, without reports far off that of most weighted outcomes.

    Agreement adds no outcomes: the mean counts for as many as the best report has, at most.
    """
    weighted = [(report, weight(report, half_life)) for report in reports]
    weighted = [(report, share) for report, share in weighted if share >= MIN_WEIGHT and report.latency > 0]
    if not weighted:
        return None
    leading, _ = max(weighted, key=lambda row: row[0].outcomes * row[1])
    lowest = leading.latency / LATENCY_OUTLIER_FACTOR
    highest = leading.latency * LATENCY_OUTLIER_FACTOR
    weighted = [(report, share) for report, share in weighted if lowest <= report.latency <= highest]
    total = sum(share * report.outcomes for report, share in weighted)
    if not total:
        return None
    mean = sum(report.latency * share * report.outcomes for report, share in weighted) / total
    return MergedLatency(mean, int(min(total, max(report.outcomes for report, _ in weighted))))


def best_baseline(reports: list[BaselineFailures], half_life: float) -> MergedBaseline | None:
    """Returns the report of most weighted outcomes alone: sources saw much of the same minutes."""
    weighted = [(report, weight(report, half_life)) for report in reports]
    best, share = max(weighted, key=lambda row: row[1] * row[0].weighted_total)
    if share < MIN_WEIGHT:
        return None
    return MergedBaseline(best.weighted_failures * share, best.weighted_total * share, best.recent_rate)


def newer_release(earlier: ReleaseReport | None, other: ReleaseReport) -> ReleaseReport:
    """Returns the report of the newer build; of one build the younger report.

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
    """What the release service has told this instance itself."""

    build: int
    phase: int
    cap: float | None


def strictly_tighter(report: ReleaseReport | None, own: OwnRelease | None) -> ReleaseReport | None:
    """Returns a report only where it allows less than what this instance knows itself.

    Until the release service itself has answered, a newer build counts as in its first stage anyway (rule 5
    of docs/design.md); so what is used is a rollback or a lower cap of the same build.

    >>> back = ReleaseReport(origin="m", age=1.0, build=4, stage=1, phase=1, cap=0.0)
    >>> on = ReleaseReport(origin="m", age=1.0, build=4, stage=2, phase=0, cap=0.6)
    >>> strictly_tighter(back, OwnRelease(4, 0, 0.2)) is back
    True
    >>> strictly_tighter(on, OwnRelease(4, 0, 0.2)), strictly_tighter(on, OwnRelease(3, 2, 1.0))
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
