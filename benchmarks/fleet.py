"""Fake endpoints, instances and load generators for benchmarks, in separate processes on loopback."""

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

QUOTA = 1e6  # Quota in requests a second, far above any load.
INSTANCES = 2  # Number of instances in the configurations; at most this many may run.
READY_POLL = 0.02  # Seconds.
STOP_TIMEOUT = 20.0  # Seconds.
FLEET_NUMBERS = count(1)  # Gives each fleet of this process separate addresses.


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The measurements of a load.

    Attributes:
        rate: Served requests a second.
        other: Number of replies that are not values.
        at: Start of the load in Unix time.
        rows: For each request of a load with a fixed rate: the seconds from the start at which it was due,
            whether it was served, and its latency in seconds.
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
    """The endpoints' counts since the previous query.

    Attributes:
        received: Number of commands received.
        by_class: Number of commands executed, by request class.
        executed_twice: Request ids and idempotency keys that were executed more than once.
        requests: Key, fields and body size of each command, in order of arrival.
        arrivals: Unix time of each command's arrival, and the endpoint's port.
        connections_accepted: Number of connections accepted since the start, whatever was queried before.
    """

    received: int
    by_class: dict[str, int]
    executed_twice: list[str]
    requests: list[tuple[str, str, int]]
    arrivals: list[tuple[float, str]]
    connections_accepted: int


class Fleet:
    """Endpoints that run until the fleet is closed, with instances and loads that run for shorter times.

    Attributes:
        host: Address at which the endpoints, discovery and the release service listen; each instance has a
            separate address.
        folder: Folder for configurations and logs, removed when the fleet is closed.
    """

    def __init__(self, *faults: str) -> None:
        """Start the endpoints with faults in the form that benchmarks/endpoints.py takes."""
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
        """Write an instance's configuration, the example with this fleet's addresses, and return its path."""
        example = (ROOT / "examples/marshal.json").read_text()
        example = example.replace("127.0.0.1:6379", f"{self.address(number)}:6379")
        settings = json.loads(example.replace("127.0.0.1", self.host))
        peers = [f"{self.address(instance)}:7946" for instance in range(INSTANCES)]
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
        """Run an instance for the duration of the context.

        Args:
            number: The instance's number.
            operators_file: The content of the instance's operators' file; empty for none.
            root: Root of the source tree that the instance runs from.

        Raises:
            RuntimeError: The instance ended before it was ready.
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
        """Put load on an instance; with a rate of 0, connections send a new request after each reply."""
        arguments = (self.address(number), str(connections), str(seconds), str(rate))
        result = run_json(dict, "-m", "benchmarks.load", *arguments)
        return LoadResult(**result)

    def counts(self) -> EndpointCounts:
        """Return the endpoints' counts since the previous query."""
        self.endpoints.send_signal(signal.SIGUSR1)
        return EndpointCounts(**json.loads(self.read_line()))

    def read_line(self) -> str:
        """Return the next line of output of the endpoints' process."""
        if self.endpoints.stdout is None:
            raise RuntimeError("the output of the endpoints is not read")
        return self.endpoints.stdout.readline()
