"""A `serve` process with stand-in endpoints, for tests of what it logs."""

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

OPERATORS = """
recording(folder = "recordings", sides = ["customer", "node"])
learning(snapshots = "snapshots")
"""


class EndpointHandler(socketserver.StreamRequestHandler):
    """A stand-in endpoint's connection: answers as the server's next act says, else with a value."""

    def handle(self) -> None:
        while line := self.rfile.readline():
            words = [self.word() for _ in range(int(line[1:]))]
            if words[0] == b"PING":
                self.wfile.write(b"+PONG\r\n")
                continue
            acts = self.server.acts
            act = acts.pop(0) if acts else "value"
            if act == "cut":
                return
            answers = {"error": b"-ERR failed\r\n", "busy": b"-BUSY\r\n"}
            self.wfile.write(answers.get(act, b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"))

    def word(self) -> bytes:
        """One bulk string of a command."""
        size = int(self.rfile.readline()[1:])
        return self.rfile.read(size + 2)[:-2]


class EndpointServer(socketserver.ThreadingTCPServer):
    """Three of these share one list of acts, taken in the order of attempts."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, host: str, acts: list[str]) -> None:
        self.acts = acts
        super().__init__((host, 0), EndpointHandler)


def serve_configuration(host: str, endpoints: list[EndpointServer]) -> dict[str, Any]:
    """The stored configuration without peers, discovery and release service, with these endpoints, and with
    times so long that a busy machine changes nothing of what is sent and kept."""
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
    patient = {"on-time-ms": 30_000, "deadline-ms": 60_000, "window-ms": 600_000}
    settings = configuration["settings"]
    settings["classes"] = [each | patient for each in settings["classes"]]
    settings["limits"] |= {"may-duplicate": False, "connect-timeout-ms": 10_000}
    settings["domain"]["exposure-window-ms"] = 600_000
    known = {"generation": 1, "reset": True, "instances": rows}
    return configuration | {"listen": f"{host}:6379", "known": known}


@contextmanager
def running_endpoints(host: str, acts: list[str]) -> Iterator[list[EndpointServer]]:
    """Three stand-in endpoints, for as long as they are needed."""
    endpoints = [EndpointServer(host, acts) for _ in range(3)]
    try:
        for endpoint in endpoints:
            threading.Thread(target=endpoint.serve_forever, args=(0.05,), daemon=True).start()
        yield endpoints
    finally:
        for endpoint in endpoints:
            endpoint.shutdown()
            endpoint.server_close()


def request(words: list[bytes]) -> bytes:
    """A command's bytes."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def send_requests(host: str) -> list[bytes]:
    """Four requests one after another; their answers, each of which must be `ok`."""
    answers = []
    with socket.create_connection((host, 6379), TIMEOUT_S) as connection:
        for number, request_class in enumerate(("read", "sign", "pay", "read")):
            parameters = f"c={request_class},t=all,d=60000" + (",k=77" if request_class == "sign" else "")
            words = [b"Q.ASK" if request_class == "read" else b"Q.DO", b"key", b"%d" % number]
            words += [parameters.encode()] + ([] if request_class == "read" else [b"body"])
            connection.sendall(request(words))
            answers.append(connection.recv(100))
    return answers


class ServeResult(NamedTuple):
    """What an instance left behind: its log, and its files of recordings and snapshots by their names."""

    log: list[str]
    recordings: dict[str, bytes]
    snapshots: dict[str, bytes]


@functools.cache
def serve_four_requests() -> ServeResult:
    """An instance that served four requests, with a fault of each kind on the way, and ended orderly."""
    number = os.getpid()
    host = f"127.{214 + number % 40}.{number // 40 % 250}.1"
    acts = ["value", "error", "cut", "busy"]
    with tempfile.TemporaryDirectory() as name, running_endpoints(host, acts) as endpoints:
        folder = Path(name)
        (folder / "instance.json").write_text(json.dumps(serve_configuration(host, endpoints)))
        (folder / "operators.star").write_text(OPERATORS)
        log = serve(folder, host)
        return ServeResult(log, contents(folder / "recordings"), contents(folder / "snapshots"))


def contents(folder: Path) -> dict[str, bytes]:
    """All files of a folder; each must be private."""
    for path in folder.iterdir():
        assert path.stat().st_mode & 0o777 == 0o600, path.name
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def serve(folder: Path, host: str) -> list[str]:
    """Runs an instance on the files of this folder while requests are sent; its log."""
    command = [sys.executable, "-m", "gatebank", "serve", str(folder / "instance.json")]
    command += ["--orders", str(folder / "operators.star")]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    try:
        lines = [process.stderr.readline()]
        while "event=ready" not in lines[-1]:
            assert lines[-1], lines
            lines.append(process.stderr.readline())
        answers = send_requests(host)
        assert answers == [b"$2\r\nok\r\n"] * 4, answers
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=TIMEOUT_S)
        assert process.returncode == 0, rest
        return lines + rest.splitlines(keepends=True)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
        process.stderr.close()
