"""Fake endpoints, instances and load on them, each in a process of its own, on loopback."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from types import TracebackType

from benchmarks.harness import ROOT, run_json

QUOTA = 1e6  # requests a second: far above what any load asks for
INSTANCES = 2  # that the configurations name; no more than these may run
READY_POLL = 0.02  # s
STOP_TIMEOUT = 20.0  # s
FLEET_NUMBERS = count(1)  # so that each fleet of this process has addresses of its own


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a load measured.

    Attributes:
        rate: Requests served a second.
        other: Replies that were no values.
        at: When it began, Unix time.
        rows: Of a load with a fixed rate, for each request: when it was due in s from the start, whether it
            was served, and the s that it took.
        p50: The median latency in ms.
        p99: The 99th percentile in ms.
    """

    rate: float
    other: int
    at: float
    rows: list[tuple[float, bool, float]]
    p50: float
    p99: float


@dataclass(frozen=True, slots=True)
class EndpointCounts:
    """What the endpoints counted since they were last asked.

    Attributes:
        received: Commands.
        by_class: Commands executed, by request class.
        executed_twice: Request ids and idempotency keys that were executed more than once.
        requests: Key, fields and body size of each command, in order.
        arrivals: When each command came (Unix time), and the endpoint's port.
    """

    received: int
    by_class: dict[str, int]
    executed_twice: list[str]
    requests: list[tuple[str, str, int]]
    arrivals: list[tuple[float, str]]


class Fleet:
    """Endpoints that run until the fleet is closed; instances and load come and go.

    Attributes:
        host: Where the endpoints, discovery and the release service listen; each instance has an address of
            its own.
        folder: Holds configurations and logs, until the fleet is closed.
    """

    def __init__(self, *faults: str) -> None:
        """Start the endpoints; ``faults`` are as in benchmarks/endpoints.py."""
        number = next(FLEET_NUMBERS)
        process = os.getpid()
        self.host = f"127.{20 + process % 40}.{process // 40 % 250}.{number * 8 % 248}"
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        command = [sys.executable, "-m", "benchmarks.endpoints", self.host, *faults]
        self.endpoints = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        self.read_line()

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Stop the endpoints and remove the folder."""
        self.endpoints.terminate()
        self.endpoints.wait(STOP_TIMEOUT)
        self.temporary.cleanup()

    def address(self, number: int) -> str:
        """Return the address of an instance."""
        start, _, last = self.host.rpartition(".")
        return f"{start}.{int(last) + 1 + number}"

    def configuration(self, number: int) -> Path:
        """Write an instance's configuration: the example's, at this fleet's addresses."""
        example = (ROOT / "examples/marshal.json").read_text()
        example = example.replace("127.0.0.1:6379", f"{self.address(number)}:6379")
        settings = json.loads(example.replace("127.0.0.1", self.host))
        peers = [f"{self.address(each)}:7946" for each in range(INSTANCES)]
        settings |= {"name": f"marshal-{number}", "peer_listen": peers[number], "peers": peers}
        settings["settings"] |= {"me": number, "balancers": INSTANCES}
        settings["settings"]["accounts"][0]["quota-rps"] = QUOTA
        path = self.folder / f"{number}.json"
        path.write_text(json.dumps(settings))
        return path

    @contextmanager
    def instance(
        self, number: int, operators_file: str = "", root: Path = ROOT
    ) -> Iterator[subprocess.Popen[str]]:
        """Run an instance while the body runs.

        Args:
            number: Which of the instances it is.
            operators_file: The text of its operators' file; empty for none.
            root: The text that it runs.

        Raises:
            RuntimeError: It ended before it was ready.
        """
        command = [sys.executable, "-P", "-m", "gatebank", "serve", str(self.configuration(number))]
        if operators_file:
            path = self.folder / f"{number}.star"
            path.write_text(operators_file)
            command += ["--orders", str(path)]
        log = self.folder / f"{number}.log"
        environment = os.environ | {"PYTHONPATH": str(root)}
        with log.open("w") as file:
            process = subprocess.Popen(command, cwd=root, env=environment, stderr=file, text=True)
            try:
                while "event=ready" not in log.read_text():
                    time.sleep(READY_POLL)
                    if process.poll() is not None:
                        raise RuntimeError(log.read_text())
                yield process
            finally:
                process.send_signal(signal.SIGTERM)
                process.wait(STOP_TIMEOUT)

    def load(self, number: int, connections: int, seconds: float, rate: float = 0.0) -> LoadResult:
        """Put load on an instance; a rate of 0 has each connection send its next request at once."""
        words = (self.address(number), str(connections), str(seconds), str(rate))
        found = run_json(dict, "-m", "benchmarks.load", *words)
        return LoadResult(**found)

    def counts(self) -> EndpointCounts:
        """Return what the endpoints counted since they were last asked."""
        self.endpoints.send_signal(signal.SIGUSR1)
        return EndpointCounts(**json.loads(self.read_line()))

    def read_line(self) -> str:
        """Return the next line that the endpoints' process prints."""
        if self.endpoints.stdout is None:
            raise RuntimeError("the output of the endpoints is not read")
        return self.endpoints.stdout.readline()
