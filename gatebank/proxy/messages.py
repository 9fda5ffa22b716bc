"""What passes between clients' side, dispatcher and endpoints' side, in no protocol's form."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gatebank.errors import GatebankError
from gatebank.events import Outcome, RetrySafety
from gatebank.settings import Settings


class CommandError(GatebankError):
    """A command that can't be carried out.

    Attributes:
        reason: What is wrong, as the client's error line says it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class RequestClassRef(NamedTuple):
    """A request class as the balancer knows it."""

    class_index: int
    retry_safety: RetrySafety


def request_classes_by_name(settings: Settings) -> dict[str, RequestClassRef]:
    """The request classes of the settings, by the name that clients use."""
    return {
        request_class.name: RequestClassRef(index, request_class.retry_safety)
        for index, request_class in enumerate(settings.request_classes)
    }


def tenants_by_name(settings: Settings) -> dict[str, int]:
    """Indices of the tenants, by the name that clients use."""
    return {tenant.name: index for index, tenant in enumerate(settings.tenants)}


@dataclass(slots=True)  # not frozen: one is made for each request, and a frozen one takes three times as long
class ClientRequest:
    """A request as a client wrote it, copied: it outlives the buffer, as it may need several attempts.

    Attributes:
        id: The client's own name for it.
        request_class: Index of the request class.
        tenant: Index of the tenant; 0 where the settings have none.
        timeout: Seconds that the client waits.
        cost_hint: Seconds that the client expects it to take; None if it does not say.
        key: Hash of the routing key.
        is_client_retry: The client says that it sent it before.
        size: Bytes held.
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
        """Encode it for an endpoint that has ``timeout`` seconds for it, in its protocol."""
        raise NotImplementedError


class EndpointReply(NamedTuple):
    """How an attempt ended and what the endpoint said.

    Attributes:
        value: The endpoint's answer, a slice of its connection's buffer: good until the next read.
        load_report: Figures in the order of the settings' report fields.
    """

    outcome: Outcome
    value: memoryview | None = None
    load_report: Sequence[float] | None = None
