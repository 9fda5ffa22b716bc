"""Reading captures beside a plain loop in which the library only decodes each packet, in turn, in one run.

python -m benchmarks.reading            speed on three kinds of traffic
python -m benchmarks.reading memory     peak memory at 100 MB and 2 GB
"""

from __future__ import annotations

import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable

import dpkt

from benchmarks import traffic
from gatebank.capture.packets import PacketReader
from gatebank.capture.reading import CaptureReader

KINDS = {  # exchanges, value, segment, swapped
    "large segments": (4_000, 60_000, 32_768, 0.0),
    "segments of 1,448 bytes": (4_000, 20_000, 1_448, 0.0),
    "small ones": (40_000, 100, 1_448, 0.0),
    "small, 1% out of order": (40_000, 100, 1_448, 0.01),
}
ROUNDS = 5


def plain(data: list[bytes]) -> int:
    packets, decode, count = PacketReader(), dpkt.ethernet.Ethernet, 0
    for piece in data:
        for packet in packets.feed(piece):
            decode(packet.data)
            count += 1
    return count


def framing(data: list[bytes]) -> int:
    packets = PacketReader()
    return sum(1 for piece in data for _ in packets.feed(piece))


def ours(data: list[bytes]) -> int:
    reading, count = CaptureReader(), 0
    for piece in data:
        for exchange in reading.feed(piece):
            count += exchange.whole
    return count + sum(exchange.whole for exchange in reading.end())


def timed(work: Callable[[list[bytes]], int], data: list[bytes]) -> tuple[float, int]:
    start = time.perf_counter()
    found = work(data)
    return time.perf_counter() - start, found


def speed() -> None:
    for name, (exchanges, value, segment, swapped) in KINDS.items():
        data = list(traffic.pieces(traffic.capture(exchanges, value, segment, swapped)))
        size, packets = sum(map(len, data)), framing(data)
        ratios, times, frames = [], [], []
        for _ in range(ROUNDS):
            (a, _), (b, found), (c, _) = timed(plain, data), timed(ours, data), timed(framing, data)
            ratios.append(b / a)
            times.append(b)
            frames.append(c / b)
            assert found == exchanges, (found, exchanges)
        median = statistics.median(times)
        print(
            f"{name}: {size / median / 1e6:.0f} MB/s, {packets / median:,.0f} packets/s,"
            f" {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f}) times the plain loop;"
            f" framing alone is {statistics.median(frames):.0%} of it"
        )


def hold(megabytes: int) -> None:
    """One reading of so much traffic, made as it is read; prints the peak memory in MB."""
    exchanges = megabytes * 1_000_000 // 20_400
    reading, count = CaptureReader(), 0
    for piece in traffic.pieces(traffic.capture(exchanges, 20_000, 16_384)):
        for exchange in reading.feed(piece):
            count += exchange.whole
    count += sum(exchange.whole for exchange in reading.end())
    assert count == exchanges, (count, exchanges)
    print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024, reading.packets.bytes_read)


def memory() -> None:
    for megabytes in (100, 2_000):
        command = [sys.executable, "-m", "benchmarks.reading", "hold", str(megabytes)]
        done = subprocess.run(command, capture_output=True, check=True)
        peak, read = map(int, done.stdout.split())
        print(f"{read / 1e6:,.0f} MB read: at most {peak} MB of memory")


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["hold", size]:
            hold(int(size))
        case ["memory"]:
            memory()
        case _:
            speed()
