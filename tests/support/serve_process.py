"""A `gatebank serve` process with fake endpoints, for tests of its log, recordings and snapshots."""

from __future__ import annotations

import functools
import json
import os
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from tests.support.stored_data_access import ROOT, TIMEOUT_S, read_stored_json

OPERATORS_FILE = """
recording(folder = "recordings", sides = ["customer", "node"])
learning(snapshots = "snapshots")
"""


class EndpointHandler(socketserver.StreamRequestHandler):
    """A connection of a fake endpoint, which replies as the next behaviour says, or else with a value."""

    def handle(self) -> None:
        """Reply to commands until the connection ends."""
        while line := self.rfile.readline():
            arguments = [self.read_bulk_string() for _ in range(int(line[1:]))]
            if arguments[0] == b"PING":
                self.wfile.write(b"+PONG\r\n")
                continue
            behaviours = self.server.behaviours
            behaviour = behaviours.pop(0) if behaviours else "value"
            if behaviour == "cut":
                return
            replies = {"error": b"-ERR failed\r\n", "busy": b"-BUSY\r\n"}
            self.wfile.write(replies.get(behaviour, b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"))

    def read_bulk_string(self) -> bytes:
        """Read a bulk string of a command."""
        size = int(self.rfile.readline()[1:])
        return self.rfile.read(size + 2)[:-2]


class EndpointServer(socketserver.ThreadingTCPServer):
    """A fake endpoint; all fake endpoints share a list of behaviours, used in the order of attempts."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, host: str, behaviours: list[str]) -> None:
        self.behaviours = behaviours
        super().__init__((host, 0), EndpointHandler)


def serve_configuration(host: str, endpoints: list[EndpointServer]) -> dict[str, Any]:
    """Return the stored configuration, without peers, discovery and release service, with these endpoints.

    Its times are so long that a busy machine does not change the requests that are sent and the data that is
    kept.
    """
    configuration = read_stored_json("operators/instance.json")
    for name in ("discovery", "peer_listen", "peers"):
        del configuration[name]
    del configuration["platform"]["address"]
    rows = [
        {
            "instanceId": f"endpoint-{number}",
            "hostPort": f"{host}:{endpoint.server_address[1]}",
            "zone": "here",
            "machineType": "toy",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
            "version_no": 41,
        }
        for number, endpoint in enumerate(endpoints)
    ]
    long_times = {"on-time-ms": 30_000, "deadline-ms": 60_000, "window-ms": 600_000}
    settings = configuration["settings"]
    settings["classes"] = [request_class | long_times for request_class in settings["classes"]]
    settings["limits"] |= {"may-duplicate": False, "connect-timeout-ms": 10_000}
    settings["domain"]["exposure-window-ms"] = 600_000
    known = {"generation": 1, "reset": True, "instances": rows}
    return configuration | {"listen": f"{host}:6379", "known": known}


@contextmanager
def running_endpoints(host: str, behaviours: list[str]) -> Iterator[list[EndpointServer]]:
    """Run three fake endpoints during a with block."""
    endpoints = [EndpointServer(host, behaviours) for _ in range(3)]
    try:
        for endpoint in endpoints:
            threading.Thread(target=endpoint.serve_forever, args=(0.05,), daemon=True).start()
        yield endpoints
    finally:
        for endpoint in endpoints:
            endpoint.shutdown()
            endpoint.server_close()


def encode_command(arguments: list[bytes]) -> bytes:
    """Return a RESP2 command."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments
    )


def send_requests(host: str) -> list[bytes]:
    """Send four requests one after another and return their replies."""
    replies = []
    with socket.create_connection((host, 6379), TIMEOUT_S) as connection:
        for number, request_class in enumerate(("read", "sign", "pay", "read")):
            fields = f"c={request_class},t=all,d=60000" + (",k=77" if request_class == "sign" else "")
            arguments = [b"Q.ASK" if request_class == "read" else b"Q.DO", b"key", b"%d" % number]
            arguments += [fields.encode()] + ([] if request_class == "read" else [b"body"])
            connection.sendall(encode_command(arguments))
            replies.append(connection.recv(100))
    return replies


class ServeResult(NamedTuple):
    """The log of an instance, and the contents of its recording and snapshot files by file name."""

    log: list[str]
    recordings: dict[str, bytes]
    snapshots: dict[str, bytes]


@functools.cache
def serve_four_requests() -> ServeResult:
    """Run an instance for four requests, with an error, a cut connection and a rejection."""
    number = os.getpid()
    host = f"127.{214 + number % 40}.{number // 40 % 250}.1"
    behaviours = ["value", "error", "cut", "busy"]
    with tempfile.TemporaryDirectory() as name, running_endpoints(host, behaviours) as endpoints:
        folder = Path(name)
        (folder / "instance.json").write_text(json.dumps(serve_configuration(host, endpoints)))
        (folder / "operators.star").write_text(OPERATORS_FILE)
        log = run_instance(folder, host)
        return ServeResult(
            log, read_private_files(folder / "recordings"), read_private_files(folder / "snapshots")
        )


def read_private_files(folder: Path) -> dict[str, bytes]:
    """Return the contents of all files of a folder, which must have mode 0600."""
    for path in folder.iterdir():
        assert path.stat().st_mode & 0o777 == 0o600, path.name
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def run_instance(folder: Path, host: str) -> list[str]:
    """Run an instance with the files of a folder, send requests, and return the instance's log."""
    command = [sys.executable, "-m", "gatebank", "serve", str(folder / "instance.json")]
    command += ["--orders", str(folder / "operators.star")]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    try:
        lines = [process.stderr.readline()]
        while "event=ready" not in lines[-1]:
            assert lines[-1], lines
            lines.append(process.stderr.readline())
        replies = send_requests(host)
        assert replies == [b"$2\r\nok\r\n"] * 4, replies
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=TIMEOUT_S)
        assert process.returncode == 0, rest
        return lines + rest.splitlines(keepends=True)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
        process.stderr.close()
