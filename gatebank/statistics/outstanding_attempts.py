"""Endpoints with outstanding attempts; first the endpoint whose last result is the oldest."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Hashable
from typing import Generic, TypeVar

EndpointT = TypeVar("EndpointT", bound=Hashable)


class OutstandingAttempts(Generic[EndpointT]):
    """Outstanding attempts by endpoint and request class.

    An endpoint's silence starts with its first outstanding attempt and restarts with each result. Endpoints
    are kept in the order in which their silence started, so that a count of the silent endpoints visits
    only these and the first one that is not silent.
    """

    __slots__ = ("_by_class", "_by_endpoint")

    def __init__(self) -> None:
        # An endpoint's entry is removed with the endpoint's last outstanding attempt.
        self._by_endpoint: OrderedDict[EndpointT, dict[int, int]] = OrderedDict()
        self._by_class: dict[int, int] = {}

    def started(self, endpoint: EndpointT, request_class: int) -> None:
        """Count an attempt that has started."""
        row = self._by_endpoint.get(endpoint)
        if row is None:
            row = self._by_endpoint[endpoint] = {}
        row[request_class] = row.get(request_class, 0) + 1
        self._by_class[request_class] = self._by_class.get(request_class, 0) + 1

    def ended(self, endpoint: EndpointT, request_class: int) -> None:
        """Remove an attempt that has ended; the endpoint's silence restarts."""
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
        """Return the number of outstanding attempts.

        Args:
            excluded: Request classes whose attempts are left out.
            is_silent: Whether an endpoint is silent; the attempts at silent endpoints are left out.
        """
        total = sum(count for request_class, count in self._by_class.items() if request_class not in excluded)
        for endpoint, row in self._by_endpoint.items():
            if not is_silent(endpoint):
                break
            total -= sum(count for request_class, count in row.items() if request_class not in excluded)
        return total

    def __len__(self) -> int:
        """Return the number of endpoints with outstanding attempts."""
        return len(self._by_endpoint)

    def count_silent(
        self, is_silent: Callable[[EndpointT], bool], is_included: Callable[[EndpointT], bool]
    ) -> int:
        """Return the number of silent endpoints.

        Args:
            is_silent: Whether an endpoint is silent.
            is_included: Whether to count an endpoint.
        """
        found = 0
        for endpoint in self._by_endpoint:
            if not is_silent(endpoint):
                break
            found += is_included(endpoint)
        return found
