"""Counts of the commands that fake endpoints received and executed, by id, key, body, class and address."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


def command_fields(arguments: list[bytes]) -> dict[bytes, bytes]:
    """Return the named fields in a command's fourth argument; empty for a command without it.

    >>> command_fields([b"Q.ASK", b"k", b"i", b"c=read,d=5"])
    {b'c': b'read', b'd': b'5'}
    """
    if len(arguments) < 4:
        return {}
    pairs = (pair.partition(b"=") for pair in arguments[3].split(b","))
    return {name: value for name, _, value in pairs}


@dataclass
class CommandCounts:
    """Counts of the commands at all endpoints of a world since the last `clear`.

    Attributes:
        received: Commands received, whether or not they were executed.
        by_address: Commands received, by the endpoint's address.
        received_by_id: Commands received, by request id.
        executed_by_id: Commands executed, by request id.
        executed_by_idempotency_key: Commands executed, by idempotency key.
        executed_by_body: Commands executed, by body.
        executed_by_class: Commands executed, by request class.
    """

    received: int = 0
    by_address: Counter[str] = field(default_factory=Counter)
    received_by_id: Counter[bytes] = field(default_factory=Counter)
    executed_by_id: Counter[bytes] = field(default_factory=Counter)
    executed_by_idempotency_key: Counter[bytes] = field(default_factory=Counter)
    executed_by_body: Counter[bytes] = field(default_factory=Counter)
    executed_by_class: Counter[bytes] = field(default_factory=Counter)

    def count_received(self, address: str, arguments: list[bytes]) -> None:
        """Count a command that the endpoint at an address received."""
        self.received += 1
        self.by_address[address] += 1
        if len(arguments) > 2:
            self.received_by_id[arguments[2]] += 1

    def count_executed(self, arguments: list[bytes]) -> None:
        """Count a command that an endpoint executed."""
        fields = command_fields(arguments)
        if len(arguments) > 2:
            self.executed_by_id[arguments[2]] += 1
        if b"k" in fields:
            self.executed_by_idempotency_key[fields[b"k"]] += 1
        if len(arguments) > 4:
            self.executed_by_body[arguments[4]] += 1
        self.executed_by_class[fields.get(b"c", b"")] += 1

    def executed_twice(self) -> list[bytes]:
        """Return the request ids and idempotency keys that were executed more than once."""
        tables = (self.executed_by_id, self.executed_by_idempotency_key)
        return [name for table in tables for name, count in table.items() if count > 1]

    def clear(self) -> None:
        """Reset all counts to zero."""
        self.received = 0
        for table in (
            self.by_address,
            self.received_by_id,
            self.executed_by_id,
            self.executed_by_idempotency_key,
            self.executed_by_body,
            self.executed_by_class,
        ):
            table.clear()
