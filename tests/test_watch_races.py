"""Race conditions in the watches of discovery and the release service; each test forces one order."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections import Counter
from contextlib import closing, suppress
from types import SimpleNamespace

import pytest

from gatebank.actions import CastVote
from gatebank.events import Condition, Endpoint, Phase, ReleaseStatus, Verdict
from gatebank.fakes.wire import http_response
from gatebank.proxy.configuration import MemoryBounds
from gatebank.proxy.control_plane import ControlPlaneWatches
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.release_service import MIN_RECONNECT_S, ReleaseService
from gatebank.settings import Settings
from tests.support.connections import (
    TIMEOUT_S,
    FakeEndpoint,
    no_connection_waiting,
    run_in_same_turn,
    wait_until,
)

pytestmark = pytest.mark.uvloop


class WatchingDispatcher:
    """Fake dispatcher that stores the endpoint lists and release statuses received by its watches."""

    def __init__(self) -> None:
        self.settings, self.endpoint_lists, self.statuses = (
            Settings(),
            list[list[Condition]](),
            list[ReleaseStatus](),
        )
        registry = EndpointRegistry(self.settings)
        self.release_service = ReleaseService(
            None, registry, 1.0, time.time, self.statuses.append, request_classes={}
        )
        self.watches = ControlPlaneWatches(self, registry, self.release_service)  # type: ignore[arg-type]

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        self.endpoint_lists.append([endpoint.condition for endpoint in endpoints])

    def on_watch_failed(self) -> None: ...
    def count(self, name: str) -> None: ...

    def update_addresses(
        self,
        discovery: tuple[str, int] | None = None,
        release_service: tuple[str, int] | None = None,
    ) -> None:
        self.watches.update_addresses(
            SimpleNamespace(  # type: ignore[arg-type]
                discovery=discovery,
                release_service=release_service,
                seed=1,
                bounds=MemoryBounds.within(192),
            )
        )


def list_reply(lifecycle: str, version: int) -> bytes:
    """Return discovery's reply with a complete list of one endpoint."""
    endpoint = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": lifecycle, "version_no": 1}
    body = json.dumps({"generation": version, "reset": True, "instances": [endpoint]}, indent=1)
    return http_response("200 OK", "application/json", body.encode())


def status_event(progress: str, ring: int, lag: int = 0) -> bytes:
    """Return a chunk of the release service's stream with one status event."""
    cap = 0.0 if progress == "ROLLING_BACK" else 0.2
    text = f"event: ROLLOUT\ndata: image=42&ring={ring}&progress={progress}&ceiling={cap}&lag_ms={lag}\n\n"
    return b"%x\r\n%b\r\n" % (len(text), text.encode())


STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


async def test_list_sent_while_discovery_address_changes_is_applied() -> None:
    """An endpoint list that arrives from the old address during an address change must not be lost.

    The list with a draining endpoint has been read from the kernel, and SIGHUP's new addresses are applied
    before the watch's task resumes. By the protocol the instance counts as informed of the list. The old
    watch must continue until the new one has received a reply, and no longer.
    """
    old, new, dispatcher = FakeEndpoint(), FakeEndpoint(), WatchingDispatcher()
    loop = asyncio.get_running_loop()
    try:
        dispatcher.update_addresses(discovery=old.address)
        sock = await old.accept()
        await loop.sock_recv(sock, 4096)
        sock.send(list_reply("SERVING", 3))
        await wait_until(lambda: dispatcher.endpoint_lists)
        await loop.sock_recv(sock, 4096)
        await run_in_same_turn(
            lambda: sock.send(list_reply("DRAINING", 4)),
            lambda: dispatcher.update_addresses(discovery=new.address),
        )
        other = await new.accept()  # The new discovery does not reply yet.
        await wait_until(lambda: len(dispatcher.endpoint_lists) == 2)
        assert dispatcher.endpoint_lists[1] == [Condition.DRAINING]
        await loop.sock_recv(sock, 4096)  # The old watch continues with a further call.
        sock.send(list_reply("SERVING", 5))
        await wait_until(lambda: len(dispatcher.endpoint_lists) == 3)
        await loop.sock_recv(other, 4096)
        other.send(list_reply("DRAINING", 1))
        await wait_until(lambda: len(dispatcher.endpoint_lists) == 4)
        async with asyncio.timeout(TIMEOUT_S):
            while await loop.sock_recv(sock, 4096):
                pass
        assert dispatcher.endpoint_lists[3] == [Condition.DRAINING]
    finally:
        dispatcher.watches.close()
        old.close()
        new.close()


async def test_status_sent_while_release_service_address_changes_is_applied() -> None:
    """A rollback that arrives from the old address during an address change must not be lost.

    This is the same race as with the endpoint list, on the stream of the release service.
    """
    old, new, dispatcher = FakeEndpoint(), FakeEndpoint(), WatchingDispatcher()
    loop = asyncio.get_running_loop()
    try:
        dispatcher.update_addresses(release_service=old.address)
        sock = await old.accept()
        await loop.sock_recv(sock, 4096)
        sock.send(STREAM + status_event("IN_PROGRESS", 0))
        await wait_until(lambda: dispatcher.statuses)
        rollback = status_event("ROLLING_BACK", 0)
        await run_in_same_turn(
            lambda: sock.send(rollback), lambda: dispatcher.update_addresses(release_service=new.address)
        )
        other = await new.accept()
        await wait_until(lambda: len(dispatcher.statuses) == 2)
        assert dispatcher.statuses[1].phase is Phase.ROLLING_BACK
        await loop.sock_recv(other, 4096)
        other.send(STREAM + rollback)
        await wait_until(lambda: len(dispatcher.statuses) == 3)
        assert await asyncio.wait_for(loop.sock_recv(sock, 4096), TIMEOUT_S) == b""
        # A superseded stream that ends before its successor has received anything is not reconnected.
        last = FakeEndpoint()
        dispatcher.update_addresses(release_service=last.address)
        (await last.accept())  # This release service sends nothing.
        other.close()
        await asyncio.sleep(10 * MIN_RECONNECT_S)
        assert no_connection_waiting(new.listener) and no_connection_waiting(old.listener)
        last.close()
    finally:
        dispatcher.watches.close()
        old.close()
        new.close()


async def test_vote_reply_older_than_latest_status_does_not_raise_cap() -> None:
    """A delayed reply to a vote must not raise the cap of a build that is being rolled back.

    The reply was written before the rollback began and arrives long after. Judged by its age, which was
    computed when the reply was written, the reply looks newer than the rollback status.
    """
    dispatcher = WatchingDispatcher()
    server, rollback = FakeEndpoint(), status_event("ROLLING_BACK", 1, 400)
    loop = asyncio.get_running_loop()
    try:
        dispatcher.update_addresses(release_service=server.address)
        stream = await server.accept()
        await loop.sock_recv(stream, 4096)
        stream.send(STREAM + status_event("IN_PROGRESS", 1, 100))
        await wait_until(lambda: dispatcher.statuses)
        dispatcher.release_service.vote(CastVote(42, 1, Verdict.PROMOTE))
        vote = await server.accept()
        await loop.sock_recv(vote, 4096)
        stream.send(rollback)
        await wait_until(lambda: len(dispatcher.statuses) == 2)
        state = "<image>42</image><ring>1</ring><progress>IN_PROGRESS</progress><ceiling>0.2</ceiling>"
        text = f"<Response><groups><item>{state}<lag_ms>150</lag_ms></item></groups></Response>"
        vote.send(http_response("200 OK", "application/xml", text.encode()))
        await wait_until(lambda: len(dispatcher.statuses) == 3)
        assert (dispatcher.statuses[2].phase, dispatcher.statuses[2].cap) == (Phase.ROLLING_BACK, 0.0), (
            dispatcher.statuses[2]
        )
        assert dispatcher.statuses[2].is_vote_reply
    finally:
        dispatcher.watches.close()
        dispatcher.release_service.close()
        server.close()


async def test_silent_watch_reconnects_in_time() -> None:
    """A watch whose connection falls silent, even within a reply, must reconnect in time.

    By the protocol the instance counts as informed of a list after 6 s, so the watch has to open a new
    connection within that time. The watch gives the old connection up after WATCH_WAIT_S + REPLY_GRACE_S
    (3 s) and retries after 0.1 s; the bound of 4 s leaves time for a busy machine.
    """
    for partial_reply in (b"", list_reply("DRAINING", 9)[:-20]):
        server, dispatcher = FakeEndpoint(), WatchingDispatcher()
        loop = asyncio.get_running_loop()
        try:
            dispatcher.update_addresses(discovery=server.address)
            sock = await server.accept()
            await loop.sock_recv(sock, 4096)
            sock.send(list_reply("SERVING", 3))
            await wait_until(lambda dispatcher=dispatcher: dispatcher.endpoint_lists)
            await loop.sock_recv(sock, 4096)
            sock.send(partial_reply)
            started = loop.time()
            other = await server.accept()
            await loop.sock_recv(other, 4096)
            other.send(list_reply("DRAINING", 10))
            await wait_until(lambda dispatcher=dispatcher: len(dispatcher.endpoint_lists) == 2)
            assert dispatcher.endpoint_lists[1] == [Condition.DRAINING] and loop.time() - started < 4.0
        finally:
            dispatcher.watches.close()
            server.close()


async def test_complete_list_of_a_slow_discovery_is_heard() -> None:
    """Guards against calls for the complete list that are given up before a slow answer (review/10).

    After SIGHUP a watch begins with the complete list. Each call was given up after 1 s, again and again, so
    that a discovery that takes 1.5 s was never heard. Its content counts as told 4 s after SIGHUP (LATER of
    `service`).
    """
    answer_time, told_after = 1.5, 4.0
    dispatcher = WatchingDispatcher()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError), closing(writer):
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(answer_time)
                writer.write(list_reply("DRAINING", 3))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        dispatcher.update_addresses(discovery=server.sockets[0].getsockname())
        await asyncio.sleep(told_after)
        assert dispatcher.endpoint_lists
    finally:
        dispatcher.watches.close()
        server.close()


async def test_quiet_watch_of_a_slow_discovery_is_answered() -> None:
    """Guards against watches that wait for so long that a slow discovery cannot answer in time (review/10).

    A call that waits for 2 s and is answered 1.5 s later was given up after 3 s, and the pause before the
    next one grew with each: news was heard up to 8.5 s late, where 6 s are allowed (STANDING).
    """
    answer_time = 1.5
    dispatcher = WatchingDispatcher()
    counts = Counter[str]()
    dispatcher.count = lambda name: counts.update([name])  # type: ignore[method-assign]
    endpoint = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING", "version_no": 1}

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError), closing(writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                wait = re.search(rb"wait_ms=(\d+)", head)
                await asyncio.sleep(answer_time + (int(wait[1]) / 1000 if wait else 0.0))
                listing = {"generation": 3, "reset": not wait, "instances": [] if wait else [endpoint]}
                writer.write(http_response("200 OK", "application/json", json.dumps(listing).encode()))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        dispatcher.update_addresses(discovery=server.sockets[0].getsockname())
        await asyncio.sleep(12.0)
        assert dispatcher.endpoint_lists
        assert counts["roll unanswered"] <= 1 < counts["roll calls"], counts
    finally:
        dispatcher.watches.close()
        server.close()
