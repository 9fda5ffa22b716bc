"""Downstream: clients' connections and the order of their answers.

`Downstream` owns the listener and a row a connection; a `ClientConnection` owns its socket, buffer and tasks.
A command becomes a `ClientRequest`, which goes to a `RequestHandler` together with a `PendingReply` that
takes its final answer. A client is who connects; the account that it names with ``t`` is a tenant.
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
