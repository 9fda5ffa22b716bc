"""Ids of requests that may have run, so that an id that comes again does not run a second time.

Clients choose a new id for each request (PROTOCOL). One that comes again is a copy of a request whose client
left, or whose answer got lost; its first attempt may have run, or may still run until its timeout. An id is
therefore remembered beyond its client, its answer and its deadline.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16
ENTRY_BYTES = 384  # Memory of one entry: digest, row, and its places in two dictionaries.
MIN_CAPACITY = 1024
# Time after a request's deadline for which its id is remembered: its copy may be late on its way.
KEEP_AFTER_DEADLINE_S = 10.0


class RememberedId(NamedTuple):
    """A row of the table.

    Attributes:
        source: Number of the connection that the request arrived on.
        keep_until: Clock time until which the id is remembered.
    """

    source: int
    keep_until: float


class RecentRequestIds:
    """Digests of ids, at most ``capacity``; beyond it the connection with the most ids loses its oldest one.

    >>> ids = RecentRequestIds(3)
    >>> for source, request_id in ((1, b"a"), (2, b"b"), (2, b"c"), (2, b"d")):
    ...     ids.add(request_id, source, 5.0)
    >>> [request_id in ids for request_id in (b"a", b"b", b"c", b"d")]
    [True, False, True, True]
    >>> ids.remove_expired(6.0)
    >>> len(ids), b"a" in ids
    (0, False)
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.rows: dict[bytes, RememberedId] = {}
        self.by_source: dict[int, dict[bytes, None]] = {}  # Digests by connection, the oldest first.

    @classmethod
    def within(cls, max_bytes: int) -> RecentRequestIds:
        """Create a table for at most ``max_bytes`` of memory, but not for less than MIN_CAPACITY ids."""
        return cls(max(MIN_CAPACITY, max_bytes // ENTRY_BYTES))

    def __len__(self) -> int:
        return len(self.rows)

    def __contains__(self, request_id: bytes) -> bool:
        return digest(request_id) in self.rows

    def add(self, request_id: bytes, source: int, keep_until: float) -> None:
        """Remember an id until ``keep_until``, a time of the instance's clock."""
        key = digest(request_id)
        if key in self.rows:
            self.remove(key)
        elif len(self.rows) >= self.capacity:
            largest = max(self.by_source.values(), key=len)
            self.remove(next(iter(largest)))
        self.rows[key] = RememberedId(source, keep_until)
        self.by_source.setdefault(source, {})[key] = None

    def remove_expired(self, now: float) -> None:
        """Remove the ids that need not be remembered any longer."""
        for key in [key for key, row in self.rows.items() if row.keep_until <= now]:
            self.remove(key)

    def remove(self, key: bytes) -> None:
        """Remove the row of a digest."""
        source = self.rows.pop(key).source
        digests = self.by_source[source]
        del digests[key]
        if not digests:
            del self.by_source[source]


def digest(request_id: bytes) -> bytes:
    """Return the digest under which an id is remembered, as clients choose how long their ids are."""
    return blake2b(request_id, digest_size=DIGEST_BYTES).digest()
