"""State transfer between processes on loopback, with sources that fail in various ways."""

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
from tests.support.socket_scenarios import TIMEOUT_S, InstanceProcess
from tests.support.transfer_fixtures import make_health
from tests.support.transfer_testbed import PLAIN, TransferTestbed, make_keys


@pytest.mark.parametrize("receives", [True, False])
async def test_started_instance_inherits_failing_endpoint(receives: bool) -> None:
    """A starting instance inherits that an endpoint fails, and sends that endpoint no attempts.

    Without state transfer, the instance sends attempts to the failing endpoint, at the cost of its clients.
    """
    async with TransferTestbed() as testbed:
        world = testbed.runner.world
        world.failing_endpoints = {"b"}
        source = await testbed.start(0, PLAIN + ")")
        world.mean_reply_time = 0.02
        await testbed.send_concurrently(source)
        world.mean_reply_time = 0.0
        world.received.clear()
        started = await testbed.start(1, PLAIN + ")" if receives else "# nothing")
        if receives:
            await started.wait_for_log("event=learnt")
        assert set(await testbed.send_sequentially(started, 25)) == {"satisfied"}
        assert (testbed.attempts_at("b") == 0) is receives


def hostile_reply(kind: str, deployment: str) -> bytes:
    """Returns the bytes that a hostile source of a kind sends to a receiver of a deployment."""
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
    """Serves one connection as a hostile source of the given kind."""
    try:
        first = await reader.read(4096)
        size = int.from_bytes(first[:4], "big")
        receiver = msgspec.msgpack.decode(first[5 : 4 + size], type=Hello)
        writer.write(hostile_reply(kind, receiver.deployment))
        if kind != "close":
            for _ in range(12):
                await asyncio.sleep(0.2)
                # The bytes sent never complete a frame.
                writer.write(first[3:4] if kind == "drip" else b"")
                await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def test_hostile_sources_cost_only_their_own_connection() -> None:
    """Hostile sources do not prevent a transfer from a good source, and the receiver is ready in time.

    The hostile sources hang, send single bytes, send random bytes, announce a frame of 4 GB, send invalid
    items, belong to another deployment, or close the connection.
    """
    async with TransferTestbed() as testbed:
        testbed.runner.world.failing_endpoints = {"b"}
        source = await testbed.start(0, PLAIN + ")")
        await testbed.send_sequentially(source, 60)
        kinds = ("hang", "drip", "garble", "huge", "lie", "other", "close")
        host = testbed.runner.host
        ports = dict(zip(kinds, range(7960, 7960 + len(kinds)), strict=True))
        servers = [
            await asyncio.start_server(partial(serve_hostile, kind), host, port)
            for kind, port in ports.items()
        ]
        addresses = ", ".join([*(f'"{host}:{port}"' for port in ports.values()), '"DONOR0"'])
        clock = asyncio.get_running_loop().time
        began = clock()
        started = await testbed.start(
            1, f"learning(donors = [{addresses}], plain = True, patience = 1.0, attempts = 30)"
        )
        assert clock() - began < 4.0
        assert set(await testbed.send_sequentially(started, 5)) == {"satisfied"}
        await started.wait_for_log("event=learnt", f"donor={testbed.address(0)}")
        for kind in ("garble", "huge", "lie", "other"):
            await started.wait_for_log("event=donor_failed", f"donor={host}:{ports[kind]}")
        for server in servers:
            server.close()


async def test_instances_restarted_together_keep_endpoint_health() -> None:
    """Instances that stop and restart together still know that an endpoint fails.

    Each instance restores its snapshot, asks the other instance, and serves. One was killed, the other
    terminated in an orderly way.
    """
    async with TransferTestbed() as testbed:
        world = testbed.runner.world
        world.failing_endpoints = {"b"}
        operators_file = PLAIN + ', snapshots = "known-%d", snapshot_every = 0.3)'
        killed, terminated = [await testbed.start(number, operators_file % number) for number in (0, 1)]
        world.mean_reply_time = 0.02
        await asyncio.gather(testbed.send_concurrently(killed), testbed.send_concurrently(terminated))
        world.mean_reply_time = 0.0
        await asyncio.sleep(0.4)
        killed.process.kill()
        terminated.process.terminate()
        await asyncio.gather(killed.process.wait(), terminated.process.wait())
        testbed.runner.clients.clear()
        world.received.clear()
        restarted = await asyncio.gather(
            *(testbed.start(number, operators_file % number) for number in (0, 1))
        )
        await restarted[0].wait_for_log("event=snapshot", "closed=False")
        await restarted[1].wait_for_log("event=snapshot", "closed=True")
        for instance in restarted:
            assert set(await testbed.send_sequentially(instance, 15)) == {"satisfied"}
        # Each instance sends the failing endpoint at most one attempt, after health checks.
        assert testbed.attempts_at("b") <= 2


async def test_build_rolled_back_during_downtime_gets_no_attempts() -> None:
    """A build that was rolled back while an instance was down gets no attempts after the restart.

    The release service does not answer, and the instance's configuration still describes the build as a
    canary. The instance inherits the rollback from a source.
    """
    async with TransferTestbed() as testbed:
        world = testbed.runner.world
        await world.add_endpoint("new", 42)
        world.releases.publish(42, 0, "trial", 1.0)
        configured = dict(world.releases.state)
        source = await testbed.start(0, PLAIN + ")")
        world.releases.publish(42, 0, "withdrawn", 0.0)
        await source.wait_for_log("event=stage", "phase=withdrawn")
        world.releases.server.close()
        for writer in list(world.releases.streams):
            writer.transport.abort()
        world.releases.state = configured
        world.received.clear()
        started = await testbed.start(1, PLAIN + ")")
        await started.wait_for_log("event=learnt_news", "build=42")
        assert set(await testbed.send_sequentially(started, 40)) == {"satisfied"}
        assert testbed.attempts_at("new") == 0


async def test_terminated_source_exits_in_time() -> None:
    """A source that is terminated during a transfer exits in time, and the receiver serves."""
    async with TransferTestbed() as testbed:
        source = await testbed.start(0, PLAIN + ", bytes_a_second = 10000)")
        await testbed.send_sequentially(source, 30)
        started = await testbed.start(1, PLAIN + ", patience = 0.2)", wait=False)
        source.process.terminate()
        assert await asyncio.wait_for(source.process.wait(), TIMEOUT_S) == 0
        await started.wait_for_log("event=ready")
        assert set(await testbed.send_sequentially(started, 5)) == {"satisfied"}


# Operators' file with TLS keys; "%s" is replaced by the name of the key folder. The instance m0 may be a
# source, and m0 and m1 may be receivers.
WITH_KEYS = (
    'keys(folder = "%s", watch = 0.1)\n'
    'learning(listen = "LISTEN", donors = ["DONOR0"], may_teach = ["m0"], may_learn = ["m0", "m1"])'
)


class KeyedTransfers:
    """A source with keys in the folder m0, and receivers that connect with the keys of other folders.

    Attributes:
        testbed: Starts the instances.
        first_authority: Authority that signed the certificates in the folders m0, m1 and spy.
        second_authority: Authority that signed the certificate in the folder foreign.
        started: The source, once started.
    """

    def __init__(self, testbed: TransferTestbed) -> None:
        self.testbed = testbed
        self.first_authority = make_authority("one")
        self.second_authority = make_authority("two")
        for name in ("m0", "m1", "spy"):
            make_keys(testbed.path / name, self.first_authority, name)
        make_keys(testbed.path / "foreign", self.second_authority, "m1")
        self.started: InstanceProcess | None = None

    async def start(self) -> InstanceProcess:
        """Starts the source, and sends it requests so that it has state to send."""
        self.started = await self.testbed.start(0, WITH_KEYS % "m0")
        await self.testbed.send_sequentially(self.started, 20)
        return self.started

    @property
    def source(self) -> InstanceProcess:
        """The source, which must have been started."""
        assert self.started
        return self.started

    @property
    def both_certificates(self) -> bytes:
        """The certificates of both authorities."""
        return self.first_authority.certificate + self.second_authority.certificate

    async def try_keys(self, keys: str, expected: str, *at_source: str) -> None:
        """Starts a receiver, waits for expected log lines of receiver and source, and kills the receiver.

        Args:
            keys: Name of the receiver's key folder.
            expected: Expected part of a log line of the receiver.
            at_source: Expected parts of one log line of the source; none to expect no line.
        """
        receiver = await self.testbed.start(1, WITH_KEYS % keys)
        await receiver.wait_for_log(expected)
        if at_source:
            await self.source.wait_for_log(*at_source)
        receiver.process.kill()
        await receiver.process.wait()

    async def trust_both(self) -> None:
        """Makes the source and the receiver with the folder foreign trust both authorities."""
        for name in ("m0", "foreign"):
            (self.testbed.path / name / folder.AUTHORITY_FILE).write_bytes(self.both_certificates)
        await self.source.wait_for_log("event=keys", "name=m0")
        await asyncio.sleep(0.3)

    def renew_source(self, signer: KeyPair) -> None:
        """Gives the source a new key and certificate."""
        make_keys(self.testbed.path / "m0", signer, "m0", trusted=self.both_certificates)


async def test_connection_accepts_only_allowed_keys() -> None:
    """Only an allowed receiver is served; the reason for rejecting other receivers is logged.

    Rejected are receivers with an unlisted name, of another authority, and with a revoked certificate.
    """
    async with TransferTestbed() as testbed:
        transfers = KeyedTransfers(testbed)
        source = await transfers.start()
        await transfers.try_keys("m1", "event=learnt")
        not_allowed = ("event=peer_refused", "peer=spy", "why=not_allowed")
        await transfers.try_keys("spy", "event=donor_failed", *not_allowed)
        await transfers.try_keys("foreign", "event=donor_failed", "event=learner_failed")
        assert folder.read_keys(testbed.path / "m1").name == "m1"
        certificate = (testbed.path / "m1" / folder.CERTIFICATE_FILE).read_bytes()
        serial = x509.load_pem_x509_certificate(certificate).serial_number
        (testbed.path / "m0" / folder.REVOKED_FILE).write_text(f"{serial:X}\n")
        await source.wait_for_log("event=keys", "name=m0")
        revoked = ("event=peer_refused", "peer=m1", "why=revoked")
        await transfers.try_keys("m1", "event=donor_failed", *revoked)


async def test_certificate_authority_is_replaced_without_restart() -> None:
    """Keys of a new authority are loaded without a restart; a half-written file changes nothing."""
    async with TransferTestbed() as testbed:
        transfers = KeyedTransfers(testbed)
        source = await transfers.start()
        await transfers.try_keys("foreign", "event=donor_failed", "event=learner_failed")
        # First both authorities become trusted, then the source's own key changes, without a restart.
        await transfers.trust_both()
        await transfers.try_keys("foreign", "event=learnt")
        transfers.renew_source(transfers.second_authority)
        await asyncio.sleep(0.3)
        await transfers.try_keys("foreign", "event=learnt")
        (testbed.path / "m0" / folder.CERTIFICATE_FILE).write_bytes(b"half")
        await source.wait_for_log("event=keys_failed")
        await transfers.try_keys("foreign", "event=learnt")


async def test_open_transfer_survives_key_renewal() -> None:
    """A transfer on a connection that was opened with earlier keys completes after a key renewal."""
    async with TransferTestbed() as testbed:
        transfers = KeyedTransfers(testbed)
        source = await transfers.start()
        await transfers.trust_both()
        source_address = parse_address(testbed.address(0), "donor")
        tls = TlsStream(folder.read_keys(testbed.path / "foreign").client, is_server=False)
        connection = Connection.for_address(source_address, tls)
        await connection.connect(source_address, TIMEOUT_S)
        reload_count = count_lines(source, "event=keys ")
        transfers.renew_source(transfers.second_authority)
        await wait_until(lambda: count_lines(source, "event=keys ") > reload_count)
        configuration = load_configuration({"ROUTER_CONFIG": str(testbed.runner.write_configuration(1, 2))})
        deployment = deployment_id(configuration.settings)
        conversation = Conversation(Hello(name="m1", deployment=deployment))
        await connection.send(conversation.hello() + encode_frame(FrameKind.ASK, Ask()))
        async with asyncio.timeout(TIMEOUT_S):
            while not conversation.ended:
                conversation.feed(await connection.read())
        connection.close()


def count_lines(instance: InstanceProcess, text: str) -> int:
    """Returns the number of lines of an instance's log that contain a text."""
    return sum(text in line for line in instance.lines)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; checks the condition every 0.02 s, fifty times per second."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)
