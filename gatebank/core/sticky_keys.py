"""The builds that keys are bound to: a key that a new build has answered goes to no earlier build."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

DEFAULT_MAX_KEYS = 65_536


class StickyKeys:
    """The earliest build that each key may be sent to, for keys that a new build has answered.

    >>> keys = StickyKeys()
    >>> keys.bind(7, 43)
    >>> keys.bind(7, 42)  # A late answer of the earlier build.
    >>> keys.earliest_build(7), keys.bound_builds()
    (43, {43})
    >>> keys.retain(lambda build: build > 43)
    >>> keys.earliest_build(7), len(keys)
    (None, 0)

    Attributes:
        max_keys: the largest number of keys for which `has_room_for` holds; a host lowers it to its memory.
    """

    def __init__(self, max_keys: int = DEFAULT_MAX_KEYS) -> None:
        self.max_keys = max_keys
        self._builds: dict[int, int] = {}
        self._key_counts: Counter[int] = Counter()
        self._unlisted_since: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._builds)

    def earliest_build(self, key: int | None) -> int | None:
        """Return the earliest build that a key may be sent to; None if it may be sent to any."""
        return None if key is None else self._builds.get(key)

    def has_room_for(self, key: int) -> bool:
        """Return whether a key is bound, or could be bound."""
        return key in self._builds or len(self._builds) < self.max_keys

    def bind(self, key: int, build: int) -> None:
        """Bind a key to a build, unless it is bound to a later one."""
        bound = self._builds.get(key)
        if bound is not None and bound >= build:
            return
        if bound is not None:
            self._count(bound, -1)
        self._builds[key] = build
        self._count(build, 1)

    def bound_builds(self) -> set[int]:
        """Return the builds that any key is bound to."""
        return set(self._key_counts)

    def note_listed(self, highest_build: int, now: float) -> None:
        """Note from when on neither an endpoint of a bound build nor of a later one is listed.

        Args:
            highest_build: the highest build of any listed endpoint.
            now: the current time.
        """
        unlisted = {build for build in self._key_counts if build > highest_build}
        self._unlisted_since = {build: self._unlisted_since.get(build, now) for build in unlisted}

    def unlisted_time(self, build: int, now: float) -> float:
        """Return the seconds for which no endpoint of a build or of a later one has been listed."""
        return now - self._unlisted_since.get(build, now)

    def retain(self, keeps: Callable[[int], bool]) -> None:
        """Release the keys of the builds for which ``keeps`` returns False."""
        kept = {build for build in self._key_counts if keeps(build)}
        if len(kept) == len(self._key_counts):
            return
        self._builds = {key: build for key, build in self._builds.items() if build in kept}
        self._key_counts = Counter({build: self._key_counts[build] for build in kept})

    def _count(self, build: int, change: int) -> None:
        self._key_counts[build] += change
        if not self._key_counts[build]:
            del self._key_counts[build]
