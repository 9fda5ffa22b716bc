"""Matching of the exchanges of two captures: changed outcomes, unmatched exchanges, latencies. No I/O.

A replay assigns new request ids, so exchanges are matched by the properties that a replay keeps: side,
command, request class, tenant, key, presence of an idempotency key, and body. Exchanges that are equal in all
of these are matched in the order in which they were read.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from gatebank.capture.records import COMMAND, KEY, Exchange

MAX_UNMATCHED = 1_000_000  # Exchanges of the first capture kept for matching, about 300 bytes each.
MAX_EXAMPLES = 1000  # Pairs with different outcomes that are listed; further pairs are only counted.
MAX_LATENCY_US = 3_600_000_000  # One hour; longer latencies are recorded as one hour.
SIGNIFICANT_DIGITS = 3  # Precision of the latency histograms.
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
NS_PER_US = 1000
US_PER_MS = 1000
FINGERPRINT_BYTES = 16


def latency_histogram() -> HdrHistogram:
    """Create an empty latency histogram in microseconds, from 1 us to one hour."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the PERCENTILES in ms by names such as "p99.9"; empty if the histogram has no values."""
    if not histogram.get_total_count():
        return {}
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }


def latency_us(exchange: Exchange) -> int | None:
    """Return the microseconds from command to response, at least 1; None if either time is unknown."""
    if exchange.asked_at is None or exchange.answered_at is None:
        return None
    return min(MAX_LATENCY_US, max(1, (exchange.answered_at - exchange.asked_at) // NS_PER_US))


def fingerprint(exchange: Exchange) -> bytes:
    """Return a hash of the properties that a replay does not change."""
    arguments = exchange.arguments
    parts = [
        exchange.side.encode(),
        arguments[COMMAND].upper() if arguments else b"",
        arguments[KEY] if len(arguments) > KEY else b"",
        (exchange.request_class or "").encode(),
        (exchange.tenant or "").encode(),
        b"k" if exchange.idempotency_key else b"",
        exchange.body or b"",
    ]
    framed = b"".join(len(part).to_bytes(8, "big") + part for part in parts)
    return blake2b(framed, digest_size=FINGERPRINT_BYTES).digest()


@dataclass(slots=True, frozen=True)
class UnmatchedExchange:
    """An exchange of the first capture that has no match in the second capture so far.

    Attributes:
        ended: The outcome.
        latency: Microseconds from command to response; None if unknown.
        request_class: The request class; empty if unknown.
        key: The key; empty if unknown.
    """

    ended: str
    latency: int | None
    request_class: str
    key: str


class OutcomeChange(NamedTuple):
    """The two outcomes of a matched pair, ``a`` in the first capture and ``b`` in the second."""

    a: str
    b: str


class ChangedExchange(NamedTuple):
    """A matched pair with different outcomes: its request class, its key and the two outcomes."""

    request_class: str
    key: str
    a: str
    b: str


@dataclass(slots=True)
class Comparison:
    """Matches the exchanges of two captures.

    All exchanges of the first capture are added with `add_a` before those of the second with `add_b`.

    Attributes:
        matched: Number of matched pairs.
        only_b: Number of exchanges of the second capture that match none of the first.
        changes: Number of pairs by their two outcomes, for pairs whose outcomes differ.
        examples: The first MAX_EXAMPLES pairs whose outcomes differ.
        latency_a: Latencies of the first capture in us.
        latency_b: Latencies of the second capture in us.
        slower: Latency increases in us of the pairs that were slower in the second capture.
        faster: Latency decreases in us of the pairs that were faster in the second capture.
    """

    matched: int = 0
    only_b: int = 0
    changes: Counter[OutcomeChange] = field(default_factory=Counter)
    examples: list[ChangedExchange] = field(default_factory=list)
    latency_a: HdrHistogram = field(default_factory=latency_histogram)
    latency_b: HdrHistogram = field(default_factory=latency_histogram)
    slower: HdrHistogram = field(default_factory=latency_histogram)
    faster: HdrHistogram = field(default_factory=latency_histogram)
    _waiting: dict[bytes, deque[UnmatchedExchange]] = field(default_factory=dict)
    _waiting_count: int = 0
    _not_held: int = 0  # Exchanges of the first capture beyond MAX_UNMATCHED, which cannot be matched.

    @property
    def only_a(self) -> int:
        """Number of exchanges of the first capture without a match among those added from the second."""
        return self._waiting_count + self._not_held

    def add_a(self, exchange: Exchange) -> None:
        """Add an exchange of the first capture."""
        latency = latency_us(exchange)
        if latency is not None:
            self.latency_a.record_value(latency)
        if self._waiting_count >= MAX_UNMATCHED:
            self._not_held += 1
            return
        self._waiting_count += 1
        waiting = UnmatchedExchange(exchange.ended, latency, exchange.request_class or "", exchange.key or "")
        self._waiting.setdefault(fingerprint(exchange), deque()).append(waiting)

    def add_b(self, exchange: Exchange) -> None:
        """Add an exchange of the second capture and match it with one of the first."""
        latency = latency_us(exchange)
        if latency is not None:
            self.latency_b.record_value(latency)
        first = self._take_match(exchange)
        if first is None:
            self.only_b += 1
            return
        self.matched += 1
        if first.ended != exchange.ended:
            self.changes[OutcomeChange(first.ended, exchange.ended)] += 1
            if len(self.examples) < MAX_EXAMPLES:
                changed = ChangedExchange(first.request_class, first.key, first.ended, exchange.ended)
                self.examples.append(changed)
        if latency is not None and first.latency is not None and latency != first.latency:
            histogram = self.slower if latency > first.latency else self.faster
            histogram.record_value(abs(latency - first.latency))

    def _take_match(self, exchange: Exchange) -> UnmatchedExchange | None:
        digest = fingerprint(exchange)
        candidates = self._waiting.get(digest)
        if not candidates:
            return None
        first = candidates.popleft()
        if not candidates:
            del self._waiting[digest]
        self._waiting_count -= 1
        return first
