"""Player of captures.scenarios, and the sample conversation of the capture tests."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

from tests.support.capture_builder import CaptureBuilder

# Hypothesis settings with few examples, which are the same in every run; benchmarks/fuzz.py runs many more.
REPEATABLE = settings(
    max_examples=60, derandomize=True, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)  # fmt: skip


def scenario(title: str, text: str) -> None:
    """Run a scenario of captures.scenarios."""
    builder = CaptureBuilder()
    for line in text.splitlines():
        for step in [] if line.startswith("#") else line.split("; "):
            try:
                builder.run_step(step) if step.strip() else None
            except Exception as error:
                raise AssertionError(f"{title}: {step.strip()}: {error!r}") from error


def conversation(form: str = "pcapng") -> CaptureBuilder:
    """Build three concurrent connections with requests of all classes, some of them pipelined."""
    builder = CaptureBuilder()
    for step in (
        f"form {form}", "split 60", "open 1", "open 2", "ask 1 read", "ask 2 pay 70", "value 1", "value 2",
        "ask 1 sign 9", "ask 1 read", "value 1", "open n", "ask n pay 20", "nodevalue n", "value 1",
        "ask 2 read", "value 2", "ask 1 pay 5", "value 1", "close n", "ask 2 pay 150", "value 2", "close 1",
    ):  # fmt: skip
        builder.run_step(step)
    return builder
