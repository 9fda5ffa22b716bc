"""Report of a replay: counts of requests by outcome, and latency percentiles. No I/O.

The counts add up: read = offered + not offered + withheld, and offered = the sum of all outcomes.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from gatebank.capture.compare import MAX_LATENCY_US, latency_histogram, percentiles
from gatebank.capture.records import Exchange
from gatebank.events import RetrySafety
from gatebank.replay.guard import WithheldReason
from gatebank.replay.requests import ReplayOutcome

OUTCOME_COUNTS = tuple(outcome.value for outcome in ReplayOutcome)
FIRST_COUNTS = ("read", "offered", *OUTCOME_COUNTS)  # Names of the counts that are printed first, in order.
NOT_OFFERED = "not_offered_"  # Prefix of the counts by reason.
RESPONSES = (ReplayOutcome.SERVED, ReplayOutcome.REJECTED, ReplayOutcome.FAILED)
MAX_LISTED = 10_000  # Maximum number of withheld, not offered or unsure requests listed individually.
US_PER_SECOND = 1e6


class Report:
    """Counts the outcomes of requests.

    Attributes:
        counts: Counts by their names in the report.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._withheld: Counter[str] = Counter()
        self._by_class: Counter[tuple[str, str]] = Counter()  # By request class and outcome.
        self._listed: list[dict[str, Any]] = []
        self._latency = latency_histogram()
        self._lateness = latency_histogram()

    def count_read(self) -> None:
        """Count an exchange that was read."""
        self.counts["read"] += 1

    def count_withheld(self, exchange: Exchange, reason: WithheldReason) -> None:
        """Count a request that the guard withheld."""
        self.counts["withheld"] += 1
        self._withheld[reason.value] += 1
        if exchange.retry_safety is not RetrySafety.IDEMPOTENT:
            self.list_request("withheld", reason.value, exchange)

    def count_not_offered(self, exchange: Exchange, reason: str) -> None:
        """Count a request that could not be sent when due."""
        self.counts["not_offered"] += 1
        self.counts[NOT_OFFERED + reason] += 1
        if exchange.retry_safety is not RetrySafety.IDEMPOTENT:
            self.list_request("not offered", reason, exchange)

    def count_sent(self, due: float, now: float) -> None:
        """Count a sent request; both times are in seconds of the event loop's clock."""
        self.counts["offered"] += 1
        self._lateness.record_value(_microseconds(now - due))

    def count_outcome(self, exchange: Exchange, outcome: ReplayOutcome, due: float, now: float) -> None:
        """Count the outcome of a request; both times are in seconds of the event loop's clock."""
        self.counts[outcome.value] += 1
        self._by_class[exchange.request_class or "?", outcome.value] += 1
        if outcome in RESPONSES:
            self._latency.record_value(_microseconds(now - due))
        if outcome is ReplayOutcome.UNSURE:
            self.list_request("unsure", "sent whole, and no answer came", exchange)

    def list_request(self, category: str, why: str, exchange: Exchange) -> None:
        """List a request individually in the report."""
        if len(self._listed) >= MAX_LISTED:
            return
        self._listed.append(
            {
                "what": category,
                "why": why,
                "effects": exchange.retry_safety.value,
                "workload": exchange.request_class,
                "key": exchange.key,
                "id": exchange.id,
            }
        )

    def missing(self) -> int:
        """Return how many requests are missing from the counts; 0 if the counts add up."""
        accounted = self.counts["withheld"] + self.counts["not_offered"]
        return self.counts["read"] - accounted - sum(self.counts[name] for name in OUTCOME_COUNTS)

    def summary(self) -> dict[str, Any]:
        """Return the report as JSON data."""
        by_class: dict[str, dict[str, int]] = {}
        for (request_class, outcome), count in sorted(self._by_class.items()):
            by_class.setdefault(request_class, {})[outcome] = count
        not_offered = {
            name.removeprefix(NOT_OFFERED): count
            for name, count in self.counts.items()
            if name.startswith(NOT_OFFERED)
        }
        summary: dict[str, Any] = {
            name: self.counts[name] for name in (*FIRST_COUNTS, "not_offered", "withheld", "asked_again")
        }
        return summary | {
            "withheld_why": dict(self._withheld),
            "not_offered_why": not_offered,
            "by_workload": by_class,
            "latency_ms": percentiles(self._latency),
            "late_ms": percentiles(self._lateness),
            "missing": self.missing(),
            "listed": self._listed,
        }


def _microseconds(seconds: float) -> int:
    """Convert to whole microseconds, limited to the histograms' range of 1 µs to one hour."""
    return min(MAX_LATENCY_US, max(1, int(seconds * US_PER_SECOND)))
