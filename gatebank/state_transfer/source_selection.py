"""Which sources a receiver asks, when, and when it stops. No I/O: events in, connections to make out.

Sources are ranked by rendezvous hashing of receiver and source, so that many receivers that start at once
spread over the fleet. The first two are asked at once, the next as one fails. A busy source says when to come
back. All attempts together have a budget, and after ``patience`` seconds the instance serves without waiting
any longer: what comes later is merged while it serves.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

# Sources asked at the same time: one may be slow, or have just started itself; more know the same.
CONCURRENT_SOURCES = 2
# Seconds before a source that failed is asked again, doubled for each attempt at it up to the longer.
FIRST_BACKOFF = 0.1
MAX_BACKOFF = 5.0
# Jitter: a backoff is multiplied by a number drawn evenly from here.
JITTER = (0.5, 1.5)


@dataclass(slots=True, frozen=True)
class ConnectToSource:
    """The caller is to make a connection to a source, at this time of the caller's clock."""

    source: str
    at: float


@dataclass(slots=True)
class SourceProgress:
    """What became of one source so far.

    Attributes:
        attempts: made at it.
        not_before: time of the caller's clock before which it is not asked again.
        in_progress: an attempt runs.
        done: no further attempt follows.
    """

    source: str
    attempts: int = 0
    not_before: float = 0.0
    in_progress: bool = False
    done: bool = False


def ranked(receiver: str, sources: Sequence[str]) -> list[str]:
    """Returns the sources in the order in which this receiver asks them.

    It is Thaler and Ravishankar's rendezvous hashing: a source that goes changes nobody else's order.

    >>> order = ranked("m1", ["a", "b", "c", "d"])
    >>> [source for source in order if source != "b"] == ranked("m1", ["a", "c", "d"])
    True
    """

    def score(source: str) -> bytes:
        return blake2b(f"{receiver}\0{source}".encode(), digest_size=8).digest()

    return sorted(sources, key=score, reverse=True)


class SourceSelector:
    """Chooses sources until enough of them have sent their state, or the budget of attempts is spent."""

    def __init__(
        self, receiver: str, sources: Sequence[str], patience: float, max_attempts: int, seed: int
    ) -> None:
        """Ranks the sources.

        Args:
            receiver: name of this instance.
            sources: addresses of the others.
            patience: seconds that the instance waits with serving.
            max_attempts: at all sources together.
            seed: of the jitter.
        """
        self.sources = {source: SourceProgress(source) for source in ranked(receiver, sources)}
        self.patience = patience
        self.max_attempts = max_attempts
        self.random = Random(seed)
        self.started_at = 0.0
        self.required_transfers = min(CONCURRENT_SOURCES, len(self.sources))
        self.received = 0
        self.attempts = 0

    def begin(self, now: float) -> list[ConnectToSource]:
        """Starts the clock of ``patience``; returns the first connections."""
        self.started_at = now
        return self.next_connections(now)

    def next_connections(self, now: float) -> list[ConnectToSource]:
        """Returns whom to ask now or later, as far as something is still wanted."""
        connections: list[ConnectToSource] = []
        in_progress = sum(progress.in_progress for progress in self.sources.values())
        missing = self.required_transfers - self.received - in_progress
        free = [each for each in self.sources.values() if not each.in_progress and not each.done]
        # Those that were never asked come first, by rank; then those that may be asked again soonest.
        free.sort(key=lambda progress: (progress.attempts, progress.not_before))
        for progress in free[: max(0, missing)]:
            if self.attempts >= self.max_attempts:
                break
            progress.in_progress = True
            progress.attempts += 1
            self.attempts += 1
            connections.append(ConnectToSource(progress.source, max(now, progress.not_before)))
        return connections

    def on_received(self, source: str, now: float) -> list[ConnectToSource]:
        """The source sent all of its state; returns further connections."""
        self.end_attempts(source)
        self.received += 1
        return self.next_connections(now)

    def on_failed(self, source: str, now: float, retry_after: float | None = None) -> list[ConnectToSource]:
        """The attempt failed or was refused; returns further connections.

        Args:
            source: it is asked again after a backoff, and the next one in rank before.
            now: the caller's clock.
            retry_after: seconds that the source asked for.
        """
        progress = self.sources[source]
        progress.in_progress = False
        backoff = min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (progress.attempts - 1))
        backoff *= self.random.uniform(*JITTER)
        progress.not_before = now + max(backoff, retry_after or 0.0)
        return self.next_connections(now)

    def on_invalid(self, source: str, now: float) -> list[ConnectToSource]:
        """What it sent can't be used, or it is of another deployment: it is not asked again."""
        self.end_attempts(source)
        return self.next_connections(now)

    def end_attempts(self, source: str) -> None:
        """Asks this source no more."""
        progress = self.sources[source]
        progress.in_progress = False
        progress.done = True

    def may_serve(self, now: float) -> bool:
        """Returns whether the instance is to serve without waiting any longer."""
        in_progress = any(progress.in_progress for progress in self.sources.values())
        return (
            self.received >= self.required_transfers
            or not in_progress
            or now - self.started_at >= self.patience
        )
