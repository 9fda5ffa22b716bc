"""What reached the stand-in nodes: commands received, and what they ran, by id, ticket and address."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


def names(words: list[bytes]) -> dict[bytes, bytes]:
    """The names and values of a command.

    >>> names([b"Q.ASK", b"k", b"i", b"c=read,d=5"])
    {b'c': b'read', b'd': b'5'}
    """
    pairs = words[3].split(b",") if len(words) > 3 else ()
    return {name: value for name, _, value in (pair.partition(b"=") for pair in pairs)}


@dataclass
class Counts:
    """Kept by the world for all its nodes; as long as what was sent to it, emptied by `clear`."""

    received: int = 0
    by_address: Counter[str] = field(default_factory=Counter)
    received_by_id: Counter[bytes] = field(default_factory=Counter)
    ran_by_id: Counter[bytes] = field(default_factory=Counter)
    ran_by_ticket: Counter[bytes] = field(default_factory=Counter)
    ran_by_body: Counter[bytes] = field(default_factory=Counter)
    ran_by_workload: Counter[bytes] = field(default_factory=Counter)

    def take(self, address: str, words: list[bytes]) -> None:
        self.received += 1
        self.by_address[address] += 1
        if len(words) > 2:
            self.received_by_id[words[2]] += 1

    def ran(self, words: list[bytes]) -> None:
        told = names(words)
        if len(words) > 2:
            self.ran_by_id[words[2]] += 1
        if b"k" in told:
            self.ran_by_ticket[told[b"k"]] += 1
        if len(words) > 4:
            self.ran_by_body[words[4]] += 1
        self.ran_by_workload[told.get(b"c", b"")] += 1

    def twice(self) -> list[bytes]:
        """Ids and tickets of what ran more than once."""
        return [name for table in (self.ran_by_id, self.ran_by_ticket) for name, n in table.items() if n > 1]

    def clear(self) -> None:
        self.__init__()
