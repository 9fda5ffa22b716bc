"""Names for the balancer's numeric indices, and the origin of an item."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from gatebank.core.llr_sums import Statistic
from gatebank.settings import Settings

# Stored names of the likelihood ratios that do not belong to one request class.
STORED_RATIO_NAMES = {
    Statistic.ERRORS: "broke",
    Statistic.LATE_VERSUS_BASELINE: "late",
    Statistic.LATE_VERSUS_BEFORE_CANARY: "everywhere",
    Statistic.CONNECTIONS_LOST: "cut",
}
# Stored names of the other ratios are this prefix and the name of the request class.
CLASS_ERRORS_PREFIX = "errors:"


class IndexNames:
    """Translates between the balancer's indices and names.

    Attributes:
        endpoints: Names of endpoints by index; empty or None for an index without an endpoint.
        request_classes: Names of request classes by index.
        machine_kinds: Names of machine kinds by index.
    """

    def __init__(self, settings: Settings, endpoints: Mapping[int, str] | Sequence[str | None]) -> None:
        self.endpoints = endpoints
        self.request_classes = [request_class.name for request_class in settings.request_classes]
        self.machine_kinds = list(settings.kinds)

    def machine_kind(self, index: int) -> str:
        """Returns the name of a machine kind, or "#" and the index if the settings do not have the index."""
        known = 0 <= index < len(self.machine_kinds)
        return str(self.machine_kinds[index]) if known else f"#{index}"

    def ratio(self, statistic: int) -> str:
        """Returns the stored name of a statistic of the sequential test."""
        class_index = statistic - Statistic.FIRST_CLASS
        return (
            STORED_RATIO_NAMES.get(statistic) or f"{CLASS_ERRORS_PREFIX}{self.request_classes[class_index]}"
        )

    def endpoint_indices(self, indices: Iterable[int]) -> dict[str, int]:
        """Returns the given endpoint indices by name, without those that have no name."""
        names = ((index, self.endpoints[index]) for index in indices)
        return {name: index for index, name in names if name is not None}


class Origin(NamedTuple):
    """The instance that observed an item.

    Attributes:
        name: Name of the instance.
        incarnation: Random number of that instance's start.
    """

    name: str
    incarnation: int
