"""Selection of exchanges of a capture. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, fields

from gatebank.capture.records import Exchange

MEMBERSHIP_FIELDS = ("request_class", "tenant", "key", "id", "ended", "side")


@dataclass(slots=True, frozen=True)
class ExchangeFilter:
    """Selects exchanges that meet all conditions; a condition of None is not checked.

    Attributes:
        begin: Earliest time of the command, in ns of Unix time. Where the command's time is unknown, the time
            of the response is used.
        end: Time in ns of Unix time before which the command must have been sent.
        request_class: Accepted request classes.
        tenant: Accepted tenants.
        key: Accepted keys.
        id: Accepted request ids.
        ended: Accepted outcomes.
        side: Accepted sides.
        port: Accepted ports, of the client or the server.

    >>> exchange = Exchange(5, "127.0.0.1:9", "127.0.0.1:6379", "node", [b"Q.ASK", b"k"], True, 1, 1)
    >>> filters = ({}, {"begin": 5}, {"end": 5}, {"port": frozenset([9])})
    >>> [ExchangeFilter(**conditions)(exchange) for conditions in filters]
    [True, True, False, True]
    >>> filters = ({"key": frozenset("k")}, {"key": frozenset("x")}, {"id": frozenset("x")})
    >>> [ExchangeFilter(**conditions)(exchange) for conditions in filters]
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
        """Return whether the exchange meets all conditions."""
        return self._is_in_time(exchange) and self._has_port(exchange) and self._is_member(exchange)

    @property
    def accepts_all(self) -> bool:
        """Whether the filter has no condition and so selects every exchange."""
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
            accepted = getattr(self, name)
            if accepted is not None and getattr(exchange, name) not in accepted:
                return False
        return True
