"""Floods of all kinds of input: memory and descriptors stay within their bounds."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

from gatebank.fakes.wire import encode_command
from tests.support.connections import TIMEOUT_S
from tests.support.socket_scenarios import SocketScenario


async def test_bounds_hold_and_requests_are_served_after_floods() -> None:
    """Floods of connections, commands, datagrams, endpoint list changes and release events, in this order.

    The flooding clients do not read the answers. Memory and descriptors stay within their bounds, and an
    ordinary client's next request is served after each flood.
    """
    scenario = SocketScenario()
    # The growth in MB is what a flood may leave in use: first buffers, and memory that the allocator keeps.
    max_descriptors, max_growth = 96, 12
    try:
        await scenario.world.start()
        await scenario.do_limits(0, f"sockets={max_descriptors}", "memory_mb=64")
        await scenario.do_endpoints(0, "a:41", "b:41")
        await scenario.do_instances(0, "1")
        (instance,) = scenario.instances
        process_folder, writers = Path(f"/proc/{instance.process.pid}"), list[asyncio.StreamWriter]()

        def resident_memory() -> float:
            """Return the instance's resident memory in MB."""
            return (
                int((process_folder / "statm").read_text().split()[1])
                * os.sysconf("SC_PAGE_SIZE")
                / (1 << 20)
            )

        async def connections() -> None:
            for _ in range(300):
                writers.append((await asyncio.open_connection(instance.address, 6379))[1])

        async def commands() -> None:
            _, writer = await asyncio.open_connection(instance.address, 6379)
            writers.append(writer)
            writer.write(encode_command(b"NOPE") * 20_000)
            for part in (b"*1\r\n$4\r\n", b"\0" * 100_000, b"*3\r\n$2\r\nab\r\n$65000\r\n" + b"y" * 60_000):
                for _ in range(8):
                    _, writer = await asyncio.open_connection(instance.address, 6379)
                    writers.append(writer)
                    writer.write(part)

        async def datagrams() -> None:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for number in range(20_000):
                    sender.sendto(os.urandom(number % 300), (instance.address, 7946))

        async def endpoint_lists() -> None:
            for number in range(1500):
                scenario.world.set_lifecycle("b", ("SERVING", "DRAINING")[number % 2])
                await asyncio.sleep(0)
            await scenario.do_list_delivered(0)

        async def release_events() -> None:
            for number in range(2000):
                release = f"image=41&ring=2&progress=COMPLETE&n={number}"
                scenario.world.releases.send_text(f"event: ROLLOUT\ndata: {release}\n\n")
                scenario.world.releases.send_text("event: DISPUTE\ndata: host=nobody&type=read&lag_ms=1\n\n")
                await asyncio.sleep(0)

        await scenario.do_burst(0, "50", "read", "value")
        initial_memory = resident_memory()
        for flood in (connections, commands, datagrams, endpoint_lists, release_events):
            await asyncio.wait_for(flood(), TIMEOUT_S)
            await scenario.do_request(0, "read", "2000", "value")
            for writer in writers:
                writer.transport.abort()
            writers.clear()
            assert resident_memory() < initial_memory + max_growth, (
                flood.__name__,
                initial_memory,
                resident_memory(),
            )
            assert len(list((process_folder / "fd").iterdir())) <= max_descriptors, flood.__name__
        assert not any("event=fault" in line for line in instance.lines), instance.lines
        assert instance.process.returncode is None
    finally:
        for instance in scenario.instances:
            await instance.stop()
        await scenario.world.stop()
        scenario.folder.cleanup()
