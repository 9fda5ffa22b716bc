"""Which exchanges of a capture are wanted. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, fields

from gatebank.capture.records import Exchange

MEMBERSHIP_FIELDS = ("request_class", "tenant", "key", "id", "ended", "side")


@dataclass(slots=True, frozen=True)
class ExchangeFilter:
    """Chooses exchanges; what is None is not asked.

    Attributes:
        begin: ns of Unix time: asked then or later.
        end: ns of Unix time: asked before.
        request_class: One of these request classes.
        tenant: One of these tenants.
        key: One of these keys.
        id: One of these ids.
        ended: One of these outcomes.
        side: One of these sides.
        port: Either end has one of these ports.

    >>> exchange = Exchange(5, "127.0.0.1:9", "127.0.0.1:6379", "node", [b"Q.ASK", b"k"], True, 1, 1)
    >>> filters = ({}, {"begin": 5}, {"end": 5}, {"port": frozenset([9])})
    >>> [ExchangeFilter(**each)(exchange) for each in filters]
    [True, True, False, True]
    >>> filters = ({"key": frozenset("k")}, {"key": frozenset("x")}, {"id": frozenset("x")})
    >>> [ExchangeFilter(**each)(exchange) for each in filters]
    [True, False, False]
    """

    begin: int | None = None
    end: int | None = None
    request_class: frozenset[str] | None = None
    tenant: frozenset[str] | None = None
    key: frozenset[str] | None = None
    id: frozenset[str] | None = None
    ended: frozenset[str] | None = None
    side: frozenset[str] | None = None
    port: frozenset[int] | None = None

    def __call__(self, exchange: Exchange) -> bool:
        """Whether the exchange is wanted."""
        return self._is_in_time(exchange) and self._has_port(exchange) and self._is_member(exchange)

    @property
    def accepts_all(self) -> bool:
        """Whether every exchange is wanted."""
        return all(getattr(self, field.name) is None for field in fields(self))

    def _is_in_time(self, exchange: Exchange) -> bool:
        if self.begin is None and self.end is None:
            return True
        at = exchange.asked_at if exchange.asked_at is not None else exchange.answered_at
        if at is None:
            return False
        return (self.begin is None or at >= self.begin) and (self.end is None or at < self.end)

    def _has_port(self, exchange: Exchange) -> bool:
        if self.port is None:
            return True
        ends = (exchange.client, exchange.server)
        return any(int(end.rpartition(":")[2]) in self.port for end in ends)

    def _is_member(self, exchange: Exchange) -> bool:
        for name in MEMBERSHIP_FIELDS:
            wanted = getattr(self, name)
            if wanted is not None and getattr(exchange, name) not in wanted:
                return False
        return True
