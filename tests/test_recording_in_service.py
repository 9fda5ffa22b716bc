"""An instance that records, as a process."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.support.capture_builder import read_capture
from tests.support.replay_testbed import ReplayTestbed
from tests.support.socket_scenarios import SocketScenario


async def test_recording_marshal_counts_as_its_nodes_do() -> None:
    """Recorded.

    An instance told to record: both sides read back with the counts of the endpoints; killed outright, its
    files are readable and the next start goes on beside them; its log counts what it recorded.
    """
    stand = SocketScenario()
    one = ReplayTestbed()
    try:
        for name in ("a", "b"):
            await stand.world.add_endpoint(name, 41)
        orders = one.path / "orders.star"
        orders.write_text('recording(folder = "rec", sides = ["customer", "node"])')
        await stand.world.start()
        await stand.do_instances(0, "1", "--orders", str(orders))
        stand.world.planned_behaviours.extend(["error", "cut"])
        for workload in ("read", "sign", "pay"):
            await stand.do_send(0, "one", workload, "1000", "70")
            await stand.do_expect(0, "one", "value")
        await asyncio.sleep(0.3)
        stand.instances[0].process.kill()
        await stand.instances[0].process.wait()
        await stand.instances[0].log_reader
        files = sorted((one.path / "rec").glob("*.pcapng"))
        data = b"".join(each.read_bytes() for each in files)
        exchanges, reading = read_capture(data)
        sides = Counter(each.side for each in exchanges)
        counts = stand.world.counts
        assert sides == {"customer": 3, "node": counts.received}, (sides, counts, reading.counts())
        assert Counter(e.arguments[2] for e in exchanges if e.side == "node") == counts.received_by_id
        assert not reading.counts().get("spoilt"), reading.counts()
        assert b" shot 1" in data, reading.counts()
        await stand.do_instances(0, "1", "--orders", str(orders))
        stand.instances = stand.instances[1:]
        await stand.do_request(0, "read", "1000", "value")
        await stand.do_sigterm(0)
        await stand.do_exit_status(0, "0")
        more = sorted((one.path / "rec").glob("*.pcapng"))
        assert len(more) == len(files) + 1, more
        assert more[: len(files)] == files, more
        assert any("recorded=" in line and "recorder=writing" in line for line in stand.instances[0].lines)
        exchanges, _ = read_capture(more[-1].read_bytes())
        assert len(exchanges) == 2, exchanges
        assert all(each.whole for each in exchanges), exchanges
    finally:
        for marshal in stand.instances:
            if marshal.process.returncode is None:
                marshal.process.kill()
            await marshal.log_reader  # to the end of its log: else its pipe outlives the event loop
        await stand.world.stop()
        stand.folder.cleanup()
        one.folder.cleanup()
