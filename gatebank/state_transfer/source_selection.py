"""Decides which sources a receiver asks, when, and when it stops. No I/O: events in, connections out.

Sources are ranked by rendezvous hashing of receiver and source, so that the requests of many receivers that
start at the same time are spread over the fleet. The first two sources are asked at once; if an attempt
fails, the next source is asked. A busy source sends the time after which to ask again. The total number of
attempts is limited. After ``patience`` seconds the instance serves clients without waiting any longer; items
that arrive later are merged while it serves.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

# Number of sources asked at the same time, and of required transfers. A single source may be slow or may have
# just started itself; further sources have the same state.
CONCURRENT_SOURCES = 2
# Seconds before a failed source is asked again; doubled for each further attempt at the source, up to the
# maximum.
FIRST_BACKOFF = 0.1
MAX_BACKOFF = 5.0
# Range of the uniformly distributed jitter factor of a backoff.
JITTER = (0.5, 1.5)


@dataclass(slots=True, frozen=True)
class ConnectToSource:
    """Instruction to the caller to connect to a source.

    Attributes:
        source: Address of the source.
        at: Time of the connection on the caller's clock, in seconds.
    """

    source: str
    at: float


@dataclass(slots=True)
class SourceProgress:
    """The attempts at one source so far.

    Attributes:
        source: Address of the source.
        attempts: Number of attempts at the source, including one in progress.
        not_before: Time on the caller's clock before which the source is not asked again.
        in_progress: Whether an attempt is in progress.
        done: Whether no further attempt will be made.
    """

    source: str
    attempts: int = 0
    not_before: float = 0.0
    in_progress: bool = False
    done: bool = False


def ranked(receiver: str, sources: Sequence[str]) -> list[str]:
    """Returns the sources in the order in which the receiver asks them.

    The order is that of Thaler and Ravishankar's rendezvous hashing: removing a source does not change the
    order of the other sources.

    >>> order = ranked("m1", ["a", "b", "c", "d"])
    >>> [source for source in order if source != "b"] == ranked("m1", ["a", "c", "d"])
    True
    """

    def score(source: str) -> bytes:
        return blake2b(f"{receiver}\0{source}".encode(), digest_size=8).digest()

    return sorted(sources, key=score, reverse=True)


class SourceSelector:
    """Chooses sources until enough sources have sent their state, or the maximum of attempts is reached."""

    def __init__(
        self, receiver: str, sources: Sequence[str], patience: float, max_attempts: int, seed: int
    ) -> None:
        """Ranks the sources.

        Args:
            receiver: Name of this instance.
            sources: Addresses of the sources.
            patience: Maximum seconds for which the instance waits before it serves.
            max_attempts: Maximum number of attempts at all sources together.
            seed: Seed of the jitter.
        """
        self.sources = {source: SourceProgress(source) for source in ranked(receiver, sources)}
        self.patience = patience
        self.max_attempts = max_attempts
        self.random = Random(seed)
        self.started_at = 0.0
        self.required_transfers = min(CONCURRENT_SOURCES, len(self.sources))
        self.completed_transfers = 0
        self.attempts = 0

    def begin(self, now: float) -> list[ConnectToSource]:
        """Starts the time limit ``patience``, and returns the first connections."""
        self.started_at = now
        return self.next_connections(now)

    def next_connections(self, now: float) -> list[ConnectToSource]:
        """Returns the connections to make, so that enough transfers are complete or in progress."""
        connections: list[ConnectToSource] = []
        in_progress = sum(progress.in_progress for progress in self.sources.values())
        missing = self.required_transfers - self.completed_transfers - in_progress
        available = [
            candidate
            for candidate in self.sources.values()
            if not candidate.in_progress and not candidate.done
        ]
        # Sources with the fewest attempts come first, and among them those that may be asked again soonest.
        # Sources that were never asked keep the order of their rank.
        available.sort(key=lambda progress: (progress.attempts, progress.not_before))
        for progress in available[: max(0, missing)]:
            if self.attempts >= self.max_attempts:
                break
            progress.in_progress = True
            progress.attempts += 1
            self.attempts += 1
            connections.append(ConnectToSource(progress.source, max(now, progress.not_before)))
        return connections

    def on_received(self, source: str, now: float) -> list[ConnectToSource]:
        """Handles a complete transfer; returns the next connections."""
        self.end_attempts(source)
        self.completed_transfers += 1
        return self.next_connections(now)

    def on_failed(self, source: str, now: float, retry_after: float | None = None) -> list[ConnectToSource]:
        """Handles an attempt that failed or was refused; returns the next connections.

        Args:
            source: The source, which is asked again after a backoff. Sources with fewer attempts are asked
                before.
            now: Time on the caller's clock.
            retry_after: Seconds after which the source permits the next attempt, if it was refused.
        """
        progress = self.sources[source]
        progress.in_progress = False
        backoff = min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (progress.attempts - 1))
        backoff *= self.random.uniform(*JITTER)
        progress.not_before = now + max(backoff, retry_after or 0.0)
        return self.next_connections(now)

    def on_invalid(self, source: str, now: float) -> list[ConnectToSource]:
        """Handles a source that sent invalid data or belongs to another deployment: it is not asked again."""
        self.end_attempts(source)
        return self.next_connections(now)

    def end_attempts(self, source: str) -> None:
        """Marks a source as not to be asked again."""
        progress = self.sources[source]
        progress.in_progress = False
        progress.done = True

    def may_serve(self, now: float) -> bool:
        """Returns whether the instance may serve clients without waiting any longer."""
        in_progress = any(progress.in_progress for progress in self.sources.values())
        return (
            self.completed_transfers >= self.required_transfers
            or not in_progress
            or now - self.started_at >= self.patience
        )
