"""Drives one revision's simulator adapter and prints the cost of a request; run by benchmarks/module.py.

The driver imports only the adapter from gatebank. The adapter's ``Host.answer`` takes and returns the same
batches in every revision, so that the driver can measure any revision. The driver reads a job as JSON from
standard input, and writes the result to standard output.
"""

from __future__ import annotations

import heapq
import importlib
import json
import sys
import time
from typing import Any, Protocol

INSTANCE = "instance-0"
START_MS = 5000.0
ANSWER_MS = 20.0  # Time after which every attempt succeeds.
BASE_BUILD = 41
CANARY_BUILD = 42
CANARY_CAP = 0.2
CANARY_PHASE = 0
RELEASED_PHASE = 2
TIMEOUT_MS = 2000.0

Message = dict[str, Any]


class AdapterHost(Protocol):
    """The part of the adapter that all revisions have."""

    def answer(self, batch: Message) -> Message:
        """Return the reply to a batch."""


class Driver:
    """One instance behind the adapter, with requests at a fixed rate in simulated time.

    Attributes:
        spent_seconds: Processor time that the adapter has used.
        results: Time, call and attempt number of the results that are due later, as a heap.
        timers: Time and name of the instance's timers, as a heap.
        attempts: Number of attempts of each call without an answer.
    """

    def __init__(self, host: AdapterHost, settings: Message, endpoints: int, trial: bool) -> None:
        self.host = host
        self.now_ms = START_MS
        self.spent_seconds = 0.0
        self.results: list[tuple[float, str, int]] = []
        self.timers: list[tuple[float, str]] = []
        self.attempts: dict[str, int] = {}
        self.start(settings, endpoints, trial)

    def start(self, settings: Message, endpoints: int, trial: bool) -> None:
        """Start the instance with an endpoint list and a release that is on trial or complete."""
        canaries = max(1, endpoints // 4) if trial else 0
        hosts = [
            {"node": f"node-{number}", "health": "ready", "image": build}
            for number, build in enumerate([CANARY_BUILD] * canaries + [BASE_BUILD] * (endpoints - canaries))
        ]
        release = {
            "rel": CANARY_BUILD if trial else BASE_BUILD,
            "where-at": CANARY_PHASE if trial else RELEASED_PHASE,
            "most-share": CANARY_CAP if trial else 1.0,
        }
        self.send(
            [
                {"msg": "PowerOn", "init-seed": 1, "boot-info": settings},
                {"msg": "List", "list": 1, "hosts": hosts},
                {"msg": "Sync", "mode": "cached", "revision": 1, "list": 1},
                {"msg": "RolloutState", "rc": "completed", "wave": 0, "lateness-ms": 0.0} | release,
            ]
        )

    def send(self, messages: list[Message]) -> None:
        """Send the adapter a batch, measure the time of its answer, and carry out the answer's actions."""
        batch = {"t-ms": self.now_ms, "parts": [{"marshal": INSTANCE, "msgs": messages}]}
        began = time.process_time()
        reply = self.host.answer(batch)
        self.spent_seconds += time.process_time() - began
        for part in reply["parts"]:
            for action in part["outbox"]:
                self.carry_out(action)

    def carry_out(self, action: Message) -> None:
        """Carry out one action."""
        match action["msg"]:
            case "Route":
                call = action["call"]
                attempt = self.attempts[call]
                self.attempts[call] = attempt + 1
                heapq.heappush(self.results, (self.now_ms + ANSWER_MS, call, attempt))
            case "Arm":
                heapq.heappush(self.timers, (action["at-ms"], action["name"]))
            case "OverloadReply" | "Surrender":
                del self.attempts[action["call"]]
            case "Bug":
                raise RuntimeError(action["text"])

    def due_messages(self) -> list[Message]:
        """Return the results and timers that are due."""
        messages: list[Message] = []
        while self.results and self.results[0][0] <= self.now_ms:
            _, call, attempt = heapq.heappop(self.results)
            answered = self.attempts.pop(call, None) is not None
            result: Message = {"msg": "ClosedAttempt", "call": call, "round-no": attempt}
            if answered:
                result |= {"rc": "completed", "rtt-ms": ANSWER_MS, "final": True}
            else:  # Another attempt has been answered, and this attempt was cancelled.
                result |= {"rc": "recalled", "rtt-ms": ANSWER_MS}
            messages.append(result)
        while self.timers and self.timers[0][0] <= self.now_ms:
            _, name = heapq.heappop(self.timers)
            messages.append({"msg": "Fired", "name": name})
        return messages

    def play(self, rate: float, first: int, count: int) -> None:
        """Send ``count`` requests, numbered from ``first``, at a rate in requests per simulated second."""
        for number in range(first, first + count):
            self.now_ms += 1000 / rate
            call = f"{number:08x}"
            messages = self.due_messages()
            self.attempts[call] = 0
            messages.append({"msg": "Order", "call": call, "lane": 0, "left-ms": TIMEOUT_MS})
            self.send(messages)


def main() -> None:
    """Run the job, and print the processor time of a request in microseconds."""
    job = json.load(sys.stdin)
    host = importlib.import_module(job["adapter"]).Host()
    driver = Driver(host, job["settings"], job["nodes"], job["trial"])
    driver.play(job["rate"], 0, job["warm_up"])
    before = driver.spent_seconds
    driver.play(job["rate"], job["warm_up"], job["measured"])
    print(json.dumps((driver.spent_seconds - before) / job["measured"] * 1e6))


if __name__ == "__main__":
    main()
