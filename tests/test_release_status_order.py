"""Order of release statuses that arrive on two connections: an older status never raises a cap."""

from __future__ import annotations

from dataclasses import replace

from gatebank.events import Phase, ReleaseStatus, ReplyStatus
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.release_service import ReleaseService
from gatebank.settings import Settings


async def test_older_status_does_not_raise_cap() -> None:
    """A state that began earlier but arrives late on the other connection must not raise the cap."""
    statuses: list[ReleaseStatus] = []
    registry = EndpointRegistry(Settings())
    service = ReleaseService(None, registry, 1.0, lambda: 100.0, statuses.append, request_classes={})
    canary = ReleaseStatus(ReplyStatus.ACCEPTED, True, 42, 0, Phase.CANARY, 0.2, 3.0)
    service.accept_status(canary)
    service.accept_status(replace(canary, is_vote_reply=False, phase=Phase.ROLLING_BACK, cap=0.0, age=0.5))
    service.accept_status(replace(canary, age=2.9))
    assert [(status.cap, status.is_vote_reply) for status in statuses] == [
        (0.2, True),
        (0.0, False),
        (0.0, True),
    ], statuses
