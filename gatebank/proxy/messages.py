"""Protocol-independent data passed between the client side, the dispatcher and the endpoint side."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gatebank.errors import GatebankError
from gatebank.events import Outcome, RetrySafety
from gatebank.settings import Settings


class CommandError(GatebankError):
    """A client's command cannot be executed.

    Attributes:
        reason: Text of the error reply to the client.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class RequestClassRef(NamedTuple):
    """Reference to a request class of the settings."""

    class_index: int
    retry_safety: RetrySafety


def request_classes_by_name(settings: Settings) -> dict[str, RequestClassRef]:
    """Return the request classes of the settings by the names that clients use."""
    return {
        request_class.name: RequestClassRef(index, request_class.retry_safety)
        for index, request_class in enumerate(settings.request_classes)
    }


def tenants_by_name(settings: Settings) -> dict[str, int]:
    """Return the indices of the tenants by the names that clients use."""
    return {tenant.name: index for index, tenant in enumerate(settings.tenants)}


# Not frozen: an instance is created for each request, and creating a frozen one takes three times as long.
@dataclass(slots=True)
class ClientRequest:
    """A request as the client sent it.

    The contents are copied from the receive buffer, because the request may need several attempts.

    Attributes:
        id: Request id chosen by the client.
        request_class: Index of the request class.
        tenant: Index of the tenant; 0 if the settings define no tenants.
        timeout: Seconds that the client waits for the answer.
        cost_hint: Processing time in seconds that the client expects; None if the client sent no hint.
        key: Hash of the routing key.
        is_client_retry: True if the client marked the request as a retry.
        size: Memory held by the request, in bytes.
    """

    id: bytes
    request_class: int
    tenant: int
    timeout: float
    cost_hint: float | None
    key: int
    is_client_retry: bool
    size: int

    def command(self, timeout: float) -> bytes:
        """Encode the request in the endpoint's protocol, with ``timeout`` seconds left to process it."""
        raise NotImplementedError


class EndpointReply(NamedTuple):
    """Outcome of an attempt and the contents of the endpoint's reply.

    Attributes:
        value: Value in the reply, a slice of the connection's receive buffer that is valid until the next
            read.
        load_report: Numbers of the load report, in the order of the settings' report fields.
    """

    outcome: Outcome
    value: memoryview | None = None
    load_report: Sequence[float] | None = None
