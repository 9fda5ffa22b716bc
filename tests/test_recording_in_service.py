"""Recording in an instance that runs as a process."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.support.capture_builder import read_capture
from tests.support.replay_testbed import ReplayTestbed
from tests.support.socket_scenarios import SocketScenario


async def test_recording_of_an_instance_matches_the_endpoints_counts() -> None:
    """The recorded exchanges of both sides match the counts of the endpoints.

    After the instance is killed, its files are readable; after a restart it keeps them and starts another
    file. Its log contains the recording counters.
    """
    scenario = SocketScenario()
    testbed = ReplayTestbed()
    try:
        for name in ("a", "b"):
            await scenario.world.add_endpoint(name, 41)
        operators_file = testbed.path / "orders.star"
        operators_file.write_text('recording(folder = "rec", sides = ["customer", "node"])')
        await scenario.world.start()
        await scenario.do_instances(0, "1", "--orders", str(operators_file))
        scenario.world.planned_behaviours.extend(["error", "cut"])
        for request_class in ("read", "sign", "pay"):
            await scenario.do_send(0, "one", request_class, "1000", "70")
            await scenario.do_expect(0, "one", "value")
        await asyncio.sleep(0.3)
        await scenario.instances[0].stop()
        files = sorted((testbed.path / "rec").glob("*.pcapng"))
        data = b"".join(path.read_bytes() for path in files)
        exchanges, reading = read_capture(data)
        sides = Counter(exchange.side for exchange in exchanges)
        counts = scenario.world.counts
        assert sides == {"customer": 3, "node": counts.received}, (sides, counts, reading.counts())
        assert Counter(e.arguments[2] for e in exchanges if e.side == "node") == counts.received_by_id
        assert not reading.counts().get("spoilt"), reading.counts()
        assert b" shot 1" in data, reading.counts()
        await scenario.do_instances(0, "1", "--orders", str(operators_file))
        scenario.instances = scenario.instances[1:]
        await scenario.do_request(0, "read", "1000", "value")
        await scenario.do_sigterm(0)
        await scenario.do_exit_status(0, "0")
        files_after_restart = sorted((testbed.path / "rec").glob("*.pcapng"))
        assert len(files_after_restart) == len(files) + 1, files_after_restart
        assert files_after_restart[: len(files)] == files, files_after_restart
        assert any("recorded=" in line and "recorder=writing" in line for line in scenario.instances[0].lines)
        exchanges, _ = read_capture(files_after_restart[-1].read_bytes())
        assert len(exchanges) == 2, exchanges
        assert all(exchange.whole for exchange in exchanges), exchanges
    finally:
        for instance in scenario.instances:
            await instance.stop()
        await scenario.world.stop()
        scenario.folder.cleanup()
        testbed.folder.cleanup()
