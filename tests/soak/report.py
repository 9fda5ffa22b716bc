"""The result of a play, its JSON form for another process, and the sum of several results."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields

# Number of a rule's critical moments in a long run below which the rule counts as not tested.
MIN_MOMENTS = 20
COUNTED = ("requests", "served", "rejected", "failed", "unanswered", "attempts", "executions", "processes")


@dataclass(slots=True)
class Result:
    """The result of one play, as the fakes and clients counted it.

    Attributes:
        seconds: Duration of the play.
        unanswered: Requests without an answer, whether or not a rule allows that.
        longest_stall: Longest stall of the process that runs the fakes and clients, in seconds.
        breaks: One line for each violation of a rule.
        rules_broken: The rules of ``breaks``, in the same order.
        moments: How often the critical moment of each rule occurred (`rules.moments`).
        problem: The error that ended the play early; empty if there was none.
    """

    seed: int
    seconds: float
    requests: int
    served: int
    rejected: int
    failed: int
    unanswered: int
    attempts: int
    executions: int
    processes: int
    longest_stall: float
    faults: dict[str, int]
    moments: dict[str, int]
    breaks: list[str]
    rules_broken: list[str]
    problem: str

    @property
    def is_clean(self) -> bool:
        """Whether the play was completed without a broken rule."""
        return not self.breaks and not self.problem

    def to_json(self) -> str:
        """Return the result as one line of JSON."""
        return json.dumps(asdict(self))

    @classmethod
    def from_json(cls, text: str) -> Result:
        """Return the result that `to_json` wrote."""
        values = json.loads(text)
        return cls(**{field.name: values[field.name] for field in fields(cls)})

    def __str__(self) -> str:
        """Return one line that sums up the play."""
        outcome = "clean" if self.is_clean else f"{len(self.breaks)} BROKEN {sorted(set(self.rules_broken))}"
        outcome += " NOT PLAYED TO ITS END" if self.problem else ""
        counts = f"{self.requests} requests, {self.attempts} attempts, {self.processes} processes"
        times = f"{self.seconds:.0f} s, stalls to {self.longest_stall:.3f} s"
        return f"seed {self.seed}: {counts}, {times}: {outcome}"


def summary(results: Iterable[Result]) -> str:
    """Return a text with the sums over several plays."""
    results = list(results)
    totals = {name: sum(getattr(result, name) for result in results) for name in COUNTED}
    faults = sum((Counter(result.faults) for result in results), Counter[str]())
    breaks = Counter(rule for result in results for rule in result.rules_broken)
    lines = [f"{len(results)} seeds: " + ", ".join(f"{count} {name}" for name, count in totals.items())]
    lines.append("faults played: " + ", ".join(f"{kind} {count}" for kind, count in sorted(faults.items())))
    lines.append(
        "rules broken: " + (", ".join(f"{rule} {count}" for rule, count in breaks.items()) or "none")
    )
    moments = sum((Counter(result.moments) for result in results), Counter[str]())
    counted = {name: moments[name] for result in results for name in result.moments}
    lines += [
        f"{name}: {number}" + (", NOT TESTED" if number < MIN_MOMENTS else "")
        for name, number in counted.items()
    ]
    unfinished = [result.seed for result in results if result.problem]
    if unfinished:
        lines.append(f"not played to their end: seeds {unfinished}")
    return "\n".join(lines)
