"""Plays the scenarios of captures.scenarios, and builds the sample capture that several tests share."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

from tests.support.capture_builder import CaptureBuilder

# Hypothesis settings for few and reproducible examples; benchmarks/fuzz.py tests longer.
DETERMINISTIC_SETTINGS = settings(
    max_examples=60, derandomize=True, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)  # fmt: skip


def play_scenario(title: str, text: str) -> None:
    """Play one scenario of captures.scenarios."""
    builder = CaptureBuilder()
    for line in text.splitlines():
        for step in [] if line.startswith("#") else line.split("; "):
            try:
                builder.run_step(step) if step.strip() else None
            except Exception as error:
                raise AssertionError(f"{title}: {step.strip()}: {error!r}") from error


def sample_capture(file_format: str = "pcapng") -> CaptureBuilder:
    """Build a capture of three concurrent connections, pipelined and not, with all request classes."""
    builder = CaptureBuilder()
    for step in (
        f"format {file_format}", "split 60", "open 1", "open 2", "request 1 read", "request 2 pay 70",
        "value 1", "value 2", "request 1 sign 9", "request 1 read", "value 1", "open n", "request n pay 20",
        "endpoint_value n", "value 1", "request 2 read", "value 2", "request 1 pay 5", "value 1", "close n",
        "request 2 pay 150", "value 2", "close 1",
    ):  # fmt: skip
        builder.run_step(step)
    return builder
