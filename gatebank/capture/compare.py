"""Exchanges of two captures matched: what ended otherwise, what is in one only, latencies. No I/O.

A replay's ids are new, so exchanges match by what stays the same: request class, tenant, key, whether there
is an idempotency key, and body; among equal ones, in the order of asking.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from gatebank.capture.records import COMMAND, KEY, Exchange

MAX_UNMATCHED = 1_000_000  # exchanges of one capture that wait for the other's; each takes about 300 bytes
MAX_EXAMPLES = 1000  # pairs with different outcomes that are named, not only counted
MAX_LATENCY_US = 3_600_000_000  # an hour; longer ones count as that
SIGNIFICANT_DIGITS = 3  # of the histograms
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
NS_PER_US = 1000
US_PER_MS = 1000
FINGERPRINT_BYTES = 16


def latency_histogram() -> HdrHistogram:
    """A histogram of us, from 1 us to an hour."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """PERCENTILES in ms, by names like "p99.9"; empty where nothing was counted."""
    if not histogram.get_total_count():
        return {}
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }


def latency_us(exchange: Exchange) -> int | None:
    """Microseconds from command to response, at least 1; None if one of the times is not known."""
    if exchange.asked_at is None or exchange.answered_at is None:
        return None
    return min(MAX_LATENCY_US, max(1, (exchange.answered_at - exchange.asked_at) // NS_PER_US))


def fingerprint(exchange: Exchange) -> bytes:
    """A hash of what a replay leaves as it was."""
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
    """What is needed of an exchange of the first capture until its match comes.

    Attributes:
        ended: Its outcome.
        latency: us from command to response; None if not known.
        request_class: Its request class; may be empty.
        key: Its key; may be empty.
    """

    ended: str
    latency: int | None
    request_class: str
    key: str


class OutcomeChange(NamedTuple):
    """The outcomes of a matched pair in the two captures."""

    a: str
    b: str


class ChangedExchange(NamedTuple):
    """A matched pair that ended otherwise: its request class and key, and its two outcomes."""

    request_class: str
    key: str
    a: str
    b: str


@dataclass(slots=True)
class Comparison:
    """Matches two captures; it is given all of the first by `add_a`, then the second by `add_b`.

    Attributes:
        matched: Pairs.
        only_b: Exchanges of the second capture that match none of the first.
        changes: How often an outcome became another one.
        examples: The first MAX_EXAMPLES pairs that ended otherwise.
        latency_a: us, of all of the first capture.
        latency_b: us, of all of the second capture.
        slower: By how many us the second was slower, of pairs where it was.
        faster: By how many us the second was faster, of pairs where it was.
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
    _not_held: int = 0  # of the first capture, beyond MAX_WAITING

    @property
    def only_a(self) -> int:
        """Exchanges of the first capture that match none of the second, as far as that has been read."""
        return self._waiting_count + self._not_held

    def add_a(self, exchange: Exchange) -> None:
        """Adds an exchange of the first capture."""
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
        """Adds an exchange of the second capture."""
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
        name = fingerprint(exchange)
        equal = self._waiting.get(name)
        if not equal:
            return None
        first = equal.popleft()
        if not equal:
            del self._waiting[name]
        self._waiting_count -= 1
        return first
