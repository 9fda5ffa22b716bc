"""What became of a replay, as counts that add up and quantiles. No I/O.

read = offered + not offered + withheld + not whole; offered = the endings, and those asked again.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from gatebank.capture.compare import MAX_LATENCY_US, latency_histogram, percentiles
from gatebank.capture.records import Exchange
from gatebank.events import RetrySafety

ENDS = ("read", "offered", "satisfied", "rejected", "broken_off", "no_answer", "unsure", "never_sent")
MOST_LISTED = 10_000  # withheld or unsure invocations that are named, not only counted


class Report:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.withheld: Counter[str] = Counter()
        self.by_workload: Counter[tuple[str, str]] = Counter()
        self.listed: list[dict[str, Any]] = []  # at most MOST_LISTED
        self.latency, self.lateness = latency_histogram(), latency_histogram()

    def read(self, exchange: Exchange) -> None:
        self.counts["read"] += 1

    def hold_back(self, exchange: Exchange, why: str) -> None:
        self.counts["withheld"] += 1
        self.withheld[why] += 1
        if exchange.retry_safety is not RetrySafety.IDEMPOTENT:
            self.list("withheld", why, exchange)

    def list(self, what: str, why: str, exchange: Exchange) -> None:
        if len(self.listed) < MOST_LISTED:
            names = {"workload": exchange.request_class, "key": exchange.key, "id": exchange.id}
            self.listed.append({"what": what, "why": why, "effects": exchange.retry_safety.value} | names)

    def not_offered(self, exchange: Exchange, why: str) -> None:
        self.counts["not_offered"] += 1
        self.counts[f"not_offered_{why}"] += 1
        if exchange.retry_safety is not RetrySafety.IDEMPOTENT:
            self.list("not offered", why, exchange)

    def sent(self, due: float, now: float) -> None:
        self.counts["offered"] += 1
        self.lateness.record_value(us(now - due))

    def ended(self, exchange: Exchange, how: str, due: float, now: float) -> None:
        """``how``: an ending, or `unsure` where it was sent whole and no answer came."""
        self.counts[how] += 1
        self.by_workload[exchange.request_class or "?", how] += 1
        if how in ("satisfied", "rejected", "broken_off"):
            self.latency.record_value(us(now - due))
        if how == "unsure":
            self.list("unsure", "sent whole, and no answer came", exchange)

    def balance(self) -> int:
        """What is missing in the counts; 0 if they add up."""
        c = self.counts
        return c["read"] - c["withheld"] - c["not_offered"] - sum(c[each] for each in ENDS[2:])

    def told(self) -> dict[str, Any]:
        rows: dict[str, dict[str, int]] = {}
        for (workload, how), number in sorted(self.by_workload.items()):
            rows.setdefault(workload, {})[how] = number
        return {key: self.counts[key] for key in (*ENDS, "not_offered", "withheld", "asked_again")} | {
            "withheld_why": dict(self.withheld),
            "not_offered_why": {
                name.removeprefix("not_offered_"): number
                for name, number in self.counts.items()
                if name.startswith("not_offered_")
            },
            "by_workload": rows,
            "latency_ms": percentiles(self.latency),
            "late_ms": percentiles(self.lateness),
            "missing": self.balance(),
            "listed": self.listed,
        }


def us(seconds: float) -> int:
    return min(MAX_LATENCY_US, max(1, int(seconds * 1e6)))
