"""What names an invocation, in whichever capture it stands. No I/O.

A command's id and key pass a marshal unchanged and are the same in every copy of its packets; `d` is not, and
body, ticket and customer may have been cut or hashed by a recording. So the name is made of workload, key and
id. A ticketed one has a second name by its ticket: whoever sends that ticket again means the same effect.
"""

from __future__ import annotations

from hashlib import blake2b

from gatebank.capture.records import Exchange

NAME = 24  # bytes: two invocations share one by chance once in 2^96 pairs
TICKET = 8  # bytes of a new ticket: PROTOCOL's have as many


def names(exchange: Exchange) -> list[bytes]:
    """All names of an invocation with an effect; none may be held by the ledger if it is to be sent.

    >>> from gatebank.capture.records import Exchange
    >>> def said(*words):
    ...     one = Exchange(1, "c", "s", "", list(words), True, 1, 1)
    ...     one.parse_parameters()
    ...     return names(one)
    >>> customers = said(b"Q.DO", b"k", b"i", b"c=sign,t=all,d=500,k=7", b"body")
    >>> nodes = said(b"Q.DO", b"k", b"i", b"c=sign,t=all,d=480,k=7", b"body")
    >>> hidden = said(b"Q.DO", b"k", b"i", b"c=sign,t=88a1,d=500,k=77e0", b"hidden:4:01")
    >>> later = said(b"Q.DO", b"k", b"another", b"c=sign,t=all,d=500,k=7", b"body")
    >>> customers == nodes, customers[0] == hidden[0], customers[1] == later[1], len(set(customers + later))
    (True, True, True, 3)
    """
    words = exchange.arguments
    found = [named(b"invocation", (exchange.request_class or "").encode(), words[1], words[2])]
    if exchange.idempotency_key:
        found.append(
            named(b"ticket", (exchange.request_class or "").encode(), exchange.idempotency_key.encode())
        )
    return found


def named(*parts: bytes) -> bytes:
    whole = b"".join(len(part).to_bytes(8, "big") + part for part in parts)
    return blake2b(whole, digest_size=NAME, person=b"gatebank-replay").digest()


def new_ticket(ledger: bytes, recorded: str) -> bytes:
    """The same for the same ticket under the same ledger, and no other's: repeats remain repeats.

    >>> new_ticket(b"one", "7") == new_ticket(b"one", "7"), new_ticket(b"one", "7") == new_ticket(b"two", "7")
    (True, False)
    """
    return blake2b(recorded.encode(), digest_size=TICKET, key=ledger[:64]).hexdigest().encode()


def command(exchange: Exchange, id_: bytes, ticket: bytes | None) -> list[bytes]:
    """The command as it is sent anew: its own id, and the ticket that may be known where it goes."""
    words = list(exchange.arguments)
    words[2] = id_
    if ticket is not None:
        pairs = [b"k=" + ticket if each.startswith(b"k=") else each for each in words[3].split(b",")]
        words[3] = b",".join(pairs)
    return words
