"""Reports of other instances: their load, and the load of the whole fleet."""

from __future__ import annotations

from typing import NamedTuple

from gatebank.peer_messages import FleetReport, InstanceReport, LoadSample, MeanLatency


class ReceivedReport(NamedTuple):
    """The last report of a peer, and when it arrived."""

    report: InstanceReport
    received_at: float


class FleetView:
    """The last fleet report from a fuser and, at fusers, the instance reports that it is made of.

    Attributes:
        report: the last fleet report; None if none arrived recently.
        received_at, sender: when the fleet report arrived and which instance sent it.
        loads: the load of all instances, by request class.
        baseline_latency: the baseline's mean latencies by request class and machine kind.
        canary_latency_ratio: the canary's latency relative to the baseline's; 0 if unknown.
        held_up_classes: request classes that are late regardless of the endpoint that serves them.
        peer_reports: the last report of each instance.
        last_fuser_message_at: when a fuser last sent any message.
    """

    def __init__(self, instance: int, now: float) -> None:
        self.report: FleetReport | None = None
        self.received_at = 0.0
        self.sender = instance
        self.loads: list[LoadSample] = []
        self.baseline_latency: dict[tuple[int, int], MeanLatency] = {}
        self.canary_latency_ratio = 0.0
        self.held_up_classes: set[int] = set()
        self.peer_reports: dict[int, ReceivedReport] = {}
        self.last_fuser_message_at = now

    def apply_report(
        self, sender: int, report: FleetReport, now: float, *, class_count: int, minimum: float
    ) -> None:
        """Apply a fleet report; latencies from fewer than ``minimum`` answers per second are left out."""
        self.report = report
        self.received_at = now
        self.sender = sender
        self.loads = report.by_request_class(class_count)
        self.baseline_latency = report.baseline_latency(minimum)
        self.canary_latency_ratio = report.canary_latency_ratio(self.baseline_latency, minimum)

    def mean_latencies(self) -> list[float]:
        """Return the mean seconds per answer by request class; 0 for a class without answers."""
        return [load.answer_time / load.answer_rate if load.answer_rate else 0.0 for load in self.loads]

    def drop_report(self) -> None:
        """Drop a fleet report that no fuser has renewed; this instance then uses its own measurements."""
        self.report = None
        self.baseline_latency = {}
        self.canary_latency_ratio = 0.0

    def recent_reports(self, since: float) -> list[InstanceReport]:
        """Return the reports of peers that arrived after ``since``."""
        return [received.report for received in self.peer_reports.values() if received.received_at > since]
