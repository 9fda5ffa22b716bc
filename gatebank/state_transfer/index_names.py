"""The names behind the balancer's small indices, and who an item comes from."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from gatebank.core.llr_sums import Statistic
from gatebank.settings import Settings

STORED_RATIO_NAMES = {
    Statistic.ERRORS: "broke",
    Statistic.LATE_VERSUS_BASELINE: "late",
    Statistic.LATE_VERSUS_BEFORE_CANARY: "everywhere",
    Statistic.CONNECTIONS_LOST: "cut",
}  # as they are stored
CLASS_ERRORS_PREFIX = "errors:"  # and the class's name


class IndexNames:
    """What the balancer's indices stand for.

    Attributes:
        endpoints: names by index; empty or None where an index stands for none.
        request_classes: names in the order of their indices.
    """

    def __init__(self, settings: Settings, endpoints: Mapping[int, str] | Sequence[str | None]) -> None:
        self.endpoints = endpoints
        self.request_classes = [each.name for each in settings.request_classes]
        self.machine_kinds = list(settings.kinds)

    def machine_kind(self, index: int) -> str:
        """The name of a machine kind."""
        known = 0 <= index < len(self.machine_kinds)
        return str(self.machine_kinds[index]) if known else f"#{index}"

    def ratio(self, statistic: int) -> str:
        """The stored name of a statistic of the sequential test."""
        of_class = statistic - Statistic.FIRST_CLASS
        return STORED_RATIO_NAMES.get(statistic) or f"{CLASS_ERRORS_PREFIX}{self.request_classes[of_class]}"

    def endpoint_indices(self, indices: Iterable[int]) -> dict[str, int]:
        """Those indices by their names."""
        names = ((index, self.endpoints[index]) for index in indices)
        return {name: index for index, name in names if name is not None}


class Origin(NamedTuple):
    """Who saw it: an instance by name, and which start of it."""

    name: str
    incarnation: int
