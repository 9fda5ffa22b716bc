"""The release service's news by two connections: the older never raises a cap again."""

from __future__ import annotations

from dataclasses import replace

from gatebank.events import Phase, ReleaseStatus, ReplyStatus
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.release_service import ReleaseService
from gatebank.settings import Settings


async def test_older_news_raises_no_cap() -> None:
    """No news is older.

    A state that began earlier, come late by the other connection, raises no cap again.
    """
    told: list[ReleaseStatus] = []
    registry = EndpointRegistry(Settings())
    desk = ReleaseService(None, registry, 1.0, lambda: 100.0, told.append, request_classes={})
    trial = ReleaseStatus(ReplyStatus.ACCEPTED, True, 42, 0, Phase.CANARY, 0.2, 3.0)
    desk.accept_status(trial)
    desk.accept_status(replace(trial, is_vote_reply=False, phase=Phase.ROLLING_BACK, cap=0.0, age=0.5))
    desk.accept_status(replace(trial, age=2.9))
    assert [(news.cap, news.is_vote_reply) for news in told] == [(0.2, True), (0.0, False), (0.0, True)], told
