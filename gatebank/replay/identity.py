"""Names that identify a request across captures. No I/O.

An instance forwards a command's id and key unchanged, so that they are the same in every capture of the
command. The command's timeout changes, and a recording may have cut or hashed the body, idempotency key and
tenant. The name is therefore derived from request class, key and id. A request with an idempotency key has a
second name, derived from that key, because all requests with the same idempotency key mean the same effect.
"""

from __future__ import annotations

from hashlib import blake2b

from gatebank.capture.records import ID, KEY, PARAMETERS, Exchange

NAME_BYTES = 24  # Names collide by chance after about 2^96 requests.
IDEMPOTENCY_KEY_BYTES = 8  # Length of a new key; the protocol's keys have the same length.
MAX_HASH_KEY_BYTES = 64  # Maximum key length of blake2b.
# Prefixes that separate the two kinds of names; part of the stored hashes.
REQUEST_NAME = b"invocation"
IDEMPOTENCY_KEY_NAME = b"ticket"


def request_names(exchange: Exchange) -> list[bytes]:
    """Return all names of a request with an effect; it is not sent if the ledger contains any of the names.

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
    """Return the idempotency key sent in place of a recorded key.

    With the same ledger, equal recorded keys have equal new keys, so that repetitions remain repetitions.

    >>> new_idempotency_key(b"one", "7") == new_idempotency_key(b"one", "7")
    True
    >>> new_idempotency_key(b"one", "7") == new_idempotency_key(b"two", "7")
    False
    """
    key = ledger[:MAX_HASH_KEY_BYTES]
    return blake2b(recorded.encode(), digest_size=IDEMPOTENCY_KEY_BYTES, key=key).hexdigest().encode()


def replayed_arguments(exchange: Exchange, id_: bytes, idempotency_key: bytes | None) -> list[bytes]:
    """Return the arguments of the command to be sent.

    Args:
        exchange: The recorded exchange.
        id_: The new request id.
        idempotency_key: The new idempotency key; None to keep the recorded key, or if the request has none.
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
