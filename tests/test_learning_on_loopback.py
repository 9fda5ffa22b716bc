"""State transfer between processes on loopback, with sources that fail in every way."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from functools import partial

import msgspec
import pytest
from cryptography import x509

from gatebank.keys import folder
from gatebank.keys.authority import KeyPair, make_authority
from gatebank.keys.tls_stream import TlsStream
from gatebank.proxy.configuration import load_configuration, parse_address
from gatebank.state_transfer.connection import Connection
from gatebank.state_transfer.protocol import (
    Ask,
    Conversation,
    FrameKind,
    Hello,
    deployment_id,
    encode_frame,
)
from tests.support.stand import PATIENCE, InstanceProcess
from tests.support.transfer_fixtures import make_health
from tests.support.transfer_testbed import PLAIN, TransferTestbed, make_keys


@pytest.mark.parametrize("receives", [True, False])
async def test_started_instance_inherits_failing_endpoint(receives: bool) -> None:
    """An endpoint fails all that it gets.

    An instance that starts inherits that before it serves, and sends there nothing but health checks.
    Without state transfer it finds out at its clients' cost.
    """
    async with TransferTestbed() as stand:
        world = stand.testbed.world
        world.failing = {"b"}
        source = await stand.start(0, PLAIN + ")")
        world.reply_time = 0.02
        await stand.send_concurrently(source)
        world.reply_time = 0.0
        world.received.clear()
        started = await stand.start(1, PLAIN + ")" if receives else "# nothing")
        if receives:
            await started.says("event=learnt")
        assert set(await stand.send_sequentially(started, 25)) == {"satisfied"}
        assert (stand.attempts_at("b") == 0) is receives


def hostile_reply(kind: str, deployment: str) -> bytes:
    """Returns what a hostile source of a kind sends, knowing the receiver's deployment."""
    hello = encode_frame(FrameKind.HELLO, Hello(name="x", deployment=deployment))
    impossible = msgspec.to_builtins(make_health("a")) | {"faults": 7.0}
    body = msgspec.msgpack.encode({"items": [impossible]})
    part = (len(body) + 1).to_bytes(4, "big") + bytes([FrameKind.PART]) + body
    return {
        "hang": b"",
        "drip": hello[:3],
        "garble": os.urandom(300),
        "huge": hello + b"\xff\xff\xff\xf0\x03",
        "lie": hello + part,
        "other": encode_frame(FrameKind.HELLO, Hello(name="x", deployment="other")),
        "close": hello[:7],
    }[kind]


async def serve_hostile(kind: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves one connection as a hostile source of a kind."""
    try:
        first = await reader.read(4096)
        size = int.from_bytes(first[:4], "big")
        receiver = msgspec.msgpack.decode(first[5 : 4 + size], type=Hello)
        writer.write(hostile_reply(kind, receiver.deployment))
        if kind != "close":
            for _ in range(12):
                await asyncio.sleep(0.2)
                # Never so many bytes that the frame is whole.
                writer.write(first[3:4] if kind == "drip" else b"")
                await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def test_hostile_sources_cost_only_their_own_connection() -> None:
    """Sources that hang, drip, garble, claim 3 GB, lie, are of another deployment, or close.

    Each costs its own connection, the good one still sends its state, and the receiver is ready in time.
    """
    async with TransferTestbed() as stand:
        stand.testbed.world.failing = {"b"}
        source = await stand.start(0, PLAIN + ")")
        await stand.send_sequentially(source, 60)
        kinds = ("hang", "drip", "garble", "huge", "lie", "other", "close")
        host = stand.testbed.host
        ports = dict(zip(kinds, range(7960, 7960 + len(kinds)), strict=True))
        servers = [
            await asyncio.start_server(partial(serve_hostile, kind), host, port)
            for kind, port in ports.items()
        ]
        addresses = ", ".join([*(f'"{host}:{port}"' for port in ports.values()), '"DONOR0"'])
        clock = asyncio.get_running_loop().time
        began = clock()
        started = await stand.start(
            1, f"learning(donors = [{addresses}], plain = True, patience = 1.0, attempts = 30)"
        )
        assert clock() - began < 4.0
        assert set(await stand.send_sequentially(started, 5)) == {"satisfied"}
        await started.says("event=learnt", f"donor={stand.address(0)}")
        for kind in ("garble", "huge", "lie", "other"):
            await started.says("event=donor_failed", f"donor={host}:{ports[kind]}")
        for server in servers:
            server.close()


async def test_instances_restarted_together_keep_endpoint_health() -> None:
    """All instances end and start within seconds.

    Each has its snapshot, asks the other, and serves; a failing endpoint is still known to be one.
    """
    async with TransferTestbed() as stand:
        world = stand.testbed.world
        world.failing = {"b"}
        operators_file = PLAIN + ', snapshots = "known-%d", snapshot_every = 0.3)'
        killed, terminated = [await stand.start(number, operators_file % number) for number in (0, 1)]
        world.reply_time = 0.02
        await asyncio.gather(stand.send_concurrently(killed), stand.send_concurrently(terminated))
        world.reply_time = 0.0
        await asyncio.sleep(0.4)
        killed.process.kill()
        terminated.process.terminate()
        await asyncio.gather(killed.process.wait(), terminated.process.wait())
        stand.testbed.clients.clear()
        world.received.clear()
        restarted = await asyncio.gather(*(stand.start(number, operators_file % number) for number in (0, 1)))
        await restarted[0].says("event=snapshot", "closed=False")
        await restarted[1].says("event=snapshot", "closed=True")
        for instance in restarted:
            assert set(await stand.send_sequentially(instance, 15)) == {"satisfied"}
        # Checked, and then tried once by each at most.
        assert stand.attempts_at("b") <= 2


async def test_build_rolled_back_during_downtime_gets_no_attempts() -> None:
    """A build was rolled back while an instance was down, and the release service is silent now.

    The instance's configuration still says that it is a canary, a source knows better, and nothing goes
    there.
    """
    async with TransferTestbed() as stand:
        world = stand.testbed.world
        await world.add("new", 42)
        world.releases.publish(42, 0, "trial", 1.0)
        configured = dict(world.releases.state)
        source = await stand.start(0, PLAIN + ")")
        world.releases.publish(42, 0, "withdrawn", 0.0)
        await source.says("event=stage", "phase=withdrawn")
        world.releases.server.close()
        for writer in list(world.releases.streams):
            writer.transport.abort()
        world.releases.state = configured
        world.received.clear()
        started = await stand.start(1, PLAIN + ")")
        await started.says("event=learnt_news", "build=42")
        assert set(await stand.send_sequentially(started, 40)) == {"satisfied"}
        assert stand.attempts_at("new") == 0


async def test_terminated_source_exits_in_time() -> None:
    """A source that is told to end amid a transfer ends in time; the receiver uses what came, and serves."""
    async with TransferTestbed() as stand:
        source = await stand.start(0, PLAIN + ", bytes_a_second = 10000)")
        await stand.send_sequentially(source, 30)
        started = await stand.start(1, PLAIN + ", patience = 0.2)", wait=False)
        source.process.terminate()
        assert await asyncio.wait_for(source.process.wait(), PATIENCE) == 0
        await started.says("event=ready")
        assert set(await stand.send_sequentially(started, 5)) == {"satisfied"}


WITH_KEYS = (
    'keys(folder = "%s", watch = 0.1)\n'
    'learning(listen = "LISTEN", donors = ["DONOR0"], may_teach = ["m0"], may_learn = ["m0", "m1"])'
)


class KeyedTransfers:
    """A source with keys in the folder m0, and receivers that try other folders on it.

    Attributes:
        ours, other: two authorities; the folders m0, m1 and spy are of the first, foreign of the second.
    """

    def __init__(self, stand: TransferTestbed) -> None:
        self.stand = stand
        self.ours = make_authority("one")
        self.other = make_authority("two")
        for name in ("m0", "m1", "spy"):
            make_keys(stand.path / name, self.ours, name)
        make_keys(stand.path / "foreign", self.other, "m1")
        self.started: InstanceProcess | None = None

    async def start(self) -> InstanceProcess:
        """Starts the source, and has it know something."""
        self.started = await self.stand.start(0, WITH_KEYS % "m0")
        await self.stand.send_sequentially(self.started, 20)
        return self.started

    @property
    def source(self) -> InstanceProcess:
        """The source, once it has been started."""
        assert self.started
        return self.started

    @property
    def both(self) -> bytes:
        """The certificates of both authorities."""
        return self.ours.certificate + self.other.certificate

    async def try_keys(self, keys: str, expected: str, *at_source: str) -> None:
        """Starts a receiver with a folder of keys, waits for its log line and the source's, and kills it."""
        receiver = await self.stand.start(1, WITH_KEYS % keys)
        await receiver.says(expected)
        if at_source:
            await self.source.says(*at_source)
        receiver.process.kill()
        await receiver.process.wait()

    async def trust_both(self) -> None:
        """Has the source and the foreign receiver trust both authorities."""
        for name in ("m0", "foreign"):
            (self.stand.path / name / folder.AUTHORITY).write_bytes(self.both)
        await self.source.says("event=keys", "name=m0")
        await asyncio.sleep(0.3)

    def renew_source(self, signer: KeyPair) -> None:
        """Gives the source a new key and certificate."""
        make_keys(self.stand.path / "m0", signer, "m0", trusted=self.both)


async def test_connection_accepts_only_allowed_keys() -> None:
    """An allowed receiver is served; one not named, of another authority or revoked is not, and is logged."""
    async with TransferTestbed() as stand:
        transfers = KeyedTransfers(stand)
        source = await transfers.start()
        await transfers.try_keys("m1", "event=learnt")
        not_allowed = ("event=peer_refused", "peer=spy", "why=not_allowed")
        await transfers.try_keys("spy", "event=donor_failed", *not_allowed)
        await transfers.try_keys("foreign", "event=donor_failed", "event=learner_failed")
        assert folder.read_keys(stand.path / "m1").name == "m1"
        certificate = (stand.path / "m1" / folder.CERTIFICATE).read_bytes()
        serial = x509.load_pem_x509_certificate(certificate).serial_number
        (stand.path / "m0" / folder.REVOKED).write_text(f"{serial:X}\n")
        await source.says("event=keys", "name=m0")
        revoked = ("event=peer_refused", "peer=m1", "why=revoked")
        await transfers.try_keys("m1", "event=donor_failed", *revoked)


async def test_certificate_authority_is_replaced_without_restart() -> None:
    """New keys of a new authority come into force in service; a half-written file changes nothing."""
    async with TransferTestbed() as stand:
        transfers = KeyedTransfers(stand)
        source = await transfers.start()
        await transfers.try_keys("foreign", "event=donor_failed", "event=learner_failed")
        # First both authorities are trusted, then the instance's own key changes. Nobody restarts.
        await transfers.trust_both()
        await transfers.try_keys("foreign", "event=learnt")
        transfers.renew_source(transfers.other)
        await asyncio.sleep(0.3)
        await transfers.try_keys("foreign", "event=learnt")
        (stand.path / "m0" / folder.CERTIFICATE).write_bytes(b"half")
        await source.says("event=keys_failed")
        await transfers.try_keys("foreign", "event=learnt")


async def test_open_transfer_survives_key_renewal() -> None:
    """A connection that began with the earlier keys goes on to its end."""
    async with TransferTestbed() as stand:
        transfers = KeyedTransfers(stand)
        source = await transfers.start()
        await transfers.trust_both()
        where = parse_address(stand.address(0), "donor")
        tls = TlsStream(folder.read_keys(stand.path / "foreign").client, is_server=False)
        connection = Connection.for_address(where, tls)
        await connection.connect(where, PATIENCE)
        earlier = count_lines(source, "event=keys ")
        transfers.renew_source(transfers.other)
        await wait_until(lambda: count_lines(source, "event=keys ") > earlier)
        configuration = load_configuration({"ROUTER_CONFIG": str(stand.testbed.configuration(1, 2))})
        deployment = deployment_id(configuration.settings)
        conversation = Conversation(Hello(name="m1", deployment=deployment))
        await connection.send(conversation.hello() + encode_frame(FrameKind.ASK, Ask()))
        async with asyncio.timeout(PATIENCE):
            while not conversation.ended:
                conversation.feed(await connection.read())
        connection.close()


def count_lines(instance: InstanceProcess, words: str) -> int:
    """Returns how many lines of an instance's log have these words."""
    return sum(words in line for line in instance.lines)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds, which is looked at fifty times a second."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.02)
