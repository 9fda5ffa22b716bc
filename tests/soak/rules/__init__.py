"""The rules that the soak checks, and the search for violations in the records of a play.

The limits come from the documents PROTOCOL ("The rules on sockets", "Figures") and STANDING and from the
settings. Each limit is extended by the time for which this process was stalled, or for which an instance was
stopped by the schedule or waited for a core. For a request that meets a crowd, the limit of the answer is
STANDING's half second.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from tests.soak.records import Records
from tests.soak.rules.answers import (
    check_answers,
    check_attempts_after_end,
    check_commands,
    check_remaining_time,
)
from tests.soak.rules.base import Violation
from tests.soak.rules.effects import check_effects
from tests.soak.rules.endpoints import check_cold_endpoints, check_drains
from tests.soak.rules.exposure import check_exposure
from tests.soak.rules.keys import check_sticky_keys
from tests.soak.rules.processes import check_datagrams, check_memory, check_processes, check_rest

__all__ = ["RULES", "Violation", "find_violations"]

RULES: tuple[Callable[[Records], Iterator[Violation]], ...] = (
    check_answers,
    check_attempts_after_end,
    check_commands,
    check_remaining_time,
    check_effects,
    check_drains,
    check_cold_endpoints,
    check_exposure,
    check_sticky_keys,
    check_processes,
    check_datagrams,
    check_rest,
    check_memory,
)


def find_violations(records: Records) -> list[Violation]:
    """Return all violations of rules, the earliest first."""
    found = [violation for rule in RULES for violation in rule(records)]
    return sorted(found, key=lambda violation: violation.at)
