"""Measures the time from the start of an instance's process to its first answer to PING, in a large fleet.

    python -m benchmarks.ready [--marshals 200] [--nodes 150] [--times 10]

The instance's configuration names the given numbers of instances and known endpoints. Discovery and the
release service are not running. The program starts the instance the given number of times, one start after
the other, and prints the shortest, the median and the longest time, and the median processor time.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Annotated, Any

import typer

from benchmarks.harness import ROOT, processor_seconds

HOST = "127.0.0.1"
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
START_TIMEOUT = 60.0  # Seconds.
CONNECT_TIMEOUT = 1.0  # Seconds.
CONNECT_PAUSE = 0.005  # Seconds between attempts to connect.
FIRST_ENDPOINT_PORT = 20_000


@dataclass(frozen=True, slots=True)
class Start:
    """The duration of one start until the reply, in elapsed seconds and in seconds of processor time."""

    seconds: float
    processor_seconds: float


def listed_endpoint(number: int) -> dict[str, Any]:
    """Return an entry of the endpoint list with discovery's field names."""
    return {
        "instanceId": f"node-{number}",
        "hostPort": f"{HOST}:{FIRST_ENDPOINT_PORT + number}",
        "zone": "here",
        "machineType": "toy",
        "cell": number // 4,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
        "version_no": 41,
    }


def configuration(instances: int, endpoints: int, port: int) -> str:
    """Return the example configuration, changed for a fleet with these numbers of instances and endpoints."""
    example = json.loads((ROOT / "examples/marshal.json").read_text())
    own = f"{HOST}:{port}"
    peers = [own] + [f"127.1.{number // 250}.{number % 250 + 1}:7946" for number in range(1, instances)]
    entries = [listed_endpoint(number) for number in range(endpoints)]
    example |= {"listen": own, "peer_listen": own, "peers": peers}
    example["settings"] |= {"me": 0, "balancers": instances}
    example["known"] = {"generation": 41, "reset": True, "instances": entries}
    return json.dumps(example)


def answers_ping(port: int) -> bool:
    """Return whether an instance answers PING; false if it does not listen yet."""
    try:
        with socket.create_connection((HOST, port), CONNECT_TIMEOUT) as connection:
            connection.sendall(PING)
            return connection.recv(len(PONG)) == PONG
    except OSError:
        return False


def measure_start(path: Path, port: int) -> Start:
    """Start an instance, wait for its reply to PING, and kill the process.

    Raises:
        TimeoutError: The instance did not reply within START_TIMEOUT.
    """
    command = (sys.executable, "-m", "gatebank", "serve", str(path))
    began = time.monotonic()
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        while time.monotonic() < began + START_TIMEOUT:
            if answers_ping(port):
                return Start(time.monotonic() - began, processor_seconds(process.pid))
            time.sleep(CONNECT_PAUSE)
        raise TimeoutError(f"not ready within {START_TIMEOUT} s")
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def free_port() -> int:
    """Return a TCP port that is not in use."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def main(
    marshals: Annotated[int, typer.Option(help="Number of instances in the configuration.")] = 200,
    nodes: Annotated[int, typer.Option(help="Number of endpoints in the configuration.")] = 150,
    times: Annotated[int, typer.Option(help="Number of starts.")] = 10,
) -> None:
    """Measure the time from an instance's start to its first answer to PING."""
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        path = Path(folder) / "marshal.json"
        path.write_text(configuration(marshals, nodes, port))
        starts = [measure_start(path, port) for _ in range(times)]
    seconds = [start.seconds for start in starts]
    processor = median(start.processor_seconds for start in starts)
    print(
        f"{marshals} instances, {nodes} endpoints, {times} starts: +PONG after {min(seconds):.2f},"
        f" {median(seconds):.2f}, {max(seconds):.2f} s (shortest, median, longest);"
        f" processor {processor:.2f} s"
    )


if __name__ == "__main__":
    typer.run(main)
