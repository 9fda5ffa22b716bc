"""How soon a marshal of a large fleet answers its first PING, counted from the start of its process.

    python -m benchmarks.ready [--marshals 200] [--nodes 150] [--times 10]

Its configuration names so many marshals and, as known, so many nodes; nobody is at discovery and desk. Prints
the least, the median and the longest of so many starts, one after the other, and the median processor time.
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
from pathlib import Path
from statistics import median

import typer

ROOT = Path(__file__).parents[1]
PING = b"*1\r\n$4\r\nPING\r\n"
PATIENCE = 60.0  # s for one start


def configuration(marshals: int, nodes: int, port: int) -> str:
    told = json.loads((ROOT / "examples/marshal.json").read_text())
    settings = told["settings"] | {"me": 0, "balancers": marshals}
    entries = [
        {
            "instanceId": f"node-{number}", "hostPort": f"127.0.0.1:{20000 + number}", "zone": "here",
            "machineType": "toy", "cell": number // 4, "lifecycle": "SERVING", "weight": 1.0,
            "startedAtMs": 0, "version_no": 41,
        }
        for number in range(nodes)
    ]  # fmt: skip
    peers = [f"127.0.0.1:{port}"] + [f"127.1.{n // 250}.{n % 250 + 1}:7946" for n in range(1, marshals)]
    return json.dumps(
        told
        | {"listen": f"127.0.0.1:{port}", "peer_listen": peers[0], "peers": peers, "settings": settings}
        | {"known": {"generation": 41, "reset": True, "instances": entries}}
    )


def start(path: Path, port: int) -> tuple[float, float]:
    """s until +PONG, and s of the processor until then."""
    command = (sys.executable, "-m", "gatebank", "serve", str(path))
    began = time.monotonic()
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        while time.monotonic() < began + PATIENCE:
            try:
                with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                    sock.sendall(PING)
                    if sock.recv(7) == b"+PONG\r\n":
                        took = time.monotonic() - began
                        used = Path(f"/proc/{process.pid}/stat").read_text().rpartition(") ")[2].split()
                        return took, (int(used[11]) + int(used[12])) / os.sysconf("SC_CLK_TCK")
            except OSError:
                time.sleep(0.005)
        raise TimeoutError(f"not ready within {PATIENCE} s")
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def main(marshals: int = 200, nodes: int = 150, times: int = 10) -> None:
    with tempfile.TemporaryDirectory() as folder, socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
        free.close()
        path = Path(folder) / "marshal.json"
        path.write_text(configuration(marshals, nodes, port))
        found = sorted(start(path, port) for _ in range(times))
    took = [each for each, _ in found]
    print(
        f"{marshals} marshals, {nodes} nodes, {times} starts: +PONG after {took[0]:.2f}, {median(took):.2f},"
        f" {took[-1]:.2f} s (least, median, longest); processor {median(used for _, used in found):.2f} s"
    )


if __name__ == "__main__":
    typer.run(main)
