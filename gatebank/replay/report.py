"""What became of a replay, as counts that add up and percentiles. No I/O.

read = offered + not offered + withheld; offered = the sum of all outcomes.
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
ENDS = ("read", "offered", *OUTCOME_COUNTS)  # the counts that are printed first, in their order
NOT_OFFERED = "not_offered_"  # what the counts of its reasons begin with
RESPONSES = (ReplayOutcome.SERVED, ReplayOutcome.REJECTED, ReplayOutcome.FAILED)
MAX_LISTED = 10_000  # withheld or unsure requests that are named, not only counted
US_PER_SECOND = 1e6


class Report:
    """Counts what became of each request.

    Attributes:
        counts: By the names that reports have.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._withheld: Counter[str] = Counter()
        self._by_class: Counter[tuple[str, str]] = Counter()  # by request class and outcome
        self._listed: list[dict[str, Any]] = []
        self._latency = latency_histogram()
        self._lateness = latency_histogram()

    def count_read(self) -> None:
        """An exchange was read."""
        self.counts["read"] += 1

    def count_withheld(self, exchange: Exchange, reason: WithheldReason) -> None:
        """The guard withheld a request."""
        self.counts["withheld"] += 1
        self._withheld[reason.value] += 1
        if exchange.retry_safety is not RetrySafety.IDEMPOTENT:
            self.list_request("withheld", reason.value, exchange)

    def count_not_offered(self, exchange: Exchange, reason: str) -> None:
        """There was no room for a request when it was due."""
        self.counts["not_offered"] += 1
        self.counts[NOT_OFFERED + reason] += 1
        if exchange.retry_safety is not RetrySafety.IDEMPOTENT:
            self.list_request("not offered", reason, exchange)

    def count_sent(self, due: float, now: float) -> None:
        """A request was sent; both times are s of the loop's clock."""
        self.counts["offered"] += 1
        self._lateness.record_value(_microseconds(now - due))

    def count_outcome(self, exchange: Exchange, outcome: ReplayOutcome, due: float, now: float) -> None:
        """A request's outcome is known; both times are s of the loop's clock."""
        self.counts[outcome.value] += 1
        self._by_class[exchange.request_class or "?", outcome.value] += 1
        if outcome in RESPONSES:
            self._latency.record_value(_microseconds(now - due))
        if outcome is ReplayOutcome.UNSURE:
            self.list_request("unsure", "sent whole, and no answer came", exchange)

    def list_request(self, what: str, why: str, exchange: Exchange) -> None:
        """Names a request in the report."""
        if len(self._listed) >= MAX_LISTED:
            return
        self._listed.append(
            {
                "what": what,
                "why": why,
                "effects": exchange.retry_safety.value,
                "workload": exchange.request_class,
                "key": exchange.key,
                "id": exchange.id,
            }
        )

    def missing(self) -> int:
        """How many requests are missing in the counts; 0 if they add up."""
        accounted = self.counts["withheld"] + self.counts["not_offered"]
        return self.counts["read"] - accounted - sum(self.counts[name] for name in OUTCOME_COUNTS)

    def summary(self) -> dict[str, Any]:
        """The report for programs."""
        by_class: dict[str, dict[str, int]] = {}
        for (request_class, outcome), count in sorted(self._by_class.items()):
            by_class.setdefault(request_class, {})[outcome] = count
        not_offered = {
            name.removeprefix(NOT_OFFERED): count
            for name, count in self.counts.items()
            if name.startswith(NOT_OFFERED)
        }
        summary: dict[str, Any] = {
            name: self.counts[name] for name in (*ENDS, "not_offered", "withheld", "asked_again")
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
    """What a histogram takes: at least 1, at most an hour."""
    return min(MAX_LATENCY_US, max(1, int(seconds * US_PER_SECOND)))
