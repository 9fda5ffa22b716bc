"""``gatebank capture compare``: compares the results and latencies of two captures of the same requests."""

from __future__ import annotations

import sys
from collections.abc import Mapping

import orjson

from gatebank.capture.compare import Comparison, percentiles
from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.terminal import printable
from gatebank.cli.capture.source import CaptureSource
from gatebank.cli.terminal import end_cleanly, warn_all

# Maximum number of differing exchanges in the text output; --json prints all examples that were kept.
MAX_SHOWN_EXAMPLES = 20
Quantiles = Mapping[str, float]


def run(a: CaptureSource, b: CaptureSource, selection: ExchangeFilter, as_json: bool) -> None:
    """Read both captures, match their exchanges and print the comparison.

    Raises:
        CommandLineError: A file cannot be read.
    """
    comparison = Comparison()
    with end_cleanly(lambda: f"{comparison.matched} matched"):
        for source, add in ((a, comparison.add_a), (b, comparison.add_b)):
            for exchange in source.exchanges():
                if selection(exchange) and exchange.command_is_complete:
                    add(exchange)
        if as_json:
            print_json(comparison)
        else:
            print_text(comparison)
    warn_all(a.incomplete + b.incomplete)


def count(comparison: Comparison) -> dict[str, int]:
    """Return the numbers of matched exchanges, unmatched exchanges and exchanges with differing results."""
    return {
        "matched": comparison.matched,
        "only_a": comparison.only_a,
        "only_b": comparison.only_b,
        "otherwise": comparison.changes.total(),
    }


def latency_quantiles(comparison: Comparison) -> dict[str, Quantiles]:
    """Return the percentiles in ms of all latencies, and of the differences between matched latencies."""
    return {
        "a": percentiles(comparison.latency_a),
        "b": percentiles(comparison.latency_b),
        "slower": percentiles(comparison.slower),
        "faster": percentiles(comparison.faster),
    }


def print_json(comparison: Comparison) -> None:
    """Print one JSON object."""
    names = ("workload", "key", "a", "b")
    examples = [dict(zip(names, example, strict=True)) for example in comparison.examples]
    changes = [
        {"a": before, "b": after, "count": number} for (before, after), number in comparison.changes.items()
    ]
    details = {"changes": changes, "examples": examples, "ms": latency_quantiles(comparison)}
    sys.stdout.buffer.write(orjson.dumps(count(comparison) | details) + b"\n")


def print_text(comparison: Comparison) -> None:
    """Print the counts, the changed results with some examples, and the latencies."""
    for name, number in count(comparison).items():
        print(f"{number:>10} {name.replace('_', ' ')}")
    for (before, after), number in comparison.changes.most_common():
        print(f"{number:>10} {before} became {after}")
    for request_class, key, before, after in comparison.examples[:MAX_SHOWN_EXAMPLES]:
        print(f"{'':>10} {printable(request_class, 20)} {printable(key, 30)}: {before}, then {after}")
    for name, values in latency_quantiles(comparison).items():
        print(quantile_line(name, values))


def quantile_line(name: str, values: Quantiles) -> str:
    """Format percentiles in ms as a line of text.

    >>> quantile_line("a", {"p50": 1.0, "p99": 2.5}), quantile_line("b", {})
    ('         a ms: p50 1.000 p99 2.500', '         b ms: none')
    """
    text = " ".join(f"{quantile} {value:.3f}" for quantile, value in values.items())
    return f"{name:>10} ms: {text or 'none'}"
