"""Rare moments on the watches of discovery and release service: each test forces one bad order of events."""

from __future__ import annotations

import asyncio
import json
import time
from types import SimpleNamespace

import pytest

from gatebank.actions import CastVote
from gatebank.events import Condition, Endpoint, Phase, ReleaseStatus, Verdict
from gatebank.fakes.wire import http_response
from gatebank.proxy.control_plane import ControlPlaneWatches
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.release_service import MIN_RECONNECT_S, ReleaseService
from gatebank.settings import Settings
from tests.support.connections import PATIENCE, Toy, in_the_turn, until, waits_nobody

pytestmark = pytest.mark.uvloop


class Told:
    """Stands for the exchange where a list and news are followed: keeps what it is told."""

    def __init__(self) -> None:
        self.settings, self.rolls, self.news = Settings(), list[list[Condition]](), list[ReleaseStatus]()
        register = EndpointRegistry(self.settings)
        self.desk = ReleaseService(None, register, 1.0, time.time, self.news.append, request_classes={})
        self.following = ControlPlaneWatches(self, register, self.desk)  # type: ignore[arg-type]

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        self.rolls.append([each.condition for each in endpoints])

    def on_watch_failed(self) -> None: ...
    def count(self, what: str) -> None: ...

    def move(self, roll: tuple[str, int] | None = None, desk: tuple[str, int] | None = None) -> None:
        self.following.update_addresses(SimpleNamespace(discovery=roll, release_service=desk, seed=1))  # type: ignore[arg-type]


def listed(state: str, version: int) -> bytes:
    node = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": state, "version_no": 1}
    body = json.dumps({"generation": version, "reset": True, "instances": [node]}, indent=1)
    return http_response("200 OK", "application/json", body.encode())


def rollout(progress: str, ring: int, lag: int = 0) -> bytes:
    cap = 0.0 if progress == "ROLLING_BACK" else 0.2
    text = f"event: ROLLOUT\ndata: image=42&ring={ring}&progress={progress}&ceiling={cap}&lag_ms={lag}\n\n"
    return b"%x\r\n%b\r\n" % (len(text), text.encode())


STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


async def test_list_written_as_discovery_moves_counts() -> None:
    """A list written as discovery moves.

    A drain has been read from the kernel, and SIGHUP's new addresses come before its task goes on: it
    counts as told. What was followed goes on until the new one has answered, and no longer.
    """
    old, new, told = Toy(), Toy(), Told()
    loop = asyncio.get_running_loop()
    try:
        told.move(roll=old.where)
        sock = await old.accepted()
        await loop.sock_recv(sock, 4096)
        sock.send(listed("SERVING", 3))
        await until(lambda: told.rolls)
        await loop.sock_recv(sock, 4096)
        await in_the_turn(lambda: sock.send(listed("DRAINING", 4)), lambda: told.move(roll=new.where))
        other = await new.accepted()  # and says nothing yet
        await until(lambda: len(told.rolls) == 2)
        assert told.rolls[1] == [Condition.DRAINING]
        await loop.sock_recv(sock, 4096)  # the watch goes on
        sock.send(listed("SERVING", 5))
        await until(lambda: len(told.rolls) == 3)
        await loop.sock_recv(other, 4096)
        other.send(listed("DRAINING", 1))
        await until(lambda: len(told.rolls) == 4)
        async with asyncio.timeout(PATIENCE):
            while await loop.sock_recv(sock, 4096):
                pass
        assert told.rolls[3] == [Condition.DRAINING]
    finally:
        told.following.close()
        old.close()
        new.close()


async def test_news_written_as_the_desk_moves_counts() -> None:
    """News written as the release service moves.

    The same for the release service's stream: a build that goes back.
    """
    old, new, told = Toy(), Toy(), Told()
    loop = asyncio.get_running_loop()
    try:
        told.move(desk=old.where)
        sock = await old.accepted()
        await loop.sock_recv(sock, 4096)
        sock.send(STREAM + rollout("IN_PROGRESS", 0))
        await until(lambda: told.news)
        back = rollout("ROLLING_BACK", 0)
        await in_the_turn(lambda: sock.send(back), lambda: told.move(desk=new.where))
        other = await new.accepted()
        await until(lambda: len(told.news) == 2)
        assert told.news[1].phase is Phase.ROLLING_BACK
        await loop.sock_recv(other, 4096)
        other.send(STREAM + back)
        await until(lambda: len(told.news) == 3)
        assert await asyncio.wait_for(loop.sock_recv(sock, 4096), PATIENCE) == b""
        # One that ends before the next has told anything is not asked again: it takes no connection now.
        last = Toy()
        told.move(desk=last.where)
        (await last.accepted())  # silent
        other.close()
        await asyncio.sleep(10 * MIN_RECONNECT_S)
        assert waits_nobody(new.listener) and waits_nobody(old.listener)
        last.close()
    finally:
        told.following.close()
        old.close()
        new.close()


async def test_overtaken_news_raises_no_cap() -> None:
    """News overtaken.

    The answer to a vote was written before a build went back and comes long after: it raises no cap again,
    though by its age, counted as it was written, it looks the younger.
    """
    told = Told()
    desk, back = Toy(), rollout("ROLLING_BACK", 1, 400)
    loop = asyncio.get_running_loop()
    try:
        told.move(desk=desk.where)
        stream = await desk.accepted()
        await loop.sock_recv(stream, 4096)
        stream.send(STREAM + rollout("IN_PROGRESS", 1, 100))
        await until(lambda: told.news)
        told.desk.vote(CastVote(42, 1, Verdict.PROMOTE))
        asked = await desk.accepted()
        await loop.sock_recv(asked, 4096)
        stream.send(back)
        await until(lambda: len(told.news) == 2)
        state = "<image>42</image><ring>1</ring><progress>IN_PROGRESS</progress><ceiling>0.2</ceiling>"
        text = f"<Response><groups><item>{state}<lag_ms>150</lag_ms></item></groups></Response>"
        asked.send(http_response("200 OK", "application/xml", text.encode()))
        await until(lambda: len(told.news) == 3)
        assert (told.news[2].phase, told.news[2].cap) == (Phase.ROLLING_BACK, 0.0), told.news[2]
        assert told.news[2].is_vote_reply
    finally:
        told.following.close()
        told.desk.close()
        desk.close()


async def test_silent_watch_is_begun_anew_in_time() -> None:
    """A silent watch.

    A watch falls silent, also amid an answer: it is begun anew within the 6 s after which what it misses
    counts as told, and by another connection.
    """
    for sent in (b"", listed("DRAINING", 9)[:-20]):
        there, told = Toy(), Told()
        loop = asyncio.get_running_loop()
        try:
            told.move(roll=there.where)
            sock = await there.accepted()
            await loop.sock_recv(sock, 4096)
            sock.send(listed("SERVING", 3))
            await until(lambda told=told: told.rolls)
            await loop.sock_recv(sock, 4096)
            sock.send(sent)
            started = loop.time()
            other = await there.accepted()
            await loop.sock_recv(other, 4096)
            other.send(listed("DRAINING", 10))
            await until(lambda told=told: len(told.rolls) == 2)
            assert told.rolls[1] == [Condition.DRAINING] and loop.time() - started < 4.0
        finally:
            told.following.close()
            there.close()
