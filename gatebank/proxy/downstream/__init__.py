"""Downstream side: client connections and the order of the replies on them.

`Downstream` owns the listener and all client connections; a `ClientConnection` owns its socket, buffer and
tasks. Each request command becomes a `ClientRequest`, which is passed to a `RequestHandler` together with the
`PendingReply` that takes the request's final answer. A client is the process that connects; the account that
a request names in its field ``t`` is a tenant.
"""

from gatebank.proxy.downstream.connection import ClientConnection
from gatebank.proxy.downstream.listener import Downstream
from gatebank.proxy.downstream.replies import PendingReply, RequestHandler

__all__ = [
    "ClientConnection",
    "Downstream",
    "PendingReply",
    "RequestHandler",
]
