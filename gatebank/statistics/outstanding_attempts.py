"""Endpoints with attempts outstanding, the one from which nothing came for longest first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Hashable
from typing import Generic, TypeVar

EndpointT = TypeVar("EndpointT", bound=Hashable)


class OutstandingAttempts(Generic[EndpointT]):
    """Attempts outstanding by endpoint and request class.

    An endpoint's silence begins with its first attempt and anew with each result, so that endpoints stand in
    the order of their silence and a count of the silent ones looks at no other.
    """

    __slots__ = ("_by_class", "_by_endpoint")

    def __init__(self) -> None:
        self._by_endpoint: OrderedDict[EndpointT, dict[int, int]] = (
            OrderedDict()
        )  # goes with the last attempt
        self._by_class: dict[int, int] = {}

    def started(self, endpoint: EndpointT, request_class: int) -> None:
        """An attempt is outstanding."""
        row = self._by_endpoint.get(endpoint)
        if row is None:
            row = self._by_endpoint[endpoint] = {}
        row[request_class] = row.get(request_class, 0) + 1
        self._by_class[request_class] = self._by_class.get(request_class, 0) + 1

    def ended(self, endpoint: EndpointT, request_class: int) -> None:
        """One of its attempts ended: the endpoint is not silent."""
        row = self._by_endpoint[endpoint]
        for table in (row, self._by_class):
            table[request_class] -= 1
            if not table[request_class]:
                del table[request_class]
        if row:
            self._by_endpoint.move_to_end(endpoint)
        else:
            del self._by_endpoint[endpoint]

    def count(self, excluded: Collection[int], is_silent: Callable[[EndpointT], bool]) -> int:
        """Attempts outstanding, but those of excluded request classes and those at silent endpoints."""
        total = sum(count for request_class, count in self._by_class.items() if request_class not in excluded)
        for endpoint, row in self._by_endpoint.items():
            if not is_silent(endpoint):
                break
            total -= sum(count for request_class, count in row.items() if request_class not in excluded)
        return total

    def __len__(self) -> int:
        """Endpoints with attempts outstanding."""
        return len(self._by_endpoint)

    def count_silent(
        self, is_silent: Callable[[EndpointT], bool], counts: Callable[[EndpointT], bool]
    ) -> int:
        """How many silent endpoints count."""
        found = 0
        for endpoint in self._by_endpoint:
            if not is_silent(endpoint):
                break
            found += counts(endpoint)
        return found
