"""A long fuzzing run of the capture reader: it must not raise, mispair replies or use ever more memory.

    python -m benchmarks.fuzz [SECONDS] [SEED]
    python -m benchmarks.fuzz cover

Each round takes a capture with known replies, corrupts it (bytes changed, lost, duplicated; packets lost and
swapped), and reads it in pieces of random size. With atheris installed, `cover` searches for inputs by
coverage instead.
"""

from __future__ import annotations

import random
import resource
import sys
import time
from dataclasses import dataclass

REPORT_INTERVAL = 10.0  # Seconds.
DEFAULT_SECONDS = 60.0
DEFAULT_SEED = 1
EDITS = (1, 1, 3, 30)  # Numbers of changes to a file, one of which is drawn at random.
LOST_PACKETS = 0.05  # Share of packets that are lost.
# Extreme values that may replace a length field.
EXTREME_WORDS = (b"\xff" * 4, bytes(4), b"\x00\x00\x00\x80")


def corrupt(generator: random.Random, data: bytes) -> bytes:
    """Return the bytes with some of them changed, lost, duplicated or added."""
    corrupted = bytearray(data)
    for _ in range(generator.choice(EDITS)):
        at = generator.randrange(len(corrupted) or 1)
        match generator.randrange(5):
            case 0:
                corrupted[at : at + 1] = bytes([generator.randrange(256)])
            case 1:
                del corrupted[at : at + generator.randrange(200)]
            case 2:
                corrupted[at:at] = corrupted[at : at + generator.randrange(400)]
            case 3:
                corrupted[at:at] = generator.randbytes(generator.randrange(64))
            case 4:
                corrupted[at : at + 4] = generator.choice(EXTREME_WORDS)
    return bytes(corrupted)


@dataclass
class Progress:
    """Counts of the rounds done and the exchanges read."""

    rounds: int = 0
    exchanges: int = 0

    def report(self) -> None:
        """Print the counts and the peak memory."""
        megabytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        print(f"{self.rounds} rounds, {self.exchanges} exchanges, {megabytes} MB at most", flush=True)


class Fuzzer:
    """Corrupts one capture repeatedly and reads the results."""

    def __init__(self, seed: int) -> None:
        # Imported only after atheris has instrumented gatebank.
        from tests.support.capture_scenarios import sample_capture

        self.seed = seed
        self.generator = random.Random(seed)
        self.capture = sample_capture()
        self.data = self.capture.data()
        self.packets = list(self.capture.packets)
        self.progress = Progress()

    def run(self, seconds: float) -> None:
        """Corrupt bytes and packets alternately for a number of seconds."""
        start = time.monotonic()
        reported = start
        while time.monotonic() - start < seconds:
            self.progress.rounds += 1
            if self.progress.rounds % 2:
                self.read_corrupted_bytes()
            else:
                self.read_reordered_packets()
            if time.monotonic() - reported > REPORT_INTERVAL:
                reported = time.monotonic()
                self.progress.report()

    def read_corrupted_bytes(self) -> None:
        """Read a file with changed bytes, which must not raise an exception."""
        from tests.support.capture_builder import read_capture

        piece = self.generator.choice([0, 1, 13, 1000])
        exchanges, _ = read_capture(corrupt(self.generator, self.data), piece=piece)
        self.progress.exchanges += len(exchanges)

    def read_reordered_packets(self) -> None:
        """Read unchanged packets, some lost or swapped; no reply may be paired with another request."""
        from tests.support.capture_builder import mismatched_exchanges, read_capture

        packets = [packet for packet in self.packets if self.generator.random() > LOST_PACKETS]
        for _ in range(self.generator.randrange(4)):
            at = self.generator.randrange(len(packets) - 3)
            packets.insert(at + self.generator.randrange(3), packets.pop(at))
        self.capture.packets = packets
        exchanges, _ = read_capture(self.capture.data(), piece=self.generator.choice([0, 500]))
        wrong = mismatched_exchanges(exchanges, self.capture.value_sizes)
        assert not wrong, (self.seed, self.progress.rounds, wrong)
        self.progress.exchanges += len(exchanges)


def cover() -> None:
    """Have atheris search for inputs by coverage."""
    import atheris

    with atheris.instrument_imports(include=["gatebank"]):  # Instruments modules only on their first import.
        from tests.support import capture_builder

    def read_one(data: bytes) -> None:
        capture_builder.read_capture(data)

    atheris.Setup(sys.argv[:1] + sys.argv[2:], read_one)
    atheris.Fuzz()


def main() -> None:
    """Run the kind of fuzzing that the command line names."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["cover"]:
        cover()
        return
    seconds = float(arguments[0]) if arguments else DEFAULT_SECONDS
    seed = int(arguments[1]) if len(arguments) > 1 else DEFAULT_SEED
    fuzzer = Fuzzer(seed)
    fuzzer.run(seconds)
    progress = fuzzer.progress
    print(
        f"done: {progress.rounds} rounds in {seconds:g} s, seed {seed},"
        f" {progress.exchanges} exchanges, no fault"
    )


if __name__ == "__main__":
    main()
