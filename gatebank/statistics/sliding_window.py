"""Rows by time with running counts by kind: adding one and counting cost the same at any size.

A row is looked at twice in its life, when it comes and when it goes. Times come in order; one that is older
than the newest counts as that old still, and goes when those before it have gone: counted for too long, never
for too short.
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
        self.rows: deque[tuple[float, KindT]] = deque()  # emptied by `expire`
        self.counts: dict[KindT, int] = {}  # as many as there are kinds in the rows

    def add(self, at: float, kind: KindT) -> None:
        """Add a row of a time that is not before the newest one's."""
        self.rows.append((at, kind))
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def restamp(self, at: float, kind: KindT, now: float) -> None:
        """The row of that time counts as one of now. It is searched for: for what happens seldom.

        >>> window: SlidingWindow[str] = SlidingWindow()
        >>> window.add(1.0, "a"), window.restamp(1.0, "a", 2.0), window.expire(1.5), window.count("a")
        (None, None, None, 1)
        """
        try:
            self.rows.remove((at, kind))
        except ValueError:  # it is gone with its time
            self.counts[kind] = self.counts.get(kind, 0) + 1
        self.rows.append((now, kind))

    def prepend(self, rows: Iterable[tuple[float, KindT]]) -> None:
        """Add rows older than all here, in any order."""
        for at, kind in sorted(rows, key=lambda row: row[0], reverse=True):
            self.rows.appendleft((at, kind))
            self.counts[kind] = self.counts.get(kind, 0) + 1

    def expire(self, before: float, *, inclusive: bool = False) -> None:
        """Drop what is older than that, and with ``inclusive`` what is just as old."""
        rows = self.rows
        counts = self.counts
        while rows and (rows[0][0] < before or (inclusive and rows[0][0] == before)):
            kind = rows.popleft()[1]
            if counts[kind] == 1:
                del counts[kind]
            else:
                counts[kind] -= 1

    def count(self, *kinds: KindT) -> int:
        """Rows of these kinds; of all, where none is named."""
        return sum(self.counts.get(kind, 0) for kind in kinds) if kinds else len(self.rows)

    @property
    def oldest(self) -> float:
        """The time of the oldest row.

        Raises:
            IndexError: there is none.
        """
        return self.rows[0][0]

    def __len__(self) -> int:
        return len(self.rows)

    def __iter__(self) -> Iterator[tuple[float, KindT]]:
        return iter(self.rows)
