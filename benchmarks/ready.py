"""How soon an instance of a large fleet answers its first PING, counted from the start of its process.

    python -m benchmarks.ready [--marshals 200] [--nodes 150] [--times 10]

Its configuration names so many instances and, as known, so many endpoints; nobody is at discovery and the
release service. Prints the least, the median and the longest of so many starts, one after the other, and the
median processor time.
"""

from __future__ import annotations

import json
import os
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

from benchmarks.harness import ROOT

HOST = "127.0.0.1"
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
START_TIMEOUT = 60.0  # s
CONNECT_TIMEOUT = 1.0  # s
CONNECT_PAUSE = 0.005  # s between attempts to connect
FIRST_ENDPOINT_PORT = 20_000


@dataclass(frozen=True, slots=True)
class Start:
    """What one start took until the reply: seconds, and seconds of the processor."""

    seconds: float
    processor_seconds: float


def listed_endpoint(number: int) -> dict[str, Any]:
    """Return an entry of the endpoint list, by discovery's names."""
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
    """Return the example's configuration, for one of so many instances with so many endpoints."""
    example = json.loads((ROOT / "examples/marshal.json").read_text())
    own = f"{HOST}:{port}"
    peers = [own] + [f"127.1.{number // 250}.{number % 250 + 1}:7946" for number in range(1, instances)]
    entries = [listed_endpoint(number) for number in range(endpoints)]
    example |= {"listen": own, "peer_listen": own, "peers": peers}
    example["settings"] |= {"me": 0, "balancers": instances}
    example["known"] = {"generation": 41, "reset": True, "instances": entries}
    return json.dumps(example)


def processor_seconds(process: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def answers_ping(port: int) -> bool:
    """Tell whether an instance answers; False if it does not listen yet."""
    try:
        with socket.create_connection((HOST, port), CONNECT_TIMEOUT) as connection:
            connection.sendall(PING)
            return connection.recv(len(PONG)) == PONG
    except OSError:
        return False


def measure_start(path: Path, port: int) -> Start:
    """Start an instance, wait for its reply and kill it.

    Raises:
        TimeoutError: It did not reply within START_TIMEOUT.
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
    """Return a port that nobody listens at."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def main(
    marshals: Annotated[int, typer.Option(help="Instances that the configuration names.")] = 200,
    nodes: Annotated[int, typer.Option(help="Endpoints that it names.")] = 150,
    times: Annotated[int, typer.Option(help="How many starts.")] = 10,
) -> None:
    """Measure how soon an instance answers its first PING."""
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        path = Path(folder) / "marshal.json"
        path.write_text(configuration(marshals, nodes, port))
        starts = [measure_start(path, port) for _ in range(times)]
    seconds = [start.seconds for start in starts]
    processor = median(start.processor_seconds for start in starts)
    print(
        f"{marshals} instances, {nodes} endpoints, {times} starts: +PONG after {min(seconds):.2f},"
        f" {median(seconds):.2f}, {max(seconds):.2f} s (least, median, longest); processor {processor:.2f} s"
    )


if __name__ == "__main__":
    typer.run(main)
