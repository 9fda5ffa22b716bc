"""Replays never run a request with an effect twice, even after crashes, ledger errors and target errors."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

from tests.support.capture_builder import START, read_capture
from tests.support.replay_testbed import FakeInstance, ReplayTestbed, capture_of_requests, replay_testbed
from tests.support.socket_scenarios import ROOT, TIMEOUT_S, SocketScenario


async def test_second_replay_sends_only_idempotent_requests() -> None:
    """The first replay sends all requests in order, with new ids and idempotency keys.

    The second replay with the same ledger sends no request with an effect.
    """
    async with replay_testbed() as (testbed, instance):
        status, report, _ = await testbed.run()
        assert status == 0, report
        assert report["satisfied"] == report["read"] == 12, report
        assert not report["missing"], report
        recorded, _ = read_capture((testbed.path / "a.pcapng").read_bytes())
        assert [arguments[1] for arguments in instance.received_commands] == [
            exchange.arguments[1] for exchange in recorded
        ]
        assert [arguments[4:] for arguments in instance.received_commands] == [
            exchange.arguments[4:] for exchange in recorded
        ]
        ids, idempotency_keys = (
            {exchange.arguments[2] for exchange in recorded},
            {exchange.idempotency_key for exchange in recorded if exchange.idempotency_key},
        )
        assert not ids & {arguments[2] for arguments in instance.received_commands}
        sent = b" ".join(arguments[3] for arguments in instance.received_commands)
        assert len(idempotency_keys) == 4, sent
        assert not any(key.encode() in sent for key in idempotency_keys), sent
        instance.run_counts.clear()  # Idempotent requests are sent again.
        status, report, _ = await testbed.run()
        assert report["satisfied"] == 4, report
        assert report["withheld_why"] == {"ledger_replayed": 8}, report
        assert {name for name, _ in instance.run_counts} == {b"Q.ASK"}


async def test_request_captured_on_both_sides_runs_once() -> None:
    """A request with an effect that occurs in several captures runs once.

    The captures show the clients' side and the endpoints' side of an instance, replayed in either order, and
    the clients' side twice in one file.
    """
    for first, second in (("a", "b"), ("b", "a")):
        async with replay_testbed() as (testbed, instance):
            clock = START + 5 * 3600 * 10**9  # The clock of another host, 5 hours ahead.
            (testbed.path / "b.pcapng").write_bytes(
                capture_of_requests("10.1.1.2:7000", side="node", start=clock)
            )
            # Two joined captures of the same requests.
            doubled = capture_of_requests("10.1.1.1:6379") + capture_of_requests("10.1.1.1:6379")
            (testbed.path / "c.pcapng").write_bytes(doubled)
            for name in (first, second, "c"):
                effects = ("--workload", "pay", "--workload", "sign")
                status, _, err = await testbed.run(*effects, file=f"{name}.pcapng")
                assert status == 0, err
            assert instance.run_counts.total() == 8, instance.run_counts


async def test_request_of_killed_replay_runs_at_most_once() -> None:
    """A replay is killed at a step before or after the ledger's write or the sending, and is then run again.

    The request runs at most once, and counts as unsure if it may have run.
    """
    for step, unsure in (
        ("before-write", 0), ("torn", 0), ("before-sync", 1), ("entered", 1), ("sent", 1), ("answered", 1),
    ):  # fmt: skip
        async with replay_testbed() as (testbed, instance):
            options = ("--workload", "pay", "--key", "key-1")
            status, _, _ = await testbed.run(*options, kill_step=step)
            assert status == -signal.SIGKILL, (step, status)
            sent = instance.run_counts.total()
            assert sent == (step in ("sent", "answered")), (step, sent)
            status, report, err = await testbed.run(*options)
            assert report["left_unsure_before"] == unsure, (step, report, err)
            assert instance.run_counts.total() == (1 if not unsure else sent), (step, instance.run_counts)
            if unsure:
                assert report["withheld_why"] == {"ledger_unsure": 1}, (step, report)


async def test_concurrent_replay_with_the_same_ledger_does_not_start() -> None:
    """Of two concurrent replays with one ledger, only one starts."""
    async with replay_testbed() as (testbed, instance):
        (testbed.path / "a.pcapng").write_bytes(capture_of_requests("10.1.1.1:6379", every=0.1))
        results = await asyncio.gather(testbed.run(), testbed.run())
        assert sorted(status for status, _, _ in results) == [0, 2], results
        assert any("another replay holds it" in err for _, _, err in results), results
        assert instance.run_counts.total() == 12


async def test_requests_to_a_failing_target_are_unsure_or_never_sent() -> None:
    """The target refuses connections, resets a connection, or does not reply.

    Requests that were written completely are unsure and never sent again. Requests that were certainly not
    sent are sent by the next replay.
    """
    async with replay_testbed() as (testbed, instance):
        instance.server.close()  # The target refuses connections.
        status, report, _ = await testbed.run("--workload", "pay")
        assert report["never_sent"] == 4, report
        assert not report["unsure"], report
        async with FakeInstance(testbed.host) as reachable_instance:
            status, report, _ = await testbed.run("--workload", "pay")
            assert status == 0, report
            assert report["satisfied"] == 4, report
            assert reachable_instance.run_counts.total() == 4, report
    for action in ("reset", "hang"):
        async with replay_testbed(action) as (testbed, instance):
            status, report, _ = await testbed.run("--workload", "pay")
            # The connection ends at the first request; later requests on the connection are unsure too.
            assert status == 1, (action, report)
            assert report["unsure"] >= 1, (action, report)
            assert not report["missing"], (action, report)
            assert any(request["what"] == "unsure" for request in report["listed"])
            first_run_counts = instance.run_counts.copy()
            status, report, _ = await testbed.run("--workload", "pay")
            assert report["withheld_why"]["ledger_unsure"] >= 1, report
            assert all(instance.run_counts[name] == 1 for name in first_run_counts), instance.run_counts


async def test_rejected_request_is_retried_only_if_idempotent() -> None:
    """With `--patient`, a rejected idempotent request is retried after the delay in the rejection.

    A rejected request with an effect is not retried.
    """
    async with replay_testbed("busy", "busy") as (testbed, _):
        status, report, _ = await testbed.run("--workload", "pay", "--patient")
        assert report["rejected"] == 2, report
        assert report["satisfied"] == 2, report
        assert not report["asked_again"], report
    async with replay_testbed("busy", "busy") as (testbed, _):
        status, report, _ = await testbed.run("--workload", "read", "--patient")
        assert status == 0, report
        assert report["asked_again"] == 2, report
        assert report["satisfied"] == 4, report
        assert report["offered"] == report["read"] == 4, report
        assert not report["missing"], report


async def test_requests_beyond_the_limit_are_counted_as_not_offered() -> None:
    """A request that cannot be sent when due is counted, not delayed, and not added to the ledger."""
    async with replay_testbed(*["hang"] * 2) as (testbed, _):
        (testbed.path / "a.pcapng").write_bytes(capture_of_requests("10.1.1.1:6379", every=0.0001, number=60))
        _, report, _ = await testbed.run("--most-in-hand", "10", "--lines", "pooled")
        assert report["not_offered_why"]["in_hand"] >= 40, report
        assert not report["missing"], report
        _, report, _ = await testbed.run("--most-in-hand", "1000", "--workload", "pay", "--pace", "0.1")
        assert report["satisfied"] >= 12, report


async def test_each_guard_rule_alone_prevents_sending() -> None:
    """Each rule of the guard prevents sending requests, even if all other rules permit them."""
    async with replay_testbed() as (testbed, instance):
        valid_text, address = testbed.operators_text, f"{testbed.host}:6379"
        for text, expected_status, expected_text in (
            ("", 2, "not named as a target"),
            (f'target(address = "{testbed.host}:6380", rehearsal = True)', 2, "not named as a target"),
            (f'target(address = "{address}")', 0, "no_rehearsal_target"),
        ):
            testbed.operators_text = text
            exit_status, report, err = await testbed.run("--workload", "pay")
            assert exit_status == expected_status, (text, report, err)
            assert expected_text in err + json.dumps(report), (text, report, err)
        assert not instance.received_commands, instance.received_commands
        # The capture shows the target in service: nothing is sent, or only idempotent requests if configured.
        testbed.operators_text = valid_text
        (testbed.path / "live.pcapng").write_bytes(capture_of_requests(address))
        status, _, err = await testbed.run(file="live.pcapng")
        assert status == 2, err
        assert "live traffic" in err, err
        assert not instance.received_commands, err
        testbed.operators_text = f'target(address = "{address}", live_rerunnable = True)'
        status, report, err = await testbed.run(file="live.pcapng")
        assert report["satisfied"] == 4, (report, err)
        assert report["withheld"] == 8, (report, err)
        assert {arguments[0] for arguments in instance.received_commands} == {b"Q.ASK"}
        # Without a ledger, or with an unusable ledger, no request with an effect is sent.
        testbed.operators_text = valid_text
        status, _, err = await testbed.run(ledger="")
        assert status == 2, err
        assert "--ledger" in err, err
        (testbed.path / "file").write_text("no folder")
        status, _, err = await testbed.run(ledger="file")
        assert status == 2, err
        assert err.count("\n") == 1, err
        assert not any(arguments[0] == b"Q.DO" for arguments in instance.received_commands)


async def test_replay_ends_if_its_ledger_cannot_be_written() -> None:
    """If the ledger cannot be written, the replay ends and sends no more requests with an effect.

    A limit on file sizes simulates a full disk.
    """
    async with replay_testbed() as (testbed, instance):
        program = "import resource,sys,runpy; resource.setrlimit(resource.RLIMIT_FSIZE,(200,200));"
        program += "import signal; signal.signal(signal.SIGXFSZ, signal.SIG_IGN);"
        program += "sys.argv=['gatebank']+sys.argv[1:]; runpy.run_module('gatebank', run_name='__main__')"
        (testbed.path / "orders.star").write_text(testbed.operators_text)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", program, "capture", "replay", str(testbed.path / "a.pcapng"), "--json",
            "--to", f"{testbed.host}:6379", "--orders", str(testbed.path / "orders.star"),
            "--ledger", str(testbed.path / "ledger"), "--workload", "pay",
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await asyncio.wait_for(process.communicate(), 2 * TIMEOUT_S)
        report = json.loads(out)
        assert process.returncode == 1, (report, err)
        assert b"File too large" in err, (report, err)
        assert instance.run_counts.total() == report["satisfied"] <= 3, report
        assert report["missing"] == 0, report
        assert not report["unsure"], report


async def test_replay_inside_sends_effects_once_and_not_to_live_endpoints() -> None:
    """A replay with `--inside` sends requests with an effect once, and nothing to endpoints in service."""
    scenario = SocketScenario()
    try:
        for name in ("a", "b", "live"):
            await scenario.world.add_endpoint(name, 41)
        await scenario.world.start()
        testbed = ReplayTestbed()
        path = scenario.write_configuration(0, 1)
        discovery = f"{scenario.host}:{scenario.world.discovery.port}"
        testbed.operators_text = f'target(address = "{discovery}", rehearsal = True)'
        live = scenario.world.endpoints["live"]
        live_capture = capture_of_requests(f"{live.host}:{live.port}", side="node", seed=9, number=1)
        (testbed.path / "a.pcapng").write_bytes(
            capture_of_requests("10.1.1.1:6379", number=60) + live_capture
        )
        status, report, err = await testbed.run("--inside", str(path), "--side", "customer")
        counts = scenario.world.counts
        assert status == 0, (report, err)
        assert report["satisfied"] == report["read"] == 60, (report, err)
        assert not counts.executed_twice(), counts
        assert sum(counts.executed_by_class.values()) == 60, counts
        assert f"{live.host}:{live.port}" not in counts.by_address, counts.by_address
        counts.clear()
        status, report, err = await testbed.run("--inside", str(path), "--side", "customer")
        assert report["withheld_why"] == {"ledger_replayed": 40}, report
        assert counts.executed_by_class.total() == 20, report
        testbed.folder.cleanup()
    finally:
        await scenario.world.stop()
        scenario.folder.cleanup()
