"""Plays one seed: starts the fleet, runs clients and faults, waits until all is idle, checks the rules."""

from __future__ import annotations

import asyncio
import tempfile
import traceback
from pathlib import Path
from random import Random
from time import monotonic

from tests.soak.clients import ClientPool
from tests.soak.faults import FaultInjector
from tests.soak.fleet import Fleet
from tests.soak.processes import anonymous_bytes, run_queue_wait
from tests.soak.records import AnswerKind, InstanceStall, Records, Stall
from tests.soak.report import Result
from tests.soak.rules import find_violations
from tests.soak.rules.moments import count_moments
from tests.soak.schedule import Schedule

TICK_S = 0.005
STALL_S = 0.002  # Delay beyond a tick from which this process counts as stalled.
WAIT_SAMPLE_S = 0.02  # Interval at which the instances' waits for a core are sampled.
FAULT_TIMEOUT_S = 60.0  # Time after the load within which active faults must end.
# The fleet is idle after this many idle timeouts of its connections, plus EXTRA_REST_S.
IDLE_TIMEOUTS_TO_REST = 1.5
EXTRA_REST_S = 1.5


async def watch_stalls(records: Records) -> None:
    """Record the stalls of this process, until the task is cancelled."""
    while True:
        before = monotonic()
        await asyncio.sleep(TICK_S)
        after = monotonic()
        if after - before > TICK_S + STALL_S:
            records.stalls.append(Stall(after, after - before - TICK_S))


async def watch_processes(fleet: Fleet) -> None:
    """Record the memory of instances, and when they were ready to run but had no core, until cancelled.

    The times are the kernel's counts of run-queue waits.
    """
    waited: dict[int, float] = {}
    while True:
        await asyncio.sleep(WAIT_SAMPLE_S)
        now = monotonic()
        for instance, process in fleet.processes.items():
            pid = process.process.pid
            peaks = fleet.records.memory_peaks
            peaks[instance] = max(peaks.get(instance, 0), anonymous_bytes(pid))
            total = run_queue_wait(pid)
            if total is None:
                continue
            delta = total - waited.get(pid, total)
            waited[pid] = total
            if delta > STALL_S:
                fleet.records.instance_stalls.append(InstanceStall(instance, now - delta, now))


async def play(schedule: Schedule, folder: Path, command: str | None = None) -> Result:
    """Play a schedule, and write traces to ``folder`` if a rule is broken or the play fails.

    Args:
        schedule: The schedule.
        folder: Folder for the traces; created if it does not exist.
        command: Shell command that starts an instance; None for the command of the deploy file.
    """
    began = monotonic()
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(schedule, Path(name), command)
        watches = [
            asyncio.create_task(watch_stalls(fleet.records)),
            asyncio.create_task(watch_processes(fleet)),
        ]
        problem = ""
        try:
            await fleet.start()
            await run_load(fleet, schedule)
        except Exception:
            problem = traceback.format_exc()
        finally:
            for watch in watches:
                watch.cancel()
            await fleet.stop()
    result = make_result(fleet, problem, monotonic() - began)
    if result.breaks or result.problem:
        write_traces(fleet, schedule, result, folder)
    return result


async def run_load(fleet: Fleet, schedule: Schedule) -> None:
    """Run clients and faults together, then wait until the fleet is idle."""
    records = fleet.records
    generator = Random(f"clients {schedule.seed}")
    clients = ClientPool(
        fleet.targets, schedule.clients, records, records.limits.key_window["sign"], generator
    )
    injector = FaultInjector(fleet, clients, Random(f"faults {schedule.seed}"))
    await asyncio.sleep(0.5)  # Time in which instances open their watches and streams.
    records.usage_before = fleet.usage()
    clients.start()
    began = monotonic()
    faults = asyncio.create_task(injector.play(schedule.faults, began))
    await asyncio.sleep(schedule.load_seconds)
    async with asyncio.timeout(FAULT_TIMEOUT_S):
        await faults
    await clients.stop()
    idle = schedule.site.connection_idle_ms / 1000
    await asyncio.sleep(IDLE_TIMEOUTS_TO_REST * idle + EXTRA_REST_S)
    records.usage_after = fleet.usage()


def make_result(fleet: Fleet, problem: str, seconds: float) -> Result:
    """Count what the fakes and clients observed, and check the rules."""
    records = fleet.records
    answers = dict.fromkeys(AnswerKind, 0)
    for request in records.requests.values():
        for answer in request.answers:
            answers[answer.kind] += 1
    sent = [request for request in records.requests.values() if request.sent_at is not None]
    began = min((request.sent_at or 0.0 for request in sent), default=0.0)
    return Result(
        seed=fleet.schedule.seed,
        seconds=round(seconds, 1),
        requests=len(sent),
        served=answers[AnswerKind.SERVED],
        rejected=answers[AnswerKind.REJECTED],
        failed=answers[AnswerKind.FAILED],
        unanswered=sum(not request.answers for request in sent),
        attempts=len(records.attempts),
        executions=sum(attempt.executed_at is not None for attempt in records.attempts),
        processes=len(records.incarnations),
        longest_stall=round(max((stall.seconds for stall in records.stalls), default=0.0), 3),
        faults=dict(records.faults_played),
        moments=count_moments(records),
        breaks=[
            f"{violation.at - began:8.3f} s  {violation.rule}: {violation.text}"
            for violation in find_violations(records)
        ],
        rules_broken=[violation.rule for violation in find_violations(records)],
        problem=problem,
    )


def write_traces(fleet: Fleet, schedule: Schedule, result: Result, folder: Path) -> None:
    """Write the schedule, the logs of all processes and the records, to help with tracing a broken rule."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "schedule.txt").write_text(f"{schedule}\n")
    (folder / "breaks.txt").write_text("\n".join([*result.breaks, result.problem]) + "\n")
    for incarnation, process in fleet.logs:
        path = folder / f"instance-{incarnation.instance}.{incarnation.number}.log"
        path.write_text(f"{incarnation}\n{''.join(process.lines)}")
    records = fleet.records
    with (folder / "records.txt").open("w") as file:
        for request in records.requests.values():
            file.write(f"{request.sent_at or 0.0:.4f} {request.id.decode()} {format_request(request)}\n")
        for attempt in records.attempts:
            file.write(f"{attempt.at:.4f} {attempt}\n")
        for endpoint_update in records.endpoint_updates:
            file.write(f"{endpoint_update.at:.4f} {endpoint_update}\n")
        for release_update in records.release_updates:
            file.write(f"{release_update.at:.4f} {release_update}\n")
        for start in records.endpoint_starts:
            file.write(f"{start.at:.4f} {start}\n")
        for stall in [*records.stalls, *records.instance_stalls]:
            file.write(f"{stall}\n")


def format_request(request: object) -> str:
    """Format a request's record without ``previous``, which refers to a chain of earlier requests."""
    fields = getattr(request, "__slots__", ())
    return " ".join(f"{name}={getattr(request, name)!r:.200}" for name in fields if name != "previous")
