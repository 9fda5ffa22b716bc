"""A long run of spoilt captures, by hand: no exception, no wrong pair, no growth.

    python -m benchmarks.fuzz [SECONDS] [SEED]
    python -m benchmarks.fuzz cover

Each round takes a capture with known replies, spoils it (bytes changed, lost, doubled; packets lost and
swapped), and reads it in pieces of random size. With atheris installed, `cover` lets it look for inputs by
coverage instead.
"""

from __future__ import annotations

import random
import resource
import sys
import time
from dataclasses import dataclass

REPORT_INTERVAL = 10.0  # s
DEFAULT_SECONDS = 60.0
DEFAULT_SEED = 1
EDITS = (1, 1, 3, 30)  # changes of a spoilt file, drawn
LOST_PACKETS = 0.05  # share
EXTREME_WORDS = (b"\xff" * 4, bytes(4), b"\x00\x00\x00\x80")  # that a length may be replaced by


def spoil(generator: random.Random, data: bytes) -> bytes:
    """Return the bytes with some of them changed, lost, doubled or added."""
    spoilt = bytearray(data)
    for _ in range(generator.choice(EDITS)):
        at = generator.randrange(len(spoilt) or 1)
        match generator.randrange(5):
            case 0:
                spoilt[at : at + 1] = bytes([generator.randrange(256)])
            case 1:
                del spoilt[at : at + generator.randrange(200)]
            case 2:
                spoilt[at:at] = spoilt[at : at + generator.randrange(400)]
            case 3:
                spoilt[at:at] = generator.randbytes(generator.randrange(64))
            case 4:
                spoilt[at : at + 4] = generator.choice(EXTREME_WORDS)
    return bytes(spoilt)


@dataclass
class Progress:
    """How much was done."""

    rounds: int = 0
    exchanges: int = 0

    def report(self) -> None:
        """Print it, with the peak memory."""
        megabytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        print(f"{self.rounds} rounds, {self.exchanges} exchanges, {megabytes} MB at most", flush=True)


class Fuzzer:
    """Spoils one capture again and again."""

    def __init__(self, seed: int) -> None:
        from tests.support.capture_scenarios import sample_capture  # after atheris has instrumented

        self.seed = seed
        self.generator = random.Random(seed)
        self.tape = sample_capture()
        self.data = self.tape.data()
        self.packets = list(self.tape.packets)
        self.progress = Progress()

    def run(self, seconds: float) -> None:
        """Spoil bytes and packets in turn for so many seconds."""
        start = time.monotonic()
        reported = start
        while time.monotonic() - start < seconds:
            self.progress.rounds += 1
            if self.progress.rounds % 2:
                self.read_spoilt_bytes()
            else:
                self.read_spoilt_packets()
            if time.monotonic() - reported > REPORT_INTERVAL:
                reported = time.monotonic()
                self.progress.report()

    def read_spoilt_bytes(self) -> None:
        """Read a file with changed bytes: it must end without an exception."""
        from tests.support.capture_builder import read_capture

        piece = self.generator.choice([0, 1, 13, 1000])
        exchanges, _ = read_capture(spoil(self.generator, self.data), piece=piece)
        self.progress.exchanges += len(exchanges)

    def read_spoilt_packets(self) -> None:
        """Read whole packets, some lost or swapped: no reply may go to another's request."""
        from tests.support.capture_builder import mismatched_exchanges, read_capture

        packets = [packet for packet in self.packets if self.generator.random() > LOST_PACKETS]
        for _ in range(self.generator.randrange(4)):
            at = self.generator.randrange(len(packets) - 3)
            packets.insert(at + self.generator.randrange(3), packets.pop(at))
        self.tape.packets = packets
        exchanges, _ = read_capture(self.tape.data(), piece=self.generator.choice([0, 500]))
        wrong = mismatched_exchanges(exchanges, self.tape.value_sizes)
        assert not wrong, (self.seed, self.progress.rounds, wrong)
        self.progress.exchanges += len(exchanges)


def cover() -> None:
    """Let atheris look for inputs by coverage."""
    import atheris

    with atheris.instrument_imports(include=["gatebank"]):  # before anything has loaded them
        from tests.support import capture_builder

    def read_one(data: bytes) -> None:
        capture_builder.read_capture(data)

    atheris.Setup(sys.argv[:1] + sys.argv[2:], read_one)
    atheris.Fuzz()


def main() -> None:
    """Fuzz as the command line says."""
    words = sys.argv[1:]
    if words[:1] == ["cover"]:
        cover()
        return
    seconds = float(words[0]) if words else DEFAULT_SECONDS
    seed = int(words[1]) if len(words) > 1 else DEFAULT_SEED
    fuzzer = Fuzzer(seed)
    fuzzer.run(seconds)
    progress = fuzzer.progress
    print(
        f"done: {progress.rounds} rounds in {seconds:g} s, seed {seed},"
        f" {progress.exchanges} exchanges, no fault"
    )


if __name__ == "__main__":
    main()
