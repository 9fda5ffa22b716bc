"""What other instances reported: their load, and that of all together."""

from __future__ import annotations

from typing import NamedTuple

from gatebank.peer_messages import FleetReport, InstanceReport, LoadSample, MeanLatency


class ReceivedReport(NamedTuple):
    """A peer's last report and when it came."""

    report: InstanceReport
    received_at: float


class FleetView:
    """The fleet as a fuser told it last, and at fusers the reports it is made of.

    Attributes:
        report: None where none came lately.
        received_at, sender: when and from which instance it came.
        loads: of all instances, by request class.
        baseline_latency: by request class and machine kind.
        canary_slowness: the canary's times over the baseline's; 0 where unknown.
        held_up_classes: request classes that are late by themselves, whatever endpoint they go to.
        peer_reports: the last of each instance.
        last_fuser_message_at: when a fuser last sent anything.
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
        """Take a report; times of fewer than ``minimum`` answers a second are left out."""
        self.report = report
        self.received_at = now
        self.sender = sender
        self.loads = report.by_request_class(class_count)
        self.baseline_latency = report.baseline_latency(minimum)
        self.canary_latency_ratio = report.canary_latency_ratio(self.baseline_latency, minimum)

    def mean_latencies(self) -> list[float]:
        """Seconds an answer takes, by request class; 0 where there are none."""
        return [load.answer_time / load.answer_rate if load.answer_rate else 0.0 for load in self.loads]

    def forget_report(self) -> None:
        """No fuser told it lately: this instance acts on what it knows itself."""
        self.report = None
        self.baseline_latency = {}
        self.canary_latency_ratio = 0.0

    def recent_reports(self, since: float) -> list[InstanceReport]:
        """Peers' reports that came after that time."""
        return [received.report for received in self.peer_reports.values() if received.received_at > since]
