"""An instance beside flooding clients: its memory, and what ordinary clients see meanwhile."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

from tests.support.instance_process import ROOT, InstanceProcess
from tests.support.ordinary_clients import OrdinaryAnswers
from tests.support.socket_scenarios import SocketScenario

MB = 1 << 20
ENDPOINTS = 8
AFTER_FLOOD_S = 0.5  # Time after a flood in which the ordinary clients still run.
SAMPLE_S = 0.02
MIN_CORE_WAIT_S = 0.001
PROCESSOR_PERIOD_S = 0.1  # Period of a limit on processor time, as in Linux's scheduler.
LARGE_VALUE_BYTES = 60_000
REPLY_TIME_S = 0.02


def anonymous_memory(pid: int) -> int:
    """Return the RssAnon of a process in bytes.

    Raises:
        OSError: The process has ended.
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("RssAnon"))


def run_queue_wait(pid: int) -> float:
    """Return the seconds for which a process's main thread has waited for a core; 0.0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0


async def leave_running(pid: int, seconds: float) -> float:
    """Wait until a process had a core to itself for some time, or a period has passed.

    Returns:
        The seconds for which it waited for a core besides.
    """
    waited_before = run_queue_wait(pid)
    waited = 0.0
    await asyncio.sleep(seconds)
    while waited < PROCESSOR_PERIOD_S - seconds:
        more = run_queue_wait(pid) - waited_before - waited
        if more < MIN_CORE_WAIT_S:
            break
        waited += more
        await asyncio.sleep(more)
    return waited


async def limit_processor(
    process: asyncio.subprocess.Process, cores: float, on_stop: Callable[[float, float], None] | None = None
) -> None:
    """Give a process its share of a core until cancelled: it is stopped for the rest of each period.

    As with a limit of the system's scheduler, time in which the process waits for a core that others use is
    not taken off its share: it runs for that much longer, and is stopped for that much less.

    Args:
        process: The process.
        cores: The share; with a whole core, nothing is done.
        on_stop: Called with the begin and the end of each stop, on the monotonic clock.
    """
    if cores >= 1.0:
        return
    try:
        while process.returncode is None:
            waited = await leave_running(process.pid, cores * PROCESSOR_PERIOD_S)
            begin = monotonic()
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep((1 - cores) * PROCESSOR_PERIOD_S - waited)
            process.send_signal(signal.SIGCONT)
            if on_stop:
                on_stop(begin, monotonic())
    finally:
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)


@dataclass(slots=True)
class Observation:
    """What one play showed.

    Attributes:
        at_rest: RssAnon before the flood, in bytes.
        peak: Highest RssAnon, in bytes.
        samples: RssAnon by time, in bytes, one in `SAMPLE_S`.
        ordinary: What ordinary clients saw.
        max_descriptors: Highest number of open descriptors.
        core_wait: Seconds for which the instance waited for a core, as others ran.
    """

    at_rest: int = 0
    peak: int = 0
    samples: list[int] = field(default_factory=list)
    ordinary: OrdinaryAnswers = field(default_factory=OrdinaryAnswers)
    max_descriptors: int = 0
    core_wait: float = 0.0
    log: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        """Return the observation in one line."""
        waits = sorted(self.ordinary.waits)
        half = len(self.samples) // 2
        growth = (max(self.samples[half:]) - max(self.samples[:half])) / MB if half else 0.0
        return (
            f"rest {self.at_rest / MB:.1f} peak {self.peak / MB:.1f} MB, second half {growth:+.1f}; waits "
            f"{waits[len(waits) // 2]:.3f} median {waits[-1]:.3f} most, "
            f"{self.ordinary.max_lateness:+.3f} after the deadline; {self.ordinary.answers}; "
            f"{self.max_descriptors} descriptors; {self.core_wait:.2f} s without a core"
        )


class FloodedInstance:
    """An instance with fakes, started with the given limits; use as an asynchronous context manager.

    Attributes:
        cores: Share of a core that the process gets during a play.
        behaviour: What the endpoints do with commands of other keys; empty for the usual reply.
    """

    def __init__(self, memory_mb: int, sockets: int = 1024, cores: float = 1.0) -> None:
        self.scenario = SocketScenario()
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.cores = cores
        self.behaviour = ""
        self.observation = Observation()

    async def __aenter__(self) -> FloodedInstance:
        scenario = self.scenario
        world = scenario.world
        world.mean_reply_time = REPLY_TIME_S
        world.choose_behaviour = self.choose_behaviour
        await world.start()
        await scenario.do_limits(0, f"sockets={self.sockets}", f"memory_mb={self.memory_mb}")
        await scenario.do_endpoints(0, *(f"e{number}:41" for number in range(ENDPOINTS)))
        await scenario.do_instances(0, "1")
        await scenario.do_burst(0, "50", "read", "value")
        self.observation.at_rest = anonymous_memory(self.process.process.pid)
        return self

    async def __aexit__(self, *_: object) -> None:
        for _, writer in self.scenario.clients.values():
            writer.close()
        for instance in self.scenario.instances:
            await instance.stop()
        await self.scenario.world.stop()
        self.scenario.folder.cleanup()

    @property
    def process(self) -> InstanceProcess:
        """The instance's process."""
        return self.scenario.instances[0]

    def choose_behaviour(self, name: str) -> str:
        """Return what an endpoint does with the command received last, by the command's key."""
        arguments = self.scenario.world.received[-1][1]
        match arguments[1]:
            case b"large":
                return f"value:{LARGE_VALUE_BYTES // len(name)}"
            case b"slow":
                return "late:1.5"
        return self.behaviour

    async def play(
        self, kind: str, clients: int, seconds: float, ordinary_words: Sequence[str] = (), programs: int = 1
    ) -> Observation:
        """Run flooding clients for a time beside ordinary clients.

        Args:
            kind: Kind of the flooding clients.
            clients: Number of the flooding clients.
            seconds: Duration of the flood.
            ordinary_words: Arguments of the program of ordinary clients.
            programs: Number of processes among which the flooding clients are shared out.

        Returns:
            What was observed during the flood and for half a second after it.
        """
        observation = self.observation
        floods = [
            await self.start_program("flood_clients", kind, str(clients // programs)) for _ in range(programs)
        ]
        ordinary = await self.start_program("ordinary_clients", *ordinary_words)
        waited_before = run_queue_wait(self.process.process.pid)
        watch = asyncio.create_task(self.watch_process())
        limiter = asyncio.create_task(limit_processor(self.process.process, self.cores))
        try:
            await asyncio.sleep(seconds)
        finally:
            await asyncio.gather(*(flood.communicate(b"") for flood in floods))
            await asyncio.sleep(AFTER_FLOOD_S)
            output, _ = await ordinary.communicate(b"")
            observation.core_wait = run_queue_wait(self.process.process.pid) - waited_before
            watch.cancel()
            limiter.cancel()
            await asyncio.gather(limiter, return_exceptions=True)
        observation.ordinary = OrdinaryAnswers(**json.loads(output))
        observation.log = self.process.lines
        return observation

    async def start_program(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        """Start a program of clients, which runs until its input ends."""
        command = (sys.executable, "-m", f"tests.support.{name}", self.process.address, *arguments)
        pipe = asyncio.subprocess.PIPE
        return await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdin=pipe, stdout=pipe)

    async def watch_process(self) -> None:
        """Sample memory and descriptors until cancelled or the process has ended."""
        observation = self.observation
        folder = Path(f"/proc/{self.process.process.pid}")
        with suppress(OSError, StopIteration):
            while True:
                observation.samples.append(anonymous_memory(self.process.process.pid))
                observation.peak = max(observation.samples[-1], observation.peak)
                descriptors = len(list((folder / "fd").iterdir()))
                observation.max_descriptors = max(descriptors, observation.max_descriptors)
                await asyncio.sleep(SAMPLE_S)
