"""Rows by time with a running count of each kind. Adding a row and counting cost the same at any size.

A row is handled twice, when it is added and when it is dropped. Rows are added in the order of their times.
A row that is older than the newest one keeps its place behind it and is dropped only after all rows before
it: it may be counted for too long, but never for too short a time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable, Iterator
from typing import Generic, TypeVar

KindT = TypeVar("KindT", bound=Hashable)


class SlidingWindow(Generic[KindT]):
    """Rows of (time in seconds, kind), oldest first.

    >>> window: SlidingWindow[str] = SlidingWindow()
    >>> for at, kind in ((1.0, "a"), (2.0, "b"), (2.0, "a")):
    ...     window.add(at, kind)
    >>> window.count("a"), len(window)
    (2, 3)
    >>> window.expire(2.0)
    >>> window.count("a"), window.count(), window.oldest
    (1, 2, 2.0)
    >>> window.expire(2.0, inclusive=True)
    >>> len(window)
    0
    """

    __slots__ = ("counts", "rows")

    def __init__(self) -> None:
        # The number of rows is bounded only by calls of `expire`.
        self.rows: deque[tuple[float, KindT]] = deque()
        # Has an entry for each kind that occurs in the rows.
        self.counts: dict[KindT, int] = {}

    def add(self, at: float, kind: KindT) -> None:
        """Add a row; its time is no earlier than the newest row's."""
        self.rows.append((at, kind))
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def restamp(self, at: float, kind: KindT, now: float) -> None:
        """Move the row with this time and kind to the time ``now``; add a row if it has been dropped.

        The search for the row takes time in proportion to the number of rows. Use this for rare events only.

        >>> window: SlidingWindow[str] = SlidingWindow()
        >>> window.add(1.0, "a"), window.restamp(1.0, "a", 2.0), window.expire(1.5), window.count("a")
        (None, None, None, 1)
        """
        try:
            self.rows.remove((at, kind))
        except ValueError:  # the row has been dropped
            self.counts[kind] = self.counts.get(kind, 0) + 1
        self.rows.append((now, kind))

    def prepend(self, rows: Iterable[tuple[float, KindT]]) -> None:
        """Add rows that are older than all present ones, in any order."""
        for at, kind in sorted(rows, key=lambda row: row[0], reverse=True):
            self.rows.appendleft((at, kind))
            self.counts[kind] = self.counts.get(kind, 0) + 1

    def expire(self, before: float, *, inclusive: bool = False) -> None:
        """Drop the rows that are older than a time, with ``inclusive`` also the rows of that time."""
        rows = self.rows
        counts = self.counts
        while rows and (rows[0][0] < before or (inclusive and rows[0][0] == before)):
            kind = rows.popleft()[1]
            if counts[kind] == 1:
                del counts[kind]
            else:
                counts[kind] -= 1

    def count(self, *kinds: KindT) -> int:
        """Return the number of rows of these kinds, or of all rows if no kind is given."""
        return sum(self.counts.get(kind, 0) for kind in kinds) if kinds else len(self.rows)

    @property
    def oldest(self) -> float:
        """The time of the oldest row.

        Raises:
            IndexError: There are no rows.
        """
        return self.rows[0][0]

    def __len__(self) -> int:
        return len(self.rows)

    def __iter__(self) -> Iterator[tuple[float, KindT]]:
        return iter(self.rows)
