"""What names a request, in whichever capture it stands. No I/O.

A command's id and key pass an instance unchanged and are the same in every copy of its packets; its timeout
is not, and body, idempotency key and tenant may have been cut or hashed by a recording. So the name is made
of request class, key and id. A request with an idempotency key has a second name by that: whoever sends the
key again means the same effect.
"""

from __future__ import annotations

from hashlib import blake2b

from gatebank.capture.records import ID, KEY, PARAMETERS, Exchange

NAME_BYTES = 24  # two requests share a name by chance once in 2^96 pairs
IDEMPOTENCY_KEY_BYTES = 8  # of a new key: the protocol's have as many
MAX_HASH_KEY_BYTES = 64  # that blake2b takes
# What kind of name it is; part of the stored names.
REQUEST_NAME = b"invocation"
IDEMPOTENCY_KEY_NAME = b"ticket"


def request_names(exchange: Exchange) -> list[bytes]:
    """All names of a request with an effect; if the ledger holds any, it is not sent.

    >>> from gatebank.capture.records import Exchange
    >>> def names_of(*arguments):
    ...     exchange = Exchange(1, "c", "s", "", list(arguments), True, 1, 1)
    ...     exchange.parse_parameters()
    ...     return request_names(exchange)
    >>> clients = names_of(b"Q.DO", b"k", b"i", b"c=sign,t=all,d=500,k=7", b"body")
    >>> endpoints = names_of(b"Q.DO", b"k", b"i", b"c=sign,t=all,d=480,k=7", b"body")
    >>> hidden = names_of(b"Q.DO", b"k", b"i", b"c=sign,t=88a1,d=500,k=77e0", b"hidden:4:01")
    >>> later = names_of(b"Q.DO", b"k", b"another", b"c=sign,t=all,d=500,k=7", b"body")
    >>> clients == endpoints, clients[0] == hidden[0], clients[1] == later[1], len(set(clients + later))
    (True, True, True, 3)
    """
    arguments = exchange.arguments
    request_class = (exchange.request_class or "").encode()
    names = [_name(REQUEST_NAME, request_class, arguments[KEY], arguments[ID])]
    if exchange.idempotency_key:
        names.append(_name(IDEMPOTENCY_KEY_NAME, request_class, exchange.idempotency_key.encode()))
    return names


def _name(*parts: bytes) -> bytes:
    framed = b"".join(len(part).to_bytes(8, "big") + part for part in parts)
    return blake2b(framed, digest_size=NAME_BYTES, person=b"gatebank-replay").digest()


def new_idempotency_key(ledger: bytes, recorded: str) -> bytes:
    """The key sent in place of a recorded one.

    Under one ledger it is the same for the same recorded key, so that repeats stay repeats.

    >>> new_idempotency_key(b"one", "7") == new_idempotency_key(b"one", "7")
    True
    >>> new_idempotency_key(b"one", "7") == new_idempotency_key(b"two", "7")
    False
    """
    key = ledger[:MAX_HASH_KEY_BYTES]
    return blake2b(recorded.encode(), digest_size=IDEMPOTENCY_KEY_BYTES, key=key).hexdigest().encode()


def replayed_arguments(exchange: Exchange, id_: bytes, idempotency_key: bytes | None) -> list[bytes]:
    """The command as it is sent anew.

    Args:
        exchange: The recorded one.
        id_: Its new id.
        idempotency_key: Its new key; None if it keeps the recorded one, or has none.
    """
    arguments = list(exchange.arguments)
    arguments[ID] = id_
    if idempotency_key is not None:
        parameters = [
            b"k=" + idempotency_key if parameter.startswith(b"k=") else parameter
            for parameter in arguments[PARAMETERS].split(b",")
        ]
        arguments[PARAMETERS] = b",".join(parameters)
    return arguments
